"""Placement: chooses the host on which a job starts.

Used by entry hosts; nodes use `worker_choice` instead.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from wisteriasill.contracts import jobs
from wisteriasill.contracts import quota
from wisteriasill.machines import host as hosts


class PlacedJob(NamedTuple):
    """A job and the resources that it reserves on a host.

    Attributes:
        job: The job.
        size: Resources that it reserves.
        proven: Whether usage reports have confirmed the size.
    """

    job: jobs.Job
    size: quota.Size
    proven: bool


class Rank(NamedTuple):
    """Sort key of a host for a job; the host with the lowest key is chosen.

    Attributes:
        failed_before: Whether the job failed there.
        copies_in_zone: Copies of the job in the host's zone.
        copies_in_rack: Copies of the job in the host's rack.
        copies_on_host: Copies of the job on the host.
        free_share: Larger of the free shares of cores and memory, negated
            where the emptiest host is preferred.
        host_id: Breaks ties.
    """

    failed_before: bool
    copies_in_zone: int
    copies_in_rack: int
    copies_on_host: int
    free_share: float
    host_id: str


class PlacementPolicy(Protocol):
    """The rules by which jobs are placed on hosts."""

    @property
    def preempts(self) -> bool:
        """Whether urgent jobs preempt others."""

    @property
    def corrects_sizes(self) -> bool:
        """Whether usage reports replace declared sizes."""

    @property
    def isolates_failures(self) -> bool:
        """Whether failing hosts are ejected and failing jobs quarantined."""

    def rank(
        self, capacity: PoolCapacity, wanted: PlacedJob, host_id: str
    ) -> Rank:
        """Returns the sort key of a host on which the job fits."""


class SpreadPlacement:
    """Spreads copies over zones and racks, then prefers the fullest host.

    A job of unproven size goes to the emptiest host instead, because it may
    use more than it declared.
    """

    preempts = True
    corrects_sizes = True
    isolates_failures = True

    def rank(
        self, capacity: PoolCapacity, wanted: PlacedJob, host_id: str
    ) -> Rank:
        """Returns the sort key of a host on which the job fits."""
        host = capacity.hosts_by_id[host_id]
        name = name_of(wanted.job)
        free_share = capacity.free_share(host_id)
        return Rank(
            host_id in wanted.job.failed_hosts,
            capacity.copies_by_place[name, host.availability_zone],
            capacity.copies_by_place[name, host.rack],
            capacity.copies_by_place[name, host_id],
            free_share if wanted.proven else -free_share,
            host_id,
        )


class FirstFitPlacement:
    """First fit by declared size; the baseline of the benchmarks."""

    preempts = False
    corrects_sizes = False
    isolates_failures = False

    def rank(
        self, capacity: PoolCapacity, wanted: PlacedJob, host_id: str
    ) -> Rank:
        """Returns the sort key of a host on which the job fits."""
        return Rank(False, 0, 0, 0, 0.0, host_id)


def name_of(job: jobs.Job) -> str:
    """Returns the name that all copies of a job share."""
    return job.job_id.rpartition(".")[0]


def capacity_of(host: hosts.Host) -> quota.Size:
    """Returns the resources that a host's worker offers."""
    return quota.Size(host.cores, host.memory_gib, host.accelerators)


