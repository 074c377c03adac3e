"""Which hosts move between pools, and which are maintained next.

The load pattern it answers: queues ask for five times their mean by turns,
for seconds at a time, so hosts follow the demand and rest in standby between.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
import itertools
import math
from typing import Any, NamedTuple

from wisteriasill.contracts import host_record
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues

# Idle time after which a host beyond its pool's need rests. A move costs as
# much as 1.2 idle seconds by the prices of both sites, and the need of a pool
# falls for seconds at a time, so half of that is enough to pass over gaps.
REST_SECONDS = 0.5
# Idle time after which a host may help another pool.
SPARE_SECONDS = 0.3
# Hosts that a pool keeps without demand, so that a crash leaves one.
LEAST_HOSTS = 3
# Hosts of one pool that are emptied for a wave at the same time.
EMPTYING_PER_POOL = 2


class WorkerLoad(NamedTuple):
    """Load of a worker as its pool's holder sees it.

    Attributes:
        lasting: Lasting tasks on it.
        finite: Other tasks on it.
        idle_seconds: Time since its last run ended; 0 while it has runs.
        released: Whether it is empty and kept empty for an order.
    """

    lasting: int
    finite: int
    idle_seconds: float
    released: bool


class PoolLoad(NamedTuple):
    """Load of a pool.

    Attributes:
        needed: Room that running, waiting and soon arriving tasks fill.
        load_by_worker: Load of each worker.
        spread: Hosts that the tasks of one step have to spread over.
    """

    needed: job_spec.Room
    load_by_worker: Mapping[str, WorkerLoad]
    spread: int = 0


class Ask(NamedTuple):
    """A host that is to be emptied for an order.

    Attributes:
        service: Pool that it moves to; empty for upkeep.
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
        {key: [*one] for key, one in load.load_by_worker.items()},
        load.spread,
    ]


def decode_load(data: Sequence[Any]) -> PoolLoad:
    """Reads what `encode_load` made, here or before loads had a spread."""
    needed, by_worker, *spread = data
    return PoolLoad(
        job_spec.Room(*needed),
        {key: WorkerLoad(*one) for key, one in by_worker.items()},
        *spread,
    )


def largest_room(hosts: Iterable[host_record.HostRecord]) -> job_spec.Room:
    """Returns the most that any host has of each resource."""
    rooms = [host.room for host in hosts]
    return job_spec.Room(
        max((room.cpu for room in rooms), default=0),
        max((room.memory_mb for room in rooms), default=0),
        0,
    )


def needed_hosts(load: PoolLoad, largest: job_spec.Room) -> int:
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
) -> list[Ask]:
    """Chooses moves to pools with waiting tasks, and of idle hosts to standby.

    Args:
        hosts: All hosts.
        load_by_service: Load of each pool that has a holder.
        standby: Services whose hosts are off.
        busy_host_ids: Hosts with an order or about to get one.
        arriving_by_service: Hosts that are on their way to a pool.

    Returns:
        The hosts to empty, with where they go.
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
    largest = largest_room(movable)
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
    spare = [
        host
        for surplus in surplus_by_service.values()
        for host in surplus
        if _idle_seconds(host, load_by_service) >= SPARE_SECONDS
    ]
    resting = [host for host in movable if host.service in standby]
    sources = iter([*resting, *spare])
    moves: list[Ask] = []
    wanted_by_service = {
        service: needed
        - len(movable_by_service.get(service, []))
        - arriving_by_service.get(service, 0)
        for service, needed in needed_by_service.items()
    }
    shortest_first = sorted(
        wanted_by_service.items(), key=lambda item: -item[1]
    )
    for service, wanted in shortest_first:
        if wanted <= 0:
            break
        candidates = (one for one in sources if one.service != service)
        moves += [
            Ask(host.host_id, host.worker_id, service, 0)
            for host in itertools.islice(candidates, wanted)
        ]
    taken = {move.host_id for move in moves}
    rest_service = next(iter(sorted(standby)), None)
    if rest_service is None:
        return moves
    return moves + [
        Ask(host.host_id, host.worker_id, rest_service, 0)
        for host in spare
        if host.host_id not in taken
        and _idle_seconds(host, load_by_service) >= REST_SECONDS
    ]


def _idle_seconds(
    host: host_record.HostRecord, load_by_service: Mapping[str, PoolLoad]
) -> float:
    load = load_by_service[host.service].load_by_worker.get(host.worker_id)
    return load.idle_seconds if load and not load.released else 0.0


def _surplus_hosts(
    needed: int, load: PoolLoad, own: Sequence[host_record.HostRecord]
) -> list[host_record.HostRecord]:
    """Returns idle hosts beyond what a pool needs."""
    idle = [
        host
        for host in own
        if (one := load.load_by_worker.get(host.worker_id))
        and one.idle_seconds
        and not one.released
    ]
    return idle[: max(0, len(own) - max(LEAST_HOSTS, needed))]


def plan_upkeep(
    wave: queues.WaveOrder,
    hosts: Iterable[host_record.HostRecord],
    load_by_service: Mapping[str, PoolLoad],
    done: Collection[str],
    asks: Iterable[Ask],
    down: int,
) -> list[Ask]:
    """Chooses the hosts that a wave empties next.

    Hosts without runs come first, then those with the fewest lasting tasks,
    as each of these has to find another worker before.

    Args:
        wave: The operators' order.
        hosts: All hosts.
        load_by_service: Load of each pool that has a holder.
        done: Hosts of the wave whose upkeep has begun.
        asks: Hosts that are being emptied.
        down: Hosts of the wave in upkeep now.

    Returns:
        The hosts to empty.
    """
    asked = [*asks]
    left = {*wave.host_ids} - {*done} - {ask.host_id for ask in asked}
    due = [
        host
        for host in hosts
        if host.host_id in left and host.state is host_record.HostState.UP
    ]
    service_by_worker = {host.worker_id: host.service for host in hosts}
    emptying: dict[str, int] = {}
    for ask in asked:
        service = service_by_worker.get(ask.worker_id, "")
        emptying[service] = emptying.get(service, 0) + 1
    room = wave.most_at_once - down - sum(ask.wave > 0 for ask in asked)

    def effort(host: host_record.HostRecord) -> tuple[int, int]:
        load = load_by_service.get(host.service)
        one = load.load_by_worker.get(host.worker_id) if load else None
        return (one.lasting, one.finite) if one else (0, 0)

    chosen: list[Ask] = []
    for host in sorted(due, key=effort):
        if len(chosen) >= room:
            break
        if host.service in load_by_service:
            if emptying.get(host.service, 0) >= EMPTYING_PER_POOL:
                continue
            emptying[host.service] = emptying.get(host.service, 0) + 1
        chosen.append(Ask(host.host_id, host.worker_id, "", wave.number))
    return chosen
