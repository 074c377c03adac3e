"""Tests of HTTP server faults at the HTTP client and the platform link."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import contextlib
import socket
import threading
from typing import NamedTuple

import pytest
from returns import result

from wisteriasill import errors
from wisteriasill import settings as settings_types
from wisteriasill.links import http_client
from wisteriasill.links import platform
from wisteriasill.links import platform_link

Kind = http_client.HttpFaultKind
Serve = Callable[[bytes], str]
OK = b"HTTP/1.1 200 OK\r\n"


class FaultCase(NamedTuple):
    """Bytes that a server sends before it closes, and the client's fault."""

    name: str
    response: bytes
    kind: Kind


FAULTS = (
    FaultCase("close", b"", Kind.NO_ANSWER),
    FaultCase("short", OK + b"Content-Length: 9\r\n\r\nab", Kind.TRUNCATED),
    FaultCase(
        "half-chunk",
        OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
        Kind.TRUNCATED,
    ),
    FaultCase(
        "no-last-chunk",
        OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        Kind.TRUNCATED,
    ),
    FaultCase(
        "bad-chunk",
        OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
        Kind.TRUNCATED,
    ),
    FaultCase("unframed", OK + b"\r\nab", Kind.TRUNCATED),
    FaultCase("half-header", OK + b"Content-Le", Kind.TRUNCATED),
    FaultCase("not-http", b"hello\r\n\r\n", Kind.NO_ANSWER),
    FaultCase(
        "large",
        OK + b"Content-Length: 200\r\n\r\n" + b"a" * 200,
        Kind.TOO_LARGE,
    ),
    FaultCase("silent", b"wait", Kind.TIMED_OUT),
)
CASES = pytest.mark.parametrize("case", FAULTS, ids=lambda case: case.name)


@pytest.fixture
def serve() -> Iterator[Serve]:
    """Serves fixed bytes to one connection; `wait` sends no response."""
    with contextlib.ExitStack() as stack:
        done = threading.Event()
        stack.callback(done.set)

        def start(response: bytes) -> str:
            listener = socket.create_server(("127.0.0.1", 0))
            listener.settimeout(5)
            thread = threading.Thread(
                target=_respond_once, args=(listener, response, done)
            )
            thread.start()
            stack.callback(thread.join, timeout=5)
            stack.callback(done.set)
            return f"http://127.0.0.1:{listener.getsockname()[1]}"

        yield start


def _respond_once(
    listener: socket.socket, response: bytes, done: threading.Event
) -> None:
    with listener, contextlib.suppress(OSError):
        connection, _ = listener.accept()
        with connection:
            connection.settimeout(5)
            connection.recv(65536)
            if response == b"wait":
                done.wait(5)
            else:
                connection.sendall(response)


def link_to(url: str) -> platform_link.PlatformLink:
    return platform_link.PlatformLink(
        settings_types.EntrySettings(
            "entry-1", "kochi-a", url, platform_timeout_seconds=0.3
        )
    )


def call_to(url: str) -> http_client.HttpCall:
    return http_client.HttpCall(
        "POST", url, 0.3, body=b"{}", max_body_bytes=100
    )


@CASES
def test_partial_answer_is_a_fault(serve: Serve, case: FaultCase) -> None:
    """Guards against truncated responses that are accepted as complete."""
    outcome = http_client.HttpClient().call(call_to(serve(case.response)))
    fault = outcome.failure()
    assert (fault.kind, fault.sent) == (case.kind, True)


@CASES
def test_unanswered_platform_write_is_unknown(
    serve: Serve, case: FaultCase
) -> None:
    """Guards against reporting a write that was sent as not executed."""
    link = link_to(serve(case.response))
    outcome = link.table.transact([], [platform.Write("jobs", "x", {})])
    assert outcome.failure().kind is errors.ErrorKind.STORE_OUTCOME_UNKNOWN


@CASES
def test_unanswered_platform_read_is_unavailable(
    serve: Serve, case: FaultCase
) -> None:
    """Guards against reporting a row as missing without a response."""
    outcome = link_to(serve(case.response)).table.read("jobs", "x")
    assert outcome.failure().kind is errors.ErrorKind.STORE_UNAVAILABLE


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (b"503 Busy", errors.ErrorKind.STORE_UNAVAILABLE),
        (b"500 Oops", errors.ErrorKind.STORE_OUTCOME_UNKNOWN),
        (b"409 Conflict", errors.ErrorKind.CONFLICT),
        (b"400 Bad", errors.ErrorKind.PLATFORM_REFUSED),
        (b"200 OK", errors.ErrorKind.STORE_OUTCOME_UNKNOWN),
    ],
)
def test_status_of_platform_write(
    serve: Serve, status: bytes, kind: errors.ErrorKind
) -> None:
    """Only a status that guarantees it may report that nothing was written."""
    response = b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n\r\n[]"
    outcome = link_to(serve(response)).table.transact([], [])
    assert outcome.failure().kind is kind


def test_refused_connection_sends_nothing() -> None:
    """A refused connection is the only fault that rules out any effect."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    fault = http_client.HttpClient().call(call_to(url)).failure()
    assert (fault.kind, fault.sent) == (Kind.NOT_CONNECTED, False)
    outcome = link_to(url).table.transact([], [])
    assert outcome.failure().kind is errors.ErrorKind.STORE_UNAVAILABLE


def test_whole_answers(serve: Serve) -> None:
    """Chunked bodies and header fields of a complete response are read."""
    chunked = OK + b"X-A: b\r\nTransfer-Encoding: chunked\r\n\r\n"
    url = serve(chunked + b"2\r\nab\r\n0\r\n\r\n")
    outcome = http_client.HttpClient().call(call_to(url))
    assert isinstance(outcome, result.Success)
    response = outcome.unwrap()
    assert (response.status, response.body) == (200, b"ab")
    assert response.header("x-a") == "b"


@pytest.mark.parametrize("is_reset", [True, False])
def test_undelivered_bytes_of_a_call_that_timed_out(is_reset: bool) -> None:
    """Without a reset the system delivers them however late."""
    body = b"a" * 100_000
    with socket.socket() as listener:
        # The window is too small for the body.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        settings = http_client.ClientSettings(reset_on_close=is_reset)
        call = http_client.HttpCall("POST", url, 0.3, body=body)
        fault = http_client.HttpClient(settings).call(call).failure()
        connection, _ = listener.accept()
        received = 0
        with connection, contextlib.suppress(ConnectionResetError):
            connection.settimeout(5)
            while chunk := connection.recv(65536):
                received += len(chunk)
    assert fault.kind is Kind.TIMED_OUT
    assert (received < len(body)) is is_reset
