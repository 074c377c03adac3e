"""Tests of the stored list of ended workers, which names no incarnations."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time
from typing import cast

import cbor2
import pytest

from standins import batch_worker
from standins import row_store
from tests.machines import batch_site
from wisteriasill import metrics
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_watch
from wisteriasill.machines import batch_workers
from wisteriasill.machines import fleet_rows
from wisteriasill.machines import site_links
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
LASTING = batch_site.step(1, lasting=True)
ROW = batch_site.job_row("j1", [LASTING])
# Store versions: the list of hosts was read before the worker registered
# again, and the run was stored after that.
LISTED_BEFORE, REGISTERED, RUN_STORED, LISTED_AFTER = 5, 20, 30, 40

ReadDown = Callable[[batch_site.SteppedPool, dict[str, str]], None]


@pytest.fixture
def read_down() -> ReadDown:
    """Returns a function by which a pool reads a row of ended workers."""

    def read(site: batch_site.SteppedPool, row: dict[str, str]) -> None:
        store = row_store.MemoryRowStore()
        write = cluster.RowWrite(
            fleet_rows.TABLE, fleet_rows.DOWN_KEY, cbor2.dumps(row)
        )
        store.transact(fleet_rows.SHARD, [], [write], 1.0).unwrap()
        links = site_links.SiteLinks(
            store=store,
            registry=cast(cluster.WorkerRegistry, None),
            operators=cast(cluster.OperatorOrders, None),
            hosts=cast(cluster.HostControl, None),
            advice=None,
            open_worker=lambda entry: cast(cluster.WorkerLink, None),
            metrics=metrics.Metrics(),
        )
        batch_watch.PoolWatcher(
            links, site.pool, threading.Event(), threading.Event()
        ).read_drain_requests()

    return read


@pytest.fixture
def successor(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> batch_site.SteppedPool:
    """A pool whose former holder started a run on `w1`."""
    worker = site.add_worker("w1", link, version=REGISTERED)
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    site.deliver(worker)
    site.poll(worker)
    return batch_site.SteppedPool(2, [ROW], site.progress_rows(RUN_STORED))


def row_of(version: int, planned: bool) -> dict[str, str]:
    """Returns the row in which `w1` has ended."""
    host_id = "w1" if planned else "h1"
    return {host_id: "w1", host_id + "\0": str(version)}


def without_versions(progress: bytes) -> bytes:
    """Returns progress as the release before stores it."""
    state, opened_occurrences, units = cbor2.loads(progress)
    return cbor2.dumps(
        [state, opened_occurrences, [unit[:-2] for unit in units]]
    )


def starts_elsewhere(
    site: batch_site.SteppedPool, other_link: batch_worker.MemoryWorker
) -> list[tuple[job_spec.TaskKey, int]]:
    """Plans on an empty worker and returns what is started there."""
    other = site.add_worker("w2", other_link)
    site.poll(other)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    return [start[:2] for start in other_link.starts]


@pytest.mark.parametrize("planned", [False, True])
def test_a_new_holder_keeps_runs_of_a_worker_that_is_back(
    successor: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    read_down: ReadDown,
    planned: bool,
) -> None:
    """The row may be seconds older than the worker's new incarnation.

    The new holder started a second run at once, beside the one at work.
    """
    read_down(successor, row_of(LISTED_BEFORE, planned))
    assert not starts_elsewhere(successor, other_link)
    worker = successor.add_worker("w1", link, version=RUN_STORED + 1)
    successor.poll(worker)
    assert not starts_elsewhere(successor, other_link)
    assert link.running == {TASK: 1}


@pytest.mark.parametrize("planned", [False, True])
def test_a_late_row_does_not_end_a_worker_that_is_back(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    read_down: ReadDown,
    planned: bool,
) -> None:
    """A slow store may show a crash after the worker has started again."""
    worker = site.add_worker("w1", link, version=REGISTERED)
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    site.deliver(worker)
    read_down(site, row_of(LISTED_BEFORE, planned))
    assert not starts_elsewhere(site, other_link)
    assert site.pool.worker_by_id["w1"] is worker
    read_down(site, row_of(LISTED_AFTER, planned))
    assert starts_elsewhere(site, other_link) == [(TASK, 2)]


@pytest.mark.parametrize("planned", [False, True])
def test_a_list_read_after_the_run_was_stored_ends_it_at_once(
    successor: batch_site.SteppedPool,
    other_link: batch_worker.MemoryWorker,
    read_down: ReadDown,
    planned: bool,
) -> None:
    read_down(successor, row_of(LISTED_AFTER, planned))
    assert starts_elsewhere(successor, other_link) == [(TASK, 2)]


@pytest.mark.parametrize("planned", [False, True])
def test_a_list_read_after_the_entry_was_written_ends_the_run_at_once(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    read_down: ReadDown,
    planned: bool,
) -> None:
    """The job's row may have been stored again after the crash.

    A row of the release before does not tell when the worker had registered.
    """
    started(LASTING)
    rows = [
        row._replace(value=without_versions(row.value or b""))
        for row in site.progress_rows(LISTED_AFTER + 1)
    ]
    successor = batch_site.SteppedPool(2, [ROW], rows)
    read_down(successor, row_of(LISTED_AFTER, planned))
    assert not starts_elsewhere(successor, other_link)
    link.unreachable = True
    successor.add_worker("w1", link, version=REGISTERED)
    assert "w1" not in successor.pool.worker_by_id
    assert starts_elsewhere(successor, other_link) == [(TASK, 2)]
    (unit,) = successor.pool.job_by_id["j1"].unit_by_key.values()
    # No holder watched the end, so it is no evidence even if it was a crash.
    assert unit.crash_record.crashes == 0


def test_a_row_without_a_version_leaves_the_end_to_the_lease(
    successor: batch_site.SteppedPool,
    other_link: batch_worker.MemoryWorker,
    read_down: ReadDown,
) -> None:
    """The release before stores no versions."""
    read_down(successor, {"h1": "w1"})
    assert not starts_elsewhere(successor, other_link)
    successor.pool.former_leases_end_at = time.monotonic()
    assert starts_elsewhere(successor, other_link) == [(TASK, 2)]


def test_a_worker_that_is_back_refuses_an_order_to_the_former_incarnation(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """It may be carried out late, beside the run that was started elsewhere.

    A worker without runs was polled 20 s later, and the second run went on.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    link.unreachable = True
    assert worker.send_once()
    site.pool.set_down_workers({"w1": LISTED_BEFORE})
    assert starts_elsewhere(site, other_link) == [(TASK, 2)]
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    back = site.add_worker("w1", restarted, version=REGISTERED)
    site.deliver(back)
    assert back._seconds_until_stop() is None
    late = cluster.StartOrder(TASK, 1, "", 99_999, 1)
    assert restarted.start(late).outcome is cluster.OrderOutcome.RUN_TOO_OLD
    assert TASK not in back.run_by_task


