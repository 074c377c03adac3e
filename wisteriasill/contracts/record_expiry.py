"""Expiry of the records of requests that must not be repeated.

Clocks of different machines are never compared. The holder of the `site` shard
increments a minute counter in a row. A claim records the counter, and its
record is deleted once the counter has grown by `LIFETIME_MINUTES`. While the
shard has no holder the counter stands still, so a record may live longer than
that but never shorter.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import request_record
from wisteriasill.links import platform as platforms

TABLE = "request_age"
KEY = "minutes"
LIFETIME_MINUTES = 24 * 60
_MINUTE_SECONDS = 60.0
_MAX_READ_AGE_SECONDS = 300.0
# Row keys are hashes, so prefixes of three hexadecimal digits divide the table
# into 4,096 equal parts. All of them are swept within 4.3 hours.
_PREFIX_DIGITS = 3
_PREFIXES_PER_MINUTE = 16
_ROWS_PER_TRANSACTION = 50


class Age(NamedTuple):
    """The row of the minute counter."""

    minutes: int


class AgeReader:
    """Caches the minute counter; one task reads it periodically."""

    def __init__(
        self, platform: platforms.Platform, clock: clocks.Clock
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._last_read = (0, -_MAX_READ_AGE_SECONDS)

    @property
    def minutes(self) -> int | None:
        """The counter; None if it was not read recently.

        An old value would make a new record expire early.
        """
        minutes, read_at = self._last_read
        age_seconds = self._clock.monotonic() - read_at
        return minutes if age_seconds < _MAX_READ_AGE_SECONDS else None

    def run_once(self) -> float:
        """Reads the counter.

        Returns:
            Seconds until the next iteration.
        """
        read = self._platform.table.read(TABLE, KEY)
        if not isinstance(read, result.Success):
            return _MINUTE_SECONDS / 10
        row: platforms.Row | None = read.unwrap()
        if row is not None:
            read_minutes = (
                documents.decode(Age, row.value).value_or(Age(0)).minutes
            )
            highest = max(read_minutes, self._last_read[0])
            self._last_read = (highest, self._clock.monotonic())
        return _MINUTE_SECONDS


class RecordExpiry:
    """Increments the counter and deletes old records.

    Run by the holder of the `site` shard.
    """

    def __init__(
        self, platform: platforms.Platform, clock: clocks.Clock
    ) -> None:
        """Builds the expiry.

        Args:
            platform: The platform; the shard's epoch fences its writes.
            clock: The clock.
        """
        self._platform = platform
        self._clock = clock
        self._next_minute_at = clock.monotonic() + _MINUTE_SECONDS
        self._prefix = 0

    def step(self) -> result.Result[None, errors.Failure]:
        """Increments the counter and sweeps part of the table, once a minute.

        Returns:
            The first failure of the store.
        """
        now = self._clock.monotonic()
        if now < self._next_minute_at:
            return result.Success(None)
        self._next_minute_at = now + _MINUTE_SECONDS
        return self._increment().bind(self._sweep)

    def _increment(self) -> result.Result[int, errors.Failure]:
        read = self._platform.table.read(TABLE, KEY)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        row: platforms.Row | None = read.unwrap()
        decoded = documents.decode(
            Age, row.value if row else documents.encode(Age(0))
        )
        if not isinstance(decoded, result.Success):
            return result.Failure(decoded.failure())
        minutes: int = decoded.unwrap().minutes + 1
        return self._platform.table.transact(
            [platforms.Condition(TABLE, KEY, row.version if row else 0)],
            [platforms.Write(TABLE, KEY, documents.encode(Age(minutes)))],
        ).map(lambda _: minutes)

    def _sweep(self, minutes: int) -> result.Result[None, errors.Failure]:
        for _ in range(_PREFIXES_PER_MINUTE):
            prefix = f"{self._prefix:0{_PREFIX_DIGITS}x}"
            scanned = self._platform.table.scan(request_record.TABLE, prefix)
            if not isinstance(scanned, result.Success):
                return result.Failure(scanned.failure())
            swept = self._sweep_rows(scanned.unwrap(), minutes)
            if not isinstance(swept, result.Success):
                return swept
            self._prefix = (self._prefix + 1) % 16**_PREFIX_DIGITS
        return result.Success(None)

    def _sweep_rows(
        self, rows: Sequence[platforms.Row], minutes: int
    ) -> result.Result[None, errors.Failure]:
        changes = [
            (row, write)
            for row in rows
            if (write := expire(row, minutes)) is not None
        ]
        for start in range(0, len(changes), _ROWS_PER_TRANSACTION):
            batch = changes[start : start + _ROWS_PER_TRANSACTION]
            written = self._platform.table.transact(
                [
                    platforms.Condition(row.table, row.key, row.version)
                    for row, _ in batch
                ],
                [write for _, write in batch],
            )
            if not isinstance(written, result.Success):
                # Conflicts are with records that just changed; the next
                # sweep handles them.
                if written.failure().kind is errors.ErrorKind.CONFLICT:
                    continue
                return result.Failure(written.failure())
        return result.Success(None)


def expire(row: platforms.Row, minutes: int) -> platforms.Write | None:
    """Decides how the sweep changes a row.

    Args:
        row: A row of the requests table.
        minutes: The minute counter.

    Returns:
        A deletion if the record is old; a write that adds the counter if its
        holder did not know it; None for no change.
    """
    decoded = documents.decode(request_record.RequestRecord, row.value)
    if not isinstance(decoded, result.Success):
        return None
    record: request_record.RequestRecord = decoded.unwrap()
    if record.age_minutes is None:
        aged = record._replace(age_minutes=minutes)
        return platforms.Write(row.table, row.key, documents.encode(aged))
    if minutes - record.age_minutes < LIFETIME_MINUTES:
        return None
    return platforms.Write(row.table, row.key, None)
