"""Rate limit of control writes, with jitter after an outage."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading
from typing import NamedTuple

from wisteriasill import clock as clocks


class WriteLimits(NamedTuple):
    """Rate limits of control writes.

    Attributes:
        site_rows_per_second: Limit for all members together. With lease
            renewals and the configuration it stays below 75 rows a second, a
            quarter of the 300 that the store supports at least.
        burst_rows: Rows that one process may write at once.
        jitter_seconds: Range of the random delay of a member's first writes
            after an outage, so that members don't write all at once. It is
            short enough to resume within 10 s.
    """

    site_rows_per_second: float = 56.0
    burst_rows: int = 16
    jitter_seconds: float = 3.0


DEFAULT_LIMITS = WriteLimits()


class WriteBudget:
    """A token bucket that the shard tasks of one process share.

    The process gets a share of the site's rate in proportion to its shards, so
    the rates of all members add up to the site's.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        shard_share: Callable[[], float],
        rng: random.Random,
        limits: WriteLimits = DEFAULT_LIMITS,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._shard_share = shard_share
        self._rng = rng
        self._lock = threading.Lock()
        self._tokens = float(limits.burst_rows)
        self._refilled_at = clock.monotonic()
        self._paused_until = 0.0
        self._outage = False

    @property
    def rows_per_second(self) -> float:
        """This process's share of the site's rate."""
        return self._limits.site_rows_per_second * self._shard_share()

    def reserve(self, rows: int) -> float:
        """Reserves writes.

        Args:
            rows: Rows to write.

        Returns:
            Seconds to wait before sending them.
        """
        with self._lock:
            now = self._clock.monotonic()
            rate = self.rows_per_second
            self._tokens = min(
                float(self._limits.burst_rows),
                self._tokens + (now - self._refilled_at) * rate,
            )
            self._refilled_at = now
            self._tokens -= rows
            delay_seconds = max(0.0, -self._tokens / rate)
            return max(delay_seconds, self._paused_until - now)

    def record_outcome(self, available: bool) -> bool:
        """Records whether the store was available for a call.

        Args:
            available: Whether it was.

        Returns:
            Whether this call ended an outage.
        """
        with self._lock:
            ended = available and self._outage
            self._outage = not available
            if ended:
                now = self._clock.monotonic()
                self._paused_until = now + self._rng.uniform(
                    0, self._limits.jitter_seconds
                )
                self._tokens = min(self._tokens, 0.0)
            return ended
