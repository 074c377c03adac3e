"""Experiment: latency at mean load, compared with direct requests.

The baseline sends the same load directly to the workers.
"""

from __future__ import annotations

from bench import load
from bench import report
from bench import request_fleet

SECONDS = 5.0
WARM_SECONDS = 1.5
POLICIES = ("independent", "exchanged", "lent")


def _direct_streams(fleet: request_fleet.RequestFleet) -> list[load.Stream]:
    return [
        fleet.stream(name, fleet.mean_rate, 0, WARM_SECONDS + SECONDS)._replace(
            addresses=[
                host.address for host in fleet.hosts if host.pool == name
            ]
        )
        for name in fleet.service_names
    ]


def _entry_streams(fleet: request_fleet.RequestFleet) -> list[load.Stream]:
    return [
        fleet.stream(name, fleet.mean_rate, 0, WARM_SECONDS + SECONDS)
        for name in fleet.service_names
    ]


def _row(
    name: str, outcome: load.Outcome, run_report: request_fleet.Report
) -> list[report.Figure]:
    measured = outcome.between(WARM_SECONDS, WARM_SECONDS + SECONDS)
    return [
        name,
        len(measured.records),
        len(measured.records) - len(measured.answered),
        measured.percentile_ms(50.0),
        measured.percentile_ms(99.0),
        run_report.refusals,
        run_report.peer_messages / (WARM_SECONDS + SECONDS),
        run_report.max_slots,
        run_report.max_connections,
        measured.late_p99_ms,
    ]


def run(site: str, seed: int) -> report.BenchResult:
    """Measures all slot policies and direct requests."""
    rows = []
    figures: dict[str, report.Figure] = {}
    default_policy = request_fleet.Variant("kept").slot_policy
    for policy in POLICIES:
        variant = request_fleet.Variant(policy, slot_policy=policy)
        with request_fleet.RequestFleet(site, variant) as fleet:
            if policy == default_policy:
                direct = fleet.run_load(_direct_streams(fleet), seed)
                rows.append(_row("direct", direct, fleet.report()))
            outcome = fleet.run_load(_entry_streams(fleet), seed)
            run_report = fleet.report()
        mark = " (kept)" if policy == default_policy else ""
        rows.append(_row(policy + mark, outcome, run_report))
        if policy == default_policy:
            figures = _figures(direct, outcome, run_report)
    return report.BenchResult(
        "steady",
        site,
        seed,
        (
            "variant",
            "requests",
            "not_answered",
            "p50_ms",
            "p99_ms",
            "refusals",
            "peer_messages_per_s",
            "max_slots",
            "max_connections",
            "generator_late_p99_ms",
        ),
        rows,
        figures,
        (
            report.Limit("not_answered", "==", 0),
            report.Limit("p99_ratio", "<=", 1.5),
            report.Limit("max_slots", "<=", request_fleet.SLOTS),
            report.Limit("max_connections", "<=", request_fleet.CONNECTIONS),
        ),
    )


def _figures(
    direct: load.Outcome,
    outcome: load.Outcome,
    run_report: request_fleet.Report,
) -> dict[str, report.Figure]:
    direct_measured = direct.between(WARM_SECONDS, WARM_SECONDS + SECONDS)
    measured = outcome.between(WARM_SECONDS, WARM_SECONDS + SECONDS)
    p99_ms, direct_ms = (
        measured.percentile_ms(99),
        direct_measured.percentile_ms(99),
    )
    return {
        "requests": len(outcome.records),
        "not_answered": len(outcome.records) - len(outcome.answered),
        "p99_ms": p99_ms,
        "direct_p99_ms": direct_ms,
        "p99_ratio": p99_ms / direct_ms,
        "max_slots": run_report.max_slots,
        "max_connections": run_report.max_connections,
        "refusals": run_report.refusals,
    }
