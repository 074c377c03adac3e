"""Experiment: services peak in turn at five times their mean demand.

A peak exceeds the slots of the pool.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from bench import load
from bench import report
from bench import request_fleet

WARM_SECONDS = 1.5
PEAK_SECONDS = 5.0
RECOVERY_SECONDS = 4.0
TAIL_SECONDS = 1.0
PEAK_FACTOR = 5.0
OFF_PEAK_FACTOR = 0.05
# Rates are an eighth of those with 50 ms requests, so that the generators and
# seven entry hosts on one shared machine can sustain a peak; ratios are equal.
WORK_SECONDS = 0.4
POLICIES = ("independent", "exchanged", "lent")


class Phase(NamedTuple):
    """An interval in which each service has a factor of its mean demand."""

    begin: float
    end: float
    factors: tuple[float, float]


def _phases(both: bool) -> list[Phase]:
    first_end = WARM_SECONDS + PEAK_SECONDS
    second_end = first_end + PEAK_SECONDS * both
    phases = [
        Phase(0, WARM_SECONDS, (1, 1)),
        Phase(WARM_SECONDS, first_end, (PEAK_FACTOR, OFF_PEAK_FACTOR)),
        Phase(first_end, second_end, (OFF_PEAK_FACTOR, PEAK_FACTOR)),
        Phase(
            second_end,
            second_end + (RECOVERY_SECONDS if both else TAIL_SECONDS),
            (1, 1),
        ),
    ]
    return [phase for phase in phases if phase.begin < phase.end]


def _streams(
    fleet: request_fleet.RequestFleet, phases: list[Phase]
) -> list[load.Stream]:
    return [
        fleet.stream(name, fleet.mean_rate * factor, phase.begin, phase.end)
        for phase in phases
        for name, factor in zip(fleet.service_names, phase.factors, strict=True)
    ]


def _goodput_share(
    outcome: load.Outcome,
    run_report: request_fleet.Report,
    phase: Phase,
) -> float:
    """Slot time spent on timely answers, as a share of the ideal."""
    answered_keys = {record.key for record in outcome.answered}
    first = phase.factors.index(PEAK_FACTOR) * request_fleet.WORKERS
    begin = outcome.started_at + phase.begin
    end = outcome.started_at + phase.end
    spent = sum(
        max(
            0.0,
            min(end, execution.started_at + WORK_SECONDS)
            - max(begin, execution.started_at),
        )
        for worker in run_report.backends[first : first + request_fleet.WORKERS]
        for execution in worker.executions
        if execution.idempotency_key in answered_keys
    )
    return spent / _ideal_slot_seconds(outcome, phase)


def _ideal_slot_seconds(outcome: load.Outcome, phase: Phase) -> float:
    """Slot time that one ideal queue for all slots would use in the peak.

    Slots can't run requests that have not arrived. With work scaled to 0.4 s,
    filling 48 slots takes a few percent of the peak.
    """
    index = phase.factors.index(PEAK_FACTOR)
    name = outcome.streams[index].name
    free_at = [0.0] * (request_fleet.WORKERS * request_fleet.SLOTS)
    total = 0.0
    for record in sorted(
        outcome.of_stream(name).records, key=lambda record: record.at_seconds
    ):
        start = max(record.at_seconds, heapq.heappop(free_at))
        heapq.heappush(free_at, start + WORK_SECONDS)
        total += max(
            0.0,
            min(phase.end, start + WORK_SECONDS) - max(phase.begin, start),
        )
    return total


def _measure(
    site: str, seed: int, policy: str, both: bool
) -> dict[str, report.Figure]:
    phases = _phases(both)
    variant = request_fleet.Variant(policy, slot_policy=policy)
    with request_fleet.RequestFleet(site, variant, WORK_SECONDS) as fleet:
        outcome = fleet.run_load(_streams(fleet, phases), seed)
        run_report = fleet.report()
        goodput = [
            _goodput_share(outcome, run_report, phase)
            for phase in phases
            if PEAK_FACTOR in phase.factors
        ]
    runs = run_report.runs_by_key
    answered_keys = {record.key for record in outcome.answered}
    last = phases[-1]
    steady_ms = outcome.between(0.5, WARM_SECONDS).percentile_ms(99)
    after_ms = outcome.between(last.begin + 2, last.end).percentile_ms(99)
    return {
        "requests": len(outcome.records),
        "answered": len(answered_keys),
        "goodput_share": min(goodput),
        "late_work_share": 1
        - sum(runs[key] for key in answered_keys) / sum(runs.values()),
        "steady_p99_ms": steady_ms,
        "peak_p99_ms": outcome.between(WARM_SECONDS, last.begin).percentile_ms(
            99
        ),
        "after_p99_ratio": after_ms / steady_ms if both else None,
        "false_not_executed": sum(
            record.executed == "no" and record.key in runs
            for record in outcome.records
        ),
        "wrong_answers": outcome.counts["wrong"],
        "refusals": run_report.refusals,
        "peer_messages_per_s": run_report.peer_messages / last.end,
        "max_slots": run_report.max_slots,
        "generator_late_p99_ms": outcome.late_p99_ms,
    }


def run(site: str, seed: int) -> report.BenchResult:
    """Measures the default slot policy with both peaks, others with one."""
    default_policy = request_fleet.Variant("kept").slot_policy
    measured = {
        policy: _measure(site, seed, policy, policy == default_policy)
        for policy in POLICIES
    }
    figures = measured[default_policy]
    return report.BenchResult(
        "peaks",
        site,
        seed,
        ("variant", *figures),
        [
            [
                policy + (" (kept)" if policy == default_policy else ""),
                *row.values(),
            ]
            for policy, row in measured.items()
        ],
        figures,
        (
            report.Limit("goodput_share", ">=", 0.95),
            report.Limit("late_work_share", "<=", 0.01),
            report.Limit("after_p99_ratio", "<=", 1.5),
            report.Limit("false_not_executed", "==", 0),
            report.Limit("wrong_answers", "==", 0),
            report.Limit("max_slots", "<=", request_fleet.SLOTS),
        ),
    )
