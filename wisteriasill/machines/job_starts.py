"""Starts, preempts and stops the tasks of a pool's jobs."""

from __future__ import annotations

from collections.abc import Sequence

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import job_changes
from wisteriasill.contracts import job_schedule
from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import quota
from wisteriasill.machines import job_rows
from wisteriasill.machines import job_soft_state
from wisteriasill.machines import job_tasks

STARTS_PER_TRANSACTION = 16
TEAM_REFRESH_SECONDS = 5.0
URGENT_RETRIES = 3

Outcome = result.Result[None, errors.Failure]


class JobStarter:
    """Starts and stops tasks; a job's row is written before its task starts."""

    def __init__(
        self,
        rows: job_rows.JobRows,
        tasks: job_tasks.JobTasks,
        soft_state: job_soft_state.JobSoftState,
        policy: placement.PlacementPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._rows = rows
        self._tasks = tasks
        self._soft_state = soft_state
        self._policy = policy
        self._clock = clock
        self._teams_read_at = -TEAM_REFRESH_SECONDS
        self._start_refused = False

    def start(
        self, step_input: job_soft_state.StepInput, urgent_only: bool
    ) -> Outcome:
        """Plans and runs starts, and stores why the other jobs wait.

        Args:
            step_input: Input of the step.
            urgent_only: Whether only urgent jobs are considered.
        """
        self._start_refused = False
        if not any(
            job.state is jobs.JobState.WAITING
            for job in self._rows.jobs_by_id.values()
        ):
            return result.Success(None)
        held = self._rows.held_by_team(step_input.quota_by_team)
        if isinstance(held, result.Failure):
            return held
        plan = job_schedule.plan(
            self._pool_view(step_input, held.unwrap()),
            self._policy,
            urgent_only,
        )
        self._refresh_teams(plan)
        for first in range(0, len(plan.starts), STARTS_PER_TRANSACTION):
            if self._clock.monotonic() > step_input.deadline:
                break
            outcome = self._start_batch(
                step_input, plan.starts[first : first + STARTS_PER_TRANSACTION]
            )
            if isinstance(outcome, result.Failure):
                return outcome
        return self._rows.commit(
            self._wait_changes(plan), step_input.quota_by_team
        )

    def start_urgent(self, step_input: job_soft_state.StepInput) -> Outcome:
        """Starts urgent jobs; retries on another host if a worker refuses.

        A worker may refuse because the preempted jobs held less than their
        declared sizes; the retry avoids that host.
        """
        outcome = self.start(step_input, urgent_only=True)
        for _ in range(URGENT_RETRIES):
            if isinstance(outcome, result.Failure) or not self._start_refused:
                break
            outcome = self.start(step_input, urgent_only=True)
        return outcome

    def stop(self, step_input: job_soft_state.StepInput) -> Outcome:
        """Stops the tasks of all STOPPING jobs."""
        to_stop = [
            job
            for job in self._rows.jobs_by_id.values()
            if job.state is jobs.JobState.STOPPING
        ]
        return self._rows.commit(
            self.stop_tasks(to_stop, step_input.deadline),
            step_input.quota_by_team,
        )

    def stop_tasks(
        self, to_stop: Sequence[jobs.Job], deadline: float
    ) -> list[jobs.Job]:
        """Stops tasks until the deadline.

        Returns:
            The next rows of the jobs whose tasks have certainly ended.
        """
        stopped = []
        for job in to_stop:
            if self._clock.monotonic() > deadline:
                break
            if self._tasks.stop(job) is not job_tasks.TaskStatus.UNCERTAIN:
                stopped.append(job_changes.stopped(job))
                _log(events.Event.JOB_STOPPED, "Job stopped", job)
        return stopped

    def checkpoint_and_requeue(self, job: jobs.Job, reason: str) -> jobs.Job:
        """Checkpoints an evicted job; returns the row that requeues it."""
        checkpoint = self._tasks.checkpoint(job) if job.can_checkpoint else ""
        return job_changes.stopping(
            job, jobs.JobState.WAITING, reason, checkpoint
        )

    def _pool_view(
        self,
        step_input: job_soft_state.StepInput,
        held_by_team: dict[str, quota.Size],
    ) -> job_schedule.PoolView:
        return self._soft_state.pool_view(
            step_input,
            tuple(self._rows.jobs_by_id.values()),
            held_by_team,
            self._hosts_with_new_tasks()
            if self._policy.isolates_failures
            else None,
        )

    def _hosts_with_new_tasks(self) -> frozenset[str]:
        return frozenset(
            job.host_id
            for job in self._rows.jobs_by_id.values()
            if job.state is jobs.JobState.RUNNING
            and not self._tasks.observation_of(job).healthy
        )

    def _start_batch(
        self,
        step_input: job_soft_state.StepInput,
        starts: Sequence[job_schedule.Start],
    ) -> Outcome:
        evicted = [
            self.checkpoint_and_requeue(
                victim, f"makes room for {start.job.job_id}"
            )
            for start in starts
            for victim in start.victims
        ]
        started = [job_changes.started(start) for start in starts]
        written = self._rows.commit(
            [*evicted, *started], step_input.quota_by_team
        )
        if isinstance(written, result.Failure):
            return written
        # The committed rows carry the token of the transaction.
        rows = self._rows.jobs_by_id
        stopped = self.stop_tasks(
            [rows[job.job_id] for job in evicted], step_input.deadline
        )
        refused = [
            row
            for job in started
            if (row := self._start_task(rows[job.job_id])) is not None
        ]
        return self._rows.commit([*stopped, *refused], step_input.quota_by_team)

    def _start_task(self, job: jobs.Job) -> jobs.Job | None:
        """Starts a task; returns the job's next row if the worker refused."""
        self._tasks.track_new(job)
        self._soft_state.clear_wait(job.job_id)
        if self._tasks.start(job) is not job_tasks.TaskStatus.REFUSED:
            _log(events.Event.JOB_STARTED, "Job started", job)
            return None
        return self.refused(job)

    def refused(self, job: jobs.Job) -> jobs.Job:
        """Returns the row of a job whose worker refused its task."""
        self._start_refused = True
        self._soft_state.cordon_host(
            job.host_id, job_soft_state.REFUSAL_CORDON_SECONDS
        )
        return job_changes.waiting(job, f"refused by host {job.host_id}")

    def _wait_changes(self, plan: job_schedule.Plan) -> list[jobs.Job]:
        changed = []
        for job_id, wait in plan.waits_by_job.items():
            job = self._rows.jobs_by_id[job_id]
            reason = self._soft_state.new_reason(job, wait)
            if reason is not None:
                changed.append(job._replace(reason=reason))
                events.log(
                    events.Event.JOB_WAITING,
                    "Job is waiting",
                    job=job_id,
                    reason=reason,
                )
        return changed

    def _refresh_teams(self, plan: job_schedule.Plan) -> None:
        """Invalidates the team rows while a quota keeps a job waiting.

        Controllers of other pools write them when they release resources.
        """
        now = self._clock.monotonic()
        if now - self._teams_read_at < TEAM_REFRESH_SECONDS:
            return
        if any(
            wait.kind is job_schedule.WaitKind.QUOTA
            for wait in plan.waits_by_job.values()
        ):
            self._teams_read_at = now
            self._rows.invalidate_teams()


def _log(event: events.Event, message: str, job: jobs.Job) -> None:
    events.log(event, message, job=job.job_id, host=job.host_id)
