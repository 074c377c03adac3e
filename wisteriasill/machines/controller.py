"""Controller of an entry host: acquires shard leases, runs a task per shard.

The site shard is run by `site_controller`, the shard of a pool by
`pool_controller`. A node (`site_node`) uses `zones.shard_claims`,
`batch_controller` and `fleet_controller` instead.
"""

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
from wisteriasill import settings as settings_module
from wisteriasill.contracts import orders
from wisteriasill.contracts import wave_plan
from wisteriasill.links import peer_messages
from wisteriasill.links import platform as platforms
from wisteriasill.machines import guarded_platform
from wisteriasill.machines import host_listing
from wisteriasill.machines import pool_controller
from wisteriasill.machines import shard_balancer
from wisteriasill.machines import shard_context
from wisteriasill.machines import shard_lease
from wisteriasill.machines import shard_task
from wisteriasill.machines import site_controller
from wisteriasill.machines import write_budget
from wisteriasill.zones import demand_tracker
from wisteriasill.zones import site as sites

MAX_SHARDS = 64
BALANCE_PERIOD_SECONDS = 1.0


class Sources(NamedTuple):
    """Random values, wall clock and write limits of the controller.

    Attributes:
        token_source: Returns a new random token at each call.
        wall_clock: Returns Unix time in seconds, for timestamps that people
            read.
        rng: Source of jitter.
        limits: Rate limits of control writes.
    """

    token_source: Callable[[], str] = lambda: secrets.token_hex(8)
    wall_clock: Callable[[], float] = time.time
    rng: random.Random = random.Random()
    limits: write_budget.WriteLimits = write_budget.DEFAULT_LIMITS


SYSTEM_SOURCES = Sources()


class _RunningShard(NamedTuple):
    """The running task of a held shard and the event that ends it."""

    stopping: threading.Event
    future: futures.Future[None]


class Controller:
    """Holds shard leases and runs a task for each of them."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        platform: platforms.Platform,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        incarnation: str,
        clock: clocks.Clock,
        job_controller_factory: shard_context.JobControllerFactory,
        sources: Sources = SYSTEM_SOURCES,
        planner: wave_plan.Planner = wave_plan.plan,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._site = site
        self._mesh = mesh
        self._clock = clock
        self._job_controller_factory = job_controller_factory
        self._sources = sources
        self._planner = planner
        owner = shard_lease.LeaseOwner(
            settings.member_id,
            incarnation,
            settings.lease_seconds,
            sources.token_source,
        )
        self._balancer = shard_balancer.ShardBalancer(
            platform.table, site, owner, clock
        )
        self._budget = write_budget.WriteBudget(
            clock,
            self._share_of_shards,
            sources.rng,
            sources.limits,
        )
        self._lease_by_shard: dict[str, shard_lease.HeldLease] = {}
        self._listing = host_listing.CachedHostList(platform.host_list, clock)
        self._demand = demand_tracker.DemandTracker(mesh, site, clock)
        self._stopping = threading.Event()
        self._running_by_shard: dict[str, _RunningShard] = {}
        self._executor: futures.ThreadPoolExecutor | None = None
        self._last_failure_kind: errors.ErrorKind | None = None

    @property
    def shards(self) -> frozenset[str]:
        """The shards that this process holds."""
        return frozenset(self._running_by_shard)

    def start(self) -> None:
        """Starts to acquire shards if the settings enable control."""
        if not self._settings.control:
            return
        self._executor = futures.ThreadPoolExecutor(
            MAX_SHARDS + 1, thread_name_prefix="control"
        )
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Stops all tasks and waits until all shards are released."""
        self._stopping.set()
        if self._executor is not None:
            self._executor.shutdown(wait=True)
            self._executor = None

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._step()
            except Exception as error:  # Control must survive any fault.
                events.log(
                    events.Event.TASK_FAILED,
                    "Shard balancing failed; retrying in the next step",
                    level="ERROR",
                    error=repr(error),
                )
            self._clock.wait(self._stopping, BALANCE_PERIOD_SECONDS)
        for running in self._running_by_shard.values():
            running.stopping.set()
        futures.wait(
            [running.future for running in self._running_by_shard.values()]
        )
        self._running_by_shard = {}

    def _share_of_shards(self) -> float:
        """Returns the fraction of all shards that this process holds.

        A process without shards counts as if it held one.
        """
        held_count = sum(
            not lease.lost for lease in tuple(self._lease_by_shard.values())
        )
        total = len(shard_balancer.shards_of(self._site.snapshot))
        return min(1.0, max(1, held_count) / total)

    def observe_demand(self) -> None:
        """Records the current demand of all pools."""
        self._demand.observe(self._sources.wall_clock())

    def _step(self) -> None:
        self.observe_demand()
        self._running_by_shard = {
            shard: running
            for shard, running in self._running_by_shard.items()
            if not running.future.done()
        }
        for shard in self._balancer.shards_to_release(
            self._running_by_shard.keys()
        ):
            self._running_by_shard[shard].stopping.set()
        acquired = self._balancer.acquire(self._running_by_shard.keys())
        if not isinstance(acquired, result.Success):
            self._log_first_failure(acquired.failure())
            return
        self._last_failure_kind = None
        for lease in acquired.unwrap():
            self._start_task(lease)

    def _start_task(self, lease: shard_lease.HeldLease) -> None:
        if self._executor is None or len(self._running_by_shard) >= MAX_SHARDS:
            lease.release()
            return
        stopping = threading.Event()
        task = shard_task.ShardTask(
            lease, self.build_controller(lease, stopping), self._clock, stopping
        )
        self._running_by_shard[lease.shard] = _RunningShard(
            stopping, self._executor.submit(task.run)
        )

    def build_controller(
        self, lease: shard_lease.HeldLease, stopping: threading.Event
    ) -> shard_context.ShardController:
        """Builds the controller of a shard.

        Args:
            lease: The lease of the shard.
            stopping: Interrupts waits of the shard's task.

        Returns:
            A site controller for the site shard, else a pool controller.
        """
        guarded = guarded_platform.guard(
            self._platform, lease, self._budget, self._clock, stopping
        )
        self._lease_by_shard[lease.shard] = lease
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
            return site_controller.SiteController(context)
        return pool_controller.PoolController(
            context, self._job_controller_factory(guarded)
        )

    def _log_first_failure(self, failure: errors.Failure) -> None:
        if failure.kind is not self._last_failure_kind:
            events.log(
                events.Event.STORE_FAILED,
                "Shard leases can't be read",
                level="WARNING",
                kind=failure.kind.value,
                detail=repr(failure.detail),
            )
        self._last_failure_kind = failure.kind
