"""The tasks that keep the fleet: moves of hosts and waves of upkeep."""

from __future__ import annotations

import collections
from collections.abc import Callable, Mapping
from concurrent import futures
import threading
import time
from typing import NamedTuple

import cbor2
from returns import result

from wisteriasill import events
from wisteriasill.contracts import host_moves
from wisteriasill.contracts import host_record
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_tables
from wisteriasill.machines import fleet_hosts
from wisteriasill.machines import fleet_rows
from wisteriasill.machines import fleet_waves
from wisteriasill.machines import site_links
from wisteriasill.zones import shard_ledger

BEAT_SECONDS = 0.5
TURN_SECONDS = 0.25
FOLLOW_SECONDS = 1.0
# The feed of beats wakes at each of them; several are taken at a time.
FOLLOW_PAUSE_SECONDS = 0.05
RETRY_SECONDS = 0.25
# The platform takes 64 orders a second; each takes about 10 ms.
ORDERS_AT_ONCE = 8
LOG_SECONDS = 1.0
# `lease_ms` of the platform's pages, with some slack: two holders must not
# give orders to one host within it. So a host stays among the stored asks for
# as long after its order, and a new holder waits as long with those.
TURN_LEASE_SECONDS = 3.2
# A pool's load that is older says nothing about its present.
STALE_LOAD_SECONDS = 3.0
# An ask that its pool can't meet is withdrawn so that others get their turn.
ASK_SECONDS = 8.0
# Time in which the list shows that a host without a worker got an order.
RESTING_SECONDS = 1.0
# Time after which an order whose effect never showed counts as without one.
ORDER_SECONDS = 12.0


class OrderedHost(NamedTuple):
    """A host with an order that has been given.

    Attributes:
        worker_id: Its worker before the order.
        at: Steady time of the order, or the latest that it can have been.
        inherited: Whether a former holder gave it, or was about to.
    """

    ask: host_moves.Ask
    worker_id: str
    at: float
    inherited: bool = False


class SeenLoad(NamedTuple):
    """A pool's load and when it was read."""

    load: host_moves.PoolLoad
    at: float


