"""Property test of the job controller under random faults."""

from __future__ import annotations

from collections.abc import Callable

import hypothesis
from hypothesis import strategies

from standins import faults
from tests.machines import job_pool
from wisteriasill import clock as clocks
from wisteriasill.contracts import jobs
from wisteriasill.machines import host as hosts

COPIES = 10
Act = Callable[[job_pool.Pool, int], None]


def _run(pool: job_pool.Pool, number: int) -> None:
    pool.run(1 + 7 * number)


def _take_over(pool: job_pool.Pool, _number: int) -> None:
    pool.take_over()


def _lose_answers(pool: job_pool.Pool, number: int) -> None:
    share = 0.1 * number
    pool.state.set_faults(faults.Faults(lose_answers=share))


def _go_down(pool: job_pool.Pool, _number: int) -> None:
    pool.state.set_faults(faults.Faults(down=True))


def _read_old(pool: job_pool.Pool, number: int) -> None:
    pool.state.set_faults(faults.Faults(old_reads_seconds=2.0 * number))


def _fail_tasks(pool: job_pool.Pool, number: int) -> None:
    failing = (pool.hosts[number].host_id,)
    pool.state.set_faults(faults.Faults(failing_hosts=failing))


def _cut_off(pool: job_pool.Pool, number: int) -> None:
    pool.state.fail_host(pool.hosts[number].host_id, tasks_end=False)


def _restore(pool: job_pool.Pool, number: int) -> None:
    pool.state.restore_host(pool.hosts[number].host_id)


def _reboot(pool: job_pool.Pool, number: int) -> None:
    pool.platform.reboot_host(pool.hosts[number].host_id)


def _drain(pool: job_pool.Pool, number: int) -> None:
    host_id = pool.hosts[number].host_id
    pool.controller.checkpoint_host(pool.epoch_row, host_id)


def _cancel(pool: job_pool.Pool, number: int) -> None:
    name = f"{job_pool.POOL}.age.{number + 1}"
    pool.controller.cancel(pool.epoch_row, name)


ACTS: tuple[Act, ...] = (
    _run,
    _take_over,
    _lose_answers,
    _go_down,
    _read_old,
    _fail_tasks,
    _cut_off,
    _restore,
    _reboot,
    _drain,
    _cancel,
)


@hypothesis.settings(
    derandomize=True, max_examples=25, deadline=None, database=None
)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(ACTS), strategies.integers(0, 5)
        ),
        min_size=4,
        max_size=14,
    )
)
@hypothesis.example(
    # Two hosts that had run tasks properly go bad one after the other.
    steps=[
        (_run, 0),
        (_run, 0),
        (_run, 0),
        (_fail_tasks, 3),
        (_drain, 0),
        (_go_down, 0),
        (_run, 0),
        (_fail_tasks, 5),
    ]
)
def test_sequences(steps: list[tuple[Act, int]]) -> None:
    """No job runs twice at once, and every job reaches its final state."""
    pool = job_pool.Pool(clocks.ManualClock())
    pool.contracts = (job_pool.contract("age", cores=8.0, copies=COPIES),)
    pool.run(3)
    for act, number in steps:
        act(pool, number)
        pool.run(2)
    pool.state.set_faults(faults.Faults())
    for host in pool.hosts:
        listed = pool.state.host(host.host_id)
        if listed is not None and listed.state == "down":
            pool.state.restore_host(host.host_id)
    pool.run(200)
    found = pool.jobs()
    over = (jobs.JobState.CANCELLED, jobs.JobState.QUARANTINED)
    assert pool.running() == {
        name for name, job in found.items() if job.state not in over
    }
    assert not any(
        job.state is jobs.JobState.QUARANTINED for job in found.values()
    )
    assert len(found) == COPIES
    assert pool.state.tasks.overlaps == 0
    assert {host.state for host in pool.hosts} == {hosts.HostState.SERVING}
