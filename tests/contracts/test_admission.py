"""Tests of the admission queue of one service."""

from __future__ import annotations

from concurrent import futures
import time

import pytest
from returns import result

from tests.contracts import test_slots
from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import settings as setting_types
from wisteriasill.contracts import admission
from wisteriasill.contracts import fair_shares
from wisteriasill.machines import host as hosts

SETTINGS = setting_types.EntrySettings("e1", "z1", "", queue_length=4)


class FakePool:
    """A pool with a number of free slots."""

    def __init__(self, free: int) -> None:
        self.free = free

    def reserve(self, wanted: int) -> hosts.Host | None:
        """Reserves a slot while there is one."""
        assert wanted > 0
        if self.free == 0:
            return None
        self.free -= 1
        return test_slots.TARGETS[0]


def ticket(
    caller: str = "c", seconds: float = 5.0, urgent: bool = False
) -> fair_shares.Ticket:
    name = "urgent" if urgent else "read"
    return fair_shares.Ticket(caller, name, urgent, time.monotonic() + seconds)


@pytest.fixture
def queue() -> admission.ServiceQueue:
    return admission.ServiceQueue(SETTINGS, clocks.SystemClock())


def failure_of(outcome: admission.Admitted) -> errors.Failure:
    failure = outcome.failure()
    assert isinstance(failure, errors.Failure)
    return failure


def test_free_slot_is_granted_at_once(queue: admission.ServiceQueue) -> None:
    """A request must not wait while no other request waits."""
    outcome = queue.acquire(ticket(), FakePool(1).reserve)
    assert isinstance(outcome, result.Success)


@pytest.mark.parametrize("seconds", [0.01, 0.2])
def test_too_late_is_rejected_unexecuted(
    queue: admission.ServiceQueue, seconds: float
) -> None:
    """A request that gets no slot must be rejected before its deadline."""
    started_at = time.monotonic()
    failure = failure_of(
        queue.acquire(ticket(seconds=seconds), FakePool(0).reserve)
    )
    assert time.monotonic() - started_at < seconds + 0.5
    assert failure.kind is errors.ErrorKind.OVERLOADED
    assert failure.executed is errors.Executed.NO
    assert failure.retry_after_seconds is not None
    assert queue.waiting == 0


def test_full_queue_evicts_the_greedy_caller(
    queue: admission.ServiceQueue,
) -> None:
    """A caller that fills the queue must not keep others out."""
    pool = FakePool(0)
    with futures.ThreadPoolExecutor(5) as executor:
        greedy = [
            executor.submit(queue.acquire, ticket("greedy"), pool.reserve)
            for _ in range(SETTINGS.queue_length)
        ]
        while queue.waiting < SETTINGS.queue_length:
            time.sleep(0.001)
        refused = failure_of(queue.acquire(ticket("greedy"), pool.reserve))
        modest = executor.submit(queue.acquire, ticket("modest"), pool.reserve)
        evicted = next(futures.as_completed(greedy, timeout=2.0))
        pool.free = 10
        queue.wake()
        assert isinstance(modest.result(2.0), result.Success)
    kinds = {refused.kind, failure_of(evicted.result()).kind}
    assert kinds == {errors.ErrorKind.OVERLOADED}


def test_released_slot_wakes_a_waiting_request(
    queue: admission.ServiceQueue,
) -> None:
    """A released slot must be granted at once, not at the next poll."""
    pool = FakePool(1)
    first = ticket()
    queue.acquire(first, pool.reserve)
    with futures.ThreadPoolExecutor(1) as executor:
        waiting = executor.submit(queue.acquire, ticket(), pool.reserve)
        while not queue.waiting:
            time.sleep(0.001)
        pool.free = 1
        released_at = time.monotonic()
        queue.release(first, 0.05)
        waiting.result(2.0)
        assert time.monotonic() - released_at < 0.1


def test_too_long_service_time_is_corrected(
    queue: admission.ServiceQueue,
) -> None:
    """After a slow period, requests with a short deadline must be admitted.

    Estimates from the slow period would reject all of them.
    """
    for _ in range(200):
        queue.acquire(ticket(), FakePool(1).reserve)
        queue.release(ticket(), 4.0)
    outcome = queue.acquire(ticket(seconds=0.5), FakePool(1).reserve)
    assert isinstance(outcome, result.Success)


def serve(
    fair_queue: fair_shares.FairQueue[str], tickets: dict[str, int]
) -> str:
    """Queues tickets; returns the callers in the order of their grants."""
    waiting = {}
    for name, count in tickets.items():
        for number in range(count):
            request = f"{name}{number}"
            waiting[request] = ticket(name, urgent=name.isupper())
            fair_queue.add(waiting[request], request)
    order = ""
    while fair_queue:
        request = fair_queue.first()
        fair_queue.count_grant(waiting[request])
        assert fair_queue.remove(waiting[request], request)
        order += request[0]
    return order


@pytest.mark.parametrize(
    ("tickets", "order"),
    [
        ({"a": 5, "b": 2, "c": 1}, "abcabaaa"),
        ({"a": 3, "U": 6}, "UUUUaUUaa"),
        ({"a": 1, "U": 1}, "Ua"),
    ],
)
def test_order_of_grants(tickets: dict[str, int], order: str) -> None:
    """Callers must alternate; urgent ones go first but starve no other."""
    assert serve(fair_shares.FairQueue(), tickets) == order


def test_idle_flow_accumulates_no_share() -> None:
    """A caller must not accumulate a share of grants while it is idle."""
    fair_queue: fair_shares.FairQueue[str] = fair_shares.FairQueue()
    serve(fair_queue, {"a": 20})
    assert serve(fair_queue, {"a": 3, "b": 3}) in ("bababa", "ababab")
