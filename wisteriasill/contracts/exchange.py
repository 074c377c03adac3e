"""An HTTP exchange: the request of a caller and the reply of a target."""

from __future__ import annotations

from typing import NamedTuple

CALLER_HEADER = "X-Caller"
DEADLINE_HEADER = "X-Deadline-Ms"
REQUEST_ID_HEADER = "X-Request-Id"
EXECUTED_HEADER = "X-Executed"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
ANONYMOUS_CALLER = "anonymous"


class CallerRequest(NamedTuple):
    """A caller's complete request.

    Attributes:
        method: HTTP method in capitals.
        path: Decoded path.
        query: Query string without the question mark.
        headers: End-to-end headers, in order.
        body: The complete body.
        caller: Name of the caller.
        idempotency_key: Value of Idempotency-Key; empty for none.
        deadline_ms: Longest time that the caller waits; 0 for the default of
            the request class.
        received_at: Monotonic seconds when the request was read.
    """

    method: str
    path: str
    query: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    caller: str = ANONYMOUS_CALLER
    idempotency_key: str = ""
    deadline_ms: int = 0
    received_at: float = 0.0


class Reply(NamedTuple):
    """A complete reply of a target.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers, in order.
        body: The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
