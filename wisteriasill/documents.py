"""Conversion between typed values and the plain data that is stored."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
import enum
import functools
from typing import Any, TypeVar, cast

import pydantic
from returns import result

from wisteriasill import errors

T = TypeVar("T")


@functools.cache
def _adapter(value_type: Hashable) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(cast("type[Any]", value_type))


def encode(value: Any) -> Any:
    """Turns named tuples, mappings and enumerations into plain data.

    Args:
        value: A value made of named tuples, mappings, sequences, enumerations
            and scalars.

    Returns:
        The value as dicts, lists and scalars, ready for JSON or CBOR.
    """
    if isinstance(value, enum.Enum):
        return value.value
    if hasattr(value, "_asdict"):
        return {key: encode(item) for key, item in value._asdict().items()}
    if isinstance(value, Mapping):
        return {key: encode(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [encode(item) for item in value]
    return value


def decode(
    value_type: type[T], document: Any
) -> result.Result[T, errors.Failure]:
    """Validates plain data against a type and builds the value.

    Args:
        value_type: A `NamedTuple` or `TypedDict` type.
        document: Plain data, such as a table row's value.

    Returns:
        The value, or a BAD_REQUEST failure that names the first invalid key.
    """
    try:
        return result.Success(
            _adapter(cast(Hashable, value_type)).validate_python(document)
        )
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        path = ".".join(str(part) for part in first["loc"])
        return result.Failure(
            errors.failure(
                errors.ErrorKind.BAD_REQUEST,
                f"{value_type.__name__} {path}: {first['msg']}",
            )
        )
