"""Claims the keys of requests that must not be repeated."""

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
    """The right to execute a request once.

    Attributes:
        row_key: Key of the record's row.
        version: Version of the row that holds the claim.
        record: The claimed record.
    """

    row_key: str
    version: int
    record: request_record.RequestRecord


class ClaimRequest(NamedTuple):
    """A request's attempt to claim its key.

    Attributes:
        row_key: Key of the record's row.
        record: The record to write.
        deadline_at: Monotonic time until which the attempt may wait.
    """

    row_key: str
    record: request_record.RequestRecord
    deadline_at: float


class ExistingRecord(NamedTuple):
    """The record that the table has for a key.

    Attributes:
        verdict: What the record means for the request.
        version: Version of the row; 0 for no row.
        record: The record; None for no row.
    """

    verdict: request_record.Verdict
    version: int
    record: request_record.RequestRecord | None


class ClaimFailed(NamedTuple):
    """An attempt that ended without a claim and without a verdict.

    Attributes:
        uncertain: Whether its write may still take effect.
        version: Version that the last write was based on.
    """

    uncertain: bool
    version: int


class Claimer:
    """Claims keys in the table; thread safe.

    Args:
        platform: The platform.
        clock: The clock.
        stopping: Set to end waits early.
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

    def claim(
        self, request: ClaimRequest
    ) -> Claim | ExistingRecord | ClaimFailed:
        """Inserts the record and retries until the outcome is known.

        After a write without an answer, the row is read. If there is no row,
        the write is retried with the same token and condition, so that only
        one of its copies can take effect.

        Args:
            request: The request.

        Returns:
            The claim; the record of another request; or a failure if neither
            is available before the deadline.
        """
        version = 0
        uncertain = False
        delays = _delays(request.record.token)
        while True:
            written = self._insert(request, version)
            if isinstance(written, result.Success):
                return Claim(
                    request.row_key, written.unwrap()[0], request.record
                )
            kind = written.failure().kind
            if kind is errors.ErrorKind.STORE_OUTCOME_UNKNOWN:
                uncertain = True
            elif kind is not errors.ErrorKind.CONFLICT:
                return ClaimFailed(uncertain, version)
            existing = self._poll_record(request)
            if existing is None:
                return ClaimFailed(uncertain, version)
            if existing.verdict is request_record.Verdict.OWN:
                return Claim(request.row_key, existing.version, request.record)
            if existing.verdict is not request_record.Verdict.FREE:
                return existing
            if self._clock.monotonic() >= request.deadline_at:
                return ClaimFailed(uncertain, version)
            version = existing.version
            self._clock.wait(self._stopping, next(delays))

    def _insert(
        self, request: ClaimRequest, version: int
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        table = request_record.TABLE
        return self._platform.table.transact(
            [platforms.Condition(table, request.row_key, version)],
            [
                platforms.Write(
                    table, request.row_key, documents.encode(request.record)
                )
            ],
        )

    def _poll_record(self, request: ClaimRequest) -> ExistingRecord | None:
        """Reads the record and waits while another claim is in progress.

        Returns:
            The last record that was read; None if the store never answered.
        """
        existing: ExistingRecord | None = None
        for delay_seconds in _delays(request.record.token):
            latest = self._read(request)
            existing = latest or existing
            if latest and latest.verdict is not _IN_PROGRESS:
                return latest
            if existing and self._has_holder_ended(request, existing.record):
                return existing._replace(verdict=request_record.Verdict.UNKNOWN)
            remaining_seconds = request.deadline_at - self._clock.monotonic()
            if remaining_seconds <= 0:
                break
            self._clock.wait(
                self._stopping, min(delay_seconds, remaining_seconds)
            )
        return existing

    def _read(self, request: ClaimRequest) -> ExistingRecord | None:
        read = self._platform.table.read(request_record.TABLE, request.row_key)
        decoded = read.bind(request_record.decode)
        if not isinstance(decoded, result.Success):
            return None
        row: platforms.Row | None = read.unwrap()
        record: request_record.RequestRecord | None = decoded.unwrap()
        verdict = request_record.judge(
            record, request.record.token, request.record.body_digest
        )
        return ExistingRecord(verdict, row.version if row else 0, record)

    def _has_holder_ended(
        self, request: ClaimRequest, record: request_record.RequestRecord | None
    ) -> bool:
        """Returns whether the process that holds a claim has ended."""
        if record is None:
            return False
        if record.holder == request.record.holder:
            return record.incarnation != request.record.incarnation
        read = self._platform.table.read(members.TABLE, record.holder)
        if not isinstance(read, result.Success):
            return False
        row: platforms.Row | None = read.unwrap()
        return row is None or (
            bool(record.incarnation)
            and row.value.get("incarnation") != record.incarnation
        )


def _delays(seed: str) -> Iterator[float]:
    """Yields exponentially growing delays with jitter, without end."""
    jitter = random.Random(seed)
    delay_seconds = _POLL_SECONDS
    while True:
        yield delay_seconds * jitter.uniform(0.5, 1.0)
        delay_seconds = min(2 * delay_seconds, _POLL_MAX_SECONDS)
