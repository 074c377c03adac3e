"""Experiment: a store is down for ten minutes, then slow, then loses answers.

Orders are in progress when the store goes down. During the outage one host of
each pool fails, as when a rack is lost. When the store is back, each pool gets
an order. Members of the baseline have no write limit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from bench import controlled_site
from bench import member_table
from bench import report
from standins import faults
from standins import local_platform
from standins import platform_state
from wisteriasill import clock as clocks
from wisteriasill import events
from wisteriasill.contracts import orders
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import write_budget

DOWN_SECONDS = 600
RESUME_SECONDS = 10.0
# A quarter of the 300 writes per second that the store supports at least.
ROWS_PER_SECOND = 75
SHAPE = controlled_site.Shape(
    tuple(f"pool-{number}" for number in range(10)),
    tuple(f"m{number}" for number in range(7)),
)
VARIANTS = {
    "bounded, with jitter": write_budget.DEFAULT_LIMITS,
    "not bounded": write_budget.WriteLimits(1e6, 1_000_000, 0.0),
}


class Figures(NamedTuple):
    """Outcome of the orders and write rate of control.

    Attributes:
        orders: Orders given.
        lost_orders: Orders still pending at the end.
        unfinished: Hosts that don't serve at the end or are in a wrong pool.
        extra_boots: Boots beyond one for each completed drain or move.
        budget_violations: Drains that left a pool below its availability
            budget.
        resume_seconds: Time after the outage until each pool had carried out
            the order given at the end of the outage.
        rows_per_second_max: Maximum rows written in any second after the
            outage.
    """

    orders: int
    lost_orders: int
    unfinished: int
    extra_boots: int
    budget_violations: int
    resume_seconds: float
    rows_per_second_max: int


class OutageSite:
    """A site of ten pools and seven members whose store has an outage."""

    def __init__(self, seed: int, limits: write_budget.WriteLimits) -> None:
        self._clock = clocks.ManualClock()
        self._tables: list[member_table.MemberTable] = []
        self._site = controlled_site.ControlledSite(
            self._clock, seed, SHAPE, limits, self._platform_for
        )
        self._used_host_ids: set[str] = set()
        self._order_keys: list[str] = []
        self._ordered: list[tuple[hosts.Host, str]] = []

    def _platform_for(
        self,
        member_id: str,
        shared: local_platform.LocalPlatform,
        state: platform_state.PlatformState,
    ) -> platform.Platform:
        table = member_table.MemberTable(shared, state, self._clock, member_id)
        self._tables.append(table)
        return member_table.member_platform(shared, table)

    def run(self) -> Figures:
        """Runs all phases."""
        site = self._site
        site.run(30)
        self._order(move=False)
        site.run(4)
        self._run_outage()
        ended_at = self._clock.monotonic()
        self._order(move=True)
        resume_seconds = self._wait_for_orders(ended_at)
        self._set_delay(0.02)
        site.run(30)
        self._set_delay(0.0)
        site.state.set_faults(faults.Faults(lose_answers=0.5))
        self._order(move=False)
        site.run(120)
        site.state.set_faults(faults.Faults())
        site.run(120)
        return self._figures(ended_at, resume_seconds)

    def _order(self, move: bool) -> None:
        """Orders a drain or a move of one untouched host of each pool."""
        for number, pool in enumerate(SHAPE.pools):
            host = next(
                host
                for host in self._site.hosts_of(pool)
                if host.state is hosts.HostState.SERVING
                and host.host_id not in self._used_host_ids
            )
            self._used_host_ids.add(host.host_id)
            target = SHAPE.pools[(number + 1) % len(SHAPE.pools)]
            kind = orders.OrderKind.MOVE if move else orders.OrderKind.DRAIN
            self._order_keys.append(
                self._site.order(kind, host, target if move else "")
            )
            self._ordered.append((host, target if move else ""))

    def _run_outage(self) -> None:
        """Takes the store down for a while; one host of each pool fails."""
        site = self._site
        site.state.set_faults(faults.Faults(down=True))
        site.run(DOWN_SECONDS // 2)
        for pool in SHAPE.pools:
            host_id = site.hosts_of(pool)[-1].host_id
            self._used_host_ids.add(host_id)
            site.state.fail_host(host_id)
        site.run(DOWN_SECONDS // 2)
        site.state.set_faults(faults.Faults())

    def _wait_for_orders(self, ended_at: float) -> float:
        """Runs until each pool has carried out its order; restores hosts."""
        keys = self._order_keys[-len(SHAPE.pools) :]
        while any(self._site.order_state(key) == "pending" for key in keys):
            self._site.run(1)
        resumed_at = self._clock.monotonic()
        self._site.run(60)
        for host in self._all_hosts():
            listed = self._site.state.host(host.host_id)
            if listed is not None and listed.state == "down":
                self._site.state.restore_host(host.host_id)
        self._site.run(60)
        return resumed_at - ended_at

    def _set_delay(self, seconds: float) -> None:
        for table in self._tables:
            table.delay_seconds = seconds

    def _all_hosts(self) -> list[hosts.Host]:
        return [
            host for pool in SHAPE.pools for host in self._site.hosts_of(pool)
        ]

    def _figures(self, ended_at: float, resume_seconds: float) -> Figures:
        site = self._site
        states = [site.order_state(key) for key in self._order_keys]
        final = {host.host_id: host for host in self._all_hosts()}
        carried_out = [
            (host, target)
            for (host, target), state in zip(self._ordered, states, strict=True)
            if state == "done"
        ]
        expected_pools = {
            host.host_id: target for host, target in carried_out if target
        }
        times = sorted(
            transaction.at
            for table in self._tables
            for transaction in table.sent
            for _ in range(transaction.rows)
            if transaction.at >= ended_at
        )
        return Figures(
            len(states),
            states.count("pending"),
            sum(
                host.state is not hosts.HostState.SERVING
                or host.pool != expected_pools.get(host.host_id, host.pool)
                for host in final.values()
            ),
            sum(
                site.boot_count(host.host_id) - host.boot_count - 1
                for host, _ in carried_out
            ),
            self._count_budget_violations(),
            resume_seconds,
            _max_in_one_second(times),
        )

    def _count_budget_violations(self) -> int:
        rows: dict[str, tuple[str, str]] = {}
        violations = 0
        for write in self._site.state.table.host_history:
            before = rows.get(write.host_id)
            rows[write.host_id] = (write.pool, write.state)
            if before and before[1] == "serving" and write.state == "draining":
                serving = list(rows.values()).count((write.pool, "serving"))
                violations += serving < controlled_site.MIN_USABLE_HOSTS
        return violations


def _max_in_one_second(times: Sequence[float]) -> int:
    window: deque[float] = deque()
    maximum = 0
    for at in times:
        window.append(at)
        while window[0] <= at - 1.0:
            window.popleft()
        maximum = max(maximum, len(window))
    return maximum


def run(site: str, seed: int) -> report.BenchResult:
    """Runs the outage with and without the write limit."""
    events.configure("CRITICAL")
    by_name = {
        name: OutageSite(seed, limits).run()
        for name, limits in VARIANTS.items()
    }
    chosen = next(iter(by_name.values()))
    return report.BenchResult(
        "store-outage",
        site,
        seed,
        ("writes", *Figures._fields),
        [(name, *measured) for name, measured in by_name.items()],
        chosen._asdict(),
        [
            report.Limit("lost_orders", "==", 0),
            report.Limit("unfinished", "==", 0),
            report.Limit("extra_boots", "==", 0),
            report.Limit("budget_violations", "==", 0),
            report.Limit("resume_seconds", "<=", RESUME_SECONDS),
            report.Limit("rows_per_second_max", "<=", ROWS_PER_SECOND),
        ],
    )
