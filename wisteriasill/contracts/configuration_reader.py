"""Reads and stores the manifest and the documents of a configuration."""

from __future__ import annotations

from collections.abc import Iterable

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import configuration_documents
from wisteriasill.contracts import service as services
from wisteriasill.links import platform

PUT_ATTEMPTS = 3


def read_manifest(
    platform_: platform.Platform,
) -> result.Result[tuple[configurations.Manifest, int], errors.Failure]:
    """Reads the manifest and the version of its row.

    Args:
        platform_: The platform.

    Returns:
        The manifest and the version; before the first publish, an empty
        manifest and 0.
    """
    read = platform_.table.read(
        configurations.TABLE, configurations.CURRENT_KEY
    )
    return read.bind(_decode_manifest)


def _decode_manifest(
    row: platform.Row | None,
) -> result.Result[tuple[configurations.Manifest, int], errors.Failure]:
    if row is None:
        return result.Success((configurations.NO_CONFIGURATION.manifest, 0))
    return documents.decode(configurations.Manifest, row.value).map(
        lambda manifest: (manifest, row.version)
    )


def load(
    platform_: platform.Platform,
    manifest: configurations.Manifest,
    previous: configurations.Configuration,
) -> result.Result[configurations.Configuration, errors.Failure]:
    """Loads the configuration of a manifest.

    Args:
        platform_: The platform; only documents whose digest differs from the
            previous configuration's are fetched.
        manifest: The manifest.
        previous: A configuration that is already loaded.

    Returns:
        The configuration, or the failure of the first document that fails.
    """
    site = configurations.NO_CONFIGURATION.site
    services_by_name: dict[str, services.Service] = {}
    for name, entry in manifest.entries.items():
        match _load_document(platform_, name, entry, previous):
            case result.Failure(failure):
                return result.Failure(failure)
            case result.Success(services.SiteContract() as contract):
                site = contract
            case result.Success(services.Service() as contract):
                services_by_name[name] = contract
    return result.Success(
        configurations.Configuration(
            manifest.generation, site, services_by_name, manifest
        )
    )


def _load_document(
    platform_: platform.Platform,
    name: str,
    entry: configurations.ManifestEntry,
    previous: configurations.Configuration,
) -> result.Result[configuration_documents.Contract, errors.Failure]:
    previous_entry = previous.manifest.entries.get(name)
    if previous_entry is not None and previous_entry.digest == entry.digest:
        contract = contract_of(previous, name)
        if contract is not None:
            return result.Success(contract)
    return platform_.objects.get(entry.digest).bind(
        lambda body: _decode_document(name, entry, body)
    )


def _decode_document(
    name: str, entry: configurations.ManifestEntry, body: bytes | None
) -> result.Result[configuration_documents.Contract, errors.Failure]:
    if body is None:
        return result.Failure(
            errors.failure(
                errors.ErrorKind.STORE_UNAVAILABLE,
                f'document "{name}" is missing from the object store',
            )
        )
    return configuration_documents.decode(name, entry.digest, body)


def contract_of(
    configuration: configurations.Configuration, name: str
) -> configuration_documents.Contract | None:
    """Returns the contract of a document; None if none is in force."""
    if name not in configuration.manifest.entries:
        return None
    if name == configurations.SITE_DOCUMENT:
        return configuration.site
    return configuration.services_by_name.get(name)


def put_documents(
    platform_: platform.Platform,
    contracts: Iterable[configuration_documents.Contract],
) -> result.Result[None, errors.Failure]:
    """Stores documents under their digests; idempotent.

    Args:
        platform_: The platform.
        contracts: Contracts of the documents.

    Returns:
        Nothing, or the failure of the first document that fails. Neither
        changes the configuration in force.
    """
    for contract in contracts:
        body = configuration_documents.encode(contract)
        key = configuration_documents.digest(body)
        for _ in range(PUT_ATTEMPTS):
            stored = platform_.objects.put(key, body)
            if isinstance(stored, result.Success):
                break
        match stored:
            case result.Failure(failure):
                return result.Failure(
                    failure._replace(executed=errors.Executed.NO)
                )
    return result.Success(None)
