"""Stand-ins for the load balancer and for a caller that checks responses."""

from __future__ import annotations

from collections.abc import Sequence
import http.client
import itertools
import json
import threading
from typing import NamedTuple

from standins import http_wire
from wisteriasill import clock as clocks
from wisteriasill.contracts import exchange

PROBLEM_TYPE = "application/problem+json"
CHECK_SECONDS = 0.2
CHECK_TIMEOUT_SECONDS = 1.0
CLIENT_MARGIN_SECONDS = 2.0  # Added to the deadline of a request.


class Call(NamedTuple):
    """A request of a caller.

    Attributes:
        method: HTTP method.
        path: Path.
        caller: Name of the caller.
        body: Body.
        idempotency_key: Key of a request that must run at most once.
        deadline_ms: Deadline that the caller sends.
    """

    method: str
    path: str
    caller: str
    body: bytes = b""
    idempotency_key: str = ""
    deadline_ms: int = 5000


class Outcome(NamedTuple):
    """Outcome of a request for its caller.

    Attributes:
        status: HTTP status; 0 if the connection ended before the response.
        whole: Whether the response is the complete one to this request.
        kind: Error kind if an entry host responded with a problem document.
        executed: `yes`, `no` or `unknown`.
        seconds: Time to the response.
        detail: Received data or error, for the report.
    """

    status: int
    whole: bool
    kind: str
    executed: str
    seconds: float
    detail: str = ""


class Balancer:
    """Distributes requests round-robin to the ready entry hosts."""

    def __init__(self, ports: Sequence[int], clock: clocks.Clock) -> None:
        self._ports = tuple(ports)
        self._clock = clock
        self._ready: tuple[int, ...] = ()
        self._next_index = itertools.count()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._check, daemon=True)

    def start(self) -> None:
        """Starts the health checks."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the health checks."""
        self._stopping.set()
        self._thread.join()

    @property
    def ready_ports(self) -> tuple[int, ...]:
        """Ports of the ready entry hosts."""
        return self._ready

    def next_port(self) -> int:
        """Returns the port of the next ready entry host.

        Raises:
            LookupError: No entry host is ready.
        """
        ready = self._ready
        if not ready:
            raise LookupError("no entry host is ready")
        return ready[next(self._next_index) % len(ready)]

    def _check(self) -> None:
        while not self._clock.wait(self._stopping, CHECK_SECONDS):
            self._ready = tuple(port for port in self._ports if _is_ready(port))


def _is_ready(port: int) -> bool:
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=CHECK_TIMEOUT_SECONDS
    )
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == http.client.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def send(port: int, call: Call, clock: clocks.Clock) -> Outcome:
    """Sends a request on a new connection and checks the response.

    Args:
        port: Port of the entry host.
        call: The request.
        clock: Source of monotonic time.

    Returns:
        The outcome, with status 0 if the connection ended early.
    """
    started_at = clock.monotonic()
    connection = http.client.HTTPConnection(
        "127.0.0.1",
        port,
        timeout=call.deadline_ms / 1000 + CLIENT_MARGIN_SECONDS,
    )
    try:
        connection.request(
            call.method, call.path, call.body, headers=_headers(call)
        )
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        seconds = clock.monotonic() - started_at
        return Outcome(0, False, "", "unknown", seconds, repr(error))
    finally:
        connection.close()
    is_problem = response.headers.get_content_type() == PROBLEM_TYPE
    interpret = _decode_problem if is_problem else _check_response
    return interpret(
        call, response.status, body, clock.monotonic() - started_at
    )


def _decode_problem(
    call: Call, status: int, body: bytes, seconds: float
) -> Outcome:
    """Decodes a problem document of an entry host."""
    problem = json.loads(body)
    return Outcome(
        status,
        False,
        problem["kind"],
        problem["executed"],
        seconds,
        problem.get("detail", ""),
    )


def _check_response(
    call: Call, status: int, body: bytes, seconds: float
) -> Outcome:
    """Compares a back end's response with the expected one."""
    expected = http_wire.answer_body(
        call.method, call.path, call.caller, call.body
    )
    whole = body == expected
    return Outcome(
        status, whole, "", "yes", seconds, "" if whole else repr(body)
    )


def _headers(call: Call) -> dict[str, str]:
    key = call.idempotency_key
    return {
        exchange.CALLER_HEADER: call.caller,
        exchange.DEADLINE_HEADER: str(call.deadline_ms),
        "Connection": "close",
        **({exchange.IDEMPOTENCY_KEY_HEADER: key} if key else {}),
    }
