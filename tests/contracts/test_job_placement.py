"""Tests of worker choice, forecasts and stragglers."""

from __future__ import annotations

from collections.abc import Callable
import itertools
from typing import NamedTuple

import pytest

from wisteriasill.contracts import arrival_rate
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import pacing
from wisteriasill.contracts import stragglers
from wisteriasill.contracts import worker_choice


class Candidate(NamedTuple):
    """A worker that may be chosen."""

    worker_id: str
    free_cpu: int = 4000
    free_memory_mb: int = 1000
    free_accelerators: int = 0
    rack: str = "r1"
    labels: tuple[str, ...] = ("a", "r1")


def need(**fields: object) -> worker_choice.PlacementRequest:
    step = job_spec.StepSpec(
        1,
        job_spec.Resources(2000, 100, 0),
        1.0,
        **fields,  # type: ignore[arg-type]
    )
    return worker_choice.PlacementRequest(step, {}, {})


@pytest.mark.parametrize(
    ("candidate", "fits"),
    [
        (Candidate("w"), True),
        (Candidate("w", free_cpu=1999), False),
        (Candidate("w", free_memory_mb=99), False),
        (Candidate("w", labels=("b", "r1")), False),
    ],
)
def test_worker_must_fit_the_task(candidate: Candidate, fits: bool) -> None:
    assert worker_choice.fits(candidate, need(label="a")) is fits


def test_a_best_effort_task_needs_memory_only() -> None:
    full = Candidate("w", free_cpu=0)
    assert worker_choice.fits(full, need(fills=True))


def test_a_task_larger_than_one_that_fitted_nowhere_is_excluded() -> None:
    full = worker_choice.FullPool()
    full.record(need())
    larger = need()._replace(
        step=need().step._replace(need=job_spec.Resources(2000, 101, 0))
    )
    smaller = need()._replace(
        step=need().step._replace(need=job_spec.Resources(1999, 900, 0))
    )
    assert full.excludes(larger.step)
    assert not full.excludes(smaller.step)
    assert not full.excludes(need(fills=True).step)


@pytest.mark.parametrize(
    "request_with_other_limits",
    [
        need(label="gpu"),
        need(most_per_worker=1),
        need(gang=True),
        need(fills=True),
        need()._replace(permitted=()),
    ],
    ids=["label", "bound for each worker", "gang", "best effort", "policy"],
)
def test_a_task_that_lacks_more_than_room_excludes_no_other(
    request_with_other_limits: worker_choice.PlacementRequest,
) -> None:
    full = worker_choice.FullPool()
    full.record(request_with_other_limits)
    assert not full.excludes(need().step)


class FullWorker(NamedTuple):
    """A full worker of which nothing but its room may be looked at."""

    free_cpu: int = 100
    free_memory_mb: int = 1000
    free_accelerators: int = 0

    @property
    def worker_id(self) -> str:
        """Fails, as a property costs more than all comparisons of room."""
        raise AssertionError("a full worker was looked at")

    @property
    def rack(self) -> str:
        """Fails as well."""
        raise AssertionError("a full worker was looked at")

    @property
    def labels(self) -> tuple[str, ...]:
        """Fails as well."""
        raise AssertionError("a full worker was looked at")


def test_a_peak_costs_one_comparison_for_each_full_worker() -> None:
    """The choice of workers must not take the time that the holder has.

    On a day with 500 starts a second in a pool of 140 workers, each choice took
    0.4 ms of a half core. 2,774 tasks took 1.14 s and take 0.19 s.
    """
    full = [FullWorker() for _ in range(140)]
    candidates: list[worker_choice.Candidate] = [
        *full,
        Candidate("w1"),
        Candidate("w2", 3000),
        *full,
    ]
    for request in (need(), need(data_rack="r1"), need(lasting=True)):
        chosen = worker_choice.choose(candidates, request)
        assert isinstance(chosen, Candidate)


def test_short_tasks_fill_the_fullest_worker() -> None:
    candidates = [Candidate("w1", 4000), Candidate("w2", 2500)]
    chosen = worker_choice.choose(candidates, need())
    assert chosen is not None
    assert chosen.worker_id == "w2"


