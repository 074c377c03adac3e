"""Decides the next state of jobs whose tasks have ended."""

from __future__ import annotations

from collections.abc import Mapping
import math

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import job_changes
from wisteriasill.contracts import job_health
from wisteriasill.contracts import job_sizes
from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import service as services
from wisteriasill.links import platform
from wisteriasill.machines import job_rows
from wisteriasill.machines import job_soft_state
from wisteriasill.machines import job_tasks

CAUSE_WAIT_SECONDS = 10.0  # Delayed reports state the cause by then.

Outcome = result.Result[None, errors.Failure]


class JobEnds:
    """Attributes failed tasks to the job, to the host or to neither."""

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
        # A worker that restarts no longer reports the end, so the decision is
        # kept until its row is stored.
        self._decided_row_by_task: dict[str, jobs.Job] = {}

    def process_ended(self, step_input: job_soft_state.StepInput) -> Outcome:
        """Decides on each job whose task has ended and writes its next row."""
        for job in self._rows.running():
            if (
                job.task_id not in self._decided_row_by_task
                and self._tasks.observation_of(job).ended_at < math.inf
                and (row := self._next_row(job, step_input)) is not None
            ):
                self._decided_row_by_task[job.task_id] = row
        return self.store_decided(step_input.quota_by_team)

    def store_decided(
        self, quota_by_team: Mapping[str, services.TeamQuota]
    ) -> Outcome:
        """Writes the decided rows that are not stored yet.

        Args:
            quota_by_team: Quotas of the teams that have jobs in the pool.
        """
        self._decided_row_by_task = {
            job.task_id: self._decided_row_by_task[job.task_id]
            for job in self._rows.running()
            if job.task_id in self._decided_row_by_task
        }
        if not self._decided_row_by_task:
            return result.Success(None)
        return self._rows.commit(
            [*self._decided_row_by_task.values()], quota_by_team
        )

    def _next_row(
        self, job: jobs.Job, step_input: job_soft_state.StepInput
    ) -> jobs.Job | None:
        """Returns the job's next row, or None while the cause is unknown."""
        observation = self._tasks.observation_of(job)
        host_reports = self._soft_state.reports_by_host.get(job.host_id)
        report = (
            host_reports.reports_by_task.get(job.task_id)
            if host_reports
            else None
        )
        waited_long = (
            self._clock.monotonic() - observation.ended_at > CAUSE_WAIT_SECONDS
        )
        reported_running = (
            report is None or report.state is platform.TaskState.RUNNING
        )
        if reported_running and not waited_long:
            return None
        self._soft_state.sizes.forget(job.job_id)
        if report is not None and report.checkpoint:
            job = job._replace(checkpoint=report.checkpoint)
        if report is None or reported_running:
            change = job_changes.waiting(job, "ended without a report")
        elif report.state is platform.TaskState.FINISHED:
            self._soft_state.health.record_success(
                job.host_id, self._clock.monotonic()
            )
            change = job_changes.ended(job, jobs.JobState.FINISHED)
        elif report.state is platform.TaskState.FAILED:
            change = self._row_after_failure(
                job, report, observation, step_input
            )
        else:
            change = job_changes.waiting(job, "its lease lapsed")
        return change

    def _row_after_failure(
        self,
        job: jobs.Job,
        report: platform.TaskReport,
        observation: job_tasks.TaskObservation,
        step_input: job_soft_state.StepInput,
    ) -> jobs.Job:
        self._soft_state.start_backoff(job.job_id)
        if report.memory_gib_used > job.memory_gib * 1.05:
            # Workers kill tasks when memory is exhausted. The declared size
            # was wrong; neither the job nor the host is faulty.
            self._soft_state.headroom.record_overload(
                job.host_id, self._clock.monotonic()
            )
            needed = report.memory_gib_used * job_sizes.OUT_OF_MEMORY_FACTOR
            return job_changes.waiting(
                job._replace(memory_gib=needed, measured=True),
                f"exceeded its memory on {job.host_id}",
            )
        if self._soft_state.is_overloaded(job.host_id):
            return job_changes.waiting(
                job, f"host {job.host_id} was overloaded"
            )
        ran_seconds = max(0.0, observation.ended_at - observation.started_at)
        longest = self._soft_state.longest_failed_seconds_by_job
        longest[job.job_id] = max(longest.get(job.job_id, 0.0), ran_seconds)
        return self._attribute_failure(job, step_input)

    def _attribute_failure(
        self, job: jobs.Job, step_input: job_soft_state.StepInput
    ) -> jobs.Job:
        failed_hosts = tuple(dict.fromkeys((*job.failed_hosts, job.host_id)))
        failed = job._replace(failed_hosts=failed_hosts)
        reason = f"failed on {', '.join(failed_hosts)}"
        events.log(
            events.Event.JOB_FAILED,
            "Job failed",
            "WARNING",
            job=job.job_id,
            host=job.host_id,
        )
        if not self._policy.isolates_failures:
            return job_changes.waiting(failed, reason)
        health = self._soft_state.health
        health.record_failure(
            job.job_id,
            job.host_id,
            self._quarantined(),
            len(step_input.hosts),
            self._clock.monotonic(),
        )
        if job_health.is_broken(
            job.job_id,
            failed_hosts,
            health.records_by_host,
            len(step_input.hosts),
        ):
            health.discard_job_failures(job.job_id)
            return job_changes.ended(failed, jobs.JobState.QUARANTINED, reason)
        return job_changes.waiting(failed, reason)

    def _quarantined(self) -> list[str]:
        return [
            job.job_id
            for job in self._rows.jobs_by_id.values()
            if job.state is jobs.JobState.QUARANTINED
        ]
