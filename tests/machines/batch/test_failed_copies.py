"""Tests of the attempts of a task that has runs on several workers."""

from __future__ import annotations

from collections.abc import Callable
import time

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)


def test_a_failed_run_counts_also_if_a_later_copy_failed_first(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """A task was started once more than its attempts allow."""
    worker = started(batch_site.step(1, copies=True))
    other = site.add_worker("w2", other_link)
    site.poll(other)
    link.unreachable = True
    site.poll(worker)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    assert (link.running, other_link.running) == ({TASK: 1}, {TASK: 2})
    other_link.finish(TASK, cluster.RunEndKind.FAILED)
    site.poll(other)
    link.unreachable = False
    link.finish(TASK, cluster.RunEndKind.FAILED)
    site.poll(worker)
    (run,) = site.run_round(time.monotonic() + 1)
    site.deliver(run.worker)
    last_link = link if run.worker is worker else other_link
    last_link.finish(TASK, cluster.RunEndKind.FAILED)
    site.poll(run.worker)
    site.run_round(time.monotonic() + 1)
    assert (
        batch_job.decode_state(site.progress_by_id["j1"])
        is batch_job.JobState.FAILED
    )
