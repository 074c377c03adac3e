"""Tests of what follows from an order to a host."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from wisteriasill.contracts import host_moves
from wisteriasill.contracts import host_record
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import fleet_hosts
from wisteriasill.machines import fleet_orders
from wisteriasill.machines import fleet_rows

UP = host_record.HostState.UP
REQUEST = host_moves.DrainRequest("h1", "w1", "", 1)


class ListedHosts:
    """Implements the list of `cluster.HostControl`; orders change nothing."""

    def __init__(self) -> None:
        self.record = host_record.HostRecord(
            "h1", "bench", UP, "zone", job_spec.Resources(1, 1, 0), "r1", "w1"
        )

    def list_hosts(self) -> tuple[host_record.HostRecord, ...]:
        """Returns the only host."""
        return (self.record,)

    def move(
        self, host_id: str, service: str, fencing_epoch: int
    ) -> cluster.HostOrderOutcome:
        """Does nothing."""
        return cluster.HostOrderOutcome.DONE

    def maintain(
        self, host_id: str, wave: int, fencing_epoch: int
    ) -> cluster.HostOrderOutcome:
        """Confirms maintenance that was done before."""
        return cluster.HostOrderOutcome.DONE


@pytest.fixture
def listed() -> ListedHosts:
    return ListedHosts()


@pytest.fixture
def ended_after_order(
    listed: ListedHosts,
) -> Callable[[], dict[str, fleet_rows.DownWorker]]:
    """Returns a function that orders, reads the list and returns the ended."""

    def run() -> dict[str, fleet_rows.DownWorker]:
        fleet = fleet_hosts.FleetHosts(listed)
        orders = fleet_orders.FleetOrders()
        fleet.refresh(100.0, 7)
        orders.request([REQUEST], 100.0)
        orders.record(REQUEST, cluster.HostOrderOutcome.DONE, 100.0)
        orders.refresh(fleet, 100.1)
        assert not orders.ended_workers(100.1)
        fleet.refresh(101.0, 9)
        orders.refresh(fleet, 101.0)
        return orders.ended_workers(101.0)

    return run


def test_an_order_that_was_carried_out_before_ends_no_worker(
    ended_after_order: Callable[[], dict[str, fleet_rows.DownWorker]],
) -> None:
    """The platform confirms it again and leaves the worker alone.

    After a hand-over in the middle of a wave a holder repeated such an order,
    and the pool started the tasks of a living worker elsewhere: two runs of one
    task, on a fresh day of Shila Hire.
    """
    assert not ended_after_order()


@pytest.mark.parametrize(
    ("state", "worker_id"),
    [
        (UP, "w2"),
        (UP, ""),
        (host_record.HostState.MOVING, "w1"),
        (host_record.HostState.UPKEEP, "w1"),
    ],
)
def test_the_list_shows_that_a_worker_ended(
    listed: ListedHosts,
    ended_after_order: Callable[[], dict[str, fleet_rows.DownWorker]],
    state: host_record.HostState,
    worker_id: str,
) -> None:
    before = listed.record
    listed.record = before._replace(state=state, worker_id=worker_id)
    assert ended_after_order() == {"w1": fleet_rows.DownWorker("w1", 9)}


def test_a_new_holder_keeps_the_version_of_an_ended_worker() -> None:
    """A newer one would name incarnations that have registered since."""
    orders = fleet_orders.FleetOrders()
    ended = fleet_rows.DownWorker("w1", 9)
    orders.inherit_ended([ended], 100.0)
    assert orders.ended_workers(101.0) == {"w1": ended}


@pytest.mark.parametrize(
    "outcome",
    [cluster.HostOrderOutcome.UNKNOWN, cluster.HostOrderOutcome.BUSY],
    ids=["timed out", "refused"],
)
def test_a_withdrawn_request_leaves_its_unanswered_order(
    listed: ListedHosts, outcome: cluster.HostOrderOutcome
) -> None:
    """The host counts until the list shows that the order did not run."""
    fleet = fleet_hosts.FleetHosts(listed)
    orders = fleet_orders.FleetOrders()
    orders.request([REQUEST], 100.0)
    orders.record(REQUEST, cluster.HostOrderOutcome.UNKNOWN, 107.9)
    orders.record(REQUEST, outcome, 108.0)
    fleet.refresh(108.1, 7)
    orders.refresh(fleet, 108.1)
    assert {*orders.request_by_host} == set()
    assert {*orders.order_by_host} == {"h1"}
    fleet.refresh(109.2, 8)
    orders.refresh(fleet, 109.2)
    assert {*orders.order_by_host} == set()


def test_a_new_holder_counts_the_hosts_that_the_list_shows_in_maintenance(
    listed: ListedHosts,
) -> None:
    orders = fleet_orders.FleetOrders()
    wave = queues.WaveOrder(1, ("h1",), 20.0, 1)
    up = listed.record
    upkeep = up._replace(state=host_record.HostState.UPKEEP, worker_id="")
    assert orders.in_maintenance(wave, [up]) == 0
    assert orders.in_maintenance(wave, [upkeep]) == 1
    orders.request([REQUEST], 100.0)
    assert orders.in_maintenance(wave, [upkeep]) == 0  # The request counts.
