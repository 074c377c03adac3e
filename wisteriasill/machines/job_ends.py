"""Decides on the jobs of a pool whose tasks have ended."""

from __future__ import annotations

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
from wisteriasill.links import platform
from wisteriasill.machines import job_memory
from wisteriasill.machines import job_rows
from wisteriasill.machines import job_tasks

CAUSE_SECONDS = 10.0  # Lagging reports name the cause of an end by then.

Outcome = result.Result[None, errors.Failure]


class JobEnds:
    """Finds the cause of each end, and blames the job, the host or neither."""

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

    def settle(self, round_: job_memory.Round) -> Outcome:
        """Decides on the jobs whose tasks have ended."""
        settled = [
            change
            for job in self._rows.running()
            if self._tasks.watch_of(job).ended_at < math.inf
            and (change := self._settled(job, round_)) is not None
        ]
        return self._rows.commit(settled, round_.quota_by_team)

    def _settled(
        self, job: jobs.Job, round_: job_memory.Round
    ) -> jobs.Job | None:
        """Returns the next row of a job whose task has ended, if known."""
        watch = self._tasks.watch_of(job)
        known = self._memory.reports_by_host.get(job.host_id)
        report = known.reports_by_task.get(job.task_id) if known else None
        late = self._clock.monotonic() - watch.ended_at > CAUSE_SECONDS
        still = report is None or report.state is platform.TaskState.RUNNING
        if still and not late:
            return None
        self._memory.sizes.forget(job.job_id)
        if report is not None and report.checkpoint:
            job = job._replace(checkpoint=report.checkpoint)
        if report is None or still:
            change = job_changes.waiting(job, "ended without a report")
        elif report.state is platform.TaskState.FINISHED:
            self._memory.health.note_proof(job.host_id, self._clock.monotonic())
            change = job_changes.ended(job, jobs.JobState.FINISHED)
        elif report.state is platform.TaskState.FAILED:
            change = self._failed(job, report, watch, round_)
        else:
            change = job_changes.waiting(job, "its lease lapsed")
        self._tasks.forget(job)
        return change

    def _failed(
        self,
        job: jobs.Job,
        report: platform.TaskReport,
        watch: job_tasks.Watch,
        round_: job_memory.Round,
    ) -> jobs.Job:
        self._memory.hold_back(job.job_id)
        if report.memory_gib_used > job.memory_gib * 1.05:
            # The worker ends a task when its memory is exhausted; the size
            # was wrong, which is no fault of the job or the host.
            self._memory.headroom.note_overload(
                job.host_id, self._clock.monotonic()
            )
            needed = report.memory_gib_used * job_sizes.MEMORY_MARGIN
            return job_changes.waiting(
                job._replace(memory_gib=needed, measured=True),
                f"exceeded its memory on {job.host_id}",
            )
        if self._memory.is_overloaded(job.host_id):
            return job_changes.waiting(
                job, f"host {job.host_id} was overloaded"
            )
        ran_seconds = max(0.0, watch.ended_at - watch.started_at)
        longest = self._memory.longest_failed_run
        longest[job.job_id] = max(longest.get(job.job_id, 0.0), ran_seconds)
        return self._blamed(job, round_)

    def _blamed(self, job: jobs.Job, round_: job_memory.Round) -> jobs.Job:
        failed_hosts = tuple(dict.fromkeys((*job.failed_hosts, job.host_id)))
        failed = job._replace(failed_hosts=failed_hosts)
        reason = f"failed on {', '.join(failed_hosts)}"
        events.log(
            events.Event.JOB_FAILED,
            "job failed",
            "WARNING",
            job=job.job_id,
            host=job.host_id,
        )
        if not self._policy.blames:
            return job_changes.waiting(failed, reason)
        health = self._memory.health
        health.note_failure(
            job.job_id,
            job.host_id,
            self._quarantined(),
            len(round_.hosts),
            self._clock.monotonic(),
        )
        if job_health.is_broken(
            job.job_id, failed_hosts, health.records_by_host, len(round_.hosts)
        ):
            health.note_broken(job.job_id)
            return job_changes.ended(failed, jobs.JobState.QUARANTINED, reason)
        return job_changes.waiting(failed, reason)

    def _quarantined(self) -> list[str]:
        return [
            job.job_id
            for job in self._rows.jobs_by_id.values()
            if job.state is jobs.JobState.QUARANTINED
        ]
