"""Refuses requests whose framing is ambiguous, as RFC 9112 asks.

An ambiguous length would let the bytes of one caller become the request of
another on a connection that an intermediary shares.
"""

from __future__ import annotations

import contextlib
import re
import socket
import time
from typing import Any

from cheroot import server

SINGLE_HEADERS = frozenset((b"Content-Length", b"Host", b"Transfer-Encoding"))
LENGTH = re.compile(rb"[0-9]+")
# Longest time for which the rest of a refused body is read and dropped: a
# sender of 20 MB needs a tenth of it, and a slow one must not hold a thread.
DISCARD_SECONDS = 2.0
DISCARD_BYTES = 65536


class _OneReading(server.HeaderReader):
    """Reads the headers of one request."""

    def __init__(self) -> None:
        self._seen: set[bytes] = set()

    def _transform_key(self, key_name: bytes) -> bytes:
        if not key_name or key_name != key_name.strip():
            raise ValueError("A header's name has white space around it.")
        return key_name.title()

    def _allow_header(self, key_name: bytes) -> bool:
        if key_name in SINGLE_HEADERS and key_name in self._seen:
            raise ValueError(f"{key_name.decode('latin-1')} is repeated.")
        self._seen.add(key_name)
        return True


class StrictHeaderReader(server.HeaderReader):
    """Reads headers and refuses what leaves the body's length open."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Reads headers into a dictionary.

        Raises:
            ValueError: The headers are malformed or ambiguous.
        """
        found: dict[bytes, bytes] = _OneReading()(rfile, hdict)
        length = found.get(b"Content-Length")
        coding = found.get(b"Transfer-Encoding")
        if length is not None and not LENGTH.fullmatch(length):
            raise ValueError("Content-Length is no number.")
        if length is not None and coding is not None:
            raise ValueError("Content-Length beside Transfer-Encoding.")
        if coding is not None and coding.lower() != b"chunked":
            raise ValueError("Transfer-Encoding is not chunked.")
        return found


class StrictRequest(server.HTTPRequest):
    """A request with strict headers and, in HTTP/1.1, a host."""

    header_reader = StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Reads the headers.

        Returns:
            Whether the request may be answered; else it has been refused.
        """
        read: bool = super().read_request_headers()  # type: ignore[no-untyped-call]
        if not read:
            return False
        one_dot_one = self.response_protocol == "HTTP/1.1"
        if one_dot_one and b"Host" not in self.inheaders:
            self.simple_response("400 Bad Request", "Host is missing.")
            return False
        return True

    def simple_response(self, status: object, msg: str = "") -> None:
        """Answers an error; a body that is refused is dropped unread."""
        self.write_error(str(status), msg)
        if str(status).startswith("413"):
            discard_input(self.conn.socket)

    def write_error(self, status: str, message: str) -> None:
        """Writes the answer to an error of the protocol."""
        super().simple_response(status, message)


def discard_input(connection: socket.socket) -> None:
    """Ends the answer and drops what the caller still sends.

    Closing with unread bytes would reset the connection, and the caller would
    lose the answer.
    """
    deadline_at = time.monotonic() + DISCARD_SECONDS
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
        while (left := deadline_at - time.monotonic()) > 0:
            connection.settimeout(left)
            if not connection.recv(DISCARD_BYTES):
                return
