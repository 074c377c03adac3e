"""Tests of when a worker may forget its run ends."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import threading
import time

import pytest

from standins import batch_worker
from standins import row_store
from tests import waiting
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_tables

TASK = job_spec.TaskKey("j1", 0, 0, 0)
# The platform judges ends that are not acknowledged 4 s after it is calm
# (`ack_ms`). A holder that stops sooner hands them on to the next one.
ACK_SECONDS = 4.0


class ClosingWorker(batch_worker.MemoryWorker):
    """A worker that closes connections on which it has waited for a call.

    Nothing is acknowledged on a new connection before its first report.
    """

    idle_seconds = 0.3
    last_call_at = 0.0

    def poll(
        self,
        fencing_epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float = 1.0,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Reports runs and ends."""
        now = time.monotonic()
        is_closed = now - self.last_call_at > self.idle_seconds
        report = super().poll(
            fencing_epoch,
            0 if is_closed else acknowledged,
            lease_until_ms,
            wait_seconds,
        )
        self.last_call_at = time.monotonic()
        if wait_seconds and not self.listed_ends:
            time.sleep(min(wait_seconds, 0.05))
        return report

    @property
    def listed_ends(self) -> int:
        """Number of ends that it has to report still."""
        return len(self._ends)


@pytest.fixture
def closing_link() -> ClosingWorker:
    return ClosingWorker(batch_site.ROOM)


@pytest.fixture
def open_holder(
    closing_link: ClosingWorker,
) -> Iterator[Callable[[row_store.MemoryRowStore], None]]:
    """Opens holders with their threads."""
    holders: list[batch_controller.BatchController] = []

    def open_holder(store: row_store.MemoryRowStore) -> None:
        holder = batch_site.new_holder(store, closing_link, threading.Event())
        assert holder.open()
        holders.append(holder)

    yield open_holder
    for holder in holders:
        holder.close(release=True)


def store_job(store: row_store.MemoryRowStore) -> None:
    row = batch_site.job_row("j1", [batch_site.step(1)])
    assert row.value is not None
    store.transact(
        batch_tables.jobs_partition(batch_site.SERVICE, "j1"),
        [],
        [cluster.RowWrite(row.table, "j1", row.value)],
        1.0,
    )


@pytest.mark.parametrize("kind", ["done", "failed"])
def test_the_last_end_of_an_idle_worker_is_acknowledged(
    open_holder: Callable[[row_store.MemoryRowStore], None],
    closing_link: ClosingWorker,
    kind: str,
) -> None:
    """Guards against ends that stay with their worker for good.

    The worker was polled again after 20 s. Its connection was closed by then,
    so nothing was acknowledged, and each later holder got the end again.
    """
    store = row_store.MemoryRowStore()
    store_job(store)
    open_holder(store)
    assert waiting.wait_until(lambda: TASK in closing_link.running, 5.0)
    for _ in range(batch_site.QUEUE.max_attempts if kind == "failed" else 1):
        assert waiting.wait_until(lambda: TASK in closing_link.running, 5.0)
        closing_link.finish(TASK, cluster.RunEndKind(kind))
    assert waiting.wait_until(lambda: not closing_link.listed_ends, ACK_SECONDS)


def test_a_worker_that_keeps_its_ends_is_not_polled_without_a_pause(
    open_holder: Callable[[row_store.MemoryRowStore], None],
    closing_link: ClosingWorker,
) -> None:
    """Guards against a thread that spins while nothing is acknowledged."""
    store = row_store.MemoryRowStore()
    store_job(store)
    open_holder(store)
    assert waiting.wait_until(lambda: TASK in closing_link.running, 5.0)
    closing_link.idle_seconds = -1.0
    closing_link.finish(TASK)
    polls: list[float] = []
    poll = closing_link.poll

    def count_polls(
        *args: object, **options: object
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        polls.append(time.monotonic())
        return poll(*args, **options)  # type: ignore[arg-type]

    closing_link.poll = count_polls  # type: ignore[method-assign]
    time.sleep(1.5)
    assert len(polls) < 12
