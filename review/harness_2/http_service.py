"""HTTP/1.1 services with JSON bodies, from the standard library only."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import contextlib
import http.server
import json
import threading
from typing import Any
import urllib.parse

ADDRESS = "127.0.0.1"


class Request:
    """A request that a stand-in answers.

    Attributes:
        query: The parameters of the query string.
        body: The decoded JSON body; empty without one.
    """

    def __init__(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        raw_body: bytes,
    ) -> None:
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        self.headers = headers
        self.body: dict[str, Any] = json.loads(raw_body) if raw_body else {}


Answer = tuple[int, dict[str, Any]]
# Returns None where the connection is to be closed without an answer.
Handler = Callable[[Request], Answer | None]


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True


def serve(handle: Handler, port: int = 0) -> _Server:
    """Serves requests in threads.

    Args:
        handle: Answers one request.
        port: The port; 0 for a free one.

    Returns:
        The server; its port is `server_address[1]`.
    """

    class _Connection(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _answer(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            request = Request(
                self.command, self.path, self.headers, self.rfile.read(length)
            )
            answer = handle(request)
            if answer is None:
                self.close_connection = True
                return
            status, data = answer
            body = json.dumps(data).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
            self.wfile.flush()

        do_GET = do_POST = do_DELETE = _answer  # noqa: N815

        def log_message(self, *_: object) -> None:
            """Logs nothing."""

        def handle(self) -> None:
            # The other end may close or reset the connection.
            with contextlib.suppress(OSError):
                super().handle()

    server = _Server((ADDRESS, port), _Connection)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
