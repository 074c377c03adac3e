"""Tests of crashes that a pool takes for more evidence, or less, than they are.

Unless a test says otherwise, none of the tasks causes a crash.
"""

from __future__ import annotations

import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from tests.machines.batch import test_crash_bursts
from wisteriasill.contracts import crash_evidence
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_workers
from wisteriasill.machines import worker as workers

GANG_TASKS = 5
MAX_STARTS_AFTER_THIRD_CRASH = 2
ALL_CORES = batch_site.ROOM.cpu
# More than the time for which crashes are weighed, and than any wait.
CALM_SECONDS = 2 * crash_evidence.MAX_PROOF_WAIT_SECONDS


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> test_crash_bursts.BurstSite:
    """A pool with one job of one task."""
    clock = test_crash_bursts.SteppedClock()
    monkeypatch.setattr(time, "monotonic", clock.monotonic)
    pool = batch_site.SteppedPool()
    clock.advance(crash_evidence.BACKGROUND_SECONDS)
    return test_crash_bursts.BurstSite(pool, clock)


def add_job(
    site: test_crash_bursts.BurstSite,
    job_id: str,
    count: int = 1,
    cpu: int = 1000,
    **fields: object,
) -> batch_job.Job:
    """Adds a job of one step."""
    site.pool.on_record(
        batch_site.job_row(job_id, [batch_site.step(count, cpu, **fields)])
    )
    return site.pool.job_by_id[job_id]


def cancel_first_job(site: test_crash_bursts.BurstSite) -> None:
    """Cancels the job that the site begins with."""
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step()], True, 2))


def start_on_workers(
    site: test_crash_bursts.BurstSite,
    count: int,
    unconfirmed: batch_job.Unit | None = None,
) -> None:
    """Starts what waits on new workers.

    Args:
        site: The site.
        count: Number of workers to add.
        unconfirmed: Unit whose workers do not answer the start.
    """
    for _ in range(count):
        site.add_worker()
    site.clock.advance(0.1)
    site.stepped.run_round()
    for worker in [*site.pool.worker_by_id.values()]:
        memory_link(worker).unreachable = any(
            run.unit is unconfirmed for run in worker.run_by_task.values()
        )
        site.stepped.deliver(worker)


def memory_link(worker: workers.Worker) -> batch_worker.MemoryWorker:
    """Returns the stand-in of a worker."""
    link = worker.link
    assert isinstance(link, batch_worker.MemoryWorker)
    return link


def remove_idle(site: test_crash_bursts.BurstSite) -> None:
    """Drains the workers that have no run."""
    for worker in [*site.pool.worker_by_id.values()]:
        if not worker.run_by_task:
            site.pool.remove_worker(worker, batch_workers.Removal("moved"))


def test_one_crash_of_all_workers_of_a_gang_fails_no_job(
    site: test_crash_bursts.BurstSite,
) -> None:
    """A rack goes down once, just after the start of a gang on its workers."""
    job = add_job(site, "gang", GANG_TASKS, ALL_CORES, gang=True)
    start_on_workers(site, GANG_TASKS + 1)
    (unit,) = job.unit_by_key.values()
    assert len(unit.runs) == GANG_TASKS
    site.list_crashes(*(run.worker for run in unit.runs))
    site.reach_verdict()
    assert job.state is batch_job.JobState.RUNNING


def test_unconfirmed_starts_of_a_gang_count_once_a_crash(
    site: test_crash_bursts.BurstSite,
) -> None:
    """Each crash takes both workers, and neither ever confirmed a start."""
    cancel_first_job(site)
    job = add_job(site, "gang", 2, ALL_CORES, gang=True)
    (unit,) = job.unit_by_key.values()
    for _ in range(3):
        start_on_workers(site, 2, unit)
        assert len(unit.runs) == 2
        site.list_crashes(*(run.worker for run in unit.runs))
        remove_idle(site)
        site.reach_verdict()
        site.clock.advance(CALM_SECONDS)
    assert not job.finished


def test_trials_that_crash_together_fail_no_job(
    site: test_crash_bursts.BurstSite,
) -> None:
    """Two sound tasks wait for a quiet moment, and meet the next burst."""
    cancel_first_job(site)
    jobs = [add_job(site, job_id, cpu=ALL_CORES) for job_id in ("j2", "j3")]
    units = [unit for job in jobs for unit in job.unit_by_key.values()]
    for pause in (0.0, crash_evidence.SPELL_SECONDS, 0.0):
        start_on_workers(site, 2)
        runs = [run for unit in units for run in unit.runs]
        assert runs
        assert all(run.acked_at for run in runs)
        site.list_crashes(*site.pool.worker_by_id.values())
        site.clock.advance(pause)
    site.reach_verdict()
    assert [job.state for job in jobs] == [batch_job.JobState.RUNNING] * 2


