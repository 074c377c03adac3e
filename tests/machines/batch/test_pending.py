"""Tests of the number of jobs that wait for their first task."""

from __future__ import annotations

from collections.abc import Callable

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.links import cluster
from wisteriasill.machines import worker as workers

QUEUE_NAME = batch_site.QUEUE.name


def test_a_job_whose_starts_are_lost_waits_still(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """Jobs counted as begun once their tasks were assigned to workers."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    link.unreachable = True
    site.run_round()
    assert worker.send_once()
    assert site.pool.pending_by_queue() == {QUEUE_NAME: 1}


def test_a_job_has_begun_once_a_worker_confirms_a_start(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    assert site.pool.pending_by_queue() == {QUEUE_NAME: 1}
    site.run_round()
    site.deliver(worker)
    assert not site.pool.pending_by_queue()


def test_a_new_holder_knows_which_jobs_have_begun(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    worker = started(batch_site.step(2, cpu=9_000))
    (task,) = link.running
    link.finish(task, cluster.RunEndKind.DONE)
    site.poll(worker)
    site.run_round()
    new_holder = batch_site.SteppedPool(
        2,
        [batch_site.job_row("j1", [batch_site.step(2, cpu=9_000)])],
        site.progress_rows(),
    )
    assert not new_holder.pool.pending_by_queue()
