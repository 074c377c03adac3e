"""A node of the site: serves callers and holds shards.

A node runs on the users' platform through `links.cluster`. `entry_host` is the
counterpart for `links.platform`.
"""

from __future__ import annotations

import random
import threading
import time
from typing import NamedTuple

from returns import result

from wisteriasill import events
from wisteriasill import restarting_task
from wisteriasill.contracts import queue as queues
from wisteriasill.contracts import submission_policy
from wisteriasill.links import cluster
from wisteriasill.links import submission_relay
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_pool
from wisteriasill.machines import fleet_controller
from wisteriasill.machines import fleet_rows
from wisteriasill.machines import job_api
from wisteriasill.machines import queue_records
from wisteriasill.machines import site_links
from wisteriasill.zones import shard_claims
from wisteriasill.zones import shard_writer

WATCH_SECONDS = 1.0  # Half of the time in which a change must take effect.
RETRY_SECONDS = 0.2
# Longest pause after a failed attempt to store queues. Their jobs wait for it.
QUEUES_RETRY_SECONDS = 1.0
# Nodes apply a configuration at the same time. One of them stores its queues,
# and the others see them before they try.
QUEUES_SPREAD_SECONDS = 0.1
QUEUES_WATCH_SECONDS = 2.0  # Longest wait of one long poll for other queues.
# The controller of a pool of 40 workers uses half a core at its peak. It reads
# 2 MB at its start, which takes 2 s at 10 Mbit/s.
FULL_STRENGTH_CORES = 0.9
FULL_STRENGTH_LINK_MBPS = 100.0
# A long poll ends within 1.7 s; a slow store adds half a second.
STORE_SILENCE_SECONDS = 2.5


class NodeSettings(NamedTuple):
    """Settings of a node.

    Attributes:
        name: Name of the node.
        availability_zone: Availability zone of the node.
        grace_seconds: Time from SIGTERM to SIGKILL.
        cores: CPU cores that the node may use.
        link_mbps: Bandwidth of its link in Mbit/s.
        relay_address: `IP:port` where this node stores jobs for other nodes;
            empty for none.
    """

    name: str
    availability_zone: str
    grace_seconds: float
    cores: float = 1.0
    link_mbps: float = 1000.0
    relay_address: str = ""


def strength(settings: NodeSettings) -> float:
    """Returns the capacity of a node to hold shards, from 0 to 1."""
    return min(1.0, settings.cores / FULL_STRENGTH_CORES) * min(
        1.0, settings.link_mbps / FULL_STRENGTH_LINK_MBPS
    )


