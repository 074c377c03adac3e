"""Throttling of jobs while requests need their processors.

It handles peaks of seconds, which are shorter than any host move.
"""

from __future__ import annotations

from typing import NamedTuple

# Hysteresis: jobs are throttled from the upper share of busy serving slots on,
# and restored after the share has been below the lower one for a while.
THROTTLE_ABOVE_SHARE = 0.75
RESTORE_BELOW_SHARE = 0.5
RESTORE_AFTER_SECONDS = 5.0
# Share of its processors that a throttled task keeps, so that it still renews
# its state and can take checkpoints.
THROTTLED_SHARE = 0.25


class ThrottleState(NamedTuple):
    """Whether a pool's jobs are throttled.

    Attributes:
        throttled: Whether they are throttled.
        low_load_since: Monotonic time since when the load has been low; None
            while it isn't.
    """

    throttled: bool = False
    low_load_since: float | None = None


def next_throttle_state(
    before: ThrottleState, busy_slots: float, serving_slots: int, now: float
) -> ThrottleState:
    """Decides whether a pool's jobs are throttled.

    Args:
        before: The previous state.
        busy_slots: The pool's requests in flight.
        serving_slots: Slots of the pool's serving workers.
        now: Monotonic seconds.

    Returns:
        The new state.
    """
    share = busy_slots / serving_slots if serving_slots else 0.0
    if share >= THROTTLE_ABOVE_SHARE:
        return ThrottleState(True, None)
    if not before.throttled or share >= RESTORE_BELOW_SHARE:
        return ThrottleState(before.throttled, None)
    low_load_since = (
        now if before.low_load_since is None else before.low_load_since
    )
    return ThrottleState(
        now - low_load_since < RESTORE_AFTER_SECONDS, low_load_since
    )
