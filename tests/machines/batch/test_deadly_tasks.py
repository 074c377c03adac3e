"""Tests of tasks that crash the workers that start them."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import job_spec
from wisteriasill.machines import batch_job
from wisteriasill.machines import worker as workers

DEADLY = job_spec.TaskKey("j1", 0, 0, 0)
MAX_STARTS = 5  # The third start after three crashes breaks the rule.
WORKERS = 3
ROUNDS = 60


class CrashingWorker(batch_worker.MemoryWorker):
    """A worker that crashes when it starts a certain task."""

    def __init__(self) -> None:
        super().__init__(batch_site.ROOM)

    @property
    def crashed(self) -> bool:
        """Whether the task was started here."""
        return any(task == DEADLY for task, _, _ in self.starts)


class CrashSite:
    """A pool whose crashed workers come back at once, under new ids.

    Attributes:
        links: All workers ever added, by id.
        down_ids: Ids of the workers that went down.
    """

    def __init__(self, pool: batch_site.SteppedPool) -> None:
        self.pool = pool
        self.links: dict[str, CrashingWorker] = {}
        self.down_ids: set[str] = set()
        self._ids = (f"w{number}" for number in itertools.count(1))
        self._now = time.monotonic()
        for _ in range(WORKERS):
            self.add_worker()

    def add_worker(self) -> None:
        """Adds an empty worker on a rack of its own."""
        worker_id = next(self._ids)
        self.links[worker_id] = CrashingWorker()
        worker = self.pool.add_worker(
            worker_id, self.links[worker_id], f"rack-{worker_id}"
        )
        self.pool.poll(worker)

    def step(self) -> None:
        """Runs a round, delivers its orders and replaces crashed workers."""
        self._now += 0.5
        self.pool.run_round(self._now)
        for worker in [*self.live_workers()]:
            self._deliver(worker)
        self.pool.pool.set_down_workers(dict.fromkeys(self.down_ids, 10))

    def live_workers(self) -> Iterator[workers.Worker]:
        """Returns the pool's workers."""
        yield from self.pool.pool.worker_by_id.values()

    def _deliver(self, worker: workers.Worker) -> None:
        link = self.links[worker.worker_id]
        while not link.crashed and worker.send_once():
            pass
        if link.crashed:
            self.down_ids.add(worker.worker_id)
            self.add_worker()
            return
        # The worker shows the runs that it had before alive for a while.
        for run in worker.run_by_task.values():
            if run.acked_at:
                run.acked_at -= 2 * crash_evidence.PROBATION_SECONDS
        self.pool.poll(worker)
        for task in link.running:
            if not self._lasts(task):
                link.finish(task)

    def _lasts(self, task: job_spec.TaskKey) -> bool:
        job = self.pool.pool.job_by_id.get(task.job_id)
        return job is not None and job.record.spec.lasting

    def starts(self, task: job_spec.TaskKey) -> int:
        """Returns how often workers have started a task."""
        return sum(
            started == task
            for link in self.links.values()
            for started, _, _ in link.starts
        )

    def state(self, job_id: str) -> batch_job.JobState | None:
        """Returns the state of a job in its stored row."""
        value = self.pool.progress_by_id.get(job_id)
        return batch_job.decode_state(value) if value else None


@pytest.fixture
def crash_site(site: batch_site.SteppedPool) -> CrashSite:
    return CrashSite(site)


def test_a_task_that_crashes_its_workers_is_given_up(
    crash_site: CrashSite,
) -> None:
    """One task crashed a worker every half second for the rest of the day.

    Run deadly at Kochi, seed 11: run 109 at 51 s.
    """
    crash_site.pool.pool.on_record(
        batch_site.job_row("j1", [batch_site.step(3)])
    )
    for _ in range(ROUNDS):
        crash_site.step()
    assert crash_site.state("j1") is batch_job.JobState.FAILED
    assert 2 <= crash_site.starts(DEADLY) <= MAX_STARTS


