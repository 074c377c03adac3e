"""The configuration in force and its generations."""

from __future__ import annotations

from collections.abc import Mapping
import types
from typing import NamedTuple

from wisteriasill.contracts import service

TABLE = "configuration"
CURRENT_KEY = "current"
SITE_DOCUMENT = "site"


class ManifestEntry(NamedTuple):
    """One document of the configuration.

    Attributes:
        digest: SHA-256 of the document; its key in the object store.
        generation: Generation in which the document last changed.
        author: Operator who changed it.
        changed_at: Unix time of the change, for operators to read.
    """

    digest: str
    generation: int
    author: str
    changed_at: float


class Manifest(NamedTuple):
    """The value of the configuration row.

    Attributes:
        generation: Grows by one with each accepted change.
        entries: Entries by document name; `site` is the document of the site.
        token: Random value of the last writer.
    """

    generation: int
    entries: Mapping[str, ManifestEntry]
    token: str = ""


class Configuration(NamedTuple):
    """A whole configuration with decoded documents.

    Attributes:
        generation: Generation of the manifest.
        site: Contract of the site.
        services_by_name: Contracts of all services.
        manifest: The manifest of these documents.
    """

    generation: int
    site: service.SiteContract
    services_by_name: Mapping[str, service.Service]
    manifest: Manifest

    @property
    def spare_pool(self) -> str:
        """Name of the spare pool; empty if the site has none."""
        return next(
            (
                name
                for name, contract in self.services_by_name.items()
                if contract.pool.spare
            ),
            "",
        )


NO_CONFIGURATION = Configuration(
    generation=0,
    site=service.SiteContract("none", service.Preference.ROLL_OUT_TIME),
    services_by_name=types.MappingProxyType({}),
    manifest=Manifest(0, types.MappingProxyType({})),
)
