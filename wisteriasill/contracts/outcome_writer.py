"""Writes the outcomes of claims; retries if the store fails."""

from __future__ import annotations

import enum
import random
import threading
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import exchange
from wisteriasill.contracts import request_record
from wisteriasill.links import platform as platforms

# Claims need the store, so at most the requests that were in progress when the
# store failed, and those whose write was lost, are pending.
_MAX_WAITING = 2000
_MAX_WAITING_BYTES = 8 * 1024 * 1024
# Rate of each entry host after an outage; all of them together stay well below
# the rate limit of the store.
_WRITES_PER_SECOND = 10
_PAUSE_SECONDS = 0.1
_PAUSE_MAX_SECONDS = 2.0
# Fewer failures in a row are treated as single lost answers, not an outage.
_FAILURES_IN_A_ROW = 3
# A claim whose write conflicts more often than this belongs to an expired row.
_MAX_CONFLICTS = 20


class PendingOutcome(NamedTuple):
    """The outcome of a claim that is not written yet.

    Attributes:
        row_key: Key of the row.
        version: Version of the row that holds the claim. If it is uncertain
            whether the claim was written, the version that the claim was
            based on.
        record: The record to write.
        reply: The reply of a finished request.
        conflicts: Failed conditions so far.
    """

    row_key: str
    version: int
    record: request_record.RequestRecord
    reply: exchange.Reply | None = None
    conflicts: int = 0

    @property
    def size(self) -> int:
        """Size of the reply in bytes."""
        return len(self.reply.body) if self.reply else 0


class WriteResult(enum.Enum):
    """Result of one attempt to write an outcome."""

    DONE = enum.auto()
    RETRY = enum.auto()  # With the corrected version.
    STORE_FAILED = enum.auto()


def write(
    platform: platforms.Platform, pending: PendingOutcome
) -> tuple[WriteResult, PendingOutcome]:
    """Makes one attempt to write an outcome.

    The condition on the version makes a delayed copy of the write harmless.
    If an earlier attempt took effect but its answer was lost, the condition
    fails and a read of the row shows the outcome.

    Args:
        platform: The platform.
        pending: The outcome.

    Returns:
        The result, and the outcome to write in the next attempt.
    """
    record = pending.record
    if record.body_object and pending.reply is not None:
        stored = platform.objects.put(record.body_object, pending.reply.body)
        if not isinstance(stored, result.Success):
            return WriteResult.STORE_FAILED, pending
    written = platform.table.transact(
        [
            platforms.Condition(
                request_record.TABLE, pending.row_key, pending.version
            )
        ],
        [
            platforms.Write(
                request_record.TABLE,
                pending.row_key,
                documents.encode(record),
            )
        ],
    )
    if isinstance(written, result.Success):
        return WriteResult.DONE, pending
    if written.failure().kind is not errors.ErrorKind.CONFLICT:
        return WriteResult.STORE_FAILED, pending
    return _resolve(platform, pending)


def _resolve(
    platform: platforms.Platform, pending: PendingOutcome
) -> tuple[WriteResult, PendingOutcome]:
    read = platform.table.read(request_record.TABLE, pending.row_key)
    decoded = read.bind(request_record.decode)
    if not isinstance(decoded, result.Success):
        return WriteResult.STORE_FAILED, pending
    row: platforms.Row | None = read.unwrap()
    stored_record: request_record.RequestRecord | None = decoded.unwrap()
    retried = pending._replace(conflicts=pending.conflicts + 1)
    if retried.conflicts > _MAX_CONFLICTS:
        return WriteResult.DONE, pending
    if row is None or stored_record is None:
        return WriteResult.RETRY, retried
    if stored_record.token != pending.record.token:
        # The claim was never written, or was released and claimed again. An
        # older row is a stale read, or the delayed claim will overwrite it.
        older = row.version <= pending.version
        return (WriteResult.RETRY if older else WriteResult.DONE), retried
    if stored_record.state is pending.record.state:
        return WriteResult.DONE, pending
    return WriteResult.RETRY, retried._replace(version=row.version)


