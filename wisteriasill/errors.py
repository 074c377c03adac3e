"""All error kinds and the HTTP answer of each."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Executed(enum.StrEnum):
    """Whether a target executed the request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(enum.StrEnum):
    """Kinds of expected failures."""

    # Requests of callers.
    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    BODY_TOO_LARGE = "body-too-large"
    OVERLOADED = "overloaded"
    NO_CAPACITY = "no-capacity"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    TARGET_REFUSED = "target-refused"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_FAILED = "target-failed"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_MISMATCHED = "answer-mismatched"
    OUTCOME_UNKNOWN = "outcome-unknown"
    KEY_MISSING = "idempotency-key-missing"
    KEY_IN_PROGRESS = "idempotency-key-in-progress"
    KEY_REUSED = "idempotency-key-reused"
    SHUTTING_DOWN = "shutting-down"
    NOT_READY = "not-ready"
    NO_SUCH_JOB = "no-such-job"
    ACCEPTANCE_UNKNOWN = "acceptance-unknown"
    # Requests and files of operators.
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not-found"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    INVALID_CONFIGURATION = "invalid-configuration"
    CONFIGURATION_CONFLICT = "configuration-conflict"
    CAPACITY_PROMISE = "capacity-promise"
    # The platform.
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_OUTCOME_UNKNOWN = "store-outcome-unknown"
    CONFLICT = "conflict"
    LEASE_LOST = "lease-lost"
    PLATFORM_REFUSED = "platform-refused"
    # This process.
    INVALID_SETTING = "invalid-setting"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """HTTP answer to a failure.

    Attributes:
        status: HTTP status code.
        title: Short summary, the same for all failures of a kind.
        executed: Default that a failure can override.
        retry_after_seconds: Value of Retry-After, or None for no header.
    """

    status: int
    title: str
    executed: Executed = Executed.NO
    retry_after_seconds: int | None = None


ANSWERS_BY_KIND: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, "The request is malformed"),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, "No service has this path"),
    ErrorKind.BODY_TOO_LARGE: Answer(413, "The body is too large"),
    ErrorKind.OVERLOADED: Answer(
        503,
        "The service has no room before the deadline",
        retry_after_seconds=1,
    ),
    ErrorKind.NO_CAPACITY: Answer(
        503, "No worker of the pool takes requests", retry_after_seconds=2
    ),
    ErrorKind.DEADLINE_EXCEEDED: Answer(
        504, "The deadline passed", executed=Executed.UNKNOWN
    ),
    ErrorKind.TARGET_REFUSED: Answer(
        503, "The workers refused the request", retry_after_seconds=1
    ),
    ErrorKind.TARGET_UNREACHABLE: Answer(
        502, "No worker could be reached", retry_after_seconds=1
    ),
    ErrorKind.TARGET_FAILED: Answer(
        502, "The worker failed", executed=Executed.UNKNOWN
    ),
    ErrorKind.ANSWER_TRUNCATED: Answer(
        502, "The worker's answer was incomplete", executed=Executed.UNKNOWN
    ),
    ErrorKind.ANSWER_MISMATCHED: Answer(
        502,
        "The worker answered another request",
        executed=Executed.UNKNOWN,
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        502, "The outcome is not known", executed=Executed.UNKNOWN
    ),
    ErrorKind.KEY_MISSING: Answer(400, "Idempotency-Key is missing"),
    ErrorKind.KEY_IN_PROGRESS: Answer(
        409,
        "A request with this Idempotency-Key is in progress",
        executed=Executed.UNKNOWN,
        retry_after_seconds=1,
    ),
    ErrorKind.KEY_REUSED: Answer(
        422, "The Idempotency-Key was used with another request"
    ),
    ErrorKind.SHUTTING_DOWN: Answer(
        503, "This entry host is shutting down", retry_after_seconds=1
    ),
    ErrorKind.NOT_READY: Answer(
        503, "This entry host is not ready", retry_after_seconds=1
    ),
    ErrorKind.NO_SUCH_JOB: Answer(410, "No such job exists"),
    ErrorKind.ACCEPTANCE_UNKNOWN: Answer(
        504,
        "Whether the job is accepted is not known; hand it in again",
        executed=Executed.UNKNOWN,
        retry_after_seconds=1,
    ),
    ErrorKind.UNAUTHORIZED: Answer(401, "A valid bearer token is required"),
    ErrorKind.NOT_FOUND: Answer(404, "The resource does not exist"),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, "The method is not allowed"),
    ErrorKind.INVALID_CONFIGURATION: Answer(
        422, "The configuration has errors"
    ),
    ErrorKind.CONFIGURATION_CONFLICT: Answer(
        409, "The service was changed by someone else"
    ),
    ErrorKind.CAPACITY_PROMISE: Answer(
        409, "The change would break a capacity promise"
    ),
    ErrorKind.STORE_UNAVAILABLE: Answer(
        503, "The platform's store is not available", retry_after_seconds=5
    ),
    ErrorKind.STORE_OUTCOME_UNKNOWN: Answer(
        503,
        "The platform's store did not answer",
        executed=Executed.UNKNOWN,
        retry_after_seconds=5,
    ),
    ErrorKind.CONFLICT: Answer(409, "The row was changed by someone else"),
    ErrorKind.LEASE_LOST: Answer(
        503, "The pool is controlled by another entry host"
    ),
    ErrorKind.PLATFORM_REFUSED: Answer(502, "The platform refused the call"),
    ErrorKind.INVALID_SETTING: Answer(400, "A setting is invalid"),
    ErrorKind.INTERNAL: Answer(
        500, "Internal error", executed=Executed.UNKNOWN
    ),
}


class Failure(NamedTuple):
    """An expected failure, the error side of a `Result`.

    Attributes:
        kind: Error kind.
        detail: One sentence that names the affected key and its value.
        executed: Whether the request or the write took effect.
        retry_after_seconds: Delay before a retry; None for the default of
            the kind.
    """

    kind: ErrorKind
    detail: str
    executed: Executed
    retry_after_seconds: int | None = None

    @property
    def answer(self) -> Answer:
        """HTTP answer of the failure's kind."""
        return ANSWERS_BY_KIND[self.kind]


def failure(
    kind: ErrorKind,
    detail: str,
    executed: Executed | None = None,
    retry_after_seconds: int | None = None,
) -> Failure:
    """Builds a failure; values not given default to those of the kind.

    Args:
        kind: Error kind.
        detail: One sentence that names the affected key and its value.
        executed: Overrides the kind's default.
        retry_after_seconds: Overrides the kind's default.

    Returns:
        The failure.
    """
    answer = ANSWERS_BY_KIND[kind]
    return Failure(
        kind,
        detail,
        answer.executed if executed is None else executed,
        answer.retry_after_seconds
        if retry_after_seconds is None
        else retry_after_seconds,
    )
