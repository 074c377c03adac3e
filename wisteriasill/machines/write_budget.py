"""A bound on the rate of control writes, with jitter after an outage."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading

from wisteriasill import clock as clocks

# All members together stay below a quarter of the store's several hundred
# writes a second; lease renewals and configuration take the rest of it.
SITE_ROWS_PER_SECOND = 56.0
BURST_ROWS = 32
# Members that notice the end of an outage in the same second spread their
# first writes over this time, short enough to resume within 10 s.
JITTER_SECONDS = 3.0


class WriteBudget:
    """A token bucket that the shard tasks of one process share."""

    def __init__(
        self,
        clock: clocks.Clock,
        live_members: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._live_members = live_members
        self._rng = rng
        self._lock = threading.Lock()
        self._tokens = float(BURST_ROWS)
        self._filled_at = clock.monotonic()
        self._closed_until = 0.0
        self._outage = False

    @property
    def rows_per_second(self) -> float:
        """This process's share of the site's rate."""
        return SITE_ROWS_PER_SECOND / max(1, self._live_members())

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
                float(BURST_ROWS),
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
                self._closed_until = now + self._rng.uniform(0, JITTER_SECONDS)
                self._tokens = min(self._tokens, 0.0)
            return ended
