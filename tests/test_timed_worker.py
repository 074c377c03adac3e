"""Tests of the timed worker, whose run log the soak test checks."""

from __future__ import annotations

import threading
import time

import pytest

from standins import timed_worker
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster

TASK = job_spec.TaskKey("j1", 0, 0, 0)
CAPACITY = job_spec.Resources(4000, 1000, 0)


@pytest.fixture
def log() -> timed_worker.RunLog:
    return timed_worker.RunLog()


@pytest.fixture
def first(log: timed_worker.RunLog) -> timed_worker.TimedWorker:
    return timed_worker.TimedWorker("w1", CAPACITY, log)


@pytest.fixture
def second(log: timed_worker.RunLog) -> timed_worker.TimedWorker:
    return timed_worker.TimedWorker("w2", CAPACITY, log)


def order(run: int, task_ms: int, lease_ms: int) -> cluster.StartOrder:
    return cluster.StartOrder(TASK, run, str(task_ms), lease_ms, 1)


@pytest.mark.parametrize(
    ("task_ms", "lease_ms", "violations"),
    [(50, 9000, 0), (9000, 50, 0), (9000, 9000, 1)],
    ids=["run finished", "lease expired", "still running"],
)
def test_a_run_counts_until_its_time_or_its_lease_ends(
    log: timed_worker.RunLog,
    first: timed_worker.TimedWorker,
    second: timed_worker.TimedWorker,
    task_ms: int,
    lease_ms: int,
    violations: int,
) -> None:
    """A run that is over must not count as concurrent with a new run.

    In soak seed 3, the holder was paused for 4 s, so no call recorded the end
    of the run.
    """
    assert first.start(order(1, task_ms, lease_ms)).outcome is (
        cluster.OrderOutcome.DONE
    )
    time.sleep(0.1)
    second.start(order(2, 50, 9000))
    assert len(log.violations) == violations


def test_a_run_that_would_have_outlived_its_lease_is_not_done(
    log: timed_worker.RunLog, first: timed_worker.TimedWorker
) -> None:
    """The lease counts although the worker is called only after both ends."""
    first.start(order(1, 100, 50))
    time.sleep(0.15)
    report = first.poll(1, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    assert [end.kind for end in report.ends] == [cluster.RunEndKind.LAPSED]


@pytest.mark.parametrize(
    ("lease_ms", "violations"),
    [(9000, 1), (150, 0)],
    ids=["lease held", "lease expired before the acknowledgement"],
)
def test_a_start_between_an_end_and_its_acknowledgement(
    log: timed_worker.RunLog,
    first: timed_worker.TimedWorker,
    second: timed_worker.TimedWorker,
    lease_ms: int,
    violations: int,
) -> None:
    first.start(order(1, 50, lease_ms))
    time.sleep(0.1)
    report = first.poll(1, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    second.start(order(2, 9000, 9000))
    time.sleep(0.1)
    first.poll(1, report.ends[-1].number, None, 0.0)
    assert len(log.violations) == violations


def test_a_worker_is_back_under_its_id_after_a_while(
    log: timed_worker.RunLog, first: timed_worker.TimedWorker
) -> None:
    first.start(order(1, 9000, 9000))
    former_ms = first.started_ms
    first.crash(0.2)
    assert not first.down
    assert first.started_ms >= former_ms + 200
    report = first.poll(1, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    assert not report.runs
    assert [run_event.event for run_event in log.run_events] == [
        "start",
        "crash",
    ]


def test_a_run_goes_on_for_a_while_after_its_stop(
    log: timed_worker.RunLog,
    first: timed_worker.TimedWorker,
    second: timed_worker.TimedWorker,
) -> None:
    first.max_stop_seconds = 0.5
    first.start(order(1, 9000, 9000))
    assert first.stop(TASK, 1, 1).outcome is cluster.OrderOutcome.DONE
    second.start(order(2, 9000, 9000))
    assert log.violations
    time.sleep(0.5)
    report = first.poll(1, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    assert [end.kind for end in report.ends] == [cluster.RunEndKind.STOPPED]


def test_a_slow_stop_is_fenced(first: timed_worker.TimedWorker) -> None:
    first.max_stop_seconds = 0.5
    first.start(order(1, 9000, 9000)._replace(fencing_epoch=2))
    assert first.stop(TASK, 1, 1).outcome is cluster.OrderOutcome.FENCED


def test_a_start_counts_from_its_execution(
    log: timed_worker.RunLog, first: timed_worker.TimedWorker
) -> None:
    """A start whose record waits for the log began before its end.

    In soak seed 9643, the record of a start was later than that of its end.
    """
    other = TASK._replace(position=1)
    first.start(order(1, 9000, 9000)._replace(task=other))
    with log.lock:
        starting = threading.Thread(
            target=first.start, args=(order(1, 50, 9000),)
        )
        starting.start()
        time.sleep(0.1)
    starting.join()
    report = first.poll(1, 0, None, 1.0)
    assert isinstance(report, cluster.WorkerReport)
    first.poll(1, report.ends[-1].number, None, 0.0)
    assert not log.violations
