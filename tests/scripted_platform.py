"""In-memory platform with scripted faults."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
import json
import threading
from typing import Any, cast

from returns import result

from wisteriasill import errors
from wisteriasill.links import platform

Rows = dict[tuple[str, str], platform.Row]


class ScriptedPlatform:
    """Table and object store with faults for the upcoming transactions.

    Attributes:
        rows: All rows by table and key.
        stale_rows: Rows that reads return instead of the current ones; None
            for current reads.
        script: One entry per upcoming transaction with writes: `lost-before`
            (request lost), `lost-after` (response lost), an empty text, or a
            function to call before the transaction.
        down: Whether every call fails.
        fetched: Keys of the objects that were read.
    """

    def __init__(self) -> None:
        self.rows: Rows = {}
        self.stale_rows: Rows | None = None
        self.script: list[str | Callable[[], object]] = []
        self.down = False
        self.fetched: list[str] = []
        self._bodies: dict[str, bytes] = {}
        self._lock = threading.RLock()

    @property
    def table(self) -> platform.Table:
        """The table service."""
        return self

    @property
    def objects(self) -> platform.ObjectStore:
        """The object store."""
        return self

    @property
    def host_list(self) -> platform.HostList:
        """Fails the test, which must not use the host list."""
        raise AssertionError("host_list must not be used")

    @property
    def tasks(self) -> platform.TaskRunner:
        """Fails the test, which must not use tasks."""
        raise AssertionError("tasks must not be used")

    @property
    def host_control(self) -> platform.HostControl:
        """Fails the test, which must not control hosts."""
        raise AssertionError("host_control must not be used")

    def set_row(self, table: str, key: str, value: Mapping[str, Any]) -> None:
        """Writes a row on behalf of another process."""
        current_row = self.rows.get((table, key))
        version = 1 if current_row is None else current_row.version + 1
        json_value = cast("dict[str, Any]", json.loads(json.dumps(value)))
        self.rows[(table, key)] = platform.Row(table, key, version, json_value)

    def read(
        self, table: str, key: str
    ) -> result.Result[platform.Row | None, errors.Failure]:
        """Reads a row."""
        return self._answer(lambda: self._visible_rows().get((table, key)))

    def scan(
        self, table: str, prefix: str = ""
    ) -> result.Result[tuple[platform.Row, ...], errors.Failure]:
        """Reads rows by prefix."""
        return self._answer(
            lambda: tuple(
                row
                for row_key, row in sorted(self._visible_rows().items())
                if row_key[0] == table and row_key[1].startswith(prefix)
            )
        )

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        """Writes all rows or none."""
        script_entry = self.script.pop(0) if self.script and writes else ""
        if callable(script_entry):
            script_entry()
        with self._lock:
            if self.down or script_entry == "lost-before":
                return _failed(
                    errors.ErrorKind.STORE_OUTCOME_UNKNOWN
                    if script_entry
                    else errors.ErrorKind.STORE_UNAVAILABLE
                )
            for table, key, version in conditions:
                current_row = self.rows.get((table, key))
                if version != (
                    0 if current_row is None else current_row.version
                ):
                    return _failed(errors.ErrorKind.CONFLICT)
            versions = tuple(map(self._write, writes))
        if script_entry == "lost-after":
            return _failed(errors.ErrorKind.STORE_OUTCOME_UNKNOWN)
        return result.Success(versions)

    def put(self, key: str, body: bytes) -> result.Result[None, errors.Failure]:
        """Stores an object."""
        return self._answer(lambda: self._bodies.update({key: body}))

    def get(self, key: str) -> result.Result[bytes | None, errors.Failure]:
        """Reads an object."""
        self.fetched.append(key)
        return self._answer(lambda: self._bodies.get(key))

    def _visible_rows(self) -> Rows:
        return self.rows if self.stale_rows is None else self.stale_rows

    def _answer(
        self, call: Callable[[], Any]
    ) -> result.Result[Any, errors.Failure]:
        if self.down:
            return _failed(errors.ErrorKind.STORE_UNAVAILABLE)
        with self._lock:
            return result.Success(call())

    def _write(self, write: platform.Write) -> int:
        row_key = (write.table, write.key)
        if write.value is None:
            self.rows.pop(row_key, None)
            return 0
        self.set_row(write.table, write.key, write.value)
        return self.rows[row_key].version


def _failed(kind: errors.ErrorKind) -> result.Result[Any, errors.Failure]:
    return result.Failure(errors.failure(kind, "scripted"))
