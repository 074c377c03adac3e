"""Carries out starts, pre-emptions and stops of a pool's jobs."""

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
from wisteriasill.machines import job_memory
from wisteriasill.machines import job_rows
from wisteriasill.machines import job_tasks

STARTS_PER_TRANSACTION = 16
TEAM_REFRESH_SECONDS = 5.0
URGENT_RETRIES = 3

Outcome = result.Result[None, errors.Failure]


class JobStarter:
    """Starts and stops tasks; each start is written before it is made."""

    def __init__(
        self,
        rows: job_rows.JobRows,
        tasks: job_tasks.JobTasks,
        memory: job_memory.JobMemory,
        policy: placement.PlacementPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._rows = rows
        self._tasks = tasks
        self._memory = memory
        self._policy = policy
        self._clock = clock
        self._teams_read_at = -TEAM_REFRESH_SECONDS
        self._was_refused = False

    def start(self, round_: job_memory.Round, urgent_only: bool) -> Outcome:
        """Plans and carries out starts, and writes why other jobs wait.

        Args:
            round_: What the step was given.
            urgent_only: Whether only urgent jobs are considered.
        """
        self._was_refused = False
        if not any(
            job.state is jobs.JobState.WAITING
            for job in self._rows.jobs_by_id.values()
        ):
            return result.Success(None)
        held = self._rows.held_by_team(round_.quota_by_team)
        if isinstance(held, result.Failure):
            return held
        plan = job_schedule.plan(
            self._view(round_, held.unwrap()), self._policy, urgent_only
        )
        self._refresh_teams(plan)
        for first in range(0, len(plan.starts), STARTS_PER_TRANSACTION):
            if self._clock.monotonic() > round_.deadline:
                break
            outcome = self._start_batch(
                round_, plan.starts[first : first + STARTS_PER_TRANSACTION]
            )
            if isinstance(outcome, result.Failure):
                return outcome
        return self._rows.commit(self._waits(plan), round_.quota_by_team)

    def start_urgent(self, round_: job_memory.Round) -> Outcome:
        """Starts urgent jobs, elsewhere if a worker refuses one.

        A worker may refuse because victims of unproven size held less than
        declared; the next try avoids that host.
        """
        outcome = self.start(round_, urgent_only=True)
        for _ in range(URGENT_RETRIES):
            if isinstance(outcome, result.Failure) or not self._was_refused:
                break
            outcome = self.start(round_, urgent_only=True)
        return outcome

    def stop(self, round_: job_memory.Round) -> Outcome:
        """Stops the tasks of all jobs that are to be stopped."""
        to_stop = [
            job
            for job in self._rows.jobs_by_id.values()
            if job.state is jobs.JobState.STOPPING
        ]
        return self._rows.commit(
            self.stop_tasks(to_stop, round_.deadline), round_.quota_by_team
        )

    def stop_tasks(
        self, to_stop: Sequence[jobs.Job], deadline: float
    ) -> list[jobs.Job]:
        """Stops tasks until the deadline.

        Returns:
            The next rows of the jobs whose tasks certainly run no more.
        """
        stopped = []
        for job in to_stop:
            if self._clock.monotonic() > deadline:
                break
            if self._tasks.stop(job) is not job_tasks.Standing.UNCERTAIN:
                stopped.append(job_changes.stopped(job))
                self._tasks.forget(job)
                _log(events.Event.JOB_STOPPED, "job stopped", job)
        return stopped

    def checkpointed(self, job: jobs.Job, reason: str) -> jobs.Job:
        """Returns the row of a job that leaves its host and starts again."""
        checkpoint = self._tasks.checkpoint(job) if job.can_checkpoint else ""
        return job_changes.stopping(
            job, jobs.JobState.WAITING, reason, checkpoint
        )

    def _view(
        self,
        round_: job_memory.Round,
        held_by_team: dict[str, quota.Size],
    ) -> job_schedule.PoolView:
        return self._memory.view(
            round_,
            tuple(self._rows.jobs_by_id.values()),
            held_by_team,
            self._unproven_hosts() if self._policy.blames else None,
        )

    def _unproven_hosts(self) -> frozenset[str]:
        return frozenset(
            job.host_id
            for job in self._rows.jobs_by_id.values()
            if job.state is jobs.JobState.RUNNING
            and not self._tasks.watch_of(job).proven
        )

    def _start_batch(
        self,
        round_: job_memory.Round,
        starts: Sequence[job_schedule.Start],
    ) -> Outcome:
        leaving = [
            self.checkpointed(victim, f"makes room for {start.job.job_id}")
            for start in starts
            for victim in start.victims
        ]
        started = [job_changes.started(start) for start in starts]
        written = self._rows.commit([*leaving, *started], round_.quota_by_team)
        if isinstance(written, result.Failure):
            return written
        # The rows carry the token of the transaction now.
        rows = self._rows.jobs_by_id
        stopped = self.stop_tasks(
            [rows[job.job_id] for job in leaving], round_.deadline
        )
        refused = [
            row
            for job in started
            if (row := self._start_task(rows[job.job_id])) is not None
        ]
        return self._rows.commit([*stopped, *refused], round_.quota_by_team)

    def _start_task(self, job: jobs.Job) -> jobs.Job | None:
        """Starts a task; returns the job's next row if it was refused."""
        self._tasks.expect(job)
        self._memory.forget_reason(job.job_id)
        if self._tasks.start(job) is not job_tasks.Standing.REFUSED:
            _log(events.Event.JOB_STARTED, "job started", job)
            return None
        return self.refused(job)

    def refused(self, job: jobs.Job) -> jobs.Job:
        """Returns the row of a job whose worker refused its task."""
        self._was_refused = True
        self._memory.close_host(job.host_id, job_memory.REFUSAL_SECONDS)
        self._tasks.forget(job)
        return job_changes.waiting(job, f"refused by host {job.host_id}")

    def _waits(self, plan: job_schedule.Plan) -> list[jobs.Job]:
        changed = []
        for job_id, wait in plan.waits_by_job.items():
            job = self._rows.jobs_by_id[job_id]
            reason = self._memory.new_reason(job, wait)
            if reason is not None:
                changed.append(job._replace(reason=reason))
                events.log(
                    events.Event.JOB_WAITING,
                    "job waits",
                    job=job_id,
                    reason=reason,
                )
        return changed

    def _refresh_teams(self, plan: job_schedule.Plan) -> None:
        """Reads the teams' rows again while a quota keeps a job waiting.

        Other pools' keepers write them when they give room back.
        """
        now = self._clock.monotonic()
        if now - self._teams_read_at < TEAM_REFRESH_SECONDS:
            return
        if any(
            wait.kind is job_schedule.WaitKind.QUOTA
            for wait in plan.waits_by_job.values()
        ):
            self._teams_read_at = now
            self._rows.refresh_teams()


def _log(event: events.Event, message: str, job: jobs.Job) -> None:
    events.log(event, message, job=job.job_id, host=job.host_id)
