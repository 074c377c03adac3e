"""Decides what a change alters and whether it may be published."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from wisteriasill import errors
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import configuration_documents
from wisteriasill.contracts import configuration_reader
from wisteriasill.contracts import publication
from wisteriasill.contracts import service as services
from wisteriasill.contracts import site_checks

Contract = configuration_documents.Contract


class Selection(NamedTuple):
    """The documents of the configuration in force that a change alters.

    Attributes:
        changed: New contracts by document name.
        removed: Names of documents to remove.
    """

    changed: Mapping[str, Contract]
    removed: tuple[str, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all documents that the change alters."""
        return (*self.changed, *self.removed)


class Conflict(NamedTuple):
    """A document that someone else has changed or removed.

    Attributes:
        entry: Its current manifest entry; None if it was removed.
    """

    name: str
    entry: configurations.ManifestEntry | None


def select(
    manifest: configurations.Manifest,
    contracts: Mapping[str, Contract],
    removed: tuple[str, ...],
) -> Selection:
    """Returns the documents that differ from the configuration in force."""
    return Selection(
        {
            name: contract
            for name, contract in contracts.items()
            if name not in manifest.entries
            or manifest.entries[name].digest
            != configuration_documents.digest(
                configuration_documents.encode(contract)
            )
        },
        tuple(name for name in removed if name in manifest.entries),
    )


def find_conflict(
    change: publication.Change,
    selection: Selection,
    manifest: configurations.Manifest,
) -> Conflict | None:
    """Finds a document that was changed since the change's base generation.

    Args:
        change: The change with its base generations.
        selection: What it alters.
        manifest: The manifest in force.

    Returns:
        The first conflict by name; None if there is none.
    """
    for name in sorted(selection.names):
        entry = manifest.entries.get(name)
        if entry is None and name in change.base_names:
            return Conflict(name, None)
        if entry is not None and entry.generation > change.base_of(name):
            return Conflict(name, entry)
    return None


def conflict_failure(
    change: publication.Change,
    conflict: Conflict,
    manifest: configurations.Manifest,
    other_changes: tuple[str, ...],
) -> errors.Failure:
    """Builds the failure that explains a conflict to the operator.

    Args:
        change: The refused change.
        conflict: Why it is refused.
        manifest: The manifest in force.
        other_changes: Lines that describe the other change.

    Returns:
        The failure.
    """
    if conflict.entry is None:
        detail = (
            f'"{conflict.name}" was removed by someone else after generation '
            f"{change.base_of(conflict.name)}; to bring it back publish with "
            f"--base {manifest.generation}"
        )
    else:
        detail = publication.conflict_detail(
            conflict.name,
            conflict.entry,
            other_changes,
            change.base_of(conflict.name),
            manifest.generation,
        )
    return errors.failure(errors.ErrorKind.CONFIGURATION_CONFLICT, detail)


def unknown_base(
    change: publication.Change, manifest: configurations.Manifest
) -> errors.Failure:
    """Builds the failure of a base generation above the one in force."""
    return errors.failure(
        errors.ErrorKind.BAD_REQUEST,
        f"base generation {change.base_generation} does not exist; "
        f"{manifest.generation} is in force",
    )


def merge(
    in_force: configurations.Configuration, selection: Selection
) -> tuple[services.SiteContract | None, dict[str, services.Service]]:
    """Returns the site and the services after a change."""
    has_site = configurations.SITE_DOCUMENT in in_force.manifest.entries
    site = in_force.site if has_site else None
    merged = {
        name: service
        for name, service in in_force.services_by_name.items()
        if name not in selection.removed
    }
    for name, contract in selection.changed.items():
        if isinstance(contract, services.SiteContract):
            site = contract
        else:
            merged[name] = contract
    return site, merged


def check(
    in_force: configurations.Configuration,
    site: services.SiteContract | None,
    services_by_name: Mapping[str, services.Service],
    removed: tuple[str, ...],
) -> errors.Failure | None:
    """Checks the whole configuration that results from a change.

    Args:
        in_force: The configuration before the change.
        site: The site's contract after the change; None if there is none.
        services_by_name: All services after the change.
        removed: Documents that the change removes.

    Returns:
        INVALID_CONFIGURATION with all errors, or None.
    """
    if in_force.generation > 0 and site is not None:
        own_name = in_force.site.name
        if site.name != own_name:
            return errors.failure(
                errors.ErrorKind.INVALID_CONFIGURATION,
                f'the change is for site "{site.name}", but this is site '
                f'"{own_name}"; is --entry right?',
            )
    if site is None or configurations.SITE_DOCUMENT in removed:
        return errors.failure(
            errors.ErrorKind.INVALID_CONFIGURATION,
            "a site needs a site.toml; none is in force or in the change",
        )
    error_texts = [
        f"{finding.document}: {finding.text}"
        for finding in site_checks.check_all(site, services_by_name)
        if finding.is_error
    ]
    if not error_texts:
        return None
    return errors.failure(
        errors.ErrorKind.INVALID_CONFIGURATION, "; ".join(error_texts)
    )


def next_manifest(
    in_force: configurations.Configuration,
    selection: Selection,
    record: publication.Publication,
) -> configurations.Manifest:
    """Returns the manifest of the next generation."""
    entries = {
        name: entry
        for name, entry in in_force.manifest.entries.items()
        if name not in selection.removed
    }
    for name, contract in selection.changed.items():
        entries[name] = configurations.ManifestEntry(
            configuration_documents.digest(
                configuration_documents.encode(contract)
            ),
            record.generation,
            record.author,
            record.changed_at,
        )
    return configurations.Manifest(record.generation, entries, record.token)


def describe(
    in_force: configurations.Configuration, selection: Selection
) -> dict[str, tuple[str, ...]]:
    """Describes what a change does to each document that it alters."""
    return {
        name: configuration_documents.differences(
            configuration_reader.contract_of(in_force, name),
            selection.changed.get(name),
        )[: publication.MAX_CHANGE_LINES]
        for name in selection.names
    }
