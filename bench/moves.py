"""Experiment: host moves for a lasting demand shift, none for short peaks.

For six hours the pools take turns with peaks of seconds, about five times
their mean. In the third hour the demand of one pool rises permanently by two
hosts, and one host fails for three minutes. The baseline plan follows the
instantaneous demand.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from bench import controlled_site
from bench import report
from wisteriasill import clock as clocks
from wisteriasill import events
from wisteriasill.contracts import demand

POOLS = ("quoting", "cutting", "billing", "spare")
HOUR = 3600
HOURS = 6
SHIFT_FROM = 2 * HOUR
PEAK_SECONDS = 5
# Mean number of in-flight requests; a pool of six hosts has 48 slots.
MEAN_SLOTS = 9.0
SHIFTED_SLOTS = 48.0
SHIFT_HOSTS = 2
HOSTS_PER_POOL = controlled_site.CONTRACT.hosts
SLOTS_PER_HOST = controlled_site.CONTRACT.slots_per_host
STEP_SECONDS = 5


class Figures(NamedTuple):
    """Figures of the host moves.

    Attributes:
        moves: Hosts that changed their pool.
        peak_moves: Moves that the demand shift doesn't require.
        hosts_gained: Hosts gained by the pool with the shift.
        minutes_to_last_move: Time from the shift to the last required move.
        rows_in_two_pools: Host rows seen in two pools at once.
    """

    moves: int
    peak_moves: int
    hosts_gained: int
    minutes_to_last_move: float
    rows_in_two_pools: int


def busy_slots(pool_number: int, second: int) -> float:
    """Returns a pool's demand: 5 times the mean in a peak, else 0.05 times."""
    if pool_number == 0 and second >= SHIFT_FROM:
        return SHIFTED_SLOTS
    pool_count = len(POOLS) - 1
    has_peak = second // PEAK_SECONDS % (pool_count * 2) == pool_number * 2
    return MEAN_SLOTS * (5.0 if has_peak else 0.05)


class MovingSite:
    """Three pools and a spare pool, with peers that report demand."""

    def __init__(self, seed: int) -> None:
        self._clock = clocks.ManualClock()
        self._rng = random.Random(seed)
        self._site = controlled_site.ControlledSite(
            self._clock,
            seed,
            controlled_site.Shape(POOLS, ("m1",), spare="spare"),
        )
        self._rows_in_two_pools = 0

    def run(self) -> Figures:
        """Runs six hours and measures the moves."""
        self._site.run(30)
        start = int(self._clock.monotonic())
        failed = self._rng.choice(self._site.hosts_of("billing")).host_id
        for second in range(0, HOURS * HOUR, STEP_SECONDS):
            self._report_demand(second)
            if second == SHIFT_FROM:
                self._site.state.fail_host(failed)
            if second == SHIFT_FROM + 180:
                self._site.state.restore_host(failed)
            self._site.run(1)
            self._clock.advance(STEP_SECONDS - 1)
            self._check_rows()
        return self._figures(start)

    def _report_demand(self, second: int) -> None:
        """Simulates peers that report all demand of this second."""
        snapshot = self._site.site.snapshot
        counts: dict[str, int] = {}
        for number, pool in enumerate(POOLS[:-1]):
            hosts = snapshot.hosts_by_pool.get(pool, ())
            for index, host in enumerate(hosts):
                busy = busy_slots(number, second)
                counts[host.host_id] = round(
                    busy * (index + 1) / len(hosts)
                ) - round(busy * index / len(hosts))
        mesh = self._site.members["m1"].mesh
        mesh.peers = frozenset(f"peer-{number}" for number in range(50))
        for handler in mesh.handlers["in_flight"]:
            for peer in sorted(mesh.peers):
                handler(peer, {"counts": counts if peer == "peer-0" else {}})

    def _check_rows(self) -> None:
        host_ids = [
            host.host_id
            for hosts in self._site.site.snapshot.hosts_by_pool.values()
            for host in hosts
        ]
        self._rows_in_two_pools += len(host_ids) - len(set(host_ids))

    def _figures(self, start: int) -> Figures:
        pools: dict[str, str] = {}
        moved_at: list[tuple[float, str]] = []
        for write in self._site.state.table.host_history:
            if pools.get(write.host_id, write.pool) != write.pool:
                moved_at.append((write.at_seconds, write.pool))
            pools[write.host_id] = write.pool
        gained = list(pools.values()).count(POOLS[0]) - HOSTS_PER_POOL
        required = [at for at, pool in moved_at if pool == POOLS[0]]
        last = (max(required, default=0.0) - start - SHIFT_FROM) / 60
        return Figures(
            len(moved_at),
            len(moved_at) - SHIFT_HOSTS,
            gained,
            last,
            self._rows_in_two_pools,
        )


def count_undamped_moves() -> int:
    """Counts the moves of a plan that follows the instantaneous demand.

    Each pool takes hosts from the spare pool as soon as its demand needs
    them, and gives them back as soon as it doesn't. The moves are planned
    and counted but not carried out.
    """
    spare = HOSTS_PER_POOL
    hosts_held = [HOSTS_PER_POOL] * (len(POOLS) - 1)
    planned = 0
    for second in range(0, HOURS * HOUR, STEP_SECONDS):
        for number, before in enumerate(hosts_held):
            needed = demand.hosts_for(
                busy_slots(number, second), SLOTS_PER_HOST
            )
            wanted = min(max(HOSTS_PER_POOL, needed), before + spare)
            planned += abs(wanted - before)
            spare += before - wanted
            hosts_held[number] = wanted
    return planned


def run(site: str, seed: int) -> report.BenchResult:
    """Runs the shift and the plan that follows instantaneous demand."""
    events.configure("CRITICAL")
    measured = MovingSite(seed).run()
    return report.BenchResult(
        "moves",
        site,
        seed,
        ("plan", *Figures._fields),
        [
            ("chosen", *measured),
            ("instantaneous demand", count_undamped_moves(), *[None] * 4),
        ],
        measured._asdict(),
        [
            report.Limit("moves", "<=", SHIFT_HOSTS),
            report.Limit("hosts_gained", "==", SHIFT_HOSTS),
            report.Limit("rows_in_two_pools", "==", 0),
        ],
    )