class FleetKeeper:
    """Moves and maintains hosts for as long as this node owns the shard.

    Args:
        links: The platform.
        ledger: The shard, already claimed.
        site: Returns the configuration in force and the operators' waves.
    """

    def __init__(
        self,
        links: site_links.SiteLinks,
        ledger: shard_ledger.ShardLedger,
        site: Callable[
            [], tuple[queues.SiteConfiguration, Mapping[int, queues.WaveOrder]]
        ],
    ) -> None:
        self._links = links
        self._ledger = ledger
        self._site = site
        self._closing = threading.Event()
        self._changed = threading.Event()
        self._executor = futures.ThreadPoolExecutor(ORDERS_AT_ONCE)
        self._claimed_at = time.monotonic()
        self._beat_at = 0.0
        self._logged_at = 0.0
        self._fleet = fleet_hosts.FleetHosts(links.hosts)
        self._waves = fleet_waves.FleetWaves(links.operators)
        self._load_by_service: dict[str, SeenLoad] = {}
        self._ask_by_host: dict[str, host_moves.Ask] = {}
        self._asked_at: dict[str, float] = {}
        self._stored_asks: dict[str, host_moves.Ask] = {}
        self._ordered: dict[str, OrderedHost] = {}
        self._stored_down: dict[str, str] = {}
        self.lost = False
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._keep, self._follow_loads)
        ]

    def open(self) -> bool:
        """Reads what the former holder stored and starts the tasks."""
        with self._ledger.kept_alive():
            page = batch_tables.read_all(
                self._links.store, fleet_rows.TABLE, fleet_rows.SHARD
            )
        if page is None:
            return False
        self._ledger.adopt(page.rows)
        for row in page.rows:
            if row.value is None:
                continue
            if row.key == fleet_rows.ASKS_KEY:
                # The former holder may have ordered just these hosts.
                stored = fleet_rows.decode_asks(row.value)
                self._stored_asks = {one.ask.host_id: one.ask for one in stored}
                self._ordered = {
                    ask.host_id: OrderedHost(
                        ask,
                        ask.worker_id,
                        self._claimed_at - age_seconds,
                        inherited=True,
                    )
                    for ask, age_seconds in stored
                }
            elif row.key == fleet_rows.DOWN_KEY:
                self._fleet.down_by_host = fleet_rows.decode_down(row.value)
                self._stored_down = dict(self._fleet.down_by_host)
            else:
                self._waves.load(int(row.key), row.value)
        for thread in self._threads:
            thread.start()
        return True

    def close(self, release: bool) -> None:
        """Ends the tasks; optionally hands the shard over at once."""
        self._closing.set()
        self._changed.set()
        self._threads[0].join(2.0)
        self._executor.shutdown(wait=False, cancel_futures=True)
        if release and not self.lost:
            self._ledger.release()

    def _follow_loads(self) -> None:
        store = self._links.store
        version = self._newest_version(0)
        while not self._closing.wait(FOLLOW_PAUSE_SECONDS):
            page = store.follow(fleet_rows.LOADS_TABLE, version, FOLLOW_SECONDS)
            if not isinstance(page, result.Success):
                if page.failure().kind is cluster.StoreFaultKind.HISTORY_LOST:
                    version = self._newest_version(version)
                self._closing.wait(RETRY_SECONDS)
                continue
            for row in page.unwrap().rows:
                if row.value is not None:
                    self._load_by_service[row.part] = SeenLoad(
                        host_moves.decode_load(cbor2.loads(row.value)),
                        time.monotonic(),
                    )
            version = max(version, page.unwrap().version)
            self._changed.set()

    def _newest_version(self, version: int) -> int:
        page = self._links.store.read(fleet_rows.LOADS_TABLE, fleet_rows.SHARD)
        return (
            page.unwrap().version
            if isinstance(page, result.Success)
            else version
        )

    def _keep(self) -> None:
        while not self._closing.is_set():
            self._changed.wait(TURN_SECONDS)
            self._changed.clear()
            try:
                self._turn()
            except Exception as error:  # The fleet must outlive a faulty turn.
                events.log(
                    events.Event.TASK_FAILED,
                    "A turn of the fleet's keeper failed",
                    level="ERROR",
                    error=repr(error),
                )

    def _turn(self) -> None:
        now = time.monotonic()
        configuration, wave_by_number = self._site()
        self._fleet.refresh(now)
        if self._fleet.listed_at:
            self._settle_orders(now)
            self._withdraw_asks(now)
            self._plan(now, configuration, wave_by_number)
        if not self._store(now):
            return
        if self._fleet.listed_at:
            self._give_orders(now, configuration)
            self._waves.report(
                wave_by_number, {host.host_id for host in self._fleet.hosts}
            )

    def _settle_orders(self, now: float) -> None:
        """Drops orders whose hosts are up again with another worker."""
        host_by_id = {host.host_id: host for host in self._fleet.hosts}
        for host_id, ordered in [*self._ordered.items()]:
            host = host_by_id.get(host_id)
            # A host in standby has no worker before or after.
            renewed = host is not None and (
                host.worker_id != ordered.worker_id
                or (not host.worker_id and now - ordered.at > RESTING_SECONDS)
            )
            returned = (
                host is not None
                and self._fleet.listed_at > ordered.at
                and host.state is host_record.HostState.UP
                and renewed
            )
            # An order of a former holder may never have been given.
            patience = (
                TURN_LEASE_SECONDS if ordered.inherited else ORDER_SECONDS
            )
            age_seconds = now - ordered.at
            if age_seconds > patience or (
                returned and age_seconds > TURN_LEASE_SECONDS
            ):
                del self._ordered[host_id]

    def _withdraw_asks(self, now: float) -> None:
        """Withdraws asks that are outdated or can't be met."""
        host_by_id = {host.host_id: host for host in self._fleet.hosts}
        for host_id, ask in [*self._ask_by_host.items()]:
            host = host_by_id.get(host_id)
            if (
                host is None
                or host.worker_id != ask.worker_id
                or now - self._asked_at[host_id] > ASK_SECONDS
            ):
                del self._ask_by_host[host_id]

    def _loads(self, now: float) -> dict[str, host_moves.PoolLoad]:
        return {
            service: seen.load
            for service, seen in self._load_by_service.items()
            if now - seen.at < STALE_LOAD_SECONDS
        }

    def _plan(
        self,
        now: float,
        configuration: queues.SiteConfiguration,
        wave_by_number: Mapping[int, queues.WaveOrder],
    ) -> None:
        loads = self._loads(now)
        new: list[host_moves.Ask] = []
        for number, wave in sorted(wave_by_number.items()):
            if self._waves.is_finished(number):
                continue
            down = sum(
                ordered.ask.wave == number for ordered in self._ordered.values()
            )
            new += host_moves.plan_upkeep(
                wave,
                [
                    one
                    for one in self._fleet.hosts
                    if one.host_id not in self._ordered
                ],
                loads,
                self._waves.done(number),
                [*self._ask_by_host.values(), *new],
                down,
            )
        standby = {
            pool.name
            for pool in configuration.service_by_name.values()
            if pool.standby
        }
        arriving: dict[str, int] = {}
        for ask in (
            *self._ask_by_host.values(),
            *(ordered.ask for ordered in self._ordered.values()),
        ):
            if ask.service:
                arriving[ask.service] = arriving.get(ask.service, 0) + 1
        new += host_moves.plan_moves(
            self._fleet.hosts,
            loads,
            standby,
            {*self._ask_by_host, *self._ordered, *(one.host_id for one in new)},
            arriving,
        )
        for ask in new:
            self._ask_by_host[ask.host_id] = ask
            self._asked_at[ask.host_id] = now
        self._log_pools(now, loads)

    def _log_pools(
        self, now: float, loads: Mapping[str, host_moves.PoolLoad]
    ) -> None:
        """Logs once a second what the moves were decided by."""
        if now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        hosts = collections.Counter(host.service for host in self._fleet.hosts)
        largest = host_moves.largest_room(self._fleet.hosts)
        events.log(
            events.Event.POOLS_COUNTED,
            "Hosts and needs of all pools",
            hosts=dict(hosts),
            needed={
                service: host_moves.needed_hosts(load, largest)
                for service, load in loads.items()
            },
            idle={
                service: sum(
                    one.idle_seconds >= host_moves.SPARE_SECONDS
                    for one in load.load_by_worker.values()
                )
                for service, load in loads.items()
            },
            asked=len(self._ask_by_host),
            ordered=len(self._ordered),
            list_age_seconds=round(now - self._fleet.listed_at, 3),
        )

    def _store(self, now: float) -> bool:
        """Stores asks and waves; orders follow only when they are stored."""
        writes = []
        # Workers whose hosts got an order take no tasks until they are gone.
        asks = {
            **self._ask_by_host,
            **{key: one.ask for key, one in self._ordered.items()},
        }
        if asks != self._stored_asks:
            writes.append(
                cluster.RowWrite(
                    fleet_rows.TABLE,
                    fleet_rows.ASKS_KEY,
                    fleet_rows.encode_asks(
                        fleet_rows.StoredAsk(
                            ask,
                            now - self._ordered[host_id].at
                            if host_id in self._ordered
                            else 0.0,
                        )
                        for host_id, ask in asks.items()
                    ),
                )
            )
            self._stored_asks = asks
        if self._fleet.down_by_host != self._stored_down:
            self._stored_down = dict(self._fleet.down_by_host)
            writes.append(
                cluster.RowWrite(
                    fleet_rows.TABLE,
                    fleet_rows.DOWN_KEY,
                    fleet_rows.encode_down(self._stored_down),
                )
            )
        beat = None
        if now - self._beat_at >= BEAT_SECONDS:
            beat = cbor2.dumps({})
            self._beat_at = now
        if not writes and beat is None:
            return True
        return self._commit(writes, beat)

    def _commit(
        self, writes: list[cluster.RowWrite], beat: bytes | None = None
    ) -> bool:
        outcome = self._ledger.commit(writes, beat)
        if outcome is shard_ledger.CommitOutcome.STORED:
            return True
        self.lost = outcome is shard_ledger.CommitOutcome.LOST
        self._closing.set()
        return False

    def _give_orders(
        self, now: float, configuration: queues.SiteConfiguration
    ) -> None:
        """Gives the orders whose hosts are empty."""
        loads = self._loads(now)
        service_by_host = {
            host.host_id: host.service for host in self._fleet.hosts
        }
        due: list[host_moves.Ask] = []
        for ask in self._ask_by_host.values():
            service = service_by_host.get(ask.host_id, "")
            pool = configuration.service_by_name.get(service)
            load = loads.get(service)
            worker = load.load_by_worker.get(ask.worker_id) if load else None
            resting = pool is not None and pool.standby
            if resting or (worker is not None and worker.released):
                due.append(ask)
        for ask, outcome in zip(
            due, self._executor.map(self._order, due), strict=True
        ):
            self._note_order(ask, outcome, now)
        if writes := self._waves.writes(due):
            self._commit(writes)

    def _order(self, ask: host_moves.Ask) -> cluster.HostOrderOutcome:
        fence = self._ledger.epoch
        if ask.wave:
            return self._links.hosts.maintain(ask.host_id, ask.wave, fence)
        return self._links.hosts.move(ask.host_id, ask.service, fence)

    def _note_order(
        self,
        ask: host_moves.Ask,
        outcome: cluster.HostOrderOutcome,
        now: float,
    ) -> None:
        events.log(
            events.Event.HOST_ORDERED,
            "A host got an order",
            host=ask.host_id,
            worker=ask.worker_id,
            to=ask.service,
            wave=ask.wave,
            outcome=outcome.value,
            list_age_seconds=round(now - self._fleet.listed_at, 3),
        )
        if outcome is cluster.HostOrderOutcome.DONE:
            self._ordered[ask.host_id] = OrderedHost(ask, ask.worker_id, now)
            del self._ask_by_host[ask.host_id]
            if ask.wave:
                self._waves.note(ask)
        elif outcome in (
            cluster.HostOrderOutcome.BUSY,
            cluster.HostOrderOutcome.INVALID,
            cluster.HostOrderOutcome.NOT_OF_WAVE,
        ):
            del self._ask_by_host[ask.host_id]
