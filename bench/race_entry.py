"""An entry host's configuration part, with a record of what was in force."""

from __future__ import annotations

import secrets
import threading
from typing import NamedTuple

from wisteriasill import clock as clocks
from wisteriasill import metrics as metric_types
from wisteriasill import settings as setting_types
from wisteriasill.contracts import configuration_store
from wisteriasill.links import operator_link
from wisteriasill.links import peer_link
from wisteriasill.links import platform
from wisteriasill.zones import membership
from wisteriasill.zones import site as sites
from wisteriasill.zones import site_poll

TOKEN = "bench"


class Adoption(NamedTuple):
    """A generation that came into force.

    Attributes:
        at: Monotonic seconds.
        generation: The generation.
        document_generations: Generation in which each document last changed.
    """

    at: float
    generation: int
    document_generations: dict[str, int]


class RaceEntry:
    """One life of an entry host, from its start to its stop.

    Args:
        member_id: Name of the entry host.
        platform_: The platform.

    Attributes:
        adoptions: What came into force, in order.
        stopped_at: Monotonic seconds; None while it runs.
    """

    def __init__(self, member_id: str, platform_: platform.Platform) -> None:
        self.adoptions: list[Adoption] = []
        self.stopped_at: float | None = None
        self._clock = clocks.SystemClock()
        self._lock = threading.Lock()
        settings = setting_types.EntrySettings(
            member_id, "zone-a", "", operator_token=TOKEN
        )
        incarnation = secrets.token_hex(8)
        metrics = metric_types.Metrics()
        self._site = sites.Site(self._clock)
        self._site.add_listener(self._note)
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
        """Base URL of the operators' port."""
        return f"http://127.0.0.1:{self._operators.port}"

    @property
    def generation(self) -> int:
        """Generation in force; 0 before the first."""
        return self._site.snapshot.configuration.generation

    def stop(self) -> None:
        """Stops as a replaced entry host does."""
        self.stopped_at = self._clock.monotonic()
        self._operators.stop(2.0)
        self._poll.stop()
        self._membership.stop()
        self._peers.stop()

    def _note(self, snapshot: sites.SiteSnapshot) -> None:
        # Listeners run on several threads, so the snapshot at hand may be an
        # older one than the last that was noted.
        with self._lock:
            current = self._site.snapshot.configuration
            known = self.adoptions[-1].generation if self.adoptions else 0
            if current.generation != known:
                entries = current.manifest.entries.items()
                self.adoptions.append(
                    Adoption(
                        self._clock.monotonic(),
                        current.generation,
                        {name: entry.generation for name, entry in entries},
                    )
                )