class SiteNode:
    """Watches the configuration, serves callers and holds shards.

    Args:
        settings: The node's settings.
        links: The platform.
    """

    def __init__(
        self, settings: NodeSettings, links: site_links.SiteLinks
    ) -> None:
        self._settings = settings
        self._links = links
        self.configuration: queues.SiteConfiguration | None = None
        self.wave_by_number: dict[int, queues.WaveOrder] = {}
        self._stopping = threading.Event()
        self._closed = threading.Event()
        self._adopted = threading.Event()
        self._queues = queue_records.QueueRecords(links.store)
        self._store_seen_at = 0.0
        self._claims = shard_claims.ShardClaims(
            links.store,
            settings.name,
            self._make_controller,
            shard_claims.NodeEntry(strength(settings), settings.relay_address),
            links.limits,
            lambda shard: shard in self._queues.services(),
        )
        self.api = job_api.JobApi(
            links.store,
            submission_relay.PeerRelay(self._relay_addresses),
            self._view_store,
            self._claims.backlog,
            self._queues,
            links.limits,
        )

    @property
    def name(self) -> str:
        """Name of the node."""
        return self._settings.name

    @property
    def availability_zone(self) -> str:
        """Availability zone of the node."""
        return self._settings.availability_zone

    @property
    def store(self) -> cluster.RowStore:
        """The platform's store."""
        return self._links.store

    @property
    def ready(self) -> bool:
        """Whether the node can accept jobs, so that callers may connect."""
        return (
            self.configuration is not None
            and not self._stopping.is_set()
            and time.monotonic() - self._store_seen_at < STORE_SILENCE_SECONDS
        )

    def _view_store(self) -> submission_policy.StoreView:
        responded_at = max(self._store_seen_at, self._claims.last_read_at)
        return submission_policy.StoreView(
            self._claims.read_seconds, time.monotonic() - responded_at
        )

    def _relay_addresses(self) -> list[str]:
        """Returns the relay addresses of the other nodes."""
        return [
            entry.address
            for name, entry in self._claims.entries().items()
            if name != self._settings.name and entry.address
        ]

    def shards(self) -> dict[str, shard_writer.ShardState]:
        """Returns each shard's state as this node last read it."""
        return self._claims.states()

    def pools(self) -> dict[str, batch_pool.BatchPool]:
        """Returns the pools that this node holds, by shard."""
        return {
            shard: controller.pool
            for shard, controller in [*self._claims.controller_by_shard.items()]
            if isinstance(controller, batch_controller.BatchController)
        }

    def store_age_seconds(self) -> float:
        """Returns the time since the store last responded to this node."""
        return round(time.monotonic() - self._store_seen_at, 3)

    def start(self) -> None:
        """Starts the node's threads."""
        for name, run, closing in (
            ("operators watch", self._watch_operators, self._closed),
            ("queue records", self._store_queues, self._closed),
            ("queue records watch", self._watch_queues, self._closed),
            ("shard claims", self._claim_shards, self._stopping),
        ):
            restarting_task.start(name, run, closing)

    def stop(self) -> None:
        """Releases all shards.

        Callers are still served, by the configuration in force, until `close`.
        """
        self._stopping.set()
        self._claims.stop()

    def close(self) -> None:
        """Stops watching the configuration, once no caller is served."""
        self._closed.set()
        self._adopted.set()

    def _make_controller(
        self, writer: shard_writer.ShardWriter
    ) -> shard_claims.ClaimedShardController:
        assert self.configuration is not None
        if writer.shard == fleet_rows.SHARD:
            return fleet_controller.FleetController(
                self._links, writer, self._site_state
            )
        controller = batch_controller.BatchController(
            self._links, writer, self.configuration
        )
        controller.pool.add_former_queues(self._queues.of_service(writer.shard))
        return controller

    def _site_state(
        self,
    ) -> tuple[queues.SiteConfiguration, dict[int, queues.WaveOrder]]:
        assert self.configuration is not None
        return self.configuration, dict(self.wave_by_number)

    def _claim_shards(self) -> None:
        while not self._stopping.wait(shard_claims.POLL_SECONDS):
            configuration = self.configuration
            if configuration is None:
                continue
            services = {
                queue.service for queue in configuration.queue_by_name.values()
            }
            try:
                self._claims.run_once(
                    [*sorted(services), fleet_rows.SHARD],
                    # Their queues may have been removed after they accepted
                    # jobs, which still have to be run.
                    sorted(
                        {
                            *configuration.service_by_name,
                            *self._queues.services(),
                        }
                        - services
                    ),
                )
                self._configure_pools()
            except Exception as error:
                # A failed round must not stop later ones.
                events.log(
                    events.Event.TASK_FAILED,
                    "A round of shard claims failed",
                    level="ERROR",
                    error=repr(error),
                )

    def _configure_pools(self) -> None:
        """Configures pools that were being opened as a version was adopted."""
        configuration = self.configuration
        assert configuration is not None
        for shard, pool in self.pools().items():
            if pool.configuration_version < configuration.version:
                pool.configure(configuration)
                pool.add_former_queues(self._queues.of_service(shard))

    def _store_queues(self) -> None:
        """Stores the queues of each new configuration."""
        pause_seconds = RETRY_SECONDS
        while not self._closed.is_set():
            if not self._queues.store():
                self._closed.wait(pause_seconds * random.uniform(0.5, 1.5))
                pause_seconds = min(2 * pause_seconds, QUEUES_RETRY_SECONDS)
                continue
            pause_seconds = RETRY_SECONDS
            self._add_former_queues()
            self._adopted.wait()
            self._adopted.clear()
            self._closed.wait(random.uniform(0.0, QUEUES_SPREAD_SECONDS))

    def _watch_queues(self) -> None:
        """Takes in the queues that other nodes store."""
        changes = 0
        while not self._closed.is_set():
            if not self._queues.follow(QUEUES_WATCH_SECONDS):
                self._closed.wait(RETRY_SECONDS)
            elif self._queues.changes != changes:
                changes = self._queues.changes
                self._add_former_queues()

    def _add_former_queues(self) -> None:
        for shard, pool in self.pools().items():
            pool.add_former_queues(self._queues.of_service(shard))

    def _watch_operators(self) -> None:
        operators = self._links.operators
        version: int | None = None
        while not self._closed.is_set():
            page = (
                operators.read()
                if version is None
                else operators.watch(version, WATCH_SECONDS)
            )
            if not isinstance(page, result.Success):
                # A full read also covers changes that the failed call missed.
                version = None
                self._closed.wait(RETRY_SECONDS)
                continue
            now = time.monotonic()
            silent_seconds = now - (self._store_seen_at or now)
            self._store_seen_at = now
            self._adopt(page.unwrap(), silent_seconds)
            version = page.unwrap().version

    def _adopt(self, page: cluster.OperatorPage, silent_seconds: float) -> None:
        """Applies what the operators have changed.

        Args:
            page: The changes.
            silent_seconds: Time between the last two responses of the store.
        """
        now = time.monotonic()
        for wave in page.waves:
            known = self.wave_by_number.get(wave.number)
            self.wave_by_number[wave.number] = wave._replace(
                seen_at=known.seen_at if known else now
            )
        configuration = page.configuration
        if configuration is None:
            return
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self._queues.add(configuration)
        self.configuration = configuration
        self._adopted.set()
        events.log(
            events.Event.CONFIGURATION_ADOPTED,
            "This node applied a configuration",
            version=configuration.version,
            former=current.version if current else 0,
            queues=len(configuration.queue_by_name),
            silent_seconds=round(silent_seconds, 3),
            stopping=self._stopping.is_set(),
        )
        for controller in [*self._claims.controller_by_shard.values()]:
            if isinstance(controller, batch_controller.BatchController):
                controller.pool.configure(configuration)
