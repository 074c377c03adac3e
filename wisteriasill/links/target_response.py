"""Responses of targets, and the check that a response is complete."""

from __future__ import annotations

import io
from typing import NamedTuple

from returns import result

from wisteriasill import errors
from wisteriasill.contracts import exchange
from wisteriasill.links import http_headers
from wisteriasill.machines import host as hosts

Outcome = result.Result[exchange.Reply, errors.Failure]

MAX_RETRY_AFTER_SECONDS = 30


class Attempt(NamedTuple):
    """Parameters of one attempt to send a request to a target.

    Attributes:
        attempt_id: Unique id, sent as X-Request-Id and echoed by the target.
        deadline_at: Monotonic time in seconds at which the attempt times out.
        fresh_connection: Whether a new connection is required, because the
            request must run at most once.
        connection_limit: Maximum number of connections to the target,
            including idle ones.
    """

    attempt_id: str
    deadline_at: float
    fresh_connection: bool
    connection_limit: int


class Response:
    """Collects the status, headers and body of a response."""

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._body = io.BytesIO()
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.head_complete = False

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return self._body.getvalue()

    def add_header(self, line: bytes) -> None:
        """Adds a header line; a status line, as after 1xx, resets the list."""
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.headers.clear()
            self.status = int(text.split(" ", 2)[1])
        elif text:
            name, _, value = text.partition(":")
            self.headers.append((name.strip(), value.strip()))
        else:
            self.head_complete = self.status >= 200

    def add_body(self, data: bytes) -> int:
        """Adds body bytes; a smaller return value makes curl abort."""
        if self._body.tell() + len(data) > self._max_body_bytes:
            return 0
        return self._body.write(data)


def failed(
    kind: errors.ErrorKind,
    detail: str,
    executed: errors.Executed,
    retry_after_seconds: int | None = None,
) -> Outcome:
    """Builds the outcome of an attempt that failed."""
    return result.Failure(
        errors.failure(kind, detail, executed, retry_after_seconds)
    )


def check_response(
    target: hosts.Host,
    request: exchange.CallerRequest,
    attempt: Attempt,
    response: Response,
) -> Outcome:
    """Checks that a response is complete and belongs to this attempt.

    Args:
        target: The target that answered.
        request: The caller's request.
        attempt: The attempt.
        response: Data received until curl reported the end.

    Returns:
        The reply or a failure.
    """
    echoed = http_headers.first(response.headers, exchange.REQUEST_ID_HEADER)
    if echoed and echoed != attempt.attempt_id:
        return failed(
            errors.ErrorKind.ANSWER_MISMATCHED,
            f"{target.host_id}: the response belongs to another request",
            errors.Executed.UNKNOWN,
        )
    executed = http_headers.first(response.headers, exchange.EXECUTED_HEADER)
    if response.status == 503 and executed.lower() == "no":
        return failed(
            errors.ErrorKind.TARGET_REFUSED,
            f"{target.host_id}: the worker refused the request",
            errors.Executed.NO,
            _retry_after(response),
        )
    if not _states_length(request, response):
        return failed(
            errors.ErrorKind.ANSWER_TRUNCATED,
            f"{target.host_id}: the response has no length",
            errors.Executed.UNKNOWN,
        )
    return result.Success(
        exchange.Reply(
            response.status,
            http_headers.end_to_end(response.headers),
            response.body,
        )
    )


def _states_length(request: exchange.CallerRequest, response: Response) -> bool:
    """Returns whether the response states its length.

    A body that is delimited by the end of the connection cannot be told from
    a truncated one.
    """
    if request.method == "HEAD" or response.status in (204, 304):
        return True
    encoding = http_headers.first(response.headers, "Transfer-Encoding")
    length = http_headers.first(response.headers, "Content-Length")
    return bool(length) or "chunked" in encoding.lower()


def _retry_after(response: Response) -> int | None:
    text = http_headers.first(response.headers, "Retry-After")
    if not text.isascii() or not text.isdigit():
        return None
    return min(int(text), MAX_RETRY_AFTER_SECONDS)
