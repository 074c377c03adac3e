"""Order in which nodes schedule waiting jobs.

Load pattern: the queues peak in turn, each at several times the capacity of
its pool, so at the end of a peak more jobs wait than can meet their objective.
"""

from __future__ import annotations

import math
from typing import NamedTuple


class WaitingWork(NamedTuple):
    """Properties that determine the position of a job in the scheduling order.

    Attributes:
        priority: Priority of its queue; 0 comes first.
        lasting: Whether it is long-running: it serves users until it is
            cancelled.
        age_seconds: Time since it was submitted.
        objective_seconds: Age by which it has to end to meet its objective.
        critical_path_seconds: Estimated time of its remaining critical path.
        core_seconds: Processor time that it still needs.
        total_core_seconds: Processor time of the whole job.
    """

    priority: int
    lasting: bool
    age_seconds: float
    objective_seconds: float
    critical_path_seconds: float
    core_seconds: float
    total_core_seconds: float


class SortKey(NamedTuple):
    """Sort key of a job; the smallest comes first.

    Attributes:
        not_lasting: False for long-running jobs, which come first.
        priority: Priority of the queue; 0 comes first.
        too_late: Whether the job would end too late to be of use.
        deadline_bucket: Time left until the objective, in whole buckets.
        cost: Remaining processor time for each unit of value; minus the age
            of a job that is too late.
    """

    not_lasting: bool
    priority: int
    too_late: bool
    deadline_bucket: int
    cost: float


# A job that misses its objective keeps some value up to this multiple of the
# objective, as the rules of the platform's users state.
USEFUL_FACTOR = 3.0
# Jobs whose objectives end within the same bucket of this length are ranked by
# value. The length is a third of the shortest task at the users' sites.
DEADLINE_BUCKET_SECONDS = 0.2
# Share of a job's value that is independent of its work, as the rules of the
# platform's users state; the rest is proportional to its work.
FIXED_VALUE_SHARE = 0.3
# Lower bound of processor times in divisions, so that costs stay finite and
# above zero.
MIN_CORE_SECONDS = 0.05


def is_too_late(work: WaitingWork) -> bool:
    """Returns whether a job ends too late to be of use if it starts now."""
    age_at_end = work.age_seconds + work.critical_path_seconds
    return age_at_end > USEFUL_FACTOR * work.objective_seconds


def sort_key(work: WaitingWork, mean_core_seconds: float) -> SortKey:
    """Ranks a job by the end of its objective, then by value per core-second.

    Two simpler orders make jobs wait at a peak until they are of no use: one
    by value per core-second alone, and one that puts all jobs in time before
    all late ones. The table in docs/platform.md compares them. Jobs that are
    too late to be of use come last, the oldest first, so that none starves.

    Args:
        work: The job.
        mean_core_seconds: Mean processor time of its queue's jobs.

    Returns:
        Its sort key.
    """
    if is_too_late(work):
        return SortKey(
            not work.lasting, work.priority, True, 0, -work.age_seconds
        )
    remaining_seconds = work.objective_seconds - work.age_seconds
    share = work.total_core_seconds / max(mean_core_seconds, MIN_CORE_SECONDS)
    value = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * share
    return SortKey(
        not work.lasting,
        work.priority,
        False,
        math.floor(remaining_seconds / DEADLINE_BUCKET_SECONDS),
        max(work.core_seconds, MIN_CORE_SECONDS) / value,
    )
