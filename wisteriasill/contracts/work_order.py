"""Order in which nodes schedule waiting jobs.

Load pattern: the queues peak in turn, each at several times the capacity of
its pool, so at the end of a peak more jobs wait than can meet their objective.
If the earliest objective came first regardless, every job would miss its own.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
import enum
import heapq
import math
from typing import NamedTuple


class WaitingWork(NamedTuple):
    """Properties that determine the position of a job in the scheduling order.

    Attributes:
        job_id: Id of the job.
        priority: Priority of its queue; 0 comes first.
        lasting: Whether it is long-running: it serves users until it is
            cancelled.
        age_seconds: Time since it was submitted.
        objective_seconds: Age by which it has to end to meet its objective.
        critical_path_seconds: Estimated time of its remaining critical path.
        core_seconds: Processor time of the tasks that have not started.
        value: Value of its completion in time, relative to its queue's mean.
    """

    job_id: str
    priority: int
    lasting: bool
    age_seconds: float
    objective_seconds: float
    critical_path_seconds: float
    core_seconds: float
    value: float


class Outlook(enum.IntEnum):
    """Whether a job can still be of use, in the order of scheduling.

    RESCUED jobs are late and lose the rest of their value unless they start
    soon. DEFERRED ones would meet their objective only at the cost of jobs
    with more value. LATE ones have missed it. TOO_LATE ones end too late to be
    of use.
    """

    RESCUED = enum.auto()
    IN_TIME = enum.auto()
    DEFERRED = enum.auto()
    LATE = enum.auto()
    TOO_LATE = enum.auto()


class Backlog(NamedTuple):
    """Work ahead of a new job, in seconds of the whole pool.

    Attributes:
        in_time_seconds: Until the jobs that are to meet their objective end.
        deferred_seconds: For jobs that would meet it, were there room for all.
        useful_seconds: Until all running work ends, and all waiting work that
            can still be of use.
        costliest: Most work for its value of the waiting jobs that are to meet
            their objective; a job that needs less takes the place of that one.
    """

    in_time_seconds: float
    deferred_seconds: float
    useful_seconds: float
    costliest: float


NO_BACKLOG = Backlog(0.0, 0.0, 0.0, 0.0)


class Schedule(NamedTuple):
    """Jobs in scheduling order, and the work ahead of a new one.

    Attributes:
        job_ids: Ids of all jobs, the first to schedule first.
        outlook_by_id: What can become of each job that is not long-running.
        in_time_core_seconds: Work of the jobs that are to meet their objective.
        deferred_core_seconds: Work of the jobs that are deferred.
        useful_core_seconds: Work of all jobs that can still be of use.
        costliest: Most work for its value of a job that is to meet its
            objective.
    """

    job_ids: tuple[str, ...]
    outlook_by_id: dict[str, Outlook]
    in_time_core_seconds: float
    deferred_core_seconds: float
    useful_core_seconds: float
    costliest: float

    def backlog(self, cores: float) -> Backlog:
        """Returns how long a pool of so many cores takes for the work."""
        if cores <= 0:
            return Backlog(math.inf, math.inf, math.inf, math.inf)
        return Backlog(
            self.in_time_core_seconds / cores,
            self.deferred_core_seconds / cores,
            self.useful_core_seconds / cores,
            self.costliest,
        )


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
# A late job is rescued when it would end after this multiple of its objective.
# The margin to USEFUL_FACTOR covers wrong predictions of its time.
RESCUE_FACTOR = 2.0
RESCUE_SECONDS = 1.5  # Time in which an unused budget accumulates.
# Share of a pool's capacity for late jobs that are rescued. It bounds what a
# long overload takes from jobs that can still be in time.
RESCUE_SHARE = 0.2


def value_of(core_seconds: float, mean_core_seconds: float) -> float:
    """Returns the value of a job relative to the mean of its queue.

    Args:
        core_seconds: Processor time of the whole job.
        mean_core_seconds: Mean processor time of its queue's jobs.
    """
    share = core_seconds / max(mean_core_seconds, MIN_CORE_SECONDS)
    return FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * share


def cost_by_value(core_seconds: float, value: float) -> float:
    """Returns the processor time for each unit of value."""
    return max(core_seconds, MIN_CORE_SECONDS) / value


class RescueBudget:
    """Processor time for rescued jobs: a bounded share of a pool's capacity."""

    def __init__(self) -> None:
        self.core_seconds = 0.0
        self._refilled_at = -math.inf

    def refill(self, cores: float, now: float) -> None:
        """Adds the share of the time since the last call.

        Args:
            cores: Cores of the pool that are not used by long-running tasks.
            now: Monotonic time.
        """
        seconds = min(now - self._refilled_at, RESCUE_SECONDS)
        self._refilled_at = now
        rate = RESCUE_SHARE * cores
        self.core_seconds = min(
            rate * RESCUE_SECONDS, self.core_seconds + rate * seconds
        )

    def spend(self, core_seconds: float) -> None:
        """Deducts the work of rescued tasks that are started."""
        self.core_seconds -= core_seconds


