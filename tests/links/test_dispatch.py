"""Tests of back-end faults as the dispatcher and the target link see them."""

from __future__ import annotations

from collections.abc import Iterator
import time

import pytest
from returns import result

from standins import backend as backends
from standins import backend_records as records
from standins import http_wire
from tests.links import request_fixtures
from wisteriasill import errors
from wisteriasill.contracts import exchange
from wisteriasill.links import dispatch
from wisteriasill.links import target_link
from wisteriasill.links import target_response
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

KINDS = errors.ErrorKind
FAULTS = {
    "refuse": records.Faults(refuse=True),
    "fail": records.Faults(fail=True),
    "hang": records.Faults(hang=True),
    "short": records.Faults(truncate="length"),
    "chunk": records.Faults(truncate="chunk"),
    "late": records.Faults(late_seconds=2.0),
    "mixed": records.Faults(mixed=True),
}


def request(
    method: str = "GET", path: str = "/quoting/a", key: str = ""
) -> exchange.CallerRequest:
    headers = (("Idempotency-Key", key),) if key else ()
    return exchange.CallerRequest(
        method,
        path,
        headers=headers,
        body=b"{}" if method == "POST" else b"",
        idempotency_key=key,
        deadline_ms=600,
        received_at=time.monotonic(),
    )


def expected_body(sent: exchange.CallerRequest) -> bytes:
    return http_wire.answer_body(
        sent.method, sent.path, exchange.ANONYMOUS_CALLER, sent.body
    )


@pytest.fixture
def link() -> Iterator[target_link.TargetLink]:
    opened = target_link.TargetLink(request_fixtures.SETTINGS)
    yield opened
    opened.close()


def send(
    link: target_link.TargetLink,
    target: hosts.Host,
    fresh: bool = False,
    limit: int = 1,
) -> target_response.Outcome:
    return link.send(
        target,
        request(),
        target_response.Attempt(
            f"id-{time.monotonic_ns()}", time.monotonic() + 0.3, fresh, limit
        ),
    )


@pytest.mark.parametrize(
    ("fault", "kind", "executed"),
    [
        ("refuse", KINDS.TARGET_REFUSED, "no"),
        ("hang", KINDS.DEADLINE_EXCEEDED, "unknown"),
        ("short", KINDS.ANSWER_TRUNCATED, "unknown"),
        ("chunk", KINDS.ANSWER_TRUNCATED, "unknown"),
        ("late", KINDS.DEADLINE_EXCEEDED, "unknown"),
        ("mixed", KINDS.ANSWER_MISMATCHED, "unknown"),
        ("stopped", KINDS.TARGET_UNREACHABLE, "no"),
    ],
)
def test_fault_of_target(
    link: target_link.TargetLink,
    two_backends: list[backends.Backend],
    fault: str,
    kind: errors.ErrorKind,
    executed: str,
) -> None:
    """Faulty replies must fail, and `executed: no` must be true."""
    backend = two_backends[0]
    target = request_fixtures.host_row(backend, "h1")
    if fault == "stopped":
        backend.stop()
    else:
        backend.faults = FAULTS[fault]
    outcome = send(link, target)
    assert isinstance(outcome, result.Failure)
    failure = outcome.failure()
    assert (failure.kind, failure.executed) == (kind, executed)
    assert link.open_connections(target.address) == 0


def test_connections_are_bounded_and_reused(
    link: target_link.TargetLink, two_backends: list[backends.Backend]
) -> None:
    """Reuse must respect the connection limit.

    Requests that must run at most once need a new connection.
    """
    target = request_fixtures.host_row(two_backends[0], "h1")
    for fresh in (False, False, True, False):
        outcome = send(link, target, fresh)
        assert isinstance(outcome, result.Success)
    assert link.open_connections(target.address) == 1
    assert two_backends[0].report().max_connections <= 2


