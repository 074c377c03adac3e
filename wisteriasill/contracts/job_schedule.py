"""A scheduling round of a pool: which jobs start on which hosts or wait.

Used by entry hosts; nodes use `work_order` and `worker_choice` instead.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import enum
from typing import NamedTuple

from wisteriasill.contracts import job_sizes
from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import preemption
from wisteriasill.contracts import quota
from wisteriasill.contracts import service as services
from wisteriasill.machines import host as hosts

# Jobs of unproven size on a host at a time. Two of them can't overcommit a host
# tenfold for long, and six hosts still start more than 100 jobs a minute.
UNPROVEN_LIMIT = 2
# Declared sizes are wrong by up to this factor. An urgent job that exceeds
# its memory fails at once and misses its deadline, so it reserves more.
MAX_SIZE_ERROR = 10.0
MAX_RESERVE_SHARE = 0.5  # Of the largest host's memory.


class WaitKind(enum.StrEnum):
    """Why a job waits."""

    IMPOSSIBLE = "impossible"
    QUOTA = "quota"
    NO_ROOM = "no-room"


class Wait(NamedTuple):
    """The decision that a job waits, with the reason that its row shows."""

    kind: WaitKind
    text: str


class Start(NamedTuple):
    """A job to start.

    Attributes:
        job: The job.
        host_id: Host that it starts on.
        size: Resources that it reserves there.
        victims: Jobs to preempt there first.
    """

    job: jobs.Job
    host_id: str
    size: quota.Size
    victims: tuple[jobs.Job, ...]


class Plan(NamedTuple):
    """The decisions of a scheduling round.

    Attributes:
        starts: Jobs to start, in this order.
        waits_by_job: Why the other waiting jobs wait.
    """

    starts: tuple[Start, ...]
    waits_by_job: Mapping[str, Wait]


class PoolView(NamedTuple):
    """The state that a scheduling round decides on.

    Attributes:
        hosts: All hosts of the pool.
        open_hosts: Ids of hosts that accept tasks now.
        trial_hosts: Those of them that accept a single task, after an
            ejection.
        jobs: All jobs of the pool.
        deferred_jobs: Ids of waiting jobs that must not start now.
        halvings_by_job: How many times the declared size of a job that fits
            on no host now is halved, to find out whether it is too large.
        headroom_by_host: Share to leave free on each host.
        held_by_team: Resources that each team's jobs reserve in all pools.
        quota_by_team: Quotas; teams without one have no limit.
    """

    hosts: Sequence[hosts.Host]
    open_hosts: frozenset[str]
    trial_hosts: frozenset[str]
    jobs: Sequence[jobs.Job]
    deferred_jobs: frozenset[str]
    halvings_by_job: Mapping[str, int]
    headroom_by_host: Mapping[str, float]
    held_by_team: Mapping[str, quota.Size]
    quota_by_team: Mapping[str, services.TeamQuota]


def holds_resources(job: jobs.Job) -> bool:
    """Returns whether a job's task may be running."""
    return job.state in (jobs.JobState.RUNNING, jobs.JobState.STOPPING)


def size_of(job: jobs.Job) -> quota.Size:
    """Returns the resources that a job reserves while it runs."""
    return quota.Size(job.cores, job.memory_gib, job.accelerators)


def placed(pool_jobs: Iterable[jobs.Job]) -> list[placement.PlacedJob]:
    """Returns the jobs that reserve resources."""
    return [
        placement.PlacedJob(job, size_of(job), job.measured)
        for job in pool_jobs
        if holds_resources(job)
    ]


def plan(
    view: PoolView,
    policy: placement.PlacementPolicy,
    urgent_only: bool = False,
) -> Plan:
    """Decides which waiting jobs start, in order of urgency and age.

    A job that can't start doesn't block the jobs after it.

    Args:
        view: Hosts, jobs and limits.
        policy: Placement rules.
        urgent_only: Whether only urgent jobs are considered.

    Returns:
        The decisions.
    """
    waiting = _in_order(view, urgent_only)
    if not waiting:
        return Plan((), {})
    round_ = _Round(view, policy)
    outcomes = {job.job_id: round_.decide(job) for job in waiting}
    # Probes only use resources that no other waiting job could use.
    for job in waiting if policy.corrects_sizes else ():
        probe = round_.probe(job, outcomes[job.job_id])
        if probe is not None:
            outcomes[job.job_id] = probe
    return Plan(
        tuple(start for start in outcomes.values() if isinstance(start, Start)),
        {
            job_id: wait
            for job_id, wait in outcomes.items()
            if isinstance(wait, Wait)
        },
    )