def schedule(
    waiting: Iterable[WaitingWork],
    cores: float,
    running_core_seconds: float = 0.0,
    rescue_core_seconds: float = 0.0,
) -> Schedule:
    """Orders waiting jobs so that most value ends in time.

    Long-running jobs come first, then priorities count. Within a priority the
    jobs that can meet their objective come before those that can't, by the end
    of their objective. While they can't all meet it, the job with the most
    work for its value is deferred, as in the algorithm of Moore and Hodgson.
    Late jobs follow, the oldest first, so that none starves; a bounded share
    of them goes to the front shortly before they become useless.

    Args:
        waiting: The jobs, in any order.
        cores: Cores of the pool that are not used by long-running tasks.
        running_core_seconds: Remaining work of the tasks that run already.
        rescue_core_seconds: Budget for rescued jobs; the last one may exceed
            it.

    Returns:
        The order.
    """
    jobs = [*waiting]
    finite = [job for job in jobs if not job.lasting]
    outlook_by_id = {job.job_id: _outlook(job) for job in finite}
    in_time = [
        job for job in finite if outlook_by_id[job.job_id] is Outlook.IN_TIME
    ]
    for job in _infeasible(in_time, cores, running_core_seconds):
        outlook_by_id[job.job_id] = Outlook.DEFERRED
    outlook_by_id.update(
        (job.job_id, Outlook.RESCUED)
        for job in _rescued(finite, outlook_by_id, rescue_core_seconds)
    )
    ordered = sorted(jobs, key=lambda job: _sort_key(job, outlook_by_id))
    kept = [
        job for job in finite if outlook_by_id[job.job_id] is Outlook.IN_TIME
    ]
    return Schedule(
        tuple(job.job_id for job in ordered),
        outlook_by_id,
        running_core_seconds + sum(job.core_seconds for job in kept),
        sum(
            job.core_seconds
            for job in finite
            if outlook_by_id[job.job_id] is Outlook.DEFERRED
        ),
        running_core_seconds
        + sum(
            job.core_seconds
            for job in finite
            if outlook_by_id[job.job_id] is not Outlook.TOO_LATE
        ),
        max(map(_cost, kept), default=0.0),
    )


def _outlook(job: WaitingWork) -> Outlook:
    age_at_end = _age_at_end(job)
    if age_at_end <= job.objective_seconds:
        return Outlook.IN_TIME
    if age_at_end <= USEFUL_FACTOR * job.objective_seconds:
        return Outlook.LATE
    return Outlook.TOO_LATE


def _age_at_end(job: WaitingWork) -> float:
    """Returns the age of a job at its end if all its tasks start now."""
    return job.age_seconds + job.critical_path_seconds


def _cost(job: WaitingWork) -> float:
    """Returns the remaining work of a job for each unit of its value."""
    return cost_by_value(job.core_seconds, job.value)


def _infeasible(
    in_time: Sequence[WaitingWork], cores: float, running_core_seconds: float
) -> list[WaitingWork]:
    """Returns the jobs to defer so that all others meet their objective.

    The pool counts as one machine of all its cores, which is exact only if
    tasks are small against the pool. Jobs of a lower priority go first.
    """
    deferred: list[WaitingWork] = []
    kept: list[tuple[int, float, int, WaitingWork]] = []
    load = running_core_seconds
    by_end = sorted(
        in_time,
        key=lambda job: (
            job.priority,
            job.objective_seconds - job.age_seconds,
        ),
    )
    for number, job in enumerate(by_end):
        heapq.heappush(kept, (-job.priority, -_cost(job), number, job))
        load += job.core_seconds
        remaining_seconds = job.objective_seconds - job.age_seconds
        while kept and load > cores * remaining_seconds:
            costliest = heapq.heappop(kept)[-1]
            load -= costliest.core_seconds
            deferred.append(costliest)
    return deferred


def _rescued(
    finite: Sequence[WaitingWork],
    outlook_by_id: dict[str, Outlook],
    budget: float,
) -> list[WaitingWork]:
    """Returns late jobs that are about to become useless, within a budget.

    Args:
        finite: All jobs.
        outlook_by_id: What can become of each of them.
        budget: Core-seconds for rescued jobs.
    """
    rescued: list[WaitingWork] = []
    candidates = (
        job for job in finite if outlook_by_id[job.job_id] is Outlook.LATE
    )
    for job in sorted(candidates, key=_slack_seconds):
        if budget <= 0:
            break
        if _age_at_end(job) < RESCUE_FACTOR * job.objective_seconds:
            continue
        budget -= job.core_seconds
        rescued.append(job)
    return rescued


def _slack_seconds(job: WaitingWork) -> float:
    """Returns how long the start of a job may wait until it is useless."""
    return USEFUL_FACTOR * job.objective_seconds - _age_at_end(job)


def _sort_key(
    job: WaitingWork, outlook_by_id: dict[str, Outlook]
) -> tuple[bool, int, int, float, float]:
    if job.lasting:
        return False, job.priority, 0, -job.age_seconds, 0.0
    outlook = outlook_by_id[job.job_id]
    if outlook is Outlook.IN_TIME:
        remaining_seconds = job.objective_seconds - job.age_seconds
        bucket = math.floor(remaining_seconds / DEADLINE_BUCKET_SECONDS)
        return True, job.priority, outlook, bucket, _cost(job)
    if outlook is Outlook.DEFERRED:
        return True, job.priority, outlook, _cost(job), 0.0
    return True, job.priority, outlook, -job.age_seconds, 0.0
