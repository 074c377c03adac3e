"""Controller of one pool's declared jobs, run by the holder of its shard.

Its parts are `job_ends`, `job_follower`, `job_rows`, `job_soft_state`,
`job_starts` and `job_tasks`. Jobs that callers submit through `job_api` are run
by `batch_controller`.
"""

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
from wisteriasill.machines import job_rows
from wisteriasill.machines import job_soft_state
from wisteriasill.machines import job_starts
from wisteriasill.machines import job_tasks

# A step makes no new call after this time. With the last platform call it ends
# well before the holder has to renew its lease.
STEP_BUDGET_SECONDS = 1.0
# After a write of unknown outcome the rows are read again and the step retried
# at once, so that a lost answer doesn't delay an urgent start by a step.
STEP_ATTEMPTS = 3
RETRIED_KINDS = (
    errors.ErrorKind.CONFLICT,
    errors.ErrorKind.STORE_OUTCOME_UNKNOWN,
)
# A job is cancelled only after it has been undeclared for this long, because a
# holder that has just started may have an older configuration.
UNDECLARED_GRACE_SECONDS = 10.0

Outcome = result.Result[None, errors.Failure]


class JobController:
    """Schedules, runs and ends the jobs of one pool.

    Not thread safe: only the task of the shard may call it. Each write is
    conditional on the epoch row that the caller passes.
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
        self._last_input = job_soft_state.StepInput((), None, {}, 0.0)
        self._reconciled_inputs: tuple[services.Service | None, int] = (None, 0)
        self._reset_soft_state()

    def step(
        self,
        epoch_row: platform.Row,
        pool_hosts: Sequence[hosts.Host],
        all_services: Sequence[services.Service],
        quotas: Sequence[services.TeamQuota],
    ) -> Outcome:
        """Runs one reconciliation step; called every second.

        Args:
            epoch_row: Row of the shard in the table of epochs.
            pool_hosts: All hosts of the pool.
            all_services: Services of the configuration in force.
            quotas: Quotas of the configuration in force.

        Returns:
            Nothing, or the first failure of the store; the next step resumes
            from there.
        """
        deadline = self._clock.monotonic() + STEP_BUDGET_SECONDS
        for _ in range(STEP_ATTEMPTS):
            outcome = self._open_rows(epoch_row).bind(
                lambda _: self._run_phases(
                    self._build_input(
                        pool_hosts, all_services, quotas, deadline
                    )
                )
            )
            if isinstance(outcome, result.Success):
                break
            if outcome.failure().kind not in RETRIED_KINDS:
                break
            if self._clock.monotonic() > deadline:
                break
        return outcome

    def _run_phases(self, step_input: job_soft_state.StepInput) -> Outcome:
        self._last_input = step_input
        self._tasks.keep_only(self._rows.jobs_by_id.values())
        phases: tuple[Callable[[job_soft_state.StepInput], Outcome], ...] = (
            self._reconcile_declared,
            self._starter.start_urgent,
            self._follower.renew,
            self._starter.stop,
            self._process_ended_tasks,
            self._follower.checkpoint,
            self._follower.correct_sizes,
            lambda step_input: self._starter.start(
                step_input, urgent_only=False
            ),
        )
        for phase in phases:
            outcome = phase(step_input)
            if isinstance(outcome, result.Failure):
                return outcome
        return result.Success(None)

    def cancel(self, epoch_row: platform.Row, job_id: str) -> Outcome:
        """Cancels a job; its task is stopped in the following steps.

        Args:
            epoch_row: Row of the shard in the table of epochs.
            job_id: The job.

        Returns:
            Nothing once the cancellation is stored or if the job has ended
            already; NOT_FOUND for an unknown job.
        """
        opened = self._open_rows(epoch_row)
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
            self._last_input.quota_by_team,
        )

    def checkpoint_host(
        self, epoch_row: platform.Row, host_id: str
    ) -> result.Result[bool, errors.Failure]:
        """Checkpoints and stops the tasks of a host that is being drained.

        Each call also cordons the host for `DRAIN_CORDON_SECONDS`.

        Args:
            epoch_row: Row of the shard in the table of epochs.
            host_id: The host.

        Returns:
            Whether certainly no task runs there any more.
        """
        opened = self._open_rows(epoch_row)
        if isinstance(opened, result.Failure):
            return opened
        self._soft_state.cordon_host(
            host_id, job_soft_state.DRAIN_CORDON_SECONDS
        )
        deadline = self._clock.monotonic() + STEP_BUDGET_SECONDS
        evicted = []
        for job in self._jobs_on(host_id):
            if self._clock.monotonic() > deadline:
                break
            if job.state is jobs.JobState.RUNNING:
                evicted.append(
                    self._starter.checkpoint_and_requeue(
                        job, f"{host_id} is drained"
                    )
                )
        return (
            self._rows.commit(evicted, self._last_input.quota_by_team)
            .bind(lambda _: self._stop_tasks_on(host_id, deadline))
            .map(lambda _: not self._jobs_on(host_id))
        )

    def _stop_tasks_on(self, host_id: str, deadline: float) -> Outcome:
        to_stop = [
            job
            for job in self._jobs_on(host_id)
            if job.state is jobs.JobState.STOPPING
        ]
        return self._rows.commit(
            self._starter.stop_tasks(to_stop, deadline),
            self._last_input.quota_by_team,
        )

    def _jobs_on(self, host_id: str) -> list[jobs.Job]:
        return [
            job
            for job in self._rows.jobs_by_id.values()
            if job.host_id == host_id and job_schedule.holds_resources(job)
        ]

    def _open_rows(self, epoch_row: platform.Row) -> Outcome:
        def reset_if_taken_over(taken_over: bool) -> None:
            if taken_over:
                self._tasks.forget_all()
                self._reset_soft_state()

        # Before all else, so that no job whose task is done is requeued.
        return (
            self._rows.open(epoch_row)
            .map(reset_if_taken_over)
            .bind(
                lambda _: self._ends.store_decided(
                    self._last_input.quota_by_team
                )
            )
        )

    def _reset_soft_state(self) -> None:
        self._soft_state = job_soft_state.JobSoftState(self._clock)
        self._starter = job_starts.JobStarter(
            self._rows, self._tasks, self._soft_state, self._policy, self._clock
        )
        self._ends = job_ends.JobEnds(
            self._rows, self._tasks, self._soft_state, self._policy, self._clock
        )
        self._follower = job_follower.JobFollower(
            self._rows,
            self._tasks,
            self._soft_state,
            self._starter,
            self._policy,
            self._platform,
            self._clock,
        )

    def _build_input(
        self,
        pool_hosts: Sequence[hosts.Host],
        all_services: Sequence[services.Service],
        quotas: Sequence[services.TeamQuota],
        deadline: float,
    ) -> job_soft_state.StepInput:
        pool = self._rows.pool
        service = next(
            (candidate for candidate in all_services if candidate.name == pool),
            None,
        )
        teams = {job.team for job in self._rows.jobs_by_id.values()}
        if service is not None:
            teams.add(service.team)
        return job_soft_state.StepInput(
            hosts=pool_hosts,
            service=service,
            quota_by_team={
                quota.team: quota for quota in quotas if quota.team in teams
            },
            deadline=deadline,
        )

    def _process_ended_tasks(
        self, step_input: job_soft_state.StepInput
    ) -> Outcome:
        self._follower.read_reports(step_input)
        return self._ends.process_ended(step_input)

    def _reconcile_declared(
        self, step_input: job_soft_state.StepInput
    ) -> Outcome:
        """Reconciles the rows with the jobs that the service declares."""
        inputs = (step_input.service, self._rows.revision)
        if step_input.service is None or inputs == self._reconciled_inputs:
            return result.Success(None)
        by_id = self._rows.jobs_by_id
        declared_by_id = {
            job.job_id: job
            for job in job_changes.declared(
                step_input.service, self._wall_seconds()
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
        if not changes and not self._soft_state.undeclared_since_by_job:
            # Skips the comparison until the service or a row changes.
            self._reconciled_inputs = inputs
        return self._rows.commit(changes, step_input.quota_by_team)

    def _long_undeclared(self, declared_ids: frozenset[str]) -> list[jobs.Job]:
        now = self._clock.monotonic()
        undeclared_jobs = job_changes.undeclared(
            self._rows.jobs_by_id.values(), declared_ids
        )
        since_by_job = {
            job.job_id: self._soft_state.undeclared_since_by_job.get(
                job.job_id, now
            )
            for job in undeclared_jobs
        }
        self._soft_state.undeclared_since_by_job = since_by_job
        return [
            job
            for job in undeclared_jobs
            if now - since_by_job[job.job_id] >= UNDECLARED_GRACE_SECONDS
        ]
