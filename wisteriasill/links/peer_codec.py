"""CBOR encoding of the messages between peers."""

from __future__ import annotations

from typing import Any, NamedTuple

import cbor2
from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.links import peer_messages

_CLASSES_BY_TYPE: dict[str, Any] = {
    "hello": peer_messages.Hello,
    "heartbeat": peer_messages.Heartbeat,
    "in_flight": peer_messages.InFlight,
    "departure": peer_messages.Departure,
    "configuration": peer_messages.ConfigurationMessage,
    "credit_request": peer_messages.CreditMessage,
    "credit_grant": peer_messages.CreditMessage,
    "credit_return": peer_messages.CreditMessage,
    "goodbye": peer_messages.Goodbye,
}


class Received(NamedTuple):
    """A decoded message.

    Attributes:
        message_type: Type of the message.
        message: The validated message; None for an unknown type. Older
            members receive unknown types during a rolling upgrade.
    """

    message_type: str
    message: Any


def _invalid(detail: str) -> result.Result[Any, errors.Failure]:
    return result.Failure(errors.failure(errors.ErrorKind.BAD_REQUEST, detail))


def encode(
    message: peer_messages.Message,
) -> result.Result[bytes, errors.Failure]:
    """Encodes a message.

    Args:
        message: The message.

    Returns:
        The encoded bytes, or a failure if they exceed the size limit.
    """
    body = cbor2.dumps(message)
    if len(body) > peer_messages.MAX_MESSAGE_BYTES:
        return _invalid(f"message {message['type']} has {len(body)} bytes")
    return result.Success(body)


def decode(body: bytes | str) -> result.Result[Received, errors.Failure]:
    """Decodes and validates a message.

    Args:
        body: A received frame.

    Returns:
        The message, or a failure that describes what is invalid.
    """
    if isinstance(body, str):
        return _invalid("text frame")
    try:
        document = cbor2.loads(body)
    except cbor2.CBORError as error:
        return _invalid(f"not CBOR: {error}")
    if not isinstance(document, dict):
        return _invalid("message is not a map")
    message_type = document.get("type")
    if not isinstance(message_type, str):
        return _invalid("message has no type")
    message_class = _CLASSES_BY_TYPE.get(message_type)
    if message_class is None:
        return result.Success(Received(message_type, None))
    decoded: result.Result[Any, errors.Failure] = documents.decode(
        message_class, document
    )
    return decoded.map(lambda message: Received(message_type, message))
