"""Soft state of a pool's jobs: health, measured sizes, backoff and cordons.

None of it is stored; a new holder rebuilds it from the workers' reports.
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

REFUSAL_CORDON_SECONDS = 5.0  # Cordon of a host that refused a task.
DRAIN_CORDON_SECONDS = 30.0  # Lasts until the host's row is DRAINING.
MAX_BACKOFF_SECONDS = 60.0
# A job that doesn't fit on any host for this long is tried with half of its
# declared size, then with a quarter and an eighth. Declared sizes are seldom
# wrong by more than that.
HALVING_SECONDS = 15.0
MAX_HALVINGS = 3
REASON_UPDATE_SECONDS = 10.0  # Minimum time between two stored reasons.


class StepInput(NamedTuple):
    """Input of one step.

    Attributes:
        hosts: All hosts of the pool.
        service: The service that owns the pool; None if it is unknown.
        quota_by_team: Quotas of the teams that have jobs in the pool.
        deadline: Monotonic time after which the step starts no new call.
    """

    hosts: Sequence[hosts.Host]
    service: services.Service | None
    quota_by_team: Mapping[str, services.TeamQuota]
    deadline: float


class HostReports(NamedTuple):
    """The last task reports of a host and the time of their read."""

    read_at: float
    reports_by_task: Mapping[str, platform.TaskReport]


class JobSoftState:
    """Health, measured sizes, backoff and cordons of one pool."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.sizes = job_sizes.JobSizes()
        self.health = job_health.FailureHistory()
        self.headroom = job_sizes.HostHeadroom()
        self.reports_by_host: dict[str, HostReports] = {}
        self.undeclared_since_by_job: dict[str, float] = {}
        self.longest_failed_seconds_by_job: dict[str, float] = {}
        self._cordoned_until_by_host: dict[str, float] = {}
        self._backoff_until_by_job: dict[str, float] = {}
        self._consecutive_failures_by_job: dict[str, int] = {}
        self._no_room_since_by_job: dict[str, float] = {}
        self._wait_by_job: dict[str, tuple[job_schedule.WaitKind, float]] = {}

    def cordon_host(self, host_id: str, seconds: float) -> None:
        """Excludes a host from placement for a time."""
        until = self._clock.monotonic() + seconds
        self._cordoned_until_by_host[host_id] = max(
            until, self._cordoned_until_by_host.get(host_id, -math.inf)
        )

    def start_backoff(self, job_id: str) -> None:
        """Delays the next start of a failed job with exponential backoff."""
        failures = self._consecutive_failures_by_job.get(job_id, 0)
        self._consecutive_failures_by_job[job_id] = failures + 1
        self._backoff_until_by_job[job_id] = self._clock.monotonic() + min(
            2.0**failures, MAX_BACKOFF_SECONDS
        )

    def reset_backoff(self, job_id: str) -> None:
        """Resets the backoff of a job after a healthy run."""
        self._consecutive_failures_by_job.pop(job_id, None)
        self.longest_failed_seconds_by_job.pop(job_id, None)

    def clear_wait(self, job_id: str) -> None:
        """Clears why a job waited; called when it starts."""
        self._wait_by_job.pop(job_id, None)
        self._no_room_since_by_job.pop(job_id, None)

    def new_reason(self, job: jobs.Job, wait: job_schedule.Wait) -> str | None:
        """Returns the reason to store for a waiting job, None if unchanged.

        To limit writes, a reason is replaced only when its kind changes and
        at most once in `REASON_UPDATE_SECONDS`. The reason that a job can
        never run is stored at once.
        """
        now = self._clock.monotonic()
        if wait.kind is job_schedule.WaitKind.NO_ROOM:
            self._no_room_since_by_job.setdefault(job.job_id, now)
        previous_kind, updated_at = self._wait_by_job.get(
            job.job_id, (None, -math.inf)
        )
        impossible = wait.kind is job_schedule.WaitKind.IMPOSSIBLE
        if job.reason and previous_kind is wait.kind:
            return None
        if (
            not impossible
            and job.reason
            and now - updated_at < REASON_UPDATE_SECONDS
        ):
            return None
        self._wait_by_job[job.job_id] = (wait.kind, now)
        return wait.text

    def pool_view(
        self,
        step_input: StepInput,
        pool_jobs: Sequence[jobs.Job],
        held_by_team: Mapping[str, quota.Size],
        hosts_with_new_tasks: frozenset[str] | None,
    ) -> job_schedule.PoolView:
        """Returns the view of the pool that the scheduler plans with.

        Args:
            step_input: Input of the step.
            pool_jobs: All jobs of the pool.
            held_by_team: Resources that the teams' jobs hold in all pools.
            hosts_with_new_tasks: Hosts with tasks that haven't run for long
                yet; None to ignore ejections.
        """
        now = self._clock.monotonic()
        uses_ejections = hosts_with_new_tasks is not None
        trials = {
            host.host_id
            for host in step_input.hosts
            if uses_ejections and self.health.is_on_trial(host.host_id, now)
        }
        open_hosts = {
            host.host_id
            for host in step_input.hosts
            if self._is_schedulable(host, uses_ejections)
        }
        return job_schedule.PoolView(
            hosts=step_input.hosts,
            open_hosts=frozenset(
                open_hosts - (trials & (hosts_with_new_tasks or frozenset()))
            ),
            trial_hosts=frozenset(trials),
            jobs=pool_jobs,
            deferred_jobs=self._jobs_in_backoff(),
            halvings_by_job=self._halvings_by_job(),
            headroom_by_host=self.headroom.shares(step_input.hosts, now),
            held_by_team=held_by_team,
            quota_by_team=step_input.quota_by_team,
        )

    def _is_schedulable(self, host: hosts.Host, uses_ejections: bool) -> bool:
        now = self._clock.monotonic()
        return (
            host.state is hosts.HostState.SERVING
            and self._cordoned_until_by_host.get(host.host_id, -math.inf) <= now
            and not (
                uses_ejections and self.health.is_ejected(host.host_id, now)
            )
        )

    def _halvings_by_job(self) -> dict[str, int]:
        now = self._clock.monotonic()
        return {
            job_id: min(MAX_HALVINGS, int((now - since) / HALVING_SECONDS))
            for job_id, since in self._no_room_since_by_job.items()
        }

    def _jobs_in_backoff(self) -> frozenset[str]:
        now = self._clock.monotonic()
        return frozenset(
            job_id
            for job_id, until in self._backoff_until_by_job.items()
            if until > now
        )

    def record_reports(
        self,
        host: hosts.Host,
        reports: Iterable[platform.TaskReport],
        held: quota.Size,
    ) -> None:
        """Stores the reports of a host and detects an overload.

        Args:
            host: The host.
            reports: Its reports.
            held: Resources that its jobs hold by their rows. A host that is
                full as planned isn't overloaded.
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
        # Stays below the full memory, which the next task may already exceed.
        usable = quota.Size(host.cores, host.memory_gib * 0.95)
        if not used.within(usable) and not used.within(held):
            self.headroom.record_overload(host.host_id, now)

    def is_overloaded(self, host_id: str) -> bool:
        """Returns whether a host was overloaded recently."""
        return self.headroom.share(host_id, self._clock.monotonic()) > 0
