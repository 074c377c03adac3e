"""Assigns hosts to pools: at registration and after sustained shortage.

Used by entry hosts; nodes use `host_moves` instead, which follows peaks of
seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import types
from typing import NamedTuple

from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import demand
from wisteriasill.contracts import service
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

# A shortage must last this long before a host is moved. A move needs a drain
# and a reboot; peaks last only seconds, and jobs are throttled for those.
SUSTAINED_SECONDS = 600.0
# A pool gives a host away only if it keeps this many more than it promises, so
# that the next failure doesn't reverse the move, or if no other pool has any.
HYSTERESIS_HOSTS = 1
NO_DEMAND: Mapping[str, float] = types.MappingProxyType({})


class PoolNeed(NamedTuple):
    """The hosts that a pool has and needs.

    Attributes:
        pool: Name of the pool.
        wanted: Hosts that it should hold.
        held: Hosts that belong to it or are moving to it.
        since: Monotonic time since when `held` has been below `wanted`; None
            while it is not.
    """

    pool: str
    wanted: int
    held: int
    since: float | None = None

    @property
    def missing(self) -> int:
        """Hosts that the pool lacks; negative for a surplus."""
        return self.wanted - self.held


class Move(NamedTuple):
    """A host to move, with its current and its new pool."""

    host_id: str
    from_pool: str
    to_pool: str


def fits(
    host: hosts.Host | platform.ListedHost, contract: service.PoolContract
) -> bool:
    """Returns whether a host is at least as large as a pool's contract says."""
    return (
        host.cores >= contract.cores_per_host
        and host.memory_gib >= contract.memory_gib_per_host
        and host.accelerators >= contract.accelerators_per_host
        and host.slots >= contract.slots_per_host
        and host.connections >= contract.connections_per_host
    )


def choose_pool(
    listed: platform.ListedHost,
    configuration: configurations.Configuration,
    hosts_by_pool: Mapping[str, Sequence[hosts.Host]],
) -> str:
    """Chooses the pool of a host that has no row yet.

    Args:
        listed: The host.
        configuration: The configuration in force.
        hosts_by_pool: Hosts that have rows or were just assigned.

    Returns:
        The pool that lacks hosts of this size and has the fewest in the
        host's zone and rack, else the spare pool; empty if there is neither.
    """
    lacking = [
        name
        for name, owner in configuration.services_by_name.items()
        if not owner.pool.spare
        and fits(listed, owner.pool)
        and len(hosts_by_pool.get(name, ())) < owner.pool.hosts
    ]

    def rank(name: str) -> tuple[float, float, float, str]:
        members = hosts_by_pool.get(name, ())
        wanted = configuration.services_by_name[name].pool.hosts
        in_zone = sum(
            1
            for host in members
            if host.availability_zone == listed.availability_zone
        )
        in_rack = sum(1 for host in members if host.rack == listed.rack)
        return (
            in_zone / wanted,
            in_rack / wanted,
            len(members) / wanted,
            name,
        )

    return min(lacking, key=rank, default=configuration.spare_pool)


def needs(
    configuration: configurations.Configuration,
    hosts_by_pool: Mapping[str, Sequence[hosts.Host]],
    before: Iterable[PoolNeed],
    now: float,
    busy_slots_by_pool: Mapping[str, float] = NO_DEMAND,
) -> tuple[PoolNeed, ...]:
    """Computes the needs of all pools except the spare pool.

    Args:
        configuration: The configuration in force.
        hosts_by_pool: All hosts.
        before: The needs that were computed last.
        now: Monotonic time.
        busy_slots_by_pool: Sustained demand of the pools for which it is
            known.

    Returns:
        The needs, with the time since when a pool has lacked hosts.
    """
    since_by_pool = {need.pool: need.since for need in before}
    held_by_pool = dict.fromkeys(configuration.services_by_name, 0)
    for host in (host for group in hosts_by_pool.values() for host in group):
        pool = host.next_pool or host.pool
        if pool in held_by_pool and host.state is not hosts.HostState.DOWN:
            held_by_pool[pool] += 1
    wanted_by_pool = {
        name: max(
            owner.pool.hosts,
            demand.hosts_for(
                busy_slots_by_pool.get(name, 0.0), owner.pool.slots_per_host
            ),
        )
        for name, owner in sorted(configuration.services_by_name.items())
        if not owner.pool.spare
    }
    return tuple(
        PoolNeed(
            name,
            wanted,
            held_by_pool[name],
            _shortage_start(since_by_pool.get(name), now)
            if held_by_pool[name] < wanted
            else None,
        )
        for name, wanted in wanted_by_pool.items()
    )


