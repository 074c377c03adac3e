"""Comparison of a directory with the configuration in force.

Shared by the `plan` and `publish` commands.
"""

from __future__ import annotations

from collections.abc import Mapping
import pathlib
from typing import Any, NamedTuple

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.commands import console
from wisteriasill.commands import lock_file
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import configuration_documents
from wisteriasill.contracts import service_file
from wisteriasill.links import operator_client

Contract = configuration_documents.Contract


class ConfigurationInForce(NamedTuple):
    """The configuration in force, as reported by an entry host.

    Attributes:
        generation: Its generation.
        contracts: Contracts by document name.
        authors: Last author by document name.
    """

    generation: int
    contracts: Mapping[str, Contract]
    authors: Mapping[str, str]


class Comparison(NamedTuple):
    """A directory compared with the configuration in force.

    Attributes:
        folder: The directory.
        contracts: Its contracts by document name.
        in_force: The configuration in force.
        lock: Content of its lock file.
    """

    folder: pathlib.Path
    contracts: Mapping[str, Contract]
    in_force: ConfigurationInForce
    lock: lock_file.Lock | None

    @property
    def differences(self) -> dict[str, tuple[str, ...]]:
        """Difference lines by name of the documents that differ."""
        lines_by_name = {
            name: configuration_documents.differences(
                self.in_force.contracts.get(name), contract
            )
            for name, contract in self.contracts.items()
        }
        return {name: lines for name, lines in lines_by_name.items() if lines}

    @property
    def without_file(self) -> list[str]:
        """Documents in force that the directory has no file for."""
        return sorted(set(self.in_force.contracts) - set(self.contracts))

    @property
    def next_lock(self) -> lock_file.Lock:
        """Lock file content that records this comparison."""
        site = self.contracts[configurations.SITE_DOCUMENT]
        return lock_file.Lock(
            site.name,
            self.in_force.generation,
            tuple(sorted(self.in_force.contracts)),
        )


def compare(
    client: operator_client.OperatorClient, directory: str
) -> result.Result[Comparison, errors.Failure]:
    """Reads a directory and compares it with the configuration in force.

    Args:
        client: Client of an entry host.
        directory: Directory with `site.toml` and service files.

    Returns:
        The comparison; INVALID_CONFIGURATION if files have errors.
    """
    folder = pathlib.Path(directory)
    if not folder.is_dir():
        return console.invalid_setting(f'"{directory}" is not a directory')
    parsed = service_file.read_directory(folder)
    if parsed.errors or parsed.site is None:
        lines = "; ".join(problem.text for problem in parsed.errors)
        return result.Failure(
            errors.failure(errors.ErrorKind.INVALID_CONFIGURATION, lines)
        )
    contracts: dict[str, Contract] = {
        configurations.SITE_DOCUMENT: parsed.site,
        **parsed.services_by_name,
    }
    return lock_file.read(folder).bind(
        lambda lock: (
            client.get("/v1/configuration")
            .bind(_read_in_force)
            .map(lambda in_force: Comparison(folder, contracts, in_force, lock))
        )
    )


def _read_in_force(
    answer: dict[str, Any],
) -> result.Result[ConfigurationInForce, errors.Failure]:
    contracts: dict[str, Contract] = {}
    authors: dict[str, str] = {}
    for row in answer["documents"]:
        name = str(row["name"])
        match configuration_documents.decode_value(name, row["document"]):
            case result.Success(contract):
                contracts[name] = contract
                authors[name] = str(row["author"])
            case result.Failure(failure):
                return result.Failure(failure)
    return result.Success(
        ConfigurationInForce(int(answer["generation"]), contracts, authors)
    )


def choose_base(
    comparison: Comparison, base_option: int | None
) -> result.Result[lock_file.Lock, errors.Failure]:
    """Chooses the base generation of a publish.

    Args:
        comparison: The directory and the configuration in force.
        base_option: Value of --base; None if it was not given.

    Returns:
        The base, or INVALID_SETTING if the operator must choose it.
    """
    current = comparison.next_lock
    if base_option is not None:
        return result.Success(
            current._replace(generation=base_option, names=())
        )
    lock = comparison.lock
    if current.generation == 0:
        # No configuration is in force that a stale directory could revert.
        return result.Success(current)
    if lock is not None and lock.site != current.site:
        return console.invalid_setting(
            f"{comparison.folder / lock_file.NAME} belongs to site "
            f'"{lock.site}"; delete it or publish with --base'
        )
    if lock is not None and lock.generation > current.generation:
        return console.invalid_setting(
            f"{comparison.folder / lock_file.NAME} names generation "
            f"{lock.generation}, but {current.generation} is in force, so it "
            "comes from another site of that name; compare with "
            f"`wisteriasill plan {comparison.folder}`, then delete it or pass "
            "--base GENERATION"
        )
    if lock is not None:
        return result.Success(lock)
    differing = [
        name
        for name in comparison.differences
        if name in comparison.in_force.contracts
    ]
    if not differing:
        return result.Success(current)
    return console.invalid_setting(
        f"{', '.join(differing)} differ from generation {current.generation} "
        f"in force, and {comparison.folder} does not say which generation it "
        "is based on; compare with `wisteriasill plan "
        f"{comparison.folder}`, then publish, or pass --base GENERATION"
    )


def to_documents(contracts: Mapping[str, Contract]) -> dict[str, Any]:
    """Encodes contracts as plain data by name."""
    return {
        name: documents.encode(contract) for name, contract in contracts.items()
    }
