"""In-memory store of versioned rows with fault injection.

It implements `links.cluster`; `table_state` is the table of `links.platform`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
import threading
from typing import NamedTuple

from returns import result

from wisteriasill.links import cluster

UNAVAILABLE = cluster.StoreFault(
    cluster.StoreFaultKind.UNAVAILABLE, "the store is down"
)
INVALID = cluster.StoreFault(
    cluster.StoreFaultKind.INVALID, "a value is longer than row_bytes"
)
UNKNOWN = cluster.StoreFault(
    cluster.StoreFaultKind.OUTCOME_UNKNOWN, "the answer was lost"
)


class Commit(NamedTuple):
    """A transaction that took effect.

    Attributes:
        partition_key: Partition of all its rows.
        version: Version that it gave to the rows that it wrote.
        required: Rows whose versions it required.
        writes: Rows that it wrote.
    """

    partition_key: str
    version: int
    required: tuple[cluster.RowVersion, ...]
    writes: tuple[cluster.RowWrite, ...]


class DelayedTransaction(NamedTuple):
    """A transaction whose execution is delayed."""

    partition_key: str
    required: tuple[cluster.RowVersion, ...]
    writes: tuple[cluster.RowWrite, ...]


class MemoryRowStore:
    """Implements `cluster.RowStore` in memory.

    Attributes:
        down: Whether all calls are refused.
        refused_calls: Number of upcoming calls that are refused.
        lost_answers: Number of upcoming writes that take effect without a
            response.
        delayed_writes: Number of upcoming writes that get no response and
            take effect at `deliver_delayed`.
        unanswered_seconds: Time that clients would have waited for responses
            that they did not get.
        row_bytes: Longest value that it accepts.
        on_commit: Called with each transaction that takes effect, before its
            response.
    """

    def __init__(self) -> None:
        self.down = False
        self.refused_calls = 0
        self.lost_answers = 0
        self.delayed_writes = 0
        self.unanswered_seconds = 0.0
        self.history_from = 0
        self.row_bytes = cluster.DOCUMENTED_LIMITS.row_bytes
        self.on_commit: Callable[[Commit], None] = lambda commit: None
        self._version = 0
        self._row_by_key: dict[tuple[str, str, str], cluster.StoredRow] = {}
        self._changes: list[cluster.StoredRow] = []
        self._delayed: list[DelayedTransaction] = []
        self._changed = threading.Condition()

    def transact(
        self,
        partition_key: str,
        required: Sequence[cluster.RowVersion],
        writes: Sequence[cluster.RowWrite],
        timeout_seconds: float,
    ) -> result.Result[int, cluster.StoreFault]:
        """Writes all rows if all required versions match, else none."""
        with self._changed:
            if self._refuses():
                return result.Failure(UNAVAILABLE)
            if any(
                len(write.value or b"") > self.row_bytes for write in writes
            ):
                return result.Failure(INVALID)
            if self.delayed_writes:
                self.delayed_writes -= 1
                self._delayed.append(
                    DelayedTransaction(
                        partition_key, tuple(required), tuple(writes)
                    )
                )
                self.unanswered_seconds += timeout_seconds
                return result.Failure(UNKNOWN)
            outcome = self._apply(partition_key, required, writes)
            if self.lost_answers:
                self.lost_answers -= 1
                self.unanswered_seconds += timeout_seconds
                return result.Failure(UNKNOWN)
            return outcome

    def _refuses(self) -> bool:
        if self.refused_calls:
            self.refused_calls -= 1
            return True
        return self.down

    def deliver_delayed(
        self,
    ) -> list[result.Result[int, cluster.StoreFault]]:
        """Applies the delayed writes."""
        with self._changed:
            delayed, self._delayed = self._delayed, []
            return [self._apply(*transaction) for transaction in delayed]

    def _apply(
        self,
        partition_key: str,
        required: Sequence[cluster.RowVersion],
        writes: Sequence[cluster.RowWrite],
    ) -> result.Result[int, cluster.StoreFault]:
        row_by_requirement = {
            requirement: self._row_by_key.get(
                (requirement.table, partition_key, requirement.key)
            )
            for requirement in required
        }
        if any(
            (row.version if row else 0) != requirement.version
            for requirement, row in row_by_requirement.items()
        ):
            return result.Failure(
                cluster.StoreFault(
                    cluster.StoreFaultKind.CONFLICT,
                    "another version",
                    tuple(row for row in row_by_requirement.values() if row),
                )
            )
        self._version += 1
        for write in writes:
            row_key = write.table, partition_key, write.key
            row = cluster.StoredRow(*row_key, write.value, self._version)
            self._changes.append(row)
            if write.value is None:
                self._row_by_key.pop(row_key, None)
            else:
                self._row_by_key[row_key] = row
        self.on_commit(
            Commit(partition_key, self._version, tuple(required), tuple(writes))
        )
        self._changed.notify_all()
        return result.Success(self._version)

    def read(
        self,
        table: str,
        partition_key: str,
        first: str = "",
        end: str = "",
        timeout_seconds: float = 1.0,
    ) -> result.Result[cluster.RowPage, cluster.StoreFault]:
        """Reads rows in key order."""
        with self._changed:
            if self._refuses():
                return result.Failure(UNAVAILABLE)
            rows = sorted(
                row
                for (
                    row_table,
                    row_partition,
                    key,
                ), row in self._row_by_key.items()
                if (row_table, row_partition) == (table, partition_key)
                and key >= first
                and (not end or key < end)
            )
            return result.Success(
                cluster.RowPage(tuple(rows), True, self._version)
            )

    def watch(
        self, table: str, after: int, wait_seconds: float
    ) -> result.Result[cluster.RowPage, cluster.StoreFault]:
        """Waits for changes of a table."""
        with self._changed:
            if self._refuses():
                return result.Failure(UNAVAILABLE)
            if after < self.history_from:
                return result.Failure(
                    cluster.StoreFault(
                        cluster.StoreFaultKind.HISTORY_LOST, "dropped"
                    )
                )
            rows = self._changes_since(table, after)
            if not rows:
                self._changed.wait(wait_seconds)
                rows = self._changes_since(table, after)
            return result.Success(cluster.RowPage(rows, True, self._version))

    def drop_history(self) -> None:
        """Discards the history of all changes so far."""
        with self._changed:
            self.history_from = self._version + 1
            self._changes.clear()

    def _changes_since(
        self, table: str, after: int
    ) -> tuple[cluster.StoredRow, ...]:
        return tuple(
            row
            for row in self._changes
            if row.table == table and row.version > after
        )
