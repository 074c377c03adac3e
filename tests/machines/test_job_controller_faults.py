"""Tests of the job controller with interruptions and former holders."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
from returns import result

from standins import faults
from tests.machines import job_pool
from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.links import platform


@pytest.fixture
def pool(manual_clock: clocks.ManualClock) -> job_pool.Pool:
    return job_pool.Pool(manual_clock)


class Interruption(NamedTuple):
    """A fault that is injected while the controller starts jobs."""

    name: str
    inject: Callable[[job_pool.Pool], None]


def _lose_answers(pool: job_pool.Pool) -> None:
    pool.state.set_faults(faults.Faults(lose_answers=0.5))
    pool.run(20)
    pool.state.set_faults(faults.Faults())


def _stop_between_row_and_task(pool: job_pool.Pool) -> None:
    """The holder ends after it wrote RUNNING and before it started the task."""
    pool.step()
    for task in pool.state.tasks.all_running():
        pool.state.tasks.clear_host(task.host_id)
    pool.take_over()


def _take_over_twice(pool: job_pool.Pool) -> None:
    pool.step()
    pool.take_over()
    pool.run(3)
    pool.take_over()


def _stale_reads(pool: job_pool.Pool) -> None:
    pool.run(5)
    pool.state.set_faults(faults.Faults(old_reads_seconds=4.0))
    pool.take_over()
    pool.run(3)
    pool.state.set_faults(faults.Faults())


def _outage(pool: job_pool.Pool) -> None:
    pool.run(5)
    pool.state.set_faults(faults.Faults(down=True))
    pool.run(200)
    pool.state.set_faults(faults.Faults())


INTERRUPTIONS = (
    Interruption("lost answers", _lose_answers),
    Interruption("stop before start", _stop_between_row_and_task),
    Interruption("two takeovers", _take_over_twice),
    Interruption("stale reads", _stale_reads),
    Interruption("outage", _outage),
)


@pytest.mark.parametrize("case", INTERRUPTIONS, ids=lambda case: case.name)
def test_interruptions(pool: job_pool.Pool, case: Interruption) -> None:
    """Guards against interruptions that lose a job or run it twice at once."""
    pool.contracts = (job_pool.contract("age", cores=8.0, copies=12),)
    case.inject(pool)
    pool.run(60)
    assert len(pool.running()) == 12
    assert pool.state.tasks.overlaps == 0


@pytest.mark.parametrize("drained", [False, True])
def test_late_start_of_former_holder_is_refused(
    pool: job_pool.Pool, drained: bool
) -> None:
    """Guards against a second task by a holder paused before the start."""
    pool.contracts = (job_pool.contract("age"),)
    delayed_calls: list[Callable[[], Any]] = []
    start = pool.platform.start_task

    def pause(host_id: str, order: platform.TaskOrder) -> Any:
        delayed_calls.append(lambda: start(host_id, order))
        return result.Failure(
            errors.failure(errors.ErrorKind.STORE_OUTCOME_UNKNOWN, "paused")
        )

    pool.platform.start_task = pause  # type: ignore[method-assign]
    pool.step()
    pool.platform.start_task = start  # type: ignore[method-assign]
    pool.take_over()
    if drained:
        host_id = pool.jobs()["age.1"].host_id
        pool.controller.checkpoint_host(pool.epoch_row, host_id).unwrap()
    pool.run(3)
    assert pool.running() == {"age.1"}
    assert pool.jobs()["age.1"].epoch == (2 if drained else 1)
    assert delayed_calls.pop()().failure().kind is errors.ErrorKind.CONFLICT
    assert pool.state.tasks.overlaps == 0


def test_writes_of_former_holder_are_refused(pool: job_pool.Pool) -> None:
    """Guards against writes of a former holder to otherwise unchanged rows."""
    pool.contracts = (job_pool.contract("age"),)
    pool.run(2)
    former, former_row = pool.controller, pool.epoch_row
    pool.take_over()
    late = former.cancel(former_row, f"{job_pool.POOL}.age.1")
    assert late.failure().kind is errors.ErrorKind.CONFLICT
    assert pool.jobs()["age.1"].state is job_pool.State.RUNNING


def test_cancelled_job_on_lost_host_stops_at_lease_expiry(
    pool: job_pool.Pool,
) -> None:
    """Guards against a row that says CANCELLED while the task still runs."""
    pool.contracts = (job_pool.contract("age"),)
    pool.run(30)
    host_id = pool.jobs()["age.1"].host_id
    pool.state.fail_host(host_id, tasks_end=False)
    name = f"{job_pool.POOL}.age.1"
    pool.controller.cancel(pool.epoch_row, name).unwrap()
    for _ in range(90):
        pool.step()
        running = "age.1" in pool.running()
        stopping = pool.jobs()["age.1"].state is job_pool.State.STOPPING
        assert stopping or not running
    assert pool.jobs()["age.1"].state is job_pool.State.CANCELLED


def test_the_end_of_a_task_outlives_a_refused_write(
    pool: job_pool.Pool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A task that was done was started again on a worker that had restarted."""
    pool.contracts = (job_pool.contract("age"),)
    pool.set_behaviour("age.1", job_pool.Behaviour(run_seconds=5.0))
    table, start = pool.platform.table, pool.platform.start_task
    transact = table.transact
    starts: list[str] = []
    refused: list[bool] = []

    def refuse_end(conditions: Any, writes: Any) -> Any:
        ends = any(
            write.value.get("state") == job_pool.State.FINISHED.value
            for write in writes
        )
        if not ends or refused:
            return transact(conditions, writes)
        refused.append(True)
        for host in pool.hosts:
            pool.state.tasks.clear_host(host.host_id)
        return result.Failure(
            errors.failure(errors.ErrorKind.STORE_UNAVAILABLE, "injected")
        )

    def record_start(host_id: str, order: platform.TaskOrder) -> Any:
        starts.append(order.task_id)
        return start(host_id, order)

    monkeypatch.setattr(table, "transact", refuse_end)
    monkeypatch.setattr(pool.platform, "start_task", record_start)
    pool.run(30)
    assert refused
    assert len(starts) == 1