class PoolCapacity:
    """Free resources of one pool's hosts during one scheduling round.

    Attributes:
        hosts_by_id: Hosts that accept tasks.
        free_by_host: Free resources of each of them.
        placed_by_host: Jobs that reserve resources on each of them.
        copies_by_place: Copies by job name and zone, rack or host id.
    """

    def __init__(
        self,
        pool_hosts: Iterable[hosts.Host],
        placed: Iterable[PlacedJob],
        headroom_by_host: Mapping[str, float],
        unproven_limit: int | None,
    ) -> None:
        self.hosts_by_id = {host.host_id: host for host in pool_hosts}
        self.free_by_host = {
            host_id: quota.Size(
                host.cores * (1 - headroom_by_host.get(host_id, 0.0)),
                host.memory_gib * (1 - headroom_by_host.get(host_id, 0.0)),
                host.accelerators,
            )
            for host_id, host in self.hosts_by_id.items()
        }
        self.placed_by_host: dict[str, list[PlacedJob]] = {
            host_id: [] for host_id in self.hosts_by_id
        }
        self.copies_by_place: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._unproven_limit = unproven_limit
        for placed_job in placed:
            self.add(placed_job)

    def add(self, placed: PlacedJob) -> None:
        """Reserves resources on the job's host if it accepts tasks."""
        self._change(placed, 1)

    def remove(self, placed: PlacedJob) -> None:
        """Releases the resources of a job."""
        self._change(placed, -1)

    def exclude(self, host_id: str) -> None:
        """Excludes a host from the rest of this round."""
        del self.hosts_by_id[host_id]

    def free_share(self, host_id: str) -> float:
        """Returns the larger of the free shares of cores and memory."""
        host = self.hosts_by_id[host_id]
        free = self.free_by_host[host_id]
        return max(free.cores / host.cores, free.memory_gib / host.memory_gib)

    def admits(self, host_id: str, placed: PlacedJob) -> bool:
        """Returns whether a job fits on a host.

        A host runs only a few jobs of unproven size at a time. Declared
        sizes may be wrong by a factor of ten, so a burst of starts would
        exceed its memory before the first usage report arrives. Urgent jobs
        are exempt.
        """
        if not placed.size.within(self.free_by_host[host_id]):
            return False
        if placed.proven or placed.job.urgent or self._unproven_limit is None:
            return True
        unproven = sum(
            not other.proven for other in self.placed_by_host[host_id]
        )
        return unproven < self._unproven_limit

    def _change(self, placed: PlacedJob, sign: int) -> None:
        host_id = placed.job.host_id
        host = self.hosts_by_id.get(host_id)
        if host is None:
            return
        free = self.free_by_host[host_id]
        if sign > 0:
            self.placed_by_host[host_id].append(placed)
            self.free_by_host[host_id] = free.minus(placed.size)
        else:
            self.placed_by_host[host_id].remove(placed)
            self.free_by_host[host_id] = free.plus(placed.size)
        for place in (host.availability_zone, host.rack, host_id):
            self.copies_by_place[name_of(placed.job), place] += sign


class Choice(NamedTuple):
    """A host for a job and the jobs to preempt there first."""

    host_id: str
    victims: tuple[PlacedJob, ...] = ()


def choose(
    capacity: PoolCapacity, policy: PlacementPolicy, wanted: PlacedJob
) -> Choice | None:
    """Chooses the host for a job.

    Args:
        capacity: Free resources of the hosts that may run the job.
        policy: How hosts are ranked.
        wanted: The job and its size.

    Returns:
        The choice; None if the job fits on no host now.
    """
    ranks = [
        policy.rank(capacity, wanted, host_id)
        for host_id in capacity.hosts_by_id
        if capacity.admits(host_id, wanted)
    ]
    return Choice(min(ranks).host_id) if ranks else None


def infeasible_reason(
    pool_hosts: Sequence[hosts.Host], size: quota.Size
) -> str | None:
    """Explains why a job fits on no host of a pool, not even an empty one.

    Args:
        pool_hosts: All hosts of the pool, whatever their state.
        size: Size of the job.

    Returns:
        One sentence; None if the job fits on some host.
    """
    if any(size.within(capacity_of(host)) for host in pool_hosts):
        return None
    if not pool_hosts:
        return "the pool has no hosts"
    largest = max(pool_hosts, key=capacity_of)
    return (
        f"needs {describe(size)}, but the largest host has"
        f" {describe(capacity_of(largest))}"
    )


def describe(size: quota.Size) -> str:
    """Returns a size as text."""
    text = f"{size.cores:.3g} cores and {size.memory_gib:.3g} GiB"
    if size.accelerators:
        text += f" and {size.accelerators} accelerators"
    return text
