"""Tests of the operator interface over HTTP."""

from __future__ import annotations

from concurrent import futures
import json
import socket
import time
from typing import Any, NamedTuple
import uuid

import pytest
from returns import result

from tests import operator_site
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import orders
from wisteriasill.links import http_client
from wisteriasill.links import operator_client
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

TOKEN = operator_site.TOKEN


@pytest.fixture
def client(
    operators: operator_site.OperatorSite,
) -> operator_client.OperatorClient:
    return operator_client.OperatorClient(operators.url, TOKEN)


def order(**changes: Any) -> dict[str, Any]:
    return {
        "order_id": str(uuid.uuid4()),
        "kind": "drain",
        "subject": "cutting-1",
        "author": "bia",
        **changes,
    }


class BadRequest(NamedTuple):
    """A request that must be rejected, and the expected problem."""

    method: str
    path: str
    status: int
    kind: str
    detail_text: str
    body: bytes | None = None
    authorization: str = f"Bearer {TOKEN}"


BAD_REQUESTS = [
    BadRequest("GET", "/v1/status", 401, "unauthorized", "", authorization=""),
    BadRequest(
        "GET", "/v1/status", 401, "unauthorized", "", authorization="Bearer x"
    ),
    BadRequest("GET", "/v1/stauts", 404, "not-found", "/v1/status"),
    BadRequest("GET", "/", 404, "not-found", "/"),
    BadRequest("POST", "/v1/status", 405, "method-not-allowed", "GET", b"{}"),
    BadRequest("DELETE", "/v1/orders", 405, "method-not-allowed", "POST"),
    BadRequest("GET", "/v1/hosts?pol=x", 400, "bad-request", '"pool"'),
    BadRequest("GET", "/v1/events?after=-1", 400, "bad-request", "after"),
    BadRequest("GET", "/v1/events?after=x", 400, "bad-request", "after"),
    BadRequest("GET", "/v1/orders/nothing", 404, "not-found", "nothing"),
    BadRequest("POST", "/v1/orders", 400, "bad-request", "JSON", b"{"),
    BadRequest("POST", "/v1/orders", 400, "bad-request", "object", b"[]"),
    BadRequest(
        "POST", "/v1/orders", 400, "bad-request", "JSON", b"[" * 100_000
    ),
    BadRequest(
        "POST",
        "/v1/orders",
        400,
        "bad-request",
        "kind",
        json.dumps(order(kind="explode")).encode(),
    ),
    BadRequest(
        "POST",
        "/v1/orders",
        400,
        "bad-request",
        "order_id",
        json.dumps(order(order_id="../x")).encode(),
    ),
    BadRequest(
        "POST",
        "/v1/orders",
        404,
        "not-found",
        '"cutting-1"',
        json.dumps(order(subject="cuting-1")).encode(),
    ),
    BadRequest(
        "POST",
        "/v1/orders",
        404,
        "not-found",
        '"quoting"',
        json.dumps(order(kind="move", pool="quotin")).encode(),
    ),
    BadRequest(
        "POST",
        "/v1/orders",
        400,
        "bad-request",
        "already",
        json.dumps(order(kind="move", pool="cutting")).encode(),
    ),
    BadRequest(
        "POST",
        "/v1/configuration",
        400,
        "bad-request",
        "author",
        b'{"documents": {}, "base_generation": 1}',
    ),
    BadRequest(
        "POST",
        "/v1/configuration",
        422,
        "invalid-configuration",
        "nowhere",
        b'{"documents": {"nowhere": {}}, "base_generation": 1, "author": "b"}',
    ),
    BadRequest(
        "POST", "/v1/orders", 413, "body-too-large", "", b" " * 1_100_000
    ),
]


@pytest.mark.parametrize("bad", BAD_REQUESTS, ids=lambda bad: bad.path)
def test_bad_request_is_a_problem(
    operators: operator_site.OperatorSite, bad: BadRequest
) -> None:
    """The problem must describe the error, and nothing may change."""
    rows = dict(operators.platform.rows)
    response = (
        http_client.HttpClient()
        .call(
            http_client.HttpCall(
                bad.method,
                operators.url + bad.path,
                5.0,
                (("Authorization", bad.authorization),),
                bad.body,
            )
        )
        .unwrap()
    )
    problem = json.loads(response.body)
    assert (response.status, problem["kind"]) == (bad.status, bad.kind)
    assert problem["executed"] == "no"
    assert bad.detail_text in problem["detail"]
    assert operators.platform.rows == rows
    assert bad.status != 405 or bad.detail_text in (
        response.header("allow") or ""
    )


