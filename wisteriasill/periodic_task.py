"""Periodic background tasks that run until they are stopped."""

from __future__ import annotations

from collections.abc import Callable
import threading

from wisteriasill import clock as clocks
from wisteriasill import events

_RETRY_SECONDS = 1.0


def run_periodically(
    name: str,
    iterate: Callable[[], float],
    wake: threading.Event,
    stopping: threading.Event,
    clock: clocks.Clock,
) -> None:
    """Runs iterations until stopped; an error ends only one iteration.

    Args:
        name: Name of the task in logs.
        iterate: Runs one iteration and returns the seconds until the next.
        wake: Starts the next iteration early and is then cleared. Must also
            be set after `stopping`, to end the current wait.
        stopping: Ends the task.
        clock: The clock.
    """
    while not stopping.is_set():
        try:
            wait_seconds = iterate()
        except Exception as error:  # The task must survive a failed iteration.
            wait_seconds = _RETRY_SECONDS
            events.log(
                events.Event.TASK_FAILED,
                "A task failed unexpectedly",
                level="ERROR",
                task=name,
                error=repr(error),
            )
        clock.wait(wake, wait_seconds)
        wake.clear()
