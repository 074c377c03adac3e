"""Bounded waits for what other threads do."""

from __future__ import annotations

from collections.abc import Callable
import time


def wait_until(condition: Callable[[], bool], seconds: float = 3.0) -> bool:
    """Polls a condition for a bounded time.

    Args:
        condition: The condition.
        seconds: The longest wait.

    Returns:
        Whether the condition held in time.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.01)
    return condition()
