"""Tests of sound tasks whose workers crash one after the other.

None of these tasks causes a crash, so none of their jobs may fail.
"""

from __future__ import annotations

import itertools
import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import crash_evidence
from wisteriasill.machines import batch_job
from wisteriasill.machines import worker as workers

LIST_SECONDS = 0.3  # Time until a crash is listed.
MIN_OBSERVATIONS = crash_evidence.MIN_CRASHES


class SteppedClock:
    """The monotonic clock; a test advances it."""

    def __init__(self) -> None:
        self._now = time.monotonic()

    def monotonic(self) -> float:
        """Returns the time."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advances the time."""
        self._now += seconds


class BurstSite:
    """A pool with one job of one task, whose workers crash."""

    def __init__(
        self, pool: batch_site.SteppedPool, clock: SteppedClock
    ) -> None:
        self.stepped = pool
        self.pool = pool.pool
        self.clock = clock
        self._numbers = itertools.count(1)
        self.pool.on_record(batch_site.job_row("j1", [batch_site.step()]))
        self.job = self.pool.job_by_id["j1"]
        (self.unit,) = self.job.unit_by_key.values()

    def add_worker(self) -> workers.Worker:
        """Adds an empty worker on a rack of its own."""
        number = next(self._numbers)
        link = batch_worker.MemoryWorker(batch_site.ROOM)
        worker = self.stepped.add_worker(
            f"w{number}", link, f"rack-{number}", number
        )
        self.stepped.poll(worker)
        return worker

    def start_on_new_worker(self, silent: bool = False) -> workers.Worker:
        """Starts the task on a new worker.

        Args:
            silent: Whether the worker goes silent before the start.
        """
        worker = self.add_worker()
        self.clock.advance(0.1)
        self.stepped.run_round()
        link = worker.link
        assert isinstance(link, batch_worker.MemoryWorker)
        link.unreachable = silent
        self.stepped.deliver(worker)
        return worker

    def list_crashes(self, *crashed: workers.Worker) -> None:
        """Lists workers as crashed, some time after their crash."""
        self.clock.advance(LIST_SECONDS)
        self.stepped.run_round()
        self.pool.set_down_workers(
            {worker.worker_id: worker.registered_version for worker in crashed}
        )

    def reach_verdict(self) -> None:
        """Runs a round once the circumstances of all crashes are known."""
        for _ in range(8):
            self.clock.advance(crash_evidence.COMMON_CAUSE_SECONDS / 4)
            self.stepped.run_round()


@pytest.fixture
def burst_site(monkeypatch: pytest.MonkeyPatch) -> BurstSite:
    clock = SteppedClock()
    monkeypatch.setattr(time, "monotonic", clock.monotonic)
    pool = batch_site.SteppedPool()
    clock.advance(crash_evidence.BACKGROUND_SECONDS)
    return BurstSite(pool, clock)


def test_starts_that_no_worker_confirmed_fail_no_job(
    burst_site: BurstSite,
) -> None:
    """Two starts went to workers that had gone silent before.

    Run crash-bursts-dark at Mandacaru, seed 602.
    """
    for _ in range(crash_evidence.MAX_CRASHES - 1):
        worker = burst_site.start_on_new_worker(silent=True)
        assert [*worker.run_by_task.values()] == burst_site.unit.runs != []
        burst_site.list_crashes(worker)
        burst_site.clock.advance(2 * crash_evidence.BACKGROUND_SECONDS)
    assert burst_site.unit.crash_record.needs_trial
    assert burst_site.job.state is batch_job.JobState.RUNNING


def test_two_crashes_of_one_burst_fail_no_job(burst_site: BurstSite) -> None:
    """Both starts were confirmed, and no other worker of the pool crashed.

    Run crash-bursts-dark at Mandacaru, seed 602: crashes 0.6 s apart.
    """
    for _ in range(2):
        burst_site.list_crashes(burst_site.start_on_new_worker())
    assert burst_site.unit.crash_record.early == 2
    assert burst_site.job.state is batch_job.JobState.RUNNING


def test_a_task_that_crashes_its_workers_is_given_up_after_the_burst(
    burst_site: BurstSite,
) -> None:
    """The third crash comes at an independent moment, as its trial waits."""
    for _ in range(2):
        burst_site.list_crashes(burst_site.start_on_new_worker())
    assert not burst_site.start_on_new_worker().run_by_task
    burst_site.clock.advance(crash_evidence.SPELL_SECONDS)
    burst_site.start_on_new_worker()
    (run,) = burst_site.unit.runs
    burst_site.stepped.deliver(run.worker)
    assert run.acked_at
    burst_site.list_crashes(run.worker)
    burst_site.stepped.run_round()
    assert not burst_site.job.finished
    burst_site.reach_verdict()
    assert burst_site.job.state is batch_job.JobState.FAILED


@pytest.fixture
def crash_in_calm(burst_site: BurstSite) -> BurstSite:
    """A worker has crashed under a trial that began in a calm."""
    for _ in range(2):
        burst_site.list_crashes(burst_site.start_on_new_worker())
    burst_site.clock.advance(crash_evidence.SPELL_SECONDS)
    burst_site.list_crashes(burst_site.start_on_new_worker())
    assert burst_site.unit.crash_record.moments == MIN_OBSERVATIONS
    return burst_site


def test_a_crash_before_those_of_other_workers_fails_no_job(
    crash_in_calm: BurstSite,
) -> None:
    """The first crash of a burst becomes known before the others.

    Each of the workers had a task that had just started.
    """
    other = crash_in_calm.add_worker()
    crash_in_calm.pool.on_record(batch_site.job_row("j2", [batch_site.step()]))
    crash_in_calm.stepped.run_round()
    crash_in_calm.stepped.deliver(other)
    assert other.run_by_task
    crash_in_calm.list_crashes(other)
    crash_in_calm.reach_verdict()
    assert crash_in_calm.unit.crash_record.moments < MIN_OBSERVATIONS
    assert crash_in_calm.job.state is batch_job.JobState.RUNNING


def test_a_crash_beside_those_of_another_pool_fails_no_job(
    crash_in_calm: BurstSite,
) -> None:
    """No other worker of the pool crashed, but six of another one did.

    Run crash-bursts-dark at Mandacaru, seed 602.
    """
    crash_in_calm.clock.advance(LIST_SECONDS)
    crash_in_calm.pool.set_down_workers({"elsewhere": 9})
    crash_in_calm.reach_verdict()
    assert crash_in_calm.job.state is batch_job.JobState.RUNNING


def test_planned_ends_in_another_pool_excuse_no_task(
    crash_in_calm: BurstSite,
) -> None:
    crash_in_calm.clock.advance(LIST_SECONDS)
    crash_in_calm.pool.set_down_workers({"elsewhere": 9}, {"elsewhere"})
    crash_in_calm.reach_verdict()
    assert crash_in_calm.job.state is batch_job.JobState.FAILED
