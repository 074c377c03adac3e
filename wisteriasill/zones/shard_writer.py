"""Claims a shard for a node and writes its rows, fenced by the owner row."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator, Sequence
import contextlib
import enum
import itertools
import math
import threading
import time
from typing import NamedTuple

import cbor2
from returns import result

from wisteriasill import clock as clocks
from wisteriasill import events
from wisteriasill.contracts import call_timeout
from wisteriasill.links import cluster

TABLE = "shards"
OWNER = "owner"
HEARTBEAT = "beat"
# Field of the status with the backlog of a pool.
BACKLOG_FIELD = "backlog"
# Field of the status of a released shard: seconds since a holder lost it
# without a release. That holder may not know yet.
SEIZED_FIELD = "seized"

# Writes of a transaction. With as many conditions and the two rows of the owner
# it stays below the platform's limit of 100 entries.
WRITES_PER_TRANSACTION = 48
# Rows of jobs beside the heartbeat and the load of the pool.
JOBS_PER_TRANSACTION = WRITES_PER_TRANSACTION - 2
# Bytes of a transaction; the platform accepts 1 MB of base64 text.
BYTES_PER_TRANSACTION = 500_000

TRANSACTION_TIMEOUT_SECONDS = 1.5  # A slow store needs 0.4 s for one.
# Shortest timeout of a commit; a busy holder may need 0.1 s to read a response.
MIN_COMMIT_TIMEOUT_SECONDS = 0.25
# Time since its last renewal for which a holder is certainly alone. Others
# claim the shard after 2 s without one; an order takes up to half a second.
SOLE_HOLDER_SECONDS = 1.2
KEEPALIVE_SECONDS = 0.5  # The renewal period of a running controller.
# The backoff doubles until the store counts as down; the last delay repeats.
RETRY_SECONDS = (0.05, 0.1, 0.2, 0.4)


class CommitOutcome(enum.Enum):
    """Outcome of a commit."""

    STORED = enum.auto()
    LOST = enum.auto()
    STOPPED = enum.auto()
    REFUSED = enum.auto()


class RowHandlers(NamedTuple):
    """Functions that a commit calls with rows as soon as their fate is known.

    Attributes:
        on_stored: Called with the rows of each transaction that is stored.
        on_refused: Called with rows that the store never accepts.
    """

    on_stored: Callable[[Sequence[cluster.RowWrite]], None] = lambda _: None
    on_refused: Callable[[Sequence[cluster.RowWrite]], None] = lambda _: None


NO_HANDLERS = RowHandlers()


class ShardState(NamedTuple):
    """A shard's rows as they were read.

    Attributes:
        holder: Node that holds the shard; empty if none does.
        epoch: Version of the owner row, which is the holder's fencing token.
        heartbeat_version: Version of the row that the holder renews.
        status: Status that the holder last published.
    """

    holder: str
    epoch: int
    heartbeat_version: int
    status: dict[str, object]


UNOWNED = ShardState("", 0, 0, {})


def read_state(
    store: cluster.RowStore, shard: str
) -> result.Result[ShardState, cluster.StoreFault]:
    """Reads the state of a shard."""
    return store.read(TABLE, shard).map(lambda page: state_of(page.rows))


def state_of(rows: Sequence[cluster.StoredRow]) -> ShardState:
    """Builds a shard's state from its rows."""
    row_by_key = {row.key: row for row in rows if row.value is not None}
    owner = row_by_key.get(OWNER)
    heartbeat = row_by_key.get(HEARTBEAT)
    return ShardState(
        owner.value.decode() if owner and owner.value else "",
        owner.version if owner else 0,
        heartbeat.version if heartbeat else 0,
        _decode_status(heartbeat.value)
        if heartbeat and heartbeat.value
        else {},
    )


def _lasting_status(status: dict[str, object]) -> dict[str, object]:
    """Returns the part of a holder's status that a successor takes over.

    A former holder's backlog must not look as if it were a new one.
    """
    return {
        key: value
        for key, value in status.items()
        if key not in (BACKLOG_FIELD, SEIZED_FIELD)
    }


def _seized_seconds(status: dict[str, object]) -> float:
    seconds = status.get(SEIZED_FIELD)
    return seconds if isinstance(seconds, float) else math.inf


def _decode_status(value: bytes) -> dict[str, object]:
    """Decodes a holder's status; one that can't be read counts as empty."""
    try:
        status = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError):
        return {}
    return status if isinstance(status, dict) else {}


