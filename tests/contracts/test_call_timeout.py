"""Tests of timeouts that follow measured response times."""

from __future__ import annotations

import pytest

from wisteriasill.contracts import call_timeout


@pytest.fixture
def timeout() -> call_timeout.CallTimeout:
    return call_timeout.CallTimeout(0.25, 1.5)


def test_a_fast_store_gets_the_shortest_timeout(
    timeout: call_timeout.CallTimeout,
) -> None:
    for _ in range(20):
        timeout.record_response(0.01)
    assert timeout.seconds == 0.25


def test_a_lost_answer_costs_less_than_the_objective_of_a_short_job(
    timeout: call_timeout.CallTimeout,
) -> None:
    """A third of the answers is lost; four in a row once in eighty calls."""
    waited = 0.0
    for _ in range(3):
        waited += timeout.seconds
        timeout.record_timeout()
    assert waited <= 1.8
    timeout.record_response(0.01)
    assert timeout.seconds == 0.25


def test_a_slow_store_gets_a_longer_timeout(
    timeout: call_timeout.CallTimeout,
) -> None:
    for _ in range(3):
        timeout.record_timeout()
    for _ in range(20):
        timeout.record_response(0.6)
    assert 0.6 < timeout.seconds < 1.2


def test_the_timeout_stays_within_its_bounds(
    timeout: call_timeout.CallTimeout,
) -> None:
    for _ in range(50):
        timeout.record_timeout()
    assert timeout.seconds == 1.5
    timeout.record_response(60.0)
    assert timeout.seconds == 1.5
