"""Order in which waiting work gets room.

The load pattern it answers: each queue in turn asks for several times what
its pool holds, so at the end of a peak more waits than can be in time.
"""

from __future__ import annotations

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
    late: bool
    cost: float


# Part of a job's worth that does not grow with its work, as the rules of the
# platform's users state it; the rest is in proportion to its work.
FIXED_WORTH = 0.3
# Time below which remaining work counts as none, so that costs stay finite.
LEAST_CORE_SECONDS = 0.05


def place(work: WaitingWork, mean_core_seconds: float) -> Place:
    """Ranks a job by worth for each core-second that it still needs.

    Jobs that can't end in time come after all that can: they earn little
    whenever they end. Among them the oldest is first, so none starves.

    Args:
        work: The job.
        mean_core_seconds: Mean processor time of its queue's jobs.

    Returns:
        Its sort key.
    """
    late = work.age_seconds + work.chain_seconds > work.objective_seconds
    if late:
        return Place(not work.lasting, work.priority, True, -work.age_seconds)
    share = work.total_core_seconds / max(mean_core_seconds, LEAST_CORE_SECONDS)
    worth = FIXED_WORTH + (1 - FIXED_WORTH) * share
    cost = max(work.core_seconds, LEAST_CORE_SECONDS) / worth
    return Place(not work.lasting, work.priority, False, cost)
