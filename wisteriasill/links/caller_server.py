"""cheroot server with a total read timeout and problem documents."""

from __future__ import annotations

import contextlib
import json
import queue
import socket
import threading
import time
from typing import Any

from cheroot import makefile
from cheroot import server
from cheroot import wsgi

from wisteriasill import errors
from wisteriasill import settings as setting_types
from wisteriasill.contracts import exchange
from wisteriasill.links import problem
from wisteriasill.links import strict_request

# Interval at which a thread that waits for the first byte of a request checks
# for shutdown.
STOP_CHECK_SECONDS = 0.5
# Idle keep-alive connections wait in cheroot's selector and hold no thread.
KEEP_ALIVE_LIMIT = 2000
LISTEN_BACKLOG = 512
# Readable connections that may wait for a thread, per thread.
ACCEPTED_QUEUE_PER_THREAD = 4


class _TimedSocketIO(socket.SocketIO):
    """Reads with a limit on the total time of one request.

    The socket's own timeout restarts with each byte, so a client that sends
    one byte at a time could hold a thread for hours.
    """

    def __init__(
        self,
        sock: socket.socket,
        timeout_seconds: float,
        stopping: threading.Event,
    ) -> None:
        super().__init__(sock, "r")
        self._connection = sock
        self._timeout_seconds = timeout_seconds
        self._stopping = stopping
        self._deadline_at = 0.0
        self._started = False
        self.restart()

    def restart(self) -> None:
        """Resets the deadline for the next request."""
        self._deadline_at = time.monotonic() + self._timeout_seconds
        self._started = False

    def readinto(self, buffer: Any) -> int | None:
        """Reads bytes into a buffer, see `io.RawIOBase.readinto`."""
        while True:
            remaining = self._deadline_at - time.monotonic()
            if remaining <= 0:
                raise TimeoutError("timed out")
            awaits_first_byte = not self._started
            slice_seconds = (
                STOP_CHECK_SECONDS if awaits_first_byte else remaining
            )
            self._connection.settimeout(min(remaining, slice_seconds))
            try:
                count = self._connection.recv_into(buffer)
            except TimeoutError:
                if awaits_first_byte and not self._stopping.is_set():
                    continue
                if awaits_first_byte:
                    return 0
                raise
            finally:
                self._connection.settimeout(self._timeout_seconds)
            self._started = True
            return count


class _Reader(makefile.StreamReader):
    """cheroot's reader over a socket with a total read timeout."""

    def __init__(self, timed_io: _TimedSocketIO) -> None:
        # The constructor of StreamReader would create its own SocketIO.
        super(makefile.StreamReader, self).__init__(timed_io)
        self.bytes_read = 0
        self.timed_io = timed_io


class _Request(strict_request.StrictRequest):
    """A request whose protocol errors are problem documents."""

    def parse_request(self) -> None:
        """Resets the read deadline and reads the head of the request."""
        self.conn.rfile.timed_io.restart()
        super().parse_request()

    def write_error(self, status: str, message: str) -> None:
        """Responds to a protocol error and closes the connection."""
        code = int(status[:3])
        kind = errors.ErrorKind.BAD_REQUEST
        if code in (413, 414):
            kind = errors.ErrorKind.BODY_TOO_LARGE
        elif code == 500:
            kind = errors.ErrorKind.INTERNAL
        elif code == 503:
            kind = errors.ErrorKind.OVERLOADED
        failure = errors.failure(kind, message or status[4:])
        body = json.dumps(problem.document(failure) | {"status": code}) + "\n"
        lines = (
            f"{self.server.protocol} {status}",
            f"Content-Type: {problem.MEDIA_TYPE}",
            f"Content-Length: {len(body)}",
            f"{exchange.EXECUTED_HEADER}: {failure.executed}",
            "Connection: close",
            *(
                [f"Retry-After: {failure.retry_after_seconds}"]
                if failure.retry_after_seconds is not None
                else []
            ),
        )
        self.close_connection = True
        self.sent_headers = True
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.conn.wfile.write((head + body).encode("utf-8"))


class _Connection(server.HTTPConnection):
    """A connection that reads through a `_Reader`."""

    RequestHandlerClass = _Request

    def __init__(
        self, caller_server: CallerServer, sock: socket.socket, *_: Any
    ) -> None:
        def make_stream(sock: socket.socket, mode: str, size: int) -> Any:
            if "w" in mode:
                return makefile.StreamWriter(sock, mode, size)
            return _Reader(
                _TimedSocketIO(
                    sock,
                    caller_server.read_seconds,
                    caller_server.stopping_event,
                )
            )

        super().__init__(caller_server, sock, make_stream)


class CallerServer(wsgi.Server):
    """cheroot server with limits on threads, connections, sizes and time.

    Args:
        settings: Settings of this entry host.
        application: The WSGI application.
    """

    ConnectionClass = _Connection

    def __init__(
        self, settings: setting_types.EntrySettings, application: Any
    ) -> None:
        super().__init__(
            (settings.listen_address, settings.caller_port),
            application,
            numthreads=settings.caller_threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=max(1, round(settings.socket_timeout_seconds)),
            accepted_queue_size=ACCEPTED_QUEUE_PER_THREAD
            * settings.caller_threads,
            accepted_queue_timeout=0,
        )
        self.keep_alive_conn_limit = KEEP_ALIVE_LIMIT
        self.max_request_header_size = settings.max_header_bytes
        self.max_request_body_size = settings.max_body_bytes
        self.expiration_interval = 0.1
        self.read_seconds = settings.socket_timeout_seconds
        self.stopping_event = threading.Event()

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection stays open after a response."""
        return not self.stopping_event.is_set() and bool(
            super().can_add_keepalive_connection
        )

    def process_conn(self, conn: server.HTTPConnection) -> None:
        """Queues a connection for a thread, or rejects it unread."""
        try:
            self.requests.put(conn)
        except queue.Full:
            with contextlib.suppress(OSError):
                _Request(self, conn).simple_response(
                    "503 Service Unavailable", "all threads are busy"
                )
                # Closing the connection with unread bytes would reset it, and
                # the caller could lose the response.
                conn.socket.shutdown(socket.SHUT_WR)
            conn.linger = True
            conn.close()