class OutcomeWriter:
    """Queues outcomes that wait for the store; one task retries them."""

    def __init__(
        self, platform: platforms.Platform, clock: clocks.Clock, seed: str
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._waiting: dict[str, PendingOutcome] = {}
        self._failures = 0
        self.changed = threading.Event()

    @property
    def waiting(self) -> int:
        """Number of outcomes that wait."""
        with self._lock:
            return len(self._waiting)

    def write_or_queue(self, pending: PendingOutcome) -> None:
        """Writes an outcome now or queues it.

        While the store fails, the outcome is queued without an attempt, so
        that the caller's reply is not delayed.
        """
        with self._lock:
            failing = self._failures >= _FAILURES_IN_A_ROW
        write_result = WriteResult.STORE_FAILED
        if not failing:
            write_result, pending = self._write(pending)
            if write_result is WriteResult.RETRY:
                write_result, pending = self._write(pending)
        if write_result is not WriteResult.DONE:
            self.enqueue(pending)

    def enqueue(self, pending: PendingOutcome) -> None:
        """Queues an outcome to be written later."""
        with self._lock:
            size = sum(queued.size for queued in self._waiting.values())
            if size + pending.size > _MAX_WAITING_BYTES:
                # Repeated requests then get an unknown outcome.
                pending = pending._replace(
                    reply=None,
                    record=pending.record._replace(
                        state=request_record.RecordState.UNKNOWN,
                        body="",
                        body_object="",
                    ),
                )
            dropped = len(self._waiting) >= _MAX_WAITING
            if not dropped:
                self._waiting[pending.row_key] = pending
        self.changed.set()
        if dropped:
            events.log(
                events.Event.STORE_FAILED,
                "Dropped the outcome of a request; too many wait for the store",
                level="ERROR",
                row=pending.row_key,
            )

    def find(self, row_key: str) -> PendingOutcome | None:
        """Returns the queued outcome of a row; None if there is none."""
        with self._lock:
            return self._waiting.get(row_key)

    def run_once(self) -> float:
        """Makes one attempt to write the first queued outcome.

        Returns:
            Seconds until the next iteration.
        """
        with self._lock:
            pending = next(iter(self._waiting.values()), None)
        if pending is None:
            return 60.0
        write_result, next_pending = self._write(pending)
        with self._lock:
            if self._waiting.get(pending.row_key) is pending:
                del self._waiting[pending.row_key]
                if write_result is not WriteResult.DONE:
                    # Moved to the end of the queue, so that it blocks no other.
                    self._waiting[pending.row_key] = next_pending
        jitter = self._random.uniform(0.5, 1.5)
        if write_result is WriteResult.STORE_FAILED:
            pause_seconds = _PAUSE_SECONDS * 2.0 ** min(self._failures, 10)
            return min(pause_seconds, _PAUSE_MAX_SECONDS) * jitter
        return jitter / _WRITES_PER_SECOND

    def flush(self, deadline_at: float) -> int:
        """Writes queued outcomes until the store fails or the deadline passes.

        Args:
            deadline_at: Monotonic time.

        Returns:
            Number of outcomes that were not written.
        """
        with self._lock:
            waiting = tuple(self._waiting.values())
        lost = 0
        for pending in waiting:
            write_result = WriteResult.RETRY
            next_pending = pending
            while (
                write_result is WriteResult.RETRY
                and self._clock.monotonic() < deadline_at
            ):
                write_result, next_pending = self._write(next_pending)
            lost += write_result is not WriteResult.DONE
            if write_result is WriteResult.STORE_FAILED:
                deadline_at = self._clock.monotonic()
        return lost

    def _write(
        self, pending: PendingOutcome
    ) -> tuple[WriteResult, PendingOutcome]:
        write_result, next_pending = write(self._platform, pending)
        with self._lock:
            failed = write_result is WriteResult.STORE_FAILED
            self._failures = self._failures + 1 if failed else 0
        return write_result, next_pending
