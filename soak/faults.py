"""Faults that the soak injects, drawn from a seed."""

from __future__ import annotations

from collections.abc import Callable
import random
import signal
import time

from soak import proxy
from soak import site as sites

Act = Callable[[sites.Site, random.Random], str]

PAUSES_SECONDS = (0.5, 1.0, 2.0, 4.0)


def kill_node(site: sites.Site, draw: random.Random) -> str:
    """Kills a node and starts it again."""
    node = draw.choice(site.nodes)
    with node.lock:
        node.stop(signal.SIGKILL)
        time.sleep(draw.choice(PAUSES_SECONDS[:2]))
        node.start()
    return f"killed {node.name}"


def stop_node(site: sites.Site, draw: random.Random) -> str:
    """Stops a node in order and starts it again."""
    node = draw.choice(site.nodes)
    with node.lock:
        node.stop(signal.SIGTERM)
        node.start()
    return f"stopped {node.name}"


def pause_node(site: sites.Site, draw: random.Random) -> str:
    """Pauses a node, so that its shards pass on while it believes in them."""
    node = draw.choice(site.nodes)
    with node.lock:
        node.send(signal.SIGSTOP)
        time.sleep(draw.choice(PAUSES_SECONDS))
        node.send(signal.SIGCONT)
    return f"paused {node.name}"


def harm_link(site: sites.Site, draw: random.Random) -> str:
    """Harms a node's way to the store, then heals it."""
    node = draw.choice(site.nodes)
    node.store_proxy.mode = draw.choice([*proxy.Mode][1:])
    named = node.store_proxy.mode
    if draw.random() < 0.5:
        node.store_proxy.reset_all()
    time.sleep(draw.choice(PAUSES_SECONDS))
    node.store_proxy.mode = proxy.Mode.PASS
    node.store_proxy.reset_all()
    return f"link of {node.name} {named}"


def store_down(site: sites.Site, draw: random.Random) -> str:
    """Takes the store away for all."""
    site.store.down = True
    time.sleep(draw.choice(PAUSES_SECONDS))
    site.store.down = False
    return "store down"


def lose_answers(site: sites.Site, draw: random.Random) -> str:
    """Loses answers to writes that are done."""
    site.store.lost_answers += draw.randint(1, 6)
    return "answers lost"


def delay_writes(site: sites.Site, draw: random.Random) -> str:
    """Carries writes out seconds late, if their conditions still hold."""
    site.store.delayed_writes += draw.randint(1, 6)
    time.sleep(draw.choice(PAUSES_SECONDS))
    site.store.delayed_writes = 0
    site.store.deliver_delayed()
    return "writes late"


def drop_history(site: sites.Site, draw: random.Random) -> str:
    """Drops the store's history of changes."""
    site.store.drop_history()
    return "history dropped"


def crash_worker(site: sites.Site, draw: random.Random) -> str:
    """Crashes a worker, which is back at once with nothing."""
    worker = draw.choice(site.workers)
    worker.crash()
    return f"crashed {worker.worker_id}"


def cut_worker(site: sites.Site, draw: random.Random) -> str:
    """Cuts a worker off; it runs on until its leases end."""
    worker = draw.choice(site.workers)
    worker.cut = True
    time.sleep(draw.choice(PAUSES_SECONDS))
    worker.cut = False
    return f"cut {worker.worker_id}"


ACTS: tuple[Act, ...] = (
    kill_node,
    stop_node,
    pause_node,
    harm_link,
    store_down,
    lose_answers,
    delay_writes,
    drop_history,
    crash_worker,
    cut_worker,
)
