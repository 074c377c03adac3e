"""Timeout of repeatable calls, from the response times of earlier ones.

Load pattern: the store loses a third of its answers at a peak. A fixed timeout
that suits a slow store, which takes half a second, stalls a pool for longer
than the objective of a short job each time that an answer is lost.
"""

from __future__ import annotations

import threading

# Weights of the newest response time and of its deviation, and the deviations
# added to the mean, as for retransmissions of TCP (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0
BACKOFF_FACTOR = 2.0


class CallTimeout:
    """Adapts a timeout to measured response times; safe for threads.

    A repeated call must be idempotent, as the earlier one may still take
    effect.

    Args:
        min_seconds: Shortest timeout.
        max_seconds: Longest timeout.
    """

    def __init__(self, min_seconds: float, max_seconds: float) -> None:
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self._mean_seconds: float | None = None
        self._deviation_seconds = 0.0
        self._backoff = 1.0
        self._lock = threading.Lock()

    @property
    def seconds(self) -> float:
        """Timeout of the next call."""
        with self._lock:
            expected_seconds = (
                self._mean_seconds or 0.0
            ) + DEVIATIONS * self._deviation_seconds
            return min(
                self._max_seconds,
                self._backoff * max(self._min_seconds, expected_seconds),
            )

    def record_response(self, seconds: float) -> None:
        """Records how long an answered call took."""
        with self._lock:
            self._backoff = 1.0
            if self._mean_seconds is None:
                self._mean_seconds = seconds
                self._deviation_seconds = seconds / 2
                return
            error = seconds - self._mean_seconds
            self._mean_seconds += MEAN_WEIGHT * error
            self._deviation_seconds += DEVIATION_WEIGHT * (
                abs(error) - self._deviation_seconds
            )

    def record_timeout(self) -> None:
        """Doubles the timeout until a call is answered."""
        with self._lock:
            self._backoff = min(
                self._backoff * BACKOFF_FACTOR,
                self._max_seconds / self._min_seconds,
            )
