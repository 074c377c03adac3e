"""Tracks a pool's running tasks: renews their leases, reads their reports."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import itertools
import math

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.contracts import job_changes
from wisteriasill.contracts import job_health
from wisteriasill.contracts import job_schedule
from wisteriasill.contracts import job_sizes
from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import preemption
from wisteriasill.contracts import quota
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import job_rows
from wisteriasill.machines import job_soft_state
from wisteriasill.machines import job_starts
from wisteriasill.machines import job_tasks

# At eight hosts a second, the reports of a pool of 205 hosts are read twice a
# minute with less than 9 KB/s of traffic.
REPORTS_PER_STEP = 8
REPORT_PERIOD_SECONDS = 4.0  # Minimum time between two reads of a host.

Outcome = result.Result[None, errors.Failure]


class JobFollower:
    """Renews task leases and updates job rows from the workers' reports."""

    def __init__(
        self,
        rows: job_rows.JobRows,
        tasks: job_tasks.JobTasks,
        soft_state: job_soft_state.JobSoftState,
        starter: job_starts.JobStarter,
        policy: placement.PlacementPolicy,
        platform_: platform.Platform,
        clock: clocks.Clock,
    ) -> None:
        self._rows = rows
        self._tasks = tasks
        self._soft_state = soft_state
        self._starter = starter
        self._policy = policy
        self._runner = platform_.tasks
        self._clock = clock
        self._evicted_at_by_host: dict[str, float] = {}
        self._eviction_inputs: tuple[Sequence[hosts.Host], int] = ((), 0)
        self._next_eviction_at = 0.0

    def renew(self, step_input: job_soft_state.StepInput) -> Outcome:
        """Renews the leases that are due, least recently renewed first."""
        due = sorted(
            (
                job
                for job in self._rows.running()
                if self._tasks.observation_of(job).ended_at == math.inf
                and self._tasks.is_renewal_due(job)
            ),
            key=lambda job: self._tasks.observation_of(job).renewed_at,
        )
        changes = []
        for job in due:
            if self._clock.monotonic() > step_input.deadline:
                break
            change = self._renew_lease(job)
            if change is not None:
                changes.append(change)
        return self._rows.commit(changes, step_input.quota_by_team)

    def read_reports(self, step_input: job_soft_state.StepInput) -> None:
        """Reads the reports of some hosts, those with ended tasks first."""
        now = self._clock.monotonic()
        hosts_with_ended_tasks = {
            job.host_id
            for job in self._rows.running()
            if self._tasks.observation_of(job).ended_at < math.inf
        }
        busy_hosts = {job.host_id for job in self._rows.running()}
        candidates = sorted(
            (
                host.host_id not in hosts_with_ended_tasks,
                self._reports_read_at(host.host_id),
                host.host_id,
                host,
            )
            for host in step_input.hosts
            if host.host_id in busy_hosts
            and (
                host.host_id in hosts_with_ended_tasks
                or now - self._reports_read_at(host.host_id)
                >= REPORT_PERIOD_SECONDS
            )
        )
        for *_, host in itertools.islice(candidates, REPORTS_PER_STEP):
            if self._clock.monotonic() > step_input.deadline:
                break
            reports = self._runner.list_tasks(host.host_id)
            if isinstance(reports, result.Success):
                self._soft_state.record_reports(
                    host,
                    reports.unwrap(),
                    self._resources_held_on(host.host_id),
                )

    def checkpoint(self, step_input: job_soft_state.StepInput) -> Outcome:
        """Takes the periodic checkpoints that are due."""
        if step_input.service is None:
            return result.Success(None)
        minutes_by_name = {
            f"{step_input.service.name}.{contract.name}": (
                contract.checkpoint_minutes
            )
            for contract in step_input.service.jobs
        }
        now = self._clock.monotonic()
        changes = []
        for job in self._rows.running():
            minutes = minutes_by_name.get(placement.name_of(job), 0)
            observation = self._tasks.observation_of(job)
            if not minutes or now - observation.checkpointed_at < 60 * minutes:
                continue
            if self._clock.monotonic() > step_input.deadline:
                break
            if name := self._tasks.checkpoint(job):
                changes.append(job._replace(checkpoint=name))
        return self._rows.commit(changes, step_input.quota_by_team)

    def correct_sizes(self, step_input: job_soft_state.StepInput) -> Outcome:
        """Corrects job sizes and evicts jobs from overloaded hosts."""
        if not self._policy.corrects_sizes:
            return result.Success(None)
        now = self._clock.monotonic()
        capacity_by_host = {
            host.host_id: placement.capacity_of(host)
            for host in step_input.hosts
        }
        corrected = [
            job._replace(
                cores=size.cores, memory_gib=size.memory_gib, measured=True
            )
            for job in self._rows.running()
            if job.host_id in capacity_by_host
            and (
                size := self._soft_state.sizes.correction(
                    job, capacity_by_host[job.host_id], now
                )
            )
            is not None
        ]
        return self._rows.commit(corrected, step_input.quota_by_team).bind(
            lambda _: self._evict_from_overloaded(step_input)
        )

    def _evict_from_overloaded(
        self, step_input: job_soft_state.StepInput
    ) -> Outcome:
        now = self._clock.monotonic()
        inputs = (step_input.hosts, self._rows.revision)
        if inputs == self._eviction_inputs and now < self._next_eviction_at:
            return result.Success(None)
        self._eviction_inputs = inputs
        self._next_eviction_at = now + job_sizes.CORRECTION_SECONDS
        placed_by_host = collections.defaultdict(list)
        for placed_job in job_schedule.placed(self._rows.jobs_by_id.values()):
            placed_by_host[placed_job.job.host_id].append(placed_job)
        evicted = []
        for host in step_input.hosts:
            evicted_at = self._evicted_at_by_host.get(host.host_id, -math.inf)
            if now - evicted_at < job_sizes.CORRECTION_SECONDS:
                continue
            victim = preemption.overloaded_victim(
                host, placed_by_host[host.host_id]
            )
            if victim is None:
                continue
            self._evicted_at_by_host[host.host_id] = now
            self._soft_state.headroom.record_overload(host.host_id, now)
            evicted.append(
                self._starter.checkpoint_and_requeue(
                    victim.job, f"host {host.host_id} is overloaded"
                )
            )
        return self._rows.commit(evicted, step_input.quota_by_team)

    def _resources_held_on(self, host_id: str) -> quota.Size:
        return quota.total(
            job_schedule.size_of(job)
            for job in self._rows.running()
            if job.host_id == host_id
        )

    def _reports_read_at(self, host_id: str) -> float:
        host_reports = self._soft_state.reports_by_host.get(host_id)
        return -math.inf if host_reports is None else host_reports.read_at

    def _renew_lease(self, job: jobs.Job) -> jobs.Job | None:
        status = self._tasks.renew(job)
        if status is job_tasks.TaskStatus.REFUSED:
            return self._starter.refused(job)
        if status is job_tasks.TaskStatus.LAPSED:
            return job_changes.waiting(job, f"lost with host {job.host_id}")
        observation = self._tasks.observation_of(job)
        ran_seconds = self._clock.monotonic() - observation.started_at
        if (
            status is not job_tasks.TaskStatus.RUNNING
            or ran_seconds < job_health.HEALTHY_RUN_SECONDS
        ):
            return None
        if not observation.healthy:
            self._soft_state.health.record_success(
                job.host_id, self._clock.monotonic()
            )
            self._tasks.mark_healthy(job)
        longest = self._soft_state.longest_failed_seconds_by_job.get(
            job.job_id, 0.0
        )
        if not job.failed_hosts or ran_seconds < 2 * longest:
            return None
        self._soft_state.reset_backoff(job.job_id)
        return job._replace(failed_hosts=())
