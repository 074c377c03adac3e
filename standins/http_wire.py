"""Minimal encoding of HTTP/1.1 for the back end.

A server library would not allow the faults that the back end produces, such
as a body that is shorter than its Content-Length.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from wisteriasill.contracts import exchange

MAX_BODY_BYTES = 64 * 1024 * 1024


class WireRequest(NamedTuple):
    """A request as read from the connection; header names in lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Id of the attempt."""
        return self.headers.get(exchange.REQUEST_ID_HEADER.lower(), "")

    @property
    def idempotency_key(self) -> str:
        """Idempotency key of the caller; empty for none."""
        return self.headers.get(exchange.IDEMPOTENCY_KEY_HEADER.lower(), "")

    @property
    def caller(self) -> str:
        """Name of the caller."""
        return self.headers.get(
            exchange.CALLER_HEADER.lower(), exchange.ANONYMOUS_CALLER
        )


def answer_body(method: str, path: str, caller: str, body: bytes) -> bytes:
    """Builds the response body, which is specific to the request.

    Args:
        method: Method of the request.
        path: Path of the request as sent, without the query.
        caller: Name of the caller.
        body: Body of the request.

    Returns:
        The body; a client can compute it to verify the response.
    """
    digest = xxhash.xxh3_128_hexdigest(body)
    return f"{method} {path} {caller} {digest} end\n".encode()


def encode_answer(
    status: int,
    headers: Mapping[str, str],
    body: bytes,
    keep_open: bool = True,
    with_body: bool = True,
) -> bytes:
    """Encodes a complete response.

    Args:
        status: Status code.
        headers: Headers without Content-Length and Connection.
        body: The body.
        keep_open: Whether the connection stays open.
        with_body: Whether to send the body; False for HEAD.

    Returns:
        The bytes to send.
    """
    head = encode_head(status, headers, len(body), keep_open)
    return head + body if with_body else head


def encode_truncated(
    status: int, headers: Mapping[str, str], body: bytes, chunked: bool
) -> bytes:
    """Encodes a truncated response.

    Args:
        status: Status code.
        headers: Headers without Content-Length and Connection.
        body: The body, of which only half is sent.
        chunked: Whether to truncate a chunk of a chunked body.

    Returns:
        The bytes to send before the connection is closed.
    """
    half = body[: len(body) // 2]
    head = encode_head(status, headers, len(body), keep_open=False)
    if not chunked:
        return head + half
    length = b"Content-Length: %d" % len(body)
    head = head.replace(length, b"Transfer-Encoding: chunked")
    return head + b"%x\r\n" % len(body) + half


def encode_head(
    status: int, headers: Mapping[str, str], length: int, keep_open: bool
) -> bytes:
    """Encodes the status line and the headers for a Content-Length."""
    lines = [
        f"HTTP/1.1 {status} Status",
        *(f"{name}: {value}" for name, value in headers.items()),
        f"Content-Length: {length}",
        f"Connection: {'keep-alive' if keep_open else 'close'}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def read_request(reader: asyncio.StreamReader) -> WireRequest | None:
    """Reads one request.

    Args:
        reader: The connection.

    Returns:
        The request; None if the client closed the connection or sent an
        invalid request.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        request_line, *header_lines = head.decode("latin-1").split("\r\n")[:-2]
        method, uri, _ = request_line.split(" ", 2)
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in header_lines)
        }
        length = int(headers.get("content-length", "0"))
        if not 0 <= length <= MAX_BODY_BYTES:
            return None
        body = await reader.readexactly(length) if length else b""
    except (
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
        OSError,
        ValueError,
    ):
        return None
    path, _, query = uri.partition("?")
    return WireRequest(method, path, query, headers, body)
