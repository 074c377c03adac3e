"""Outgoing peer links: one task for each peer that this member dials."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import contextlib
import logging
import random
import threading

from websockets import exceptions
from websockets.sync import client
from websockets.sync import connection as connections

from wisteriasill import clock as clocks
from wisteriasill import metrics as metrics_module
from wisteriasill import settings as settings_module
from wisteriasill.links import peer_messages
from wisteriasill.links import peer_topology
from wisteriasill.machines import member as members
from wisteriasill.zones import site as sites

# Zones of the size that the system is designed for have fewer entry hosts.
MAX_DIALLED_PEERS = 128
CLOSE_TIMEOUT_SECONDS = 1.0
_MIN_REDIAL_SECONDS = 0.1
_MAX_REDIAL_SECONDS = 2.0
# A lost peer is not a live member, but is redialled for this time: during a
# store outage, the links are the only way to learn that the peer is back.
_REDIAL_LOST_PEER_SECONDS = 900.0
# The websockets library logs failed handshakes with tracebacks. The peer links
# log and count their own events instead.
LIBRARY_LOGGER = logging.getLogger("wisteriasill.peers")
LIBRARY_LOGGER.addHandler(logging.NullHandler())
LIBRARY_LOGGER.propagate = False


class PeerDialer:
    """Runs one task for each peer with a higher id that needs a link."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        site: sites.Site,
        incarnation: str,
        metrics: metrics_module.Metrics,
        clock: clocks.Clock,
        executor: futures.Executor,
        run_link: Callable[[connections.Connection, str], bool],
    ) -> None:
        """Builds the dialler.

        Args:
            settings: Settings of this entry host.
            site: View of the site with the live members.
            incarnation: Incarnation of this process.
            metrics: Metrics of this process.
            clock: Source of monotonic time.
            executor: Executor of the tasks.
            run_link: Runs a link over a connection with the peer of the given
                id until it ends; returns whether a link was established.
        """
        self._settings = settings
        self._site = site
        self._incarnation = incarnation
        self._metrics = metrics
        self._clock = clock
        self._executor = executor
        self._run_link = run_link
        self._random = random.Random(f"{settings.member_id}/{incarnation}")
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._tasks_by_id: dict[str, futures.Future[None]] = {}
        self._known_by_id: dict[str, members.Member] = {}
        self._left_incarnation_by_id: dict[str, str] = {}
        self._wanted_peers: frozenset[str] = frozenset()

    def start(self) -> None:
        """Starts to dial peers, and follows changes of the members."""
        self._site.add_listener(self._site_changed)
        self._site_changed(self._site.snapshot)

    def stop(self) -> None:
        """Prevents further attempts to dial."""
        self._stopping.set()

    def join(self) -> None:
        """Waits for the tasks; the caller must have ended their links."""
        with self._lock:
            tasks = tuple(self._tasks_by_id.values())
        futures.wait(tasks)

    def record_goodbye(self, peer_id: str, incarnation: str) -> None:
        """Suspends the dialling of a peer until the peer restarts."""
        with self._lock:
            self._left_incarnation_by_id[peer_id] = incarnation

    def should_keep_link(self, peer_id: str) -> bool:
        """Returns whether a dialled link stays open.

        A working link to a peer that is not a live member stays open; a link
        to a live member ends only after a change of the topology.
        """
        live = self._site.snapshot.members_by_id
        return peer_id in self._wanted_peers or peer_id not in live

    def _site_changed(self, snapshot: sites.SiteSnapshot) -> None:
        with self._lock:
            if self._stopping.is_set():
                return
            self._known_by_id.update(snapshot.members_by_id)
            self._wanted_peers = self._peers_to_dial(snapshot)
            running = {
                peer_id: task
                for peer_id, task in self._tasks_by_id.items()
                if not task.done()
            }
            missing = sorted(self._wanted_peers - running.keys())
            self._tasks_by_id = running | {
                peer_id: self._executor.submit(self._dial, peer_id)
                for peer_id in missing[: MAX_DIALLED_PEERS - len(running)]
            }

    def _peers_to_dial(self, snapshot: sites.SiteSnapshot) -> frozenset[str]:
        live_members_by_id = snapshot.members_by_id
        own_id = self._settings.member_id
        own = live_members_by_id.get(own_id) or members.Member(
            own_id,
            self._incarnation,
            self._settings.region,
            self._settings.availability_zone,
            self._settings.advertised_address,
            self._settings.caller_port,
            self._settings.operator_port,
            self._settings.peer_port,
        )
        peers = peer_topology.peers_to_connect(own, live_members_by_id.values())
        return frozenset(peer_id for peer_id in peers if own_id < peer_id)

    def _dial(self, peer_id: str) -> None:
        """Dials a peer until it leaves or has not been wanted for some time."""
        delay_seconds = _MIN_REDIAL_SECONDS
        last_wanted_at = self._clock.monotonic()
        while not self._stopping.is_set():
            now = self._clock.monotonic()
            last_wanted_at = (
                now if peer_id in self._wanted_peers else last_wanted_at
            )
            if (
                now - last_wanted_at > _REDIAL_LOST_PEER_SECONDS
                or self._has_left(peer_id)
            ):
                return
            if self._attempt(peer_id):
                delay_seconds = _MIN_REDIAL_SECONDS
            jitter = self._random.uniform(0.5, 1.0)
            self._clock.wait(self._stopping, delay_seconds * jitter)
            delay_seconds = min(2 * delay_seconds, _MAX_REDIAL_SECONDS)

    def _has_left(self, peer_id: str) -> bool:
        with self._lock:
            member = self._known_by_id[peer_id]
            return (
                self._left_incarnation_by_id.get(peer_id) == member.incarnation
            )

    def _attempt(self, peer_id: str) -> bool:
        with self._lock:
            member = self._known_by_id[peer_id]
        try:
            connection = self._connect(member)
        except (OSError, EOFError, exceptions.WebSocketException):
            self._metrics.count("peer_dial_failed")
            return False
        try:
            return self._run_link(connection, peer_id)
        finally:
            with contextlib.suppress(exceptions.ConnectionClosed):
                connection.close()

    def _connect(self, member: members.Member) -> client.ClientConnection:
        return client.connect(
            f"ws://{member.address}:{member.peer_port}/",
            legacy=True,
            compression=None,
            user_agent_header=None,
            proxy=None,
            open_timeout=self._settings.peer_silence_seconds,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
            max_size=peer_messages.MAX_MESSAGE_BYTES,
            logger=LIBRARY_LOGGER,
        )
