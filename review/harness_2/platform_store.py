"""Stand-in of the platform: metadata store, worker registry, machine list.

The store follows the page on the metadata store: rows with versions of one
counter, atomic transactions with conditions within one part, reads of ranges
and a feed of changes. All that it acknowledges is kept.
"""

from __future__ import annotations

import base64
import json
import threading
import time
from typing import Any

import http_service

MAX_ROWS = 500
ANSWER_SECONDS = 0.004  # "4 ms an answer" of the small deployments.
TRANSACTION_SECONDS = 0.006  # `tx_ms` of the small deployments.
HEARTBEAT_SECONDS = 1.5
MISSED_HEARTBEATS = 3

RowKey = tuple[str, str, str]


class Store:
    """Rows, and the calls on them.

    Attributes:
        answer_seconds: Time that each answer takes.
    """

    def __init__(self) -> None:
        self.answer_seconds = ANSWER_SECONDS
        self.transaction_seconds = TRANSACTION_SECONDS
        self._version = 0
        self._row_by_key: dict[RowKey, tuple[bytes, int]] = {}
        self._changes: list[tuple[int, RowKey, bytes | None]] = []
        self._changed = threading.Condition()
        self._lock_by_part: dict[str, threading.Lock] = {}
        self._parts_lock = threading.Lock()

    def put(self, table: str, key: str, data: Any) -> int:
        """Writes a row as the operator and the workers do."""
        value = json.dumps(data).encode()
        with self._changed:
            self._version += 1
            self._write((table, "", key), value)
            self._changed.notify_all()
            return self._version

    def drop(self, table: str, key: str) -> None:
        """Removes a row as the platform does."""
        with self._changed:
            if (table, "", key) in self._row_by_key:
                self._version += 1
                self._write((table, "", key), None)
                self._changed.notify_all()

    def value(self, table: str, part: str, key: str) -> bytes | None:
        """Returns the value of a row."""
        with self._changed:
            row = self._row_by_key.get((table, part, key))
            return row[0] if row else None

    def _write(self, key: RowKey, value: bytes | None) -> None:
        if value is None:
            self._row_by_key.pop(key, None)
        else:
            self._row_by_key[key] = value, self._version
        self._changes.append((self._version, key, value))

    def answer(self, request: http_service.Request) -> http_service.Answer:
        """Answers one call of a node."""
        if request.path == "/api/rows-tx":
            answer = self._transact(request.body)
        elif request.path == "/api/rows-get":
            answer = self._get(request.query)
        elif request.path == "/api/rows-feed":
            answer = self._feed(request.query)
        else:
            answer = 400, {"error": request.path}
        time.sleep(self.answer_seconds)
        return answer

    def _transact(self, body: dict[str, Any]) -> http_service.Answer:
        entries = [
            *body.get("expected", []),
            *body.get("puts", []),
            *body.get("delete", []),
        ]
        parts = {entry.get("part", "") for entry in entries}
        if len(parts) != 1 or len(entries) > 100:
            return 400, {"error": "parts or number of entries"}
        with self._parts_lock:
            lock = self._lock_by_part.setdefault(
                next(iter(parts)), threading.Lock()
            )
        with lock:
            time.sleep(self.transaction_seconds)
            with self._changed:
                return self._apply(body)

    def _apply(self, body: dict[str, Any]) -> http_service.Answer:
        expected = [(_key(row), row["ver"]) for row in body.get("expected", [])]
        if any(
            self._row_by_key.get(key, (b"", 0))[1] != version
            for key, version in expected
        ):
            rows = [
                self._row(key) for key, _ in expected if key in self._row_by_key
            ]
            return 412, {"rows": rows, "ver": self._version, **_now()}
        self._version += 1
        for row in body.get("puts", []):
            self._write(_key(row), base64.b64decode(row["value"]))
        for row in body.get("delete", []):
            self._write(_key(row), None)
        self._changed.notify_all()
        return 200, {"ver": self._version, **_now()}

    def _row(self, key: RowKey) -> dict[str, Any]:
        value, version = self._row_by_key[key]
        return _encode(key, value, version)

    def _get(self, query: dict[str, str]) -> http_service.Answer:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target", "")
        with self._changed:
            keys = sorted(
                key
                for key in self._row_by_key
                if key[:2] == (table, part)
                and key[2] >= first
                and (not end or key[2] < end)
            )
            return 200, {
                "rows": [self._row(key) for key in keys[:MAX_ROWS]],
                "has_more": len(keys) > MAX_ROWS,
                "ver": self._version,
                **_now(),
            }

    def _feed(self, query: dict[str, str]) -> http_service.Answer:
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            while True:
                changes = self._changes_since(table, after)
                left_seconds = deadline - time.monotonic()
                if changes or left_seconds <= 0:
                    break
                self._changed.wait(left_seconds)
            return 200, {
                "rows": [
                    _encode(key, value, version)
                    for version, key, value in changes[:MAX_ROWS]
                ],
                "ver": changes[MAX_ROWS - 1][0]
                if len(changes) > MAX_ROWS
                else self._version,
                **_now(),
            }

    def _changes_since(
        self, table: str, after: int
    ) -> list[tuple[int, RowKey, bytes | None]]:
        newest: dict[RowKey, tuple[int, RowKey, bytes | None]] = {}
        for change in reversed(self._changes):
            if change[0] <= after:
                break
            if change[1][0] == table:
                newest.setdefault(change[1], change)
        return sorted(newest.values(), key=lambda change: change[0])


def _key(row: dict[str, Any]) -> RowKey:
    return row["table"], row.get("part", ""), row["key"]


def _encode(key: RowKey, value: bytes | None, version: int) -> dict[str, Any]:
    table, part, name = key
    row: dict[str, Any] = {
        "table": table,
        "part": part,
        "key": name,
        "ver": version,
    }
    if value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(value).decode()}


def _now() -> dict[str, int]:
    return {"now_ms": int(time.monotonic() * 1000)}


class Registry:
    """Keeps the entries of workers while these send heartbeats.

    A worker process sends its entry here; the registry writes it into the
    store and removes it after three missed heartbeats.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._seen_by_id: dict[str, float] = {}
        self._lock = threading.Lock()
        threading.Thread(target=self._expire, daemon=True).start()

    def answer(self, request: http_service.Request) -> http_service.Answer:
        """Takes the heartbeat of a worker."""
        worker_id = request.body["id"]
        with self._lock:
            self._seen_by_id[worker_id] = time.monotonic()
            self._store.put("servers", worker_id, request.body["entry"])
        return 200, {}

    def remove(self, worker_id: str) -> None:
        """Removes the entry of a worker that has left."""
        with self._lock:
            self._seen_by_id.pop(worker_id, None)
            self._store.drop("servers", worker_id)

    def _expire(self) -> None:
        while True:
            time.sleep(0.1)
            now = time.monotonic()
            with self._lock:
                silent = [
                    worker_id
                    for worker_id, seen_at in self._seen_by_id.items()
                    if now - seen_at > MISSED_HEARTBEATS * HEARTBEAT_SECONDS
                ]
                for worker_id in silent:
                    del self._seen_by_id[worker_id]
                    self._store.drop("servers", worker_id)