def _shortage_start(since: float | None, now: float) -> float:
    return now if since is None else since


def plan_move(
    configuration: configurations.Configuration,
    hosts_by_pool: Mapping[str, Sequence[hosts.Host]],
    pool_needs: Sequence[PoolNeed],
    now: float,
) -> Move | None:
    """Plans one move to the pool with the largest sustained shortage.

    Args:
        configuration: The configuration in force.
        hosts_by_pool: All hosts.
        pool_needs: The hosts that each pool has and needs.
        now: Monotonic time.

    Returns:
        The move; None if no shortage has lasted long enough, or no pool has
        a host to give.
    """
    orphan = _plan_orphan(configuration, hosts_by_pool)
    if orphan is not None:
        return orphan
    sustained = [
        need
        for need in pool_needs
        if need.missing > 0
        and need.since is not None
        and now - need.since >= SUSTAINED_SECONDS
    ]
    for need in sorted(sustained, key=lambda need: -need.missing / need.wanted):
        contract = configuration.services_by_name[need.pool].pool
        for donor in _donors(configuration, pool_needs):
            host = _choose_host(
                hosts_by_pool.get(donor, ()),
                hosts_by_pool.get(need.pool, ()),
                contract,
            )
            if host is not None:
                return Move(host.host_id, donor, need.pool)
    return None


def _plan_orphan(
    configuration: configurations.Configuration,
    hosts_by_pool: Mapping[str, Sequence[hosts.Host]],
) -> Move | None:
    """Plans the move of a host whose pool is no longer configured."""
    spare = configuration.spare_pool
    if not spare:
        return None
    return next(
        (
            Move(host.host_id, pool, spare)
            for pool, members in sorted(hosts_by_pool.items())
            if pool not in configuration.services_by_name
            for host in members
            if not host.next_pool
            and fits(host, configuration.services_by_name[spare].pool)
        ),
        None,
    )


def _donors(
    configuration: configurations.Configuration,
    pool_needs: Iterable[PoolNeed],
) -> tuple[str, ...]:
    """Returns the pools that may give a host, in order of preference.

    Pools with a surplus beyond the hysteresis come first. Hosts that a pool
    got because of a failure stay there after it, and this order moves them
    to where they are needed without emptying the spare pool.
    """
    with_surplus = sorted(
        (need for need in pool_needs if need.missing < 0),
        key=lambda need: need.missing,
    )
    first = [
        need.pool for need in with_surplus if -need.missing > HYSTERESIS_HOSTS
    ]
    last = [
        need.pool for need in with_surplus if -need.missing <= HYSTERESIS_HOSTS
    ]
    spare = configuration.spare_pool
    return (*first, *([spare] if spare else []), *last)


def _choose_host(
    donors: Iterable[hosts.Host],
    receivers: Sequence[hosts.Host],
    contract: service.PoolContract,
) -> hosts.Host | None:
    """Chooses the smallest host that fits, in the zone with fewest hosts."""

    def rank(host: hosts.Host) -> tuple[int, int, float, str]:
        return (
            sum(
                1
                for other in receivers
                if other.availability_zone == host.availability_zone
            ),
            sum(1 for other in receivers if other.rack == host.rack),
            host.cores,
            host.host_id,
        )

    return min(
        (
            host
            for host in donors
            if host.state is hosts.HostState.SERVING
            and not host.next_pool
            and fits(host, contract)
        ),
        key=rank,
        default=None,
    )
