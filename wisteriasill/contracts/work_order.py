"""Order in which waiting work gets room.

The load pattern it answers: each queue in turn asks for several times what
its pool holds, so at the end of a peak more waits than can be in time.
"""

from __future__ import annotations

import enum
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


class Outlook(enum.IntEnum):
    """What a job can still earn, the best first."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2


class Place(NamedTuple):
    """Sort key of a job; the smallest comes first."""

    not_lasting: bool
    priority: int
    outlook: Outlook
    cost: float


# A job that ends after its objective is of some use up to this multiple of it,
# as the rules of the platform's users state it.
USEFUL_SPAN = 3.0

# Part of a job's worth that does not grow with its work, as the rules of the
# platform's users state it; the rest is in proportion to its work.
FIXED_WORTH = 0.3
# Time below which remaining work counts as none, so that costs stay finite.
LEAST_CORE_SECONDS = 0.05


def outlook(work: WaitingWork) -> Outlook:
    """Tells whether a job that starts now ends in time, late, or too late."""
    age_at_end = work.age_seconds + work.chain_seconds
    if age_at_end <= work.objective_seconds:
        return Outlook.IN_TIME
    if age_at_end <= USEFUL_SPAN * work.objective_seconds:
        return Outlook.LATE
    return Outlook.USELESS


def place(work: WaitingWork, mean_core_seconds: float) -> Place:
    """Ranks a job by worth for each core-second that it still needs.

    Jobs that end late come after all that can be in time, and those that are
    too late to be of use come last. Among these the oldest is first, so none
    starves.

    Args:
        work: The job.
        mean_core_seconds: Mean processor time of its queue's jobs.

    Returns:
        Its sort key.
    """
    seen = outlook(work)
    if seen is Outlook.USELESS:
        cost = -work.age_seconds
    else:
        share = work.total_core_seconds / max(
            mean_core_seconds, LEAST_CORE_SECONDS
        )
        worth = FIXED_WORTH + (1 - FIXED_WORTH) * share
        cost = max(work.core_seconds, LEAST_CORE_SECONDS) / worth
    return Place(not work.lasting, work.priority, seen, cost)
