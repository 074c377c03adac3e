"""Choice of the jobs that are preempted to free resources on a host."""

from __future__ import annotations

from collections.abc import Sequence

from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import quota
from wisteriasill.machines import host as hosts


def is_preemptible(placed_job: placement.PlacedJob) -> bool:
    """Returns whether a job may be preempted."""
    return (
        placed_job.job.can_checkpoint
        and not placed_job.job.urgent
        and placed_job.job.state is jobs.JobState.RUNNING
    )


def choose_by_preemption(
    pool_capacity: placement.PoolCapacity,
    policy: placement.PlacementPolicy,
    wanted: placement.PlacedJob,
) -> placement.Choice | None:
    """Chooses the host on which an urgent job preempts the fewest jobs.

    Only jobs that can checkpoint and aren't urgent are preempted.

    Args:
        pool_capacity: Free resources of the hosts that may run the job.
        policy: Ranks hosts with the same number of victims.
        wanted: The job and its size.

    Returns:
        The choice; None if preemption frees enough resources on no host.
    """
    choices = [
        (len(victims), policy.rank(pool_capacity, wanted, host_id), victims)
        for host_id in pool_capacity.hosts_by_id
        if (victims := _victims(pool_capacity, host_id, wanted.size))
        is not None
    ]
    if not choices:
        return None
    _, rank, victims = min(choices, key=lambda choice: choice[:2])
    return placement.Choice(rank.host_id, victims)


def _victim_order(placed_job: placement.PlacedJob) -> tuple[bool, float, float]:
    """Sort key: measured sizes first, as declared ones may free less."""
    return (
        not placed_job.proven,
        -placed_job.size.cores,
        -placed_job.size.memory_gib,
    )


def _victims(
    pool_capacity: placement.PoolCapacity, host_id: str, size: quota.Size
) -> tuple[placement.PlacedJob, ...] | None:
    free = pool_capacity.free_by_host[host_id]
    victims: list[placement.PlacedJob] = []
    preemptible = sorted(
        filter(is_preemptible, pool_capacity.placed_by_host[host_id]),
        key=_victim_order,
    )
    sufficient_alone = [
        placed_job
        for placed_job in preemptible
        if size.within(free.plus(placed_job.size))
    ]
    if sufficient_alone and not size.within(free):
        return (min(sufficient_alone, key=lambda placed_job: placed_job.size),)
    for placed_job in preemptible:
        if size.within(free):
            break
        victims.append(placed_job)
        free = free.plus(placed_job.size)
    if not size.within(free):
        return None
    # A later, smaller victim can make an earlier one unnecessary.
    for placed_job in tuple(victims):
        if size.within(free.minus(placed_job.size)):
            victims.remove(placed_job)
            free = free.minus(placed_job.size)
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
    held = quota.total(placed_job.size for placed_job in placed)
    capacity = placement.capacity_of(host)
    if held.within(capacity):
        return None
    preemptible = sorted(
        filter(is_preemptible, placed), key=lambda placed_job: placed_job.size
    )
    sufficient = (
        placed_job
        for placed_job in preemptible
        if held.minus(placed_job.size).within(capacity)
    )
    return next(sufficient, preemptible[-1] if preemptible else None)