class RefusedEnd(NamedTuple):
    """What a pool did around a refused write of a job's end.

    Attributes:
        refused: Times of the refused writes.
        starts: Tasks that were started.
    """

    refused: list[float]
    starts: list[str]


RefuseEnd = Callable[[job_pool.State], RefusedEnd]


@pytest.fixture
def refuse_end(
    pool: job_pool.Pool, monkeypatch: pytest.MonkeyPatch
) -> RefuseEnd:
    """Returns a function that has the next write of a state refused.

    All workers restart with it and know no tasks.
    """
    table, start = pool.platform.table, pool.platform.start_task
    transact = table.transact

    def refuse(state: job_pool.State) -> RefusedEnd:
        observed = RefusedEnd([], [])

        def refuse_once(conditions: Any, writes: Any) -> Any:
            if observed.refused or not any(
                write.value.get("state") == state.value for write in writes
            ):
                return transact(conditions, writes)
            observed.refused.append(pool.clock.monotonic())
            for host in pool.hosts:
                pool.state.tasks.clear_host(host.host_id)
            return result.Failure(
                errors.failure(errors.ErrorKind.STORE_UNAVAILABLE, "injected")
            )

        def record_start(host_id: str, order: platform.TaskOrder) -> Any:
            observed.starts.append(order.task_id)
            return start(host_id, order)

        monkeypatch.setattr(table, "transact", refuse_once)
        monkeypatch.setattr(pool.platform, "start_task", record_start)
        return observed

    return refuse


def test_a_stopped_task_is_not_started_after_a_refused_write(
    pool: job_pool.Pool, refuse_end: RefuseEnd
) -> None:
    """The end of a cancelled task was forgotten, so it was started again."""
    pool.contracts = (job_pool.contract("age"),)
    observed = refuse_end(job_pool.State.CANCELLED)
    pool.run(3)
    pool.controller.cancel(pool.epoch_row, f"{job_pool.POOL}.age.1").unwrap()
    pool.run(10)
    assert observed.refused
    assert len(observed.starts) == 1
    assert pool.jobs()["age.1"].state is job_pool.State.CANCELLED


def test_a_drained_host_does_not_run_a_task_again_whose_end_is_not_stored(
    pool: job_pool.Pool, refuse_end: RefuseEnd
) -> None:
    pool.contracts = (job_pool.contract("age"),)
    pool.set_behaviour("age.1", job_pool.Behaviour(run_seconds=5.0))
    observed = refuse_end(job_pool.State.FINISHED)
    while not observed.refused:
        pool.step()
    for host in pool.hosts:
        pool.controller.checkpoint_host(pool.epoch_row, host.host_id).unwrap()
    pool.run(40)
    assert len(observed.starts) == 1
    assert pool.jobs()["age.1"].state is job_pool.State.FINISHED
