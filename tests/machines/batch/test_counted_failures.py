"""Tests that each failed run counts once, whichever holder learns of it."""

from __future__ import annotations

from collections.abc import Callable

import cbor2

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)


def test_a_failure_counts_once_over_all_holders(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Guards against LOST: holders get the same end until one is heard."""
    worker = started(batch_site.step(1))
    link.finish(TASK, cluster.RunEndKind.FAILED)
    site.poll(worker)
    site.run_round()
    record = batch_site.job_row("j1", [batch_site.step(1)])
    holder = site
    for epoch in range(2, 6):
        former, holder = (
            holder,
            batch_site.SteppedPool(epoch, [record], holder.progress_rows()),
        )
        holder.progress_by_id |= former.progress_by_id
        holder.poll(holder.add_worker("w1", link))
        holder.pool.dirty_job_by_id["j1"] = holder.pool.job_by_id["j1"]
        holder.run_round()
    (unit,) = holder.pool.job_by_id["j1"].unit_by_key.values()
    assert unit.failures == 1


def test_a_gang_whose_members_fail_under_two_holders_failed_once(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Guards against LOST: the second holder counted the run again."""
    step = batch_site.step(2, cpu=9_000, gang=True)
    other = site.add_worker("w2", other_link)
    site.poll(other)
    worker = started(step)
    site.deliver(other)
    link.finish(next(iter(link.running)), cluster.RunEndKind.FAILED)
    site.poll(worker)
    site.run_round()
    other_link.finish(next(iter(other_link.running)), cluster.RunEndKind.FAILED)
    second = batch_site.SteppedPool(
        2, [batch_site.job_row("j1", [step])], site.progress_rows()
    )
    second.poll(second.add_worker("w2", other_link))
    (unit,) = second.pool.job_by_id["j1"].unit_by_key.values()
    assert unit.failures == 1


def test_a_row_of_the_release_before_is_read() -> None:
    """It stored how many runs had failed, and not the last one."""
    row = [0, 0, 0, 4, 2, False, "", [], [0, 0], []]
    (unit,) = batch_job.decode_progress(
        cbor2.dumps(["running", 1, [row]])
    ).units
    assert (unit.failures, unit.failed_run) == (2, 0)
