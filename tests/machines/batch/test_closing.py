"""Tests of a pool whose shard is being released."""

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
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import site_links
from wisteriasill.zones import shard_writer


class DelayedRegistry:
    """Implements `cluster.WorkerRegistry`; the test delays the first read."""

    def __init__(self) -> None:
        self.requested = threading.Event()
        self.delivered = threading.Event()

    def read(self) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Reads one worker, once the test lets it."""
        self.requested.set()
        self.delivered.wait(5.0)
        entry = cluster.WorkerEntry(
            "w1",
            1,
            batch_site.SERVICE,
            "10.0.0.1:1",
            "zone",
            cluster.WorkerState.READY,
            batch_site.ROOM,
            ("a", "r1"),
            1,
        )
        return result.Success(cluster.RegistryPage((entry,), (), True, 1))

    def watch(
        self, after: int, wait_seconds: float
    ) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Reads that nothing has changed."""
        time.sleep(0.01)
        return result.Success(cluster.RegistryPage((), (), False, after))


class PolledWorker(batch_worker.MemoryWorker):
    """A worker that counts its polls."""

    polls = 0

    def poll(
        self,
        fencing_epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float = 1.0,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Counts a poll."""
        self.polls += 1
        return super().poll(
            fencing_epoch, acknowledged, lease_until_ms, wait_seconds
        )


@pytest.fixture
def registry() -> DelayedRegistry:
    return DelayedRegistry()


@pytest.fixture
def polled() -> PolledWorker:
    return PolledWorker(batch_site.ROOM)


@pytest.fixture
def controller(
    registry: DelayedRegistry, polled: PolledWorker
) -> Iterator[batch_controller.BatchController]:
    """A controller of a pool with one registered worker."""
    store = row_store.MemoryRowStore()
    writer = shard_writer.ShardWriter(
        store, batch_site.SERVICE, "n1", threading.Event()
    )
    assert writer.claim(shard_writer.UNOWNED)
    opened = batch_controller.BatchController(
        site_links.SiteLinks(
            store=store,
            registry=registry,
            operators=cast(cluster.OperatorOrders, None),
            hosts=cast(cluster.HostControl, None),
            advice=None,
            open_worker=lambda entry: polled,
            metrics=metrics.Metrics(),
        ),
        writer,
        batch_site.CONFIGURATION,
    )
    assert opened.open()
    yield opened
    for worker in opened.pool.worker_by_id.values():
        worker.close()


def test_a_worker_that_is_listed_after_the_release_is_not_polled(
    registry: DelayedRegistry,
    polled: PolledWorker,
    controller: batch_controller.BatchController,
) -> None:
    """The next holder relies on no lease being renewed after the release.

    The worker was polled, and its lease renewed, until the last transaction
    was 6 s old.
    """
    assert registry.requested.wait(2.0)
    controller.close(release=True)
    registry.delivered.set()
    assert waiting.wait_until(lambda: "w1" in controller.pool.worker_by_id)
    time.sleep(0.3)
    assert polled.polls == 0
