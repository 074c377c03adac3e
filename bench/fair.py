"""Experiment: one caller sends ten times its fair share of the pool."""

from __future__ import annotations

from bench import load
from bench import report
from bench import request_fleet

CALLERS = ("c1", "c2", "c3", "c4")
GREEDY = CALLERS[0]
GREEDY_FACTOR = 10.0
# Four callers use a tenth of the pool each; with one at ten times its share,
# demand is 130% of the pool.
SHARE_OF_POOL = 0.1
STEADY_SECONDS = 5.0
GREEDY_SECONDS = 8.0
# Rates are an eighth of those with 50 ms requests, as in `peaks`. Otherwise
# scheduling delays of about 50 ms on a shared machine would look unfair.
WORK_SECONDS = 0.4


def _streams(fleet: request_fleet.RequestFleet) -> list[load.Stream]:
    service = fleet.service_names[0]
    rate = SHARE_OF_POOL * fleet.capacity
    end = STEADY_SECONDS + GREEDY_SECONDS
    streams = [
        fleet.stream(service, rate, 0, end)._replace(name=name, caller=name)
        for name in CALLERS
    ]
    streams.append(
        fleet.stream(
            service, rate * (GREEDY_FACTOR - 1), STEADY_SECONDS, end
        )._replace(name=GREEDY, caller=GREEDY)
    )
    return streams


def run(site: str, seed: int) -> report.BenchResult:
    """Measures the other callers before and during the overload."""
    variant = request_fleet.Variant("kept")
    with request_fleet.RequestFleet(site, variant, WORK_SECONDS) as fleet:
        outcome = fleet.run_load(_streams(fleet), seed)
        run_report = fleet.report()
    end = STEADY_SECONDS + GREEDY_SECONDS
    before = outcome.between(1.0, STEADY_SECONDS)
    during = outcome.between(STEADY_SECONDS, end)
    rows: list[list[report.Figure]] = []
    others_ratios = []
    rejected = 0
    for name in CALLERS:
        steady, busy = before.of_stream(name), during.of_stream(name)
        not_answered = len(busy.records) - len(busy.answered)
        rows.append(
            [
                name + (" (greedy)" if name == GREEDY else ""),
                len(busy.records),
                not_answered,
                steady.percentile_ms(99),
                busy.percentile_ms(99),
            ]
        )
        if name != GREEDY:
            rejected += not_answered
            others_ratios.append(
                busy.percentile_ms(99) / steady.percentile_ms(99)
            )
    greedy = during.of_stream(GREEDY)
    return report.BenchResult(
        "fair",
        site,
        seed,
        ("caller", "requests", "not_answered", "steady_p99_ms", "p99_ms"),
        rows,
        {
            "others_p99_ratio": max(others_ratios),
            "others_not_answered": rejected,
            "greedy_not_answered": len(greedy.records) - len(greedy.answered),
            "greedy_requests": len(greedy.records),
            "refusals": run_report.refusals,
            "generator_late_p99_ms": outcome.late_p99_ms,
        },
        (
            report.Limit("others_p99_ratio", "<=", 2.0),
            report.Limit("others_not_answered", "==", 0),
            report.Limit("greedy_not_answered", ">=", 1),
        ),
    )
