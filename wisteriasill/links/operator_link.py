"""HTTP server of the operator interface."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent import futures
import hmac
import ipaddress
import json
from typing import TYPE_CHECKING, Any

from returns import result
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from wisteriasill import errors
from wisteriasill import events
from wisteriasill import metrics as metric_types
from wisteriasill import settings as setting_types
from wisteriasill.contracts import service_checks
from wisteriasill.links import caller_server
from wisteriasill.links import operator_pages
from wisteriasill.links import peer_messages
from wisteriasill.links import platform
from wisteriasill.links import problem
from wisteriasill.zones import site as sites

if TYPE_CHECKING:
    from _typeshed.wsgi import StartResponse

# Half of them may wait for events, see operator_pages.MAX_EVENT_WAITERS.
OPERATOR_THREADS = 8
# A larger body closes the connection; see operator_pages.MAX_BODY_BYTES.
MAX_READ_BYTES = 4 * 1024 * 1024
# Operators' tools send few headers.
MAX_HEADER_BYTES = 8 * 1024

_READ_PAGES = {
    "/v1/status": "status",
    "/v1/hosts": "hosts",
    "/v1/waves": "waves",
    "/v1/jobs": "jobs",
    "/v1/events": "events",
    "/v1/configuration": "configuration",
    "/v1/plan": "plan",
    "/v1/orders/<order_id>": "order",
}
_WRITE_PAGES = {
    "/v1/configuration": "publish",
    "/v1/orders": "submit_order",
}
_URLS = routing.Map(
    [
        *(
            routing.Rule(path, endpoint=name, methods=["GET"])
            for path, name in _READ_PAGES.items()
        ),
        *(
            routing.Rule(path, endpoint=name, methods=["POST"])
            for path, name in _WRITE_PAGES.items()
        ),
    ],
    strict_slashes=False,
)


class OperatorLink:
    """Serves the operator interface for the whole site.

    Args:
        settings: Settings of this entry host.
        platform_: The platform.
        site: This entry host's view of the site.
        mesh: Links to peers, whose heartbeats carry their generation.
        metrics: Metrics of this process.
    """

    def __init__(
        self,
        settings: setting_types.EntrySettings,
        platform_: platform.Platform,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        metrics: metric_types.Metrics,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._pages = operator_pages.OperatorPages(
            settings, platform_, site, mesh
        )
        mesh.on_message("heartbeat", self._record_generation)
        self._server = caller_server.CallerServer(
            settings._replace(
                caller_port=settings.operator_port,
                caller_threads=OPERATOR_THREADS,
                max_body_bytes=MAX_READ_BYTES,
                max_header_bytes=MAX_HEADER_BYTES,
            ),
            self._application,
        )
        self._executor = futures.ThreadPoolExecutor(
            1, thread_name_prefix="operators"
        )
        self._serving: futures.Future[None] | None = None

    @property
    def port(self) -> int:
        """The port that operators connect to, valid after the start."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Binds the port and starts to serve.

        Raises:
            OSError: The port is in use.
        """
        self._server.prepare()
        self._serving = self._executor.submit(self._server.serve)

    def stop(self, deadline_seconds: float) -> None:
        """Ends requests that wait for events, then closes the port.

        Args:
            deadline_seconds: Longest wait for requests in progress.
        """
        self._pages.stopping.set()
        events.RECENT.wake()
        self._server.stopping_event.set()
        self._server.shutdown_timeout = deadline_seconds
        self._server.stop()
        if self._serving is not None:
            self._serving.result()
        self._executor.shutdown()

    def _record_generation(
        self, member_id: str, message: peer_messages.Heartbeat
    ) -> None:
        self._pages.generations_by_member[member_id] = message["generation"]

    def _application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        request = wrappers.Request(environ)
        try:
            response = self._respond(request)
        except TimeoutError:  # The client sent too slowly; cheroot sends 408.
            raise
        except Exception as error:  # Reported as a problem document.
            events.log(
                events.Event.TASK_FAILED,
                "Operator request failed",
                level="ERROR",
                path=request.path,
                error=repr(error),
            )
            response = self._reject(
                request,
                errors.failure(
                    errors.ErrorKind.INTERNAL, "see the log of the entry host"
                ),
            )
        return response(environ, start_response)

    def _respond(self, request: wrappers.Request) -> wrappers.Response:
        self._metrics.count("operator_requests")
        reason = self._unauthorized(request)
        if reason:
            return self._reject(
                request, errors.failure(errors.ErrorKind.UNAUTHORIZED, reason)
            )
        try:
            name, arguments = _URLS.bind_to_environ(request.environ).match()
        except exceptions.MethodNotAllowed as error:
            return self._method_not_allowed(request, error)
        except exceptions.HTTPException:
            known_paths = (*_READ_PAGES, *_WRITE_PAGES)
            suggestion = service_checks.suggest(request.path, known_paths)
            detail = f'no resource "{request.path}"{suggestion}'
            return self._reject(
                request, errors.failure(errors.ErrorKind.NOT_FOUND, detail)
            )
        page: Callable[..., operator_pages.Document] = getattr(
            self._pages, name
        )
        match page(request, **arguments):
            case result.Success(document):
                return wrappers.Response(
                    json.dumps(document) + "\n",
                    status=202 if name == "submit_order" else 200,
                    content_type="application/json",
                    headers={"Cache-Control": "no-store"},
                )
            case result.Failure(failure):
                return self._reject(request, failure)
        raise AssertionError(name)

    def _unauthorized(self, request: wrappers.Request) -> str:
        """Returns why a request is not authorized; empty if it is."""
        token = self._settings.operator_token
        if not token:
            if not _is_loopback(request.remote_addr or ""):
                return "without a token, only loopback addresses may read"
            if request.method not in ("GET", "HEAD"):
                return "this entry host has no operator token and is read-only"
            return ""
        scheme, _, presented_token = request.headers.get(
            "Authorization", ""
        ).partition(" ")
        if scheme.lower() == "bearer" and hmac.compare_digest(
            presented_token.strip().encode(), token.encode()
        ):
            return ""
        return "the Authorization header has no valid bearer token"

    def _method_not_allowed(
        self, request: wrappers.Request, error: exceptions.MethodNotAllowed
    ) -> wrappers.Response:
        allowed = ", ".join(sorted(error.valid_methods or ()))
        response = self._reject(
            request,
            errors.failure(
                errors.ErrorKind.METHOD_NOT_ALLOWED,
                f'"{request.path}" allows {allowed}, not {request.method}',
            ),
        )
        response.headers["Allow"] = allowed
        return response

    def _reject(
        self, request: wrappers.Request, failure: errors.Failure
    ) -> wrappers.Response:
        self._metrics.count(f"operator_{failure.kind}")
        events.log(
            events.Event.OPERATOR_REJECTED,
            "Operator request rejected",
            level="WARNING",
            method=request.method,
            path=request.path,
            kind=failure.kind.value,
            detail=failure.detail,
        )
        return problem.response(failure)


def _is_loopback(address: str) -> bool:
    try:
        return ipaddress.ip_address(address).is_loopback
    except ValueError:
        return False
