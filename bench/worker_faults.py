"""Experiment: a third of a pool fails, hangs, truncates or answers late."""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import Any

from bench import load
from bench import report
from bench import request_fleet

FAULTY_WORKERS = (0, 2)
PHASE_SECONDS = 1.5
FAULTS: tuple[tuple[str, dict[str, Any]], ...] = (
    ("fail", {"fail": True}),
    ("hang", {"hang": True}),
    ("truncate", {"truncate": "length"}),
    ("late", {"late_seconds": 3.0}),
)
FAULTS_END = PHASE_SECONDS * (len(FAULTS) + 1)
# Then all workers fail for a while, which shows how much load futile retries
# add. This phase begins after the requests of the previous phase have ended.
OUTAGE_BEGIN = FAULTS_END + PHASE_SECONDS
OUTAGE_SECONDS = 1.0
END = OUTAGE_BEGIN + OUTAGE_SECONDS + 0.5
POLICIES = ("budget", "unlimited", "fixed")
WORK_SECONDS = 0.1


def _measure(site: str, seed: int, policy: str) -> dict[str, report.Figure]:
    variant = request_fleet.Variant(policy, retry_policy=policy)
    with request_fleet.RequestFleet(site, variant, WORK_SECONDS) as fleet:

        def set_faults(workers: range | tuple[int, ...], **faults: Any) -> None:
            for index in workers:
                fleet.set_faults(index, **faults)

        def set_partial_faults(number: int) -> None:
            set_faults(FAULTY_WORKERS, **FAULTS[number][1])

        all_workers = range(request_fleet.WORKERS)
        actions: list[tuple[float, Callable[[], None]]] = [
            (
                PHASE_SECONDS * (number + 1),
                functools.partial(set_partial_faults, number),
            )
            for number in range(len(FAULTS))
        ]
        actions.append((FAULTS_END, lambda: set_faults(all_workers)))
        actions.append(
            (OUTAGE_BEGIN, lambda: set_faults(all_workers, fail=True))
        )
        actions.append(
            (OUTAGE_BEGIN + OUTAGE_SECONDS, lambda: set_faults(all_workers))
        )
        service = fleet.service_names[0]
        stream = fleet.stream(service, fleet.mean_rate, 0, END)
        outcome = fleet.run_load([stream], seed, actions)
        run_report = fleet.report()
    return _figures(outcome, run_report)


def _figures(
    outcome: load.Outcome, run_report: request_fleet.Report
) -> dict[str, report.Figure]:
    runs = run_report.runs_by_key
    during_faults = outcome.between(PHASE_SECONDS, FAULTS_END)
    outage = outcome.between(OUTAGE_BEGIN, OUTAGE_BEGIN + OUTAGE_SECONDS)
    figures: dict[str, report.Figure] = {
        "requests": len(during_faults.records),
        "success_share": len(during_faults.answered)
        / len(during_faults.records),
        "retry_share": _extra_runs(during_faults, runs),
        "p99_ms": during_faults.percentile_ms(99),
    }
    for number, (name, _) in enumerate(FAULTS):
        begin = PHASE_SECONDS * (number + 1)
        phase = outcome.between(begin, begin + PHASE_SECONDS)
        figures[f"{name}_success"] = len(phase.answered) / len(phase.records)
    figures["outage_runs_per_request"] = 1 + _extra_runs(outage, runs)
    figures["wrong_answers"] = outcome.counts["wrong"]
    figures["false_not_executed"] = sum(
        record.executed == "no" and record.key in runs
        for record in outcome.records
    )
    return figures


def _extra_runs(outcome: load.Outcome, runs: dict[str, int]) -> float:
    extra = sum(
        max(0, runs.get(record.key, 0) - 1) for record in outcome.records
    )
    return extra / len(outcome.records)


def run(site: str, seed: int) -> report.BenchResult:
    """Measures the retry budget and the baseline policies."""
    measured = {policy: _measure(site, seed, policy) for policy in POLICIES}
    figures = measured[POLICIES[0]]
    return report.BenchResult(
        "worker-faults",
        site,
        seed,
        ("variant", *figures),
        [
            [policy + (" (kept)" if policy == "budget" else ""), *row.values()]
            for policy, row in measured.items()
        ],
        figures,
        (
            report.Limit("success_share", ">=", 0.99),
            report.Limit("retry_share", "<=", 0.1),
            report.Limit("wrong_answers", "==", 0),
            report.Limit("false_not_executed", "==", 0),
        ),
    )
