"""Corrects job sizes by usage reports; adds headroom on overloaded hosts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import statistics
from typing import NamedTuple

from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import quota
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

WINDOW_SECONDS = 120.0  # Older usage reports are discarded.
MIN_REPORTS = 2  # A single report may show a task that is still starting.
INITIAL_MARGIN = 0.15  # Above the peak of the first reports.
STEADY_MARGIN = 0.03  # Above the peak of a job with steady usage.
STEADY_REPORTS = 6
OUT_OF_MEMORY_MARGIN = 1.15  # Factor on the usage that exceeded the memory.
DECREASE_SHARE = 0.5  # Share of the excess that a correction removes.
MIN_CHANGE = 0.05  # Smaller corrections don't justify a write.
CORRECTION_SECONDS = 10.0  # Between two decreases of the same job.


class Usage(NamedTuple):
    """One usage report of a job."""

    measured_at: float
    cores: float
    memory_gib: float


class JobSizes:
    """Usage reports of one pool's jobs, in memory.

    A new holder of the shard starts without any.
    """

    def __init__(self) -> None:
        self._usage_by_job: dict[str, list[Usage]] = {}
        self._corrected_at: dict[str, float] = {}
        self._unprocessed: set[str] = set()

    def observe(self, report: platform.TaskReport, now: float) -> None:
        """Adds a usage report of a running task.

        Args:
            report: The report. The cores that a throttled task used are
                divided by the share to which it is throttled.
            now: Monotonic time.
        """
        if report.state is not platform.TaskState.RUNNING:
            return
        usage = self._usage_by_job.setdefault(report.job_id, [])
        measured_at = now - report.lag_seconds
        if usage and measured_at < usage[-1].measured_at + 0.5:
            return  # The same measurement again.
        cores = report.cores_used / report.throttle if report.throttle else 0.0
        self._unprocessed.add(report.job_id)
        usage.append(Usage(measured_at, cores, report.memory_gib_used))
        usage[:] = [
            usage_report
            for usage_report in usage
            if usage_report.measured_at > now - WINDOW_SECONDS
        ]

    def forget(self, job_id: str) -> None:
        """Discards the usage reports of a job that ended."""
        self._usage_by_job.pop(job_id, None)
        self._corrected_at.pop(job_id, None)

    def correction(
        self, job: jobs.Job, ceiling: quota.Size, now: float
    ) -> quota.Size | None:
        """Returns a running job's corrected size.

        The size is increased at once but decreased in steps, because usage
        may rise again.

        Args:
            job: The job.
            ceiling: Capacity of its host. A size with its margin beyond it
                would prevent the job from ever starting again.
            now: Monotonic time.

        Returns:
            The size; None if there is no new report, too few reports, or the
            current size is close enough.
        """
        usage = self._usage_by_job.get(job.job_id, [])
        if job.job_id not in self._unprocessed or len(usage) < MIN_REPORTS:
            return None
        self._unprocessed.discard(job.job_id)
        corrected = quota.Size(
            min(
                ceiling.cores,
                _next_amount(
                    job.cores, [usage_report.cores for usage_report in usage]
                ),
            ),
            min(
                ceiling.memory_gib,
                _next_amount(
                    job.memory_gib,
                    [usage_report.memory_gib for usage_report in usage],
                ),
            ),
            job.accelerators,
        )
        changes = (
            _change(job.cores, corrected.cores),
            _change(job.memory_gib, corrected.memory_gib),
        )
        if job.measured and max(map(abs, changes)) < MIN_CHANGE:
            return None
        since_correction = now - self._corrected_at.get(job.job_id, -1e9)
        is_lower = job.measured and max(changes) < MIN_CHANGE
        if is_lower and since_correction < CORRECTION_SECONDS:
            return None
        self._corrected_at[job.job_id] = now
        return corrected


def _with_margin(amounts: Sequence[float]) -> float:
    """Returns the peak plus a margin that grows with the variation of usage."""
    peak = max(amounts)
    variation = peak - statistics.fmean(amounts)
    margin_share = (
        INITIAL_MARGIN if len(amounts) < STEADY_REPORTS else STEADY_MARGIN
    )
    return max(0.01, peak + max(margin_share * peak, variation))


def _next_amount(current: float, amounts: Sequence[float]) -> float:
    needed = _with_margin(amounts)
    if max(amounts) > current:
        return needed
    # The margin alone is no reason to increase the size.
    floor = min(needed, current)
    if len(amounts) >= STEADY_REPORTS:
        return floor
    return current - (current - floor) * DECREASE_SHARE


def _change(current: float, corrected: float) -> float:
    return (corrected - current) / max(current, 0.01)


def measured_by_name(
    pool_jobs: Iterable[jobs.Job],
) -> dict[str, quota.Size]:
    """Returns the largest measured size of each job's copies."""
    sizes: dict[str, quota.Size] = {}
    for job in pool_jobs:
        if job.measured:
            name = placement.name_of(job)
            largest = sizes.get(name, quota.NOTHING)
            sizes[name] = quota.Size(
                max(largest.cores, job.cores),
                max(largest.memory_gib, job.memory_gib),
                job.accelerators,
            )
    return sizes


def initial_size(
    job: jobs.Job, sizes_by_name: Mapping[str, quota.Size]
) -> tuple[quota.Size, bool]:
    """Returns the size that a starting job reserves.

    Args:
        job: The job.
        sizes_by_name: Largest measured size of each job's copies.

    Returns:
        The size and whether usage reports have confirmed it: the job's own
        if it was measured, else that of its copies, else the declared one.
    """
    own_size = quota.Size(job.cores, job.memory_gib, job.accelerators)
    if job.measured:
        return own_size, True
    copies_size = sizes_by_name.get(placement.name_of(job))
    if copies_size is None:
        return own_size, False
    return copies_size._replace(accelerators=job.accelerators), True


class HostHeadroom:
    """Share of each host that placement leaves free after an overload.

    The share doubles with each overload and halves after each interval
    without one, so that a host whose jobs exceed their known sizes isn't
    filled again immediately.
    """

    INITIAL_SHARE = 0.1
    MAX_SHARE = 0.4
    QUIET_SECONDS = 60.0

    def __init__(self) -> None:
        self._share_by_host: dict[str, tuple[float, float]] = {}

    def record_overload(self, host_id: str, now: float) -> None:
        """Doubles the share, at most once in ten seconds."""
        share, overloaded_at = self._share_by_host.get(host_id, (0.0, -1e9))
        if now - overloaded_at < CORRECTION_SECONDS:
            return
        share = self.share(host_id, now)
        doubled = min(max(2 * share, self.INITIAL_SHARE), self.MAX_SHARE)
        self._share_by_host[host_id] = (doubled, now)

    def shares(
        self, pool_hosts: Iterable[hosts.Host], now: float
    ) -> dict[str, float]:
        """Returns the share to leave free on each host."""
        return {
            host.host_id: self.share(host.host_id, now) for host in pool_hosts
        }

    def share(self, host_id: str, now: float) -> float:
        """Returns the share to leave free on a host."""
        share, overloaded_at = self._share_by_host.get(host_id, (0.0, now))
        halvings = int((now - overloaded_at) / self.QUIET_SECONDS)
        remaining_share = share / 2**halvings
        return (
            remaining_share
            if remaining_share >= self.INITIAL_SHARE / 4
            else 0.0
        )
