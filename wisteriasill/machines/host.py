"""Host rows of the hosts table."""

from __future__ import annotations

import enum
from typing import NamedTuple

from wisteriasill.links import platform

TABLE = "hosts"


class HostState(enum.StrEnum):
    """Lifecycle state of a host; only SERVING hosts accept new work."""

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    DOWN = "down"


class Host(NamedTuple):
    """A host row: each host is in exactly one pool and one state.

    Attributes:
        host_id: Name of the host; the key of the row.
        pool: Pool that the host belongs to.
        state: Lifecycle state.
        region: Region of the host.
        availability_zone: Availability zone of the host.
        rack: Rack of the host.
        address: `IP:port` of its worker's request interface.
        cores: Processors of its worker.
        memory_gib: Memory of its worker.
        accelerators: Accelerators of its worker.
        slots: Most requests that its worker runs concurrently.
        connections: Most connections that its worker accepts.
        reason: Why the host isn't serving; empty while it is.
        next_pool: Pool that the host moves to after its reboot; empty when
            it stays.
        boot_count: Boot count when the last reboot was ordered. The next
            holder of the shard compares it to detect that the host has
            rebooted.
        maintained_at: Unix time in seconds of its last maintenance.
        wave: Maintenance wave that drained the host; empty for none.
        held: Whether the drained host waits for an operator's RETURN order
            before it reboots.
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
    """Builds the initial row of a host that the platform lists.

    Args:
        listed: The host as listed.
        pool: Pool that the host joins.
        state: Initial state.

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
