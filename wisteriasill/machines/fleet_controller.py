"""Controller of the fleet: moves of hosts and maintenance waves.

It runs on a node. On entry hosts, `site_controller` plans the moves and
`wave_controller` the waves.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Mapping, Sequence
from concurrent import futures
import threading
import time
from typing import NamedTuple

import cbor2
from returns import result

from wisteriasill import events
from wisteriasill import restarting_task
from wisteriasill.contracts import host_moves
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_tables
from wisteriasill.machines import fleet_hosts
from wisteriasill.machines import fleet_orders
from wisteriasill.machines import fleet_rows
from wisteriasill.machines import fleet_waves
from wisteriasill.machines import site_links
from wisteriasill.zones import shard_writer

HEARTBEAT_SECONDS = 0.5
MAX_ROUND_INTERVAL_SECONDS = 0.25
WATCH_SECONDS = 1.0
# Each stored load ends the long poll, so a pause batches several of them.
WATCH_BATCH_SECONDS = 0.05
RETRY_SECONDS = 0.25
# The platform accepts 64 orders a second; each takes about 10 ms.
MAX_PARALLEL_ORDERS = 8
LOG_INTERVAL_SECONDS = 1.0
# An older load of a pool is outdated and ignored.
STALE_LOAD_SECONDS = 3.0


class ReceivedLoad(NamedTuple):
    """Load of a pool and when it was read."""

    load: host_moves.PoolLoad
    received_at: float


class FleetController:
    """Moves and maintains hosts while this node holds the fleet's shard.

    Args:
        links: The platform.
        writer: The shard, already claimed.
        read_site: Returns the configuration in force and the operators' waves.
    """

    def __init__(
        self,
        links: site_links.SiteLinks,
        writer: shard_writer.ShardWriter,
        read_site: Callable[
            [], tuple[queues.SiteConfiguration, Mapping[int, queues.WaveOrder]]
        ],
    ) -> None:
        self._links = links
        self._writer = writer
        self._read_site = read_site
        self._closing = threading.Event()
        self._changed = threading.Event()
        self._executor = futures.ThreadPoolExecutor(MAX_PARALLEL_ORDERS)
        self._claimed_at = time.monotonic()
        self._heartbeat_at = 0.0
        self._logged_at = 0.0
        self._fleet = fleet_hosts.FleetHosts(links.hosts)
        self._waves = fleet_waves.FleetWaves(links.operators)
        self._load_by_service: dict[str, ReceivedLoad] = {}
        self._orders = fleet_orders.FleetOrders()
        self._stored_requests: set[host_moves.DrainRequest] = set()
        self._stored_down: dict[str, fleet_rows.DownWorker] = {}
        self._watched_version = 0
        self._due_host_ids: set[str] = set()
        self._unstored_waves: set[int] = set()
        self._stored_due: set[str] = set()
        self.lost = False
        self._rounds: threading.Thread | None = None

    def open(self) -> bool:
        """Reads what the former holder stored and starts the threads."""
        with self._writer.keepalive():
            page = batch_tables.read_all(
                self._links.store, fleet_rows.TABLE, fleet_rows.SHARD
            )
        if page is None:
            return False
        self._writer.adopt(page.rows)
        for row in page.rows:
            if row.value is None:
                continue
            self._record_stored(row.key, row.value)
            if row.key == fleet_rows.DRAIN_REQUESTS_KEY:
                # The former holder may have sent orders to these hosts.
                self._orders.inherit(
                    fleet_rows.decode_drain_requests(row.value),
                    self._claimed_at,
                )
            elif row.key == fleet_rows.DOWN_KEY:
                self._fleet.inherit(
                    {
                        host_id: down
                        for host_id, down in self._stored_down.items()
                        if host_id != down.worker_id
                    }
                )
                self._orders.inherit_ended(
                    (
                        down
                        for host_id, down in self._stored_down.items()
                        if host_id == down.worker_id
                    ),
                    self._claimed_at,
                )
            elif row.key != fleet_rows.DUE_KEY:
                self._waves.load(int(row.key), row.value)
        self._rounds, _ = (
            restarting_task.start(name, run, self._closing)
            for name, run in (
                ("fleet rounds", self._run),
                ("pool loads", self._watch_loads),
            )
        )
        return True

    def close(self, release: bool) -> None:
        """Stops the threads and optionally releases the shard."""
        self._closing.set()
        self._changed.set()
        if self._rounds:
            self._rounds.join(2.0)
        # A successor must not send orders beside the last ones of this holder.
        self._executor.shutdown(wait=release, cancel_futures=True)
        if release and not self.lost:
            self._writer.release()

    def _watch_loads(self) -> None:
        store = self._links.store
        version = self._newest_version(0)
        while not self._closing.wait(WATCH_BATCH_SECONDS):
            page = store.watch(fleet_rows.LOADS_TABLE, version, WATCH_SECONDS)
            if not isinstance(page, result.Success):
                if page.failure().kind is cluster.StoreFaultKind.HISTORY_LOST:
                    version = self._newest_version(version)
                self._closing.wait(RETRY_SECONDS)
                continue
            for row in page.unwrap().rows:
                if row.value is not None:
                    self._load_by_service[row.partition_key] = ReceivedLoad(
                        host_moves.decode_load(cbor2.loads(row.value)),
                        time.monotonic(),
                    )
            version = max(version, page.unwrap().version)
            self._watched_version = version
            self._changed.set()

    def _newest_version(self, version: int) -> int:
        page = self._links.store.read(fleet_rows.LOADS_TABLE, fleet_rows.SHARD)
        return (
            page.unwrap().version
            if isinstance(page, result.Success)
            else version
        )

    def _run(self) -> None:
        while not self._closing.is_set():
            self._changed.wait(MAX_ROUND_INTERVAL_SECONDS)
            self._changed.clear()
            try:
                self._run_round()
            except Exception as error:
                # A failed round must not stop later ones.
                events.log(
                    events.Event.TASK_FAILED,
                    "A round of the fleet controller failed",
                    level="ERROR",
                    error=repr(error),
                )

    def _run_round(self) -> None:
        now = time.monotonic()
        configuration, wave_by_number = self._read_site()
        self._fleet.refresh(
            now, max(self._writer.stored_version, self._watched_version)
        )
        if self._fleet.listed_at:
            self._orders.refresh(self._fleet, now)
            self._plan(now, configuration, wave_by_number)
        if not self._store(now):
            return
        if self._fleet.listed_at:
            self._send_due_orders(now, configuration)
        # A single list may lack a host that moves while its pages are read.
        if self._fleet.present_ids is not None:
            self._waves.report(wave_by_number, self._fleet.present_ids)

    def _recent_loads(self, now: float) -> dict[str, host_moves.PoolLoad]:
        return {
            service: received.load
            for service, received in self._load_by_service.items()
            if now - received.received_at < STALE_LOAD_SECONDS
        }

    def _plan(
        self,
        now: float,
        configuration: queues.SiteConfiguration,
        wave_by_number: Mapping[int, queues.WaveOrder],
    ) -> None:
        loads = self._recent_loads(now)
        self._due_host_ids = {
            host_id
            for number, wave in wave_by_number.items()
            for host_id in {*wave.host_ids}
            - {*self._waves.started_hosts(number)}
        }
        new_requests: list[host_moves.DrainRequest] = []
        for number, wave in sorted(wave_by_number.items()):
            if self._waves.is_finished(number):
                continue
            new_requests += host_moves.plan_maintenance(
                wave,
                [
                    host
                    for host in self._fleet.hosts
                    if host.host_id not in self._orders.order_by_host
                ],
                loads,
                self._waves.started_hosts(number),
                [*self._orders.request_by_host.values(), *new_requests],
                self._orders.in_maintenance(wave, self._fleet.hosts),
                now,
            )
        standby_services = {
            pool.name
            for pool in configuration.service_by_name.values()
            if pool.standby
        }
        new_requests += host_moves.plan_moves(
            self._fleet.hosts,
            loads,
            standby_services,
            {
                *self._orders.request_by_host,
                *self._orders.order_by_host,
                *(request.host_id for request in new_requests),
            },
            self._orders.arriving_by_service(),
            self._due_host_ids,
        )
        self._orders.request(new_requests, now)
        self._log_pools(now, loads)

    def _log_pools(
        self, now: float, loads: Mapping[str, host_moves.PoolLoad]
    ) -> None:
        """Logs the input of the move decisions, at most once a second."""
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        hosts = collections.Counter(host.service for host in self._fleet.hosts)
        largest = host_moves.largest_capacity(self._fleet.hosts)
        events.log(
            events.Event.POOLS_COUNTED,
            "Hosts and needed hosts of all pools",
            hosts=dict(hosts),
            needed={
                service: host_moves.needed_hosts(load, largest)
                for service, load in loads.items()
            },
            idle={
                service: sum(
                    worker_load.idle_seconds >= host_moves.MOVE_IDLE_SECONDS
                    for worker_load in load.load_by_worker.values()
                )
                for service, load in loads.items()
            },
            lasting={
                service: sum(
                    worker_load.lasting > 0
                    for worker_load in load.load_by_worker.values()
                )
                for service, load in loads.items()
            },
            asked=len(self._orders.request_by_host),
            ordered=len(self._orders.order_by_host),
            list_age_seconds=round(now - self._fleet.listed_at, 3),
        )

    def _store(self, now: float) -> bool:
        """Stores drain requests; orders are sent only after they are stored.

        Returns:
            Whether all is stored, so that orders may be sent.
        """
        writes = []
        stored_requests = self._orders.to_store(now)
        requests = {stored.request for stored in stored_requests}
        if requests != self._stored_requests:
            writes.append(
                cluster.RowWrite(
                    fleet_rows.TABLE,
                    fleet_rows.DRAIN_REQUESTS_KEY,
                    fleet_rows.encode_drain_requests(stored_requests),
                )
            )
        heartbeat_due = now - self._heartbeat_at >= HEARTBEAT_SECONDS
        # The workers that an order ended are stored under their own ids.
        down = {
            **self._fleet.down_by_host,
            **self._orders.ended_workers(now),
        }
        # A newer version of a known end can wait for the next heartbeat.
        if down != self._stored_down and (
            heartbeat_due or _worker_ids(down) != _worker_ids(self._stored_down)
        ):
            writes.append(
                cluster.RowWrite(
                    fleet_rows.TABLE,
                    fleet_rows.DOWN_KEY,
                    fleet_rows.encode_down(down),
                )
            )
        due = {
            host.worker_id
            for host in self._fleet.hosts
            if host.host_id in self._due_host_ids and host.worker_id
        }
        if due != self._stored_due:
            writes.append(
                cluster.RowWrite(
                    fleet_rows.TABLE,
                    fleet_rows.DUE_KEY,
                    fleet_rows.encode_due(due),
                )
            )
        writes += self._waves.row_writes(self._unstored_waves)
        status = cbor2.dumps({}) if heartbeat_due else None
        if not writes and status is None:
            return True
        if not self._commit(writes, status):
            return False
        if heartbeat_due:
            self._heartbeat_at = now
        return True

    def _commit(
        self, writes: list[cluster.RowWrite], status: bytes | None = None
    ) -> bool:
        outcome = self._writer.commit(
            writes, status, shard_writer.RowHandlers(self._record_writes)
        )
        if outcome is shard_writer.CommitOutcome.STORED:
            return True
        self.lost = outcome is shard_writer.CommitOutcome.LOST
        self._closing.set()
        return False

    def _record_writes(self, writes: Sequence[cluster.RowWrite]) -> None:
        """Records what the rows of a stored transaction hold."""
        for write in writes:
            if write.table == fleet_rows.TABLE and write.value is not None:
                self._record_stored(write.key, write.value)

    def _record_stored(self, key: str, value: bytes) -> None:
        """Records what a row of the fleet holds in the store."""
        if key == fleet_rows.DRAIN_REQUESTS_KEY:
            self._stored_requests = {
                stored.request
                for stored in fleet_rows.decode_drain_requests(value)
            }
        elif key == fleet_rows.DOWN_KEY:
            self._stored_down = fleet_rows.decode_down(value)
        elif key == fleet_rows.DUE_KEY:
            self._stored_due = fleet_rows.decode_due(value)
        else:
            self._unstored_waves.discard(int(key))

    def _send_due_orders(
        self, now: float, configuration: queues.SiteConfiguration
    ) -> None:
        """Sends the orders for hosts that are drained or in standby."""
        loads = self._recent_loads(now)
        host_by_id = self._fleet.host_by_id
        due: list[host_moves.DrainRequest] = []
        for request in self._orders.request_by_host.values():
            if request not in self._stored_requests:
                # The store refused the row.
                continue
            host = host_by_id.get(request.host_id)
            service = host.service if host else ""
            pool = configuration.service_by_name.get(service)
            received = self._load_by_service.get(service)
            worker = (
                loads[service].load_by_worker.get(request.worker_id)
                # An older load may show the answer to an earlier request.
                if received
                and service in loads
                and self._orders.requested_before(
                    request.host_id, received.received_at
                )
                else None
            )
            in_standby = pool is not None and pool.standby
            if (
                in_standby
                or (worker is not None and worker.released)
                or (host is not None and self._orders.in_doubt(host))
            ):
                due.append(request)
        for request, outcome in zip(
            due, self._executor.map(self._send_order, due), strict=True
        ):
            # After the call: a successor counts its wait from this time.
            self._record_order(request, outcome, time.monotonic())
        # A successor that does not know of a maintenance order repeats it, and
        # the platform answers it as the first, so the next round stores it.
        self._unstored_waves |= {
            request.wave for request in due if request.wave
        }

    def _send_order(
        self, request: host_moves.DrainRequest
    ) -> cluster.HostOrderOutcome:
        if not self._writer.is_sole_holder:
            # This node was paused, or the store is away.
            return cluster.HostOrderOutcome.UNKNOWN
        try:
            return self._call_host(request)
        except Exception as error:
            # The outcomes of the orders beside it still have to be recorded.
            events.log(
                events.Event.TASK_FAILED,
                "An order to a host failed",
                level="ERROR",
                host=request.host_id,
                error=repr(error),
            )
            return cluster.HostOrderOutcome.UNKNOWN

    def _call_host(
        self, request: host_moves.DrainRequest
    ) -> cluster.HostOrderOutcome:
        fencing_epoch = self._writer.epoch
        if request.wave:
            return self._links.hosts.maintain(
                request.host_id, request.wave, fencing_epoch
            )
        return self._links.hosts.move(
            request.host_id, request.service, fencing_epoch
        )

    def _record_order(
        self,
        request: host_moves.DrainRequest,
        outcome: cluster.HostOrderOutcome,
        now: float,
    ) -> None:
        events.log(
            events.Event.HOST_ORDERED,
            "An order was sent to a host",
            host=request.host_id,
            worker=request.worker_id,
            to=request.service,
            wave=request.wave,
            outcome=outcome.value,
            list_age_seconds=round(now - self._fleet.listed_at, 3),
        )
        self._orders.record(request, outcome, now)
        if request.wave and outcome is cluster.HostOrderOutcome.DONE:
            self._waves.record_start(request)


def _worker_ids(
    down_by_host: Mapping[str, fleet_rows.DownWorker],
) -> dict[str, str]:
    return {host_id: down.worker_id for host_id, down in down_by_host.items()}
