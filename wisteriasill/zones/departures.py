"""Tells peers of hosts that leave, and listens to them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import threading

from wisteriasill.links import peer_messages
from wisteriasill.links import peer_topology
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

_IDLE_SECONDS = 60.0


def departed(
    before: Mapping[str, sites.KnownHost],
    after: Mapping[str, sites.KnownHost],
) -> list[sites.KnownHost]:
    """Returns the hosts that served before and do not any more."""
    return [
        item
        for host_id, item in after.items()
        if item.host.state is not hosts.HostState.SERVING
        and host_id in before
        and before[host_id].host.state is hosts.HostState.SERVING
    ]


class Departures:
    """Spreads departures ahead of the table poll.

    A departure that this process learns from the table or from its own
    controller is broadcast. One that it learns from a peer is passed on only
    where the mesh is not full, to peers outside the sender's zone.
    """

    def __init__(self, site: sites.Site, mesh: peer_messages.PeerMesh) -> None:
        self._site = site
        self._mesh = mesh
        self._lock = threading.Lock()
        self._hosts = site.snapshot.hosts_by_id
        self._pending: dict[str, tuple[str, peer_messages.Departure]] = {}
        self._told: dict[str, int] = {}
        self.changed = threading.Event()

    def listen(self) -> None:
        """Follows the site and listens to peers."""
        self._site.add_listener(self._follow)
        self._mesh.on_message("departure", self._note_departure)

    def turn(self) -> float:
        """Takes over all pending departures in one change of the site.

        Each change rebuilds the index of all hosts; the loss of a zone would
        otherwise rebuild it more than a thousand times.

        Returns:
            Seconds until the next turn unless `changed` is set.
        """
        with self._lock:
            pending, self._pending = self._pending, {}
            for host_id, (_, message) in pending.items():
                self._told[host_id] = message["version"]
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

    def _note_departure(
        self, peer_id: str, message: peer_messages.Departure
    ) -> None:
        known = self._site.snapshot.hosts_by_id.get(message["host_id"])
        if known is None or known.version >= message["version"]:
            return
        if message["state"] not in set(hosts.HostState):
            return
        with self._lock:
            pending = self._pending.get(message["host_id"])
            if pending is None or pending[1]["version"] < message["version"]:
                self._pending[message["host_id"]] = (peer_id, message)
        self.changed.set()

    def _follow(self, snapshot: sites.SiteSnapshot) -> None:
        with self._lock:
            before, self._hosts = self._hosts, snapshot.hosts_by_id
            if before is self._hosts:
                return
            gone = [
                item
                for item in departed(before, self._hosts)
                if self._told.pop(item.host.host_id, 0) < item.version
            ]
        for item in gone:
            self._mesh.broadcast(
                {
                    "type": "departure",
                    "host_id": item.host.host_id,
                    "state": item.host.state.value,
                    "version": item.version,
                }
            )