class ShardWriter:
    """Writes a shard's rows while this node owns the shard.

    Each transaction requires the version of the owner row and of each row that
    it writes. Neither a former holder nor a transaction that the store
    executes late can therefore overwrite newer rows.

    Args:
        store: The platform's store.
        shard: Name of the shard and of the partition with all its rows.
        node: Name of this node.
        stopping: Interrupts retries.
        limits: Limits of the store.

    Attributes:
        stored_at: Monotonic time of the last stored transaction.
        seized_at: Earliest monotonic time at which the shard was last claimed
            from a holder that had not released it; minus infinity if that is
            not known.
        confirmed_at: Time since boot at which the last stored transaction was
            sent. This node held the shard at that time or later.
        stored_version: Version of the store as of the last stored transaction.
        response_seconds: Response time of the last answered transaction.
    """

    def __init__(
        self,
        store: cluster.RowStore,
        shard: str,
        node: str,
        stopping: threading.Event,
        limits: cluster.StoreLimits = cluster.DOCUMENTED_LIMITS,
    ) -> None:
        self._store = store
        self._limits = limits
        self.shard = shard
        self._node = node
        self._stopping = stopping
        self.epoch = 0
        self.seized_at = -math.inf
        self._last_heartbeat = b""
        self._version_by_row: dict[tuple[str, str], int] = {}
        # Rows of transactions that an error ended with an unknown outcome.
        self._unresolved_rows: set[tuple[str, str]] = set()
        self.stored_at = 0.0
        self.confirmed_at = -math.inf
        self.stored_version = 0
        self.response_seconds = 0.0
        self._renewed_at = -math.inf
        self._timeout = call_timeout.CallTimeout(
            MIN_COMMIT_TIMEOUT_SECONDS, TRANSACTION_TIMEOUT_SECONDS
        )

    def claim(self, seen: ShardState) -> bool:
        """Claims the shard if its state is still as observed."""
        status = cbor2.dumps(_lasting_status(seen.status))
        sent_at = clocks.boot_seconds()
        written = self._store.transact(
            self.shard,
            [
                cluster.RowVersion(TABLE, OWNER, seen.epoch),
                cluster.RowVersion(TABLE, HEARTBEAT, seen.heartbeat_version),
            ],
            [
                cluster.RowWrite(TABLE, OWNER, self._node.encode()),
                cluster.RowWrite(TABLE, HEARTBEAT, status),
            ],
            TRANSACTION_TIMEOUT_SECONDS,
        )
        if not isinstance(written, result.Success):
            return False
        self.epoch = written.unwrap()
        self.stored_version = self.epoch
        self._last_heartbeat = status
        self._version_by_row = {(TABLE, HEARTBEAT): self.epoch}
        self._unresolved_rows.clear()
        self.stored_at = time.monotonic()
        self.seized_at = (
            self.stored_at
            if seen.holder
            else self.stored_at - _seized_seconds(seen.status)
        )
        self.confirmed_at = self._renewed_at = sent_at
        return True

    def adopt(self, rows: Sequence[cluster.StoredRow]) -> None:
        """Records the versions of rows that were read after the claim."""
        for row in rows:
            self._version_by_row[row.table, row.key] = row.version

    def commit(
        self,
        writes: Sequence[cluster.RowWrite],
        status: bytes | None = None,
        handlers: RowHandlers = NO_HANDLERS,
    ) -> CommitOutcome:
        """Stores rows, with retries until the outcome is known.

        Rows that the store refuses for good are left out.

        Args:
            writes: Rows to write, each at most once.
            status: Status to publish, which also renews the ownership; None to
                write the rows only.
            handlers: What to do with stored and with refused rows.

        Returns:
            Whether all other rows are stored, the shard was lost or the node
            is stopping.
        """
        if too_long := [write for write in writes if self._is_too_long(write)]:
            writes = [write for write in writes if not self._is_too_long(write)]
            self._leave_out(too_long, "longer than row_bytes", handlers)
        if status is not None:
            self._last_heartbeat = status
            writes = [self._heartbeat_write(), *writes]
        renews = status is not None
        pending = collections.deque(batches(writes))
        while pending:
            batch = pending.popleft()
            sent_at = clocks.boot_seconds()
            outcome = self._store_batch(batch)
            if outcome is CommitOutcome.REFUSED and len(batch) > 1:
                half = len(batch) // 2
                pending.extendleft((batch[half:], batch[:half]))
                continue
            if outcome is CommitOutcome.REFUSED:
                outcome = self._store_batch([self._heartbeat_write()])
                if outcome is CommitOutcome.STORED:
                    self._leave_out(batch, "refused alone", handlers)
                    continue
            if outcome is not CommitOutcome.STORED:
                return outcome
            if renews:  # The first transaction has the heartbeat.
                self._renewed_at, renews = sent_at, False
            handlers.on_stored(batch)
        return CommitOutcome.STORED

    def _heartbeat_write(self) -> cluster.RowWrite:
        return cluster.RowWrite(TABLE, HEARTBEAT, self._last_heartbeat)

    def _is_too_long(self, write: cluster.RowWrite) -> bool:
        return len(write.value or b"") > self._limits.row_bytes

    def _leave_out(
        self,
        refused: Sequence[cluster.RowWrite],
        reason: str,
        handlers: RowHandlers,
    ) -> None:
        """Reports rows that the store never accepts."""
        for write in refused:
            events.log(
                events.Event.ROW_REFUSED,
                "The store does not accept a row; it is left out",
                level="ERROR",
                shard=self.shard,
                table=write.table,
                key=write.key,
                bytes=len(write.value or b""),
                reason=reason,
            )
        handlers.on_refused(refused)

    @property
    def is_sole_holder(self) -> bool:
        """Whether no other node can have claimed the shard yet.

        For orders that nobody checks the fencing token of; a holder that was
        paused must not send them.
        """
        age_seconds = clocks.boot_seconds() - self._renewed_at
        return age_seconds < SOLE_HOLDER_SECONDS

    @contextlib.contextmanager
    def keepalive(self) -> Iterator[None]:
        """Renews the ownership while the new holder reads its rows.

        A node with a slow link needs seconds for that, in which others would
        take over the shard. Nothing else may be stored meanwhile.
        """
        done = threading.Event()

        def renew() -> None:
            while not done.wait(KEEPALIVE_SECONDS):
                if (
                    self.commit([], self._last_heartbeat)
                    is not CommitOutcome.STORED
                ):
                    return

        task = threading.Thread(target=renew, daemon=True)
        task.start()
        try:
            yield
        finally:
            done.set()
            task.join()

    def release(self) -> None:
        """Releases the shard, so that another node can claim it at once."""
        status = _lasting_status(_decode_status(self._last_heartbeat))
        if self.seized_at > -math.inf:
            status[SEIZED_FIELD] = time.monotonic() - self.seized_at
        self._store.transact(
            self.shard,
            [cluster.RowVersion(TABLE, OWNER, self.epoch)],
            [
                cluster.RowWrite(TABLE, OWNER, b""),
                cluster.RowWrite(TABLE, HEARTBEAT, cbor2.dumps(status)),
            ],
            TRANSACTION_TIMEOUT_SECONDS,
        )

    def _store_batch(self, batch: Sequence[cluster.RowWrite]) -> CommitOutcome:
        try:
            return self._store_until_known(batch)
        except Exception:
            self._unresolved_rows |= {
                (write.table, write.key) for write in batch
            }
            raise

    def _store_until_known(
        self, batch: Sequence[cluster.RowWrite]
    ) -> CommitOutcome:
        last_delay = RETRY_SECONDS[-1]
        failed_at = 0.0
        for wait_seconds in itertools.chain(
            RETRY_SECONDS, itertools.repeat(last_delay)
        ):
            sent_at = time.monotonic()
            confirmed_at = clocks.boot_seconds()
            written = self._store.transact(
                self.shard,
                self._conditions(batch),
                batch,
                self._timeout.seconds,
            )
            if _is_answered(written):
                self.response_seconds = time.monotonic() - sent_at
                self._timeout.record_response(self.response_seconds)
            else:
                self._timeout.record_timeout()
            if isinstance(written, result.Success):
                if failed_at:
                    events.log(
                        events.Event.STORE_RECOVERED,
                        "Store accepts transactions again",
                        shard=self.shard,
                        after_seconds=round(time.monotonic() - failed_at, 3),
                    )
                self._record_versions(batch, written.unwrap())
                self.confirmed_at = confirmed_at
                return CommitOutcome.STORED
            failed_at = failed_at or time.monotonic()
            fault = written.failure()
            if fault.kind is cluster.StoreFaultKind.CONFLICT:
                if self._adopt_unresolved(batch, fault):
                    continue
                outcome = self._resolve_conflict(batch, fault)
                if outcome is CommitOutcome.STORED:
                    self.confirmed_at = confirmed_at
                return outcome
            # A store that refuses even the heartbeat has a fault of its own.
            if fault.kind is cluster.StoreFaultKind.INVALID and (
                {write.table for write in batch} != {TABLE}
            ):
                return CommitOutcome.REFUSED
            events.log(
                events.Event.STORE_FAILED,
                "Transaction was not stored; retrying",
                level="WARNING",
                shard=self.shard,
                fault=fault.kind,
                detail=fault.detail,
            )
            # The conditions make a repeat safe, and only a repeat tells
            # whether a transaction without a response took effect.
            unknown = fault.kind is cluster.StoreFaultKind.OUTCOME_UNKNOWN
            if self._stopping.wait(
                RETRY_SECONDS[0] if unknown else wait_seconds
            ):
                return CommitOutcome.STOPPED
        return CommitOutcome.STOPPED

    def _conditions(
        self, batch: Sequence[cluster.RowWrite]
    ) -> list[cluster.RowVersion]:
        return [
            cluster.RowVersion(TABLE, OWNER, self.epoch),
            *(
                cluster.RowVersion(
                    write.table,
                    write.key,
                    self._version_by_row.get((write.table, write.key), 0),
                )
                for write in batch
            ),
        ]

    def _adopt_unresolved(
        self, batch: Sequence[cluster.RowWrite], fault: cluster.StoreFault
    ) -> bool:
        """Adopts the versions of rows that an interrupted commit has written.

        While the owner row is unchanged, only this writer can have written
        them. The heartbeat counts as renewed only once it is written again.

        Returns:
            Whether any version was adopted, so that a repeat may succeed.
        """
        version_by_row = {
            (row.table, row.key): row.version
            for row in fault.rows
            if row.value is not None
        }
        if version_by_row.get((TABLE, OWNER)) != self.epoch:
            return False
        adopted = {
            row: version_by_row.get(row, 0)
            for write in batch
            if (row := (write.table, write.key)) in self._unresolved_rows
            and version_by_row.get(row, 0) != self._version_by_row.get(row, 0)
        }
        self._version_by_row.update(adopted)
        self._unresolved_rows -= adopted.keys()
        return bool(adopted)

    def _resolve_conflict(
        self, batch: Sequence[cluster.RowWrite], fault: cluster.StoreFault
    ) -> CommitOutcome:
        """Distinguishes a lost shard from an earlier, stored attempt."""
        row_by_key = {(row.table, row.key): row for row in fault.rows}
        owner = row_by_key.get((TABLE, OWNER))
        if owner is None or owner.version != self.epoch:
            return CommitOutcome.LOST
        stored = all(
            (stored_row := row_by_key.get((write.table, write.key))) is not None
            and stored_row.value == write.value
            if write.value is not None
            else (stored_row := row_by_key.get((write.table, write.key)))
            is None
            or stored_row.value is None
            for write in batch
        )
        if not stored:
            return CommitOutcome.LOST
        for write in batch:
            stored_row = row_by_key.get((write.table, write.key))
            self._record_versions(
                [write], stored_row.version if stored_row else 0
            )
        return CommitOutcome.STORED

    def _record_versions(
        self, batch: Sequence[cluster.RowWrite], version: int
    ) -> None:
        self.stored_at = time.monotonic()
        self.stored_version = max(self.stored_version, version)
        for write in batch:
            if write.value is None:
                self._version_by_row.pop((write.table, write.key), None)
            else:
                self._version_by_row[write.table, write.key] = version
                # An older transaction requires an older version of the row.
                self._unresolved_rows.discard((write.table, write.key))


def _is_answered(
    written: result.Result[int, cluster.StoreFault],
) -> bool:
    return isinstance(written, result.Success) or (
        written.failure().kind is cluster.StoreFaultKind.CONFLICT
    )


def batches(
    writes: Sequence[cluster.RowWrite],
) -> list[list[cluster.RowWrite]]:
    """Splits writes into transactions that the store accepts."""
    result_batches: list[list[cluster.RowWrite]] = []
    size = 0
    for write in writes:
        length = len(write.value or b"")
        if (
            not result_batches
            or len(result_batches[-1]) >= WRITES_PER_TRANSACTION
            or size + length > BYTES_PER_TRANSACTION
        ):
            result_batches.append([])
            size = 0
        result_batches[-1].append(write)
        size += length
    return result_batches
