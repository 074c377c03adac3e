"""HTTP client on pycurl that returns complete responses or a fault."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import enum
import io
import queue
import socket
import struct
from typing import Any, NamedTuple

import pycurl
from returns import result

Headers = tuple[tuple[str, str], ...]

MAX_IDLE_HANDLES = 32  # Handles kept for reuse; more are created on demand.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # `struct linger`: on, 0 s.


class HttpFaultKind(enum.StrEnum):
    """Why there is no complete response."""

    NOT_CONNECTED = "not-connected"
    NO_ANSWER = "no-answer"
    TIMED_OUT = "timed-out"
    TRUNCATED = "truncated"
    TOO_LARGE = "too-large"


class HttpFault(NamedTuple):
    """A call without a complete response.

    Attributes:
        kind: Kind of the fault.
        sent: Whether any byte of the request may have reached the server.
        detail: Message of the client library.
    """

    kind: HttpFaultKind
    sent: bool
    detail: str


class ClientSettings(NamedTuple):
    """Settings of a client.

    Attributes:
        idle_seconds: Longest idle time of a connection that is reused.
        reset_on_close: Whether closed connections are reset, by the end of the
            process as well, so that the server receives nothing after a call
            has failed. Needed where the server does not check whether a
            request is outdated.
    """

    idle_seconds: float = 60.0
    reset_on_close: bool = False


DEFAULT_SETTINGS = ClientSettings()


class HttpCall(NamedTuple):
    """A request.

    Attributes:
        method: HTTP method.
        url: Absolute URL.
        timeout_seconds: Longest time to the last byte of the response.
        headers: Header fields.
        body: Body; None for no body.
        fresh_connection: Whether a new connection is required. curl resends
            a request by itself if a reused connection closes before the first
            byte of the response, so a request that must not be sent twice
            needs a new connection.
        open_connection: Whether only a connection that is open already may
            be used. A server process that restarted has none, so the call
            reaches the process that answered the call before, or none.
        max_body_bytes: Largest accepted body of the response.
        connect_timeout_seconds: Longest time to open a connection.
        accept_gzip: Whether the response may be compressed; its body is
            returned uncompressed.
    """

    method: str
    url: str
    timeout_seconds: float
    headers: Headers = ()
    body: bytes | None = None
    fresh_connection: bool = False
    open_connection: bool = False
    max_body_bytes: int = 64 * 1024 * 1024
    connect_timeout_seconds: float = 1.0
    accept_gzip: bool = False


class HttpResponse(NamedTuple):
    """A complete response; names of header fields are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first field with the lower-case name; None without."""
        return next((value for key, value in self.headers if key == name), None)


class _Collector:
    """Collects the header fields and the body of one response."""

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._body = io.BytesIO()
        self._headers: list[tuple[str, str]] = []
        self.too_large = False

    def on_header(self, line: bytes) -> None:
        """Adds a header line; a status line resets the fields."""
        text = line.decode("iso-8859-1").strip()
        if text.startswith("HTTP/"):
            self._headers.clear()
        elif ":" in text:
            name, _, value = text.partition(":")
            self._headers.append((name.strip().lower(), value.strip()))

    def on_body(self, chunk: bytes) -> int:
        """Adds body bytes; a smaller return value makes curl abort."""
        if self._body.tell() + len(chunk) > self._max_body_bytes:
            self.too_large = True
            return 0
        return self._body.write(chunk)

    def response(self, status: int) -> HttpResponse:
        """Returns the collected response."""
        return HttpResponse(status, tuple(self._headers), self._body.getvalue())


class HttpClient:
    """A bounded pool of curl handles, each with its own connections.

    A timeout closes all idle handles: their connections may be unresponsive
    as well, and each would cost another timeout.

    Args:
        settings: Settings of all connections.
        on_traffic: Called with the bytes sent and received by each call,
            HTTP headers included.
    """

    def __init__(
        self,
        settings: ClientSettings = DEFAULT_SETTINGS,
        on_traffic: Callable[[int, int], None] = lambda sent, received: None,
    ) -> None:
        self._settings = settings
        self._on_traffic = on_traffic
        self._idle_handles: queue.LifoQueue[pycurl.Curl] = queue.LifoQueue(
            MAX_IDLE_HANDLES
        )

    def call(self, call: HttpCall) -> result.Result[HttpResponse, HttpFault]:
        """Sends a request and waits for the complete response.

        Args:
            call: The request.

        Returns:
            The response, with any status, or the fault.
        """
        curl = self._acquire()
        collector = _Collector(call.max_body_bytes)
        _configure(curl, call, collector, self._settings)
        try:
            curl.perform()
        except pycurl.error as error:
            fault = _fault(curl, error, collector)
            self._report_traffic(curl)
            curl.close()
            if fault.kind is HttpFaultKind.TIMED_OUT:
                self.close()
            return result.Failure(fault)
        self._report_traffic(curl)
        response = collector.response(curl.getinfo(pycurl.RESPONSE_CODE))
        self._release(curl)
        if not _is_framed(call.method, response):
            return result.Failure(
                HttpFault(
                    HttpFaultKind.TRUNCATED,
                    True,
                    "the response has neither a length nor chunked encoding",
                )
            )
        return result.Success(response)

    def close(self) -> None:
        """Closes all idle connections."""
        while True:
            try:
                self._idle_handles.get_nowait().close()
            except queue.Empty:
                return

    def _report_traffic(self, curl: pycurl.Curl) -> None:
        received = curl.getinfo(pycurl.HEADER_SIZE) + curl.getinfo(
            pycurl.SIZE_DOWNLOAD_T
        )
        self._on_traffic(curl.getinfo(pycurl.REQUEST_SIZE), int(received))

    def _acquire(self) -> pycurl.Curl:
        try:
            return self._idle_handles.get_nowait()
        except queue.Empty:
            return pycurl.Curl()

    def _release(self, curl: pycurl.Curl) -> None:
        curl.reset()
        try:
            self._idle_handles.put_nowait(curl)
        except queue.Full:
            curl.close()


def _configure(
    curl: Any, call: HttpCall, collector: _Collector, settings: ClientSettings
) -> None:
    options: Mapping[int, Any] = {
        pycurl.URL: call.url,
        # Without NOSIGNAL, timeouts use SIGALRM, which is not thread safe.
        pycurl.NOSIGNAL: 1,
        pycurl.NOPROXY: "*",
        pycurl.TIMEOUT_MS: max(1, int(call.timeout_seconds * 1000)),
        pycurl.CONNECTTIMEOUT_MS: max(
            1, int(call.connect_timeout_seconds * 1000)
        ),
        pycurl.HTTP_VERSION: pycurl.CURL_HTTP_VERSION_1_1,
        pycurl.TCP_NODELAY: 1,
        pycurl.MAXAGE_CONN: max(1, int(settings.idle_seconds)),
        pycurl.FRESH_CONNECT: int(call.fresh_connection),
        pycurl.FORBID_REUSE: int(call.fresh_connection),
        # An empty Expect header keeps curl from waiting for 100 Continue.
        pycurl.HTTPHEADER: [
            *(f"{name}: {value}" for name, value in call.headers),
            "Expect:",
        ],
        pycurl.HEADERFUNCTION: collector.on_header,
        pycurl.WRITEFUNCTION: collector.on_body,
        **({pycurl.ACCEPT_ENCODING: "gzip"} if call.accept_gzip else {}),
        **(
            {pycurl.OPENSOCKETFUNCTION: _refuse_socket}
            if call.open_connection
            else {}
        ),
        **(
            {pycurl.SOCKOPTFUNCTION: _reset_on_close}
            if settings.reset_on_close
            else {}
        ),
    }
    for option, value in options.items():
        curl.setopt(option, value)
    _configure_method(curl, call)


def _refuse_socket(*_: object) -> int:
    return int(pycurl.SOCKET_BAD)


def _reset_on_close(descriptor: int, _: int) -> int:
    """Makes the system discard undelivered bytes of a socket that is closed."""
    connection = socket.socket(fileno=descriptor)
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    finally:
        connection.detach()  # curl owns the descriptor.
    return int(pycurl.SOCKOPT_OK)


def _configure_method(curl: Any, call: HttpCall) -> None:
    if call.body is not None:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDSIZE, len(call.body))
        curl.setopt(pycurl.POSTFIELDS, call.body)
    if call.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    else:
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)


def _fault(curl: Any, error: pycurl.error, collector: _Collector) -> HttpFault:
    code, message = error.args
    sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
    if collector.too_large:
        return HttpFault(HttpFaultKind.TOO_LARGE, True, message)
    if not sent:
        return HttpFault(HttpFaultKind.NOT_CONNECTED, False, message)
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return HttpFault(HttpFaultKind.TIMED_OUT, True, message)
    if curl.getinfo(pycurl.RESPONSE_CODE) > 0:
        return HttpFault(HttpFaultKind.TRUNCATED, True, message)
    return HttpFault(HttpFaultKind.NO_ANSWER, True, message)


def _is_framed(method: str, response: HttpResponse) -> bool:
    """Returns whether a response states its length or is chunked.

    A response that is delimited by the end of the connection cannot be told
    from a truncated one.
    """
    if method == "HEAD" or response.status in (204, 304):
        return True
    chunked = "chunked" in (response.header("transfer-encoding") or "").lower()
    return chunked or response.header("content-length") is not None
