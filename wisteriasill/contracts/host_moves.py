"""Decides which hosts move between pools and which are maintained next.

Used by nodes; entry hosts use `moves` and `wave_plan` instead.

Load pattern: the queues peak in turn at five times their mean, for seconds at
a time, so hosts move with the demand and are in standby in between.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
import itertools
import math
from typing import Any, NamedTuple

from wisteriasill.contracts import host_record
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues

# Idle time after which a host that its pool doesn't need moves to standby. A
# move costs as much as 1.2 idle seconds by the prices of both sites, and the
# need of a pool falls for seconds at a time, so half of the 1.2 s is enough to
# bridge short gaps.
STANDBY_IDLE_SECONDS = 0.5
# Idle time after which a host may move to another pool.
MOVE_IDLE_SECONDS = 0.3
# Hosts that a pool keeps without demand, so that one survives a crash.
MIN_HOSTS = 3
# Hosts with tasks of one pool that drain for a wave at the same time, unless
# the wave would be late.
MIN_DRAINING_PER_POOL = 2
# Time in which a host with tasks drains: a long task, or the move of its
# long-running ones.
DRAIN_SECONDS = 4.0
# Share of a wave's limit for hosts with long-running tasks from its beginning.
# These move one by one, within the disruption budget of their step.
SLOW_DRAIN_SHARE = 0.25
# Share of the time of a wave in which all its maintenance should have begun.
WAVE_TIME_SHARE = 0.8


class WorkerLoad(NamedTuple):
    """Load of a worker as the holder of its pool's shard sees it.

    Attributes:
        lasting: Number of long-running tasks on it.
        finite: Number of other tasks on it.
        idle_seconds: Time since its last run ended; 0 while it has runs.
        released: Whether it is empty and accepts no tasks because of an order.
    """

    lasting: int
    finite: int
    idle_seconds: float
    released: bool


class PoolLoad(NamedTuple):
    """Load of a pool.

    Attributes:
        needed: Resources that running, waiting and forecast tasks need.
        load_by_worker: Load of each worker.
        spread: Minimum number of hosts for the tasks of one step.
    """

    needed: job_spec.Resources
    load_by_worker: Mapping[str, WorkerLoad]
    spread: int = 0


class DrainRequest(NamedTuple):
    """A host to drain for a move or for maintenance.

    Attributes:
        service: Pool that it moves to; empty for maintenance.
        wave: Wave that it is maintained for; 0 for a move.
    """

    host_id: str
    worker_id: str
    service: str
    wave: int


def encode_load(load: PoolLoad) -> list[Any]:
    """Turns a load into plain data."""
    return [
        [*load.needed],
        {
            key: [*worker_load]
            for key, worker_load in load.load_by_worker.items()
        },
        load.spread,
    ]


def decode_load(data: Sequence[Any]) -> PoolLoad:
    """Decodes a load; one of an earlier release has no spread."""
    needed, by_worker, *spread = data
    return PoolLoad(
        job_spec.Resources(*needed),
        {
            key: WorkerLoad(*worker_load)
            for key, worker_load in by_worker.items()
        },
        *spread,
    )


def largest_capacity(
    hosts: Iterable[host_record.HostRecord],
) -> job_spec.Resources:
    """Returns the largest amount of each resource on any host."""
    capacities = [host.room for host in hosts]
    return job_spec.Resources(
        max((capacity.cpu for capacity in capacities), default=0),
        max((capacity.memory_mb for capacity in capacities), default=0),
        0,
    )


def needed_hosts(load: PoolLoad, largest: job_spec.Resources) -> int:
    """Returns how many hosts of the largest size a pool needs."""
    if not largest.cpu or not largest.memory_mb:
        return 0
    filled = max(
        load.needed.cpu / largest.cpu,
        load.needed.memory_mb / largest.memory_mb,
    )
    return max(math.ceil(filled), load.spread)


def plan_moves(
    hosts: Iterable[host_record.HostRecord],
    load_by_service: Mapping[str, PoolLoad],
    standby: Collection[str],
    busy_host_ids: Collection[str],
    arriving_by_service: Mapping[str, int],
    due_host_ids: Collection[str] = (),
) -> list[DrainRequest]:
    """Plans moves to pools that lack hosts, and of idle hosts to standby.

    Args:
        hosts: All hosts.
        load_by_service: Load of each pool whose shard has a holder.
        standby: Services whose hosts are off.
        busy_host_ids: Hosts that have an order or are about to get one.
        arriving_by_service: Number of hosts that are moving to each pool.
        due_host_ids: Hosts that a wave has yet to maintain. They move last, as
            their maintenance disturbs nobody while they are idle.

    Returns:
        The hosts to drain, with their target pools.
    """
    movable = [
        host
        for host in hosts
        if host.state is host_record.HostState.UP
        and host.host_id not in busy_host_ids
    ]
    movable_by_service: dict[str, list[host_record.HostRecord]] = {}
    for host in movable:
        movable_by_service.setdefault(host.service, []).append(host)
    largest = largest_capacity(movable)
    needed_by_service = {
        service: needed_hosts(load, largest)
        for service, load in load_by_service.items()
    }
    surplus_by_service = {
        service: _surplus_hosts(
            needed_by_service[service],
            load,
            movable_by_service.get(service, []),
        )
        for service, load in load_by_service.items()
    }
    movable_surplus = [
        host
        for surplus in surplus_by_service.values()
        for host in surplus
        if _idle_seconds(host, load_by_service) >= MOVE_IDLE_SECONDS
    ]
    in_standby = [host for host in movable if host.service in standby]
    sources = iter(
        sorted(
            [*in_standby, *movable_surplus],
            key=lambda host: host.host_id in due_host_ids,
        )
    )
    moves: list[DrainRequest] = []
    wanted_by_service = {
        service: needed
        - len(movable_by_service.get(service, []))
        - arriving_by_service.get(service, 0)
        for service, needed in needed_by_service.items()
    }
    largest_shortage_first = sorted(
        wanted_by_service.items(), key=lambda entry: -entry[1]
    )
    for service, wanted in largest_shortage_first:
        if wanted <= 0:
            break
        candidates = (host for host in sources if host.service != service)
        moves += [
            DrainRequest(host.host_id, host.worker_id, service, 0)
            for host in itertools.islice(candidates, wanted)
        ]
    moving_host_ids = {move.host_id for move in moves}
    standby_service = next(iter(sorted(standby)), None)
    if standby_service is None:
        return moves
    return moves + [
        DrainRequest(host.host_id, host.worker_id, standby_service, 0)
        for host in movable_surplus
        if host.host_id not in moving_host_ids
        and _idle_seconds(host, load_by_service) >= STANDBY_IDLE_SECONDS
    ]


def _idle_seconds(
    host: host_record.HostRecord, load_by_service: Mapping[str, PoolLoad]
) -> float:
    load = load_by_service[host.service].load_by_worker.get(host.worker_id)
    return load.idle_seconds if load and not load.released else 0.0


def _surplus_hosts(
    needed: int, load: PoolLoad, pool_hosts: Sequence[host_record.HostRecord]
) -> list[host_record.HostRecord]:
    """Returns idle hosts beyond what a pool needs."""
    idle = [
        host
        for host in pool_hosts
        if (worker_load := load.load_by_worker.get(host.worker_id))
        and worker_load.idle_seconds
        and not worker_load.released
    ]
    return idle[: max(0, len(pool_hosts) - max(MIN_HOSTS, needed))]


def plan_maintenance(
    wave: queues.WaveOrder,
    hosts: Iterable[host_record.HostRecord],
    load_by_service: Mapping[str, PoolLoad],
    done: Collection[str],
    requests: Iterable[DrainRequest],
    down: int,
    now: float = 0.0,
) -> list[DrainRequest]:
    """Chooses the hosts that a wave drains next.

    Hosts without tasks come first, then those with the fewest long-running
    tasks, because each of these has to move to another worker first. A share of
    the hosts in maintenance is left to hosts with long-running tasks, which
    take longest. Of hosts with tasks only so many drain at a time as the end of
    the wave demands.

    Load pattern: half of all hosts are due within 25 s, in which each pool
    has a peak; whole racks of them may be lost meanwhile.

    Args:
        wave: The wave that the operator requested.
        hosts: All hosts.
        load_by_service: Load of each pool whose shard has a holder.
        done: Hosts of the wave whose maintenance has begun.
        requests: Drain requests in progress.
        down: Number of the wave's hosts in maintenance now.
        now: Monotonic time.

    Returns:
        The hosts to drain.
    """
    draining_requests = [*requests]
    remaining_host_ids = (
        {*wave.host_ids}
        - {*done}
        - {request.host_id for request in draining_requests}
    )
    due = [
        host
        for host in hosts
        if host.host_id in remaining_host_ids
        and host.state is host_record.HostState.UP
    ]
    service_by_worker = {host.worker_id: host.service for host in hosts}
    draining: dict[str, int] = {}
    for request in draining_requests:
        service = service_by_worker.get(request.worker_id, "")
        draining[service] = draining.get(service, 0) + 1
    allowed = (
        wave.most_at_once
        - down
        - sum(request.wave > 0 for request in draining_requests)
    )

    def drain_cost(host: host_record.HostRecord) -> tuple[int, int]:
        load = load_by_service.get(host.service)
        worker_load = load.load_by_worker.get(host.worker_id) if load else None
        return (
            (worker_load.lasting, worker_load.finite) if worker_load else (0, 0)
        )

    by_cost = sorted(due, key=drain_cost)
    slots = _slow_slots_by_service(
        wave, hosts, load_by_service, draining_requests
    )
    slowest = [
        host
        for service, service_hosts in itertools.groupby(
            sorted(
                (host for host in due if drain_cost(host)[0]),
                key=lambda host: (host.service, -drain_cost(host)[0]),
            ),
            key=lambda host: host.service,
        )
        for host in itertools.islice(service_hosts, slots.get(service, 0))
    ]
    draining_per_pool = _draining_per_pool(
        wave, len(remaining_host_ids), len(load_by_service), now
    )
    chosen: dict[str, DrainRequest] = {}
    for host in [*slowest, *by_cost]:
        if len(chosen) >= allowed:
            break
        if host.host_id in chosen:
            continue
        if host.service in load_by_service and (
            _idle_seconds(host, load_by_service) < MOVE_IDLE_SECONDS
        ):
            if draining.get(host.service, 0) >= draining_per_pool:
                continue
            draining[host.service] = draining.get(host.service, 0) + 1
        chosen[host.host_id] = DrainRequest(
            host.host_id, host.worker_id, "", wave.number
        )
    return [*chosen.values()]


def _slow_slots_by_service(
    wave: queues.WaveOrder,
    hosts: Iterable[host_record.HostRecord],
    load_by_service: Mapping[str, PoolLoad],
    draining_requests: Iterable[DrainRequest],
) -> dict[str, int]:
    """Returns how many more hosts with long-running tasks drain in each pool.

    They drain from the beginning, those with the most of these tasks first, so
    that the disruption budget of each step is in use all the time.
    """
    requested = {request.worker_id for request in draining_requests}
    share = int(SLOW_DRAIN_SHARE * wave.most_at_once) / max(
        1, len(load_by_service)
    )
    return {
        service: max(
            0,
            math.ceil(share)
            - sum(
                worker_load.lasting > 0 and worker_id in requested
                for worker_id, worker_load in load.load_by_worker.items()
            ),
        )
        for service, load in load_by_service.items()
    }


def _draining_per_pool(
    wave: queues.WaveOrder, remaining: int, pools: int, now: float
) -> int:
    """Returns how many hosts with tasks of a pool drain at a time."""
    end_at = wave.seen_at + WAVE_TIME_SHARE * wave.duration_seconds
    rounds = max(1.0, (end_at - now) / DRAIN_SECONDS)
    return max(
        MIN_DRAINING_PER_POOL, math.ceil(remaining / rounds / max(1, pools))
    )
