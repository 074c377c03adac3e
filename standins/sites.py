"""The hosts of the two sites."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wisteriasill.links import platform

POOLS = 5
HOSTS_PER_POOL = 6
HOSTS_PER_RACK = 4


class SiteSize(NamedTuple):
    """What the stand-in builds for a site.

    Attributes:
        region: Region of all its hosts.
        zones: Names of its availability zones.
        cores: Processors of each worker.
        memory_gib: Memory of each worker.
    """

    region: str
    zones: tuple[str, ...]
    cores: float
    memory_gib: float


SIZES_BY_SITE = {
    "malabar": SiteSize(
        "kochi", ("kochi-a", "kochi-b", "kochi-c"), 64.0, 256.0
    ),
    "mandacaru": SiteSize(
        "recife", ("recife-a", "recife-b", "olinda-a"), 16.0, 64.0
    ),
}


def address_from(base_port: int) -> Callable[[int], str]:
    """Returns a function that numbers ports on the loopback address."""
    return lambda index: f"127.0.0.1:{base_port + index}"


def build_hosts(
    site: str, address_of: Callable[[int], str]
) -> tuple[platform.ListedHost, ...]:
    """Builds the hosts of a site: five pools of six, four to a rack.

    Args:
        site: `malabar` or `mandacaru`.
        address_of: Address of the worker with an index from 0.

    Returns:
        The hosts, dealt to the zones in turn; racks lie within zones.
    """
    size = SIZES_BY_SITE[site]
    zones = len(size.zones)
    return tuple(
        platform.ListedHost(
            host_id=f"{size.region}-{index + 1:02}",
            region=size.region,
            availability_zone=size.zones[index % zones],
            rack=(
                f"{size.zones[index % zones]}-rack-"
                f"{index // zones // HOSTS_PER_RACK + 1}"
            ),
            address=address_of(index),
            cores=size.cores,
            memory_gib=size.memory_gib,
            accelerators=0,
            slots=8,
            connections=64,
            state=platform.ListedState.LIVE,
        )
        for index in range(POOLS * HOSTS_PER_POOL)
    )


def deal_to_pools(
    hosts: tuple[platform.ListedHost, ...], pools: tuple[str, ...]
) -> dict[str, str]:
    """Returns a pool for each host id.

    Hosts are dealt in turn, which puts each pool's hosts in all zones and
    in different racks.
    """
    return {
        host.host_id: pools[index % len(pools)]
        for index, host in enumerate(hosts)
    }
