"""Experiment: four weeks of maintenance on one of the two sites.

After three weeks, when the waves begin, all reboots for maintenance fail
during six hours. A rack is lost during the waves, and single hosts fail at the
design rate.
"""

from __future__ import annotations

from collections.abc import Callable
import pathlib
import random
import types

from bench import fleet_platform
from bench import report
from bench import wave_baselines
from bench import wave_runs
from standins import sites as standin_sites
from wisteriasill import events
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import service_file
from wisteriasill.contracts import wave_limits
from wisteriasill.contracts import wave_plan
from wisteriasill.links import platform
from wisteriasill.zones import site as sites

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
STEP_LENGTH = wave_runs.StepLength(idle_seconds=1200.0, active_seconds=15.0)
# Design rate: 41 of 4,100 hosts fail per day.
FAILURES_PER_HOST_DAY = 41 / 4100
PLANNERS: dict[str, Callable[[sites.Site], wave_plan.Planner]] = {
    "chosen": lambda _: wave_plan.plan,
    "one host at a time": lambda _: wave_baselines.one_at_a_time,
    "fixed racks": wave_baselines.FixedRacks,
}
COLUMNS = (
    "plan",
    "violations",
    "maintained",
    "roll-out h mean",
    "roll-out h max",
    "site roll-out h",
    "buffer hosts",
    "buffer host-h",
    "away host-h",
    "lost",
    "moves",
)


def build_fleet(site: str, seed: int, faulty: bool) -> wave_runs.Fleet:
    """Builds a site's hosts, its example configuration and its faults.

    Args:
        site: The site.
        seed: Seed of the faults.
        faulty: Whether maintenance breaks hosts, and racks and hosts fail.

    Returns:
        The fleet.
    """
    directory = service_file.read_directory(EXAMPLES / site)
    assert directory.site is not None
    services = directory.services_by_name
    listed = standin_sites.build_hosts(site, str)
    minutes = max(
        service.pool.maintenance_minutes for service in services.values()
    )
    return wave_runs.Fleet(
        listed,
        standin_sites.assign_to_pools(listed, tuple(services)),
        configurations.Configuration(
            1,
            directory.site,
            types.MappingProxyType(dict(services)),
            configurations.Manifest(1, {}),
        ),
        _build_fault_plan(listed, seed, minutes * 60 * 0.8)
        if faulty
        else fleet_platform.FaultPlan(seed, minutes * 60 * 0.8, 0.0),
    )


def _build_fault_plan(
    listed: tuple[platform.ListedHost, ...],
    seed: int,
    maintenance_seconds: float,
) -> fleet_platform.FaultPlan:
    rng = random.Random(seed)
    day_seconds = 86_400.0
    host_outages = tuple(
        fleet_platform.Outage(
            rng.uniform(number * day_seconds, (number + 1) * day_seconds),
            (host.host_id,),
            rng.uniform(0.5, 8.0) * 3600,
        )
        for number in range(28)
        for host in listed
        if rng.random() < FAILURES_PER_HOST_DAY
    )
    racks = sorted({host.rack for host in listed})
    rack_outages = tuple(
        fleet_platform.Outage(
            21 * day_seconds * week / 3 + rng.uniform(600, 7200),
            tuple(host.host_id for host in listed if host.rack == rack),
            3 * 3600.0,
        )
        for week, rack in enumerate(rng.sample(racks, 4))
    )
    waves_start = wave_limits.DAY_SECONDS * 28 * (1 - wave_limits.LEAD_SHARE)
    reboots_fail_from = waves_start + rng.uniform(0, 3600)
    return fleet_platform.FaultPlan(
        seed,
        maintenance_seconds,
        reboots_fail_from=reboots_fail_from,
        reboots_fail_until=reboots_fail_from + 6 * 3600,
        outages=(*host_outages, *rack_outages),
    )


def run(site: str, seed: int) -> report.BenchResult:
    """Runs the three planners on the same fleet with the same faults."""
    events.configure("ERROR")
    rows = []
    figures: dict[str, report.Figure] = {}
    for faulty in (False, True):
        for name, planner_for in PLANNERS.items():
            fleet = build_fleet(site, seed, faulty)
            fleet_run = wave_runs.FleetRun(fleet, planner_for, seed)
            fleet_run.run(wave_runs.FOUR_WEEKS_SECONDS, STEP_LENGTH)
            measured = fleet_run.figures()
            condition = "faults" if faulty else "calm"
            rows.append((f"{name}, {condition}", *measured[:-1]))
            if name == "chosen":
                figures.update(
                    {
                        f"{condition}_{key}": value
                        for key, value in measured._asdict().items()
                    }
                )
    return report.BenchResult(
        "waves",
        site,
        seed,
        COLUMNS,
        rows,
        figures,
        [
            report.Limit(f"{condition}_{figure}", "==", bound)
            for condition in ("calm", "faults")
            for figure, bound in (("violations", 0), ("maintained_share", 1))
        ],
    )
