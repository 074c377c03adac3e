"""Records of requests that must not be repeated, by idempotency key."""

from __future__ import annotations

import base64
import binascii
import enum
import hashlib
from typing import NamedTuple

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import exchange
from wisteriasill.links import platform as platforms

TABLE = "requests"
# Longer reply bodies are put into the object store.
INLINE_BODY_BYTES = 32 * 1024


class RecordState(enum.StrEnum):
    """State of a request."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    # Known not to be executed; the key may be claimed again. The row remains so
    # that a delayed copy of an older claim cannot take effect.
    RELEASED = "released"


class RequestRecord(NamedTuple):
    """A row of the requests table; its key is `row_key(...)`.

    Attributes:
        state: State of the request.
        body_digest: Digest that distinguishes a repeated request from another
            request with the same key.
        token: Random value of the claim.
        holder: Member id of the entry host that claimed it.
        incarnation: Incarnation of the holder's process.
        age_minutes: Value of the site's minute counter when the key was
            claimed; None if the holder did not know it.
        status: Status of the recorded reply.
        headers: Headers of the recorded reply.
        body: Body of the recorded reply in base64.
        body_object: Key of a long body in the object store; else empty.
    """

    state: RecordState
    body_digest: str
    token: str
    holder: str
    incarnation: str = ""
    age_minutes: int | None = None
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: str = ""
    body_object: str = ""


class Verdict(enum.Enum):
    """Meaning of a record for a request with its key."""

    OWN = enum.auto()
    FREE = enum.auto()
    REPLAY = enum.auto()
    REUSED = enum.auto()
    UNKNOWN = enum.auto()
    IN_PROGRESS = enum.auto()


def row_key(service: str, caller: str, key: str) -> str:
    """Returns the key of a record's row.

    Callers choose the keys, so the hash has to be resistant to deliberate
    collisions.
    """
    parts = "".join(f"{len(part)}:{part}" for part in (service, caller, key))
    return hashlib.sha256(parts.encode()).hexdigest()


def judge(
    record: RequestRecord | None, token: str, body_digest: str
) -> Verdict:
    """Decides what a record means for a request.

    Args:
        record: The record; None if there is none.
        token: Token of the request's own claim.
        body_digest: Digest of the request.

    Returns:
        The verdict.
    """
    if record is None or record.state is RecordState.RELEASED:
        return Verdict.FREE
    if record.token == token:
        return Verdict.OWN
    if record.body_digest != body_digest:
        return Verdict.REUSED
    if record.state is RecordState.FINISHED:
        return Verdict.REPLAY
    if record.state is RecordState.UNKNOWN:
        return Verdict.UNKNOWN
    return Verdict.IN_PROGRESS


def with_reply(record: RequestRecord, reply: exchange.Reply) -> RequestRecord:
    """Returns the finished record of a reply.

    Args:
        record: The claimed record.
        reply: The reply. A long body has to be put into the object store
            under the record's `body_object`.
    """
    is_long = len(reply.body) > INLINE_BODY_BYTES
    return record._replace(
        state=RecordState.FINISHED,
        status=reply.status,
        headers=reply.headers,
        body="" if is_long else base64.b64encode(reply.body).decode(),
        body_object=body_object_key(reply.body) if is_long else "",
    )


def body_object_key(body: bytes) -> str:
    """Returns the key of a body in the object store."""
    return f"replies-{hashlib.sha256(body).hexdigest()}"


def reply_of(
    record: RequestRecord, objects: platforms.ObjectStore
) -> result.Result[exchange.Reply, errors.Failure]:
    """Returns the complete recorded reply, or why it cannot be read now."""
    if not record.body_object:
        try:
            body = base64.b64decode(record.body, validate=True)
        except binascii.Error:
            return _unreadable("its body is not base64")
        return result.Success(
            exchange.Reply(record.status, record.headers, body)
        )
    read = objects.get(record.body_object)
    if not isinstance(read, result.Success):
        return _unreadable(read.failure().detail)
    stored: bytes | None = read.unwrap()
    if stored is None or body_object_key(stored) != record.body_object:
        return _unreadable("its body is missing from the object store")
    return result.Success(exchange.Reply(record.status, record.headers, stored))


def decode(
    row: platforms.Row | None,
) -> result.Result[RequestRecord | None, errors.Failure]:
    """Decodes a row; returns None if there is no row."""
    if row is None:
        return result.Success(None)
    decoded: result.Result[RequestRecord | None, errors.Failure] = (
        documents.decode(RequestRecord, row.value)
    )
    return decoded


def _unreadable(detail: str) -> result.Result[exchange.Reply, errors.Failure]:
    return result.Failure(
        errors.failure(
            errors.ErrorKind.STORE_UNAVAILABLE,
            f"the request was executed, but its reply cannot be read: {detail}",
            executed=errors.Executed.YES,
        )
    )
