"""Clocks: the system clock and a manual clock for tests."""

from __future__ import annotations

import threading
import time
from typing import Protocol

# Unlike the monotonic clock, this one goes on while the machine is suspended.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_seconds() -> float:
    """Returns seconds since the start of the machine, suspensions included."""
    return time.clock_gettime(_BOOT_CLOCK)


class Clock(Protocol):
    """A source of monotonic time and of bounded waits."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary fixed point."""

    def wait(self, event: threading.Event, timeout_seconds: float) -> bool:
        """Waits for an event.

        Args:
            event: The event to wait for.
            timeout_seconds: Maximum wait.

        Returns:
            Whether the event was set.
        """


class SystemClock:
    """The machine's monotonic clock."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary fixed point."""
        return time.monotonic()

    def wait(self, event: threading.Event, timeout_seconds: float) -> bool:
        """Waits for an event; see `Clock.wait`."""
        return event.wait(timeout_seconds)


class ManualClock:
    """A simulated clock that advances only on `advance` and `wait`.

    `wait` advances the clock by the timeout unless the event is set, so
    loops that wait run in simulated time without sleeping.
    """

    def __init__(self, start_seconds: float = 0.0) -> None:
        self._now_seconds = start_seconds

    def monotonic(self) -> float:
        """Returns the simulated time in seconds."""
        return self._now_seconds

    def advance(self, seconds: float) -> None:
        """Moves the clock forward.

        Args:
            seconds: Time to add.
        """
        self._now_seconds += seconds

    def wait(self, event: threading.Event, timeout_seconds: float) -> bool:
        """Returns at once; advances by the timeout if the event is not set."""
        if event.is_set():
            return True
        self.advance(timeout_seconds)
        return False


class PauseDetector:
    """Detects that the process was suspended between two loop iterations.

    The monotonic clock keeps running while a process is suspended. State
    from before the pause, such as which peers are alive, is stale afterwards.
    """

    def __init__(self, clock: Clock, limit_seconds: float) -> None:
        """Records the start of the first iteration.

        Args:
            clock: The clock.
            limit_seconds: Longest time between iterations without a pause.
        """
        self._clock = clock
        self._limit_seconds = limit_seconds
        self._iteration_at = clock.monotonic()

    def paused(self) -> bool:
        """Records the start of an iteration.

        Returns:
            Whether the previous iteration started longer ago than the limit.
        """
        now = self._clock.monotonic()
        elapsed_seconds = now - self._iteration_at
        self._iteration_at = now
        return elapsed_seconds > self._limit_seconds


def sleep(clock: Clock, seconds: float) -> None:
    """Waits on a clock; returns at once if the time is not positive.

    Args:
        clock: The clock.
        seconds: Time to wait.
    """
    if seconds > 0:
        clock.wait(threading.Event(), seconds)
