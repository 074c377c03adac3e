"""Tests of which hosts count as down."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from wisteriasill.contracts import host_record
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import fleet_hosts
from wisteriasill.machines import fleet_rows

UP = host_record.HostState.UP
DOWN = host_record.HostState.DOWN
DownAfter = Callable[..., dict[str, fleet_rows.DownWorker]]


class ScriptedHosts:
    """Implements the list of `cluster.HostControl` by the test's script."""

    def __init__(self) -> None:
        self.state_by_host: dict[str, host_record.HostState] = {}

    def list_hosts(self) -> tuple[host_record.HostRecord, ...]:
        """Lists the hosts in their states."""
        room = job_spec.Resources(1, 1, 0)
        return tuple(
            host_record.HostRecord(
                host_id, "bench", state, "zone", room, "r1", f"w-{host_id}"
            )
            for host_id, state in self.state_by_host.items()
        )

    def move(
        self, host_id: str, service: str, fencing_epoch: int
    ) -> cluster.HostOrderOutcome:
        """Does nothing."""
        return cluster.HostOrderOutcome.BUSY

    def maintain(
        self, host_id: str, wave: int, fencing_epoch: int
    ) -> cluster.HostOrderOutcome:
        """Does nothing."""
        return cluster.HostOrderOutcome.BUSY


@pytest.fixture
def down_after() -> DownAfter:
    """Returns a function that reads lists and returns the hosts down."""

    def run(
        *lists: dict[str, host_record.HostState],
    ) -> dict[str, fleet_rows.DownWorker]:
        scripted = ScriptedHosts()
        fleet = fleet_hosts.FleetHosts(scripted)
        for number, states in enumerate(lists):
            scripted.state_by_host = states
            fleet.refresh(100.0 + number, 10 + number)
        return fleet.down_by_host

    return run


def test_a_host_that_one_list_lacks_is_not_down(
    down_after: DownAfter,
) -> None:
    """A host may change its page while the pages of a list are read."""
    both = {"h1": UP, "h2": UP}
    assert not down_after(both, {"h1": UP})
    assert not down_after(both, {"h1": UP}, both)


def test_a_host_that_two_lists_lack_is_gone(
    down_after: DownAfter,
) -> None:
    both = {"h1": UP, "h2": UP}
    one = {"h1": UP}
    gone = {"h2": fleet_rows.DownWorker("w-h2", 12)}
    assert down_after(both, one, one) == gone
    assert down_after(both, one, one, one) == gone


def test_a_host_that_the_list_shows_as_down_is_down_at_once(
    down_after: DownAfter,
) -> None:
    both = {"h1": UP, "h2": UP}
    crashed = {"h1": UP, "h2": DOWN}
    down = {"h2": fleet_rows.DownWorker("w-h2", 11)}
    assert down_after(both, crashed) == down
    assert not down_after(both, crashed, both)


def test_the_next_list_confirms_that_a_host_is_down(
    down_after: DownAfter,
) -> None:
    """The worker may have registered since the version of the first list."""
    both = {"h1": UP, "h2": UP}
    crashed = {"h1": UP, "h2": DOWN}
    down = {"h2": fleet_rows.DownWorker("w-h2", 12)}
    assert down_after(both, crashed, crashed) == down
    assert down_after(both, crashed, crashed, crashed) == down


def test_a_list_without_a_host_does_not_confirm_that_it_is_down(
    down_after: DownAfter,
) -> None:
    """The host may be up again, and change its page."""
    both = {"h1": UP, "h2": UP}
    down = {"h2": fleet_rows.DownWorker("w-h2", 11)}
    assert down_after(both, {"h1": UP, "h2": DOWN}, {"h1": UP}) == down
