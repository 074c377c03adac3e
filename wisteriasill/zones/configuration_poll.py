"""Keeps the configuration current from the store and from peers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import threading
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill import settings as settings_module
from wisteriasill.contracts import configuration as configurations
from wisteriasill.links import cached_objects
from wisteriasill.links import peer_messages
from wisteriasill.links import platform as platforms
from wisteriasill.zones import site as sites

ConfigurationLoader = Callable[
    [
        platforms.Platform,
        configurations.Manifest,
        configurations.Configuration,
    ],
    result.Result[configurations.Configuration, errors.Failure],
]
# Documents are sent to peers in messages of about this size, which is below the
# limit of a message.
_DOCUMENTS_BYTES = 256 * 1024


class _PeerManifest(NamedTuple):
    """A manifest that is in force at a peer."""

    peer_id: str
    manifest: configurations.Manifest


def split_documents(
    bodies_by_digest: Mapping[str, bytes],
) -> list[dict[str, bytes]]:
    """Splits documents into groups, one for each message.

    Args:
        bodies_by_digest: The documents.

    Returns:
        Groups of at most `_DOCUMENTS_BYTES` or of a single larger document.
    """
    groups: list[dict[str, bytes]] = []
    size = 0
    for digest, body in sorted(bodies_by_digest.items()):
        if not groups or size + len(body) > _DOCUMENTS_BYTES:
            groups.append({})
            size = 0
        groups[-1][digest] = body
        size += len(body)
    return groups


class ConfigurationPoll:
    """Adopts the highest generation that the store or a peer has."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        platform: platforms.Platform,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        clock: clocks.Clock,
        load_configuration: ConfigurationLoader,
    ) -> None:
        self._settings = settings
        self._platform = cached_objects.CachedPlatform(platform)
        self._site = site
        self._mesh = mesh
        self._clock = clock
        self._load = load_configuration
        self._lock = threading.Lock()
        self._peer_manifest: _PeerManifest | None = None
        self._highest_peer_generation = 0
        self._requested_at_by_peer: dict[str, float] = {}
        self._logged_stale_generation: int | None = None
        self._next_poll_at = clock.monotonic()
        self.changed = threading.Event()

    def register_handlers(self) -> None:
        """Registers the handlers of peer messages."""
        self._mesh.on_message("heartbeat", self._handle_heartbeat)
        self._mesh.on_message("configuration", self._handle_manifest)

    def run_once(self) -> float:
        """Adopts a peer's manifest; polls the store when that is due.

        Returns:
            Seconds until the next poll.
        """
        with self._lock:
            peer_manifest, self._peer_manifest = self._peer_manifest, None
        if peer_manifest is not None:
            self._adopt(peer_manifest.manifest, peer_manifest.peer_id)
        now = self._clock.monotonic()
        if now >= self._next_poll_at:
            self._next_poll_at = now + self._settings.poll_seconds
            self._poll()
        return max(0.0, self._next_poll_at - self._clock.monotonic())

    def _generation(self) -> int:
        return self._site.snapshot.configuration.generation

    def _poll(self) -> None:
        read = self._platform.table.read(
            configurations.TABLE, configurations.CURRENT_KEY
        )
        if not isinstance(read, result.Success):
            return
        row: platforms.Row | None = read.unwrap()
        manifest = configurations.NO_CONFIGURATION.manifest
        if row is not None:
            decoded = documents.decode(configurations.Manifest, row.value)
            if not isinstance(decoded, result.Success):
                self._log_invalid(decoded.failure())
                return
            manifest = decoded.unwrap()
        if manifest.generation > self._generation():
            self._adopt(manifest, None)
        elif manifest.generation < self._generation():
            self._log_stale(manifest.generation)
        if manifest.generation == self._generation():
            self._site.confirm("configuration")

    def _adopt(
        self, manifest: configurations.Manifest, peer_id: str | None
    ) -> None:
        in_force = self._site.snapshot.configuration
        if manifest.generation <= in_force.generation:
            return
        if (
            not in_force.generation
            and manifest.generation < self._highest_generation()
        ):
            # The first read after a restart may be stale: older than the
            # generation in force before. A peer has a newer one.
            return
        loaded = self._load(self._platform, manifest, in_force)
        if not isinstance(loaded, result.Success):
            self._handle_load_failure(manifest, peer_id, loaded.failure())
            return
        if self._site.adopt_configuration(loaded.unwrap()):
            events.log(
                events.Event.CONFIGURATION_ADOPTED,
                "Configuration adopted",
                generation=manifest.generation,
            )
            self._platform.objects.keep_only(
                entry.digest for entry in manifest.entries.values()
            )
            self._mesh.broadcast(self._manifest_message())

    def _handle_load_failure(
        self,
        manifest: configurations.Manifest,
        peer_id: str | None,
        failure: errors.Failure,
    ) -> None:
        """Requests the missing documents from the peer with the manifest."""
        if failure.kind is errors.ErrorKind.INVALID_CONFIGURATION:
            self._log_invalid(failure)
            # A document from a peer may be corrupt. All cached documents are
            # dropped, so that they are read again.
            self._platform.objects.keep_only(())
        in_force = self._site.snapshot.configuration.manifest
        known = {entry.digest for entry in in_force.entries.values()}
        needed = {entry.digest for entry in manifest.entries.values()} - known
        cached = self._platform.objects.cached_bodies(needed)
        request = self._manifest_message()
        request["wanted"] = sorted(needed - cached.keys())
        if request["wanted"] and peer_id is not None:
            self._mesh.send(peer_id, request)

    def _manifest_message(self) -> peer_messages.ConfigurationMessage:
        manifest = self._site.snapshot.configuration.manifest
        return {
            "type": "configuration",
            "manifest": documents.encode(manifest),
        }

    def _highest_generation(self) -> int:
        with self._lock:
            return self._highest_peer_generation

    def _handle_heartbeat(
        self, peer_id: str, message: peer_messages.Heartbeat
    ) -> None:
        """Requests the manifest of a peer with a higher generation."""
        if message["generation"] <= self._generation():
            return
        now = self._clock.monotonic()
        with self._lock:
            self._highest_peer_generation = max(
                self._highest_peer_generation, message["generation"]
            )
            requested_at = self._requested_at_by_peer.get(peer_id)
            period_seconds = self._settings.poll_seconds
            if requested_at is not None and now - requested_at < period_seconds:
                return
            self._requested_at_by_peer[peer_id] = now
        self._mesh.send(peer_id, self._manifest_message())

    def _handle_manifest(
        self, peer_id: str, message: peer_messages.ConfigurationMessage
    ) -> None:
        decoded = documents.decode(configurations.Manifest, message["manifest"])
        if not isinstance(decoded, result.Success):
            self._log_invalid(decoded.failure())
            return
        manifest: configurations.Manifest = decoded.unwrap()
        self._send_wanted(peer_id, message.get("wanted", []))
        if manifest.generation < self._generation():
            if not message.get("wanted"):
                self._mesh.send(peer_id, self._manifest_message())
            return
        if manifest.generation == self._generation():
            return
        self._platform.objects.add(message.get("documents", {}))
        with self._lock:
            latest = self._peer_manifest
            if (
                latest is None
                or latest.manifest.generation <= manifest.generation
            ):
                self._peer_manifest = _PeerManifest(peer_id, manifest)
        self.changed.set()

    def _send_wanted(self, peer_id: str, wanted: list[str]) -> None:
        bodies = self._platform.objects.cached_bodies(wanted)
        for group in split_documents(bodies):
            reply = self._manifest_message()
            reply["documents"] = group
            self._mesh.send(peer_id, reply)

    def _log_stale(self, generation: int) -> None:
        if generation == self._logged_stale_generation:
            return
        self._logged_stale_generation = generation
        events.log(
            events.Event.CONFIGURATION_STALE,
            "Store returned an older configuration than the one in force",
            level="WARNING",
            read=generation,
            in_force=self._generation(),
        )

    def _log_invalid(self, failure: errors.Failure) -> None:
        events.log(
            events.Event.CONFIGURATION_INVALID,
            "Configuration is invalid",
            level="ERROR",
            detail=failure.detail,
        )
