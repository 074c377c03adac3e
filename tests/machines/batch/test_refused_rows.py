"""Tests of jobs whose progress the store refuses."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
import threading

import pytest
from returns import result

from standins import batch_worker
from standins import row_store
from tests import waiting
from tests.machines import batch_site
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_tables

REFUSED, ACCEPTED = "j1", "j2"
TABLE = batch_tables.progress_table(batch_site.SERVICE)


class RefusingStore(row_store.MemoryRowStore):
    """A store that refuses the progress of a job while the job runs."""

    def transact(
        self,
        partition_key: str,
        required: Sequence[cluster.RowVersion],
        writes: Sequence[cluster.RowWrite],
        timeout_seconds: float,
    ) -> result.Result[int, cluster.StoreFault]:
        """Refuses a transaction with such a row."""
        if any(
            (write.table, write.key) == (TABLE, REFUSED)
            and write.value is not None
            and batch_job.decode_state(write.value)
            not in batch_job.FINAL_STATES
            for write in writes
        ):
            return result.Failure(row_store.INVALID)
        return super().transact(
            partition_key, required, writes, timeout_seconds
        )

    def state_of(self, job_id: str) -> batch_job.JobState | None:
        """Returns the stored state of a job."""
        rows = self.read(TABLE, batch_site.SERVICE, job_id, job_id + "\0")
        return next(
            (
                batch_job.decode_state(row.value)
                for row in rows.unwrap().rows
                if row.value
            ),
            None,
        )


@pytest.fixture
def store() -> RefusingStore:
    return RefusingStore()


@pytest.fixture
def controller(
    store: RefusingStore, link: batch_worker.MemoryWorker
) -> Iterator[batch_controller.BatchController]:
    stopping = threading.Event()
    holder = batch_site.new_holder(store, link, stopping)
    assert holder.open()
    yield holder
    stopping.set()
    holder.close(release=True)
    for worker in holder.pool.worker_by_id.values():
        worker.close()


def test_a_job_that_can_not_be_stored_fails_alone(
    store: RefusingStore,
    link: batch_worker.MemoryWorker,
    controller: batch_controller.BatchController,
) -> None:
    """Its pool stored nothing any more and started no other job."""
    for job_id in (REFUSED, ACCEPTED):
        controller.pool.on_record(
            batch_site.job_row(job_id, [batch_site.step(2)])
        )
    assert waiting.wait_until(
        lambda: {task.job_id for task in link.running} == {ACCEPTED}, 5.0
    )
    assert waiting.wait_until(
        lambda: store.state_of(REFUSED) is batch_job.JobState.FAILED, 5.0
    )
    assert not [start for start in link.starts if start[0].job_id == REFUSED]
    assert store.state_of(ACCEPTED) is batch_job.JobState.RUNNING
    progress = store.read(TABLE, batch_site.SERVICE).unwrap().rows
    records = [
        batch_site.job_row(job_id, [batch_site.step(2)])
        for job_id in (REFUSED, ACCEPTED)
    ]
    successor = batch_site.SteppedPool(9, records, progress)
    assert [*successor.pool.job_by_id] == [ACCEPTED]
