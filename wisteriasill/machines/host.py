"""Hosts of pools, as the table's rows describe them."""

from __future__ import annotations

import enum
from typing import NamedTuple

from wisteriasill.links import platform

TABLE = "hosts"


class HostState(enum.StrEnum):
    """Where a host stands; only SERVING hosts take new work."""

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    DOWN = "down"


class Host(NamedTuple):
    """A host's row: exactly one pool, one state.

    Attributes:
        host_id: Name of the host, key of the row.
        pool: The one pool that the host belongs to.
        state: Where the host stands.
        region: Region of the host.
        availability_zone: Availability zone of the host.
        rack: Rack of the host.
        address: `IP:port` of its worker's request interface.
        cores: Processors of its worker.
        memory_gib: Memory of its worker.
        accelerators: Accelerators of its worker.
        slots: Requests that its worker runs at once.
        connections: Connections that its worker accepts.
        reason: Why the host is not serving; empty while it is.
        next_pool: Pool that the host moves to after its reboot; empty when
            it stays.
        boot_count: Boots seen when the host was last asked to reboot, so
            that a successor can tell whether the reboot has happened.
        maintained_at: Seconds since the epoch of its last maintenance.
        wave: Maintenance wave that took the host away; empty for none.
        held: Whether a drained host waits for an operator's RETURN before it
            reboots.
        token: Random value of the last writer.
    """

    host_id: str
    pool: str
    state: HostState
    region: str
    availability_zone: str
    rack: str
    address: str
    cores: float
    memory_gib: float
    accelerators: int
    slots: int
    connections: int
    reason: str = ""
    next_pool: str = ""
    boot_count: int = 0
    maintained_at: float = 0.0
    wave: str = ""
    held: bool = False
    token: str = ""


def from_listed(
    listed: platform.ListedHost, pool: str, state: HostState
) -> Host:
    """Builds the first row of a host that the platform lists.

    Args:
        listed: The host as listed.
        pool: Pool that it joins.
        state: Its first state.

    Returns:
        The row.
    """
    return Host(
        host_id=listed.host_id,
        pool=pool,
        state=state,
        region=listed.region,
        availability_zone=listed.availability_zone,
        rack=listed.rack,
        address=listed.address,
        cores=listed.cores,
        memory_gib=listed.memory_gib,
        accelerators=listed.accelerators,
        slots=listed.slots,
        connections=listed.connections,
        boot_count=listed.boot_count,
    )
