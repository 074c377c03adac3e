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
