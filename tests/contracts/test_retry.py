"""Tests of retries, ejection and routing."""

from __future__ import annotations

import pytest
from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.contracts import exchange
from wisteriasill.contracts import retry
from wisteriasill.contracts import routing
from wisteriasill.contracts import service as services
from wisteriasill.machines import target as targets

KINDS = errors.ErrorKind
FAILED = errors.failure(KINDS.TARGET_FAILED, "x")
REFUSED = errors.failure(KINDS.TARGET_REFUSED, "x")
UNREACHABLE = errors.failure(KINDS.TARGET_UNREACHABLE, "x")
POOL = ["h1", "h2", "h3", "h4"]


@pytest.mark.parametrize(
    ("failure", "repeatable", "allowed"),
    [
        (FAILED, True, True),
        (FAILED, False, False),
        (REFUSED, False, True),
        (UNREACHABLE, False, True),
        (UNREACHABLE._replace(executed=errors.Executed.UNKNOWN), False, False),
        (errors.failure(KINDS.OVERLOADED, "x"), True, False),
    ],
)
def test_repeatable_failures(
    failure: errors.Failure, repeatable: bool, allowed: bool
) -> None:
    """Guards against retries that could execute a request twice."""
    assert retry.may_repeat(failure, repeatable) is allowed


def test_budget_limits_retries_to_a_share(
    manual_clock: clocks.ManualClock,
) -> None:
    """Guards against retries that multiply the load when all requests fail."""
    budget = retry.RetryBudget(manual_clock)
    allowed = 0
    for _ in range(1000):
        manual_clock.advance(0.01)
        budget.deposit()
        allowed += budget.withdraw(FAILED)
    assert 100 <= allowed <= 125


@pytest.mark.parametrize(
    ("remaining_seconds", "typical_seconds", "may_retry", "attempt_seconds"),
    [(2.0, 0.05, True, 1.0), (2.0, 0.05, False, 2.0), (0.4, 0.2, True, 0.4)],
)
def test_deadline_of_an_attempt(
    remaining_seconds: float,
    typical_seconds: float,
    may_retry: bool,
    attempt_seconds: float,
) -> None:
    """Guards against late attempts that time out and waste a slot."""
    end = retry.attempt_deadline(
        10.0, 10.0 + remaining_seconds, typical_seconds, may_retry
    )
    assert end == pytest.approx(10.0 + attempt_seconds)


def fail(
    pool_targets: targets.Targets, host_id: str, verdict: targets.AttemptOutcome
) -> int:
    """Fails attempts until the target is ejected; returns how many."""
    for number in range(1, 11):
        pool_targets.begin(host_id)
        pool_targets.end(host_id, verdict, POOL)
        if not pool_targets.is_available(host_id, True):
            return number
    return 0


def test_ejection_and_single_trial(manual_clock: clocks.ManualClock) -> None:
    """Guards against a failing target that gets load or is never readmitted."""
    pool_targets = targets.Targets(manual_clock)
    assert fail(pool_targets, "h1", targets.AttemptOutcome.FAILURE) == 3
    manual_clock.advance(targets.FIRST_EJECTION_SECONDS)
    assert not pool_targets.is_available("h1", False)
    assert pool_targets.begin("h1")
    assert not pool_targets.begin("h1")
    pool_targets.end("h1", targets.AttemptOutcome.FAILURE, POOL)
    manual_clock.advance(targets.FIRST_EJECTION_SECONDS)
    assert not pool_targets.is_available("h1", True)
    manual_clock.advance(targets.FIRST_EJECTION_SECONDS)
    assert pool_targets.begin("h1")
    pool_targets.end("h1", targets.AttemptOutcome.SUCCESS, POOL)
    assert pool_targets.is_offered("h1", False)


def test_at_most_half_of_a_pool_is_ejected(
    manual_clock: clocks.ManualClock,
) -> None:
    """Guards against a request that ejects the whole pool.

    Such a request fails on every target.
    """
    pool_targets = targets.Targets(manual_clock)
    ejected = [
        fail(pool_targets, name, targets.AttemptOutcome.FAILURE)
        for name in POOL
    ]
    assert ejected == [3, 3, 0, 0]
    assert fail(pool_targets, "h3", targets.AttemptOutcome.CONNECT_FAILED) == 1


def test_refusal_is_honoured_and_capped(
    manual_clock: clocks.ManualClock,
) -> None:
    """Guards against a Retry-After that excludes a worker for hours."""
    pool_targets = targets.Targets(manual_clock)
    pool_targets.refused("h1", 3600)
    assert not pool_targets.is_offered("h1", True)
    manual_clock.advance(targets.MAX_REFUSAL_SECONDS)
    assert pool_targets.is_offered("h1", True)


POOL_CONTRACT = services.PoolContract(2, 1, 16, 64, 8, 64)
SERVICES = {
    name: services.Service(
        name,
        "team",
        POOL_CONTRACT,
        prefix,
        (
            services.RequestClass("read"),
            services.RequestClass("order", "/orders", ("POST",)),
        ),
    )
    for name, prefix in (("shop", "/shop"), ("shop-eu", "/shop/eu"))
}


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/shop", "shop read"),
        ("HEAD", "/shop/a", "shop read"),
        ("POST", "/shop/orders/1", "shop order"),
        ("GET", "/shop/orders/1", "shop read"),
        ("GET", "/shop/eu/x", "shop-eu read"),
        ("GET", "/shop/europe", "shop read"),
        ("GET", "/shopping", "unknown-service"),
        ("DELETE", "/shop", "method-not-allowed"),
    ],
)
def test_route(method: str, path: str, expected: str) -> None:
    """The longest prefix matches, by whole path segments only."""
    outcome = routing.find_route(SERVICES, exchange.CallerRequest(method, path))
    if isinstance(outcome, result.Success):
        route = outcome.unwrap()
        assert f"{route.service.name} {route.request_class.name}" == expected
    else:
        assert outcome.failure().kind == expected
