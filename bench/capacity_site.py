"""Site of any size for capacity measurements: rows without back ends."""

from __future__ import annotations

import time
from typing import NamedTuple

from standins import local_platform
from standins import platform as platform_server
from standins import platform_state
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill.contracts import configuration_store
from wisteriasill.contracts import pool_revision
from wisteriasill.contracts import publication
from wisteriasill.contracts import service
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

HOSTS_PER_RACK = 16
ROWS_PER_TRANSACTION = 100


class Size(NamedTuple):
    """Size of a site.

    Attributes:
        hosts: Number of workers.
        pools: Pools, one service each; one more is spare.
        zones: Availability zones.
        regions: Regions.
        jobs: Jobs, assigned to the pools round-robin.
    """

    hosts: int
    pools: int = 5
    zones: int = 3
    regions: int = 1
    jobs: int = 0


def listed_hosts(size: Size) -> tuple[platform.ListedHost, ...]:
    """Builds the hosts, assigned to the zones round-robin."""
    return tuple(
        platform.ListedHost(
            host_id=f"host-{index:04}",
            region=f"region-{index % size.zones % size.regions}",
            availability_zone=f"zone-{index % size.zones}",
            rack=f"rack-{index % size.zones}-"
            f"{index // size.zones // HOSTS_PER_RACK}",
            address=f"127.0.0.1:{1 + index % 1000}",
            cores=64.0,
            memory_gib=256.0,
            accelerators=2,
            slots=8,
            connections=64,
            state=platform.ListedState.LIVE,
        )
        for index in range(size.hosts)
    )


def pool_name(size: Size, index: int) -> str:
    """Returns the pool of the host with an index."""
    return f"pool-{index % size.pools:02}"


def services(size: Size) -> list[service.Service]:
    """Builds one service per pool, with its share of the jobs."""
    counts = [
        len(range(index, size.hosts, size.pools)) for index in range(size.pools)
    ]
    return [
        service.Service(
            name=f"pool-{index:02}",
            team=f"team-{index:02}",
            pool=service.PoolContract(
                hosts=count,
                hosts_always_usable=count * 9 // 10,
                cores_per_host=64,
                memory_gib_per_host=256,
                slots_per_host=8,
                connections_per_host=64,
                accelerators_per_host=2,
            ),
            path_prefix=f"/pool-{index:02}",
            requests=(service.RequestClass("read"),),
            jobs=tuple(
                service.JobContract(f"job-{number}", 8, 32, 24)
                for number in range(index, size.jobs, size.pools)
            ),
        )
        for index, count in enumerate(counts)
    ]


def publish(state: platform_state.PlatformState, size: Size) -> None:
    """Puts the configuration of a site in force."""
    site = service.SiteContract("capacity", service.Preference.ROLL_OUT_TIME)
    contracts = {
        "site": site,
        **{contract.name: contract for contract in services(size)},
    }
    configuration_store.publish(
        local_platform.LocalPlatform(state),
        publication.Change(
            {
                name: documents.encode(contract)
                for name, contract in contracts.items()
            },
            "bench",
            0,
        ),
    ).unwrap()


def write_hosts(state: platform_state.PlatformState, size: Size) -> None:
    """Writes the host rows of a running site."""
    rows = [
        platform.Write(
            hosts.TABLE,
            listed.host_id,
            documents.encode(
                hosts.from_listed(
                    listed, pool_name(size, index), hosts.HostState.SERVING
                )._replace(maintained_at=time.time())
            ),
        )
        for index, listed in enumerate(listed_hosts(size))
    ]
    for start in range(0, len(rows), ROWS_PER_TRANSACTION):
        state.transact([], rows[start : start + ROWS_PER_TRANSACTION]).unwrap()
    for index in range(size.pools):
        name = f"pool-{index:02}"
        revision = pool_revision.PoolRevision(name, 1)
        state.transact(
            [],
            [
                platform.Write(
                    pool_revision.TABLE, name, documents.encode(revision)
                )
            ],
        ).unwrap()


def start_platform(size: Size) -> platform_server.PlatformServer:
    """Starts a platform that stores a running site of a given size."""
    state = platform_state.PlatformState(
        clocks.SystemClock(), listed_hosts(size)
    )
    publish(state, size)
    write_hosts(state, size)
    server = platform_server.PlatformServer(state)
    server.start()
    return server
