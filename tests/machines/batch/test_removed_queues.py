"""Tests of accepted jobs whose queue is in no configuration any more."""

from __future__ import annotations

import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job

TASK = job_spec.TaskKey("j1", 0, 0, 0)
REMOVED = batch_site.QUEUE._replace(name="r-removed", prefix="/removed/")


@pytest.mark.parametrize(
    ("failures", "state"),
    [(2, batch_job.JobState.RUNNING), (3, batch_job.JobState.FAILED)],
)
def test_a_job_of_a_removed_queue_fails_after_its_attempts(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    failures: int,
    state: batch_job.JobState,
) -> None:
    """A new holder does not know the queue and must not retry without end.

    In `review/4` a task of such a job started about ten times a minute.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(
        batch_site.job_row("j1", [batch_site.step(1)], queue=REMOVED)
    )
    for number in range(failures):
        site.run_round(time.monotonic() + 10 * number)
        site.deliver(worker)
        link.finish(TASK, cluster.RunEndKind.FAILED)
        site.poll(worker)
    site.run_round(time.monotonic() + 10 * failures)
    assert batch_job.decode_state(site.progress_by_id["j1"]) is state


def test_a_job_of_the_release_before_fails_after_the_attempts_of_its_queue(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """Rows of the release before do not store their attempts."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(
        batch_site.job_row(
            "j1",
            [batch_site.step(1)],
            queue=batch_site.QUEUE._replace(max_attempts=0),
        )
    )
    for number in range(batch_site.QUEUE.max_attempts):
        site.run_round(time.monotonic() + 10 * number)
        site.deliver(worker)
        link.finish(TASK, cluster.RunEndKind.FAILED)
        site.poll(worker)
    site.run_round(time.monotonic() + 100)
    assert (
        batch_job.decode_state(site.progress_by_id["j1"])
        is batch_job.JobState.FAILED
    )


def test_jobs_of_a_removed_queue_keep_its_priority(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """They went before all others at a new holder."""
    site.pool.add_former_queues({REMOVED.name: REMOVED._replace(priority=2)})
    worker = site.add_worker("w1", link)
    site.poll(worker)
    whole = batch_site.step(1, cpu=batch_site.ROOM.cpu)
    site.pool.on_record(batch_site.job_row("j1", [whole], queue=REMOVED))
    site.pool.on_record(batch_site.job_row("j2", [whole]))
    (run,) = site.run_round()
    assert run.task.job_id == "j2"
