"""Speed of tasks that fill beside tasks with a bound on response times.

The load pattern it answers: a worker's serving tasks and the tasks that fill
its idle processors disturb each other by amounts that change in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable

# Share of a target above which fillers slow down before it is passed.
SLOW_DOWN_SHARE = 0.85
# Share of a target below which fillers may speed up again.
SPEED_UP_SHARE = 0.65
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_STEP = 15  # Percent for each report.
FULL_PERCENT = 100


def next_percent(percent: int, tails_by_target: Iterable[float]) -> int:
    """Returns the speed of the fillers of a worker after a report.

    Args:
        percent: Their speed so far.
        tails_by_target: For each serving task on the worker, its tail of
            response times as a share of its target.

    Returns:
        Their new speed, 0 to 100.
    """
    worst = max(tails_by_target, default=0.0)
    if worst >= 1.0:
        return 0
    if worst >= SLOW_DOWN_SHARE:
        return int(percent * SLOW_DOWN_FACTOR)
    if worst <= SPEED_UP_SHARE:
        return min(FULL_PERCENT, percent + SPEED_UP_STEP)
    return percent
