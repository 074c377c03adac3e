"""Control of pools and hosts by one entry host."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import random
import secrets
import threading
import time
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import events
from wisteriasill import settings as all_settings
from wisteriasill.contracts import orders
from wisteriasill.contracts import wave_plan
from wisteriasill.links import peer_messages
from wisteriasill.links import platform as platforms
from wisteriasill.machines import guarded_platform
from wisteriasill.machines import host_listing
from wisteriasill.machines import pool_keeper
from wisteriasill.machines import shard_balance
from wisteriasill.machines import shard_context
from wisteriasill.machines import shard_lease
from wisteriasill.machines import shard_task
from wisteriasill.machines import site_keeper
from wisteriasill.machines import write_budget
from wisteriasill.zones import demand_watch
from wisteriasill.zones import site as sites

MAX_SHARDS = 64
BALANCE_SECONDS = 1.0


class Sources(NamedTuple):
    """Where random values and the time of day come from.

    Attributes:
        token_source: Makes a new random token at each call.
        wall_clock: Seconds since the epoch, for people to read.
        rng: Random numbers for jitter.
        limits: Bounds on control writes.
    """

    token_source: Callable[[], str] = lambda: secrets.token_hex(8)
    wall_clock: Callable[[], float] = time.time
    rng: random.Random = random.Random()
    limits: write_budget.WriteLimits = write_budget.DEFAULT_LIMITS


SYSTEM_SOURCES = Sources()


class _Held(NamedTuple):
    """A shard held, its task and what ends the task."""

    stopping: threading.Event
    future: futures.Future[None]


class Controller:
    """Holds shards and runs a task for each of them."""

    def __init__(
        self,
        settings: all_settings.EntrySettings,
        platform: platforms.Platform,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        incarnation: str,
        clock: clocks.Clock,
        jobs: shard_context.JobKeeperFactory,
        sources: Sources = SYSTEM_SOURCES,
        planner: wave_plan.Planner = wave_plan.plan,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._site = site
        self._mesh = mesh
        self._clock = clock
        self._jobs = jobs
        self._sources = sources
        self._planner = planner
        owner = shard_lease.LeaseOwner(
            settings.member_id,
            incarnation,
            settings.lease_seconds,
            sources.token_source,
        )
        self._balance = shard_balance.ShardBalance(
            platform.table, site, owner, clock
        )
        self._budget = write_budget.WriteBudget(
            clock,
            lambda: len(site.snapshot.members_by_id),
            sources.rng,
            sources.limits,
        )
        self._listing = host_listing.HostListing(platform.host_list, clock)
        self._demand = demand_watch.DemandWatch(mesh, site, clock)
        self._stopping = threading.Event()
        self._held: dict[str, _Held] = {}
        self._executor: futures.ThreadPoolExecutor | None = None
        self._failed: errors.ErrorKind | None = None

    @property
    def shards(self) -> frozenset[str]:
        """Shards that this process holds."""
        return frozenset(self._held)

    def start(self) -> None:
        """Starts to take shards, if the settings allow it."""
        if not self._settings.control:
            return
        self._executor = futures.ThreadPoolExecutor(
            MAX_SHARDS + 1, thread_name_prefix="control"
        )
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Ends all tasks, releases all shards and waits for that."""
        self._stopping.set()
        if self._executor is not None:
            self._executor.shutdown(wait=True)
            self._executor = None

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._step()
            except Exception as error:  # A fault must not end control.
                events.log(
                    events.Event.TASK_FAILED,
                    "balance of shards failed",
                    level="ERROR",
                    error=repr(error),
                )
            self._clock.wait(self._stopping, BALANCE_SECONDS)
        for held in self._held.values():
            held.stopping.set()
        futures.wait([held.future for held in self._held.values()])
        self._held = {}

    def observe_demand(self) -> None:
        """Takes the present demand into the records of the pools."""
        self._demand.observe(self._sources.wall_clock())

    def _step(self) -> None:
        self.observe_demand()
        self._held = {
            shard: held
            for shard, held in self._held.items()
            if not held.future.done()
        }
        for shard in self._balance.give_up(self._held.keys()):
            self._held[shard].stopping.set()
        taken = self._balance.take(self._held.keys())
        if not isinstance(taken, result.Success):
            self._note(taken.failure())
            return
        self._failed = None
        for lease in taken.unwrap():
            self._start_task(lease)

    def _start_task(self, lease: shard_lease.HeldLease) -> None:
        if self._executor is None or len(self._held) >= MAX_SHARDS:
            lease.release()
            return
        stopping = threading.Event()
        task = shard_task.ShardTask(
            lease, self.build_keeper(lease, stopping), self._clock, stopping
        )
        self._held[lease.shard] = _Held(
            stopping, self._executor.submit(task.run)
        )

    def build_keeper(
        self, lease: shard_lease.HeldLease, stopping: threading.Event
    ) -> shard_context.ShardKeeper:
        """Builds what does the work of a shard.

        Args:
            lease: The lease of the shard.
            stopping: Ends waits of the shard's task.

        Returns:
            The keeper of the pool or of the site.
        """
        guarded = guarded_platform.guard(
            self._platform, lease, self._budget, self._clock, stopping
        )
        context = shard_context.ShardContext(
            lease.shard,
            lease.epoch_row,
            guarded,
            self._site,
            self._mesh,
            self._clock,
            self._listing,
            self._demand,
            self._sources.token_source,
            self._sources.wall_clock,
            self._planner,
        )
        if lease.shard == orders.SITE_SHARD:
            return site_keeper.SiteKeeper(context)
        return pool_keeper.PoolKeeper(context, self._jobs(guarded))

    def _note(self, failure: errors.Failure) -> None:
        if failure.kind is not self._failed:
            events.log(
                events.Event.STORE_FAILED,
                "leases can't be read",
                level="WARNING",
                kind=failure.kind.value,
                detail=repr(failure.detail),
            )
        self._failed = failure.kind
