"""The platform's table and objects, in memory."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import json
from typing import Any, NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill.links import platform

KEPT_SECONDS = 120.0  # Bound on `old_reads_seconds`.


class HostWrite(NamedTuple):
    """A write of a host row, for checks from outside the product."""

    at_seconds: float
    host_id: str
    pool: str
    state: str


class TableCounts(NamedTuple):
    """Calls of the table service so far.

    Attributes:
        reads: Reads of single rows.
        scans: Scans.
        transactions: Transactions that took effect.
        conflicts: Transactions whose conditions failed.
        rows_written: Rows written and deleted.
        rows_read: Rows returned by reads and scans.
    """

    reads: int = 0
    scans: int = 0
    transactions: int = 0
    conflicts: int = 0
    rows_written: int = 0
    rows_read: int = 0


class _Cell(NamedTuple):
    """One past or present value of a row; None for a deleted one."""

    at_seconds: float
    version: int
    value: Mapping[str, Any] | None


class TableState:
    """Rows with versions, and immutable objects. The owner holds the lock."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._cells: dict[str, dict[str, list[_Cell]]] = {}
        self._objects: dict[str, bytes] = {}
        self.counts = TableCounts()
        self.host_history: list[HostWrite] = []

    def read(
        self, table: str, key: str, age_seconds: float
    ) -> platform.Row | None:
        """Reads a row as it was `age_seconds` ago."""
        row = self._row_at(table, key, age_seconds)
        self._count(reads=1, rows_read=int(row is not None))
        return row

    def scan(
        self, table: str, prefix: str, age_seconds: float
    ) -> tuple[platform.Row, ...]:
        """Reads rows by prefix as they were `age_seconds` ago."""
        keys = sorted(
            key for key in self._cells.get(table, {}) if key.startswith(prefix)
        )
        found = (self._row_at(table, key, age_seconds) for key in keys)
        rows = tuple(row for row in found if row is not None)
        self._count(scans=1, rows_read=len(rows))
        return rows

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> result.Result[tuple[int, ...], platform.Condition]:
        """Writes all rows, or returns the first row that differs."""
        for condition in conditions:
            version = self._version(condition.table, condition.key)
            if version != condition.version:
                self._count(conflicts=1)
                return result.Failure(condition._replace(version=version))
        versions = tuple(self._write(write) for write in writes)
        self._count(transactions=1, rows_written=len(writes))
        return result.Success(versions)

    def put(self, key: str, body: bytes) -> bool:
        """Stores an object; returns whether the key held no other body."""
        return self._objects.setdefault(key, body) == body

    def get(self, key: str) -> bytes | None:
        """Reads an object."""
        return self._objects.get(key)

    def _version(self, table: str, key: str) -> int:
        cells = self._cells.get(table, {}).get(key)
        if not cells or cells[-1].value is None:
            return 0
        return cells[-1].version

    def _row_at(
        self, table: str, key: str, age_seconds: float
    ) -> platform.Row | None:
        limit = self._clock.monotonic() - age_seconds
        for cell in reversed(self._cells.get(table, {}).get(key, [])):
            if cell.at_seconds <= limit:
                if cell.value is None:
                    return None
                return platform.Row(table, key, cell.version, cell.value)
        return None

    def _write(self, write: platform.Write) -> int:
        now = self._clock.monotonic()
        cells = self._cells.setdefault(write.table, {}).setdefault(
            write.key, []
        )
        last_version = cells[-1].version if cells else 0
        if write.value is None:
            cells.append(_Cell(now, last_version, None))
        else:
            # Copied as the wire does, so that callers can't change rows.
            value = json.loads(json.dumps(write.value))
            cells.append(_Cell(now, last_version + 1, value))
            if write.table == "hosts":
                self.host_history.append(
                    HostWrite(
                        now,
                        write.key,
                        str(value.get("pool", "")),
                        str(value.get("state", "")),
                    )
                )
        while len(cells) > 1 and cells[1].at_seconds < now - KEPT_SECONDS:
            del cells[0]
        return 0 if write.value is None else last_version + 1

    def _count(self, **amounts: int) -> None:
        totals = {
            name: getattr(self.counts, name) + amount
            for name, amount in amounts.items()
        }
        self.counts = self.counts._replace(**totals)
