"""Tests of jobs that are turned away, and of what makes that true."""

from __future__ import annotations

from collections.abc import Callable
import time

import pytest
from returns import result

from standins import row_store
from tests.machines import batch_site
from wisteriasill import errors
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import overload_policy
from wisteriasill.contracts import work_order
from wisteriasill.machines import batch_tables
from wisteriasill.machines import job_api

JOB = "5c0e7a21d94b36f8"
SPEC = job_spec.JobSpec("text", (batch_site.step(2),))
FULL = overload_policy.ObservedBacklog(
    overload_policy.PublishedBacklog(
        work_order.Backlog(9.0, 3.0, 60.0, 1.0),
        0.0,
        {batch_site.QUEUE.name: overload_policy.QueueNorm(2.0, 1.0)},
    ),
    0.1,
)


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    return row_store.MemoryRowStore()


@pytest.fixture
def backlogs() -> dict[str, overload_policy.ObservedBacklog]:
    return {batch_site.SERVICE: FULL}


@pytest.fixture
def api(
    store: row_store.MemoryRowStore,
    backlogs: dict[str, overload_policy.ObservedBacklog],
) -> job_api.JobApi:
    return job_api.JobApi(store, view_backlog=backlogs.get)


@pytest.fixture
def wait_until_due(
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[[float], None]:
    """Returns a function that moves the wall clock ahead."""

    def move(seconds: float) -> None:
        later = time.time() + seconds
        monkeypatch.setattr(time, "time", lambda: later)

    return move


def submit(
    api: job_api.JobApi, spec: job_spec.JobSpec = SPEC
) -> job_api.Outcome:
    return api.submit(batch_site.QUEUE, JOB, spec, time.monotonic() + 1.0)


def jobs_of(store: row_store.MemoryRowStore) -> list[str]:
    """Returns the jobs that a pool's holder would run."""
    records = batch_tables.read_records(store, batch_site.SERVICE)
    assert records is not None
    return [*batch_site.SteppedPool(records=records.rows).pool.job_by_id]


def test_a_job_of_no_use_is_refused_at_once_with_a_time(
    api: job_api.JobApi, store: row_store.MemoryRowStore
) -> None:
    began = time.monotonic()
    failure = submit(api).failure()
    assert time.monotonic() - began < 0.2
    assert failure.kind is errors.ErrorKind.OVERLOADED
    assert failure.executed is errors.Executed.NO
    assert failure.answer.status == 503
    assert failure.retry_after_seconds
    assert not jobs_of(store)
    gone = api.state(batch_site.QUEUE, JOB).failure()
    assert gone.kind is errors.ErrorKind.NO_SUCH_JOB
    cancelled = api.cancel(batch_site.QUEUE, JOB, time.monotonic() + 1)
    assert cancelled.failure().kind is errors.ErrorKind.NO_SUCH_JOB


def test_an_accepted_job_is_never_refused_later(
    api: job_api.JobApi,
    store: row_store.MemoryRowStore,
    backlogs: dict[str, overload_policy.ObservedBacklog],
) -> None:
    backlogs.clear()
    assert isinstance(submit(api), result.Success)
    backlogs[batch_site.SERVICE] = FULL
    assert isinstance(submit(api), result.Success)
    assert jobs_of(store) == [JOB]


def test_an_earlier_submission_that_arrives_late_does_not_run(
    api: job_api.JobApi,
    store: row_store.MemoryRowStore,
    backlogs: dict[str, overload_policy.ObservedBacklog],
) -> None:
    """A refusal must stay true if the store carries out a call late."""
    backlogs.clear()
    store.delayed_writes = 100
    unknown = api.submit(
        batch_site.QUEUE, JOB, SPEC, time.monotonic() + 0.4
    ).failure()
    assert unknown.executed is errors.Executed.UNKNOWN
    store.delayed_writes = 0
    backlogs[batch_site.SERVICE] = FULL
    assert submit(api).failure().executed is errors.Executed.NO
    store.deliver_delayed()
    assert not jobs_of(store)


def test_a_caller_that_returns_on_time_is_let_in(
    api: job_api.JobApi,
    store: row_store.MemoryRowStore,
    wait_until_due: Callable[[float], None],
) -> None:
    seconds = submit(api).failure().retry_after_seconds
    assert seconds is not None
    wait_until_due(seconds)
    assert isinstance(submit(api), result.Success)
    assert isinstance(submit(api), result.Success)
    assert jobs_of(store) == [JOB]


def test_a_caller_that_returns_early_is_refused_again_truly(
    api: job_api.JobApi,
    store: row_store.MemoryRowStore,
    backlogs: dict[str, overload_policy.ObservedBacklog],
) -> None:
    first = submit(api).failure()
    backlogs.clear()
    store.delayed_writes = 100
    api.submit(batch_site.QUEUE, JOB, SPEC, time.monotonic() + 0.4)
    store.delayed_writes = 0
    backlogs[batch_site.SERVICE] = FULL
    again = submit(api).failure()
    assert again.executed is errors.Executed.NO
    assert again.retry_after_seconds == first.retry_after_seconds
    store.deliver_delayed()
    assert not jobs_of(store)


def test_without_the_store_a_refusal_is_not_claimed(
    api: job_api.JobApi, store: row_store.MemoryRowStore
) -> None:
    store.down = True
    assert submit(api).failure().executed is errors.Executed.UNKNOWN


@pytest.mark.parametrize(
    "spec",
    [
        SPEC._replace(steps=(batch_site.step(2, lasting=True),)),
        SPEC._replace(steps=(batch_site.step(2, label="gpu"),)),
        SPEC._replace(occurrences=3, interval_ms=1000),
    ],
    ids=["lasting", "certain workers", "timed"],
)
def test_jobs_that_the_backlog_says_nothing_about_are_accepted(
    api: job_api.JobApi, spec: job_spec.JobSpec
) -> None:
    assert isinstance(submit(api, spec), result.Success)