def _in_order(view: PoolView, urgent_only: bool) -> list[jobs.Job]:
    return sorted(
        (
            job
            for job in view.jobs
            if job.state is jobs.JobState.WAITING
            and job.job_id not in view.deferred_jobs
            and (job.urgent or not urgent_only)
        ),
        key=lambda job: (not job.urgent, job.submitted_at, job.job_id),
    )


class _Round:
    """Free resources and quotas while a scheduling round decides."""

    def __init__(
        self, view: PoolView, policy: placement.PlacementPolicy
    ) -> None:
        self._view = view
        self._policy = policy
        self._sizes_by_name = job_sizes.measured_by_name(view.jobs)
        self._held_by_team = dict(view.held_by_team)
        self._unplaceable_sizes: list[quota.Size] = []
        self._capacity = placement.PoolCapacity(
            (host for host in view.hosts if host.host_id in view.open_hosts),
            placed(view.jobs),
            view.headroom_by_host,
            UNPROVEN_LIMIT if policy.corrects_sizes else None,
        )

    def decide(self, job: jobs.Job) -> Start | Wait:
        """Decides that a job starts, or why it waits."""
        size, proven = job_sizes.initial_size(job, self._sizes_by_name)
        reason = placement.infeasible_reason(self._view.hosts, size)
        if reason is not None:
            return Wait(WaitKind.IMPOSSIBLE, reason)
        if job.urgent and not proven and self._policy.corrects_sizes:
            reserved = self._try_start(job, self._with_reserve(size), proven)
            if isinstance(reserved, Start):
                return reserved
        return self._try_start(job, size, proven)

    def probe(self, job: jobs.Job, outcome: Start | Wait) -> Start | None:
        """Starts a job that fits nowhere with less than it declared.

        A worker stops a task that exceeds its memory, which reveals the true
        size at the cost of one start. Without a probe, a job whose declared
        size is too large would wait forever.
        """
        halvings = self._view.halvings_by_job.get(job.job_id, 0)
        if not isinstance(outcome, Wait) or job.measured or not halvings:
            return None
        if outcome.kind is not WaitKind.NO_ROOM:
            return None
        share = 0.5**halvings
        size = quota.Size(
            job.cores * share, job.memory_gib * share, job.accelerators
        )
        probe = self._try_start(job, size, False)
        return probe if isinstance(probe, Start) else None

    def _with_reserve(self, size: quota.Size) -> quota.Size:
        largest = max(host.memory_gib for host in self._view.hosts)
        reserve = min(
            size.memory_gib * MAX_SIZE_ERROR, largest * MAX_RESERVE_SHARE
        )
        return size._replace(memory_gib=max(size.memory_gib, reserve))

    def _try_start(
        self, job: jobs.Job, size: quota.Size, proven: bool
    ) -> Start | Wait:
        wanted = placement.PlacedJob(job, size, proven)
        reason = quota.refusal(
            self._view.quota_by_team.get(job.team),
            self._held_by_team.get(job.team, quota.NOTHING),
            size,
        )
        if reason is not None:
            return Wait(WaitKind.QUOTA, reason)
        choice = self._choose(wanted)
        if choice is None:
            return Wait(
                WaitKind.NO_ROOM, f"waits for {placement.describe(size)}"
            )
        self._reserve(wanted, choice)
        return Start(
            job,
            choice.host_id,
            size,
            tuple(victim.job for victim in choice.victims),
        )

    def _choose(self, wanted: placement.PlacedJob) -> placement.Choice | None:
        # Free resources only shrink during a round, so a job at least as large
        # as one that fit on no host needs no search. This holds for proven
        # sizes only: hosts limit the number of jobs of unproven size.
        is_unplaceable = wanted.proven and any(
            size.within(wanted.size) for size in self._unplaceable_sizes
        )
        choice = (
            None
            if is_unplaceable
            else placement.choose(self._capacity, self._policy, wanted)
        )
        if choice is None and wanted.job.urgent and self._policy.preempts:
            choice = preemption.choose_by_preemption(
                self._capacity, self._policy, wanted
            )
        if choice is None and wanted.proven and not is_unplaceable:
            self._unplaceable_sizes.append(wanted.size)
        return choice

    def _reserve(
        self, wanted: placement.PlacedJob, choice: placement.Choice
    ) -> None:
        for victim in choice.victims:
            self._capacity.remove(victim)
        job = wanted.job._replace(
            host_id=choice.host_id, state=jobs.JobState.RUNNING
        )
        self._capacity.add(wanted._replace(job=job))
        held = self._held_by_team.get(job.team, quota.NOTHING)
        self._held_by_team[job.team] = held.plus(wanted.size)
        if choice.victims:
            self._unplaceable_sizes.clear()
        if choice.host_id in self._view.trial_hosts:
            self._capacity.exclude(choice.host_id)
