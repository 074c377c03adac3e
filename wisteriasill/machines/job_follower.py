"""Follows the running tasks of a pool's jobs: leases, reports, ends."""

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
from wisteriasill.machines import job_memory
from wisteriasill.machines import job_rows
from wisteriasill.machines import job_starts
from wisteriasill.machines import job_tasks

# With eight a second, the reports of a pool of 205 hosts are read twice a
# minute at under 9 KB/s.
REPORTS_PER_STEP = 8
REPORT_SECONDS = 4.0  # A small pool's hosts are not read more often.

Outcome = result.Result[None, errors.Failure]


class JobFollower:
    """Renews leases and turns what reports say into changes of rows."""

    def __init__(
        self,
        rows: job_rows.JobRows,
        tasks: job_tasks.JobTasks,
        memory: job_memory.JobMemory,
        starter: job_starts.JobStarter,
        policy: placement.PlacementPolicy,
        platform_: platform.Platform,
        clock: clocks.Clock,
    ) -> None:
        self._rows = rows
        self._tasks = tasks
        self._memory = memory
        self._starter = starter
        self._policy = policy
        self._runner = platform_.tasks
        self._clock = clock
        self._relieved_at: dict[str, float] = {}
        self._relief_basis: tuple[Sequence[hosts.Host], int] = ((), 0)
        self._relief_due_at = 0.0

    def renew(self, round_: job_memory.Round) -> Outcome:
        """Renews the leases that are due, the oldest first."""
        due = sorted(
            (
                job
                for job in self._rows.running()
                if self._tasks.watch_of(job).ended_at == math.inf
                and self._tasks.is_due(job)
            ),
            key=lambda job: self._tasks.watch_of(job).renewed_at,
        )
        changes = []
        for job in due:
            if self._clock.monotonic() > round_.deadline:
                break
            change = self._renewed(job)
            if change is not None:
                changes.append(change)
        return self._rows.commit(changes, round_.quota_by_team)

    def read_reports(self, round_: job_memory.Round) -> None:
        """Reads the reports of a few hosts, those with ended tasks first."""
        now = self._clock.monotonic()
        ended_on = {
            job.host_id
            for job in self._rows.running()
            if self._tasks.watch_of(job).ended_at < math.inf
        }
        busy = {job.host_id for job in self._rows.running()}
        candidates = sorted(
            (
                host.host_id not in ended_on,
                self._read_at(host.host_id),
                host.host_id,
                host,
            )
            for host in round_.hosts
            if host.host_id in busy
            and (
                host.host_id in ended_on
                or now - self._read_at(host.host_id) >= REPORT_SECONDS
            )
        )
        for *_, host in itertools.islice(candidates, REPORTS_PER_STEP):
            if self._clock.monotonic() > round_.deadline:
                break
            reports = self._runner.list_tasks(host.host_id)
            if isinstance(reports, result.Success):
                self._memory.take_reports(
                    host, reports.unwrap(), self._held_on(host.host_id)
                )

    def checkpoint(self, round_: job_memory.Round) -> Outcome:
        """Makes the periodic checkpoints that are due."""
        if round_.service is None:
            return result.Success(None)
        minutes_by_name = {
            f"{round_.service.name}.{contract.name}": (
                contract.checkpoint_minutes
            )
            for contract in round_.service.jobs
        }
        now = self._clock.monotonic()
        changes = []
        for job in self._rows.running():
            minutes = minutes_by_name.get(placement.name_of(job), 0)
            watch = self._tasks.watch_of(job)
            if not minutes or now - watch.checkpointed_at < 60 * minutes:
                continue
            if self._clock.monotonic() > round_.deadline:
                break
            if name := self._tasks.checkpoint(job):
                changes.append(job._replace(checkpoint=name))
        return self._rows.commit(changes, round_.quota_by_team)

    def correct(self, round_: job_memory.Round) -> Outcome:
        """Corrects sizes and relieves hosts that are exceeded."""
        if not self._policy.corrects_sizes:
            return result.Success(None)
        now = self._clock.monotonic()
        capacities = {
            host.host_id: placement.capacity_of(host) for host in round_.hosts
        }
        corrected = [
            job._replace(
                cores=size.cores, memory_gib=size.memory_gib, measured=True
            )
            for job in self._rows.running()
            if job.host_id in capacities
            and (
                size := self._memory.sizes.correction(
                    job, capacities[job.host_id], now
                )
            )
            is not None
        ]
        return self._rows.commit(corrected, round_.quota_by_team).bind(
            lambda _: self._relieve(round_)
        )

    def _relieve(self, round_: job_memory.Round) -> Outcome:
        now = self._clock.monotonic()
        basis = (round_.hosts, self._rows.revision)
        if basis == self._relief_basis and now < self._relief_due_at:
            return result.Success(None)
        self._relief_basis = basis
        self._relief_due_at = now + job_sizes.CORRECTION_SECONDS
        placed_by_host = collections.defaultdict(list)
        for item in job_schedule.placed(self._rows.jobs_by_id.values()):
            placed_by_host[item.job.host_id].append(item)
        leaving = []
        for host in round_.hosts:
            relieved_at = self._relieved_at.get(host.host_id, -math.inf)
            if now - relieved_at < job_sizes.CORRECTION_SECONDS:
                continue
            victim = preemption.overloaded_victim(
                host, placed_by_host[host.host_id]
            )
            if victim is None:
                continue
            self._relieved_at[host.host_id] = now
            self._memory.headroom.note_overload(host.host_id, now)
            leaving.append(
                self._starter.checkpointed(
                    victim.job, f"host {host.host_id} is overloaded"
                )
            )
        return self._rows.commit(leaving, round_.quota_by_team)

    def _held_on(self, host_id: str) -> quota.Size:
        return quota.total(
            job_schedule.size_of(job)
            for job in self._rows.running()
            if job.host_id == host_id
        )

    def _read_at(self, host_id: str) -> float:
        known = self._memory.reports_by_host.get(host_id)
        return -math.inf if known is None else known.read_at

    def _renewed(self, job: jobs.Job) -> jobs.Job | None:
        standing = self._tasks.renew(job)
        if standing is job_tasks.Standing.REFUSED:
            return self._starter.refused(job)
        if standing is job_tasks.Standing.LAPSED:
            self._tasks.forget(job)
            return job_changes.waiting(job, f"lost with host {job.host_id}")
        watch = self._tasks.watch_of(job)
        ran_seconds = self._clock.monotonic() - watch.started_at
        if (
            standing is not job_tasks.Standing.RUNNING
            or ran_seconds < job_health.PROOF_SECONDS
        ):
            return None
        if not watch.proven:
            self._memory.health.note_proof(job.host_id, self._clock.monotonic())
            self._tasks.set_proven(job)
        longest = self._memory.longest_failed_run.get(job.job_id, 0.0)
        if not job.failed_hosts or ran_seconds < 2 * longest:
            return None
        self._memory.note_proper_run(job.job_id)
        return job._replace(failed_hosts=())
