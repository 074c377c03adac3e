"""Tests of the job controller, on an in-memory platform with faults."""

from __future__ import annotations

import pytest
from returns import result

from standins import faults
from tests.machines import job_pool
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import quota
from wisteriasill.contracts import service as services
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts


@pytest.fixture
def pool(manual_clock: clocks.ManualClock) -> job_pool.Pool:
    return job_pool.Pool(manual_clock)


def test_copies_are_spread(pool: job_pool.Pool) -> None:
    """Guards against copies that share a rack or a zone without need."""
    pool.contracts = (job_pool.contract("age", copies=6),)
    pool.run(2)
    host_by_id = {host.host_id: host for host in pool.hosts}
    used = [host_by_id[job.host_id] for job in pool.jobs().values()]
    assert len({host.host_id for host in used}) == 6
    zones = [host.availability_zone for host in used]
    assert {zones.count(zone) for zone in zones} == {2}


def test_impossible_job_has_a_reason_and_blocks_nothing(
    pool: job_pool.Pool,
) -> None:
    pool.contracts = (
        job_pool.contract("huge", cores=65.0),
        job_pool.contract("small"),
    )
    pool.step().unwrap()
    jobs_by_name = pool.jobs()
    assert "needs 65 cores" in jobs_by_name["huge.1"].reason
    assert "largest host has 64 cores" in jobs_by_name["huge.1"].reason
    assert pool.running() == {"small.1"}


def test_quota_holds_across_pools(pool: job_pool.Pool) -> None:
    """Guards against two pools that each use up the whole quota."""
    pool.quotas = [services.TeamQuota("ageing", 40.0, 512.0)]
    elsewhere = quota.TeamUse("ageing", {"vial-bench": quota.Size(20.0, 8.0)})
    write = platform.Write("quotas", "ageing", documents.encode(elsewhere))
    pool.platform.table.transact([], [write]).unwrap()
    pool.contracts = (job_pool.contract("age", copies=2),)
    pool.run(3)
    assert len(pool.running()) == 1
    waiting = next(
        job
        for job in pool.jobs().values()
        if job.state is job_pool.State.WAITING
    )
    assert waiting.reason == (
        "team ageing holds 36 of 40 cores and the job needs 16"
    )
    released = platform.Write(
        "quotas",
        "ageing",
        documents.encode(elsewhere.with_pool("vial-bench", quota.NOTHING, "")),
    )
    pool.platform.table.transact([], [released]).unwrap()
    pool.run(12)
    assert len(pool.running()) == 2


def test_urgent_job_preempts_jobs_that_can_checkpoint(
    pool: job_pool.Pool,
) -> None:
    """Guards against urgent jobs that wait and victims that lose progress."""
    pool.contracts = (
        job_pool.contract("soft", cores=60.0, copies=3),
        job_pool.contract("hard", cores=60.0, copies=3, checkpoint_minutes=0),
    )
    pool.run(25)
    assert len(pool.running()) == 6
    pool.contracts += (job_pool.contract("now", cores=50.0, urgent=True),)
    pool.step().unwrap()
    assert "now.1" in pool.running()
    preempted = [
        job
        for job in pool.jobs().values()
        if job.state is job_pool.State.WAITING
    ]
    assert [job.job_id.split(".")[1] for job in preempted] == ["soft"]
    worked = float(preempted[0].checkpoint.rpartition("@")[2])
    assert worked == pytest.approx(25.0, abs=3.0)


def test_sizes_follow_reports(pool: job_pool.Pool) -> None:
    """Guards against hosts that stay idle because declared sizes are large."""
    pool.contracts = (job_pool.contract("age", cores=60.0, copies=12),)
    for copy in range(1, 13):
        pool.set_behaviour(
            f"age.{copy}", job_pool.Behaviour(cores=6.0, memory_gib=20)
        )
    pool.run(60)
    assert len(pool.running()) == 12
    pool.run(60)
    assert pool.jobs()["age.1"].cores == pytest.approx(6.6, rel=0.2)


def test_understated_memory_is_learned(pool: job_pool.Pool) -> None:
    """Guards against blaming a job whose declared memory was too small."""
    pool.contracts = (job_pool.contract("age", memory_gib=20.0, copies=8),)
    for copy in range(1, 9):
        pool.set_behaviour(f"age.{copy}", job_pool.Behaviour(memory_gib=100.0))
    pool.run(120)
    assert len(pool.running()) == 8
    kills = pool.state.tasks.memory_kills
    pool.run(120)
    assert pool.state.tasks.memory_kills == kills


def test_failing_host_is_not_blamed_on_jobs(pool: job_pool.Pool) -> None:
    failing_host = pool.hosts[0].host_id
    pool.state.set_faults(faults.Faults(failing_hosts=(failing_host,)))
    pool.contracts = (job_pool.contract("age", copies=12),)
    pool.run(90)
    assert len(pool.running()) == 12
    starts = pool.state.tasks.starts
    pool.run(30)
    assert pool.state.tasks.starts - starts <= 2
    pool.state.set_faults(faults.Faults())
    pool.contracts += (job_pool.contract("more", cores=12.0, copies=3),)
    pool.run(400)
    assert len(pool.running()) == 15
    assert failing_host in {
        task.host_id for task in pool.state.tasks.all_running()
    }


