"""Holders of shards that stop for three lease times in the middle of a write.

A pause begins after the holder's check of its lease and right before the
write is sent; meanwhile the other member takes the shard over. Compared with
writes that require only the versions of the rows they change, and with holders
that rely on the check alone.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from bench import controlled_site
from bench import member_table
from bench import report
from standins import local_platform
from standins import platform_state
from wisteriasill import clock as clocks
from wisteriasill import events
from wisteriasill.contracts import orders
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

TRIALS = 60
LEASE_SECONDS = 6.0
PAUSE_SECONDS = 3 * LEASE_SECONDS
TAKE_OVER_SECONDS = 10.0


class Trial(NamedTuple):
    """What one pause led to.

    Attributes:
        paused: Whether a write was caught by the pause.
        late_writes: Writes that took effect after the shard was taken over.
        take_over_seconds: Time until another member held the shard.
        extra_boots: Boots beyond one for each host that was drained.
        unfinished: Drained hosts that didn't serve in the end.
    """

    paused: bool
    late_writes: int
    take_over_seconds: float
    extra_boots: int
    unfinished: int


class PausedSite:
    """A site whose holder of one shard pauses at a chosen write."""

    def __init__(self, seed: int, kept: member_table.Kept) -> None:
        self._clock = clocks.ManualClock()
        self._kept = kept
        self._tables: dict[str, member_table.MemberTable] = {}
        self._rng = random.Random(seed)
        self._site = controlled_site.ControlledSite(
            self._clock, seed, platform_for=self._platform_for
        )
        self._take_over_seconds = 0.0
        self._paused = False

    def _platform_for(
        self,
        member_id: str,
        shared: local_platform.LocalPlatform,
        state: platform_state.PlatformState,
    ) -> platform.Platform:
        table = member_table.MemberTable(
            shared, state, self._clock, member_id, self._kept
        )
        self._tables[member_id] = table
        return member_table.member_platform(shared, table)

    def run(self) -> Trial:
        """Drains two hosts and pauses the holder at one of its writes."""
        site = self._site
        site.run(20)
        drained = self._rng.sample(site.hosts_of("quoting"), 2)
        for host in drained:
            site.order(orders.WorkerOrder.DRAIN, host)
        self._arm(site.holder("quoting"), self._rng.randrange(1, 6))
        site.run(150)
        rows = [site.row(host.host_id) for host in drained]
        return Trial(
            self._paused,
            sum(
                item.late
                for table in self._tables.values()
                for item in table.sent
            ),
            self._take_over_seconds,
            sum(
                site.boot_count(host.host_id) - host.boot_count - 1
                for host in drained
            ),
            sum(row.state is not hosts.HostState.SERVING for row in rows),
        )

    def _arm(self, member_id: str, countdown: int) -> None:
        """Pauses a member at its write with a number."""
        left = [countdown]
        table = self._tables[member_id]

        def pause() -> None:
            left[0] -= 1
            if left[0] == 0:
                self._paused = True
                self._pause(member_id)

        table.before = pause

    def _pause(self, member_id: str) -> None:
        started = self._clock.monotonic()
        while self._clock.monotonic() - started < PAUSE_SECONDS:
            self._site.run(1, without=member_id)
            taken = any(
                "quoting" in member.leases
                for name, member in self._site.members.items()
                if name != member_id
            )
            if taken and not self._take_over_seconds:
                self._take_over_seconds = self._clock.monotonic() - started


def run(site: str, seed: int) -> report.BenchResult:
    """Runs the same pauses with all, some and no conditions of writes."""
    events.configure("CRITICAL")
    rows: list[tuple[report.Figure, ...]] = []
    figures: dict[str, report.Figure] = {}
    for kept in member_table.Kept:
        trials = [
            PausedSite(seed * 1000 + number, kept).run()
            for number in range(TRIALS)
        ]
        measured: dict[str, report.Figure] = {
            "pauses": sum(trial.paused for trial in trials),
            "late_writes": sum(trial.late_writes for trial in trials),
            "take_over_seconds_max": max(
                trial.take_over_seconds for trial in trials
            ),
            "extra_boots": sum(trial.extra_boots for trial in trials),
            "unfinished": sum(trial.unfinished for trial in trials),
        }
        rows.append((kept.value, *measured.values()))
        figures = figures or measured
    return report.BenchResult(
        "paused-holder",
        site,
        seed,
        ("conditions sent", *figures),
        rows,
        figures,
        [
            report.Limit("pauses", "==", TRIALS),
            report.Limit("late_writes", "==", 0),
            report.Limit("take_over_seconds_max", "<=", TAKE_OVER_SECONDS),
            report.Limit("extra_boots", "==", 0),
            report.Limit("unfinished", "==", 0),
        ],
    )
