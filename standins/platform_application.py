"""WSGI application with the HTTP/JSON interface of the platform stand-in."""

from __future__ import annotations

from collections.abc import Callable, Iterable
import contextlib
import gzip
import json
import socket
import threading
from typing import TYPE_CHECKING, Any, cast
import weakref

from cheroot import wsgi
from returns import result
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from standins import faults
from standins import platform_state
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.links import platform

if TYPE_CHECKING:
    from _typeshed import wsgi as wsgi_types

# A silenced connection holds its thread for this time, which exceeds the
# timeouts of all clients.
SILENT_SECONDS = 10.0
CONNECTION_KEY = "standins.connection"
HTTP_OK = 200
SHORTEST_GZIP_BYTES = 512
GZIP_LEVEL = 1

STATUS_BY_KIND = {
    errors.ErrorKind.NOT_FOUND: 404,
    errors.ErrorKind.CONFLICT: 409,
    errors.ErrorKind.PLATFORM_REFUSED: 429,
    errors.ErrorKind.STORE_UNAVAILABLE: 503,
}

URLS = routing.Map(
    [
        routing.Rule("/table/<table>/<path:key>", endpoint="read"),
        routing.Rule("/table/<table>", endpoint="scan"),
        routing.Rule("/table", endpoint="transact", methods=["POST"]),
        routing.Rule("/objects/<path:key>", endpoint="put", methods=["PUT"]),
        routing.Rule("/objects/<path:key>", endpoint="get", methods=["GET"]),
        routing.Rule("/hosts", endpoint="hosts"),
        routing.Rule(
            "/hosts/<host_id>/<any(drain, reboot):act>",
            endpoint="host_control",
            methods=["POST"],
        ),
        routing.Rule(
            "/hosts/<host_id>/tasks", endpoint="tasks", methods=["GET"]
        ),
        routing.Rule(
            "/hosts/<host_id>/tasks", endpoint="start_task", methods=["POST"]
        ),
        routing.Rule(
            "/tasks/<task_id>/<any(renew, checkpoint, throttle, stop):act>",
            endpoint="task_call",
            methods=["POST"],
        ),
        routing.Rule("/faults", endpoint="faults", methods=["POST"]),
    ],
    merge_slashes=False,
)


class Gateway(wsgi.Gateway_10):
    """Passes the connection of a request to the application."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Returns the WSGI environment with the connection."""
        environ: dict[str, Any] = cast(Any, super()).get_environ()
        environ[CONNECTION_KEY] = self.req.conn
        return environ


def _json(body: Any, status: int = 200) -> wrappers.Response:
    return wrappers.Response(
        json.dumps(body), status=status, content_type="application/json"
    )


def _outcome_response(
    outcome: result.Result[Any, errors.Failure], status: int = 200
) -> wrappers.Response:
    if isinstance(outcome, result.Failure):
        refusal = outcome.failure()
        return _json({"detail": refusal.detail}, STATUS_BY_KIND[refusal.kind])
    return _json({}, status)


def _negotiate(
    response: wrappers.Response, request: wrappers.Request
) -> wrappers.Response:
    """Handles conditional reads with 304 and compresses long bodies."""
    if request.method != "GET" or response.status_code != HTTP_OK:
        return response
    response.add_etag()
    response.make_conditional(request)
    body = response.get_data()
    if len(body) >= SHORTEST_GZIP_BYTES and request.accept_encodings["gzip"]:
        response.set_data(gzip.compress(body, GZIP_LEVEL))
        response.headers["Content-Encoding"] = "gzip"
    return response


