"""Demand of each pool, from in-flight counts that entry hosts exchange."""

from __future__ import annotations

import collections
import threading
from typing import Any

from wisteriasill import clock as clocks
from wisteriasill.contracts import demand as demands
from wisteriasill.links import peer_messages
from wisteriasill.zones import site as sites


class DemandTracker:
    """Sums requests in flight by pool.

    Only peers' counts are received. The load balancer spreads callers evenly,
    so the sum of the peers is scaled up by one member.
    """

    def __init__(
        self,
        mesh: peer_messages.PeerMesh,
        site: sites.Site,
        clock: clocks.Clock,
    ) -> None:
        self._mesh = mesh
        self._site = site
        self._clock = clock
        self._lock = threading.Lock()
        self._counts_by_peer: dict[str, dict[str, int]] = {}
        self._total_by_host: collections.Counter[str] = collections.Counter()
        self._busy_by_pool: dict[str, float] = {}
        self._demand_by_pool: dict[str, demands.PoolDemand] = {}
        mesh.on_message("in_flight", self._handle_counts)

    def _handle_counts(self, member_id: str, message: Any) -> None:
        with self._lock:
            counts = self._counts_by_peer.setdefault(member_id, {})
            for host_id, count in message["counts"].items():
                self._total_by_host[host_id] += count - counts.get(host_id, 0)
                counts[host_id] = count

    def observe(self, wall_seconds: float) -> None:
        """Records the demand of all pools.

        Args:
            wall_seconds: Unix time in seconds, for the hour of the day.
        """
        snapshot = self._site.snapshot
        totals: collections.Counter[str] = collections.Counter()
        with self._lock:
            self._forget_lost_peers()
            peer_count = len(self._counts_by_peer)
            for host_id, count in self._total_by_host.items():
                if count and host_id in snapshot.hosts_by_id:
                    totals[snapshot.hosts_by_id[host_id].host.pool] += count
        scale = (peer_count + 1) / peer_count if peer_count else 0.0
        now = self._clock.monotonic()
        for pool in snapshot.hosts_by_pool:
            self._busy_by_pool[pool] = totals[pool] * scale
            self._demand_by_pool[pool] = demands.observe(
                self._demand_by_pool.get(pool),
                totals[pool] * scale,
                now,
                wall_seconds,
            )

    def busy_slots(self, pool: str) -> float:
        """Returns a pool's requests in flight as last recorded."""
        return self._busy_by_pool.get(pool, 0.0)

    def demand(self, pool: str) -> demands.PoolDemand | None:
        """Returns the recorded demand of a pool; None if there is none."""
        return self._demand_by_pool.get(pool)

    def _forget_lost_peers(self) -> None:
        connected = self._mesh.connected_peers()
        for peer in self._counts_by_peer.keys() - connected:
            self._total_by_host.subtract(self._counts_by_peer.pop(peer))
