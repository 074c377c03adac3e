"""Distinguishes hosts that fail all tasks from jobs that fail on all hosts.

The input is which job failed on which host, and which hosts have run a task
successfully since. A host is ejected when several jobs that aren't known to be
broken failed on it and none succeeded. A job is quarantined when it failed on
hosts that ran other jobs successfully afterwards, or on many hosts.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
import math
from typing import NamedTuple

HEALTHY_RUN_SECONDS = 20.0  # A task that ran this long shows a healthy host.
JOBS_TO_EJECT = 3
HEALTHY_HOSTS_TO_QUARANTINE = 2
HOSTS_TO_QUARANTINE = 4  # If it isn't known which of them are healthy.
EJECTION_SECONDS = 60.0
MAX_EJECTION_SECONDS = 960.0
MAX_EJECTED_SHARE = 1 / 3  # More at once suggest a common cause.


class HostHealth(NamedTuple):
    """Failures and successes of a host.

    Attributes:
        failed_jobs: Jobs that failed there since the last success.
        proven_at: Monotonic time of the last success.
        ejected_until: Monotonic time when the ejection ends; a trial with
            single tasks follows.
        ejections: Ejections since the last success.
    """

    failed_jobs: frozenset[str] = frozenset()
    proven_at: float = -math.inf
    ejected_until: float = -math.inf
    ejections: int = 0


NO_EVIDENCE = HostHealth()


def is_broken(
    job_id: str,
    failed_hosts: Collection[str],
    records_by_host: Mapping[str, HostHealth],
    hosts_total: int,
) -> bool:
    """Returns whether a job, not its hosts, causes its failures.

    Args:
        job_id: The job.
        failed_hosts: Hosts on which it failed since its last success; the
            records include all of these failures.
        records_by_host: Failures and successes of the hosts.
        hosts_total: Hosts of the pool.

    Returns:
        Whether the job is to be quarantined.
    """
    records = (
        records_by_host.get(host_id, NO_EVIDENCE) for host_id in failed_hosts
    )
    # A success clears the failures before it. Successes before the job's
    # failure don't count, because the hosts may have broken since, one after
    # the other.
    healthy = sum(
        record.proven_at > -math.inf and job_id not in record.failed_jobs
        for record in records
    )
    if healthy >= HEALTHY_HOSTS_TO_QUARANTINE:
        return True
    return len(failed_hosts) >= max(2, min(HOSTS_TO_QUARANTINE, hosts_total))


class FailureHistory:
    """Failures and successes of one pool's hosts, in memory.

    A new holder of the shard starts with the failed hosts that the job rows
    list.
    """

    def __init__(self) -> None:
        self._records_by_host: dict[str, HostHealth] = {}

    @property
    def records_by_host(self) -> Mapping[str, HostHealth]:
        """Failures and successes of each host."""
        return self._records_by_host

    def record_failure(
        self,
        job_id: str,
        host_id: str,
        broken_jobs: Iterable[str],
        hosts_total: int,
        now: float,
    ) -> bool:
        """Records a failed task.

        Args:
            job_id: The job.
            host_id: The host.
            broken_jobs: Quarantined jobs, whose failures say nothing about
                hosts.
            hosts_total: Hosts of the pool.
            now: Monotonic time.

        Returns:
            Whether this failure ejects the host.
        """
        record = self._records_by_host.get(host_id, NO_EVIDENCE)
        record = record._replace(failed_jobs=record.failed_jobs | {job_id})
        self._records_by_host[host_id] = record
        if record.ejected_until > now:
            return False
        relevant_jobs = record.failed_jobs - set(broken_jobs)
        # A host on trial is ejected again after a single failure.
        jobs_needed = 1 if record.ejections else JOBS_TO_EJECT
        if len(relevant_jobs) < jobs_needed or not self._may_eject(
            hosts_total, now
        ):
            return False
        seconds = min(
            EJECTION_SECONDS * 2**record.ejections, MAX_EJECTION_SECONDS
        )
        self._records_by_host[host_id] = record._replace(
            ejected_until=now + seconds, ejections=record.ejections + 1
        )
        return True

    def discard_job_failures(self, job_id: str) -> None:
        """Withdraws a quarantined job's failures from the hosts' records."""
        for host_id, record in self._records_by_host.items():
            if job_id not in record.failed_jobs:
                continue
            remaining_jobs = record.failed_jobs - {job_id}
            cleared = record._replace(failed_jobs=remaining_jobs)
            if len(remaining_jobs) < JOBS_TO_EJECT:
                cleared = cleared._replace(ejected_until=-math.inf, ejections=0)
            self._records_by_host[host_id] = cleared

    def record_success(self, host_id: str, now: float) -> None:
        """Records that a task succeeded on a host."""
        self._records_by_host[host_id] = HostHealth(proven_at=now)

    def is_ejected(self, host_id: str, now: float) -> bool:
        """Returns whether a host accepts no tasks."""
        record = self._records_by_host.get(host_id, NO_EVIDENCE)
        return record.ejected_until > now

    def is_on_trial(self, host_id: str, now: float) -> bool:
        """Returns whether a host accepts only a single task at a time."""
        record = self._records_by_host.get(host_id, NO_EVIDENCE)
        return record.ejections > 0 and record.ejected_until <= now

    def _may_eject(self, hosts_total: int, now: float) -> bool:
        ejected = sum(
            record.ejected_until > now
            for record in self._records_by_host.values()
        )
        return ejected + 1 <= max(1, int(hosts_total * MAX_EJECTED_SHARE))
