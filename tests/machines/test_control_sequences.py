"""Property tests of control under sequences of orders and faults."""

from __future__ import annotations

import itertools

import hypothesis
from hypothesis import strategies

from bench import controlled_site
from standins import faults
from standins import table_state
from wisteriasill import clock as clocks
from wisteriasill.contracts import orders
from wisteriasill.links import platform

INDEX = strategies.integers(0, 11)
ACTIONS = strategies.one_of(
    strategies.tuples(strategies.just("drain"), INDEX),
    strategies.tuples(strategies.just("move"), INDEX),
    strategies.tuples(strategies.just("fail"), INDEX),
    strategies.tuples(strategies.just("restore"), INDEX),
    strategies.tuples(strategies.just("pause-member"), INDEX),
    strategies.tuples(
        strategies.just("faults"),
        strategies.sampled_from(
            [
                faults.Faults(),
                faults.Faults(down=True),
                faults.Faults(lose_answers=0.5),
                faults.Faults(old_reads_seconds=3.0),
            ]
        ),
    ),
)


def act(
    site: controlled_site.ControlledSite, kind: str, argument: object
) -> str:
    """Runs one action; returns the member that is paused afterwards."""
    if isinstance(argument, faults.Faults):
        site.state.set_faults(argument)
        return ""
    assert isinstance(argument, int)
    rows = [host for pool in site.shape.pools for host in site.hosts_of(pool)]
    host = rows[argument]
    listed = site.state.host(host.host_id)
    assert listed is not None
    down = listed.state is platform.ListedState.DOWN
    if kind == "drain":
        site.order(orders.OrderKind.DRAIN, host)
    elif kind == "move":
        other = next(name for name in site.shape.pools if name != host.pool)
        site.order(orders.OrderKind.MOVE, host, other)
    elif kind == "fail" and not down:
        site.state.fail_host(host.host_id)
    elif kind == "restore" and down:
        site.state.restore_host(host.host_id)
    return f"m{argument % 2 + 1}" if kind == "pause-member" else ""


def check_history(history: list[table_state.HostWrite]) -> None:
    """Checks that departures kept the budget and moved hosts rebooted."""
    rows: dict[str, tuple[str, str]] = {}
    for write in history:
        before = rows.get(write.host_id)
        rows[write.host_id] = (write.pool, write.state)
        if before is None:
            continue
        if before[0] != write.pool:
            assert before[1] in ("rebooting", "down")
            assert write.state == "joining"
        if before[1] == "serving" and write.state == "draining":
            serving = list(rows.values()).count((write.pool, "serving"))
            assert serving >= controlled_site.MIN_USABLE_HOSTS


@hypothesis.settings(
    derandomize=True, max_examples=25, deadline=None, database=None
)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(ACTIONS, strategies.integers(1, 12)), max_size=12
    )
)
def test_any_sequence_keeps_the_promises(
    steps: list[tuple[tuple[str, object], int]],
) -> None:
    """No mix of orders and faults may break a budget or undo a change."""
    site = controlled_site.ControlledSite(clocks.ManualClock(), 7)
    site.run(20)
    versions = {row.key: 0 for row in site.state.table.scan("hosts", "", 0)}
    for (kind, what), seconds in steps:
        paused = act(site, kind, what)
        site.run(seconds, without=paused)
        for row in site.state.table.scan("hosts", "", 0.0):
            assert row.version >= versions.get(row.key, 0)
            versions[row.key] = row.version
    site.state.set_faults(faults.Faults())
    site.run(120)
    check_history(site.state.table.host_history)
    by_pool = [site.hosts_of(pool) for pool in site.shape.pools]
    assert sorted(host.host_id for host in itertools.chain(*by_pool)) == sorted(
        versions
    )
    for host in itertools.chain(*by_pool):
        listed = site.state.host(host.host_id)
        assert listed is not None
        down = listed.state is platform.ListedState.DOWN
        assert host.state == ("down" if down else "serving")