class Application:
    """WSGI application; each endpoint has a method `_ENDPOINT`."""

    def __init__(self, state: platform_state.PlatformState, seed: int) -> None:
        self._state = state
        self._answer_loss = faults.AnswerLoss(seed)
        self._answer_loss_lock = threading.Lock()
        self._connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silenced_connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self.stopping = threading.Event()

    def __call__(
        self,
        environ: wsgi_types.WSGIEnvironment,
        start_response: wsgi_types.StartResponse,
    ) -> Iterable[bytes]:
        """Handles one request with the active faults."""
        connection = environ[CONNECTION_KEY]
        self._connections.add(connection)
        request = wrappers.Request(environ)
        if connection in self._silenced_connections:
            self.stopping.wait(SILENT_SECONDS)
            _drop_connection(connection)
            return []
        if request.path == "/faults":
            return self._route(request)(environ, start_response)
        switches = self._state.faults
        if switches.slow_seconds > 0:
            self.stopping.wait(switches.slow_seconds)
        if switches.down:
            return _json({"detail": "the platform is down"}, 503)(
                environ, start_response
            )
        response = _negotiate(self._route(request), request)
        if request.method != "GET" and self._is_answer_lost(switches):
            _drop_connection(connection)
        return response(environ, start_response)

    def _is_answer_lost(self, switches: faults.Faults) -> bool:
        with self._answer_loss_lock:
            return self._answer_loss.is_lost(switches.lose_answers)

    def _route(self, request: wrappers.Request) -> wrappers.Response:
        try:
            endpoint, arguments = URLS.bind_to_environ(request.environ).match()
            handle: Callable[..., wrappers.Response] = getattr(
                self, f"_{endpoint}"
            )
            return handle(request, **arguments)
        except exceptions.HTTPException as error:
            return _json({"detail": error.description}, error.code or 500)
        except (ValueError, KeyError, TypeError) as error:
            return _json({"detail": f"malformed request: {error!r}"}, 400)

    def _read(
        self, _request: wrappers.Request, table: str, key: str
    ) -> wrappers.Response:
        row = self._state.read(table, key)
        if row is None:
            return _json({"detail": f"no row {table}/{key}"}, 404)
        return _json(
            {"key": row.key, "version": row.version, "value": row.value}
        )

    def _scan(self, request: wrappers.Request, table: str) -> wrappers.Response:
        rows = self._state.scan(table, request.args.get("prefix", ""))
        return _json(
            {
                "rows": [
                    {"key": row.key, "version": row.version, "value": row.value}
                    for row in rows
                ]
            }
        )

    def _transact(self, request: wrappers.Request) -> wrappers.Response:
        body = json.loads(request.get_data())
        outcome = self._state.transact(
            [
                platform.Condition(**condition)
                for condition in body["conditions"]
            ],
            [platform.Write(**write) for write in body["writes"]],
        )
        if isinstance(outcome, result.Failure):
            return _json(outcome.failure()._asdict(), 409)
        return _json({"versions": outcome.unwrap()})

    def _put(self, request: wrappers.Request, key: str) -> wrappers.Response:
        if self._state.put(key, request.get_data()):
            return _json({})
        return _json({"detail": f"object {key} has another body"}, 409)

    def _get(self, _request: wrappers.Request, key: str) -> wrappers.Response:
        body = self._state.get(key)
        if body is None:
            return _json({"detail": f"no object {key}"}, 404)
        return wrappers.Response(body, content_type="application/octet-stream")

    def _hosts(self, _request: wrappers.Request) -> wrappers.Response:
        return _json({"hosts": documents.encode(self._state.list_hosts())})

    def _host_control(
        self, _request: wrappers.Request, host_id: str, act: str
    ) -> wrappers.Response:
        if act == "drain":
            return _outcome_response(self._state.drain_host(host_id), 202)
        return _outcome_response(self._state.reboot_host(host_id), 202)

    def _tasks(
        self, _request: wrappers.Request, host_id: str
    ) -> wrappers.Response:
        outcome = self._state.list_tasks(host_id)
        if isinstance(outcome, result.Failure):
            return _outcome_response(outcome)
        return _json({"tasks": documents.encode(outcome.unwrap())})

    def _start_task(
        self, request: wrappers.Request, host_id: str
    ) -> wrappers.Response:
        order = platform.TaskOrder(**json.loads(request.get_data()))
        return _outcome_response(self._state.start_task(host_id, order), 201)

    def _task_call(
        self, request: wrappers.Request, task_id: str, act: str
    ) -> wrappers.Response:
        body = json.loads(request.get_data())
        amount_keys = {"renew": "lease_seconds", "throttle": "share"}
        amount = float(body[amount_keys[act]]) if act in amount_keys else 0.0
        outcome = self._state.task_call(task_id, body["epoch"], act, amount)
        if act == "checkpoint" and isinstance(outcome, result.Success):
            return _json({"checkpoint": outcome.unwrap()})
        return _outcome_response(outcome)

    def _faults(self, request: wrappers.Request) -> wrappers.Response:
        decoded = documents.decode(
            faults.Faults, json.loads(request.get_data())
        )
        if isinstance(decoded, result.Failure):
            return _json({"detail": decoded.failure().detail}, 400)
        switches = decoded.unwrap()
        if switches.silent and not self._state.faults.silent:
            own_connection = request.environ[CONNECTION_KEY]
            self._silenced_connections.update(
                set(self._connections) - {own_connection}
            )
        self._state.set_faults(switches)
        return _json({})


def _drop_connection(connection: Any) -> None:
    """Closes a connection, so that the response is lost."""
    with contextlib.suppress(OSError):
        connection.socket.shutdown(socket.SHUT_RDWR)
