"""Tests of runs whose worker falls silent, goes down or comes back."""

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


def test_a_successor_leaves_runs_where_they_are(
    site: batch_site.HandDrivenPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Trouble-2 at Mandacaru: a first look made each old lease look ended."""
    started(batch_site.step(1, lasting=True))
    successor = batch_site.HandDrivenPool(
        2,
        [batch_site.job_row("j1", [batch_site.step(1, lasting=True)])],
        site.progress_rows(),
    )
    worker = successor.add_worker("w1", link)
    other = successor.add_worker("w2", other_link)
    for one in (worker, other):
        successor.look(one)
    successor.turn()
    successor.deliver(other)
    assert link.running == {TASK: 1}
    assert not other_link.starts


def test_runs_of_a_silent_worker_start_elsewhere_after_its_lease(
    site: batch_site.HandDrivenPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Trouble-1: each unanswered look extended the lease of a dead worker."""
    worker = started(batch_site.step(1, lasting=True))
    other = site.add_worker("w2", other_link)
    site.look(other)
    link.cut = True
    began = time.monotonic()
    for _ in range(3):
        site.look(worker)
    before = began + workers.LEASE_SECONDS - 0.5
    site.turn(before)
    site.deliver(other)
    assert not other_link.starts
    after = began + workers.LEASE_SECONDS / workers.SLOWEST_CLOCK + 0.5
    site.turn(after)
    site.turn(after + 1)
    site.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


def test_a_planned_run_outlives_the_old_lease_of_an_idle_worker(
    site: batch_site.HandDrivenPool, link: batch_worker.MemoryWorker
) -> None:
    """quiet-1: 295 runs were given up before their start was sent."""
    worker = site.add_worker("w1", link)
    site.look(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    idle_until = time.monotonic() + 60
    site.turn(idle_until)
    site.pool.expire(idle_until)
    assert TASK in worker.run_by_task


def test_a_start_without_an_answer_is_barred_before_the_next(
    site: batch_site.HandDrivenPool, link: batch_worker.MemoryWorker
) -> None:
    worker = site.add_worker("w1", link)
    site.look(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    link.cut = True
    site.turn()
    assert worker.send_once()
    link.cut = False
    site.deliver(worker)
    run = worker.run_by_task[TASK]
    assert run.state is batch_job.RunState.UNCERTAIN
    late = cluster.StartOrder(TASK, 1, "", 99_999, 1)
    assert link.start(late).outcome is cluster.OrderOutcome.RUN_TOO_OLD
    run.barred_at -= 1
    site.look(worker)
    site.turn(time.monotonic() + 1)
    site.deliver(worker)
    assert link.running == {TASK: 2}


def test_a_successor_ends_runs_of_a_worker_that_falls_silent(
    site: batch_site.HandDrivenPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Trouble-1 at Mandacaru: a restored run that was seen never lapsed."""
    lasting = batch_site.step(1, lasting=True)
    started(lasting)
    successor = batch_site.HandDrivenPool(
        2, [batch_site.job_row("j1", [lasting])], site.progress_rows()
    )
    worker = successor.add_worker("w1", link)
    other = successor.add_worker("w2", other_link)
    for one in (worker, other, worker):
        successor.look(one)
    link.cut = True
    successor.look(worker)
    after = time.monotonic() + workers.LEASE_SECONDS + 1
    successor.turn(after)
    successor.turn(after + 1)
    successor.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


def test_tasks_of_a_host_that_is_down_start_elsewhere_at_once(
    site: batch_site.HandDrivenPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """srv_crash: 4.6 s passed until the lease of a crashed worker ended."""
    started(batch_site.step(1, lasting=True))
    other = site.add_worker("w2", other_link)
    site.look(other)
    link.cut = True
    site.pool.set_down({"w1"})
    site.turn(time.monotonic() + 0.1)
    site.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


def test_a_worker_that_registers_after_its_host_was_down_is_kept(
    site: batch_site.HandDrivenPool, link: batch_worker.MemoryWorker
) -> None:
    site.pool.set_down({"w1"})
    worker = site.add_worker("w1", link)
    site.pool.set_down({"w1", "w9"})
    assert site.pool.worker_by_id["w1"] is worker


def test_a_successor_starts_stored_runs_of_a_host_that_is_down(
    site: batch_site.HandDrivenPool,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """LOST at trouble-2 of Kochi: each take-over waited 14.5 s anew."""
    lasting = batch_site.step(1, lasting=True)
    started(lasting)
    successor = batch_site.HandDrivenPool(
        2, [batch_site.job_row("j1", [lasting])], site.progress_rows()
    )
    other = successor.add_worker("w2", other_link)
    successor.look(other)
    successor.turn()
    successor.deliver(other)
    assert not other_link.starts
    successor.pool.set_down({"w1"})
    successor.turn()
    successor.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


def test_a_start_that_reached_the_next_life_is_not_given_up(
    site: batch_site.HandDrivenPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """Soak seeds 6, 30, 45: a run of the new life counted as ended."""
    worker = site.add_worker("w1", link)
    site.look(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.turn()
    reborn = batch_worker.MemoryWorker(batch_site.ROOM, born_ms=2)
    worker.link = reborn
    site.deliver(worker)
    assert reborn.running == {TASK: 1}
    site.look(worker)
    other = site.add_worker("w2", other_link)
    site.look(other)
    site.turn(time.monotonic() + 1)
    site.deliver(other)
    assert not other_link.starts
    again = site.add_worker("w1", reborn)
    site.look(again)
    site.deliver(again)
    site.look(again)
    site.turn(time.monotonic() + 1)
    site.deliver(other)
    site.deliver(again)
    starts = [*other_link.starts, *reborn.starts]
    assert len(starts) == 2
    assert len(other_link.running) + len(reborn.running) == 1


def test_ends_are_acknowledged_to_the_same_life_only(
    site: batch_site.HandDrivenPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Soak seed 45: an old number acknowledged ends of the next life."""
    worker = started(batch_site.step(1))
    link.finish(TASK)
    site.look(worker)
    site.turn()
    assert worker.stored == 1
    link.cut = True
    site.look(worker)
    link.cut = False
    reborn = batch_worker.MemoryWorker(batch_site.ROOM, born_ms=2)
    reborn.start(cluster.StartOrder(TASK, 1, "", 99_999, 1))
    reborn.finish(TASK)
    worker.link = reborn
    site.look(worker)
    report = reborn.look(1, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    assert len(report.ends) == 1


def test_a_clock_that_goes_back_stops_acknowledging(
    site: batch_site.HandDrivenPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Soak seed 45: a start reached the next life between two looks."""
    link.clock_ms = 50_000
    worker = started(batch_site.step(1))
    link.finish(TASK)
    site.look(worker)
    site.turn()
    reborn = batch_worker.MemoryWorker(batch_site.ROOM, born_ms=2)
    worker.link = reborn
    site.pool.on_record(batch_site.job_row("j2", [batch_site.step(1)]))
    site.turn()
    site.deliver(worker)
    reborn.finish(job_spec.TaskKey("j2", 0, 0, 0))
    site.look(worker)
    report = reborn.look(1, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    assert len(report.ends) == 1
