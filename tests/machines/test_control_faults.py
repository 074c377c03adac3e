"""Tests of drains and moves with a fault at each of their steps."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import pytest

from bench import control_site
from bench import controlled_site
from standins import faults
from wisteriasill.contracts import orders
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

State = hosts.HostState
STEPS = [State.DRAINING, State.REBOOTING, State.JOINING, State.SERVING]
Inject = Callable[[controlled_site.ControlledSite], None]


class Killed(BaseException):
    """Ends a member in the middle of a step, like kill -9."""


def inject_at_write(
    site: controlled_site.ControlledSite,
    host_id: str,
    state: State,
    inject: Inject,
) -> None:
    """Injects a fault right before the first write of a host's state."""

    def inject_once(
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> None:
        if site.state.faults.lose_answers:
            site.state.set_faults(faults.Faults())
        if any(
            write.key == host_id
            and write.value is not None
            and write.value.get("state") == state
            for write in writes
        ):
            site.platform.before_transaction = None
            inject(site)
            site.platform.before_transaction = (
                clear_faults if site.state.faults.lose_answers else None
            )

    def clear_faults(*_: Any) -> None:
        site.state.set_faults(faults.Faults())
        site.platform.before_transaction = None

    site.platform.before_transaction = inject_once


def lose_answer(site: controlled_site.ControlledSite) -> None:
    site.state.set_faults(faults.Faults(lose_answers=1.0))


def stop_store(site: controlled_site.ControlledSite) -> None:
    site.state.set_faults(faults.Faults(down=True))


def kill(site: controlled_site.ControlledSite) -> None:
    raise Killed


def run_with_kills(site: controlled_site.ControlledSite, seconds: int) -> None:
    """Runs the site and removes members that are killed."""
    for _ in range(seconds):
        for name in list(site.members):
            try:
                site.members[name].step()
            except Killed:
                del site.members[name]
        site.clock.advance(1.0)


def min_serving(
    site: controlled_site.ControlledSite, pool: str, since: int
) -> int:
    """Returns the minimum of SERVING hosts since a write."""
    states: dict[str, tuple[str, str]] = {}
    min_count = 99
    for number, write in enumerate(site.state.table.host_history):
        states[write.host_id] = (write.pool, write.state)
        if number >= since:
            serving = list(states.values()).count((pool, "serving"))
            min_count = min(min_count, serving)
    return min_count


@pytest.mark.parametrize("target", ["", "billing"], ids=["drain", "move"])
@pytest.mark.parametrize("state", STEPS)
@pytest.mark.parametrize("inject", [lose_answer, stop_store, kill])
def test_sequence_survives_a_fault_at_each_step(
    controlled: controlled_site.ControlledSite,
    inject: Inject,
    state: State,
    target: str,
) -> None:
    """Guards against drains or moves that are lost or run a step twice."""
    host = controlled.hosts_of("quoting")[0]
    since = len(controlled.state.table.host_history)
    inject_at_write(controlled, host.host_id, state, inject)
    kind = orders.OrderKind.MOVE if target else orders.OrderKind.DRAIN
    key = controlled.order(kind, host, target)
    run_with_kills(controlled, 30)
    controlled.state.set_faults(faults.Faults())
    run_with_kills(controlled, 90)
    assert controlled.order_state(key) == "done"
    after = controlled.row(host.host_id)
    assert after.state is State.SERVING
    assert after.pool == (target or "quoting")
    assert controlled.boot_count(host.host_id) == host.boot_count + 1
    assert min_serving(controlled, "quoting", since) == 5


@pytest.mark.parametrize("state", STEPS)
def test_paused_holder_writes_nothing_late(
    controlled: controlled_site.ControlledSite, state: State
) -> None:
    """Guards against writes of a holder that was paused past its lease."""
    host = controlled.hosts_of("quoting")[0]
    paused = controlled.holder("quoting")
    conflicts: list[int] = []

    def pause(site: controlled_site.ControlledSite) -> None:
        site.run(18, without=paused)
        conflicts.append(site.state.table.counts.conflicts)

    inject_at_write(controlled, host.host_id, state, pause)
    controlled.order(orders.OrderKind.DRAIN, host)
    while not conflicts:
        controlled.run(1)
    assert controlled.state.table.counts.conflicts > conflicts[0]
    controlled.run(2)
    assert controlled.holder("quoting") != paused
    epoch = controlled.state.table.read("epochs", "quoting", 0.0)
    assert epoch is not None
    assert epoch.value["epoch"] == 2
    controlled.run(60)
    after = controlled.row(host.host_id)
    assert after.state is State.SERVING
    assert controlled.boot_count(host.host_id) == host.boot_count + 1


def test_dead_holder_is_replaced_within_10_seconds(
    controlled: controlled_site.ControlledSite,
) -> None:
    """Guards against a pool without control for longer than 10 s."""
    dead = controlled.holder("quoting")
    del controlled.members[dead]
    died_at = controlled.clock.monotonic()
    while not any(
        "quoting" in member.leases for member in controlled.members.values()
    ):
        controlled.run(1)
    assert controlled.clock.monotonic() - died_at <= 10.0


def test_control_resumes_after_a_store_outage(
    controlled: controlled_site.ControlledSite,
) -> None:
    """Guards against control that doesn't resume within 10 s of an outage.

    The outage lasts 600 s and must not end any control task.
    """
    host = controlled.hosts_of("billing")[0]
    stop_store(controlled)
    controlled.run(600)
    controlled.state.set_faults(faults.Faults())
    key = controlled.order(orders.OrderKind.DRAIN, host)
    controlled.run(10)
    assert controlled.order_state(key) == "done"


def test_drain_is_announced_to_peers(
    controlled: controlled_site.ControlledSite,
) -> None:
    """Guards against peers that learn of a departure only by their poll."""
    host = controlled.hosts_of("quoting")[0]
    controlled.order(orders.OrderKind.DRAIN, host)
    controlled.run(2)
    sent = [
        message
        for member in controlled.members.values()
        for message in member.mesh.sent
    ]
    row = controlled.state.table.read("hosts", host.host_id, 0.0)
    assert row is not None
    assert sent[0] == {
        "type": "departure",
        "host_id": host.host_id,
        "state": "draining",
        "version": row.version,
    }


def test_shards_return_to_their_preferred_member(
    controlled: controlled_site.ControlledSite,
) -> None:
    """Guards against shards that stay with one member after a rejoin."""
    initial_shards = {
        name: set(m.leases) for name, m in controlled.members.items()
    }
    assert all(initial_shards.values())
    control_only = next(iter(controlled.members))
    other = next(name for name in controlled.members if name != control_only)
    control_site.set_known_members(controlled.site, [control_only])
    controlled.run(90, without=other)
    assert len(controlled.members[control_only].leases) == 3
    control_site.set_known_members(controlled.site, list(initial_shards))
    controlled.run(90)
    assert {
        n: set(m.leases) for n, m in controlled.members.items()
    } == initial_shards


def test_stale_scan_drains_no_host_beyond_the_budget(
    controlled: controlled_site.ControlledSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a new holder that exceeds the budget by a stale scan."""
    pool = controlled.hosts_of("quoting")
    since = len(controlled.state.table.host_history)
    for host in pool[:2]:
        controlled.order(orders.OrderKind.DRAIN, host)
    before = controlled.state.scan("hosts", "")
    controlled.run(2)
    current = controlled.state.scan

    def stale_hosts(table: str, prefix: str) -> tuple[platform.Row, ...]:
        return before if table == "hosts" else current(table, prefix)

    monkeypatch.setattr(controlled.state, "scan", stale_hosts)
    del controlled.members[controlled.holder("quoting")]
    key = controlled.order(orders.OrderKind.DRAIN, pool[2])
    controlled.run(12)
    monkeypatch.undo()
    controlled.run(60)
    assert (
        min_serving(controlled, "quoting", since)
        == controlled_site.MIN_USABLE_HOSTS
    )
    assert controlled.order_state(key) != "pending"
