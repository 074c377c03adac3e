"""Keeps the jobs of one pool running; called by the holder of its shard."""

from __future__ import annotations

from collections.abc import Callable, Sequence
import time

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.contracts import job_changes
from wisteriasill.contracts import job_schedule
from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import service as services
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import job_ends
from wisteriasill.machines import job_follower
from wisteriasill.machines import job_memory
from wisteriasill.machines import job_rows
from wisteriasill.machines import job_starts
from wisteriasill.machines import job_tasks

# A step ends within this time and one platform call, well before the holder
# has to renew its lease.
STEP_SECONDS = 1.0
# After a write whose outcome isn't known, the rows are read again at once, so
# that a lost answer doesn't delay an urgent start by a step.
STEP_ATTEMPTS = 3
REPEATED_KINDS = (
    errors.ErrorKind.CONFLICT,
    errors.ErrorKind.STORE_OUTCOME_UNKNOWN,
)
# A holder that has just started may know an older configuration.
UNDECLARED_SECONDS = 10.0

Outcome = result.Result[None, errors.Failure]


class JobKeeper:
    """Decides on and carries out everything about one pool's jobs.

    Not thread safe: all calls come from the task that holds the shard. Each
    write is conditional on the epoch row that the caller passes.
    """

    def __init__(
        self,
        platform_: platform.Platform,
        clock: clocks.Clock,
        token_source: Callable[[], str],
        policy: placement.PlacementPolicy | None = None,
        wall_seconds: Callable[[], float] = time.time,
    ) -> None:
        self._platform = platform_
        self._clock = clock
        self._policy = policy or placement.SpreadPlacement()
        self._wall_seconds = wall_seconds
        self._rows = job_rows.JobRows(platform_, token_source)
        self._tasks = job_tasks.JobTasks(platform_, clock)
        self._round = job_memory.Round((), None, {}, 0.0)
        self._declared_basis: tuple[services.Service | None, int] = (None, 0)
        self._start_memory()

    def step(
        self,
        epoch_row: platform.Row,
        pool_hosts: Sequence[hosts.Host],
        all_services: Sequence[services.Service],
        quotas: Sequence[services.TeamQuota],
    ) -> Outcome:
        """Does what is due; called every second.

        Args:
            epoch_row: Row of the shard in the table of epochs.
            pool_hosts: All hosts of the pool.
            all_services: Services in force.
            quotas: Quotas in force.

        Returns:
            Nothing, or the first failure of the store; the next step goes on
            from there.
        """
        deadline = self._clock.monotonic() + STEP_SECONDS
        for _ in range(STEP_ATTEMPTS):
            outcome = self._open(epoch_row).bind(
                lambda _: self._do_phases(
                    self._new_round(pool_hosts, all_services, quotas, deadline)
                )
            )
            if isinstance(outcome, result.Success):
                break
            if outcome.failure().kind not in REPEATED_KINDS:
                break
            if self._clock.monotonic() > deadline:
                break
        return outcome

    def _do_phases(self, round_: job_memory.Round) -> Outcome:
        self._round = round_
        phases: tuple[Callable[[job_memory.Round], Outcome], ...] = (
            self._declare,
            self._starter.start_urgent,
            self._follower.renew,
            self._starter.stop,
            self._read_and_settle,
            self._follower.checkpoint,
            self._follower.correct,
            lambda round_: self._starter.start(round_, urgent_only=False),
        )
        for phase in phases:
            outcome = phase(round_)
            if isinstance(outcome, result.Failure):
                return outcome
        return result.Success(None)

    def cancel(self, epoch_row: platform.Row, job_id: str) -> Outcome:
        """Cancels a job; its task is stopped by the steps that follow.

        Args:
            epoch_row: Row of the shard in the table of epochs.
            job_id: The job.

        Returns:
            Nothing once the cancellation is stored, also for a job that has
            ended; NOT_FOUND for an unknown one.
        """
        opened = self._open(epoch_row)
        if isinstance(opened, result.Failure):
            return opened
        job = self._rows.jobs_by_id.get(job_id)
        if job is None:
            return result.Failure(
                errors.failure(
                    errors.ErrorKind.NOT_FOUND,
                    f"pool {epoch_row.key} has no job {job_id}",
                )
            )
        if job.state in (jobs.JobState.CANCELLED, jobs.JobState.FINISHED):
            return result.Success(None)
        return self._rows.commit(
            [job_changes.cancelled(job, job_changes.CANCELLED)],
            self._round.quota_by_team,
        )

    def checkpoint_host(
        self, epoch_row: platform.Row, host_id: str
    ) -> result.Result[bool, errors.Failure]:
        """Checkpoints and stops the tasks of a host that is to be drained.

        No new task is placed there for a while after each call.

        Args:
            epoch_row: Row of the shard in the table of epochs.
            host_id: The host.

        Returns:
            Whether no task can be running there any more.
        """
        opened = self._open(epoch_row)
        if isinstance(opened, result.Failure):
            return opened
        self._memory.close_host(host_id, job_memory.DRAIN_NOTICE_SECONDS)
        deadline = self._clock.monotonic() + STEP_SECONDS
        leaving = []
        for job in self._on(host_id):
            if self._clock.monotonic() > deadline:
                break
            if job.state is jobs.JobState.RUNNING:
                leaving.append(
                    self._starter.checkpointed(job, f"{host_id} is drained")
                )
        return (
            self._rows.commit(leaving, self._round.quota_by_team)
            .bind(lambda _: self._stop_on(host_id, deadline))
            .map(lambda _: not self._on(host_id))
        )

    def _stop_on(self, host_id: str, deadline: float) -> Outcome:
        to_stop = [
            job
            for job in self._on(host_id)
            if job.state is jobs.JobState.STOPPING
        ]
        return self._rows.commit(
            self._starter.stop_tasks(to_stop, deadline),
            self._round.quota_by_team,
        )

    def _on(self, host_id: str) -> list[jobs.Job]:
        return [
            job
            for job in self._rows.jobs_by_id.values()
            if job.host_id == host_id and job_schedule.holds_room(job)
        ]

    def _open(self, epoch_row: platform.Row) -> Outcome:
        def note_holder(taken_over: bool) -> None:
            if taken_over:
                self._tasks.adopt_again()
                self._start_memory()

        return self._rows.open(epoch_row).map(note_holder)

    def _start_memory(self) -> None:
        self._memory = job_memory.JobMemory(self._clock)
        self._starter = job_starts.JobStarter(
            self._rows, self._tasks, self._memory, self._policy, self._clock
        )
        self._ends = job_ends.JobEnds(
            self._rows, self._tasks, self._memory, self._policy, self._clock
        )
        self._follower = job_follower.JobFollower(
            self._rows,
            self._tasks,
            self._memory,
            self._starter,
            self._policy,
            self._platform,
            self._clock,
        )

    def _new_round(
        self,
        pool_hosts: Sequence[hosts.Host],
        all_services: Sequence[services.Service],
        quotas: Sequence[services.TeamQuota],
        deadline: float,
    ) -> job_memory.Round:
        pool = self._rows.pool
        service = next(
            (item for item in all_services if item.name == pool), None
        )
        teams = {job.team for job in self._rows.jobs_by_id.values()}
        if service is not None:
            teams.add(service.team)
        return job_memory.Round(
            hosts=pool_hosts,
            service=service,
            quota_by_team={
                quota.team: quota for quota in quotas if quota.team in teams
            },
            deadline=deadline,
        )

    def _read_and_settle(self, round_: job_memory.Round) -> Outcome:
        self._follower.read_reports(round_)
        return self._ends.settle(round_)

    def _declare(self, round_: job_memory.Round) -> Outcome:
        """Brings the rows in line with the service's declared jobs."""
        basis = (round_.service, self._rows.revision)
        if round_.service is None or basis == self._declared_basis:
            return result.Success(None)
        by_id = self._rows.jobs_by_id
        declared_by_id = {
            job.job_id: job
            for job in job_changes.declared(
                round_.service, self._wall_seconds()
            )
        }
        changes = [
            row
            for job_id, job in declared_by_id.items()
            if (row := job_changes.redeclared(by_id.get(job_id, job), job))
            != by_id.get(job_id)
        ]
        changes += [
            job_changes.cancelled(job, job_changes.UNDECLARED)
            for job in self._long_undeclared(frozenset(declared_by_id))
        ]
        if not changes and not self._memory.undeclared_since:
            # Nothing can change before the service or a row does.
            self._declared_basis = basis
        return self._rows.commit(changes, round_.quota_by_team)

    def _long_undeclared(self, declared_ids: frozenset[str]) -> list[jobs.Job]:
        now = self._clock.monotonic()
        found = job_changes.undeclared(
            self._rows.jobs_by_id.values(), declared_ids
        )
        since = {
            job.job_id: self._memory.undeclared_since.get(job.job_id, now)
            for job in found
        }
        self._memory.undeclared_since = since
        return [
            job
            for job in found
            if now - since[job.job_id] >= UNDECLARED_SECONDS
        ]
