"""Tests of which hosts count as down."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from wisteriasill.contracts import host_record
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import fleet_hosts

UP = host_record.HostState.UP
DOWN = host_record.HostState.DOWN


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
def down_after() -> Callable[..., dict[str, str]]:
    """Returns a function that reads lists and returns the hosts down."""

    def run(*lists: dict[str, host_record.HostState]) -> dict[str, str]:
        scripted = ScriptedHosts()
        fleet = fleet_hosts.FleetHosts(scripted)
        for number, states in enumerate(lists):
            scripted.state_by_host = states
            fleet.refresh(100.0 + number)
        return fleet.down_by_host

    return run


def test_a_host_that_one_list_lacks_is_not_down(
    down_after: Callable[..., dict[str, str]],
) -> None:
    """A host may change its page while the pages of a list are read."""
    both = {"h1": UP, "h2": UP}
    assert not down_after(both, {"h1": UP})
    assert not down_after(both, {"h1": UP}, both)


def test_a_host_that_two_lists_lack_is_gone(
    down_after: Callable[..., dict[str, str]],
) -> None:
    both = {"h1": UP, "h2": UP}
    one = {"h1": UP}
    assert down_after(both, one, one) == {"h2": "w-h2"}
    assert down_after(both, one, one, one) == {"h2": "w-h2"}


def test_a_host_that_the_list_shows_as_down_is_down_at_once(
    down_after: Callable[..., dict[str, str]],
) -> None:
    both = {"h1": UP, "h2": UP}
    crashed = {"h1": UP, "h2": DOWN}
    assert down_after(both, crashed) == {"h2": "w-h2"}
    assert not down_after(both, crashed, both)
