"""Order in which waiting work gets room.

The load pattern it answers: each queue in turn asks for several times what
its pool holds, so at the end of a peak more waits than can be in time.
"""

from __future__ import annotations

import math
from typing import NamedTuple


class WaitingWork(NamedTuple):
    """What decides the place of a job in the order.

    Attributes:
        lasting: Whether it serves users of its own until it is cancelled.
        age_seconds: Time since it was handed in.
        objective_seconds: Age up to which its end is in time.
        chain_seconds: Time that its longest remaining chain still takes.
        core_seconds: Processor time that it still needs.
        total_core_seconds: Processor time of the whole job.
    """

    priority: int
    lasting: bool
    age_seconds: float
    objective_seconds: float
    chain_seconds: float
    core_seconds: float
    total_core_seconds: float


class Place(NamedTuple):
    """Sort key of a job; the smallest comes first."""

    not_lasting: bool
    priority: int
    useless: bool
    urgency: int
    cost: float


# A job that ends after its objective is of some use up to this multiple of it,
# as the rules of the platform's users state it.
USEFUL_SPAN = 3.0
# Jobs whose objectives end within the same time of this length are ranked by
# worth; a third of the shortest task at the users' sites.
URGENCY_SECONDS = 0.2
# Part of a job's worth that does not grow with its work, as the rules of the
# platform's users state it; the rest is in proportion to its work.
FIXED_WORTH = 0.3
# Time below which remaining work counts as none, so that costs stay finite.
LEAST_CORE_SECONDS = 0.05


def is_useless(work: WaitingWork) -> bool:
    """Whether a job ends too late to be of use even if it starts now."""
    age_at_end = work.age_seconds + work.chain_seconds
    return age_at_end > USEFUL_SPAN * work.objective_seconds


def place(work: WaitingWork, mean_core_seconds: float) -> Place:
    """Ranks a job by the end of its objective, then by worth.

    At a peak a rank by worth for each core-second alone, or one of all jobs in
    time before all late ones, lets jobs wait until they are of no use: the
    table in docs/platform.md compares them. Jobs that are too late to be of
    use come last, the oldest first, so none starves.

    Args:
        work: The job.
        mean_core_seconds: Mean processor time of its queue's jobs.

    Returns:
        Its sort key.
    """
    if is_useless(work):
        return Place(
            not work.lasting, work.priority, True, 0, -work.age_seconds
        )
    left = work.objective_seconds - work.age_seconds
    share = work.total_core_seconds / max(mean_core_seconds, LEAST_CORE_SECONDS)
    worth = FIXED_WORTH + (1 - FIXED_WORTH) * share
    return Place(
        not work.lasting,
        work.priority,
        False,
        math.floor(left / URGENCY_SECONDS),
        max(work.core_seconds, LEAST_CORE_SECONDS) / worth,
    )
