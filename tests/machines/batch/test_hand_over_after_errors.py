"""Tests of a holder that follows one whose planning round has failed."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
import threading
import time

import pytest
from returns import result

from standins import batch_worker
from standins import row_store
from tests import waiting
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_tables

TASK = job_spec.TaskKey("j1", 0, 0, 0)
STEP = batch_site.step(1)


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    return row_store.MemoryRowStore()


@pytest.fixture
def controller(
    store: row_store.MemoryRowStore, link: batch_worker.MemoryWorker
) -> Iterator[batch_controller.BatchController]:
    """The holder of a pool of one worker."""
    holder = batch_site.new_holder(store, link)
    assert holder.open()
    assert waiting.wait_until(lambda: "w1" in holder.pool.worker_by_id)
    yield holder
    holder.close(release=True)


@pytest.fixture
def fail_once(
    store: row_store.MemoryRowStore, monkeypatch: pytest.MonkeyPatch
) -> Callable[[], threading.Event]:
    """Returns a function that has the next write of progress end in an error.

    The event that it returns is set once that has happened.
    """
    table = batch_tables.progress_table(batch_site.SERVICE)
    transact = store.transact

    def fail() -> threading.Event:
        failed = threading.Event()

        def fail_first(
            partition_key: str,
            required: Sequence[cluster.RowVersion],
            writes: Sequence[cluster.RowWrite],
            timeout_seconds: float,
        ) -> result.Result[int, cluster.StoreFault]:
            if not failed.is_set() and any(
                write.table == table for write in writes
            ):
                failed.set()
                raise RuntimeError("unexpected")
            return transact(partition_key, required, writes, timeout_seconds)

        monkeypatch.setattr(store, "transact", fail_first)
        return failed

    return fail


def test_a_task_that_was_done_in_a_failed_round_is_not_run_again(
    controller: batch_controller.BatchController,
    store: row_store.MemoryRowStore,
    link: batch_worker.MemoryWorker,
    fail_once: Callable[[], threading.Event],
) -> None:
    """The next holder reads a run that no worker knows any more.

    Another run on the worker has it polled, which acknowledges the end.
    """
    for job_id in ("j1", "j2"):
        controller.pool.on_record(batch_site.job_row(job_id, [STEP]))
    assert waiting.wait_until(lambda: len(link.running) == 2, 5.0)
    failed = fail_once()
    link.finish(TASK)
    assert failed.wait(5.0)
    time.sleep(2.0)
    controller.close(release=True)
    table = batch_tables.progress_table(batch_site.SERVICE)
    page = store.read(table, batch_site.SERVICE).unwrap()
    successor = batch_site.SteppedPool(
        controller.pool.fencing_epoch + 1,
        [batch_site.job_row(job_id, [STEP]) for job_id in ("j1", "j2")],
        page.rows,
    )
    worker = successor.add_worker("w1", link)
    for _ in range(3):
        time.sleep(0.1)
        successor.poll(worker)
        successor.run_round(time.monotonic() + 1.0)
        successor.deliver(worker)
    assert [run for task, run, _ in link.starts if task == TASK] == [1]
