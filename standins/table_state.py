"""In-memory table and object store of the platform stand-in."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import json
from typing import Any, NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill.links import platform

HISTORY_SECONDS = 120.0  # Age of retained versions; limits `old_reads_seconds`.


class HostWrite(NamedTuple):
    """A write of a host row, recorded for checks by tests."""

    at_seconds: float
    host_id: str
    pool: str
    state: str


class TableCounts(NamedTuple):
    """Call counts of the table service.

    Attributes:
        reads: Reads of single rows.
        scans: Scans by prefix.
        transactions: Committed transactions.
        conflicts: Transactions with a failed condition.
        rows_written: Rows written or deleted.
        rows_read: Rows returned by reads and scans.
    """

    reads: int = 0
    scans: int = 0
    transactions: int = 0
    conflicts: int = 0
    rows_written: int = 0
    rows_read: int = 0


class _RowVersion(NamedTuple):
    """One version of a row; `value` is None for a deleted row."""

    at_seconds: float
    version: int
    value: Mapping[str, Any] | None


class TableState:
    """Versioned rows and immutable objects; the caller holds the lock."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._versions_by_table: dict[str, dict[str, list[_RowVersion]]] = {}
        self._objects: dict[str, bytes] = {}
        self.counts = TableCounts()
        self.host_history: list[HostWrite] = []

    def read(
        self, table: str, key: str, age_seconds: float
    ) -> platform.Row | None:
        """Reads a row as it was `age_seconds` ago."""
        row = self._row_at(table, key, age_seconds)
        self._add_counts(reads=1, rows_read=int(row is not None))
        return row

    def scan(
        self, table: str, prefix: str, age_seconds: float
    ) -> tuple[platform.Row, ...]:
        """Reads rows by prefix as they were `age_seconds` ago."""
        keys = sorted(
            key
            for key in self._versions_by_table.get(table, {})
            if key.startswith(prefix)
        )
        optional_rows = (self._row_at(table, key, age_seconds) for key in keys)
        rows = tuple(row for row in optional_rows if row is not None)
        self._add_counts(scans=1, rows_read=len(rows))
        return rows

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> result.Result[tuple[int, ...], platform.Condition]:
        """Writes all rows, or returns the first failed condition."""
        for condition in conditions:
            version = self._version(condition.table, condition.key)
            if version != condition.version:
                self._add_counts(conflicts=1)
                return result.Failure(condition._replace(version=version))
        versions = tuple(self._write(write) for write in writes)
        self._add_counts(transactions=1, rows_written=len(writes))
        return result.Success(versions)

    def put(self, key: str, body: bytes) -> bool:
        """Stores an object; False if the key has a different body."""
        return self._objects.setdefault(key, body) == body

    def get(self, key: str) -> bytes | None:
        """Reads an object."""
        return self._objects.get(key)

    def _version(self, table: str, key: str) -> int:
        row_versions = self._versions_by_table.get(table, {}).get(key)
        if not row_versions or row_versions[-1].value is None:
            return 0
        return row_versions[-1].version

    def _row_at(
        self, table: str, key: str, age_seconds: float
    ) -> platform.Row | None:
        as_of_seconds = self._clock.monotonic() - age_seconds
        for row_version in reversed(
            self._versions_by_table.get(table, {}).get(key, [])
        ):
            if row_version.at_seconds <= as_of_seconds:
                if row_version.value is None:
                    return None
                return platform.Row(
                    table, key, row_version.version, row_version.value
                )
        return None

    def _write(self, write: platform.Write) -> int:
        now = self._clock.monotonic()
        row_versions = self._versions_by_table.setdefault(
            write.table, {}
        ).setdefault(write.key, [])
        last_version = row_versions[-1].version if row_versions else 0
        if write.value is None:
            row_versions.append(_RowVersion(now, last_version, None))
        else:
            # Copied through JSON, so that callers cannot change the row.
            value = json.loads(json.dumps(write.value))
            row_versions.append(_RowVersion(now, last_version + 1, value))
            if write.table == "hosts":
                self.host_history.append(
                    HostWrite(
                        now,
                        write.key,
                        str(value.get("pool", "")),
                        str(value.get("state", "")),
                    )
                )
        while (
            len(row_versions) > 1
            and row_versions[1].at_seconds < now - HISTORY_SECONDS
        ):
            del row_versions[0]
        return 0 if write.value is None else last_version + 1

    def _add_counts(self, **amounts: int) -> None:
        totals = {
            name: getattr(self.counts, name) + amount
            for name, amount in amounts.items()
        }
        self.counts = self.counts._replace(**totals)
