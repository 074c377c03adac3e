"""Bounded waits for conditions that other threads fulfil."""

from __future__ import annotations

from collections.abc import Callable
import time


def wait_until(condition: Callable[[], bool], seconds: float = 3.0) -> bool:
    """Polls a condition until it holds or the time is up.

    Args:
        condition: The condition.
        seconds: Maximum wait.

    Returns:
        Whether the condition held in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.01)
    return condition()
