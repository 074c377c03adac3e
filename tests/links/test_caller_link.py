"""Tests of the callers' server, from socket to back end."""

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
    """Health of an entry host that is ready."""

    def ready(self) -> str:
        """Returns no reason against it."""
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


def converse(port: int, data: bytes, seconds: float = 4.0) -> bytes:
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


def test_caller_gets_whole_own_answer(link: caller_link.CallerLink) -> None:
    """A caller must get the answer to its own request and its own id."""
    answer = converse(
        link.port, get("/quoting/a", "X-Caller: c1", "X-Request-Id: own")
    )
    head, _, body = answer.partition(b"\r\n\r\n")
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
    """Broken, oversized and unfinished requests must not reach a target."""
    head, _, body = converse(link.port, data).partition(b"\r\n\r\n")
    problem = json.loads(body)
    assert int(head.split(b" ")[1]) == status
    assert (problem["kind"], problem["executed"]) == (kind, "no")
    assert b"application/problem+json" in head


def test_slow_sender_is_cut_off(link: caller_link.CallerLink) -> None:
    """One byte at a time must not hold a thread past the total time."""
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
    """A planned stop must not cut off a request, and must say close."""
    keep_alive = b"GET /quoting?work_ms=400 HTTP/1.1\r\nHost: x\r\n\r\n"
    with futures.ThreadPoolExecutor(1) as executor:
        pending = executor.submit(converse, link.port, keep_alive)
        time.sleep(0.2)
        link.stop(3.0)
        head, _, body = pending.result(1.0).partition(b"\r\n\r\n")
    assert body == http_wire.answer_body("GET", "/quoting", "anonymous", b"")
    assert b"Connection: close" in head


def test_pages_of_the_process(link: caller_link.CallerLink) -> None:
    """Balancer and monitoring must find their pages."""
    for path in ("/healthz", "/readyz", "/metrics"):
        assert converse(link.port, get(path)).startswith(b"HTTP/1.1 200")


def test_full_server_says_not_executed(
    dispatcher: dispatch.Dispatcher,
) -> None:
    """A connection without a thread must get a problem, not plain text."""
    small = caller_link.CallerLink(
        request_fixtures.SETTINGS._replace(caller_threads=1),
        dispatcher,
        AlwaysReady(),
        metric_types.Metrics(),
    )
    small.start()
    with contextlib.ExitStack() as silent:
        silent.callback(small.stop, 3.0)
        for _ in range(1 + caller_server.ACCEPTED_QUEUE_PER_THREAD):
            silent.enter_context(
                socket.create_connection(("127.0.0.1", small.port), 2.0)
            )
            time.sleep(0.05)
        head, _, body = converse(small.port, b"").partition(b"\r\n\r\n")
    assert b" 503 " in head.splitlines()[0]
    assert b"Retry-After: 1" in head
    assert json.loads(body)["executed"] == "no"


@pytest.mark.parametrize(
    "header", ["Idempotency-Key: caf\xe9", "X-Caller: caf\xe9"]
)
def test_header_values_beyond_ascii_are_the_callers_error(
    link: caller_link.CallerLink, header: str
) -> None:
    """Such a value would fail later on, as if the request might have run."""
    data = (
        "POST /certificates/issue HTTP/1.1\r\nHost: x\r\n"
        f"Connection: close\r\nContent-Length: 2\r\n{header}\r\n\r\nok"
    ).encode("latin-1")
    answer = converse(link.port, data)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"executed: no" in answer.lower()


def test_a_body_far_too_large_gets_a_readable_answer(
    link: caller_link.CallerLink,
) -> None:
    """Closing with unread bytes would reset the connection."""
    size = 20_000_000
    head = (
        "POST /certificates/issue HTTP/1.1\r\nHost: x\r\n"
        f"Connection: close\r\nContent-Length: {size}\r\n\r\n"
    ).encode()
    answer = converse(link.port, head + b"x" * size)
    assert answer.startswith(b"HTTP/1.1 413 ")
