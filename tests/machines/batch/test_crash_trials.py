"""Tests of the workers that suspected tasks get, and what others get then."""

from __future__ import annotations

import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import job_spec
from wisteriasill.machines import batch_job
from wisteriasill.machines import worker as workers

WIDE_CPU = 12_000  # A worker has 16,000.
ROUNDS = 40


class TrialSite:
    """A pool with two workers and two wide tasks that are under suspicion."""

    def __init__(self, pool: batch_site.SteppedPool) -> None:
        self.stepped = pool
        self.pool = pool.pool
        self.links: dict[str, batch_worker.MemoryWorker] = {}
        self._now = time.monotonic()

    def add_workers(self, *worker_ids: str) -> list[workers.Worker]:
        """Adds empty workers, each on a rack of its own."""
        added = []
        for worker_id in worker_ids:
            link = batch_worker.MemoryWorker(batch_site.ROOM)
            self.links[worker_id] = link
            worker = self.stepped.add_worker(worker_id, link, worker_id)
            self.stepped.poll(worker)
            added.append(worker)
        return added

    def submit(self, job_id: str, *steps: job_spec.StepSpec) -> None:
        """Hands a job in."""
        self.pool.on_record(batch_site.job_row(job_id, steps))

    def run_round(self) -> None:
        """Plans, delivers the orders and lets all runs pass their probation."""
        self._now += 0.5
        self.stepped.run_round(self._now)
        for worker in self.pool.worker_by_id.values():
            self.stepped.deliver(worker)
            for run in worker.run_by_task.values():
                run.acked_at -= 2 * crash_evidence.PROBATION_SECONDS
            self.stepped.poll(worker)

    def suspect(self, *job_ids: str) -> None:
        """Crashes a worker under the only task of each of the jobs."""
        down = self.add_workers(*(f"crashing-{job_id}" for job_id in job_ids))
        for job_id in job_ids:
            self.submit(job_id, batch_site.step(1, WIDE_CPU))
        self._now += 0.5
        self.stepped.run_round(self._now)
        for worker in down:
            self.stepped.deliver(worker)
        self.pool.set_down_workers({worker.worker_id: 5 for worker in down})
        assert len(self.pool.suspect_by_key) == len(job_ids)

    def worker_of(self, job_id: str) -> workers.Worker | None:
        """Returns the worker of the only task of a job."""
        unit = next(iter(self.pool.job_by_id[job_id].unit_by_key.values()))
        return unit.runs[0].worker if unit.runs else None

    def finish(self, job_id: str) -> None:
        """Ends the task of a job on its worker."""
        worker = self.worker_of(job_id)
        assert worker
        self.links[worker.worker_id].finish(
            job_spec.TaskKey(job_id, 0, 0, 0), checkpoint=""
        )
        self.stepped.poll(worker)


@pytest.fixture
def trial_site(site: batch_site.SteppedPool) -> TrialSite:
    return TrialSite(site)


@pytest.mark.parametrize("lasting", [False, True])
@pytest.mark.parametrize("worker_ids", [("w1",), ("w1", "w2")])
def test_trials_leave_workers_to_other_jobs(
    trial_site: TrialSite, worker_ids: tuple[str, ...], lasting: bool
) -> None:
    """Suspected tasks that waited for room blocked a pool for 20 s.

    The only worker that accepted tasks was held for them, and it had
    long-running tasks. Run chain-stale at Mandacaru, seed 71.
    """
    trial_site.add_workers(*worker_ids)
    for worker_id in worker_ids:
        trial_site.submit(
            f"on-{worker_id}", batch_site.step(1, 10_000, lasting=lasting)
        )
    trial_site.run_round()
    trial_site.suspect("j1", "j2")
    trial_site.submit("small", batch_site.step())
    trial_site.run_round()
    assert trial_site.worker_of("small")


def test_no_worker_is_held_for_a_task_that_will_not_fit(
    trial_site: TrialSite,
) -> None:
    """Long-running tasks leave too little room for it for good."""
    trial_site.add_workers("w1", "w2")
    for number in range(2):
        trial_site.submit(
            f"on-{number}", batch_site.step(1, 8_000, lasting=True)
        )
        trial_site.run_round()
    trial_site.suspect("j1", "j2")
    for number in range(8):
        trial_site.submit(f"small-{number}", batch_site.step(1, 2_000))
    trial_site.run_round()
    assert all(trial_site.worker_of(f"small-{number}") for number in range(8))


def test_a_suspected_task_starts_once_the_runs_of_its_worker_end(
    trial_site: TrialSite,
) -> None:
    """Small tasks that keep arriving must not take its room."""
    trial_site.add_workers("w1", "w2")
    trial_site.submit("long-1", batch_site.step(1, 10_000))
    trial_site.submit("long-2", batch_site.step(1, 10_000))
    trial_site.run_round()
    trial_site.suspect("j1", "j2")
    for number in range(ROUNDS):
        trial_site.submit(f"small-{number}", batch_site.step())
        trial_site.run_round()
        if number == ROUNDS // 2:
            trial_site.finish("long-1")
            trial_site.finish("long-2")
    started = [
        job_id for job_id in ("j1", "j2") if trial_site.worker_of(job_id)
    ]
    assert started


def test_a_suspected_task_starts_on_the_only_worker(
    trial_site: TrialSite,
) -> None:
    """A worker with room has new runs all the time unless it is held."""
    (worker,) = trial_site.add_workers("w1")
    trial_site.submit("long", batch_site.step(1, 10_000))
    trial_site.run_round()
    trial_site.suspect("j1")
    trial_site.finish("long")
    trial_site.submit("small", batch_site.step())
    trial_site.run_round()
    if trial_site.worker_of("j1") is None:
        trial_site.run_round()
    assert trial_site.worker_of("j1") is worker
    unit = next(iter(trial_site.pool.job_by_id["j1"].unit_by_key.values()))
    assert unit.job.state is batch_job.JobState.RUNNING
