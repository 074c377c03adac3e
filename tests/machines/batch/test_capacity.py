"""Tests of workers whose capacity changes while they run."""

from __future__ import annotations

from collections.abc import Iterator
import threading
import time
from typing import cast

import pytest
from returns import result

from standins import batch_worker
from standins import row_store
from tests import waiting
from tests.machines import batch_site
from wisteriasill import metrics
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_watch
from wisteriasill.machines import site_links

SMALL_ROOM = job_spec.Resources(2000, 64_000, 0)


class OneWorkerRegistry:
    """Implements `cluster.WorkerRegistry` with one worker.

    Attributes:
        room: The worker's capacity, as it reports it.
    """

    def __init__(self) -> None:
        self.room = batch_site.ROOM
        self._version = 1

    def read(self) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Reads the worker's entry."""
        return self._page(whole=True)

    def watch(
        self, after: int, wait_seconds: float
    ) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Reads the worker's next heartbeat."""
        time.sleep(0.01)
        return self._page(whole=False)

    def _page(
        self, whole: bool
    ) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        self._version += 1
        entry = cluster.WorkerEntry(
            "w1",
            1,
            batch_site.SERVICE,
            "10.0.0.1:1",
            "zone",
            cluster.WorkerState.READY,
            self.room,
            ("a", "r1"),
        )
        return result.Success(
            cluster.RegistryPage((entry,), (), whole, self._version)
        )


@pytest.fixture
def registry() -> OneWorkerRegistry:
    return OneWorkerRegistry()


@pytest.fixture
def watched(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    registry: OneWorkerRegistry,
) -> Iterator[batch_site.SteppedPool]:
    """A pool that follows the registry; its worker has joined."""
    closing = threading.Event()
    watcher = batch_watch.PoolWatcher(
        site_links.SiteLinks(
            store=row_store.MemoryRowStore(),
            registry=registry,
            operators=cast(cluster.OperatorOrders, None),
            hosts=cast(cluster.HostControl, None),
            advice=None,
            open_worker=lambda entry: link,
            metrics=metrics.Metrics(),
        ),
        site.pool,
        threading.Event(),
        closing,
    )
    watcher.open(0)
    pool = site.pool
    assert waiting.wait_until(
        lambda: (
            "w1" in pool.worker_by_id and pool.worker_by_id["w1"].is_reachable
        )
    )
    yield site
    closing.set()
    pool.worker_by_id["w1"].close()


def test_starts_fit_into_a_capacity_that_has_shrunk(
    watched: batch_site.SteppedPool, registry: OneWorkerRegistry
) -> None:
    """Starts counted on the capacity that a worker had when it joined."""
    worker = watched.pool.worker_by_id["w1"]
    registry.room = SMALL_ROOM
    assert waiting.wait_until(lambda: worker.entry.room == SMALL_ROOM)
    watched.pool.on_record(batch_site.job_row("j1", [batch_site.step(5)]))
    assert len(watched.run_round()) == 2
    assert not watched.run_round()
    registry.room = batch_site.ROOM
    assert waiting.wait_until(lambda: worker.entry.room == batch_site.ROOM)
    assert len(watched.run_round()) == 3


def test_a_capacity_below_what_runs_admits_no_start(
    watched: batch_site.SteppedPool, registry: OneWorkerRegistry
) -> None:
    worker = watched.pool.worker_by_id["w1"]
    watched.pool.on_record(batch_site.job_row("j1", [batch_site.step(4)]))
    assert len(watched.run_round()) == 4
    registry.room = SMALL_ROOM
    assert waiting.wait_until(lambda: worker.entry.room == SMALL_ROOM)
    watched.pool.on_record(batch_site.job_row("j2", [batch_site.step(1)]))
    assert not watched.run_round()
    assert worker.free_cpu == SMALL_ROOM.cpu - 4000
