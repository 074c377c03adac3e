"""Tests of the policy of orders to workers."""

from __future__ import annotations

import pytest

from wisteriasill.contracts import order_policy
from wisteriasill.contracts.order_policy import Attempts
from wisteriasill.contracts.order_policy import Verb

SETTINGS = order_policy.DEFAULT_SETTINGS


@pytest.fixture
def policy() -> order_policy.MeasuredPolicy:
    return order_policy.MeasuredPolicy()


@pytest.fixture
def pool() -> order_policy.PoolOrders:
    settings = SETTINGS._replace(
        worker_repeats_per_second=0.0, node_repeats_per_second=0.0
    )
    return order_policy.PoolOrders(order_policy.NodeOrders(settings))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("min_timeout_seconds", 0.0),
        ("min_timeout_seconds", float("nan")),
        ("max_timeout_seconds", 0.1),
        ("max_stop_timeout_seconds", 0.1),
        ("max_start_seconds", float("inf")),
        ("backoff_factor", 0.9),
        ("max_start_calls", 0),
        ("max_poll_calls", 0),
        ("poll_slack_seconds", 0.1),
        ("repeat_delay_seconds", -0.1),
        ("repeat_spread", 1.5),
        ("node_repeats", -1.0),
    ],
)
def test_a_bad_setting_is_named(name: str, value: float) -> None:
    settings = order_policy.OrderSettings(**SETTINGS._asdict() | {name: value})
    with pytest.raises(ValueError, match=f"orders: {name} is"):
        order_policy.NodeOrders(settings)


def test_a_worker_that_answers_slowly_gets_a_longer_timeout(
    pool: order_policy.PoolOrders,
) -> None:
    """Its first answer comes once the timeout has grown to its time."""
    worker = order_policy.WorkerOrders(pool)
    response_seconds = 0.5
    calls = 0
    while worker.timeout_seconds(Verb.START) < response_seconds:
        worker.record_timeout()
        calls += 1
    assert calls < SETTINGS.max_start_calls
    worker.record_answer(response_seconds)
    for verb in Verb:
        timeout_seconds = worker.timeout_seconds(verb)
        assert response_seconds < timeout_seconds
        assert timeout_seconds <= SETTINGS.max_timeout_seconds


def test_the_timeout_for_a_worker_that_never_answers_is_bounded(
    pool: order_policy.PoolOrders,
) -> None:
    worker = order_policy.WorkerOrders(pool)
    for _ in range(10_000):
        worker.record_timeout()
    start_seconds = worker.timeout_seconds(Verb.START)
    assert start_seconds == SETTINGS.max_timeout_seconds
    stop_seconds = worker.timeout_seconds(Verb.STOP)
    assert stop_seconds == SETTINGS.max_stop_timeout_seconds


def test_an_answer_ends_the_backoff(pool: order_policy.PoolOrders) -> None:
    worker = order_policy.WorkerOrders(pool)
    worker.record_timeout()
    worker.record_answer(0.005)
    assert worker.timeout_seconds(Verb.START) == SETTINGS.min_timeout_seconds


def test_a_worker_without_answers_gets_the_timeout_of_its_pool(
    pool: order_policy.PoolOrders,
) -> None:
    for _ in range(20):
        order_policy.WorkerOrders(pool).record_answer(0.4)
    new_worker = order_policy.WorkerOrders(pool)
    assert new_worker.timeout_seconds(Verb.START) > 0.4


@pytest.mark.parametrize(
    ("attempts", "repeats"),
    [
        (Attempts(Verb.START, 1, 0.2), True),
        (Attempts(Verb.START, SETTINGS.max_start_calls, 0.2), False),
        (Attempts(Verb.START, 1, SETTINGS.max_start_seconds), False),
        (Attempts(Verb.POLL, 1, 0.2), True),
        (Attempts(Verb.POLL, SETTINGS.max_poll_calls, 0.2), False),
    ],
)
def test_a_call_is_repeated_for_a_limited_time(
    policy: order_policy.MeasuredPolicy, attempts: Attempts, repeats: bool
) -> None:
    delays = [policy.repeat_delay(attempts, draw) for draw in (0.0, 1.0)]
    if not repeats:
        assert delays == [None, None]
        return
    first, last = delays
    assert first is not None
    assert last is not None
    assert 0 <= first < last <= 2 * SETTINGS.repeat_delay_seconds


def test_repeats_to_one_worker_leave_some_for_others(
    pool: order_policy.PoolOrders,
) -> None:
    """A worker that is cut off uses up its own budget only."""
    cut = order_policy.WorkerOrders(pool)
    repeats = sum(cut.withdraw_repeat() for _ in range(1000))
    assert repeats == SETTINGS.worker_repeats
    assert order_policy.WorkerOrders(pool).withdraw_repeat()


def test_the_repeats_of_a_node_that_is_cut_off_are_limited(
    pool: order_policy.PoolOrders,
) -> None:
    repeats = sum(
        order_policy.WorkerOrders(pool).withdraw_repeat() for _ in range(1000)
    )
    assert repeats == SETTINGS.node_repeats


def test_answers_refill_the_budget(pool: order_policy.PoolOrders) -> None:
    worker = order_policy.WorkerOrders(pool)
    while worker.withdraw_repeat():
        pass
    worker.record_answer(0.01)
    repeats = sum(worker.withdraw_repeat() for _ in range(10))
    assert repeats == SETTINGS.repeats_per_answer