def test_tasks_beside_one_that_crashes_workers_complete(
    crash_site: CrashSite,
) -> None:
    """A count of crashes alone would give up the tasks beside it too."""
    for number in range(1, 13):
        crash_site.pool.pool.on_record(
            batch_site.job_row(f"j{number}", [batch_site.step(3)])
        )
    for _ in range(ROUNDS):
        crash_site.step()
    assert crash_site.state("j1") is batch_job.JobState.FAILED
    assert crash_site.starts(DEADLY) <= MAX_STARTS
    assert {crash_site.state(f"j{number}") for number in range(2, 13)} == {
        batch_job.JobState.COMPLETED
    }


def test_a_new_holder_knows_which_tasks_crashed_workers(
    crash_site: CrashSite,
) -> None:
    """What is known of a task must outlive the holder that learnt it."""
    row = batch_site.job_row("j1", [batch_site.step(1)])
    crash_site.pool.pool.on_record(row)
    crash_site.step()
    assert crash_site.starts(DEADLY) == 1
    # Stores the progress; it is too early to start the task again.
    crash_site.pool.run_round(time.monotonic() - 1)
    new_holder = batch_site.SteppedPool(
        2, [row], crash_site.pool.progress_rows()
    )
    successor = CrashSite(new_holder)
    for _ in range(ROUNDS):
        successor.step()
    assert successor.state("j1") is batch_job.JobState.FAILED
    assert 1 + successor.starts(DEADLY) <= MAX_STARTS


def test_planned_ends_of_workers_are_no_evidence(
    crash_site: CrashSite,
) -> None:
    """A worker whose host is moved must not count as crashed."""
    pool = crash_site.pool.pool
    pool.on_record(batch_site.job_row("j2", [batch_site.step(3, lasting=True)]))
    crash_site.pool.run_round()
    ids = {worker.worker_id for worker in crash_site.live_workers()}
    for worker in crash_site.live_workers():
        crash_site.pool.deliver(worker)
    pool.set_down_workers(dict.fromkeys(ids, 10), ids)
    units = pool.job_by_id["j2"].unit_by_key.values()
    assert [unit.crash_record.crashes for unit in units] == [0, 0, 0]


