"""Tests of the caller link, from the socket to the back end."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent import futures
import contextlib
import json
import socket
import time

import pytest

from standins import backend as backends
from standins import http_wire
from tests.links import request_fixtures
from wisteriasill import metrics as metric_types
from wisteriasill.links import caller_link
from wisteriasill.links import caller_server
from wisteriasill.links import dispatch


class AlwaysReady:
    """Health of an entry host that is always ready."""

    def not_ready_reason(self) -> str:
        """Returns an empty reason."""
        return ""


@pytest.fixture
def link(dispatcher: dispatch.Dispatcher) -> Iterator[caller_link.CallerLink]:
    started = caller_link.CallerLink(
        request_fixtures.SETTINGS,
        dispatcher,
        AlwaysReady(),
        metric_types.Metrics(),
    )
    started.start()
    yield started
    started.stop(2.0)


def send_and_read(port: int, data: bytes, seconds: float = 4.0) -> bytes:
    """Sends bytes and reads until the server closes the connection."""
    with socket.create_connection(("127.0.0.1", port), seconds) as connection:
        connection.sendall(data)
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
    return b"".join(parts)


def get(path: str, *headers: str) -> bytes:
    lines = [f"GET {path} HTTP/1.1", "Host: x", "Connection: close", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def test_caller_gets_response_to_its_request(
    link: caller_link.CallerLink,
) -> None:
    """A caller must get the response to its request, with its request id."""
    response = send_and_read(
        link.port, get("/quoting/a", "X-Caller: c1", "X-Request-Id: own")
    )
    head, _, body = response.partition(b"\r\n\r\n")
    assert body == http_wire.answer_body("GET", "/quoting/a", "c1", b"")
    assert b"X-Request-Id: own" in head


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        (get("/nowhere"), 404, "unknown-service"),
        (get("/quoting", "X-Deadline-Ms: soon"), 400, "bad-request"),
        (get("/quoting", "X-Long: " + "x" * 20000), 413, "body-too-large"),
        (get("/quoting", "Content-Length: 99999"), 413, "body-too-large"),
        (get("/quoting", "Content-Length: 5"), 408, "bad-request"),
        (b"GET /quoting HTTP/1.1\r\nHost: x\r\n", 408, "bad-request"),
        (b"rubbish\r\n\r\n", 400, "bad-request"),
    ],
)
def test_bad_request_gets_problem(
    link: caller_link.CallerLink, data: bytes, status: int, kind: str
) -> None:
    """Invalid, oversized and incomplete requests must get a problem."""
    head, _, body = send_and_read(link.port, data).partition(b"\r\n\r\n")
    problem = json.loads(body)
    assert int(head.split(b" ")[1]) == status
    assert (problem["kind"], problem["executed"]) == (kind, "no")
    assert b"application/problem+json" in head


def test_slow_sender_is_cut_off(link: caller_link.CallerLink) -> None:
    """A client that sends byte by byte must hit the total read timeout."""
    started_at = time.monotonic()
    with socket.create_connection(("127.0.0.1", link.port), 4.0) as connection:
        for byte in b"GET /quoting HTTP/1.1\r\n":
            try:
                connection.sendall(bytes([byte]))
            except OSError:
                break
            time.sleep(0.1)
        connection.settimeout(2.0)
        try:
            while connection.recv(65536):
                pass
        except ConnectionResetError:
            pass
    assert time.monotonic() - started_at < 3.5


def test_stop_ends_requests_in_progress(
    link: caller_link.CallerLink, two_backends: list[backends.Backend]
) -> None:
    """A stop must not interrupt a request, and must close its connection."""
    keep_alive = b"GET /quoting?work_ms=400 HTTP/1.1\r\nHost: x\r\n\r\n"
    with futures.ThreadPoolExecutor(1) as executor:
        pending = executor.submit(send_and_read, link.port, keep_alive)
        time.sleep(0.2)
        link.stop(3.0)
        head, _, body = pending.result(1.0).partition(b"\r\n\r\n")
    assert body == http_wire.answer_body("GET", "/quoting", "anonymous", b"")
    assert b"Connection: close" in head


def test_pages_of_the_process(link: caller_link.CallerLink) -> None:
    """The pages for the load balancer and for monitoring must exist."""
    for path in ("/healthz", "/readyz", "/metrics"):
        assert send_and_read(link.port, get(path)).startswith(b"HTTP/1.1 200")


def test_busy_server_responds_not_executed(
    dispatcher: dispatch.Dispatcher,
) -> None:
    """With all threads busy, a connection must get a problem document."""
    small_link = caller_link.CallerLink(
        request_fixtures.SETTINGS._replace(caller_threads=1),
        dispatcher,
        AlwaysReady(),
        metric_types.Metrics(),
    )
    small_link.start()
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(small_link.stop, 3.0)
        for _ in range(1 + caller_server.ACCEPTED_QUEUE_PER_THREAD):
            cleanup.enter_context(
                socket.create_connection(("127.0.0.1", small_link.port), 2.0)
            )
            time.sleep(0.05)
        head, _, body = send_and_read(small_link.port, b"").partition(
            b"\r\n\r\n"
        )
    assert b" 503 " in head.splitlines()[0]
    assert b"Retry-After: 1" in head
    assert json.loads(body)["executed"] == "no"


@pytest.mark.parametrize(
    "header", ["Idempotency-Key: caf\xe9", "X-Caller: caf\xe9"]
)
def test_non_ascii_header_value_is_bad_request(
    link: caller_link.CallerLink, header: str
) -> None:
    """Header values that are not ASCII must be rejected with a 400.

    They would otherwise fail later, with an unknown outcome.
    """
    data = (
        "POST /certificates/issue HTTP/1.1\r\nHost: x\r\n"
        f"Connection: close\r\nContent-Length: 2\r\n{header}\r\n\r\nok"
    ).encode("latin-1")
    response = send_and_read(link.port, data)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert b"executed: no" in response.lower()


def test_oversized_body_gets_readable_response(
    link: caller_link.CallerLink,
) -> None:
    """A 413 must arrive, although the caller is still sending its body.

    Closing the connection with unread bytes would reset it.
    """
    size = 20_000_000
    head = (
        "POST /certificates/issue HTTP/1.1\r\nHost: x\r\n"
        f"Connection: close\r\nContent-Length: {size}\r\n\r\n"
    ).encode()
    response = send_and_read(link.port, head + b"x" * size)
    assert response.startswith(b"HTTP/1.1 413 ")