def test_a_worker_that_is_back_refuses_an_order_whose_lease_has_expired(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """The clock of the next incarnation does not show that it is too late."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    link.unreachable = True
    assert worker.send_once()
    expired_at = time.monotonic() + 2 * workers.LEASE_SECONDS
    site.pool.end_expired_runs(expired_at)
    assert TASK not in worker.run_by_task
    site.pool.remove_worker(
        worker, batch_workers.Removal("worker restarted", restarted=True)
    )
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    back = site.add_worker("w1", restarted, version=REGISTERED)
    site.deliver(back)
    late = cluster.StartOrder(TASK, 1, "", 99_999, 1)
    assert restarted.start(late).outcome is cluster.OrderOutcome.RUN_TOO_OLD


def test_an_outdated_registry_entry_unblocks_no_late_order(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """The registry may list the former incarnation again for a while."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    link.unreachable = True
    assert worker.send_once()
    site.pool.set_down_workers({"w1": LISTED_BEFORE})
    outdated = site.add_worker("w1", link, version=REGISTERED)
    site.deliver(outdated)
    site.pool.remove_worker(
        outdated,
        batch_workers.Removal(
            "registered with a new incarnation", restarted=True
        ),
    )
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    back = site.add_worker("w1", restarted, version=REGISTERED + 1)
    site.deliver(back)
    late = cluster.StartOrder(TASK, 1, "", 99_999, 1)
    assert restarted.start(late).outcome is cluster.OrderOutcome.RUN_TOO_OLD
