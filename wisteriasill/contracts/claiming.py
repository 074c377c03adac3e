"""Claiming the key of a request that must not be repeated."""

from __future__ import annotations

from collections.abc import Iterator
import random
import threading
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import request_record
from wisteriasill.links import platform as platforms
from wisteriasill.machines import member as members

_POLL_SECONDS = 0.05
_POLL_MAX_SECONDS = 0.5
_IN_PROGRESS = request_record.Verdict.IN_PROGRESS


class Claim(NamedTuple):
    """The right to execute one request, once.

    Attributes:
        row_key: Key of the record's row.
        version: Version of the row that holds the claim.
        record: The claimed record.
    """

    row_key: str
    version: int
    record: request_record.RequestRecord


class Ask(NamedTuple):
    """One request's attempt to claim its key.

    Attributes:
        row_key: Key of the record's row.
        record: The record to write.
        deadline_at: Monotonic seconds until which the attempt may wait.
    """

    row_key: str
    record: request_record.RequestRecord
    deadline_at: float


class Found(NamedTuple):
    """What the table showed.

    Attributes:
        verdict: What it means to the request.
        version: Version of the row; 0 for no row.
        record: The record; None for no row.
    """

    verdict: request_record.Verdict
    version: int
    record: request_record.RequestRecord | None


class Refused(NamedTuple):
    """An attempt that ended without a claim and without an answer.

    Attributes:
        uncertain: Whether its own write may still take effect.
        version: Version that the last write was based on.
    """

    uncertain: bool
    version: int


class Claimer:
    """Claims keys in the table; thread safe.

    Args:
        platform: The platform.
        clock: The clock.
        stopping: Ends waits early.
    """

    def __init__(
        self,
        platform: platforms.Platform,
        clock: clocks.Clock,
        stopping: threading.Event,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._stopping = stopping

    def claim(self, ask: Ask) -> Claim | Found | Refused:
        """Inserts the record until the outcome is known.

        A write whose answer was lost is resolved by reading the row. If the
        row is not there, the write is repeated: it has the same token and a
        condition, so only one of its copies can take effect.

        Args:
            ask: The request.

        Returns:
            The claim; the record of another request; or why neither could
            be had before the deadline.
        """
        version = 0
        uncertain = False
        delays = _delays(ask.record.token)
        while True:
            written = self._insert(ask, version)
            if isinstance(written, result.Success):
                return Claim(ask.row_key, written.unwrap()[0], ask.record)
            kind = written.failure().kind
            if kind is errors.ErrorKind.STORE_OUTCOME_UNKNOWN:
                uncertain = True
            elif kind is not errors.ErrorKind.CONFLICT:
                return Refused(uncertain, version)
            found = self._look(ask)
            if found is None:
                return Refused(uncertain, version)
            if found.verdict is request_record.Verdict.OWN:
                return Claim(ask.row_key, found.version, ask.record)
            if found.verdict is not request_record.Verdict.FREE:
                return found
            if self._clock.monotonic() >= ask.deadline_at:
                return Refused(uncertain, version)
            version = found.version
            self._clock.wait(self._stopping, next(delays))

    def _insert(
        self, ask: Ask, version: int
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        table = request_record.TABLE
        return self._platform.table.transact(
            [platforms.Condition(table, ask.row_key, version)],
            [platforms.Write(table, ask.row_key, documents.encode(ask.record))],
        )

    def _look(self, ask: Ask) -> Found | None:
        """Reads the record and waits while another claim is in progress.

        Returns:
            What was found last; None if the store never answered.
        """
        found: Found | None = None
        for delay_seconds in _delays(ask.record.token):
            latest = self._read(ask)
            found = latest or found
            if latest and latest.verdict is not _IN_PROGRESS:
                return latest
            if found and self._is_gone(ask, found.record):
                return found._replace(verdict=request_record.Verdict.UNKNOWN)
            left_seconds = ask.deadline_at - self._clock.monotonic()
            if left_seconds <= 0:
                break
            self._clock.wait(self._stopping, min(delay_seconds, left_seconds))
        return found

    def _read(self, ask: Ask) -> Found | None:
        read = self._platform.table.read(request_record.TABLE, ask.row_key)
        decoded = read.bind(request_record.decode)
        if not isinstance(decoded, result.Success):
            return None
        row: platforms.Row | None = read.unwrap()
        record: request_record.RequestRecord | None = decoded.unwrap()
        verdict = request_record.judge(
            record, ask.record.token, ask.record.body_digest
        )
        return Found(verdict, row.version if row else 0, record)

    def _is_gone(
        self, ask: Ask, record: request_record.RequestRecord | None
    ) -> bool:
        """Whether the process that holds a claim has ended."""
        if record is None:
            return False
        if record.holder == ask.record.holder:
            return record.incarnation != ask.record.incarnation
        read = self._platform.table.read(members.TABLE, record.holder)
        if not isinstance(read, result.Success):
            return False
        row: platforms.Row | None = read.unwrap()
        return row is None or (
            bool(record.incarnation)
            and row.value.get("incarnation") != record.incarnation
        )


def _delays(seed: str) -> Iterator[float]:
    """Yields growing delays with jitter, without end."""
    jitter = random.Random(seed)
    delay_seconds = _POLL_SECONDS
    while True:
        yield delay_seconds * jitter.uniform(0.5, 1.0)
        delay_seconds = min(2 * delay_seconds, _POLL_MAX_SECONDS)
