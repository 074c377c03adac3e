"""Choice of the jobs that are preempted to free resources on a host."""

from __future__ import annotations

from collections.abc import Sequence

from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import quota
from wisteriasill.machines import host as hosts


def is_preemptible(item: placement.PlacedJob) -> bool:
    """Returns whether a job may be preempted."""
    return (
        item.job.can_checkpoint
        and not item.job.urgent
        and item.job.state is jobs.JobState.RUNNING
    )


def choose_by_preemption(
    capacity_of_pool: placement.PoolCapacity,
    policy: placement.PlacementPolicy,
    wanted: placement.PlacedJob,
) -> placement.Choice | None:
    """Chooses the host on which an urgent job preempts the fewest jobs.

    Only jobs that can checkpoint and aren't urgent are preempted.

    Args:
        capacity_of_pool: Free resources of the hosts that may run the job.
        policy: Ranks hosts with the same number of victims.
        wanted: The job and its size.

    Returns:
        The choice; None if preemption frees enough resources on no host.
    """
    choices = [
        (len(victims), policy.rank(capacity_of_pool, wanted, host_id), victims)
        for host_id in capacity_of_pool.hosts_by_id
        if (victims := _victims(capacity_of_pool, host_id, wanted.size))
        is not None
    ]
    if not choices:
        return None
    _, rank, victims = min(choices, key=lambda choice: choice[:2])
    return placement.Choice(rank.host_id, victims)


def _victim_order(item: placement.PlacedJob) -> tuple[bool, float, float]:
    """Sort key: measured sizes first, as declared ones may free less."""
    return (not item.proven, -item.size.cores, -item.size.memory_gib)


def _victims(
    capacity_of_pool: placement.PoolCapacity, host_id: str, size: quota.Size
) -> tuple[placement.PlacedJob, ...] | None:
    free = capacity_of_pool.free_by_host[host_id]
    victims: list[placement.PlacedJob] = []
    preemptible = sorted(
        filter(is_preemptible, capacity_of_pool.placed_by_host[host_id]),
        key=_victim_order,
    )
    sufficient_alone = [
        item for item in preemptible if size.within(free.plus(item.size))
    ]
    if sufficient_alone and not size.within(free):
        return (min(sufficient_alone, key=lambda item: item.size),)
    for item in preemptible:
        if size.within(free):
            break
        victims.append(item)
        free = free.plus(item.size)
    if not size.within(free):
        return None
    # A later, smaller victim can make an earlier one unnecessary.
    for item in tuple(victims):
        if size.within(free.minus(item.size)):
            victims.remove(item)
            free = free.minus(item.size)
    return tuple(victims)


def overloaded_victim(
    host: hosts.Host, placed: Sequence[placement.PlacedJob]
) -> placement.PlacedJob | None:
    """Chooses a job to evict from a host whose jobs exceed its capacity.

    Args:
        host: The host.
        placed: Jobs that hold resources on the host.

    Returns:
        The smallest preemptible job whose eviction suffices, else the largest
        preemptible one; None if there is none or the host isn't overloaded.
    """
    held = quota.total(item.size for item in placed)
    capacity = placement.capacity_of(host)
    if held.within(capacity):
        return None
    preemptible = sorted(
        filter(is_preemptible, placed), key=lambda item: item.size
    )
    sufficient = (
        item for item in preemptible if held.minus(item.size).within(capacity)
    )
    return next(sufficient, preemptible[-1] if preemptible else None)