def test_failing_job_is_not_blamed_on_hosts(pool: job_pool.Pool) -> None:
    """Guards against broken jobs that eject hosts or are retried for ever."""
    pool.contracts = (
        job_pool.contract("good", copies=6),
        job_pool.contract("bad", copies=5),
    )
    for copy in range(1, 6):
        pool.set_behaviour(
            f"bad.{copy}", job_pool.Behaviour(fails_after_seconds=1.0)
        )
    pool.run(240)
    states = {key: job.state for key, job in pool.jobs().items()}
    assert {
        key for key in states if states[key] is job_pool.State.QUARANTINED
    } == {f"bad.{copy}" for copy in range(1, 6)}
    pool.contracts += (job_pool.contract("later", cores=40.0, copies=6),)
    pool.run(30)
    assert len({task.host_id for task in pool.state.tasks.all_running()}) == 6


def test_cancellation_burst_leaves_no_task(pool: job_pool.Pool) -> None:
    pool.contracts = (job_pool.contract("age", cores=8.0, copies=40),)
    pool.run(30)
    assert len(pool.running()) == 40
    pool.state.set_faults(faults.Faults(lose_answers=0.3))
    for copy in range(1, 41):
        name = f"{job_pool.POOL}.age.{copy}"
        assert any(
            _succeeded(pool.controller.cancel(pool.epoch_row, name))
            for _ in range(20)
        )
    pool.run(15)
    assert pool.running() == set()
    pool.state.set_faults(faults.Faults())
    pool.run(5)
    assert {job.state for job in pool.jobs().values()} == {
        job_pool.State.CANCELLED
    }
    unknown = pool.controller.cancel(pool.epoch_row, "none")
    assert unknown.failure().kind is errors.ErrorKind.NOT_FOUND


def _succeeded(outcome: result.Result[None, errors.Failure]) -> bool:
    return isinstance(outcome, result.Success)


def test_undeclared_job_stops_and_may_come_back(pool: job_pool.Pool) -> None:
    pool.contracts = (job_pool.contract("age"), job_pool.contract("gone"))
    pool.run(2)
    pool.contracts = pool.contracts[:1]
    pool.run(5)
    assert pool.running() == {"age.1", "gone.1"}
    pool.run(10)
    assert pool.running() == {"age.1"}
    pool.contracts = (job_pool.contract("age"), job_pool.contract("gone"))
    pool.run(2)
    assert pool.running() == {"age.1", "gone.1"}


def test_drained_host_is_emptied_with_checkpoints(pool: job_pool.Pool) -> None:
    pool.contracts = (job_pool.contract("age", copies=6),)
    pool.run(30)
    host_id = pool.hosts[0].host_id
    outcome = pool.controller.checkpoint_host(pool.epoch_row, host_id)
    assert outcome.unwrap() is True
    pool.run(5)
    tasks = pool.state.tasks.all_running()
    assert len(tasks) == 6
    assert host_id not in {task.host_id for task in tasks}
    assert min(task.worked_seconds for task in tasks) > 25


def test_tasks_of_a_lost_host_restart_after_lease_expiry(
    pool: job_pool.Pool,
) -> None:
    """Guards against second runs of tasks on a host that is unreachable.

    Such a host runs its tasks until their leases expire.
    """
    pool.contracts = (job_pool.contract("age", copies=6),)
    pool.run(90)
    pool.state.fail_host(pool.hosts[0].host_id, tasks_end=False)
    pool.hosts[0] = pool.hosts[0]._replace(state=hosts.HostState.DOWN)
    pool.run(40)
    assert len(pool.running()) == 6
    pool.run(60)
    tasks = pool.state.tasks.all_running()
    assert len({task.host_id for task in tasks}) == 5
    assert len(tasks) == 6
    assert min(task.worked_seconds for task in tasks) > 60
    assert pool.state.tasks.overlaps == 0


def test_finished_jobs_stay_finished(pool: job_pool.Pool) -> None:
    pool.contracts = (job_pool.contract("age", copies=3),)
    pool.set_behaviour("age.1", job_pool.Behaviour(run_seconds=10.0))
    pool.run(60)
    assert pool.jobs()["age.1"].state is job_pool.State.FINISHED
    assert pool.running() == {"age.2", "age.3"}


def test_overstated_job_is_tried_with_less(pool: job_pool.Pool) -> None:
    """Guards against jobs that wait for ever for resources they don't need."""
    pool.contracts = (
        job_pool.contract("age", cores=30.0, memory_gib=100.0, copies=6),
        job_pool.contract("over", cores=64.0, memory_gib=256.0),
        job_pool.contract("right", cores=8.0, memory_gib=250.0),
    )
    small = job_pool.Behaviour(cores=6.0, memory_gib=20.0)
    pool.set_behaviour("over.1", small)
    pool.set_behaviour("right.1", job_pool.Behaviour(memory_gib=250.0))
    pool.run(40)
    assert "over.1" in pool.running()
    pool.run(200)
    assert "over.1" in pool.running()
    # The other job needs its declared size: it is tried once and then waits.
    assert "right.1" not in pool.running()
    assert pool.state.tasks.memory_kills <= 1


def test_urgent_job_with_understated_memory_starts(
    pool: job_pool.Pool,
) -> None:
    """Guards against urgent jobs that are killed for lack of memory."""
    pool.contracts = (
        job_pool.contract("age", cores=10.0, memory_gib=80.0, copies=18),
    )
    pool.run(60)
    pool.contracts += (
        job_pool.contract("now", cores=4.0, memory_gib=8.0, urgent=True),
    )
    pool.set_behaviour("now.1", job_pool.Behaviour(memory_gib=80.0))
    for _ in range(20):
        pool.step()
        assert "now.1" in pool.running()