def suspect(
    site: test_crash_bursts.BurstSite, job_id: str, crashes: int
) -> batch_job.Unit:
    """Adds a task with crashes in one spell, the last of them long ago."""
    (unit,) = add_job(site, job_id, cpu=ALL_CORES).unit_by_key.values()
    unit.crash_record = crash_evidence.CrashRecord(
        crashes, crashes, early=crashes, moments=1
    )
    unit.early_crash_at = unit.lost_at = time.monotonic() - CALM_SECONDS
    site.pool.suspect_by_key[job_id, unit.key] = unit
    return unit


def test_tasks_that_trials_have_not_proved_are_tried_together(
    site: test_crash_bursts.BurstSite,
) -> None:
    """Twelve bad tasks still waited 30 s after the last crash of a burst.

    The bench of crashes with starts that no worker confirmed. Their crashes at
    the same time are no proof, as they may be of one burst.
    """
    cancel_first_job(site)
    provable = suspect(site, "j2", crash_evidence.MIN_CRASHES)
    unproven = [
        suspect(site, job_id, crash_evidence.MAX_UNTRIED_CRASHES)
        for job_id in ("j3", "j4")
    ]
    start_on_workers(site, 6)
    assert provable.runs
    assert not any(unit.runs for unit in unproven)
    site.clock.advance(crash_evidence.ACQUITTAL_SECONDS)
    site.stepped.poll(provable.runs[0].worker)
    start_on_workers(site, 0)
    assert all(unit.runs for unit in unproven)
    site.list_crashes(*(run.worker for unit in unproven for run in unit.runs))
    site.reach_verdict()
    assert not any(unit.job.finished for unit in unproven)
    assert [unit.crash_record.moments for unit in unproven] == [1, 1]


def test_a_crash_that_becomes_known_late_is_of_the_same_burst(
    site: test_crash_bursts.BurstSite,
) -> None:
    """The second worker crashes 0.2 s after the first, but is never listed.

    So its crash shows once its leases have expired.
    """
    site.list_crashes(site.start_on_new_worker())
    second = site.start_on_new_worker()
    (run,) = second.run_by_task.values()
    assert run.acked_at
    memory_link(second).unreachable = True
    second.listed = False
    site.clock.advance(crash_evidence.SPELL_SECONDS)
    site.stepped.run_round()
    assert second.worker_id not in site.pool.worker_by_id
    site.reach_verdict()
    assert site.job.state is batch_job.JobState.RUNNING


def test_a_verdict_waits_for_a_newer_list_of_crashes(
    site: test_crash_bursts.BurstSite,
) -> None:
    """The holder is frozen for 2 s while others of the burst are listed.

    Its planning thread runs before the thread that reads the list.
    """
    for _ in range(2):
        site.list_crashes(site.start_on_new_worker())
    site.clock.advance(crash_evidence.SPELL_SECONDS)
    site.list_crashes(site.start_on_new_worker())
    site.clock.advance(2.0)
    site.stepped.run_round()
    site.pool.set_down_workers({"elsewhere": 9})
    assert site.job.state is batch_job.JobState.RUNNING


def test_a_crash_elsewhere_in_the_first_list_excuses_a_task(
    site: test_crash_bursts.BurstSite,
) -> None:
    """A new holder's first list shows its own crash beside another pool's.

    Its task had been suspected under the former holder.
    """
    site.unit.crash_record = crash_evidence.CrashRecord(1, 1)
    site.unit.early_crash_at = time.monotonic()
    site.pool.suspect_by_key["j1", site.unit.key] = site.unit
    site.clock.advance(crash_evidence.BACKGROUND_SECONDS)
    worker = site.start_on_new_worker()
    site.clock.advance(test_crash_bursts.LIST_SECONDS)
    site.pool.set_down_workers(
        {worker.worker_id: worker.registered_version, "elsewhere": 9}
    )
    site.reach_verdict()
    assert site.job.state is batch_job.JobState.RUNNING


