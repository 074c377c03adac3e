"""Expiry of the records of requests that must not be repeated.

Clocks of machines are never compared. The holder of the `site` shard counts
minutes in a row; a claim notes the count, and its record is deleted once the
count has grown by `LIFETIME_MINUTES`. While nobody holds the shard the count
stands still, so a record may live longer but never shorter.
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
_TRUSTED_SECONDS = 300.0
# Rows are named by a hash, so three hexadecimal digits divide the table into
# 4,096 equal parts. All are swept within 4.3 hours.
_PREFIX_DIGITS = 3
_PREFIXES_A_MINUTE = 16
_ROWS_A_TRANSACTION = 50


class Age(NamedTuple):
    """The row that counts minutes."""

    minutes: int


class AgeReader:
    """Knows the age counter; one task reads it."""

    def __init__(
        self, platform: platforms.Platform, clock: clocks.Clock
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._last_read = (0, -_TRUSTED_SECONDS)

    @property
    def minutes(self) -> int | None:
        """The counter; None if it was not read lately.

        An old count would make a new record expire early.
        """
        minutes, read_at = self._last_read
        age_seconds = self._clock.monotonic() - read_at
        return minutes if age_seconds < _TRUSTED_SECONDS else None

    def turn(self) -> float:
        """Reads the counter.

        Returns:
            Seconds until the next turn.
        """
        read = self._platform.table.read(TABLE, KEY)
        if not isinstance(read, result.Success):
            return _MINUTE_SECONDS / 10
        row: platforms.Row | None = read.unwrap()
        if row is not None:
            seen = documents.decode(Age, row.value).value_or(Age(0)).minutes
            highest = max(seen, self._last_read[0])
            self._last_read = (highest, self._clock.monotonic())
        return _MINUTE_SECONDS


class RecordExpiry:
    """Counts minutes and deletes old records; run by the `site` holder."""

    def __init__(
        self, platform: platforms.Platform, clock: clocks.Clock
    ) -> None:
        """Builds the expiry.

        Args:
            platform: The platform, whose writes are fenced by the shard.
            clock: The clock.
        """
        self._platform = platform
        self._clock = clock
        self._minute_at = clock.monotonic() + _MINUTE_SECONDS
        self._prefix = 0

    def step(self) -> result.Result[None, errors.Failure]:
        """Counts a minute and sweeps a part of the table, when it is due.

        Returns:
            The first failure of the store.
        """
        now = self._clock.monotonic()
        if now < self._minute_at:
            return result.Success(None)
        self._minute_at = now + _MINUTE_SECONDS
        return self._count().bind(self._sweep)

    def _count(self) -> result.Result[int, errors.Failure]:
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
        for _ in range(_PREFIXES_A_MINUTE):
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
        for start in range(0, len(changes), _ROWS_A_TRANSACTION):
            part = changes[start : start + _ROWS_A_TRANSACTION]
            written = self._platform.table.transact(
                [
                    platforms.Condition(row.table, row.key, row.version)
                    for row, _ in part
                ],
                [write for _, write in part],
            )
            if not isinstance(written, result.Success):
                # A record that changes at this moment is swept next time.
                if written.failure().kind is errors.ErrorKind.CONFLICT:
                    continue
                return result.Failure(written.failure())
        return result.Success(None)


def expire(row: platforms.Row, minutes: int) -> platforms.Write | None:
    """Decides what the sweep does to a row.

    Args:
        row: A row of the requests table.
        minutes: The age counter.

    Returns:
        A deletion if it is old; a write that notes its age if its holder did
        not know the counter; None if it stays.
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
