"""Tests of planning rounds that fail before their changes are stored."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

import pytest

from standins import batch_worker
from standins import row_store
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_tables
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
STEP = batch_site.step(1)


class FaultyStore(row_store.MemoryRowStore):
    """A store of which the next transaction raises an error.

    Attributes:
        fails: Whether it does.
        stores_first: Whether the transaction is stored before that.
    """

    fails = False
    stores_first = False

    def transact(
        self,
        partition_key: str,
        conditions: Sequence[cluster.RowVersion],
        writes: Sequence[cluster.RowWrite],
        timeout_seconds: float,
    ) -> Any:
        """Stores rows, or raises an error."""
        fails, self.fails = self.fails, False
        if fails and not self.stores_first:
            raise RuntimeError("injected")
        written = super().transact(
            partition_key, conditions, writes, timeout_seconds
        )
        if fails:
            raise RuntimeError("injected")
        return written


@pytest.fixture
def store() -> FaultyStore:
    return FaultyStore()


@pytest.fixture
def controller(
    store: FaultyStore, link: batch_worker.MemoryWorker
) -> Iterator[batch_controller.BatchController]:
    """The holder of a pool; the test runs its rounds."""
    holder = batch_site.new_holder(store, link)
    yield holder
    holder.close(release=True)


@pytest.fixture
def worker(
    controller: batch_controller.BatchController,
    link: batch_worker.MemoryWorker,
) -> workers.Worker:
    """A worker of the pool that has reported, without threads."""
    added = batch_site.join_worker(controller, link)
    controller.pool.on_record(batch_site.job_row("j1", [STEP]))
    return added


def run_failed_round(
    controller: batch_controller.BatchController, store: FaultyStore
) -> None:
    store.fails = True
    with pytest.raises(RuntimeError):
        controller.run_round()


def deliver(worker: workers.Worker) -> None:
    while worker.send_once():
        pass


def stored_state(store: FaultyStore) -> batch_job.JobState:
    table = batch_tables.progress_table(batch_site.SERVICE)
    rows = store.read(table, batch_site.SERVICE).unwrap().rows
    value = next(row.value for row in rows if row.key == "j1")
    assert value is not None
    return batch_job.decode_state(value)


def test_a_run_planned_by_a_failed_round_is_started(
    controller: batch_controller.BatchController,
    store: FaultyStore,
    worker: workers.Worker,
    link: batch_worker.MemoryWorker,
) -> None:
    """It stayed planned, and its task never ran."""
    run_failed_round(controller, store)
    deliver(worker)
    assert not link.running
    controller.run_round()
    deliver(worker)
    assert link.running == {TASK: 1}


def test_an_end_that_a_failed_round_did_not_store_is_not_acknowledged(
    controller: batch_controller.BatchController,
    store: FaultyStore,
    worker: workers.Worker,
    link: batch_worker.MemoryWorker,
) -> None:
    """Its worker forgot it, and the next holder ran the done task again."""
    controller.run_round()
    deliver(worker)
    worker.poll_once()
    link.finish(TASK)
    worker.poll_once()
    run_failed_round(controller, store)
    assert worker.last_stored_end == 0
    controller.run_round()
    assert stored_state(store) is batch_job.JobState.COMPLETED
    assert worker.last_stored_end == 1


def test_a_cancellation_in_a_failed_round_is_stored_later(
    controller: batch_controller.BatchController,
    store: FaultyStore,
    worker: workers.Worker,
) -> None:
    """The job was shown as running for good."""
    controller.run_round()
    deliver(worker)
    row = batch_site.job_row("j1", [STEP], cancelled=True, version=2)
    controller.pool.on_record(row)
    run_failed_round(controller, store)
    controller.run_round()
    assert stored_state(store) is batch_job.JobState.CANCELLED


def test_a_failed_round_that_was_stored_starts_its_run_once(
    controller: batch_controller.BatchController,
    store: FaultyStore,
    worker: workers.Worker,
    link: batch_worker.MemoryWorker,
) -> None:
    store.stores_first = True
    run_failed_round(controller, store)
    controller.run_round()
    deliver(worker)
    deliver(worker)
    assert link.starts == [(TASK, 1, controller.pool.fencing_epoch)]
