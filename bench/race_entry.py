"""Configuration part of an entry host that records adopted generations."""

from __future__ import annotations

import secrets
import threading
from typing import NamedTuple

from wisteriasill import clock as clocks
from wisteriasill import metrics as metric_types
from wisteriasill import settings as settings_module
from wisteriasill.contracts import configuration_store
from wisteriasill.links import operator_link
from wisteriasill.links import peer_link
from wisteriasill.links import platform
from wisteriasill.zones import membership
from wisteriasill.zones import site as sites
from wisteriasill.zones import site_poll

TOKEN = "bench"


class Adoption(NamedTuple):
    """Adoption of a generation by an entry host.

    Attributes:
        at: Monotonic seconds of the adoption.
        generation: Adopted generation.
        document_generations: Generation in which each document last changed.
    """

    at: float
    generation: int
    document_generations: dict[str, int]


class RaceEntry:
    """One incarnation of an entry host, from start to stop.

    Args:
        member_id: Name of the entry host.
        platform_: The platform.

    Attributes:
        adoptions: Adopted generations in order.
        stopped_at: Monotonic seconds of the stop; None while running.
    """

    def __init__(self, member_id: str, platform_: platform.Platform) -> None:
        self.adoptions: list[Adoption] = []
        self.stopped_at: float | None = None
        self._clock = clocks.SystemClock()
        self._lock = threading.Lock()
        settings = settings_module.EntrySettings(
            member_id, "zone-a", "", operator_token=TOKEN
        )
        incarnation = secrets.token_hex(8)
        metrics = metric_types.Metrics()
        self._site = sites.Site(self._clock)
        self._site.add_listener(self._record_adoption)
        self._peers = peer_link.PeerLinks(
            settings, self._site, incarnation, metrics, self._clock
        )
        self._operators = operator_link.OperatorLink(
            settings, platform_, self._site, self._peers, metrics
        )
        self._peers.start()
        self._operators.start()
        settings = settings._replace(
            peer_port=self._peers.port, operator_port=self._operators.port
        )
        self._membership = membership.Membership(
            settings,
            platform_,
            self._site,
            self._peers,
            incarnation,
            self._clock,
        )
        self._poll = site_poll.SitePoll(
            settings,
            platform_,
            self._site,
            self._peers,
            self._clock,
            configuration_store.load,
        )
        self._membership.start()
        self._poll.start()

    @property
    def url(self) -> str:
        """Base URL of the operator port."""
        return f"http://127.0.0.1:{self._operators.port}"

    @property
    def generation(self) -> int:
        """Adopted generation; 0 before the first."""
        return self._site.snapshot.configuration.generation

    def stop(self) -> None:
        """Stops gracefully, as a replaced entry host does."""
        self.stopped_at = self._clock.monotonic()
        self._operators.stop(2.0)
        self._poll.stop()
        self._membership.stop()
        self._peers.stop()

    def _record_adoption(self, snapshot: sites.SiteSnapshot) -> None:
        # Listeners run on several threads, so the given snapshot may be older
        # than the last one recorded.
        with self._lock:
            current = self._site.snapshot.configuration
            last_generation = (
                self.adoptions[-1].generation if self.adoptions else 0
            )
            if current.generation != last_generation:
                entries = current.manifest.entries.items()
                self.adoptions.append(
                    Adoption(
                        self._clock.monotonic(),
                        current.generation,
                        {name: entry.generation for name, entry in entries},
                    )
                )
