"""Tests of workers in quarantine."""

from __future__ import annotations

import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.links import cluster
from wisteriasill.machines import worker as workers


@pytest.fixture
def doubted(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> workers.Worker:
    """An empty worker on which runs of three jobs have failed."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    for number in range(3):
        site.pool.on_record(
            batch_site.job_row(f"failing-{number}", [batch_site.step()])
        )
    site.run_round()
    site.deliver(worker)
    for task in [*link.running]:
        link.finish(task, cluster.RunEndKind.FAILED)
    site.poll(worker)
    for number in range(3):
        cancel(site, f"failing-{number}")
    return worker


def cancel(site: batch_site.SteppedPool, job_id: str) -> None:
    """Cancels a job of one task."""
    site.pool.on_record(
        batch_site.job_row(job_id, [batch_site.step()], cancelled=True)
    )


def test_a_trial_that_never_started_is_repeated(
    site: batch_site.SteppedPool, doubted: workers.Worker
) -> None:
    """The worker got no task any more once its trial had been cancelled."""
    now = time.monotonic()
    for job_id in ("j1", "j2"):
        site.pool.on_record(batch_site.job_row(job_id, [batch_site.step()]))
        planned = site.run_round(now + 3)
        assert [run.task.job_id for run in planned] == [job_id]
        cancel(site, job_id)
        site.deliver(doubted)


def test_a_long_running_task_ends_its_trial_when_it_serves(
    site: batch_site.SteppedPool, doubted: workers.Worker
) -> None:
    """It never completes, so its worker stayed in quarantine for good."""
    now = time.monotonic()
    site.pool.on_record(
        batch_site.job_row("service", [batch_site.step(lasting=True)])
    )
    assert site.run_round(now + 3)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step()]))
    assert not site.run_round(now + 3)
    site.deliver(doubted)
    site.poll(doubted)
    planned = site.run_round(now + 3)
    assert [run.task.job_id for run in planned] == ["j1"]


def test_long_tasks_do_not_put_most_workers_in_quarantine(
    site: batch_site.SteppedPool,
) -> None:
    """A pool whose tasks are longer than usual ran one task on each worker.

    Run chain-stale at Mandacaru, seed 71: LOST at the end of the day.
    """
    links = [batch_worker.MemoryWorker(batch_site.ROOM) for _ in range(4)]
    for number, link in enumerate(links):
        worker = site.add_worker(f"w{number}", link)
        site.poll(worker)
        site.pool.on_record(
            batch_site.job_row(f"j{number}", [batch_site.step(2, 8_000)])
        )
    site.run_round()
    for number, worker in enumerate(site.pool.worker_by_id.values()):
        site.deliver(worker)
        done = next(task for task in links[number].running if not task.position)
        links[number].finish(done)
        site.poll(worker)
    site.run_round(time.monotonic() + 3)
    stopped = [
        run.stopping
        for worker in site.pool.worker_by_id.values()
        for run in worker.run_by_task.values()
    ]
    assert stopped == [True] * 4
    quarantined = [
        worker
        for worker in site.pool.worker_by_id.values()
        if worker.quarantined_until
    ]
    assert len(quarantined) == 2
