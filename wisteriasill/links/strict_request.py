"""Rejects requests with ambiguous framing, as RFC 9112 requires.

This prevents request smuggling: on a connection that an intermediary shares
among callers, an ambiguous length would turn bytes of one caller's body into
the request of another caller.
"""

from __future__ import annotations

import contextlib
import re
import socket
import time
from typing import Any

from cheroot import server

UNREPEATABLE_HEADERS = frozenset(
    (b"Content-Length", b"Host", b"Transfer-Encoding")
)
LENGTH_PATTERN = re.compile(rb"[0-9]+")
# Longest time for which the rest of a rejected body is read and discarded. A
# body of 20 MB takes a tenth of it; a slow sender must not hold a thread.
DISCARD_SECONDS = 2.0
DISCARD_BYTES = 65536


class _RequestHeaderReader(server.HeaderReader):
    """Reads the headers of one request and rejects repeated ones."""

    def __init__(self) -> None:
        self._seen_names: set[bytes] = set()

    def _transform_key(self, key_name: bytes) -> bytes:
        if not key_name or key_name != key_name.strip():
            raise ValueError("A header name is empty or padded with spaces.")
        return key_name.title()

    def _allow_header(self, key_name: bytes) -> bool:
        if key_name in UNREPEATABLE_HEADERS and key_name in self._seen_names:
            raise ValueError(f"{key_name.decode('latin-1')} is repeated.")
        self._seen_names.add(key_name)
        return True


class StrictHeaderReader(server.HeaderReader):
    """Reads headers and rejects an ambiguous body length."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Reads headers into a dictionary.

        Raises:
            ValueError: The headers are malformed or ambiguous.
        """
        headers: dict[bytes, bytes] = _RequestHeaderReader()(rfile, hdict)
        length = headers.get(b"Content-Length")
        encoding = headers.get(b"Transfer-Encoding")
        if length is not None and not LENGTH_PATTERN.fullmatch(length):
            raise ValueError("Content-Length is not a number.")
        if length is not None and encoding is not None:
            raise ValueError("Content-Length and Transfer-Encoding are set.")
        if encoding is not None and encoding.lower() != b"chunked":
            raise ValueError("Transfer-Encoding is not chunked.")
        return headers


class StrictRequest(server.HTTPRequest):
    """A request with strict headers; HTTP/1.1 also requires `Host`."""

    header_reader = StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Reads the headers.

        Returns:
            Whether the headers are valid; if not, the request has been
            rejected.
        """
        is_valid: bool = super().read_request_headers()  # type: ignore[no-untyped-call]
        if not is_valid:
            return False
        is_http_1_1 = self.response_protocol == "HTTP/1.1"
        if is_http_1_1 and b"Host" not in self.inheaders:
            self.simple_response("400 Bad Request", "Host is missing.")
            return False
        return True

    def simple_response(self, status: object, msg: str = "") -> None:
        """Responds with an error; discards the body after a 413."""
        self.write_error(str(status), msg)
        if str(status).startswith("413"):
            discard_input(self.conn.socket)

    def write_error(self, status: str, message: str) -> None:
        """Writes the response to a protocol error."""
        super().simple_response(status, message)


def discard_input(connection: socket.socket) -> None:
    """Ends the response and discards what the caller still sends.

    Closing the connection with unread bytes would reset it, and the caller
    would lose the response.
    """
    deadline_at = time.monotonic() + DISCARD_SECONDS
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
        while (remaining_seconds := deadline_at - time.monotonic()) > 0:
            connection.settimeout(remaining_seconds)
            if not connection.recv(DISCARD_BYTES):
                return