@pytest.mark.parametrize("is_own", [False, True])
def test_a_newer_version_of_a_known_end_is_no_crash(
    site: test_crash_bursts.BurstSite, is_own: bool
) -> None:
    """The list confirms the end of a worker again, as its host is still down.

    So it does once at the next heartbeat, and whenever the controller of the
    fleet changes.
    """
    versions = {"elsewhere": 1}
    if is_own:
        versions = {site.add_worker().worker_id: 1}
    site.pool.set_down_workers({})
    site.pool.set_down_workers(versions)
    site.clock.advance(CALM_SECONDS)
    for pause in (0.0, crash_evidence.SPELL_SECONDS, 0.0):
        worker = site.start_on_new_worker()
        assert worker.run_by_task
        site.clock.advance(test_crash_bursts.LIST_SECONDS)
        versions[worker.worker_id] = worker.registered_version
        site.pool.set_down_workers(versions)
        site.clock.advance(pause)
    site.clock.advance(test_crash_bursts.LIST_SECONDS)
    site.pool.set_down_workers({**versions, next(iter(versions)): 99})
    site.reach_verdict()
    assert site.job.state is batch_job.JobState.FAILED


def test_a_trial_waits_for_the_end_of_a_spell_after_a_takeover(
    site: test_crash_bursts.BurstSite,
) -> None:
    """The former holder saw two crashes just before it ended."""
    for _ in range(2):
        site.list_crashes(site.start_on_new_worker())
    site.stepped.run_round()
    successor = batch_site.SteppedPool(
        2,
        [batch_site.job_row("j1", [batch_site.step()])],
        site.stepped.progress_rows(),
    )
    link = batch_worker.MemoryWorker(batch_site.ROOM)
    successor.poll(successor.add_worker("w9", link))
    site.clock.advance(0.1)
    assert not successor.run_round()


def test_a_crash_that_a_verdict_has_explained_is_not_one_elsewhere(
    site: test_crash_bursts.BurstSite,
) -> None:
    """Another worker took the address of the crashed one before the list."""
    site.pool.set_down_workers({})
    for _ in range(2):
        site.list_crashes(site.start_on_new_worker())
    site.clock.advance(crash_evidence.SPELL_SECONDS)
    worker = site.start_on_new_worker()
    assert worker.run_by_task
    site.pool.remove_worker(
        worker,
        batch_workers.Removal("another worker has its address", crashed=True),
    )
    site.reach_verdict()
    assert site.job.state is batch_job.JobState.FAILED
    other = add_job(site, "j2")
    (unit,) = other.unit_by_key.values()
    unit.crash_record = crash_evidence.CrashRecord(2, 2, early=2, moments=1)
    unit.lost_at = time.monotonic() - crash_evidence.SPELL_SECONDS
    site.clock.advance(crash_evidence.SPELL_SECONDS)
    site.list_crashes(worker)
    assert site.pool.may_try(
        unit, site.pool.isolated_crashes(), time.monotonic()
    )


def test_a_task_beside_a_convict_gets_no_third_start_after_three_crashes(
    site: test_crash_bursts.BurstSite,
) -> None:
    """Two tasks crash their workers, the first time the same one.

    Later the second of them does so before its start is confirmed.
    """
    other = add_job(site, "j2")
    (unit,) = other.unit_by_key.values()
    crashes = 0
    while not other.finished and crashes <= 10:
        start_on_workers(site, 2 if crashes else 1, unit if crashes else None)
        crashed = {run.worker for one in (site.unit, unit) for run in one.runs}
        crashes += bool(unit.runs)
        site.list_crashes(*crashed)
        remove_idle(site)
        site.reach_verdict()
        site.clock.advance(CALM_SECONDS if site.job.finished else 10.0)
    assert crashes - 3 <= MAX_STARTS_AFTER_THIRD_CRASH


def test_work_clears_a_task_of_a_crash_beside_a_convict(
    site: test_crash_bursts.BurstSite,
) -> None:
    """The explained crash is the only one that is known of the task."""
    site.unit.crash_record = crash_evidence.CrashRecord(explained=1)
    worker = site.start_on_new_worker()
    assert worker.run_by_task
    site.clock.advance(crash_evidence.ACQUITTAL_SECONDS)
    site.stepped.poll(worker)
    assert site.unit.crash_record == crash_evidence.NO_CRASHES


