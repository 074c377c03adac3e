"""Writing the outcomes of claims, again if the store fails."""

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

# Claims need the store, so what waits here is at most the requests that were
# in progress when it failed, and those whose write was lost.
_MAX_WAITING = 2000
_MAX_WAITING_BYTES = 8 * 1024 * 1024
# After an outage all entry hosts write what waits; together they stay well
# below the store's rate.
_WRITES_PER_SECOND = 10
_PAUSE_SECONDS = 0.1
_PAUSE_MAX_SECONDS = 2.0
# Single lost answers are no outage.
_FAILURES_IN_A_ROW = 3
# A row that refuses the write although it holds the claim was expired.
_MAX_CONFLICTS = 20


class Settlement(NamedTuple):
    """The outcome of a claim on its way to the table.

    Attributes:
        row_key: Key of the row.
        version: Version of the row that holds the claim; if the claim's own
            write is uncertain, the version that it was based on.
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
        """Bytes that it holds in memory."""
        return len(self.reply.body) if self.reply else 0


class Step(enum.Enum):
    """What came of one attempt to write a settlement."""

    DONE = enum.auto()
    AGAIN = enum.auto()  # The version was corrected.
    STORE_FAILED = enum.auto()


def write(
    platform: platforms.Platform, settlement: Settlement
) -> tuple[Step, Settlement]:
    """Makes one attempt to write a settlement.

    The condition on the version makes a delayed copy of the write harmless.
    If an earlier attempt took effect without an answer, the condition fails,
    and reading the row shows it.

    Args:
        platform: The platform.
        settlement: The settlement.

    Returns:
        What came of it, and the settlement for the next attempt.
    """
    record = settlement.record
    if record.body_object and settlement.reply is not None:
        stored = platform.objects.put(record.body_object, settlement.reply.body)
        if not isinstance(stored, result.Success):
            return Step.STORE_FAILED, settlement
    written = platform.table.transact(
        [
            platforms.Condition(
                request_record.TABLE, settlement.row_key, settlement.version
            )
        ],
        [
            platforms.Write(
                request_record.TABLE,
                settlement.row_key,
                documents.encode(record),
            )
        ],
    )
    if isinstance(written, result.Success):
        return Step.DONE, settlement
    if written.failure().kind is not errors.ErrorKind.CONFLICT:
        return Step.STORE_FAILED, settlement
    return _resolve(platform, settlement)


def _resolve(
    platform: platforms.Platform, settlement: Settlement
) -> tuple[Step, Settlement]:
    read = platform.table.read(request_record.TABLE, settlement.row_key)
    decoded = read.bind(request_record.decode)
    if not isinstance(decoded, result.Success):
        return Step.STORE_FAILED, settlement
    row: platforms.Row | None = read.unwrap()
    found: request_record.RequestRecord | None = decoded.unwrap()
    again = settlement._replace(conflicts=settlement.conflicts + 1)
    if again.conflicts > _MAX_CONFLICTS:
        return Step.DONE, settlement
    if row is None or found is None:
        return Step.AGAIN, again
    if found.token != settlement.record.token:
        # The claim was never written, or was released and claimed anew. An
        # older row is either overwritten by the delayed claim or an old read.
        older = row.version <= settlement.version
        return (Step.AGAIN if older else Step.DONE), again
    if found.state is settlement.record.state:
        return Step.DONE, settlement
    return Step.AGAIN, again._replace(version=row.version)


class Settlements:
    """Outcomes that wait for the store, retried by one task."""

    def __init__(
        self, platform: platforms.Platform, clock: clocks.Clock, seed: str
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._waiting: dict[str, Settlement] = {}
        self._failures = 0
        self.changed = threading.Event()

    @property
    def waiting(self) -> int:
        """How many outcomes wait."""
        with self._lock:
            return len(self._waiting)

    def settle(self, settlement: Settlement) -> None:
        """Writes an outcome now, or keeps it to be written later.

        While the store fails, the caller's reply is not delayed by another
        attempt.
        """
        with self._lock:
            failing = self._failures >= _FAILURES_IN_A_ROW
        step = Step.STORE_FAILED
        if not failing:
            step, settlement = self._write(settlement)
            if step is Step.AGAIN:
                step, settlement = self._write(settlement)
        if step is not Step.DONE:
            self.keep(settlement)

    def keep(self, settlement: Settlement) -> None:
        """Keeps an outcome to be written later."""
        with self._lock:
            size = sum(item.size for item in self._waiting.values())
            if size + settlement.size > _MAX_WAITING_BYTES:
                # Repeats are told that the outcome is unknown.
                settlement = settlement._replace(
                    reply=None,
                    record=settlement.record._replace(
                        state=request_record.RecordState.UNKNOWN,
                        body="",
                        body_object="",
                    ),
                )
            dropped = len(self._waiting) >= _MAX_WAITING
            if not dropped:
                self._waiting[settlement.row_key] = settlement
        self.changed.set()
        if dropped:
            events.log(
                events.Event.STORE_FAILED,
                "An outcome is not recorded: too many wait for the store",
                level="ERROR",
                row=settlement.row_key,
            )

    def find(self, row_key: str) -> Settlement | None:
        """Returns an outcome that waits for the store."""
        with self._lock:
            return self._waiting.get(row_key)

    def turn(self) -> float:
        """Writes one outcome that waits.

        Returns:
            Seconds until the next turn.
        """
        with self._lock:
            settlement = next(iter(self._waiting.values()), None)
        if settlement is None:
            return 60.0
        step, following = self._write(settlement)
        with self._lock:
            if self._waiting.get(settlement.row_key) is settlement:
                del self._waiting[settlement.row_key]
                if step is not Step.DONE:  # To the end; none blocks all.
                    self._waiting[settlement.row_key] = following
        jitter = self._random.uniform(0.5, 1.5)
        if step is Step.STORE_FAILED:
            pause_seconds = _PAUSE_SECONDS * 2.0 ** min(self._failures, 10)
            return min(pause_seconds, _PAUSE_MAX_SECONDS) * jitter
        return jitter / _WRITES_PER_SECOND

    def flush(self, deadline_at: float) -> int:
        """Writes what waits until the store fails or the time is up.

        Args:
            deadline_at: Monotonic seconds.

        Returns:
            How many outcomes are lost.
        """
        with self._lock:
            waiting = tuple(self._waiting.values())
        lost = 0
        for settlement in waiting:
            step = Step.AGAIN
            following = settlement
            while step is Step.AGAIN and self._clock.monotonic() < deadline_at:
                step, following = self._write(following)
            lost += step is not Step.DONE
            if step is Step.STORE_FAILED:
                deadline_at = self._clock.monotonic()
        return lost

    def _write(self, settlement: Settlement) -> tuple[Step, Settlement]:
        step, following = write(self._platform, settlement)
        with self._lock:
            failed = step is Step.STORE_FAILED
            self._failures = self._failures + 1 if failed else 0
        return step, following
