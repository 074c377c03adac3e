"""Sizes of jobs, corrected by usage reports, and caution after overload."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import statistics
from typing import NamedTuple

from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import quota
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

WINDOW_SECONDS = 120.0  # Peaks older than this no longer count.
PROOF_REPORTS = 2  # One report may have caught a task while it started.
FIRST_MARGIN = 0.15  # Over the peak of the first reports.
STEADY_MARGIN = 0.03  # Over the peak of a job whose use doesn't vary.
STEADY_REPORTS = 6
MEMORY_MARGIN = 1.15  # Over what a task used when its memory ran out.
LOWERING_SHARE = 0.5  # Of the way down, at each correction.
NOTABLE_CHANGE = 0.05  # Smaller corrections aren't worth a write.
CORRECTION_SECONDS = 10.0  # Between two lower sizes of one job.


class Usage(NamedTuple):
    """One usage report of a job."""

    taken_at: float
    cores: float
    memory_gib: float


class JobSizes:
    """Usage of the jobs of one pool, in memory; a new holder learns anew."""

    def __init__(self) -> None:
        self._usage_by_job: dict[str, list[Usage]] = {}
        self._corrected_at: dict[str, float] = {}
        self._news: set[str] = set()

    def observe(self, report: platform.TaskReport, now: float) -> None:
        """Takes over a report of a running task.

        Args:
            report: The report; a throttled task's processors don't count.
            now: Monotonic time.
        """
        if report.state is not platform.TaskState.RUNNING:
            return
        usage = self._usage_by_job.setdefault(report.job_id, [])
        taken_at = now - report.lag_seconds
        if usage and taken_at < usage[-1].taken_at + 0.5:
            return  # The same view again.
        cores = report.cores_used / report.throttle if report.throttle else 0.0
        self._news.add(report.job_id)
        usage.append(Usage(taken_at, cores, report.memory_gib_used))
        usage[:] = [
            item for item in usage if item.taken_at > now - WINDOW_SECONDS
        ]

    def forget(self, job_id: str) -> None:
        """Drops the usage of a job that ended."""
        self._usage_by_job.pop(job_id, None)
        self._corrected_at.pop(job_id, None)

    def correction(
        self, job: jobs.Job, ceiling: quota.Size, now: float
    ) -> quota.Size | None:
        """Returns a running job's corrected size.

        A larger size holds at once. A smaller one is approached in steps,
        because usage may rise again.

        Args:
            job: The job.
            ceiling: Capacity of its host; a margin beyond it would keep the
                job from ever starting again.
            now: Monotonic time.

        Returns:
            The size; None if there is no new report, or the present size
            is close enough or unproven.
        """
        usage = self._usage_by_job.get(job.job_id, [])
        if job.job_id not in self._news or len(usage) < PROOF_REPORTS:
            return None
        self._news.discard(job.job_id)
        corrected = quota.Size(
            min(
                ceiling.cores,
                _approach(job.cores, [item.cores for item in usage]),
            ),
            min(
                ceiling.memory_gib,
                _approach(job.memory_gib, [item.memory_gib for item in usage]),
            ),
            job.accelerators,
        )
        changes = (
            _change(job.cores, corrected.cores),
            _change(job.memory_gib, corrected.memory_gib),
        )
        if job.measured and max(map(abs, changes)) < NOTABLE_CHANGE:
            return None
        recent = now - self._corrected_at.get(job.job_id, -1e9)
        is_lower = job.measured and max(changes) < NOTABLE_CHANGE
        if is_lower and recent < CORRECTION_SECONDS:
            return None
        self._corrected_at[job.job_id] = now
        return corrected


def _with_margin(amounts: Sequence[float]) -> float:
    """Returns the peak and a margin that follows how much the use varies."""
    peak = max(amounts)
    variation = peak - statistics.fmean(amounts)
    least = FIRST_MARGIN if len(amounts) < STEADY_REPORTS else STEADY_MARGIN
    return max(0.01, peak + max(least * peak, variation))


def _approach(present: float, amounts: Sequence[float]) -> float:
    needed = _with_margin(amounts)
    if max(amounts) > present:
        return needed
    # Usage within the present size is no reason to enlarge it.
    floor = min(needed, present)
    if len(amounts) >= STEADY_REPORTS:
        return floor
    return present - (present - floor) * LOWERING_SHARE


def _change(present: float, corrected: float) -> float:
    return (corrected - present) / max(present, 0.01)


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


def first_size(
    job: jobs.Job, sizes_by_name: Mapping[str, quota.Size]
) -> tuple[quota.Size, bool]:
    """Returns the size with which a job starts.

    Args:
        job: The job.
        sizes_by_name: Largest measured size of each job's copies.

    Returns:
        The size and whether it is proven: the job's own if it was measured,
        else that of its copies, else the declared one.
    """
    own = quota.Size(job.cores, job.memory_gib, job.accelerators)
    if job.measured:
        return own, True
    of_copies = sizes_by_name.get(placement.name_of(job))
    if of_copies is None:
        return own, False
    return of_copies._replace(accelerators=job.accelerators), True


class HostHeadroom:
    """Share of each host that placement leaves free after an overload.

    The share doubles with each overload and halves with quiet time, so a
    host whose jobs use more than they were thought to isn't filled again at
    once.
    """

    FIRST_SHARE = 0.1
    LARGEST_SHARE = 0.4
    QUIET_SECONDS = 60.0

    def __init__(self) -> None:
        self._share_by_host: dict[str, tuple[float, float]] = {}

    def note_overload(self, host_id: str, now: float) -> None:
        """Doubles the share, at most once in ten seconds."""
        share, noted_at = self._share_by_host.get(host_id, (0.0, -1e9))
        if now - noted_at < CORRECTION_SECONDS:
            return
        share = self.share(host_id, now)
        doubled = min(max(2 * share, self.FIRST_SHARE), self.LARGEST_SHARE)
        self._share_by_host[host_id] = (doubled, now)

    def shares(
        self, pool_hosts: Iterable[hosts.Host], now: float
    ) -> dict[str, float]:
        """Returns the share of each host to leave free."""
        return {
            host.host_id: self.share(host.host_id, now) for host in pool_hosts
        }

    def share(self, host_id: str, now: float) -> float:
        """Returns the share of a host to leave free."""
        share, noted_at = self._share_by_host.get(host_id, (0.0, now))
        halvings = int((now - noted_at) / self.QUIET_SECONDS)
        left = share / 2**halvings
        return left if left >= self.FIRST_SHARE / 4 else 0.0
