"""Arrival rate of work, as an exponentially weighted moving average.

Load pattern: the demand of a queue rises eightyfold within two seconds when
its peak begins, long before its pool is full, and a host takes 1.7 seconds from
the decision to move it until its first task.
"""

from __future__ import annotations

import math

# Time constants of the two averages. A rise is visible after half of the slow
# time constant, a fall only after all of it.
SLOW_SPAN_SECONDS = 1.5
FAST_SPAN_SECONDS = 0.5
# Horizon to which a rise is extrapolated. A move of a host takes 1.5 s, but
# with that value the forecast would overshoot a step by more than a third.
FORECAST_SECONDS = 1.0


class ArrivalRate:
    """Exponentially decaying sum of the work that arrives.

    Args:
        span_seconds: Time constant, in which an arrival decays to 37 %.
    """

    def __init__(self, span_seconds: float) -> None:
        self._span_seconds = span_seconds
        self._amount = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an arrival.

        Args:
            amount: Work in any unit.
            now: Monotonic time.
        """
        self._amount = self._decayed_amount(now) + amount
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Returns the rate in units of work a second."""
        return self._decayed_amount(now) / self._span_seconds

    def _decayed_amount(self, now: float) -> float:
        age_seconds = max(0.0, now - self._updated_at)
        return self._amount * math.exp(-age_seconds / self._span_seconds)


def fast_and_slow() -> tuple[ArrivalRate, ArrivalRate]:
    """Returns a fast and a slow average."""
    return ArrivalRate(FAST_SPAN_SECONDS), ArrivalRate(SLOW_SPAN_SECONDS)


def forecast(rates: tuple[ArrivalRate, ArrivalRate], now: float) -> float:
    """Extrapolates a rising rate; returns a falling rate unchanged.

    While a rate rises linearly, each average lags by its time constant, so
    that the difference of the two gives the slope.

    Args:
        rates: A fast and a slow average, as `fast_and_slow` returns them.
        now: Monotonic time.
    """
    fast, slow = (rate.per_second(now) for rate in rates)
    slope = (fast - slow) / (SLOW_SPAN_SECONDS - FAST_SPAN_SECONDS)
    return fast + max(0.0, slope) * (FAST_SPAN_SECONDS + FORECAST_SECONDS)
