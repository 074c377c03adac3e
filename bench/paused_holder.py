"""Experiment: shard holders pause for three lease durations during a write.

The pause begins after the holder checks its lease and right before the write
is sent. Meanwhile the other member acquires the lease of the shard. Baselines
are writes that require only the versions of the rows they change, without the
epoch, and holders that rely on the lease check alone.
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
    """Outcome of one pause.

    Attributes:
        paused: Whether a write was paused.
        late_writes: Writes that took effect while another member held the
            shard.
        take_over_seconds: Time until another member held the shard.
        extra_boots: Boots beyond one for each drained host.
        unfinished: Drained hosts that don't serve at the end.
    """

    paused: bool
    late_writes: int
    take_over_seconds: float
    extra_boots: int
    unfinished: int


class PausedSite:
    """A site on which the holder of one shard pauses at a chosen write."""

    def __init__(
        self, seed: int, sent_conditions: member_table.SentConditions
    ) -> None:
        self._clock = clocks.ManualClock()
        self._sent_conditions = sent_conditions
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
            shared, state, self._clock, member_id, self._sent_conditions
        )
        self._tables[member_id] = table
        return member_table.member_platform(shared, table)

    def run(self) -> Trial:
        """Drains two hosts and pauses the holder at one of its writes."""
        site = self._site
        site.run(20)
        drained = self._rng.sample(site.hosts_of("quoting"), 2)
        for host in drained:
            site.order(orders.OrderKind.DRAIN, host)
        self._pause_at_write(site.holder("quoting"), self._rng.randrange(1, 6))
        site.run(150)
        rows = [site.row(host.host_id) for host in drained]
        return Trial(
            self._paused,
            sum(
                transaction.late
                for table in self._tables.values()
                for transaction in table.sent
            ),
            self._take_over_seconds,
            sum(
                site.boot_count(host.host_id) - host.boot_count - 1
                for host in drained
            ),
            sum(row.state is not hosts.HostState.SERVING for row in rows),
        )

    def _pause_at_write(self, member_id: str, countdown: int) -> None:
        """Pauses a member at its n-th control write."""
        remaining = [countdown]
        table = self._tables[member_id]

        def pause() -> None:
            remaining[0] -= 1
            if remaining[0] == 0:
                self._paused = True
                self._pause(member_id)

        table.before_control_write = pause

    def _pause(self, member_id: str) -> None:
        started_at = self._clock.monotonic()
        while self._clock.monotonic() - started_at < PAUSE_SECONDS:
            self._site.run(1, without=member_id)
            is_taken_over = any(
                "quoting" in member.leases
                for name, member in self._site.members.items()
                if name != member_id
            )
            if is_taken_over and not self._take_over_seconds:
                self._take_over_seconds = self._clock.monotonic() - started_at


def run(site: str, seed: int) -> report.BenchResult:
    """Runs the same pauses with all, some and no write conditions."""
    events.configure("CRITICAL")
    rows: list[tuple[report.Figure, ...]] = []
    figures: dict[str, report.Figure] = {}
    for sent_conditions in member_table.SentConditions:
        trials = [
            PausedSite(seed * 1000 + number, sent_conditions).run()
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
        rows.append((sent_conditions.value, *measured.values()))
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