def test_a_cut_off_worker_that_reports_again_is_no_evidence(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """An expired lease alone must not count as a crash."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j2", [batch_site.step(1)]))
    site.run_round()
    site.deliver(worker)
    later = time.monotonic() + 3 * workers.LEASE_SECONDS
    site.pool.end_expired_runs(later)
    site.poll(worker)
    site.pool.set_down_workers({"w1": 10})
    unit = next(iter(site.pool.job_by_id["j2"].unit_by_key.values()))
    assert unit.crash_record.crashes == 0


@pytest.mark.parametrize("listed", [True, False])
def test_a_lease_that_expired_on_a_crashed_worker_is_evidence(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    listed: bool,
) -> None:
    """The list of hosts may show a crash late, or never.

    It never shows a worker that crashed within 0.4 s of its start: run
    deadly-2 at Kochi, seed 61.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j2", [batch_site.step(1)]))
    site.run_round()
    site.deliver(worker)
    worker.listed = listed
    site.pool.end_expired_runs(time.monotonic() + 3 * workers.LEASE_SECONDS)
    site.pool.set_down_workers({"w1": 10} if listed else {})
    unit = next(iter(site.pool.job_by_id["j2"].unit_by_key.values()))
    assert unit.crash_record.needs_trial
    assert unit.crash_record.crashes == 1


def test_a_crash_during_a_change_of_holder_and_one_more_fail_no_job(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """The first crash tells nothing about when its run had started.

    Found by soak seed 705.
    """
    row = batch_site.job_row("j1", [batch_site.step(1)])
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(row)
    site.run_round()
    site.deliver(worker)
    successor = batch_site.SteppedPool(2, [row], site.progress_rows())
    for started_ms in (2, 3):
        restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms)
        if started_ms == 3:
            successor.pool.set_down_workers({"w1": 25})
        worker = successor.add_worker("w1", restarted, version=10 * started_ms)
        successor.poll(worker)
        successor.run_round(time.monotonic() + 1)
        successor.deliver(worker)
    unit = next(iter(successor.pool.job_by_id["j1"].unit_by_key.values()))
    assert unit.last_run == 2
    # The new incarnation had not shown which runs it had, when it crashed.
    assert unit.crash_record == crash_evidence.NO_CRASHES


def add_worker(site: batch_site.SteppedPool, number: int) -> workers.Worker:
    """Adds an empty worker on a rack of its own."""
    link = batch_worker.MemoryWorker(batch_site.ROOM)
    worker = site.add_worker(f"w{number}", link, f"rack-{number}", number)
    site.poll(worker)
    return worker


def start_waiting(site: batch_site.SteppedPool) -> None:
    """Starts the tasks that wait for a worker."""
    site.run_round(time.monotonic() + 1)
    for worker in site.pool.worker_by_id.values():
        site.deliver(worker)


def test_a_task_beside_those_that_crash_its_workers_is_not_given_up(
    site: batch_site.SteppedPool,
) -> None:
    """All runs of a long-running job were stopped after the fifth crash.

    Run deadly at Kochi, seed 12.
    """
    site.pool.on_record(
        batch_site.job_row("j1", [batch_site.step(lasting=True)])
    )
    for number in range(1, 7):
        worker = add_worker(site, number)
        start_waiting(site)
        (run,) = worker.run_by_task.values()
        run.acked_at -= 2 * crash_evidence.PROBATION_SECONDS
        site.poll(worker)
        job_id = f"other-{number}"
        site.pool.on_record(batch_site.job_row(job_id, [batch_site.step()]))
        start_waiting(site)
        site.pool.set_down_workers({worker.worker_id: number})
        site.pool.on_record(
            batch_site.job_row(job_id, [batch_site.step()], cancelled=True)
        )
    assert site.pool.job_by_id["j1"].state is batch_job.JobState.RUNNING


def test_crashes_beside_one_that_no_start_explains_are_no_suspicion(
    site: batch_site.SteppedPool,
) -> None:
    """Jobs were given up as half of the workers crashed again and again.

    Run crash-roll-slow at Mandacaru, seed 71.
    """
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step()]))
    for number in range(1, 5, 2):
        pair = add_worker(site, number), add_worker(site, number + 1)
        start_waiting(site)
        assert sum(len(worker.run_by_task) for worker in pair) == 1
        site.pool.set_down_workers(
            {worker.worker_id: number + 1 for worker in pair}
        )
        unit = next(iter(site.pool.job_by_id["j1"].unit_by_key.values()))
        assert unit.crash_record.suspicions == 0
        # Only several in a row call for a trial.
        assert unit.crash_record.needs_trial is (number > 1)
    assert not unit.job.finished


def test_the_crash_of_a_draining_worker_excuses_no_task(
    site: batch_site.SteppedPool,
) -> None:
    """A worker that leaves as it was to says nothing about other workers."""
    crashing, draining = add_worker(site, 1), add_worker(site, 2)
    site.pool.set_drain_requests({draining.worker_id})
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step()]))
    start_waiting(site)
    assert crashing.run_by_task
    site.pool.set_down_workers({"w1": 2, "w2": 2})
    unit = next(iter(site.pool.job_by_id["j1"].unit_by_key.values()))
    assert unit.crash_record.suspicions == 1