def test_data_comes_before_packing() -> None:
    candidates = [Candidate("w1", 4000, rack="r2"), Candidate("w2", 2500)]
    chosen = worker_choice.choose(candidates, need(data_rack="r2"))
    assert chosen is not None
    assert chosen.worker_id == "w1"


def test_a_bound_for_each_worker_holds() -> None:
    step = need(most_per_worker=1).step
    full = worker_choice.PlacementRequest(step, {"w": 1}, {})
    assert worker_choice.choose([Candidate("w")], full) is None


def test_long_running_tasks_avoid_hosts_that_a_wave_will_maintain() -> None:
    """Each of them moved two to three times in waves of the large site."""
    candidates = [
        Candidate("w1", 9000, rack="r2"),
        Candidate("w2", 2500, rack="r1"),
    ]
    request = need(lasting=True)._replace(tasks_by_rack={"r1": 1}, due={"w1"})
    chosen = worker_choice.choose(candidates, request)
    assert chosen is not None
    assert chosen.worker_id == "w2"


@pytest.mark.parametrize(
    ("percent", "latency_shares", "next_percent"),
    [
        (100, [], 100),
        (40, [0.3], 55),
        (80, [0.9], 40),
        (80, [0.7, 0.2], 80),
        (80, [1.1], 0),
    ],
)
def test_speed_of_best_effort_tasks(
    percent: int, latency_shares: list[float], next_percent: int
) -> None:
    assert pacing.next_percent(percent, latency_shares) == next_percent


def feed(
    rates: tuple[arrival_rate.ArrivalRate, arrival_rate.ArrivalRate],
    rate_at: Callable[[float], float],
    seconds: float,
) -> None:
    """Adds the arrivals of each hundredth of a second."""
    for tick in range(round(seconds * 100)):
        for rate in rates:
            rate.add(rate_at(tick / 100) / 100, tick / 100)


def test_a_steady_rise_is_forecast_a_second_ahead() -> None:
    rates = arrival_rate.fast_and_slow()
    feed(rates, lambda now: 10 * now, 6.0)
    assert arrival_rate.forecast(rates, 6.0) == pytest.approx(70, rel=0.05)


def test_a_step_is_overshot_by_less_than_half() -> None:
    rates = arrival_rate.fast_and_slow()
    highest = 0.0
    for tick in range(300):
        now = tick / 100
        for rate in rates:
            rate.add(0.4, now)
        highest = max(highest, arrival_rate.forecast(rates, now))
    assert 40 <= highest < 60


def test_a_fall_is_visible_at_once() -> None:
    rates = arrival_rate.fast_and_slow()
    feed(rates, lambda now: 40.0 if now < 4 else 0.0, 5.0)
    assert arrival_rate.forecast(rates, 5.0) < 6


def test_a_rise_is_visible_within_half_a_second() -> None:
    rate = arrival_rate.ArrivalRate(arrival_rate.FAST_SPAN_SECONDS)
    for tick in range(10):
        rate.add(1.0, tick * 0.05)
    assert rate.per_second(0.5) > 10
    assert rate.per_second(5.0) < 0.1


@pytest.mark.parametrize(
    ("age_seconds", "done_seconds", "copies", "action"),
    [
        (1.0, (), True, stragglers.Action.WAIT),
        (2.0, (0.5, 0.6), True, stragglers.Action.COPY),
        (2.0, (0.5, 0.6), False, stragglers.Action.WAIT),
        (2.5, (0.5, 0.6), False, stragglers.Action.MOVE),
        (2.5, (0.5,), False, stragglers.Action.WAIT),
        (9.0, (0.5,), False, stragglers.Action.MOVE),
    ],
)
def test_a_straggler_is_judged_by_its_step(
    age_seconds: float,
    done_seconds: tuple[float, ...],
    copies: bool,
    action: stragglers.Action,
) -> None:
    judged = stragglers.judge(age_seconds, done_seconds, 4, 1.0, copies)
    assert judged is action


def test_each_move_of_a_straggler_needs_a_longer_overrun() -> None:
    """A task of 2.5 s was moved 16 times, each time after a second."""
    limits = [
        next(
            tenths / 10
            for tenths in itertools.count()
            if stragglers.judge(tenths / 10, (), 4, 0.1, False, former_moves)
            is stragglers.Action.MOVE
        )
        for former_moves in range(3)
    ]
    assert limits == [1.4, 10.5, 83.3]
