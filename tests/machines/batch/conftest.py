"""Fixtures of the pool tests: a manually driven pool and two workers."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)


@pytest.fixture
def link() -> batch_worker.MemoryWorker:
    return batch_worker.MemoryWorker(batch_site.ROOM)


@pytest.fixture
def other_link() -> batch_worker.MemoryWorker:
    return batch_worker.MemoryWorker(batch_site.ROOM)


@pytest.fixture
def site() -> batch_site.SteppedPool:
    return batch_site.SteppedPool()


@pytest.fixture
def started(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> Callable[..., workers.Worker]:
    """Returns a function that starts the tasks of a job on one worker."""

    def start(*steps: job_spec.StepSpec) -> workers.Worker:
        worker = site.add_worker("w1", link)
        site.poll(worker)
        site.pool.on_record(batch_site.job_row("j1", steps))
        site.run_round()
        site.deliver(worker)
        site.poll(worker)
        return worker

    return start
