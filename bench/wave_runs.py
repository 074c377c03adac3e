"""Simulates four weeks of maintenance with one planner."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
import random
from typing import NamedTuple

from bench import control_site
from bench import fleet_platform
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import maintenance
from wisteriasill.contracts import pool_revision
from wisteriasill.contracts import wave_plan
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

FOUR_WEEKS_SECONDS = 28 * 86_400.0


class StepLength(NamedTuple):
    """Simulated time per step.

    Attributes:
        idle_seconds: While no wave is running.
        active_seconds: While a wave is running.
    """

    idle_seconds: float
    active_seconds: float


class WaveFigures(NamedTuple):
    """Figures of four weeks with one planner.

    Attributes:
        violations: Drains that left a pool below its availability budget.
        maintained_share: Share of the hosts maintained in the four weeks, of
            those that aren't down at the end.
        roll_out_hours_mean: Mean time of a wave, from the first drain to the
            last return.
        roll_out_hours_max: Maximum of these times.
        site_roll_out_hours: First drain to last return over all waves.
        buffer_hosts: Sum over waves of the maximum hosts away at a time.
        buffer_host_hours: Sum over waves of the maximum hosts away times the
            roll-out time.
        away_host_hours: Total time that hosts were away for waves.
        lost_hosts: Reboots that needed a repair.
        moves: Moves of hosts between pools.
        rows_written: Rows written in the four weeks.
    """

    violations: int
    maintained_share: float
    roll_out_hours_mean: float
    roll_out_hours_max: float
    site_roll_out_hours: float
    buffer_hosts: int
    buffer_host_hours: float
    away_host_hours: float
    lost_hosts: int
    moves: int
    rows_written: int


class Fleet(NamedTuple):
    """Hosts, their pools, the configuration and the faults."""

    listed: tuple[platform.ListedHost, ...]
    pool_by_host: Mapping[str, str]
    configuration: configurations.Configuration
    fault_plan: fleet_platform.FaultPlan


class FleetRun:
    """Simulation of a fleet with one planner."""

    def __init__(
        self,
        fleet: Fleet,
        planner_for: Callable[[sites.Site], wave_plan.Planner],
        seed: int,
    ) -> None:
        self._fleet = fleet
        self.clock = clocks.ManualClock()
        self.platform = fleet_platform.FleetPlatform(
            self.clock, fleet.listed, fleet.fault_plan
        )
        self.site = sites.Site(self.clock)
        self.site.adopt_configuration(fleet.configuration)
        control_site.set_known_members(self.site, ["m1"])
        self._store_rows()
        self.member = control_site.ControlMember(
            "m1",
            self.platform,
            self.site,
            self.clock,
            control_site.seeded_sources(random.Random(seed), self.clock),
            planner=planner_for(self.site),
        )

    def run(self, until: float, step_length: StepLength) -> None:
        """Steps control until a simulated time."""
        while self.clock.monotonic() < until:
            self.member.step()
            self.clock.advance(
                step_length.active_seconds
                if self._is_wave_running()
                else step_length.idle_seconds
            )

    def _is_wave_running(self) -> bool:
        return any(
            host.wave and host.state is not hosts.HostState.SERVING
            for pool in self.site.snapshot.hosts_by_pool.values()
            for host in pool
        ) or any(
            row.value["state"] == "running"
            for row in self.platform.scan(maintenance.TABLE).unwrap()
        )

    def _store_rows(self) -> None:
        """Stores serving host rows, all last maintained at time 0."""
        rows = [
            hosts.from_listed(
                listed,
                self._fleet.pool_by_host[listed.host_id],
                hosts.HostState.SERVING,
            )
            for listed in self._fleet.listed
        ]
        self.platform.transact(
            [],
            [
                platform.Write(
                    hosts.TABLE, host.host_id, documents.encode(host)
                )
                for host in rows
            ]
            + [
                platform.Write(
                    pool_revision.TABLE,
                    pool,
                    documents.encode(pool_revision.PoolRevision(pool)),
                )
                for pool in sorted({host.pool for host in rows})
            ],
        ).unwrap()
        self.site.update_hosts([sites.KnownHost(host, 1) for host in rows])
        self.site.confirm("hosts")

    def figures(self) -> WaveFigures:
        """Computes the figures from the recorded host row writes."""
        history = self.platform.history
        absences = _absences(history, self.clock.monotonic())
        by_wave: dict[str, list[Absence]] = defaultdict(list)
        for absence in absences:
            by_wave[absence.wave].append(absence)
        roll_outs = {
            wave: (
                max(absence.until for absence in wave_absences)
                - min(absence.since for absence in wave_absences)
            )
            / 3600
            for wave, wave_absences in by_wave.items()
        }
        peaks = {
            wave: _max_hosts_away(wave_absences)
            for wave, wave_absences in by_wave.items()
        }
        return WaveFigures(
            _count_violations(history, self._fleet.configuration),
            self._maintained_share(),
            sum(roll_outs.values()) / max(1, len(roll_outs)),
            max(roll_outs.values(), default=0.0),
            (
                max(absence.until for absence in absences)
                - min(absence.since for absence in absences)
            )
            / 3600,
            sum(peaks.values()),
            sum(peaks[wave] * roll_outs[wave] for wave in peaks),
            sum(absence.until - absence.since for absence in absences) / 3600,
            self.platform.failed_reboots,
            _count_moves(history),
            self.platform.state.counts.rows_written,
        )

    def _maintained_share(self) -> float:
        rows = [
            host
            for pool in self.site.snapshot.hosts_by_pool.values()
            for host in pool
            if host.state is not hosts.HostState.DOWN
        ]
        return sum(1 for host in rows if host.maintained_at > 0) / len(rows)


class Absence(NamedTuple):
    """Interval in which a host is out of service for a wave."""

    wave: str
    since: float
    until: float


def _absences(
    history: Sequence[fleet_platform.HostEvent], end: float
) -> list[Absence]:
    open_since: dict[str, tuple[str, float]] = {}
    states: dict[str, str] = {}
    absences = []
    for write in history:
        before = states.get(write.host_id)
        states[write.host_id] = write.state
        if before == "serving" and write.state == "draining" and write.wave:
            open_since[write.host_id] = (write.wave, write.at)
        elif write.state == "serving" and write.host_id in open_since:
            wave, since = open_since.pop(write.host_id)
            absences.append(Absence(wave, since, write.at))
    return absences + [
        Absence(wave, since, end) for wave, since in open_since.values()
    ]


def _max_hosts_away(absences: Sequence[Absence]) -> int:
    count_changes = sorted(
        [(absence.since, 1) for absence in absences]
        + [(absence.until, -1) for absence in absences]
    )
    away = peak = 0
    for _, change in count_changes:
        away += change
        peak = max(peak, away)
    return peak


def _count_violations(
    history: Sequence[fleet_platform.HostEvent],
    configuration: configurations.Configuration,
) -> int:
    """Counts drains that left a pool with too few serving hosts."""
    rows: dict[str, tuple[str, str]] = {}
    serving: dict[str, int] = defaultdict(int)
    violations = 0
    for write in history:
        before = rows.get(write.host_id)
        if before is not None and before[1] == "serving":
            serving[before[0]] -= 1
        rows[write.host_id] = (write.pool, write.state)
        if write.state == "serving":
            serving[write.pool] += 1
        if (
            before is not None
            and before[1] == "serving"
            and write.state == "draining"
        ):
            contract = configuration.services_by_name[write.pool].pool
            violations += serving[write.pool] < contract.hosts_always_usable
    return violations


def _count_moves(history: Sequence[fleet_platform.HostEvent]) -> int:
    pools: dict[str, str] = {}
    moves = 0
    for write in history:
        before = pools.get(write.host_id)
        pools[write.host_id] = write.pool
        moves += before is not None and before != write.pool
    return moves
