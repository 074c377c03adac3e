"""Responses of targets, and the decision whether one is whole."""

from __future__ import annotations

import io
from typing import NamedTuple

from returns import result

from wisteriasill import errors
from wisteriasill.contracts import exchange
from wisteriasill.links import http_headers
from wisteriasill.machines import host as hosts

Outcome = result.Result[exchange.Reply, errors.Failure]

MAX_REFUSAL_SECONDS = 30


class Attempt(NamedTuple):
    """One attempt to have a request answered by a target.

    Attributes:
        attempt_id: Unique id, sent as X-Request-Id and echoed.
        deadline_at: Monotonic seconds at which the attempt ends.
        fresh_connection: Whether a new connection must be used, because the
            request must not be repeated.
        connection_limit: Most connections to the target, idle ones included.
    """

    attempt_id: str
    deadline_at: float
    fresh_connection: bool
    connection_limit: int


class Response:
    """Collects status, headers and body of a response while it arrives."""

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._body = io.BytesIO()
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.complete_head = False

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return self._body.getvalue()

    def add_header(self, line: bytes) -> None:
        """Takes a header line; a status line starts anew after 1xx."""
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.headers.clear()
            self.status = int(text.split(" ", 2)[1])
        elif text:
            name, _, value = text.partition(":")
            self.headers.append((name.strip(), value.strip()))
        else:
            self.complete_head = self.status >= 200

    def add_body(self, data: bytes) -> int:
        """Takes body bytes; returning fewer makes curl stop."""
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
    """Decides whether a response is the whole answer to this attempt.

    Args:
        target: The target that answered.
        request: The caller's request.
        attempt: The attempt.
        response: What arrived before curl reported the end.

    Returns:
        The reply or a failure.
    """
    echoed = http_headers.first(response.headers, exchange.REQUEST_ID_HEADER)
    if echoed and echoed != attempt.attempt_id:
        return failed(
            errors.ErrorKind.ANSWER_MISMATCHED,
            f"{target.host_id}: the answer belongs to another request",
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
    if not _has_known_length(request, response):
        return failed(
            errors.ErrorKind.ANSWER_TRUNCATED,
            f"{target.host_id}: the answer states no length",
            errors.Executed.UNKNOWN,
        )
    return result.Success(
        exchange.Reply(
            response.status,
            http_headers.end_to_end(response.headers),
            response.body,
        )
    )


def _has_known_length(
    request: exchange.CallerRequest, response: Response
) -> bool:
    """A body that ends with its connection can't be told from a cut one."""
    if request.method == "HEAD" or response.status in (204, 304):
        return True
    coding = http_headers.first(response.headers, "Transfer-Encoding")
    length = http_headers.first(response.headers, "Content-Length")
    return bool(length) or "chunked" in coding.lower()


def _retry_after(response: Response) -> int | None:
    text = http_headers.first(response.headers, "Retry-After")
    if not text.isascii() or not text.isdigit():
        return None
    return min(int(text), MAX_REFUSAL_SECONDS)
