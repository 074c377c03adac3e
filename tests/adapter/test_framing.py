"""Tests of requests with ambiguous framing, by RFC 9112."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import socket
import threading
from typing import Any

import entry
import pytest

from soak import ports


@pytest.fixture
def port() -> Iterator[int]:
    """Runs the callers' server with an application that answers 200."""

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    (number,) = ports.free_ports(1)
    server = entry._build_server((ports.ADDRESS, number), application, 2)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    yield number
    server.stop()
    thread.join(5.0)


def exchange(port: int, head: str, body: str = "") -> bytes:
    """Sends a request and reads until the server closes or 1 s passes."""
    with socket.create_connection((ports.ADDRESS, port), 2.0) as connection:
        connection.settimeout(1.0)
        connection.sendall((head + "\r\n\r\n" + body).encode("latin-1"))
        received = b""
        try:
            while chunk := connection.recv(65_536):
                received += chunk
        except TimeoutError:
            received += b"[still open]"
        return received


def head(*lines: str) -> str:
    return "\r\n".join(("POST /q/1 HTTP/1.1", *lines))


@pytest.mark.parametrize(
    ("request_head", "body"),
    [
        (head("Host: a", "Content-Length: 3", "Content-Length: 5"), "abcde"),
        (
            head("Host: a", "Content-Length: 3", "Transfer-Encoding: chunked"),
            "0\r\n\r\n",
        ),
        (head("Host: a", "Content-Length : 3"), "abc"),
        (head("Content-Length: 3"), "abc"),
        (head("Host: a", "Host: b", "Content-Length: 3"), "abc"),
        (head("Host: a", "Content-Length: +3"), "abc"),
        (head("Host: a", "Content-Length: three"), "abc"),
        (head("Host: a", "Transfer-Encoding: gzip"), "abc"),
    ],
    ids=[
        "two lengths",
        "length and chunks",
        "space before colon",
        "no host",
        "two hosts",
        "signed length",
        "no number",
        "unknown coding",
    ],
)
def test_an_ambiguous_request_is_refused_and_closed(
    port: int, request_head: str, body: str
) -> None:
    answer = exchange(port, request_head, body)
    assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.1 501"))
    assert b"[still open]" not in answer


def test_a_plain_request_is_answered(port: int) -> None:
    answer = exchange(port, head("Host: a", "Content-Length: 3"), "abc")
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"abc[still open]")
