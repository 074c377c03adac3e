"""Faults that the soak injects, chosen by a seeded generator."""

from __future__ import annotations

from collections.abc import Callable
import random
import signal
import time
from typing import NamedTuple

from soak import callers
from soak import cancellations
from soak import proxy
from soak import site as sites
from soak import worker_crashes
from soak import worker_faults

Fault = Callable[[sites.Site, random.Random], str]

PAUSES_SECONDS = (0.5, 1.0, 2.0, 4.0)


def kill_node(site: sites.Site, rng: random.Random) -> str:
    """Kills a node and restarts it."""
    node = rng.choice(site.nodes)
    with node.lock, node.disturbance:
        node.stop(signal.SIGKILL)
        time.sleep(rng.choice(PAUSES_SECONDS[:2]))
        node.start()
    return f"killed {node.name}"


def stop_node(site: sites.Site, rng: random.Random) -> str:
    """Stops a node gracefully and restarts it."""
    node = rng.choice(site.nodes)
    with node.lock, node.restarts:
        node.stop(signal.SIGTERM)
        node.start()
    return f"stopped {node.name}"


def pause_node(site: sites.Site, rng: random.Random) -> str:
    """Pauses a node, so that others claim shards it still treats as its own."""
    node = rng.choice(site.nodes)
    with node.lock, node.disturbance:
        node.send(signal.SIGSTOP)
        time.sleep(rng.choice(PAUSES_SECONDS))
        node.send(signal.SIGCONT)
    return f"paused {node.name}"


def degrade_store_link(site: sites.Site, rng: random.Random) -> str:
    """Degrades a node's link to the store for some time."""
    node = rng.choice(site.nodes)
    mode = rng.choice([*proxy.Mode][1:])
    with node.disturbance:
        node.store_proxy.mode = mode
        if rng.random() < 0.5:
            node.store_proxy.reset_all()
        time.sleep(rng.choice(PAUSES_SECONDS))
        node.store_proxy.mode = proxy.Mode.PASS
        node.store_proxy.reset_all()
    return f"link of {node.name} {mode}"


def disable_store(site: sites.Site, rng: random.Random) -> str:
    """Makes the store unavailable to all for some time."""
    with site.store_disturbance:
        site.store.down = True
        time.sleep(rng.choice(PAUSES_SECONDS))
        site.store.down = False
    return "store down"


def drop_responses(site: sites.Site, rng: random.Random) -> str:
    """Drops responses to some of the next successful writes."""
    with site.lost_answers:
        site.store.lost_answers += rng.randint(1, 6)
    return "answers lost"


def delay_writes(site: sites.Site, rng: random.Random) -> str:
    """Delays writes by seconds; each applies if its conditions still hold."""
    with site.store_disturbance:
        site.store.delayed_writes += rng.randint(1, 6)
        time.sleep(rng.choice(PAUSES_SECONDS))
        site.store.delayed_writes = 0
        site.store.deliver_delayed()
    return "writes late"


def drop_history(site: sites.Site, rng: random.Random) -> str:
    """Drops the store's history of changes."""
    with site.store_disturbance:
        site.store.drop_history()
    return "history dropped"


def crash_worker(site: sites.Site, rng: random.Random) -> str:
    """Crashes a worker, which restarts at once without its runs."""
    worker = rng.choice(site.workers)
    with site.worker_disturbances[worker.worker_id]:
        worker.crash()
    return f"crashed {worker.worker_id}"


def partition_worker(site: sites.Site, rng: random.Random) -> str:
    """Partitions a worker; its runs continue until their leases expire."""
    worker = rng.choice(site.workers)
    with site.worker_disturbances[worker.worker_id]:
        worker.unreachable = True
        time.sleep(rng.choice(PAUSES_SECONDS))
        worker.unreachable = False
    return f"cut {worker.worker_id}"


GENERAL_FAULTS: tuple[Fault, ...] = (
    kill_node,
    stop_node,
    pause_node,
    degrade_store_link,
    disable_store,
    drop_responses,
    delay_writes,
    drop_history,
    crash_worker,
    partition_worker,
)


class FaultSet(NamedTuple):
    """Faults that a run draws from, and what else goes with them.

    A seed draws the same faults only from the same set.

    Attributes:
        faults: The faults; a fault that is there twice is drawn more often.
        habits: How callers behave.
        max_stop_seconds: Longest time that workers take for a stop.
        waits_for_holders: Whether faults begin only when all shards have
            holders, not when the first node serves callers.
    """

    faults: tuple[Fault, ...]
    habits: callers.Habits
    max_stop_seconds: float
    waits_for_holders: bool


FAULT_SETS = {
    "general": FaultSet(GENERAL_FAULTS, callers.Habits(0.1), 0.0, False),
    "orders": FaultSet(
        (*GENERAL_FAULTS, *worker_faults.FAULTS),
        callers.CANCELLING,
        cancellations.STOP_SECONDS,
        False,
    ),
    "takeovers": FaultSet(
        worker_faults.TAKEOVER_FAULTS,
        callers.CANCELLING,
        cancellations.STOP_SECONDS,
        True,
    ),
    "crashes": FaultSet(
        (
            *worker_crashes.FAULTS,
            *worker_crashes.FAULTS,
            kill_node,
            stop_node,
            pause_node,
        ),
        callers.SHORT_TASKS,
        cancellations.STOP_SECONDS,
        True,
    ),
    "cancellations": FaultSet(
        worker_faults.CANCELLATION_FAULTS,
        callers.LATE_CANCELLING,
        cancellations.STOP_SECONDS,
        True,
    ),
}
