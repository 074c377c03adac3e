"""Announces departures of hosts to peers and applies theirs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import threading

from wisteriasill.links import peer_messages
from wisteriasill.links import peer_topology
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

_IDLE_SECONDS = 60.0


def newly_departed(
    before: Mapping[str, sites.KnownHost],
    after: Mapping[str, sites.KnownHost],
) -> list[sites.KnownHost]:
    """Returns the hosts that served before and no longer do."""
    return [
        known
        for host_id, known in after.items()
        if known.host.state is not hosts.HostState.SERVING
        and host_id in before
        and before[host_id].host.state is hosts.HostState.SERVING
    ]


class Departures:
    """Propagates departures faster than the table poll.

    A departure that this process learns from the table or from its own
    controller is broadcast. A departure received from a peer is relayed only
    if the mesh isn't full, to peers outside the sender's zone.
    """

    def __init__(self, site: sites.Site, mesh: peer_messages.PeerMesh) -> None:
        self._site = site
        self._mesh = mesh
        self._lock = threading.Lock()
        self._previous_hosts = site.snapshot.hosts_by_id
        self._pending_by_host: dict[
            str, tuple[str, peer_messages.Departure]
        ] = {}
        self._peer_version_by_host: dict[str, int] = {}
        self.changed = threading.Event()

    def register_handlers(self) -> None:
        """Registers the listeners on the site and on peer messages."""
        self._site.add_listener(self._broadcast_new)
        self._mesh.on_message("departure", self._handle_departure)

    def run_once(self) -> float:
        """Applies all pending departures in one update of the site.

        Each update rebuilds the index of all hosts. Single updates would
        rebuild it more than a thousand times at the loss of a zone.

        Returns:
            Seconds until the next iteration unless `changed` is set.
        """
        with self._lock:
            pending, self._pending_by_host = self._pending_by_host, {}
            for host_id, (_, message) in pending.items():
                self._peer_version_by_host[host_id] = message["version"]
        known = self._site.snapshot.hosts_by_id
        self._site.update_hosts(
            sites.KnownHost(
                known[host_id].host._replace(
                    state=hosts.HostState(message["state"])
                ),
                message["version"],
            )
            for host_id, (_, message) in pending.items()
            if host_id in known
        )
        for sender, message in pending.values():
            for peer_id in self._next_peers(sender):
                self._mesh.send(peer_id, message)
        return _IDLE_SECONDS

    def _next_peers(self, sender: str) -> Iterable[str]:
        members = self._site.snapshot.members_by_id
        if len(members) <= peer_topology.FULL_MESH_MEMBERS:
            return ()
        zone = members[sender].availability_zone if sender in members else ""
        return (
            peer_id
            for peer_id in self._mesh.connected_peers()
            if peer_id in members and members[peer_id].availability_zone != zone
        )

    def _handle_departure(
        self, peer_id: str, message: peer_messages.Departure
    ) -> None:
        known = self._site.snapshot.hosts_by_id.get(message["host_id"])
        if known is None or known.version >= message["version"]:
            return
        if message["state"] not in set(hosts.HostState):
            return
        with self._lock:
            pending = self._pending_by_host.get(message["host_id"])
            if pending is None or pending[1]["version"] < message["version"]:
                self._pending_by_host[message["host_id"]] = (peer_id, message)
        self.changed.set()

    def _broadcast_new(self, snapshot: sites.SiteSnapshot) -> None:
        with self._lock:
            before, self._previous_hosts = (
                self._previous_hosts,
                snapshot.hosts_by_id,
            )
            if before is self._previous_hosts:
                return
            departed = [
                known
                for known in newly_departed(before, self._previous_hosts)
                if self._peer_version_by_host.pop(known.host.host_id, 0)
                < known.version
            ]
        for known in departed:
            self._mesh.broadcast(
                {
                    "type": "departure",
                    "host_id": known.host.host_id,
                    "state": known.host.state.value,
                    "version": known.version,
                }
            )
