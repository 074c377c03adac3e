"""Choice of the jobs that leave a host to make room."""

from __future__ import annotations

from collections.abc import Sequence

from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import quota
from wisteriasill.machines import host as hosts


def can_leave(item: placement.PlacedJob) -> bool:
    """Returns whether a running job may be stopped to make room."""
    return (
        item.job.can_checkpoint
        and not item.job.urgent
        and item.job.state is jobs.JobState.RUNNING
    )


def choose_by_preemption(
    rooms: placement.Rooms,
    policy: placement.PlacementPolicy,
    wanted: placement.PlacedJob,
) -> placement.Choice | None:
    """Chooses the host on which the fewest jobs must leave for an urgent one.

    Only jobs that can checkpoint and aren't urgent leave.

    Args:
        rooms: Room on the hosts that may take the job.
        policy: How hosts are ranked when as many jobs must leave.
        wanted: The job and its size.

    Returns:
        The choice; None if no host gets enough room.
    """
    choices = [
        (len(victims), policy.rank(rooms, wanted, host_id), victims)
        for host_id in rooms.hosts_by_id
        if (victims := _victims(rooms, host_id, wanted.size)) is not None
    ]
    if not choices:
        return None
    _, rank, victims = min(choices, key=lambda choice: choice[:2])
    return placement.Choice(rank.host_id, victims)


def _leaving_order(item: placement.PlacedJob) -> tuple[bool, float, float]:
    """Orders victims: known sizes first, as declared ones may free less."""
    return (not item.proven, -item.size.cores, -item.size.memory_gib)


def _victims(
    rooms: placement.Rooms, host_id: str, size: quota.Size
) -> tuple[placement.PlacedJob, ...] | None:
    free = rooms.free_by_host[host_id]
    victims: list[placement.PlacedJob] = []
    movable = sorted(
        filter(can_leave, rooms.placed_by_host[host_id]), key=_leaving_order
    )
    alone = [item for item in movable if size.within(free.plus(item.size))]
    if alone and not size.within(free):
        return (min(alone, key=lambda item: item.size),)
    for item in movable:
        if size.within(free):
            break
        victims.append(item)
        free = free.plus(item.size)
    if not size.within(free):
        return None
    # A later, smaller victim may have made an earlier one unnecessary.
    for item in tuple(victims):
        if size.within(free.minus(item.size)):
            victims.remove(item)
            free = free.minus(item.size)
    return tuple(victims)


def overloaded_victim(
    host: hosts.Host, here: Sequence[placement.PlacedJob]
) -> placement.PlacedJob | None:
    """Chooses a job to move off a host whose jobs exceed its capacity.

    Args:
        host: The host.
        here: Jobs that hold room there.

    Returns:
        The smallest job that can leave and whose going suffices, else the
        largest that can leave; None if there is none or no need.
    """
    held = quota.total(item.size for item in here)
    capacity = placement.capacity_of(host)
    if held.within(capacity):
        return None
    movable = sorted(filter(can_leave, here), key=lambda item: item.size)
    sufficient = (
        item for item in movable if held.minus(item.size).within(capacity)
    )
    return next(sufficient, movable[-1] if movable else None)