def test_token_is_never_logged(
    operators: operator_site.OperatorSite,
) -> None:
    """Tokens must not be logged, not even rejected ones.

    A rejected token may be a mistyped valid one.
    """
    secret = "almost-the-token"
    unauthorized_client = operator_client.OperatorClient(operators.url, secret)
    assert unauthorized_client.get("/v1/status").failure().kind is (
        errors.ErrorKind.UNAUTHORIZED
    )
    logged = repr(events.RECENT.after(0))
    assert secret not in logged
    assert TOKEN not in logged


def test_without_a_token_loopback_may_only_read() -> None:
    """Without an operator token, a site must be read-only."""
    with operator_site.running(token="") as site:
        client = operator_client.OperatorClient(site.url)
        assert client.get("/v1/status").unwrap()["generation"] == 1
        refused = client.post("/v1/orders", order()).failure()
        assert refused.kind is errors.ErrorKind.UNAUTHORIZED


def test_repeated_order_is_the_same_order(
    operators: operator_site.OperatorSite,
    client: operator_client.OperatorClient,
) -> None:
    """A retry after the host has moved must not create a second order."""
    request = order()
    first = client.post("/v1/orders", request).unwrap()
    known_host = operators.site.snapshot.hosts_by_id["cutting-1"].host
    operators.site.update_hosts(
        [sites.KnownHost(known_host._replace(pool="quoting"), 2)]
    )
    assert client.post("/v1/orders", request).unwrap() == first
    assert client.get(f"/v1/orders/{first['order_id']}").unwrap() == first
    reused = client.post("/v1/orders", {**request, "subject": "cutting-2"})
    assert reused.failure().kind is errors.ErrorKind.CONFLICT
    tables = [table for table, _ in operators.platform.rows]
    assert tables.count(orders.TABLE) == 1


@pytest.mark.parametrize("lost", ["lost-before", "lost-after"])
def test_order_can_be_retried_after_lost_response(
    operators: operator_site.OperatorSite,
    client: operator_client.OperatorClient,
    lost: str,
) -> None:
    """A lost response of the store must not lose or duplicate an order."""
    operators.platform.script = [lost]
    request = order()
    match client.post("/v1/orders", request):
        case result.Failure(failure):
            assert lost == "lost-before"
            assert failure.executed is errors.Executed.UNKNOWN
    assert client.post("/v1/orders", request).unwrap()["state"] == "pending"
    tables = [table for table, _ in operators.platform.rows]
    assert tables.count(orders.TABLE) == 1


def test_store_outage_is_reported_with_last_known_state(
    operators: operator_site.OperatorSite,
    client: operator_client.OperatorClient,
) -> None:
    """During a store outage, operators must get the last known state."""
    operators.site.confirm("hosts")
    assert client.get("/v1/waves").unwrap()["waves"] == []
    operators.platform.down = True
    status = client.get("/v1/status").unwrap()
    assert status["store"] == {"reachable": False, "detail": "scripted"}
    assert status["age_seconds"]["hosts"] >= 0
    assert status["age_seconds"]["members"] is None
    assert len(status["pools"]) == 5
    waves = client.get("/v1/waves").unwrap()
    assert waves["store"]["reachable"] is False
    refused = client.post("/v1/orders", order()).failure()
    assert refused.kind is errors.ErrorKind.STORE_UNAVAILABLE
    assert refused.executed is errors.Executed.NO


