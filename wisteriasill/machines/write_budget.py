"""A bound on the rate of control writes, with jitter after an outage."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading
from typing import NamedTuple

from wisteriasill import clock as clocks


class WriteLimits(NamedTuple):
    """Bounds on control writes.

    Attributes:
        site_rows_per_second: All members together. With lease renewals and
            the configuration they stay below 75, a quarter of 300 writes a
            second, which is the least that the store supports.
        burst_rows: Rows that one process may write at once.
        jitter_seconds: Members that notice the end of an outage in the same
            second spread their first writes over this time, short enough to
            resume within 10 s.
    """

    site_rows_per_second: float = 56.0
    burst_rows: int = 16
    jitter_seconds: float = 3.0


DEFAULT_LIMITS = WriteLimits()


class WriteBudget:
    """A token bucket that the shard tasks of one process share."""

    def __init__(
        self,
        clock: clocks.Clock,
        live_members: Callable[[], int],
        rng: random.Random,
        limits: WriteLimits = DEFAULT_LIMITS,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._live_members = live_members
        self._rng = rng
        self._lock = threading.Lock()
        self._tokens = float(limits.burst_rows)
        self._filled_at = clock.monotonic()
        self._closed_until = 0.0
        self._outage = False

    @property
    def rows_per_second(self) -> float:
        """This process's share of the site's rate."""
        return self._limits.site_rows_per_second / max(1, self._live_members())

    def reserve(self, rows: int) -> float:
        """Reserves writes.

        Args:
            rows: Rows to write.

        Returns:
            Seconds to wait before they are sent.
        """
        with self._lock:
            now = self._clock.monotonic()
            rate = self.rows_per_second
            self._tokens = min(
                float(self._limits.burst_rows),
                self._tokens + (now - self._filled_at) * rate,
            )
            self._filled_at = now
            self._tokens -= rows
            delay_seconds = max(0.0, -self._tokens / rate)
            return max(delay_seconds, self._closed_until - now)

    def note(self, available: bool) -> bool:
        """Notes whether the store answered.

        Args:
            available: Whether it did.

        Returns:
            Whether this is the end of an outage.
        """
        with self._lock:
            ended = available and self._outage
            self._outage = not available
            if ended:
                now = self._clock.monotonic()
                self._closed_until = now + self._rng.uniform(
                    0, self._limits.jitter_seconds
                )
                self._tokens = min(self._tokens, 0.0)
            return ended
