"""Tests of which jobs are turned away, by replays of overloads."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import math
from typing import NamedTuple

import pytest
import xxhash

from wisteriasill.contracts import arrival_rate
from wisteriasill.contracts import overload_policy
from wisteriasill.contracts import work_order

TASK_SECONDS = 0.15
OBJECTIVE_SECONDS = 3.0
USEFUL_SECONDS = work_order.USEFUL_FACTOR * OBJECTIVE_SECONDS
# A backlog reaches the nodes so late: a heartbeat and a read.
PUBLICATION_SECONDS = 0.9
ROUND_SECONDS = 0.05
NORM = overload_policy.QueueNorm(TASK_SECONDS, 1.0)
JOB = overload_policy.NewJob("q", 0.9, TASK_SECONDS, TASK_SECONDS, 0.0, 3.0)
FULL = work_order.Backlog(3.0, 2.0, 24.0, TASK_SECONDS)


def observed(
    backlog: work_order.Backlog, age_seconds: float = 0.1, share: float = 0.4
) -> overload_policy.ObservedBacklog:
    return overload_policy.ObservedBacklog(
        overload_policy.PublishedBacklog(backlog, share, {"q": NORM}),
        age_seconds,
    )


class Outcome(NamedTuple):
    """What became of the jobs of a replayed load, by number of jobs."""

    in_time: int
    late: int
    of_no_use: int
    accepted_at: list[float]
    turned_away_at: list[float]


@pytest.fixture
def replay() -> Callable[..., Outcome]:
    """Returns a function that runs equal jobs on one core.

    Jobs are placed by the order of work, as the pool's holder does, and turned
    away by a backlog that reaches the nodes late. Callers return when they were
    told to, and their jobs' ages count from the first time.
    """

    def run(overload: float, seconds: float, turns_away: bool) -> Outcome:
        gap_seconds = TASK_SECONDS / overload
        arrivals = [
            number * gap_seconds for number in range(int(seconds / gap_seconds))
        ]
        window = overload_policy.BacklogWindow(-math.inf)
        offered = arrival_rate.ArrivalRate(arrival_rate.SLOW_SPAN_SECONDS)
        published: list[tuple[float, work_order.Backlog, float]] = []
        waiting: list[float] = []
        returning: list[tuple[float, float]] = []
        accepted: list[float] = []
        ages: list[float] = []
        turned_away: list[float] = []
        now, free_at = 0.0, 0.0
        while arrivals or waiting or returning:
            while returning and returning[0][0] <= now:
                waiting.append(heapq.heappop(returning)[1])
                offered.add(TASK_SECONDS, now)
            while arrivals and arrivals[0] <= now:
                at = arrivals.pop(0)
                offered.add(TASK_SECONDS, now)
                seen = [
                    observed(backlog, share=share)
                    for read_at, backlog, share in published
                    if read_at <= now - PUBLICATION_SECONDS
                ]
                rank = xxhash.xxh32_intdigest(str(at).encode()) / 2**32
                wait_seconds = (
                    overload_policy.seconds_until_useful(
                        JOB._replace(rank=rank), seen[-1]
                    )
                    if turns_away and seen
                    else None
                )
                if wait_seconds is None:
                    accepted.append(at)
                    waiting.append(at)
                    continue
                turned_away.append(at)
                retry_seconds = overload_policy.retry_after_seconds(
                    wait_seconds, rank
                )
                heapq.heappush(returning, (at + retry_seconds, at))
            schedule = work_order.schedule(
                (
                    work_order.WaitingWork(
                        str(at),
                        0,
                        False,
                        now - at,
                        OBJECTIVE_SECONDS,
                        TASK_SECONDS,
                        TASK_SECONDS,
                        1.0,
                    )
                    for at in waiting
                ),
                1.0,
                max(0.0, free_at - now),
            )
            window.add(schedule.backlog(1.0), now)
            share = overload_policy.admitted_share(1.0, offered.per_second(now))
            published.append((now, window.least, share))
            if waiting and free_at <= now:
                first = float(schedule.job_ids[0])
                waiting.remove(first)
                free_at = now + TASK_SECONDS
                ages.append(free_at - first)
            now += ROUND_SECONDS
        return Outcome(
            sum(age <= OBJECTIVE_SECONDS for age in ages),
            sum(OBJECTIVE_SECONDS < age <= USEFUL_SECONDS for age in ages),
            sum(age > USEFUL_SECONDS for age in ages),
            accepted,
            turned_away,
        )

    return run


@pytest.mark.parametrize("overload", [3.0, 5.0])
def test_an_overload_turns_away_what_would_be_of_no_use(
    replay: Callable[..., Outcome], overload: float
) -> None:
    """Callers must learn at once that a job can't be served.

    Under threefold traffic for 16 s half of all jobs ended when they were of no
    use, and their callers had waited for them.
    """
    accepting = replay(overload, 16.0, turns_away=False)
    refusing = replay(overload, 16.0, turns_away=True)
    answered_at_once = len(refusing.turned_away_at)
    assert refusing.of_no_use - answered_at_once < accepting.of_no_use


@pytest.mark.parametrize("overload", [1.5, 3.0, 5.0])
@pytest.mark.parametrize("seconds", [4.0, 8.0, 16.0])
def test_what_is_turned_away_costs_nobody_an_answer_in_time(
    replay: Callable[..., Outcome], overload: float, seconds: float
) -> None:
    accepting = replay(overload, seconds, turns_away=False)
    refusing = replay(overload, seconds, turns_away=True)
    assert refusing.in_time >= 0.97 * accepting.in_time
    assert (
        refusing.in_time + refusing.late
        >= accepting.in_time + accepting.late - 2
    )


def test_the_first_seconds_of_a_peak_are_accepted(
    replay: Callable[..., Outcome],
) -> None:
    """Hosts are on their way then, and nobody knows how many."""
    outcome = replay(5.0, 16.0, turns_away=True)
    assert min(outcome.turned_away_at) >= overload_policy.HOST_ARRIVAL_SECONDS


def test_a_usual_peak_is_accepted(replay: Callable[..., Outcome]) -> None:
    assert not replay(2.0, 6.0, turns_away=True).turned_away_at


@pytest.mark.parametrize(
    ("job", "view"),
    [
        (JOB, None),
        (JOB, observed(FULL, 2.0)),
        (JOB, observed(work_order.NO_BACKLOG)),
        (JOB, observed(FULL._replace(deferred_seconds=0.0))),
        (JOB, observed(FULL._replace(useful_seconds=16.0))),
        (JOB, observed(FULL._replace(costliest=1.0))),
        (JOB, observed(FULL._replace(useful_seconds=math.inf))),
        (JOB._replace(queue="other"), observed(FULL)),
        (JOB._replace(rank=0.3), observed(FULL)),
        (JOB._replace(target_latency_seconds=9.0), observed(FULL)),
    ],
    ids=[
        "unknown backlog",
        "old backlog",
        "no backlog",
        "may be in time",
        "may be late",
        "needs less than another",
        "no workers are known",
        "unknown queue",
        "within the pool's rate",
        "long objective",
    ],
)
def test_in_doubt_a_job_is_accepted(
    job: overload_policy.NewJob, view: overload_policy.ObservedBacklog | None
) -> None:
    assert overload_policy.seconds_until_useful(job, view) is None


def test_a_caller_returns_when_the_queue_has_drained() -> None:
    wait_seconds = overload_policy.seconds_until_useful(JOB, observed(FULL))
    assert wait_seconds is not None
    assert FULL.useful_seconds - wait_seconds <= OBJECTIVE_SECONDS
    times = {
        overload_policy.retry_after_seconds(6.0, spread / 100)
        for spread in range(100)
    }
    assert times == {6, 7, 8, 9}


def test_a_backlog_survives_its_encoding() -> None:
    published = observed(FULL).published
    assert overload_policy.decode(overload_policy.encode(published)) == (
        published
    )


@pytest.mark.parametrize(
    "data",
    [
        None,
        7,
        [],
        [[1.0], 1, {}],
        [[1, 2, 3, 4], 1, 5],
        [[1, 2, 3, 4], 1, {"q": 1}],
    ],
)
def test_an_unreadable_backlog_is_unknown(data: object) -> None:
    assert overload_policy.decode(data) is None
