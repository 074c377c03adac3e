"""What the task of one shard works with."""

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
from wisteriasill.zones import demand_watch
from wisteriasill.zones import site as sites


class JobKeeper(Protocol):
    """Runs the jobs of one pool; one instance for each shard held."""

    def step(
        self,
        epoch_row: platform.Row,
        hosts: Sequence[hosts.Host],
        services: Sequence[service.Service],
        quotas: Sequence[service.TeamQuota],
    ) -> result.Result[None, errors.Failure]:
        """Starts, renews and ends tasks on the pool's hosts."""

    def checkpoint_host(
        self, epoch_row: platform.Row, host_id: str
    ) -> result.Result[bool, errors.Failure]:
        """Checkpoints and stops a host's tasks; true when none is left."""

    def cancel(
        self, epoch_row: platform.Row, job_id: str
    ) -> result.Result[None, errors.Failure]:
        """Cancels a job."""


JobKeeperFactory = Callable[[platform.Platform], JobKeeper]


class ShardContext(NamedTuple):
    """What the task of one shard works with.

    Attributes:
        shard: Pool name, or `site`.
        epoch_row: The shard's epoch row; fences all writes.
        platform: The platform under the shard's lease.
        site: What this entry host knows of the site.
        mesh: Links to peers.
        clock: This process's clock.
        listing: The platform's list of hosts.
        demand: Demand of the pools.
        token_source: Makes a new random token at each call.
        wall_clock: Seconds since the epoch, for people to read.
        planner: Plans maintenance waves; the bench compares several.
    """

    shard: str
    epoch_row: platform.Row
    platform: platform.Platform
    site: sites.Site
    mesh: peer_messages.PeerMesh
    clock: clocks.Clock
    listing: host_listing.HostListing
    demand: demand_watch.DemandWatch
    token_source: Callable[[], str]
    wall_clock: Callable[[], float]
    planner: wave_plan.Planner = wave_plan.plan


class ShardKeeper(Protocol):
    """Work of one shard."""

    def step(self) -> result.Result[None, errors.Failure]:
        """Does one round; called about once a second."""
