"""Faults of a back end and what it reports."""

from __future__ import annotations

from typing import NamedTuple


class Faults(NamedTuple):
    """What a back end does wrong.

    Attributes:
        refuse: Answers 503 with `X-Executed: no`.
        fail: Answers 500 after the work.
        hang: Accepts requests and never answers; the slot stays taken.
        truncate: `length` sends a shorter body than announced, `chunk` a
            broken chunk; then the connection is closed.
        late_seconds: Additional time before each answer.
        mixed: Answers with the request id and the body of another request.
    """

    refuse: bool = False
    fail: bool = False
    hang: bool = False
    truncate: str = ""
    late_seconds: float = 0.0
    mixed: bool = False


NO_FAULTS = Faults()


class Execution(NamedTuple):
    """One request that was run.

    Attributes:
        request_id: Id of the attempt, as the entry host sent it.
        idempotency_key: The caller's key; empty for none.
        started_at: Monotonic seconds, comparable on one machine.
    """

    request_id: str
    idempotency_key: str
    started_at: float


class BackendReport(NamedTuple):
    """What a back end has seen since it was started.

    Attributes:
        executions: Every request that was run.
        refused: Requests answered with `X-Executed: no`.
        max_slots: Most requests that ran at a time.
        max_connections: Most connections that were served at a time.
        refused_connections: Connections turned away at the limit.
        interrupted: Requests cut off by a reboot or stop.
        last_new_request_at: Monotonic seconds of the last new request that
            was run or refused; 0 if there was none.
    """

    executions: tuple[Execution, ...]
    refused: int
    max_slots: int
    max_connections: int
    refused_connections: int
    interrupted: int
    last_new_request_at: float
