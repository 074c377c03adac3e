"""Fault switches and reports of a back end."""

from __future__ import annotations

from typing import NamedTuple


class Faults(NamedTuple):
    """Fault switches of a back end.

    Attributes:
        refuse: Responds with 503 and `X-Executed: no`.
        fail: Responds with 500 after the work.
        hang: Accepts requests and never responds; the slot stays in use.
        truncate: `length` sends a body shorter than its Content-Length,
            `chunk` an incomplete chunk; then the connection is closed.
        late_seconds: Additional time before each response.
        mixed: Responds with the request id and the body of another request.
    """

    refuse: bool = False
    fail: bool = False
    hang: bool = False
    truncate: str = ""
    late_seconds: float = 0.0
    mixed: bool = False


NO_FAULTS = Faults()


class Execution(NamedTuple):
    """An executed request.

    Attributes:
        request_id: Id of the attempt, as the entry host sent it.
        idempotency_key: The caller's key; empty for none.
        started_at: Monotonic time in seconds, comparable on one machine.
    """

    request_id: str
    idempotency_key: str
    started_at: float


class BackendReport(NamedTuple):
    """Counts and executions of a back end since its start.

    Attributes:
        executions: All executed requests.
        refused: Number of requests refused with `X-Executed: no`.
        max_slots: Peak number of concurrent requests.
        max_connections: Peak number of concurrent connections.
        refused_connections: Number of connections refused at the limit.
        interrupted: Number of requests interrupted by a reboot or stop.
        last_new_request_at: Monotonic time in seconds of the last request
            that was executed or refused; 0 if there was none.
    """

    executions: tuple[Execution, ...]
    refused: int
    max_slots: int
    max_connections: int
    refused_connections: int
    interrupted: int
    last_new_request_at: float
