"""Documents of the configuration: encoding, digests and differences."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
import hashlib
import json
from typing import Any

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import service as services

Contract = services.Service | services.SiteContract


def encode(contract: Contract) -> bytes:
    """Returns the canonical JSON encoding of a contract."""
    return json.dumps(
        documents.encode(contract), sort_keys=True, separators=(",", ":")
    ).encode()


def digest(body: bytes) -> str:
    """Returns the key of a document in the object store."""
    return hashlib.sha256(body).hexdigest()


def decode_value(
    name: str, value: Any
) -> result.Result[Contract, errors.Failure]:
    """Decodes a contract from the plain data of a document.

    Args:
        name: Name of the document.
        value: Its plain data.

    Returns:
        The contract, or INVALID_CONFIGURATION.
    """
    decoded: result.Result[Contract, errors.Failure]
    if name == configurations.SITE_DOCUMENT:
        decoded = documents.decode(services.SiteContract, value)
    else:
        decoded = documents.decode(services.Service, value)
    match decoded:
        case result.Success(services.Service(name=service)) if service != name:
            return _invalid(f'document "{name}" describes service "{service}"')
        case result.Failure(failure):
            return _invalid(f'document "{name}": {failure.detail}')
    return decoded


def decode(
    name: str, expected_digest: str, body: bytes
) -> result.Result[Contract, errors.Failure]:
    """Decodes a contract from a document of the object store or of a peer.

    Args:
        name: Name of the document.
        expected_digest: Digest in the manifest.
        body: The document.

    Returns:
        The contract, or INVALID_CONFIGURATION.
    """
    if digest(body) != expected_digest:
        return _invalid(
            f'document "{name}" does not match the digest of its entry'
        )
    try:
        value = json.loads(body)
    except ValueError as error:
        return _invalid(f'document "{name}" is not JSON: {error}')
    return decode_value(name, value)


def _invalid(detail: str) -> result.Result[Contract, errors.Failure]:
    return result.Failure(
        errors.failure(errors.ErrorKind.INVALID_CONFIGURATION, detail)
    )


def differences(old: Contract | None, new: Contract | None) -> tuple[str, ...]:
    """Describes the differences between two contracts, one per line.

    Args:
        old: The contract in force; None if there is none.
        new: The other contract; None if it is removed.

    Returns:
        Lines such as `pool.hosts: 6 -> 7`.
    """
    if old is None:
        return () if new is None else ("added",)
    if new is None:
        return ("removed",)
    before = dict(_leaves((), documents.encode(old)))
    after = dict(_leaves((), documents.encode(new)))
    return tuple(
        f"{key}: {_format_leaf(before, key)} -> {_format_leaf(after, key)}"
        for key in (*before, *(key for key in after if key not in before))
        if before.get(key) != after.get(key)
    )


def _format_leaf(leaves: Mapping[str, Any], key: str) -> str:
    return json.dumps(leaves[key]) if key in leaves else "none"


def _leaves(path: tuple[str, ...], value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, Mapping):
        for key, child in value.items():
            yield from _leaves((*path, str(key)), child)
    elif isinstance(value, list) and any(
        isinstance(child, Mapping) for child in value
    ):
        for child in value:
            name = child.get("name", child.get("team", ""))
            yield from _leaves((*path, str(name)), child)
    else:
        yield ".".join(path), value
