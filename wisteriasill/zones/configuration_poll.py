"""Follows the configuration, by the store and by peers."""

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

Loader = Callable[
    [
        platforms.Platform,
        configurations.Manifest,
        configurations.Configuration,
    ],
    result.Result[configurations.Configuration, errors.Failure],
]
# Documents are sent to a peer in messages of about this size, so that each
# stays below the bound on messages.
_DOCUMENTS_BYTES = 256 * 1024


class _Offer(NamedTuple):
    """A manifest that a peer has in force."""

    peer_id: str
    manifest: configurations.Manifest


def split_documents(
    bodies_by_digest: Mapping[str, bytes],
) -> list[dict[str, bytes]]:
    """Divides documents into messages.

    Args:
        bodies_by_digest: The documents.

    Returns:
        Groups of at most `_DOCUMENTS_BYTES`, but of one document at least.
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
    """Adopts the highest generation that the store or a peer shows."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        platform: platforms.Platform,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        clock: clocks.Clock,
        load_configuration: Loader,
    ) -> None:
        self._settings = settings
        self._platform = cached_objects.CachedPlatform(platform)
        self._site = site
        self._mesh = mesh
        self._clock = clock
        self._load = load_configuration
        self._lock = threading.Lock()
        self._offer: _Offer | None = None
        self._highest_heard = 0
        self._asked_at_by_peer: dict[str, float] = {}
        self._stale_generation: int | None = None
        self._poll_at = clock.monotonic()
        self.changed = threading.Event()

    def listen(self) -> None:
        """Listens to peers."""
        self._mesh.on_message("heartbeat", self._note_heartbeat)
        self._mesh.on_message("configuration", self._note_news)

    def turn(self) -> float:
        """Adopts what peers offered; polls the store when that is due.

        Returns:
            Seconds until the next poll.
        """
        with self._lock:
            offer, self._offer = self._offer, None
        if offer is not None:
            self._adopt(offer.manifest, offer.peer_id)
        now = self._clock.monotonic()
        if now >= self._poll_at:
            self._poll_at = now + self._settings.poll_seconds
            self._poll()
        return max(0.0, self._poll_at - self._clock.monotonic())

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
            self._note_stale(manifest.generation)
        if manifest.generation == self._generation():
            self._site.confirm("configuration")

    def _adopt(
        self, manifest: configurations.Manifest, peer_id: str | None
    ) -> None:
        in_force = self._site.snapshot.configuration
        if manifest.generation <= in_force.generation:
            return
        if not in_force.generation and manifest.generation < self._highest():
            # The first read after a restart may be older than what was in
            # force before; a peer has the newer one.
            return
        loaded = self._load(self._platform, manifest, in_force)
        if not isinstance(loaded, result.Success):
            self._note_not_loaded(manifest, peer_id, loaded.failure())
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
            self._mesh.broadcast(self._news())

    def _note_not_loaded(
        self,
        manifest: configurations.Manifest,
        peer_id: str | None,
        failure: errors.Failure,
    ) -> None:
        """Asks the peer that has the documents, or any, for missing ones."""
        if failure.kind is errors.ErrorKind.INVALID_CONFIGURATION:
            self._log_invalid(failure)
            # A document from a peer may be damaged; the store decides then.
            self._platform.objects.keep_only(())
        in_force = self._site.snapshot.configuration.manifest
        known = {entry.digest for entry in in_force.entries.values()}
        needed = {entry.digest for entry in manifest.entries.values()} - known
        cached = self._platform.objects.remembered(needed)
        news = self._news()
        news["wanted"] = sorted(needed - cached.keys())
        if news["wanted"] and peer_id is not None:
            self._mesh.send(peer_id, news)

    def _news(self) -> peer_messages.ConfigurationNews:
        manifest = self._site.snapshot.configuration.manifest
        return {
            "type": "configuration",
            "manifest": documents.encode(manifest),
        }

    def _highest(self) -> int:
        with self._lock:
            return self._highest_heard

    def _note_heartbeat(
        self, peer_id: str, message: peer_messages.Heartbeat
    ) -> None:
        """Asks a peer with a higher generation for its manifest."""
        if message["generation"] <= self._generation():
            return
        now = self._clock.monotonic()
        with self._lock:
            self._highest_heard = max(
                self._highest_heard, message["generation"]
            )
            asked_at = self._asked_at_by_peer.get(peer_id)
            period_seconds = self._settings.poll_seconds
            if asked_at is not None and now - asked_at < period_seconds:
                return
            self._asked_at_by_peer[peer_id] = now
        self._mesh.send(peer_id, self._news())

    def _note_news(
        self, peer_id: str, message: peer_messages.ConfigurationNews
    ) -> None:
        decoded = documents.decode(configurations.Manifest, message["manifest"])
        if not isinstance(decoded, result.Success):
            self._log_invalid(decoded.failure())
            return
        manifest: configurations.Manifest = decoded.unwrap()
        self._send_wanted(peer_id, message.get("wanted", []))
        if manifest.generation < self._generation():
            if not message.get("wanted"):
                self._mesh.send(peer_id, self._news())
            return
        if manifest.generation == self._generation():
            return
        self._platform.objects.add(message.get("documents", {}))
        with self._lock:
            best = self._offer
            if best is None or best.manifest.generation <= manifest.generation:
                self._offer = _Offer(peer_id, manifest)
        self.changed.set()

    def _send_wanted(self, peer_id: str, wanted: list[str]) -> None:
        bodies = self._platform.objects.remembered(wanted)
        for group in split_documents(bodies):
            news = self._news()
            news["documents"] = group
            self._mesh.send(peer_id, news)

    def _note_stale(self, generation: int) -> None:
        if generation == self._stale_generation:
            return
        self._stale_generation = generation
        events.log(
            events.Event.CONFIGURATION_STALE,
            "An older configuration than the one in force was read",
            level="WARNING",
            read=generation,
            in_force=self._generation(),
        )

    def _log_invalid(self, failure: errors.Failure) -> None:
        events.log(
            events.Event.CONFIGURATION_INVALID,
            "A configuration cannot be read",
            level="ERROR",
            detail=failure.detail,
        )
