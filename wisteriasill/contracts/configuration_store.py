"""Loads the configuration in force and publishes changes to it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import random
import secrets
import threading
import time
from typing import NamedTuple, NoReturn

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import capacity_promise
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import configuration_change as changes
from wisteriasill.contracts import configuration_documents
from wisteriasill.contracts import configuration_reader
from wisteriasill.contracts import publication
from wisteriasill.links import platform

Change = publication.Change
load = configuration_reader.load

Latest = Callable[[], configurations.Configuration]
Published = result.Result[configurations.Manifest, errors.Failure]

# Twenty concurrent operators need at most twenty attempts of a few milliseconds
# each; the rest covers stale reads and slow answers of the store.
PUBLISH_SECONDS = 20.0
RETRY_SECONDS = 0.1

_RETRIED_KINDS = frozenset(
    {errors.ErrorKind.CONFLICT, errors.ErrorKind.STORE_OUTCOME_UNKNOWN}
)


class _Draft(NamedTuple):
    """A new generation with the conditions under which it is written."""

    manifest: configurations.Manifest
    record: publication.Publication
    conditions: tuple[platform.Condition, ...]


def publish(
    platform_: platform.Platform,
    change: Change,
    latest: Latest = lambda: configurations.NO_CONFIGURATION,
    clock: clocks.Clock | None = None,
) -> Published:
    """Puts a change in force atomically.

    Args:
        platform_: The platform.
        change: The change. Documents that are already in force are skipped; if
            none remains, no generation is created.
        latest: Returns the newest configuration that is known without the
            store. It saves reads of documents, and a publish is based on it
            if reads of the store are stale.
        clock: Clock for the waits between attempts.

    Returns:
        The manifest that contains the change; CONFIGURATION_CONFLICT,
        CAPACITY_PROMISE or INVALID_CONFIGURATION if it was refused; or a
        failure of the store.
    """
    contracts: dict[str, configuration_documents.Contract] = {}
    for name, value in change.documents.items():
        match configuration_documents.decode_value(name, value):
            case result.Failure(failure):
                return result.Failure(failure)
            case result.Success(contract):
                contracts[name] = contract
    return _Publisher(
        platform_, change, contracts, latest, clock or clocks.SystemClock()
    ).run()


class _Publisher:
    """A publish call: retries its transaction until the outcome is known."""

    def __init__(
        self,
        platform_: platform.Platform,
        change: Change,
        contracts: Mapping[str, configuration_documents.Contract],
        latest: Latest,
        clock: clocks.Clock,
    ) -> None:
        self._platform = platform_
        self._change = change
        self._contracts = contracts
        self._latest = latest
        self._in_force = latest()
        self._clock = clock
        self._never_set = threading.Event()
        self._give_up_at = clock.monotonic() + PUBLISH_SECONDS
        self._uncertain: _Draft | None = None

    def run(self) -> Published:
        """Retries attempts that lost a race until the time is up."""
        while True:
            outcome = self._attempt()
            match outcome:
                case result.Failure(failure) if (
                    failure.kind in _RETRIED_KINDS and self._pause()
                ):
                    continue
            return outcome

    def _pause(self) -> bool:
        """Waits for a random time; returns False if the time is up."""
        if self._clock.monotonic() >= self._give_up_at:
            return False
        self._clock.wait(
            self._never_set, random.uniform(0.1, 1) * RETRY_SECONDS
        )
        return True

    def _attempt(self) -> Published:
        if self._uncertain is not None:
            return self._resolve(self._uncertain)
        match configuration_reader.read_manifest(self._platform):
            case result.Failure(failure):
                return result.Failure(failure)
            case result.Success((manifest, version)):
                pass
        newest = self._latest()
        if newest.generation > manifest.generation:
            # Each generation is one write of the row, so the row's version
            # equals the generation; otherwise the transaction fails.
            manifest, version = newest.manifest, newest.generation
            self._in_force = newest
        if manifest.generation < self._change.base_generation:
            return self._refuse(
                version, changes.unknown_base(self._change, manifest)
            )
        selection = changes.select(
            manifest, self._contracts, self._change.removed
        )
        if not selection.names:
            # A stale read may show this change in force although someone else
            # has replaced it; a transaction without writes detects that.
            return self._confirm(version).map(lambda _: manifest)
        match load(self._platform, manifest, self._in_force):
            case result.Failure(failure):
                return result.Failure(failure)
            case result.Success(in_force):
                self._in_force = in_force
        return self._draft(selection, version).bind(self._write)

    def _confirm(
        self, version: int
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        """Checks that a manifest is current; returns CONFLICT if not."""
        return self._platform.table.transact([_condition(version)], [])

    def _refuse(
        self, version: int, reason: errors.Failure
    ) -> result.Result[NoReturn, errors.Failure]:
        """Refuses the change unless the manifest was a stale read."""
        match self._confirm(version):
            case result.Failure(failure):
                return result.Failure(failure)
        return result.Failure(reason)

    def _draft(
        self, selection: changes.Selection, version: int
    ) -> result.Result[_Draft, errors.Failure]:
        reason = self._find_refusal(selection)
        if reason is not None:
            return self._refuse(version, reason)
        _, merged = changes.merge(self._in_force, selection)
        checked = capacity_promise.check_change(
            self._platform, self._in_force.services_by_name, merged
        )
        match checked:
            case result.Failure(
                errors.Failure(
                    kind=errors.ErrorKind.CAPACITY_PROMISE
                ) as failure
            ):
                return self._refuse(version, failure)
            case result.Failure(failure):
                return result.Failure(failure)
            case result.Success(conditions):
                pass
        stored = configuration_reader.put_documents(
            self._platform, selection.changed.values()
        )
        match stored:
            case result.Failure(failure):
                return result.Failure(failure)
        record = self._record(selection)
        return result.Success(
            _Draft(
                changes.next_manifest(self._in_force, selection, record),
                record,
                (_condition(version), *conditions),
            )
        )

    def _find_refusal(
        self, selection: changes.Selection
    ) -> errors.Failure | None:
        manifest = self._in_force.manifest
        conflict = changes.find_conflict(self._change, selection, manifest)
        if conflict is None:
            site, merged = changes.merge(self._in_force, selection)
            return changes.check(
                self._in_force, site, merged, selection.removed
            )
        other_changes: tuple[str, ...] = ()
        if conflict.entry is not None:
            key = publication.record_key(conflict.entry.generation)
            match self._platform.table.read(configurations.TABLE, key):
                case result.Success(platform.Row(value=value)):
                    lines = value.get("changes", {}).get(conflict.name, ())
                    other_changes = tuple(str(line) for line in lines)
        return changes.conflict_failure(
            self._change, conflict, manifest, other_changes
        )

    def _record(self, selection: changes.Selection) -> publication.Publication:
        return publication.Publication(
            generation=self._in_force.generation + 1,
            token=secrets.token_hex(16),
            author=self._change.author,
            changed_at=time.time(),
            changes=changes.describe(self._in_force, selection),
        )

    def _write(self, draft: _Draft) -> Published:
        generation = draft.record.generation
        writes = [
            platform.Write(
                configurations.TABLE,
                configurations.CURRENT_KEY,
                documents.encode(draft.manifest),
            ),
            platform.Write(
                configurations.TABLE,
                publication.record_key(generation),
                documents.encode(draft.record),
            ),
        ]
        if generation > publication.KEPT_RECORDS:
            expired_key = publication.record_key(
                generation - publication.KEPT_RECORDS
            )
            writes.append(
                platform.Write(configurations.TABLE, expired_key, None)
            )
        written = self._platform.table.transact(draft.conditions, writes)
        match written:
            case result.Failure(
                errors.Failure(kind=errors.ErrorKind.STORE_OUTCOME_UNKNOWN)
            ):
                self._uncertain = draft
        return written.map(lambda _: draft.manifest)

    def _resolve(self, draft: _Draft) -> Published:
        """Determines whether a write whose answer was lost took effect."""
        key = publication.record_key(draft.record.generation)
        match self._platform.table.read(configurations.TABLE, key):
            case result.Success(platform.Row(value=value)):
                if value.get("token") == draft.record.token:
                    return result.Success(draft.manifest)
                self._uncertain = None  # Someone else wrote the generation.
                return self._attempt()
            case result.Success(None):
                return self._repeat_if_current(draft)
            case _:
                return result.Failure(_unknown_outcome(draft))

    def _repeat_if_current(self, draft: _Draft) -> Published:
        # There is no record: the read was stale or nothing was written. The
        # conditions of the retry distinguish the two.
        match self._write(draft):
            case result.Success(manifest):
                return result.Success(manifest)
            case result.Failure(errors.Failure(kind=errors.ErrorKind.CONFLICT)):
                match self._confirm(draft.conditions[0].version):
                    case result.Success(_):
                        self._uncertain = None  # The conflict is with a pool.
        return result.Failure(_unknown_outcome(draft))


def _condition(version: int) -> platform.Condition:
    return platform.Condition(
        configurations.TABLE, configurations.CURRENT_KEY, version
    )


def _unknown_outcome(draft: _Draft) -> errors.Failure:
    return errors.failure(
        errors.ErrorKind.STORE_OUTCOME_UNKNOWN,
        f"generation {draft.record.generation} may be in force; publish the "
        "same files again, which changes nothing if it is",
    )
