"""Tests of runs over several changes of a pool's holder."""

from __future__ import annotations

from collections.abc import Callable
import time

import cbor2

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)


def successor(
    former: batch_site.SteppedPool,
    epoch: int,
    record: cluster.StoredRow,
) -> batch_site.SteppedPool:
    """Returns the next holder of a pool, with all that is stored."""
    holder = batch_site.SteppedPool(epoch, [record], former.progress_rows())
    holder.progress_by_id |= former.progress_by_id
    return holder


def test_a_job_stored_before_its_workers_are_known_keeps_its_runs(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """The holder after next must not start running tasks a second time.

    A holder that stored a job before its workers had joined dropped their runs
    from the job's row.
    """
    step = batch_site.step(2, cpu=9_000, lasting=True)
    other = site.add_worker("w2", other_link)
    site.poll(other)
    started(step)
    site.deliver(other)
    record = batch_site.job_row("j1", [step])
    second = successor(site, 2, record)
    lost = next(iter(other_link.running))
    second.pool.set_down_workers({"w2": 10**6})
    second.run_round()
    third = successor(second, 3, record)
    worker = third.add_worker("w1", link)
    third.poll(worker)
    third.run_round()
    third.deliver(worker)
    assert {*link.running.values()} == {1}
    assert lost not in link.running


def test_a_gang_is_not_queued_while_a_former_run_may_be_at_work(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """One member's worker is lost before another member's worker is known."""
    step = batch_site.step(2, cpu=9_000, gang=True)
    other = site.add_worker("w2", other_link)
    site.poll(other)
    started(step)
    site.deliver(other)
    assert link.running and other_link.running
    second = successor(site, 2, batch_site.job_row("j1", [step]))
    second.pool.set_down_workers({"w2": 10**6})
    assert not second.pool.job_by_id["j1"].ready


def test_a_new_holder_does_not_time_the_runs_of_a_former_one(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """They looked shorter than they were, so sound tasks counted as slow."""
    step = batch_site.step(1)
    started(step)
    second = successor(site, 2, batch_site.job_row("j1", [step]))
    worker = second.add_worker("w1", link)
    second.poll(worker)
    link.finish(TASK)
    second.poll(worker)
    second.pool.on_record(batch_site.job_row("j2", [step]))
    second.run_round()
    second.deliver(worker)
    second.run_round(time.monotonic() + 2.0)
    second.deliver(worker)
    assert link.running == {TASK._replace(job_id="j2"): 1}


def test_a_worker_listed_as_down_is_known_to_each_later_holder(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """A task of a crashed worker waited for the leases of each new holder.

    Each of them stores the job's row again, so the row is newer than the list
    that shows the crash. 22 s in a hunted day at Kochi.
    """
    step = batch_site.step(1, lasting=True)
    worker = site.add_worker("w1", link, version=20)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [step]))
    site.run_round()
    site.deliver(worker)
    record = batch_site.job_row("j1", [step])
    second = batch_site.SteppedPool(2, [record], site.progress_rows(30))
    second.pool.dirty_job_by_id["j1"] = second.pool.job_by_id["j1"]
    second.run_round()
    third = batch_site.SteppedPool(3, [record], second.progress_rows(50))
    third.pool.set_down_workers({"w1": 40})
    other = third.add_worker("w2", other_link)
    third.poll(other)
    third.run_round(time.monotonic() + 1.0)
    third.deliver(other)
    assert other_link.running == {TASK: 2}


def test_progress_of_the_release_before_is_read() -> None:
    """It stores neither crashes nor versions where there are none."""
    run = [0, 1, "w1", 5]
    former = cbor2.dumps(["running", 1, [[0, 0, 0, 1, 0, False, "", [run]]]])
    (unit,) = batch_job.decode_progress(former).units
    assert unit.runs == (batch_job.StoredRun(0, 1, "w1", 5),)
    assert unit.crash_record == crash_evidence.NO_CRASHES


def test_the_release_before_reads_stored_progress(
    site: batch_site.SteppedPool, started: Callable[..., workers.Worker]
) -> None:
    """It reads four fields of a run, and ignores all behind the crashes."""
    started(batch_site.step(1, lasting=True))
    (value,) = site.progress_by_id.values()
    _, _, ((*_, runs, crashes, _, _),) = cbor2.loads(value)
    assert runs == [[0, 1, "w1", 1]]
    assert crashes == [0, 0]
