"""Tasks that repeat a turn until they are stopped."""

from __future__ import annotations

from collections.abc import Callable
import threading

from wisteriasill import clock as clocks
from wisteriasill import events

_AFTER_ERROR_SECONDS = 1.0


def run_turns(
    name: str,
    turn: Callable[[], float],
    wake: threading.Event,
    stopping: threading.Event,
    clock: clocks.Clock,
) -> None:
    """Repeats a turn; an unexpected error ends only that turn.

    Args:
        name: Name of the task in logs.
        turn: Returns the seconds until the next turn.
        wake: Starts the next turn early and is cleared then. Whoever sets
            `stopping` sets it too.
        stopping: Ends the task.
        clock: The clock.
    """
    while not stopping.is_set():
        try:
            wait_seconds = turn()
        except Exception as error:  # The task must outlive a faulty turn.
            wait_seconds = _AFTER_ERROR_SECONDS
            events.log(
                events.Event.TASK_FAILED,
                "A task failed unexpectedly",
                level="ERROR",
                task=name,
                error=repr(error),
            )
        clock.wait(wake, wait_seconds)
        wake.clear()
