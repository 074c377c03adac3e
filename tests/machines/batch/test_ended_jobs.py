"""Tests of what happens to a job after it has its final state."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import crash_evidence
from wisteriasill.machines import batch_job
from wisteriasill.machines import worker as workers

STEP = batch_site.step(1)


@pytest.fixture
def successor(
    site: batch_site.SteppedPool, started: Callable[..., workers.Worker]
) -> batch_site.SteppedPool:
    """A new holder of a job that was cancelled while nobody held the pool.

    One more crash convicts the job's task, whose run is on a worker that the
    new holder has not seen.
    """
    started(STEP)
    unit = next(iter(site.pool.job_by_id["j1"].unit_by_key.values()))
    unit.crash_record = crash_evidence.CrashRecord(
        crash_evidence.MAX_CRASHES - 1, 0
    )
    site.pool.dirty_job_by_id["j1"] = unit.job
    site.run_round()
    new_holder = batch_site.SteppedPool(
        2,
        [batch_site.job_row("j1", [STEP], cancelled=True)],
        site.progress_rows(),
    )
    new_holder.run_round()
    return new_holder


def add_next_incarnation(pool: batch_site.SteppedPool) -> None:
    pool.add_worker("w1", batch_worker.MemoryWorker(batch_site.ROOM, 2))


def report_host_down(pool: batch_site.SteppedPool) -> None:
    pool.pool.set_down_workers({"w1": 10})


def end_former_leases(pool: batch_site.SteppedPool) -> None:
    pool.pool.end_expired_runs(pool.pool.former_leases_end_at + 1)


@pytest.mark.parametrize(
    "lose_worker",
    [add_next_incarnation, report_host_down, end_former_leases],
)
def test_a_crash_under_a_run_of_a_cancelled_job_changes_nothing(
    successor: batch_site.SteppedPool,
    lose_worker: Callable[[batch_site.SteppedPool], None],
) -> None:
    """A cancelled job was shown as failed, and its row was written again."""
    state = batch_job.decode_state(successor.progress_by_id.pop("j1"))
    assert state is batch_job.JobState.CANCELLED
    records = len(successor.pool.ended_records)
    lose_worker(successor)
    successor.run_round()
    rewritten = successor.progress_by_id.values()
    assert [batch_job.decode_state(value) for value in rewritten] == []
    assert len(successor.pool.ended_records) == records
