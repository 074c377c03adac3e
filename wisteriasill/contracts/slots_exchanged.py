"""Slot policy based on in-flight counts that peers exchange."""

from __future__ import annotations

import collections
from collections.abc import Callable
from concurrent import futures
import random
import threading
from typing import Any

from wisteriasill import clock as clocks
from wisteriasill.contracts import slots
from wisteriasill.links import peer_messages
from wisteriasill.machines import host as hosts

PUBLISH_SECONDS = 0.1


class ExchangedSlots:
    """Adds the peers' last known in-flight counts to its own.

    A target is chosen by the power of two choices: the less loaded of two
    random targets with a free slot. Entry hosts with equally stale counts then
    don't all choose the same target.

    Args:
        mesh: Links to peers.
        rng: Source of random choices.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        mesh: peer_messages.PeerMesh,
        rng: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._mesh = mesh
        self._rng = rng
        self._clock = clock
        self._lock = threading.Lock()
        self._own_by_host_id: collections.Counter[str] = collections.Counter()
        self._counts_by_peer: dict[str, dict[str, int]] = {}
        self._published: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            1, thread_name_prefix="slots"
        )
        self._task: futures.Future[None] | None = None
        mesh.on_message("in_flight", self._handle_counts)
        mesh.on_members_changed(self._members_changed)

    def reserve(
        self, groups: slots.Groups, wanted: int = 1
    ) -> hosts.Host | None:
        """Reserves a slot of a target with a free slot by the counts."""
        with self._lock:
            for group in groups:
                used = [self._used(host.host_id) for host in group]
                free = [
                    (count, host)
                    for count, host in zip(used, group, strict=True)
                    if count < host.slots
                ]
                if free:
                    pair = self._rng.sample(free, min(2, len(free)))
                    chosen = min(pair, key=lambda entry: entry[0])[1]
                    self._own_by_host_id[chosen.host_id] += 1
                    return chosen
        return None

    def release(self, host_id: str) -> None:
        """Releases a reserved slot."""
        with self._lock:
            self._own_by_host_id[host_id] -= 1

    def in_flight(self, host_id: str) -> int:
        """Returns this entry host's own reservations of a target."""
        return self._own_by_host_id[host_id]

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to call when a slot may be free again."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Starts to publish this entry host's counts."""
        self._task = self._executor.submit(self._publish_until_stopped)

    def stop(self) -> None:
        """Stops and joins the task."""
        self._stopping.set()
        if self._task is not None:
            self._task.result(timeout=5.0)
        self._executor.shutdown()

    def publish(self) -> None:
        """Broadcasts the counts that have changed since the last call."""
        with self._lock:
            changed = {
                host_id: count
                for host_id, count in self._own_by_host_id.items()
                if self._published.get(host_id, 0) != count
            }
            self._published.update(changed)
        if changed:
            self._mesh.broadcast({"type": "in_flight", "counts": changed})

    def _used(self, host_id: str) -> int:
        others = (
            counts.get(host_id, 0) for counts in self._counts_by_peer.values()
        )
        return self._own_by_host_id[host_id] + sum(others)

    def _publish_until_stopped(self) -> None:
        while not self._clock.wait(self._stopping, PUBLISH_SECONDS):
            self.publish()

    def _handle_counts(self, member_id: str, message: Any) -> None:
        with self._lock:
            peer_counts = self._counts_by_peer.setdefault(member_id, {})
            peer_counts.update(message["counts"])
        self._notify()

    def _members_changed(self) -> None:
        """Drops lost peers' counts; the next publish sends all counts."""
        connected = self._mesh.connected_peers()
        with self._lock:
            for member_id in self._counts_by_peer.keys() - connected:
                del self._counts_by_peer[member_id]
            self._published.clear()
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
