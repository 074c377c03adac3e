"""When jobs lend their processors to requests, and when they get them back.

A peak lasts seconds, which is shorter than any move of a host.
"""

from __future__ import annotations

from typing import NamedTuple

# Jobs lend while this share of the serving slots is busy, and get their
# processors back when less than the lower share has been for a while.
LEND_SHARE = 0.75
RETURN_SHARE = 0.5
RETURN_AFTER_SECONDS = 5.0
# Share of its processors that a lending task keeps, so that it still renews
# its state and can make checkpoints.
LENT_THROTTLE = 0.25


class Lending(NamedTuple):
    """Whether a pool's jobs lend now.

    Attributes:
        lends: Whether they do.
        calm_since: Monotonic seconds since when the load has been low; None
            while it is not.
    """

    lends: bool = False
    calm_since: float | None = None


def next_lending(
    before: Lending, busy_slots: float, serving_slots: int, now: float
) -> Lending:
    """Decides whether a pool's jobs lend their processors.

    Args:
        before: Whether they did.
        busy_slots: Requests in flight.
        serving_slots: Slots of the pool's serving workers.
        now: Monotonic seconds.

    Returns:
        Whether they do now.
    """
    share = busy_slots / serving_slots if serving_slots else 0.0
    if share >= LEND_SHARE:
        return Lending(True, None)
    if not before.lends or share >= RETURN_SHARE:
        return Lending(before.lends, None)
    calm_since = now if before.calm_since is None else before.calm_since
    return Lending(now - calm_since < RETURN_AFTER_SECONDS, calm_since)
