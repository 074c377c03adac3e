"""Choice of a host for a job, and of the jobs that make room for it."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from wisteriasill.contracts import jobs
from wisteriasill.contracts import quota
from wisteriasill.machines import host as hosts


class PlacedJob(NamedTuple):
    """A job that holds room on a host.

    Attributes:
        job: The job.
        size: What it holds.
        proven: Whether usage reports have confirmed the size.
    """

    job: jobs.Job
    size: quota.Size
    proven: bool


class Rank(NamedTuple):
    """How good a host is for a job; the lowest is chosen.

    Attributes:
        failed_before: Whether the job failed there.
        copies_in_zone: Copies of the job in the host's zone.
        copies_in_rack: Copies of the job in the host's rack.
        copies_on_host: Copies of the job on the host.
        leftover: Larger share of cores or memory that is free, negative
            where the emptiest host is best.
        host_id: Makes the choice definite.
    """

    failed_before: bool
    copies_in_zone: int
    copies_in_rack: int
    copies_on_host: int
    leftover: float
    host_id: str


class PlacementPolicy(Protocol):
    """Rules that differ between kinds of placement."""

    @property
    def preempts(self) -> bool:
        """Whether urgent jobs take the room of others."""

    @property
    def corrects_sizes(self) -> bool:
        """Whether usage reports replace declared sizes."""

    @property
    def blames(self) -> bool:
        """Whether failing hosts and failing jobs are set aside."""

    def rank(self, rooms: Rooms, wanted: PlacedJob, host_id: str) -> Rank:
        """Returns how good a host with enough room is."""


class SpreadPlacement:
    """Spreads copies over zones and racks, then fills the fullest host.

    A job of unproven size goes to the emptiest host instead, where it may
    use more than it declared.
    """

    preempts = True
    corrects_sizes = True
    blames = True

    def rank(self, rooms: Rooms, wanted: PlacedJob, host_id: str) -> Rank:
        """Returns how good a host with enough room is."""
        host = rooms.hosts_by_id[host_id]
        name = name_of(wanted.job)
        leftover = rooms.leftover(host_id)
        return Rank(
            host_id in wanted.job.failed_hosts,
            rooms.copies_by_place[name, host.availability_zone],
            rooms.copies_by_place[name, host.rack],
            rooms.copies_by_place[name, host_id],
            leftover if wanted.proven else -leftover,
            host_id,
        )


class FirstFitPlacement:
    """Takes the first host with room for the declared size: the baseline."""

    preempts = False
    corrects_sizes = False
    blames = False

    def rank(self, rooms: Rooms, wanted: PlacedJob, host_id: str) -> Rank:
        """Returns how good a host with enough room is."""
        return Rank(False, 0, 0, 0, 0.0, host_id)


def name_of(job: jobs.Job) -> str:
    """Returns the name that all copies of a job share."""
    return job.job_id.rpartition(".")[0]


def capacity_of(host: hosts.Host) -> quota.Size:
    """Returns what a host's worker offers."""
    return quota.Size(host.cores, host.memory_gib, host.accelerators)


class Rooms:
    """Room on the hosts of one pool during one round of placement.

    Attributes:
        hosts_by_id: Hosts that take tasks.
        free_by_host: What each of them has free.
        placed_by_host: Jobs that hold room on each of them.
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
        for item in placed:
            self.add(item)

    def add(self, placed: PlacedJob) -> None:
        """Takes room on the job's host, if the host takes tasks."""
        self._change(placed, 1)

    def remove(self, placed: PlacedJob) -> None:
        """Gives room back."""
        self._change(placed, -1)

    def close(self, host_id: str) -> None:
        """Takes a host out of this round."""
        del self.hosts_by_id[host_id]

    def leftover(self, host_id: str) -> float:
        """Returns the larger free share of cores or memory."""
        host = self.hosts_by_id[host_id]
        free = self.free_by_host[host_id]
        return max(free.cores / host.cores, free.memory_gib / host.memory_gib)

    def admits(self, host_id: str, placed: PlacedJob) -> bool:
        """Returns whether a host has room for one more job.

        A host runs few jobs of unproven size at a time: with sizes that are
        wrong by a factor of ten, a burst of starts would exceed its memory
        before the first report arrives. Urgent jobs are exempt.
        """
        if not placed.size.within(self.free_by_host[host_id]):
            return False
        if placed.proven or placed.job.urgent or self._unproven_limit is None:
            return True
        unproven = sum(not item.proven for item in self.placed_by_host[host_id])
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
    """A host for a job and the jobs that leave it first."""

    host_id: str
    victims: tuple[PlacedJob, ...] = ()


def choose(
    rooms: Rooms, policy: PlacementPolicy, wanted: PlacedJob
) -> Choice | None:
    """Chooses a host with room for a job.

    Args:
        rooms: Room on the hosts that may take the job.
        policy: How hosts are ranked.
        wanted: The job and its size.

    Returns:
        The choice; None if no host has room.
    """
    ranks = [
        policy.rank(rooms, wanted, host_id)
        for host_id in rooms.hosts_by_id
        if rooms.admits(host_id, wanted)
    ]
    return Choice(min(ranks).host_id) if ranks else None


def impossible(
    pool_hosts: Sequence[hosts.Host], size: quota.Size
) -> str | None:
    """Says why a job fits on no host of a pool even when it is empty.

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
