"""Hosts of the two example sites."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wisteriasill.links import platform

POOLS = 5
HOSTS_PER_POOL = 6
HOSTS_PER_RACK = 4


class SiteSize(NamedTuple):
    """Size and zones of a site.

    Attributes:
        region: Region of all hosts.
        zones: Names of the availability zones.
        cores: Cores of each worker.
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
    """Returns a function that maps an index to a loopback address."""
    return lambda index: f"127.0.0.1:{base_port + index}"


def build_hosts(
    site: str, address_of: Callable[[int], str]
) -> tuple[platform.ListedHost, ...]:
    """Builds the hosts of a site: five pools of six, four to a rack.

    Args:
        site: `malabar` or `mandacaru`.
        address_of: Returns the address of the worker with an index from 0.

    Returns:
        The hosts, assigned to zones round-robin; each rack is in one zone.
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


def assign_to_pools(
    hosts: tuple[platform.ListedHost, ...], pools: tuple[str, ...]
) -> dict[str, str]:
    """Assigns hosts to pools round-robin; returns the pool by host id.

    This spreads the hosts of each pool over all zones and different racks.
    """
    return {
        host.host_id: pools[index % len(pools)]
        for index, host in enumerate(hosts)
    }
