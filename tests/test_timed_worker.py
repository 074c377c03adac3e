"""Tests of the timed worker, whose run log the soak test checks."""

from __future__ import annotations

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
