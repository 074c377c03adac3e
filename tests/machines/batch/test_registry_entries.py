"""Tests of registry entries that are older than what a pool knows."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time
from typing import cast

import pytest

from standins import batch_worker
from standins import row_store
from tests.machines import batch_site
from wisteriasill import metrics
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_watch
from wisteriasill.machines import site_links
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
STEP = batch_site.step(1, lasting=True)
STARTED_MS = 50

Started = Callable[..., workers.Worker]


@pytest.fixture
def link() -> batch_worker.MemoryWorker:
    return batch_worker.MemoryWorker(batch_site.ROOM, started_ms=STARTED_MS)


def apply_page(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    page: cluster.RegistryPage,
) -> None:
    """Has a pool take over a page of the registry."""
    links = site_links.SiteLinks(
        store=row_store.MemoryRowStore(),
        registry=cast(cluster.WorkerRegistry, None),
        operators=cast(cluster.OperatorOrders, None),
        hosts=cast(cluster.HostControl, None),
        advice=None,
        open_worker=lambda entry: link,
        metrics=metrics.Metrics(),
    )
    batch_watch.PoolWatcher(
        links, site.pool, threading.Event(), threading.Event()
    ).apply_entries(page)


def changes(*entries: cluster.WorkerEntry) -> cluster.RegistryPage:
    return cluster.RegistryPage(entries, (), False, 100)


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"started_ms": 40, "version": 1}, id="older page"),
        pytest.param({"started_ms": 60, "version": 1}, id="clock went back"),
        pytest.param({"started_ms": 40, "version": 30}, id="written late"),
        pytest.param({"address": "10.9.9.9:1", "version": 30}, id="address"),
    ],
)
def test_an_entry_that_may_be_outdated_ends_no_run(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Started,
    fields: dict[str, int],
) -> None:
    """Its runs were started elsewhere while they were at work."""
    worker = started(STEP)
    known = worker.entry._replace(version=20)
    worker.update_entry(known)
    apply_page(site, link, changes(known._replace(**fields)))  # type: ignore[arg-type]
    assert site.pool.worker_by_id["w1"] is worker
    assert TASK in worker.run_by_task
    apply_page(site, link, changes(known._replace(version=40)))
    assert worker.listed


def test_an_invalid_entry_ends_no_run(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Started,
) -> None:
    worker = started(STEP)
    apply_page(site, link, cluster.RegistryPage((), ("w1",), False, 100))
    site.run_round()
    assert TASK in worker.run_by_task
    assert not worker.listed


def test_an_entry_of_a_later_incarnation_ends_the_runs(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Started,
) -> None:
    worker = started(STEP)
    link.unreachable = True
    entry = worker.entry._replace(started_ms=STARTED_MS + 1, version=30)
    apply_page(site, link, changes(entry))
    assert worker.is_removed
    assert not worker.run_by_task
    site.pool.worker_by_id["w1"].close()


def test_a_new_holder_keeps_runs_of_a_later_incarnation(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Started,
) -> None:
    """The store may carry out a former incarnation's heartbeat late."""
    started(STEP)
    successor = batch_site.SteppedPool(
        2, [batch_site.job_row("j1", [STEP])], site.progress_rows()
    )
    former_link = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=40)
    former = successor.add_worker("w1", former_link)
    other = successor.add_worker("w2", other_link)
    former.link = link  # The id and the address are those of the later one.
    for polled in (former, other):
        successor.poll(polled)
    assert former.is_removed
    worker = successor.add_worker("w1", link)
    successor.poll(worker)
    successor.run_round(time.monotonic() + 1)
    successor.deliver(other)
    assert not other_link.starts
    assert TASK in worker.run_by_task
