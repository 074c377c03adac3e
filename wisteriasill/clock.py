"""Clocks: the system's and one that tests set by hand."""

from __future__ import annotations

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time and of bounded waits."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary fixed point."""

    def wait(self, event: threading.Event, timeout_seconds: float) -> bool:
        """Waits for an event.

        Args:
            event: The event to wait for.
            timeout_seconds: The longest wait.

        Returns:
            Whether the event was set.
        """


class SystemClock:
    """The machine's monotonic clock."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary fixed point."""
        return time.monotonic()

    def wait(self, event: threading.Event, timeout_seconds: float) -> bool:
        """Waits for an event, as `Clock.wait` says."""
        return event.wait(timeout_seconds)


class ManualClock:
    """A clock that advances only when told to.

    `wait` advances the clock by the timeout unless the event is set, so a
    loop that waits runs through simulated time without sleeping.
    """

    def __init__(self, start_seconds: float = 0.0) -> None:
        self._now_seconds = start_seconds

    def monotonic(self) -> float:
        """Returns the time that was set."""
        return self._now_seconds

    def advance(self, seconds: float) -> None:
        """Moves the clock forward.

        Args:
            seconds: How far.
        """
        self._now_seconds += seconds

    def wait(self, event: threading.Event, timeout_seconds: float) -> bool:
        """Returns at once; advances by the timeout if the event is not set."""
        if event.is_set():
            return True
        self.advance(timeout_seconds)
        return False


class PauseDetector:
    """Tells a loop that its process was stopped between two turns.

    A monotonic clock goes on while a process is suspended. What the loop
    learned before the pause, such as which peers are heard, is out of date
    afterwards.
    """

    def __init__(self, clock: Clock, limit_seconds: float) -> None:
        """Starts at the time of the first turn.

        Args:
            clock: The clock.
            limit_seconds: Longest time that a turn takes without a pause.
        """
        self._clock = clock
        self._limit_seconds = limit_seconds
        self._turn_at = clock.monotonic()

    def paused(self) -> bool:
        """Notes a turn.

        Returns:
            Whether the last turn began longer ago than the limit.
        """
        now = self._clock.monotonic()
        elapsed_seconds = now - self._turn_at
        self._turn_at = now
        return elapsed_seconds > self._limit_seconds


def sleep(clock: Clock, seconds: float) -> None:
    """Waits on a clock; does nothing for a time that is not positive.

    Args:
        clock: The clock.
        seconds: How long.
    """
    if seconds > 0:
        clock.wait(threading.Event(), seconds)