def test_unresponsive_connection_is_replaced(
    link: target_link.TargetLink, two_backends: list[backends.Backend]
) -> None:
    """A timeout on a silent connection must not affect the next request."""
    target = request_fixtures.host_row(two_backends[0], "h1")
    assert isinstance(send(link, target), result.Success)
    assert two_backends[0].silence_connections() == 1
    assert isinstance(send(link, target), result.Failure)
    assert isinstance(send(link, target), result.Success)


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_repeatable_request_is_retried_on_another_worker(
    dispatcher: dispatch.Dispatcher,
    two_backends: list[backends.Backend],
    fault: str,
) -> None:
    """One faulty worker of two must not fail repeatable requests."""
    two_backends[0].faults = FAULTS[fault]
    for _ in range(3):
        sent = request()
        outcome = dispatcher.handle(sent)
        assert isinstance(outcome, result.Success)
        assert outcome.unwrap().body == expected_body(sent)


@pytest.mark.parametrize(
    ("fault", "executed", "calls"),
    [
        ("", "", ["claim", "finish"]),
        ("refuse", "", ["claim", "finish"]),
        ("fail", "", ["claim", "finish"]),
        ("hang", "unknown", ["claim", "mark_unknown"]),
        ("short", "unknown", ["claim", "mark_unknown"]),
        ("mixed", "unknown", ["claim", "mark_unknown"]),
        ("all refuse", "no", ["claim", "release"]),
    ],
)
def test_request_that_must_not_be_repeated(
    dispatcher: dispatch.Dispatcher,
    two_backends: list[backends.Backend],
    idempotency: request_fixtures.MemoryIdempotency,
    fault: str,
    executed: str,
    calls: list[str],
) -> None:
    """The request must run at most once, with an accurate record."""
    two_backends[0].faults = FAULTS.get(fault, records.NO_FAULTS)
    if fault == "all refuse":
        for backend in two_backends:
            backend.begin_drain()
    outcome = dispatcher.handle(request("POST", "/quoting/orders", "k1"))
    reported_executed = ""
    if isinstance(outcome, result.Failure):
        reported_executed = outcome.failure().executed
    assert (reported_executed, idempotency.calls) == (executed, calls)
    runs = sum(len(backend.report().executions) for backend in two_backends)
    assert runs == (0 if fault == "all refuse" else 1)


def test_key_is_required_and_reply_repeated(
    dispatcher: dispatch.Dispatcher, two_backends: list[backends.Backend]
) -> None:
    """A retry must get the recorded reply without another execution."""
    without_key = dispatcher.handle(request("POST", "/quoting/orders"))
    assert without_key.failure().kind is KINDS.KEY_MISSING
    first, second = (
        dispatcher.handle(request("POST", "/quoting/orders", "k1"))
        for _ in range(2)
    )
    assert first == second
    assert (
        sum(len(backend.report().executions) for backend in two_backends) == 1
    )


def test_draining_host_gets_no_requests(
    dispatcher: dispatch.Dispatcher,
    worker_site: sites.Site,
    two_backends: list[backends.Backend],
) -> None:
    """Hosts known to be draining must not receive new requests."""
    worker_site.mark_departing("h1", hosts.HostState.DRAINING, 2)
    for _ in range(5):
        assert isinstance(dispatcher.handle(request()), result.Success)
    assert two_backends[0].report().executions == ()
    worker_site.mark_departing("h2", hosts.HostState.DRAINING, 2)
    assert dispatcher.handle(request()).failure().kind is KINDS.NO_CAPACITY


def test_broken_target_is_ejected_and_readmitted(
    dispatcher: dispatch.Dispatcher, two_backends: list[backends.Backend]
) -> None:
    """A failing worker must be ejected, and readmitted after recovery."""
    two_backends[0].faults = FAULTS["fail"]
    for _ in range(12):
        dispatcher.handle(request())
    assert len(two_backends[0].report().executions) <= 4
    two_backends[0].faults = records.NO_FAULTS
    ends_at = time.monotonic() + 3.0
    while time.monotonic() < ends_at:
        dispatcher.handle(request())
        time.sleep(0.02)
    assert len(two_backends[0].report().executions) > 20
