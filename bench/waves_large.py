"""Experiment: four weeks of maintenance at the design size.

4,100 hosts in 20 pools and 9 zones, 41 single failures a day, a rack lost
each week and a zone lost once during the waves. Restarts of hosts, which only
change the boot count, are not simulated.
"""

from __future__ import annotations

import random
import statistics
import time
import tracemalloc
import types

from bench import fleet_platform
from bench import report
from bench import wave_runs
from bench import waves
from wisteriasill import events
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import service
from wisteriasill.contracts import wave_limits
from wisteriasill.contracts import wave_plan
from wisteriasill.links import platform

HOSTS = 4100
# The baseline planners take days of simulated waves, so all planners are
# compared at a quarter of the size; the one in use also runs at full size.
COMPARED_HOSTS = HOSTS // 4
POOLS = 20
ZONES = 9
REGIONS = 4
HOSTS_PER_RACK = 20
PREFERENCES = {
    "malabar": service.Preference.ROLL_OUT_TIME,
    "mandacaru": service.Preference.BUFFER_COST,
}
STEP_LENGTH = wave_runs.StepLength(idle_seconds=7200.0, active_seconds=205.0)
MAINTENANCE_SECONDS = 24 * 60.0
DAY = wave_limits.DAY_SECONDS
ROUNDS = 15
# 2.3% of a core at one round per second; a node holds one or two shards.
SHARD_ROUND_MS = 23.0
MEMORY_MIB = 64.0


def build_fleet(site: str, seed: int, hosts: int = HOSTS) -> wave_runs.Fleet:
    """Builds a fleet of a given size with faults at the design rate.

    Args:
        site: The site whose preference applies.
        seed: Seed of the faults.
        hosts: Number of hosts.

    Returns:
        The fleet; the last pool is the spare pool.
    """
    listed = tuple(_build_host(number, hosts) for number in range(hosts))
    pools = tuple(f"pool-{number:02}" for number in range(POOLS))
    size = hosts // POOLS
    return wave_runs.Fleet(
        listed,
        {
            host.host_id: pools[number % POOLS]
            for number, host in enumerate(listed)
        },
        configurations.Configuration(
            1,
            service.SiteContract(site, PREFERENCES[site]),
            types.MappingProxyType(
                {
                    name: _service(name, size, spare=name == pools[-1])
                    for name in pools
                }
            ),
            configurations.Manifest(1, {}),
        ),
        _build_fault_plan(listed, seed),
    )


def _build_host(number: int, hosts: int) -> platform.ListedHost:
    """Assigns hosts to zones and racks in order."""
    zone = number * ZONES // hosts
    rack = number // HOSTS_PER_RACK
    return platform.ListedHost(
        f"host-{number:04}",
        f"region-{zone % REGIONS}",
        f"zone-{zone}",
        f"zone-{zone}-rack-{rack:03}",
        str(number),
        64.0,
        256.0,
        2,
        8,
        64,
        platform.ListedState.LIVE,
    )


def _service(name: str, hosts: int, spare: bool) -> service.Service:
    usable = 0 if spare else hosts - hosts // 12
    contract = service.PoolContract(hosts, usable, 64.0, 256.0, 8, 64)
    return service.Service(name, "team", contract._replace(spare=spare))


def _build_fault_plan(
    listed: tuple[platform.ListedHost, ...], seed: int
) -> fleet_platform.FaultPlan:
    rng = random.Random(seed)
    host_outages = [
        fleet_platform.Outage(
            rng.uniform(0, 28 * DAY),
            (host.host_id,),
            rng.uniform(0.5, 8.0) * 3600,
        )
        for host in listed
        for _ in range(28)
        if rng.random() < waves.FAILURES_PER_HOST_DAY
    ]
    racks = sorted({host.rack for host in listed})
    rack_outages = [
        fleet_platform.Outage(
            (week + rng.random()) * 7 * DAY,
            tuple(host.host_id for host in listed if host.rack == rack),
            3 * 3600.0,
        )
        for week, rack in enumerate(rng.sample(racks, 4))
    ]
    zone = f"zone-{rng.randrange(ZONES)}"
    zone_outage = fleet_platform.Outage(
        21 * DAY + rng.uniform(0, 8 * 3600),
        tuple(
            host.host_id for host in listed if host.availability_zone == zone
        ),
        2 * 3600.0,
    )
    return fleet_platform.FaultPlan(
        seed,
        MAINTENANCE_SECONDS,
        outages=(*host_outages, *rack_outages, zone_outage),
    )


def measure_round(site: str, seed: int, hosts: int) -> tuple[float, float]:
    """Measures one planning round in the middle of the waves.

    Args:
        site: The site whose preference applies.
        seed: Seed of the faults.
        hosts: Number of hosts.

    Returns:
        Median milliseconds of a round of one shard, and MiB allocated by all
        shards together, without the platform stand-in.
    """
    fleet = build_fleet(site, seed, hosts)
    fleet = fleet._replace(fault_plan=fleet.fault_plan._replace(outages=()))
    tracemalloc.start()
    fleet_run = wave_runs.FleetRun(fleet, lambda _: wave_plan.plan, seed)
    start = 28 * DAY * (1 - wave_limits.LEAD_SHARE)
    fleet_run.run(
        start + 2 * 3600.0, wave_runs.StepLength(start - 1200.0, 60.0)
    )
    snapshot = tracemalloc.take_snapshot().filter_traces(
        [
            tracemalloc.Filter(False, pattern)
            for pattern in ("*/bench/*", "*/standins/*", "*/json/*")
        ]
    )
    allocated_mib = (
        sum(statistic.size for statistic in snapshot.statistics("filename"))
        / 2**20
    )
    tracemalloc.stop()
    times = []
    for _ in range(ROUNDS):
        fleet_run.clock.advance(1.0)
        started_at = time.perf_counter()
        fleet_run.member.step()
        times.append((time.perf_counter() - started_at) * 1000)
    shards = len(fleet_run.member.leases)
    return statistics.median(times) / shards, allocated_mib


def run(site: str, seed: int) -> report.BenchResult:
    """Runs the whole fleet, compares the planners and measures rounds."""
    events.configure("CRITICAL")
    rows: list[tuple[report.Figure, ...]] = []
    figures: dict[str, report.Figure] = {}
    for name, hosts in (
        ("chosen", HOSTS),
        *((name, COMPARED_HOSTS) for name in waves.PLANNERS),
    ):
        fleet_run = wave_runs.FleetRun(
            build_fleet(site, seed, hosts), waves.PLANNERS[name], seed
        )
        fleet_run.run(wave_runs.FOUR_WEEKS_SECONDS, STEP_LENGTH)
        measured = fleet_run.figures()
        rows.append((f"{name}, {hosts} hosts", *measured[:-1]))
        figures = figures or dict(measured._asdict())
    for divisor in (4, 2, 1):
        milliseconds, mebibytes = measure_round(site, seed, HOSTS // divisor)
        figures[f"shard_round_ms_at_{HOSTS // divisor}"] = milliseconds
        figures[f"memory_mib_at_{HOSTS // divisor}"] = mebibytes
    return report.BenchResult(
        "waves-large",
        site,
        seed,
        waves.COLUMNS,
        rows,
        figures,
        [
            report.Limit("violations", "==", 0),
            report.Limit("maintained_share", "==", 1),
            report.Limit(f"shard_round_ms_at_{HOSTS}", "<=", SHARD_ROUND_MS),
            report.Limit(f"memory_mib_at_{HOSTS}", "<=", MEMORY_MIB),
        ],
    )
