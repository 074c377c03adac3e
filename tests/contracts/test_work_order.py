"""Tests of the order of waiting jobs, by replays of loads at their worst."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from typing import NamedTuple

import pytest

from wisteriasill.contracts import work_order

WORK = work_order.WaitingWork(
    job_id="a",
    priority=1,
    lasting=False,
    age_seconds=0.5,
    objective_seconds=3.0,
    critical_path_seconds=1.0,
    core_seconds=10.0,
    value=1.0,
)
CORES = 1000.0  # Enough for all jobs of a test to end in time.


class Served(NamedTuple):
    """How the jobs of a replayed load ended."""

    in_time: int
    late: int
    too_late: int


def order_of(
    jobs: list[work_order.WaitingWork], cores: float = CORES
) -> tuple[str, ...]:
    return work_order.schedule(jobs, cores).job_ids


@pytest.fixture
def replay() -> Callable[..., Served]:
    """Returns a function that runs equal jobs on one core, one at a time."""

    def run(
        overload: float, seconds: float, task_seconds: float = 0.15
    ) -> Served:
        gap_seconds = task_seconds / overload
        arrivals = [
            number * gap_seconds for number in range(int(seconds / gap_seconds))
        ]
        budget = work_order.RescueBudget()
        now = 0.0
        waiting: list[float] = []
        ages: list[float] = []
        while arrivals or waiting:
            if not waiting:
                now = max(now, arrivals[0])
            arrived_count = bisect.bisect_right(arrivals, now)
            waiting += arrivals[:arrived_count]
            arrivals = arrivals[arrived_count:]
            budget.refill(1.0, now)
            schedule = work_order.schedule(
                (
                    WORK._replace(
                        job_id=str(at),
                        age_seconds=now - at,
                        critical_path_seconds=task_seconds,
                        core_seconds=task_seconds,
                    )
                    for at in waiting
                ),
                1.0,
                rescue_core_seconds=budget.core_seconds,
            )
            first = schedule.job_ids[0]
            outlook = schedule.outlook_by_id[first]
            if outlook is work_order.Outlook.RESCUED:
                budget.spend(task_seconds)
            waiting.remove(float(first))
            now += task_seconds
            ages.append(now - float(first))
        objective = WORK.objective_seconds
        useful = work_order.USEFUL_FACTOR * objective
        return Served(
            sum(age <= objective for age in ages),
            sum(objective < age <= useful for age in ages),
            sum(age > useful for age in ages),
        )

    return run


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (WORK._replace(lasting=True), WORK._replace(priority=0)),
        (WORK._replace(priority=0), WORK),
        (WORK._replace(age_seconds=1.5), WORK),
        (WORK._replace(core_seconds=2.0), WORK),
        (WORK._replace(value=2.0), WORK),
        (WORK._replace(age_seconds=10.0), WORK._replace(age_seconds=9.0)),
        (WORK._replace(age_seconds=6.0), WORK._replace(age_seconds=9.0)),
        (WORK._replace(age_seconds=5.0), WORK._replace(age_seconds=4.0)),
        (WORK, WORK._replace(age_seconds=4.0)),
    ],
    ids=[
        "lasting",
        "priority",
        "earliest objective",
        "little work remains",
        "more value",
        "oldest of no use",
        "late before of no use",
        "oldest late",
        "in time before late",
    ],
)
def test_order_of_two_jobs(
    first: work_order.WaitingWork, second: work_order.WaitingWork
) -> None:
    jobs = [second._replace(job_id="b"), first]
    assert order_of(jobs) == ("a", "b")


def test_a_peak_finishes_more_in_time_than_fifo() -> None:
    """Small jobs must come first when only some meet their objective.

    Ten of the twenty jobs for one core are small enough to finish in time.
    """
    jobs = [
        WORK._replace(
            job_id=str(number),
            core_seconds=size,
            critical_path_seconds=size,
            value=work_order.value_of(size, 1.1),
            age_seconds=0.0,
        )
        for number, size in enumerate((2.0, 0.2) * 10)
    ]
    job_by_id = {job.job_id: job for job in jobs}

    def in_time(order: list[work_order.WaitingWork]) -> int:
        done_at, count = 0.0, 0
        for job in order:
            done_at += job.core_seconds
            count += done_at <= job.objective_seconds
        return count

    ranked = [job_by_id[job_id] for job_id in order_of(jobs, 1.0)]
    assert in_time(ranked) >= 4 * in_time(jobs)


def test_a_peak_leaves_no_job_until_it_is_of_no_use(
    replay: Callable[..., Served],
) -> None:
    """No job may wait at a peak until it is of no use.

    One core gets one and a half times its capacity for ten seconds. In scenario
    scale-1 on the small Kochi site, 16 of 1,000 jobs were of no use when all
    jobs in time came before all late ones, and none when the earliest objective
    came first.
    """
    assert replay(1.5, 10.0).too_late == 0


@pytest.mark.parametrize(
    ("overload", "seconds"), [(1.5, 10.0), (3.0, 4.0), (3.0, 8.0), (5.0, 4.0)]
)
def test_an_overload_serves_as_many_in_time_as_fit(
    replay: Callable[..., Served], overload: float, seconds: float
) -> None:
    """An overload must not make every job late.

    On mixed days with threefold traffic at Shila Hire, 5 of 153 quick quotes
    ended in time when the earliest objective came first. At most the capacity
    from the first arrival to the last objective can be in time.
    """
    fit = (seconds + WORK.objective_seconds) / 0.15
    submitted = overload * seconds / 0.15
    assert replay(overload, seconds).in_time >= 0.8 * min(fit, submitted)


def test_a_few_wide_jobs_do_not_make_many_short_ones_late() -> None:
    """Wide jobs whose objective ends first must not block short ones."""
    wide = [
        WORK._replace(job_id=f"w{number}", core_seconds=40.0, value=1.2)
        for number in range(3)
    ]
    short = [
        WORK._replace(job_id=f"s{number}", core_seconds=2.0, age_seconds=0.0)
        for number in range(25)
    ]
    schedule = work_order.schedule([*wide, *short], 20.0)
    assert all(
        schedule.outlook_by_id[job.job_id] is work_order.Outlook.IN_TIME
        for job in short
    )
    assert {*schedule.job_ids[-3:]} == {job.job_id for job in wide}


def test_a_lower_priority_is_deferred_first() -> None:
    low = WORK._replace(job_id="low", priority=2, core_seconds=1.0)
    high = WORK._replace(job_id="high", priority=0, core_seconds=24.0)
    schedule = work_order.schedule([low, high], 10.0)
    assert schedule.outlook_by_id["high"] is work_order.Outlook.IN_TIME
    assert schedule.job_ids == ("high", "low")


def test_a_backlog_serves_jobs_that_are_still_of_use_first() -> None:
    """After an outage, jobs that are still of use must come first.

    The jobs of the first seconds of the backlog are of no use any more.
    """
    jobs = [
        WORK._replace(job_id=str(age), age_seconds=age / 2, core_seconds=1.0)
        for age in range(20)
    ]
    job_by_id = {job.job_id: job for job in jobs}

    def useful(order: list[work_order.WaitingWork]) -> int:
        return sum(
            job.age_seconds + done_at
            <= work_order.USEFUL_FACTOR * job.objective_seconds
            for done_at, job in enumerate(order, 1)
        )

    ranked = [job_by_id[job_id] for job_id in order_of(jobs, 1.0)]
    oldest_first = sorted(jobs, key=lambda job: -job.age_seconds)
    assert useful(ranked) > useful(oldest_first)


def test_a_rescued_job_comes_first_within_the_budget_only() -> None:
    late = [
        WORK._replace(job_id=f"late{number}", age_seconds=7.5)
        for number in range(3)
    ]
    jobs = [WORK, *late]
    within = work_order.schedule(jobs, CORES, rescue_core_seconds=15.0)
    assert [*within.outlook_by_id.values()].count(
        work_order.Outlook.RESCUED
    ) == 2
    assert within.job_ids[2] == "a"
    assert work_order.schedule(jobs, CORES).job_ids[0] == "a"


def test_a_pool_without_workers_has_an_endless_backlog() -> None:
    schedule = work_order.schedule([WORK], 0.0)
    assert schedule.backlog(0.0).useful_seconds > 1e9
    assert schedule.job_ids == ("a",)
