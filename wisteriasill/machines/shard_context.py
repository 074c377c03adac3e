"""Dependencies of the task of one shard, and the protocols of its parts."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.contracts import service
from wisteriasill.contracts import wave_plan
from wisteriasill.links import peer_messages
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import host_listing
from wisteriasill.zones import demand_tracker
from wisteriasill.zones import site as sites


class JobController(Protocol):
    """Runs the jobs of one pool; one instance for each shard held."""

    def step(
        self,
        epoch_row: platform.Row,
        hosts: Sequence[hosts.Host],
        services: Sequence[service.Service],
        quotas: Sequence[service.TeamQuota],
    ) -> result.Result[None, errors.Failure]:
        """Runs one reconciliation step of the pool's jobs."""

    def checkpoint_host(
        self, epoch_row: platform.Row, host_id: str
    ) -> result.Result[bool, errors.Failure]:
        """Checkpoints and stops a host's tasks; True once none runs."""

    def cancel(
        self, epoch_row: platform.Row, job_id: str
    ) -> result.Result[None, errors.Failure]:
        """Cancels a job."""


JobControllerFactory = Callable[[platform.Platform], JobController]


class ShardContext(NamedTuple):
    """Dependencies of the task of one shard.

    Attributes:
        shard: Pool name, or `site`.
        epoch_row: The shard's epoch row; its version fences all writes.
        platform: The platform, guarded by the shard's lease.
        site: View of the site.
        mesh: Links to peers.
        clock: This process's clock.
        listing: Cache of the platform's host list.
        demand: Demand of the pools.
        token_source: Returns a new random token at each call.
        wall_clock: Returns Unix time in seconds, for timestamps that people
            read.
        planner: Plans maintenance waves; benchmarks compare several.
    """

    shard: str
    epoch_row: platform.Row
    platform: platform.Platform
    site: sites.Site
    mesh: peer_messages.PeerMesh
    clock: clocks.Clock
    listing: host_listing.CachedHostList
    demand: demand_tracker.DemandTracker
    token_source: Callable[[], str]
    wall_clock: Callable[[], float]
    planner: wave_plan.Planner = wave_plan.plan


class LeasedShardController(Protocol):
    """Controls a leased shard of an entry host in steps of its `ShardTask`."""

    def step(self) -> result.Result[None, errors.Failure]:
        """Runs one control step; called about once a second."""