def test_a_crash_while_a_verdict_is_pending_counts(
    site: test_crash_bursts.BurstSite,
) -> None:
    """A former run's worker is listed as down 0.3 s after that of the trial.

    The leases on it had expired before, so the trial could start.
    """
    site.pool.set_down_workers({})
    site.list_crashes(site.start_on_new_worker())
    former = site.start_on_new_worker()
    memory_link(former).unreachable = True
    site.stepped.poll(former)
    site.clock.advance(crash_evidence.SPELL_SECONDS)
    site.stepped.run_round()
    assert not former.run_by_task
    trial = site.start_on_new_worker()
    assert trial.run_by_task
    versions = {trial.worker_id: trial.registered_version}
    site.clock.advance(test_crash_bursts.LIST_SECONDS)
    site.pool.set_down_workers(versions)
    versions |= {former.worker_id: former.registered_version, "elsewhere": 9}
    site.clock.advance(test_crash_bursts.LIST_SECONDS)
    site.pool.set_down_workers(versions)
    crashes = site.unit.crash_record.crashes
    assert crashes == 3
    site.reach_verdict()
    assert not site.job.finished
    assert site.unit.crash_record.crashes == crashes


def test_a_failed_end_behind_an_expired_lease_is_no_attempt(
    site: test_crash_bursts.BurstSite,
) -> None:
    """An end does not count if the worker's lease expired before its report.

    The first run fails on a worker that is cut off until its lease has expired.
    """
    worker = site.start_on_new_worker()
    (run,) = site.unit.runs
    memory_link(worker).finish(run.task, cluster.RunEndKind.FAILED)
    memory_link(worker).unreachable = True
    site.clock.advance(workers.MAX_LEASE_SECONDS / workers.MIN_CLOCK_RATE)
    site.stepped.run_round()
    assert not site.unit.runs
    memory_link(worker).unreachable = False
    site.stepped.poll(worker)
    assert worker.last_received_end == 1
    for _ in range(batch_site.QUEUE.max_attempts):
        assert not site.job.finished
        site.clock.advance(1.0)
        site.stepped.run_round()
        (run,) = site.unit.runs
        site.stepped.deliver(run.worker)
        memory_link(run.worker).finish(run.task, cluster.RunEndKind.FAILED)
        site.stepped.poll(run.worker)
        site.add_worker()
    assert site.job.state is batch_job.JobState.FAILED


def test_a_stop_that_never_reached_its_worker_is_no_move(
    site: test_crash_bursts.BurstSite,
) -> None:
    """The worker of one task is cut off, so its report of the end is missing.

    Each move raises the limit at which a task counts as slow, eight times.
    """
    cancel_first_job(site)
    job = add_job(site, "j2", 2, ALL_CORES)
    start_on_workers(site, 2)
    first, second = job.unit_by_key.values()
    (run,) = first.runs
    site.clock.advance(1.0)
    memory_link(run.worker).finish(run.task, cluster.RunEndKind.DONE)
    site.stepped.poll(run.worker)
    (run,) = second.runs
    memory_link(run.worker).unreachable = True
    site.stepped.poll(run.worker)
    assert not run.worker.is_reachable
    site.clock.advance(3.0)
    site.stepped.run_round()
    site.stepped.deliver(run.worker)
    site.clock.advance(crash_evidence.SPELL_SECONDS)
    site.stepped.run_round()
    assert run.state is batch_job.RunState.ENDED
    assert not memory_link(run.worker).stops
    assert second.moves == 0


@pytest.mark.parametrize("arrives", [True, False])
def test_a_move_counts_once_its_worker_stops_the_run(
    site: test_crash_bursts.BurstSite, arrives: bool
) -> None:
    """The worker that is cut off has just reported, so it is not silent yet."""
    cancel_first_job(site)
    job = add_job(site, "j2", 2, ALL_CORES)
    start_on_workers(site, 2)
    first, second = job.unit_by_key.values()
    (run,) = first.runs
    site.clock.advance(1.0)
    memory_link(run.worker).finish(run.task, cluster.RunEndKind.DONE)
    site.stepped.poll(run.worker)
    (run,) = second.runs
    site.clock.advance(3.0)
    site.stepped.poll(run.worker)
    memory_link(run.worker).unreachable = not arrives
    site.stepped.run_round()
    assert run.stopping
    site.stepped.deliver(run.worker)
    site.stepped.poll(run.worker)
    assert bool(memory_link(run.worker).stops) is arrives
    site.clock.advance(workers.MAX_LEASE_SECONDS / workers.MIN_CLOCK_RATE)
    site.stepped.run_round()
    assert run.state is batch_job.RunState.ENDED
    assert second.moves == arrives