def test_a_crash_under_a_run_of_a_former_holder_is_no_suspicion(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """The new holder does not know how long the run had been at work.

    Tasks of a long-running job waited for a trial after a change of the holder.
    Run chain-stale at Mandacaru, seed 71.
    """
    row = batch_site.job_row("j1", [batch_site.step(lasting=True)])
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(row)
    site.run_round()
    site.deliver(worker)
    site.run_round()
    successor = batch_site.SteppedPool(2, [row], site.progress_rows())
    worker = successor.add_worker("w1", link)
    assert worker.run_by_task
    successor.pool.set_down_workers({"w1": 10})
    unit = next(iter(successor.pool.job_by_id["j1"].unit_by_key.values()))
    assert unit.crash_record == crash_evidence.NO_CRASHES


def test_crashes_that_no_holder_watched_fail_no_job(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """The fifth of them failed the job of a bystander.

    Run crash-roll-slow at Mandacaru, seed 71.
    """
    row = batch_site.job_row("j1", [batch_site.step(lasting=True)])
    site.pool.on_record(row)
    worker = site.add_worker("w1", link)
    site.poll(worker)
    holder = site
    for epoch in range(2, 2 + crash_evidence.MAX_CRASHES):
        holder.run_round(time.monotonic() + 1)
        for waiting in holder.pool.worker_by_id.values():
            holder.deliver(waiting)
        restarted = batch_worker.MemoryWorker(batch_site.ROOM, epoch)
        holder = batch_site.SteppedPool(epoch, [row], holder.progress_rows())
        holder.pool.set_down_workers({"w1": 10 * epoch - 1})
        worker = holder.add_worker("w1", restarted, version=10 * epoch)
        holder.poll(worker)
    job = holder.pool.job_by_id["j1"]
    (unit,) = job.unit_by_key.values()
    assert unit.last_run >= crash_evidence.MAX_CRASHES
    assert unit.crash_record == crash_evidence.NO_CRASHES


def test_a_sound_task_in_a_spell_of_crashes_is_not_given_up(
    site: batch_site.SteppedPool,
) -> None:
    """Two workers crashed just after a start of the same task.

    So did others before, which the task was not on. Found by soak seed 9104.
    """
    others = [add_worker(site, number) for number in range(1, 4)]
    for worker in others:
        site.pool.set_down_workers({worker.worker_id: 9})
    site.pool._crash_by_worker = {  # It is over a second ago.
        worker: crash._replace(at=crash.at - 2.0)
        for worker, crash in site.pool._crash_by_worker.items()
    }
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step()]))
    for number in range(4, 6):
        worker = add_worker(site, number)
        start_waiting(site)
        assert worker.run_by_task
        site.pool.set_down_workers({worker.worker_id: number})
    (unit,) = site.pool.job_by_id["j1"].unit_by_key.values()
    assert unit.crash_record.suspicions == 2
    assert not unit.job.finished
    # Its next trial waits until a third crash would be proof.
    add_worker(site, 6)
    start_waiting(site)
    assert not unit.runs
    calm = time.monotonic() + crash_evidence.BACKGROUND_SECONDS
    site.run_round(calm)
    assert unit.runs


def test_a_long_running_task_that_crashes_its_workers_waits_longer_each_time(
    site: batch_site.SteppedPool,
) -> None:
    """Its job was given up, and all its other tasks were stopped.

    Found by review case 2.
    """
    sound = add_worker(site, 1)
    site.pool.on_record(
        batch_site.job_row(
            "j1", [batch_site.step(2, lasting=True, most_per_worker=1)]
        )
    )
    start_waiting(site)
    for run in sound.run_by_task.values():
        run.acked_at -= 2 * crash_evidence.ACQUITTAL_SECONDS
    site.poll(sound)
    job = site.pool.job_by_id["j1"]
    (suspect,) = job.ready.values()
    delays = []
    for number in range(2, 10):
        worker = add_worker(site, number)
        suspect.retry_at = 0.0
        site.run_round()
        site.deliver(worker)
        assert suspect.runs
        site.pool.set_down_workers({worker.worker_id: number})
        delays.append(round(suspect.retry_at - time.monotonic(), 1))
    assert job.state is batch_job.JobState.RUNNING
    assert sound.run_by_task
    assert not any(run.stopping for run in sound.run_by_task.values())
    assert delays == sorted(delays)
    assert delays[0] < crash_evidence.FIRST_DELAY_SECONDS
    assert delays[-1] == pytest.approx(
        crash_evidence.MAX_DELAY_SECONDS, abs=0.5
    )
