"""Faults around workers and their orders, chosen by a seeded generator."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import random
import signal
import threading
import time

from soak import site as sites
from standins import order_faults
from standins import row_store
from standins import timed_worker
from wisteriasill.machines import batch_tables
from wisteriasill.machines import fleet_rows

PAUSES_SECONDS = (1.0, 2.0, 4.0)
COMMIT_WAIT_SECONDS = 2.0
DOWN_SECONDS = (0.3, 3.0)
PAUSED_SECONDS = (1.0, 6.0)
# Names of the fields of a registry entry that may be missing.
ENTRY_FIELDS = ("service", "address", "zone", "state", "capacity", "born")


def restart_worker(site: sites.Site, rng: random.Random) -> str:
    """Crashes a worker, which is down for some time."""
    worker = rng.choice(site.workers)
    seconds = rng.uniform(*DOWN_SECONDS)
    with site.worker_disturbances[worker.worker_id]:
        worker.crash(seconds)
    return f"crashed {worker.worker_id} for {seconds:.1f} s"


def restart_rack(site: sites.Site, rng: random.Random) -> str:
    """Crashes a third of the workers, each of which is down for some time."""
    count = max(2, len(site.workers) // 3)
    downtime_by_worker = {
        worker: rng.uniform(*DOWN_SECONDS)
        for worker in rng.sample(site.workers, min(count, len(site.workers)))
    }
    _crash(site, downtime_by_worker)
    names = ", ".join(worker.worker_id for worker in downtime_by_worker)
    return f"crashed {names}"


def _crash(
    site: sites.Site, downtime_by_worker: dict[timed_worker.TimedWorker, float]
) -> None:
    with contextlib.ExitStack() as stack:
        for worker in downtime_by_worker:
            stack.enter_context(site.worker_disturbances[worker.worker_id])
        threads = [
            threading.Thread(target=worker.crash, args=(seconds,))
            for worker, seconds in downtime_by_worker.items()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


def change_holders_at_crash(site: sites.Site, rng: random.Random) -> str:
    """Replaces a holder while a restarted worker is listed as down.

    The list of down workers stays as it is, because the holder of the fleet is
    paused or can't read the hosts. When the next incarnation of a listed worker
    has a run, the holder of the pool stops or is killed.
    """
    worker = rng.choice(site.workers)
    downtime_seconds = rng.uniform(0.6, 1.2)
    pauses_fleet = rng.random() < 0.5
    how = rng.choice([signal.SIGTERM, signal.SIGKILL])
    stale_seconds = rng.uniform(0.5, 2.5)
    crash = threading.Thread(
        target=_crash, args=(site, {worker: downtime_seconds})
    )
    listed = threading.Event()

    def observe(node: str, commit: row_store.Commit) -> None:
        for write in commit.writes:
            if (
                (write.table, write.key)
                == (fleet_rows.TABLE, fleet_rows.DOWN_KEY)
                and write.value
                and any(
                    down.worker_id == worker.worker_id
                    for down in fleet_rows.decode_down(write.value).values()
                )
            ):
                listed.set()

    site.holders.observe(observe)
    try:
        crash.start()
        was_listed = listed.wait(COMMIT_WAIT_SECONDS)
    finally:
        site.holders.forget(observe)
    with contextlib.ExitStack() as stack:
        fleet_node = site.node(site.holders.holder(fleet_rows.SHARD))
        if pauses_fleet and fleet_node:
            stack.enter_context(_paused(fleet_node))
        else:
            stack.enter_context(_unlisted(site))
        crash.join()
        has_run = _wait_for_start(site, worker, time.monotonic())
        pool_node = site.node(site.holders.holder(sites.SERVICE))
        if pool_node is not None:
            _restart(pool_node, how)
        time.sleep(stale_seconds)
    return (
        f"crashed {worker.worker_id} (listed as down: {was_listed}, next "
        f"incarnation has a run: {has_run}), "
        + ("paused the holder of the fleet" if pauses_fleet else "hid hosts")
        + f", replaced {pool_node.name if pool_node else 'no holder'}"
    )


@contextlib.contextmanager
def _paused(node: sites.Node) -> Iterator[None]:
    # Another series may have taken the node; two such faults must not wait for
    # each other.
    if not node.lock.acquire(timeout=COMMIT_WAIT_SECONDS):
        yield
        return
    try:
        with node.disturbance:
            node.send(signal.SIGSTOP)
            yield
            node.send(signal.SIGCONT)
    finally:
        node.lock.release()


@contextlib.contextmanager
def _unlisted(site: sites.Site) -> Iterator[None]:
    site.host_list.down = True
    yield
    site.host_list.down = False


def _wait_for_start(
    site: sites.Site, worker: timed_worker.TimedWorker, since: float
) -> bool:
    deadline = since + COMMIT_WAIT_SECONDS
    while time.monotonic() < deadline:
        with site.log.lock:
            if any(
                run_event.event == "start"
                and run_event.at >= since
                and run_event.worker_id == worker.worker_id
                for run_event in reversed(site.log.run_events)
            ):
                return True
        time.sleep(timed_worker.POLL_SECONDS)
    return False


def _restart(node: sites.Node, how: signal.Signals) -> None:
    if not node.lock.acquire(timeout=COMMIT_WAIT_SECONDS):
        return  # As in `_paused`.
    try:
        with node.restarts:
            node.stop(how)
            node.start()
    finally:
        node.lock.release()


def restart_nodes_in_turn(site: sites.Site, rng: random.Random) -> str:
    """Stops all nodes gracefully, one soon after the other."""
    pause_seconds = rng.uniform(0.2, 1.5)
    for node in rng.sample(site.nodes, len(site.nodes)):
        _restart(node, signal.SIGTERM)
        time.sleep(pause_seconds)
    return "restarted all nodes in turn"


def pause_after_commit(site: sites.Site, rng: random.Random) -> str:
    """Pauses the holder of the pool right after it has stored progress.

    It is paused before it receives the response, or shortly after.
    """
    delay_seconds = rng.choice([0.0, 0.0, 0.005, 0.02])
    paused_seconds = rng.uniform(*PAUSED_SECONDS)
    node = site.node(site.holders.holder(sites.SERVICE))
    if node is None:
        return "no holder to pause"
    paused, given_up = threading.Event(), threading.Event()
    guard = threading.Lock()
    progress_table = batch_tables.progress_table(sites.SERVICE)

    def observe(name: str, commit: row_store.Commit) -> None:
        if name != node.name or not any(
            write.table == progress_table for write in commit.writes
        ):
            return
        with guard:
            if paused.is_set() or given_up.is_set():
                return
            if not delay_seconds:
                node.send(signal.SIGSTOP)
            paused.set()

    with node.lock, node.disturbance:
        site.holders.observe(observe)
        try:
            paused.wait(COMMIT_WAIT_SECONDS)
        finally:
            site.holders.forget(observe)
            with guard:
                given_up.set()
        if paused.is_set():
            time.sleep(delay_seconds)
            node.send(signal.SIGSTOP)
            time.sleep(paused_seconds)
        node.send(signal.SIGCONT)
    return f"paused {node.name} after a commit for {paused_seconds:.1f} s"


def delay_orders(site: sites.Site, rng: random.Random) -> str:
    """Leaves a share of the calls unanswered and executes them later."""
    share = rng.uniform(0.3, 0.5)
    return _disturb_orders(
        site, rng, order_faults.OrderFaults(late_share=share), "delayed orders"
    )


def refuse_orders(site: sites.Site, rng: random.Random) -> str:
    """Refuses a share of the calls, also stops."""
    share = rng.uniform(0.3, 0.8)
    return _disturb_orders(
        site,
        rng,
        order_faults.OrderFaults(refused_share=share),
        "refused orders",
    )


def cut_from_node(site: sites.Site, rng: random.Random) -> str:
    """Cuts some workers from the holder of their pool or another node."""
    holder = site.holders.holder(sites.SERVICE)
    name = rng.choice([holder, rng.choice(site.nodes).name])
    return _disturb_orders(
        site,
        rng,
        order_faults.OrderFaults(cut_nodes=(name,)),
        f"cut from {name}",
    )


def _disturb_orders(
    site: sites.Site,
    rng: random.Random,
    faults: order_faults.OrderFaults,
    description: str,
) -> str:
    count = max(1, round(len(site.services) * rng.choice([0.2, 0.5, 1.0])))
    services = rng.sample(site.services, count)
    pause_seconds = rng.choice(PAUSES_SECONDS)
    with contextlib.ExitStack() as stack:
        for service in services:
            stack.enter_context(
                site.worker_disturbances[service.service.worker.worker_id]
            )
            service.faults = faults
        time.sleep(pause_seconds)
        for service in services:
            service.faults = order_faults.NO_FAULTS
    return f"{description} at {count} workers for {pause_seconds} s"


def spoil_entries(site: sites.Site, rng: random.Random) -> str:
    """Leaves out fields of registry entries, or makes them unreadable."""
    services = [
        faulty.service
        for faulty in rng.sample(site.services, max(1, len(site.services) // 3))
    ]
    fields = tuple(rng.sample(ENTRY_FIELDS, rng.randint(1, 3)))
    malformed = rng.random() < 0.2
    with contextlib.ExitStack() as stack:
        for service in services:
            stack.enter_context(
                site.worker_disturbances[service.worker.worker_id]
            )
            service.omitted_fields = fields
            service.entry_malformed = malformed
        time.sleep(rng.choice(PAUSES_SECONDS[:2]))
        for service in services:
            service.omitted_fields = ()
            service.entry_malformed = False
    return f"entries without {'any field' if malformed else fields}"


def disturb_host_list(site: sites.Site, rng: random.Random) -> str:
    """Makes the list of hosts slow or unavailable."""
    pause_seconds = rng.choice(PAUSES_SECONDS)
    if rng.random() < 0.5:
        site.host_list.down = True
    else:
        site.host_list.delay_seconds = rng.uniform(0.2, 1.5)
    time.sleep(pause_seconds)
    site.host_list.down = False
    site.host_list.delay_seconds = 0.0
    return f"host list disturbed for {pause_seconds} s"


FAULTS = (
    restart_worker,
    restart_worker,
    restart_rack,
    change_holders_at_crash,
    change_holders_at_crash,
    restart_nodes_in_turn,
    pause_after_commit,
    delay_orders,
    delay_orders,
    refuse_orders,
    cut_from_node,
    spoil_entries,
    disturb_host_list,
)
# Changes of holders beside crashes and late orders, without other faults of
# nodes or of the store.
TAKEOVER_FAULTS = (
    change_holders_at_crash,
    change_holders_at_crash,
    restart_worker,
    restart_rack,
    restart_nodes_in_turn,
    pause_after_commit,
    delay_orders,
)
# The same beside orders that workers refuse or don't get.
CANCELLATION_FAULTS = (
    *TAKEOVER_FAULTS,
    restart_nodes_in_turn,
    refuse_orders,
    cut_from_node,
)
