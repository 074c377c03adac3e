"""One round of decisions about a pool's jobs: who starts where, who waits."""

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

# Two jobs of unproven size can't exceed a host tenfold for long, and six
# hosts still start more than a hundred jobs a minute.
UNPROVEN_LIMIT = 2


class WaitKind(enum.StrEnum):
    """Why a job waits."""

    IMPOSSIBLE = "impossible"
    QUOTA = "quota"
    NO_ROOM = "no-room"


class Wait(NamedTuple):
    """Why a job waits, and the sentence for its row."""

    kind: WaitKind
    text: str


class Start(NamedTuple):
    """A job to start.

    Attributes:
        job: The job.
        host_id: Host that it starts on.
        size: Size that it holds there.
        victims: Jobs that leave the host first.
    """

    job: jobs.Job
    host_id: str
    size: quota.Size
    victims: tuple[jobs.Job, ...]


class Plan(NamedTuple):
    """Decisions of a round.

    Attributes:
        starts: Jobs to start, in this order.
        waits_by_job: Why the other waiting jobs wait.
    """

    starts: tuple[Start, ...]
    waits_by_job: Mapping[str, Wait]


class PoolView(NamedTuple):
    """What a round of decisions is based on.

    Attributes:
        hosts: All hosts of the pool.
        open_hosts: Ids of hosts that may take tasks now.
        trial_hosts: Those of them that may take a single task.
        jobs: All jobs of the pool.
        held_back: Ids of waiting jobs that are not to be started now.
        headroom_by_host: Share of each host to leave free.
        held_by_team: What each team's jobs hold in all pools.
        quota_by_team: Quotas; teams without one have no limit.
    """

    hosts: Sequence[hosts.Host]
    open_hosts: frozenset[str]
    trial_hosts: frozenset[str]
    jobs: Sequence[jobs.Job]
    held_back: frozenset[str]
    headroom_by_host: Mapping[str, float]
    held_by_team: Mapping[str, quota.Size]
    quota_by_team: Mapping[str, services.TeamQuota]


def holds_room(job: jobs.Job) -> bool:
    """Returns whether a job's task may be running."""
    return job.state in (jobs.JobState.RUNNING, jobs.JobState.STOPPING)


def size_of(job: jobs.Job) -> quota.Size:
    """Returns what a job holds while it runs."""
    return quota.Size(job.cores, job.memory_gib, job.accelerators)


def placed(pool_jobs: Iterable[jobs.Job]) -> list[placement.PlacedJob]:
    """Returns the jobs that hold room."""
    return [
        placement.PlacedJob(job, size_of(job), job.measured)
        for job in pool_jobs
        if holds_room(job)
    ]


def plan(
    view: PoolView,
    policy: placement.PlacementPolicy,
    urgent_only: bool = False,
) -> Plan:
    """Decides which waiting jobs start, in order of urgency and age.

    A job that can't start blocks nothing behind it.

    Args:
        view: Hosts, jobs and limits.
        policy: Rules of placement.
        urgent_only: Whether only urgent jobs are considered.

    Returns:
        The decisions.
    """
    waiting = sorted(
        (
            job
            for job in view.jobs
            if job.state is jobs.JobState.WAITING
            and job.job_id not in view.held_back
            and (job.urgent or not urgent_only)
        ),
        key=lambda job: (not job.urgent, job.submitted_at, job.job_id),
    )
    if not waiting:
        return Plan((), {})
    round_ = _Round(view, policy)
    outcomes = {job.job_id: round_.decide(job) for job in waiting}
    return Plan(
        tuple(item for item in outcomes.values() if isinstance(item, Start)),
        {
            job_id: item
            for job_id, item in outcomes.items()
            if isinstance(item, Wait)
        },
    )


class _Round:
    """Room and quotas while the decisions of one round are made."""

    def __init__(
        self, view: PoolView, policy: placement.PlacementPolicy
    ) -> None:
        self._view = view
        self._policy = policy
        self._sizes_by_name = job_sizes.measured_by_name(view.jobs)
        self._held_by_team = dict(view.held_by_team)
        self._no_room: list[quota.Size] = []
        self._rooms = placement.Rooms(
            (host for host in view.hosts if host.host_id in view.open_hosts),
            placed(view.jobs),
            view.headroom_by_host,
            UNPROVEN_LIMIT if policy.corrects_sizes else None,
        )

    def decide(self, job: jobs.Job) -> Start | Wait:
        """Starts a job or says why it waits."""
        size, proven = job_sizes.first_size(job, self._sizes_by_name)
        wanted = placement.PlacedJob(job, size, proven)
        held = self._held_by_team.get(job.team, quota.NOTHING)
        reason = placement.impossible(self._view.hosts, size)
        if reason is not None:
            return Wait(WaitKind.IMPOSSIBLE, reason)
        reason = quota.refusal(
            self._view.quota_by_team.get(job.team), held, size
        )
        if reason is not None:
            return Wait(WaitKind.QUOTA, reason)
        choice = self._choose(wanted)
        if choice is None:
            return Wait(
                WaitKind.NO_ROOM, f"waits for {placement.describe(size)}"
            )
        self._take(wanted, choice)
        return Start(
            job,
            choice.host_id,
            size,
            tuple(victim.job for victim in choice.victims),
        )

    def _choose(self, wanted: placement.PlacedJob) -> placement.Choice | None:
        # Room only shrinks during a round, so a job at least as large as one
        # that found none needs no search; rooms differ for unproven sizes.
        hopeless = wanted.proven and any(
            size.within(wanted.size) for size in self._no_room
        )
        choice = (
            None
            if hopeless
            else placement.choose(self._rooms, self._policy, wanted)
        )
        if choice is None and wanted.job.urgent and self._policy.preempts:
            choice = preemption.choose_by_preemption(
                self._rooms, self._policy, wanted
            )
        if choice is None and wanted.proven and not hopeless:
            self._no_room.append(wanted.size)
        return choice

    def _take(
        self, wanted: placement.PlacedJob, choice: placement.Choice
    ) -> None:
        for victim in choice.victims:
            self._rooms.remove(victim)
        job = wanted.job._replace(
            host_id=choice.host_id, state=jobs.JobState.RUNNING
        )
        self._rooms.add(wanted._replace(job=job))
        held = self._held_by_team.get(job.team, quota.NOTHING)
        self._held_by_team[job.team] = held.plus(wanted.size)
        if choice.victims:
            self._no_room.clear()
        if choice.host_id in self._view.trial_hosts:
            self._rooms.close(choice.host_id)
