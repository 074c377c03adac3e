"""Speed limit of best-effort tasks next to latency-sensitive ones.

Best-effort tasks use the idle processors of a worker. The interference between
them and its serving tasks changes within seconds.
"""

from __future__ import annotations

from collections.abc import Iterable

# From this share of a latency target on, best-effort tasks slow down before the
# target is exceeded.
SLOW_DOWN_SHARE = 0.85
# Up to this share of a latency target, best-effort tasks may speed up again.
SPEED_UP_SHARE = 0.65
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_STEP = 15  # Percentage points for each report.
FULL_PERCENT = 100


def next_percent(percent: int, latency_shares: Iterable[float]) -> int:
    """Returns the speed of a worker's best-effort tasks after a report.

    Args:
        percent: Their current speed.
        latency_shares: Tail latency of each serving task on the worker, as a
            share of its latency target.

    Returns:
        Their new speed, 0 to 100.
    """
    worst = max(latency_shares, default=0.0)
    if worst >= 1.0:
        return 0
    if worst >= SLOW_DOWN_SHARE:
        return int(percent * SLOW_DOWN_FACTOR)
    if worst <= SPEED_UP_SHARE:
        return min(FULL_PERCENT, percent + SPEED_UP_STEP)
    return percent
