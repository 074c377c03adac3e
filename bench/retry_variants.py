"""Baseline retry policies for comparison."""

from __future__ import annotations

from collections.abc import Callable

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.contracts import retry

# 30, 60 and 120 s, scaled down as requests are useful for 2 s, not minutes.
SCALED_DELAYS_SECONDS = (0.3, 0.6, 1.2)


class UnlimitedRetries:
    """Retries every failed attempt immediately."""

    def __init__(self, clock: clocks.Clock) -> None:
        del clock

    def deposit(self) -> None:
        """Does nothing, as there is no budget."""

    def withdraw(self, failure: errors.Failure) -> bool:
        """Allows every retry."""
        del failure
        return True

    def delay_seconds(self, runs: int) -> float:
        """Returns no delay."""
        del runs
        return 0.0


class FixedSchedule(UnlimitedRetries):
    """Retries failed attempts after fixed delays."""

    def delay_seconds(self, runs: int) -> float:
        """Returns the delay before the next attempt."""
        index = min(max(runs, 1), len(SCALED_DELAYS_SECONDS)) - 1
        return SCALED_DELAYS_SECONDS[index]


BUILDERS_BY_NAME: dict[str, Callable[[clocks.Clock], retry.RetryPolicy]] = {
    "budget": retry.RetryBudget,
    "unlimited": UnlimitedRetries,
    "fixed": FixedSchedule,
}
