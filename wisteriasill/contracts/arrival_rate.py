"""Rate at which work arrives, as an exponentially weighted mean.

The load pattern it answers: a queue's demand rises eightyfold within two
seconds when its turn comes, long before its pool is full, and a host takes 1.7
seconds from the wish for it to its first task.
"""

from __future__ import annotations

import math

# A rise shows in half of this time, a fall in all of it.
STEADY_SECONDS = 1.5
FAST_SECONDS = 0.5
# How far a rise is drawn on: a move of a host takes 1.5 s, and a step would be
# overshot by more than a third.
LEAD_SECONDS = 1.0


class ArrivalRate:
    """Sums amounts of work that fade with time.

    Args:
        span_seconds: Time in which an arrival fades to a third.
    """

    def __init__(self, span_seconds: float) -> None:
        self._span_seconds = span_seconds
        self._amount = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Takes an arrival.

        Args:
            amount: Work in any unit.
            now: Steady time in seconds.
        """
        self._amount = self._faded(now) + amount
        self._at = now

    def per_second(self, now: float) -> float:
        """Returns the rate in units of work a second."""
        return self._faded(now) / self._span_seconds

    def _faded(self, now: float) -> float:
        age_seconds = max(0.0, now - self._at)
        return self._amount * math.exp(-age_seconds / self._span_seconds)


def pair() -> tuple[ArrivalRate, ArrivalRate]:
    """Returns a rate that shows rises and one that is steady."""
    return ArrivalRate(FAST_SECONDS), ArrivalRate(STEADY_SECONDS)


def forecast(rates: tuple[ArrivalRate, ArrivalRate], now: float) -> float:
    """Returns the rate that a rise leads to; a fall shows as it is.

    While a rate rises evenly, a weighted mean lags by its span, so that two of
    them tell the slope.

    Args:
        rates: A fast and a steady rate, as `pair` makes them.
        now: Steady time in seconds.
    """
    fast, steady = (rate.per_second(now) for rate in rates)
    slope = (fast - steady) / (STEADY_SECONDS - FAST_SECONDS)
    return fast + max(0.0, slope) * (FAST_SECONDS + LEAD_SECONDS)
