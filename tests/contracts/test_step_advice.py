"""Tests of whom a call for advice names, and of its pace."""

from __future__ import annotations

import itertools

import pytest

from wisteriasill.contracts import step_advice

WORKERS = [f"w{number}" for number in range(5)]


@pytest.fixture
def advice() -> step_advice.StepAdvice:
    return step_advice.StepAdvice()


@pytest.fixture
def pacing() -> step_advice.CallPacing:
    return step_advice.CallPacing(draw=lambda: 0.5)


def test_each_call_names_workers_that_no_call_has_named(
    advice: step_advice.StepAdvice,
) -> None:
    assert advice.workers_to_name(WORKERS, 2, 0.0) == ["w0", "w1"]
    advice.record(["w0", "w1"], {"w1": "t"}, 3.0, 0.0)
    assert advice.workers_to_name(WORKERS, 2, 0.0) == ["w2", "w3"]
    advice.record(["w2", "w3"], {}, 3.0, 0.0)
    assert advice.workers_to_name(WORKERS, 2, 0.0) == ["w4"]
    assert [*advice.permitted(2.9)] == ["w1"]


def test_expired_tickets_are_renewed_first(
    advice: step_advice.StepAdvice,
) -> None:
    advice.record(["w0", "w1"], {"w1": "t"}, 3.0, 0.0)
    assert not advice.permitted(3.0)
    assert advice.workers_to_name(WORKERS, 2, 3.0) == ["w1", "w2"]


def test_workers_that_may_not_run_a_step_are_named_again_if_none_may(
    advice: step_advice.StepAdvice,
) -> None:
    advice.record(WORKERS, {}, 3.0, 0.0)
    assert not advice.workers_to_name(WORKERS, 2, 2.9)
    assert advice.workers_to_name(WORKERS, 2, 3.0) == ["w0", "w1"]


def test_advice_without_a_ticket_is_wanted_still(
    advice: step_advice.StepAdvice,
) -> None:
    advice.record(["w0"], {}, 3.0, 0.0)
    assert advice.is_wanted
    advice.record(["w1"], {"w1": "t"}, 3.0, 0.0)
    assert not advice.is_wanted


def test_a_new_incarnation_is_asked_about_again(
    advice: step_advice.StepAdvice,
) -> None:
    """A ticket is valid during one life of its worker only."""
    advice.record(["w0"], {"w0": "t"}, 3.0, 0.0)
    advice.forget("w0")
    assert not advice.ticket("w0")
    assert advice.workers_to_name(["w0"], 2, 0.0) == ["w0"]


def test_a_refused_ticket_is_renewed(advice: step_advice.StepAdvice) -> None:
    advice.record(["w0"], {"w0": "t"}, 3.0, 0.0)
    advice.expire()
    assert not advice.permitted(1.0)
    assert advice.workers_to_name(["w0"], 2, 1.0) == ["w0"]


def test_calls_without_an_answer_get_more_time(
    pacing: step_advice.CallPacing,
) -> None:
    """A service slower than its queue declares must be waited for."""
    waits = []
    for _ in range(6):
        waits.append(pacing.timeout_seconds(1.0))
        pacing.record_failure(answered=False)
    assert waits == [3.0, 5.0, 9.0, 9.0, 9.0, 9.0]
    pacing.record_answer()
    assert pacing.timeout_seconds(1.0) == 3.0


def test_pauses_grow_with_each_failure(pacing: step_advice.CallPacing) -> None:
    """Guards against a service that is asked again at once for ever."""
    pauses = [pacing.record_failure(answered=True) for _ in range(8)]
    assert pauses[:3] == [0.1, 0.2, 0.4]
    assert pauses[-1] == 2.0
    assert all(first <= later for first, later in itertools.pairwise(pauses))
    # A refusal says nothing about the time of a call.
    assert pacing.timeout_seconds(1.0) == 3.0
    pacing.record_answer()
    assert pacing.record_failure(answered=True) == 0.1
