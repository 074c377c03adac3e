"""The callers' HTTP server."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent import futures
import http
import threading
import time
from typing import TYPE_CHECKING, Any, Protocol

from cheroot import errors as cheroot_errors
from returns import result
from werkzeug import wrappers

from wisteriasill import errors
from wisteriasill import metrics as metric_types
from wisteriasill import settings as setting_types
from wisteriasill.contracts import exchange
from wisteriasill.links import caller_server
from wisteriasill.links import http_headers
from wisteriasill.links import problem

if TYPE_CHECKING:
    from _typeshed.wsgi import StartResponse

READ_BYTES = 64 * 1024
STATUS_WITHOUT_BODY = (204, 304)


class Health(Protocol):
    """Readiness of this entry host to serve callers."""

    def not_ready_reason(self) -> str:
        """Returns the reason why it is not ready; empty if it is ready."""


class RequestHandler(Protocol):
    """Handles callers' requests; implemented by the dispatcher."""

    def handle(
        self, request: exchange.CallerRequest
    ) -> result.Result[exchange.Reply, errors.Failure]:
        """Handles one request."""


class CallerLink:
    """Reads complete requests of callers and writes the responses.

    Args:
        settings: Settings of this entry host.
        dispatcher: Handles the requests.
        health: Readiness of this entry host.
        metrics: Metrics of this process, served at `/metrics`.
    """

    def __init__(
        self,
        settings: setting_types.EntrySettings,
        dispatcher: RequestHandler,
        health: Health,
        metrics: metric_types.Metrics,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._health = health
        self._metrics = metrics
        self._server = caller_server.CallerServer(settings, self._application)
        self._executor = futures.ThreadPoolExecutor(
            1, thread_name_prefix="callers"
        )
        self._serving: futures.Future[None] | None = None
        self._pages: dict[str, Callable[[wrappers.Request], Any]] = {
            "/healthz": self._healthz,
            "/readyz": self._readyz,
            "/metrics": self._metrics_page,
        }

    @property
    def port(self) -> int:
        """The port that callers connect to."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Opens the port and serves callers."""
        self._server.prepare()
        self._serving = self._executor.submit(self._server.serve)

    def stop(self, deadline_seconds: float) -> None:
        """Stops gracefully, without interrupting a request.

        `/readyz` fails at once and each connection is closed with its next
        response. After the drain notice period, in which the balancer reacts,
        the port is closed and the requests in progress finish.

        Args:
            deadline_seconds: Longest time for the whole stop.
        """
        if self._serving is None:
            return
        deadline_at = time.monotonic() + deadline_seconds
        self._server.stopping_event.set()
        threading.Event().wait(
            min(self._settings.drain_notice_seconds, deadline_seconds / 2)
        )
        self._server.shutdown_timeout = max(0.1, deadline_at - time.monotonic())
        self._server.stop()
        self._serving.result(timeout=1.0)
        self._executor.shutdown()
        self._serving = None

    def _application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        request = wrappers.Request(environ, populate_request=False)
        page_handler = self._pages.get(request.path)
        if page_handler is not None:
            response = page_handler(request)
            return _as_bytes(response(environ, start_response))
        parsed = read_request(request, self._settings.max_body_bytes)
        if isinstance(parsed, result.Success):
            outcome = self._dispatcher.handle(parsed.unwrap())
            if isinstance(outcome, result.Success):
                return _write_reply(request, outcome.unwrap(), start_response)
            failure = outcome.failure()
        else:
            failure = parsed.failure()
        response = problem.response(failure)
        _echo_request_id(request, response.headers)
        return _as_bytes(response(environ, start_response))

    def _healthz(self, request: wrappers.Request) -> wrappers.Response:
        return wrappers.Response("alive\n", content_type="text/plain")

    def _readyz(self, request: wrappers.Request) -> wrappers.Response:
        if self._server.stopping_event.is_set():
            return problem.response(
                errors.failure(
                    errors.ErrorKind.SHUTTING_DOWN,
                    "the entry host is stopping",
                )
            )
        reason = self._health.not_ready_reason()
        if reason:
            return problem.response(
                errors.failure(errors.ErrorKind.NOT_READY, reason)
            )
        return wrappers.Response("ready\n", content_type="text/plain")

    def _metrics_page(self, request: wrappers.Request) -> wrappers.Response:
        body, headers = self._metrics.render(request.headers.getlist("Accept"))
        return wrappers.Response(body, headers=headers)


def read_request(
    request: wrappers.Request, max_body_bytes: int
) -> result.Result[exchange.CallerRequest, errors.Failure]:
    """Reads a caller's request with its complete body.

    Args:
        request: The request, whose body has not been read yet.
        max_body_bytes: Largest accepted body.

    Returns:
        The request, or BAD_REQUEST or BODY_TOO_LARGE.
    """
    deadline = request.headers.get(exchange.DEADLINE_HEADER, "0")
    if not (deadline.isascii() and deadline.isdigit() and len(deadline) < 10):
        return _malformed(f"{exchange.DEADLINE_HEADER}: {deadline!r}")
    for name in (exchange.IDEMPOTENCY_KEY_HEADER, exchange.CALLER_HEADER):
        value = request.headers.get(name, "")
        if not value.isascii():
            return _malformed(f"{name}: {value!r} is not ASCII")
    body = _read_body(request, max_body_bytes)
    if not isinstance(body, result.Success):
        return result.Failure(body.failure())
    headers = tuple(request.headers.items())
    return result.Success(
        exchange.CallerRequest(
            method=request.method,
            path=request.path,
            query=request.query_string.decode("latin-1"),
            headers=http_headers.end_to_end(headers),
            body=body.unwrap(),
            caller=http_headers.first(headers, exchange.CALLER_HEADER)
            or exchange.ANONYMOUS_CALLER,
            idempotency_key=http_headers.first(
                headers, exchange.IDEMPOTENCY_KEY_HEADER
            ),
            deadline_ms=int(deadline),
            received_at=time.monotonic(),
        )
    )


def _read_body(
    request: wrappers.Request, max_body_bytes: int
) -> result.Result[bytes, errors.Failure]:
    stream = request.environ["wsgi.input"]
    parts = []
    received_bytes = 0
    try:
        while part := stream.read(READ_BYTES):
            parts.append(part)
            received_bytes += len(part)
            if received_bytes > max_body_bytes:
                return _too_large(max_body_bytes)
    except cheroot_errors.MaxSizeExceeded:
        return _too_large(max_body_bytes)
    except ValueError as error:
        return _malformed(f"body: {error}")
    expected = request.content_length
    if expected is not None and received_bytes != expected:
        return _malformed(f"body: {received_bytes} of {expected} bytes arrived")
    return result.Success(b"".join(parts))


def _malformed(detail: str) -> result.Result[Any, errors.Failure]:
    return result.Failure(errors.failure(errors.ErrorKind.BAD_REQUEST, detail))


def _too_large(max_body_bytes: int) -> result.Result[Any, errors.Failure]:
    return result.Failure(
        errors.failure(
            errors.ErrorKind.BODY_TOO_LARGE,
            f"body: more than {max_body_bytes} bytes",
        )
    )


def _write_reply(
    request: wrappers.Request,
    reply: exchange.Reply,
    start_response: StartResponse,
) -> Iterable[bytes]:
    headers = list(reply.headers)
    without_body = (
        request.method == "HEAD" or reply.status in STATUS_WITHOUT_BODY
    )
    if not without_body:
        headers.append(("Content-Length", str(len(reply.body))))
    caller_request_id = request.headers.get(exchange.REQUEST_ID_HEADER)
    if caller_request_id:
        headers.append((exchange.REQUEST_ID_HEADER, caller_request_id))
    start_response(f"{reply.status} {_reason_phrase(reply.status)}", headers)
    return () if without_body else (reply.body,)


def _echo_request_id(request: wrappers.Request, headers: Any) -> None:
    caller_request_id = request.headers.get(exchange.REQUEST_ID_HEADER)
    if caller_request_id:
        headers[exchange.REQUEST_ID_HEADER] = caller_request_id


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unassigned"


def _as_bytes(parts: Any) -> Iterable[bytes]:
    return tuple(parts)
