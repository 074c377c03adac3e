"""What the keeper of a pool's jobs remembers beyond the rows.

All of it may be lost: a new holder learns it again from the reports.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import math
from typing import NamedTuple

from wisteriasill import clock as clocks
from wisteriasill.contracts import job_health
from wisteriasill.contracts import job_schedule
from wisteriasill.contracts import job_sizes
from wisteriasill.contracts import jobs
from wisteriasill.contracts import quota
from wisteriasill.contracts import service as services
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

REFUSAL_SECONDS = 5.0  # A worker that refused a task isn't asked again.
DRAIN_NOTICE_SECONDS = 30.0  # Until the host's row says that it drains.
LONGEST_BACK_OFF_SECONDS = 60.0
# A job that finds no room for this long is tried with half its declared
# size, then with a quarter; the error is seldom larger than the last step.
HALVING_SECONDS = 15.0
LARGEST_HALVINGS = 3
REASON_SECONDS = 10.0  # Between two changes of a waiting job's reason.


class Round(NamedTuple):
    """What one step is given.

    Attributes:
        hosts: All hosts of the pool.
        service: The service that owns the pool; None if it isn't known.
        quota_by_team: Quotas of the teams that have jobs in the pool.
        deadline: Monotonic time after which the step makes no new call.
    """

    hosts: Sequence[hosts.Host]
    service: services.Service | None
    quota_by_team: Mapping[str, services.TeamQuota]
    deadline: float


class HostReports(NamedTuple):
    """The last reports of a host and when they were read."""

    read_at: float
    reports_by_task: Mapping[str, platform.TaskReport]


class JobMemory:
    """Evidence and back-off of one pool's jobs and hosts."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.sizes = job_sizes.JobSizes()
        self.health = job_health.JobHealth()
        self.headroom = job_sizes.HostHeadroom()
        self.reports_by_host: dict[str, HostReports] = {}
        self.undeclared_since: dict[str, float] = {}
        self.longest_failed_run: dict[str, float] = {}
        self._closed_until: dict[str, float] = {}
        self._held_back_until: dict[str, float] = {}
        self._failures_in_row: dict[str, int] = {}
        self._no_room_since: dict[str, float] = {}
        self._reasons: dict[str, tuple[job_schedule.WaitKind, float]] = {}

    def close_host(self, host_id: str, seconds: float) -> None:
        """Places no job on a host for a time."""
        until = self._clock.monotonic() + seconds
        self._closed_until[host_id] = max(
            until, self._closed_until.get(host_id, -math.inf)
        )

    def hold_back(self, job_id: str) -> None:
        """Delays the next start of a job that failed, longer each time."""
        failures = self._failures_in_row.get(job_id, 0)
        self._failures_in_row[job_id] = failures + 1
        self._held_back_until[job_id] = self._clock.monotonic() + min(
            2.0**failures, LONGEST_BACK_OFF_SECONDS
        )

    def note_proper_run(self, job_id: str) -> None:
        """Ends the back-off of a job."""
        self._failures_in_row.pop(job_id, None)
        self.longest_failed_run.pop(job_id, None)

    def forget_reason(self, job_id: str) -> None:
        """Notes that a job waits no longer."""
        self._reasons.pop(job_id, None)
        self._no_room_since.pop(job_id, None)

    def new_reason(self, job: jobs.Job, wait: job_schedule.Wait) -> str | None:
        """Returns the sentence for a waiting job's row, if it is to change.

        The sentence changes with the kind of the reason, at most once in
        `REASON_SECONDS` unless the job can never run, so that many waiting
        jobs don't cause many writes.
        """
        now = self._clock.monotonic()
        if wait.kind is job_schedule.WaitKind.NO_ROOM:
            self._no_room_since.setdefault(job.job_id, now)
        kind, noted_at = self._reasons.get(job.job_id, (None, -math.inf))
        urgent = wait.kind is job_schedule.WaitKind.IMPOSSIBLE
        if job.reason and kind is wait.kind:
            return None
        if not urgent and job.reason and now - noted_at < REASON_SECONDS:
            return None
        self._reasons[job.job_id] = (wait.kind, now)
        return wait.text

    def view(
        self,
        round_: Round,
        pool_jobs: Sequence[jobs.Job],
        held_by_team: Mapping[str, quota.Size],
        unproven_hosts: frozenset[str] | None,
    ) -> job_schedule.PoolView:
        """Returns what a round of decisions is based on.

        Args:
            round_: What the step was given.
            pool_jobs: All jobs of the pool.
            held_by_team: What the teams' jobs hold in all pools.
            unproven_hosts: Hosts with tasks that haven't run long; None to
                ignore ejections.
        """
        now = self._clock.monotonic()
        blames = unproven_hosts is not None
        trials = {
            host.host_id
            for host in round_.hosts
            if blames and self.health.is_on_trial(host.host_id, now)
        }
        open_hosts = {
            host.host_id for host in round_.hosts if self._is_open(host, blames)
        }
        return job_schedule.PoolView(
            hosts=round_.hosts,
            open_hosts=frozenset(
                open_hosts - (trials & (unproven_hosts or frozenset()))
            ),
            trial_hosts=frozenset(trials),
            jobs=pool_jobs,
            held_back=self._held_back(),
            halvings_by_job=self._halvings(),
            headroom_by_host=self.headroom.shares(round_.hosts, now),
            held_by_team=held_by_team,
            quota_by_team=round_.quota_by_team,
        )

    def _is_open(self, host: hosts.Host, blames: bool) -> bool:
        now = self._clock.monotonic()
        return (
            host.state is hosts.HostState.SERVING
            and self._closed_until.get(host.host_id, -math.inf) <= now
            and not (blames and self.health.is_ejected(host.host_id, now))
        )

    def _halvings(self) -> dict[str, int]:
        now = self._clock.monotonic()
        return {
            job_id: min(LARGEST_HALVINGS, int((now - since) / HALVING_SECONDS))
            for job_id, since in self._no_room_since.items()
        }

    def _held_back(self) -> frozenset[str]:
        now = self._clock.monotonic()
        return frozenset(
            job_id
            for job_id, until in self._held_back_until.items()
            if until > now
        )

    def take_reports(
        self,
        host: hosts.Host,
        reports: Iterable[platform.TaskReport],
        held: quota.Size,
    ) -> None:
        """Takes over the reports of a host, and notes an overload.

        Args:
            host: The host.
            reports: Its reports.
            held: What its jobs hold by their rows. A host that is full as
                planned isn't overloaded.
        """
        now = self._clock.monotonic()
        by_task = {report.task_id: report for report in reports}
        self.reports_by_host[host.host_id] = HostReports(now, by_task)
        running = [
            report
            for report in by_task.values()
            if report.state is platform.TaskState.RUNNING
        ]
        for report in running:
            self.sizes.observe(report, now)
        used = quota.total(
            quota.Size(report.cores_used, report.memory_gib_used)
            for report in running
        )
        # Short of all memory, because the next task may already exceed it.
        usable = quota.Size(host.cores, host.memory_gib * 0.95)
        if not used.within(usable) and not used.within(held):
            self.headroom.note_overload(host.host_id, now)

    def is_overloaded(self, host_id: str) -> bool:
        """Returns whether a host was overloaded a short while ago."""
        return self.headroom.share(host_id, self._clock.monotonic()) > 0