def test_views_show_pools_hosts_and_plan(
    operators: operator_site.OperatorSite,
    client: operator_client.OperatorClient,
) -> None:
    """Field names and values must stay stable for operators' scripts."""
    known_host = operators.site.snapshot.hosts_by_id["swatches-0"]
    away = known_host.host._replace(state=hosts.HostState.REBOOTING)
    operators.site.update_hosts([sites.KnownHost(away, 2)])
    pools = client.get("/v1/status").unwrap()["pools"]
    assert pools[-1] == {
        "pool": "swatches",
        "hosts": 6,
        "hosts_promised": 6,
        "hosts_usable": 5,
        "hosts_always_usable": 4,
        "hosts_by_state": {"serving": 5, "rebooting": 1},
        "hosts_spare": 1,
        "spare": False,
    }
    rebooting = client.get("/v1/hosts", pool="swatches", state="rebooting")
    assert [host["host_id"] for host in rebooting.unwrap()["hosts"]] == [
        "swatches-0"
    ]
    plan = client.get("/v1/plan").unwrap()["pools"][-1]
    assert plan["hosts_away_at_once"] == 2
    assert plan["host_moves"] == 0
    configuration = client.get("/v1/configuration").unwrap()
    site = configuration["documents"][-3]
    assert (site["name"], site["document"]["name"]) == ("site", "mandacaru")


def test_publish_over_http(
    operators: operator_site.OperatorSite,
    client: operator_client.OperatorClient,
) -> None:
    """A publish must reach the store, and a conflicting one must fail."""
    service = operators.site.snapshot.configuration.services_by_name["cutting"]
    changed = service._replace(
        pool=service.pool._replace(maintenance_minutes=25)
    )
    change = {
        "documents": {"cutting": documents.encode(changed)},
        "author": "bia",
        "base_generation": 1,
    }
    assert client.post("/v1/configuration", change).unwrap()["generation"] == 2
    stale = documents.encode(changed)
    stale["pool"]["maintenance_minutes"] = 40
    refused = client.post(
        "/v1/configuration", {**change, "documents": {"cutting": stale}}
    ).failure()
    assert refused.kind is errors.ErrorKind.CONFIGURATION_CONFLICT
    assert "bia" in refused.detail


def test_events_are_followed_with_a_bounded_wait(
    client: operator_client.OperatorClient,
) -> None:
    """A waiting client must get an event at once and never hang."""
    newest = client.get("/v1/events").unwrap()["events"][-1]["sequence"]
    with futures.ThreadPoolExecutor(1) as executor:
        waiting_client = executor.submit(
            client.get, "/v1/events", after=newest, wait_seconds=5
        )
        time.sleep(0.1)
        events.log(events.Event.MEMBER_JOINED, "Member joined", member="x")
        received_events = waiting_client.result(timeout=4).unwrap()["events"]
    assert [event["event"] for event in received_events] == [202]
    assert received_events[0]["fields"] == {"member": "x"}
    empty = client.get(
        "/v1/events", after=received_events[0]["sequence"], wait_seconds=0.05
    )
    assert empty.unwrap()["events"] == []


def test_events_restart_after_restart_of_process() -> None:
    """After a restart of the entry host, clients must get all events.

    They must not wait for the sequence numbers of the earlier process.
    """
    ring = events.EventBuffer(size=2)
    for number in range(3):
        ring.add(events.Event.STARTED, "started", "INFO", {"n": number})
    assert [event.sequence for event in ring.after(0)] == [2, 3]
    assert [event.sequence for event in ring.after(99)] == [2, 3]


@pytest.mark.parametrize(
    "head",
    [
        b"GET /v1/status HTTP/1.1\r\nHost: x\r\nX-Slow: ",
        b"POST /v1/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        + TOKEN.encode()
        + b"\r\nContent-Length: 100\r\n\r\n",
    ],
    ids=["headers", "body"],
)
def test_slow_sender_is_cut_off(
    operators: operator_site.OperatorSite, head: bytes
) -> None:
    """A client that sends single bytes must not hold a thread for ever."""
    started_at = time.monotonic()
    with socket.create_connection(("127.0.0.1", operators.port)) as sender:
        sender.sendall(head)
        sender.settimeout(0.1)
        received = b""
        while time.monotonic() - started_at < 4 and not received:
            try:
                sender.sendall(b"x")
                received = sender.recv(4096)
            except TimeoutError:
                continue
            except OSError:
                break
    assert time.monotonic() - started_at < 3
    assert received == b"" or received.startswith(b"HTTP/1.1 408")


def test_too_many_headers_are_refused(
    operators: operator_site.OperatorSite,
) -> None:
    """The header section of a request must be limited."""
    outcome = http_client.HttpClient().call(
        http_client.HttpCall(
            "GET", operators.url + "/v1/status", 5.0, (("X", "y" * 20_000),)
        )
    )
    match outcome:
        case result.Success(refused):
            assert refused.status in (400, 413, 431)
