"""Experiment: a third of the open worker connections stop responding."""

from __future__ import annotations

from bench import load
from bench import report
from bench import request_fleet

SILENT_AT = 4.0
RECOVERY_SECONDS = 3.0
END = 11.0
SHARE = 1 / 3
# The generator times out only one second after the deadline.
ALLOWED_LATE_SECONDS = 0.25
WORK_SECONDS = 0.1


def _worst_over_deadline(outcome: load.Outcome) -> float:
    return max(
        record.seconds - outcome.streams[record.stream].deadline_ms / 1000
        for record in outcome.records
    )


def run(site: str, seed: int) -> report.BenchResult:
    """Measures the request path before, during and after the fault."""
    variant = request_fleet.Variant("kept")
    silenced = [0]
    with request_fleet.RequestFleet(site, variant, WORK_SECONDS) as fleet:

        def silence_connections() -> None:
            silenced[0] = fleet.silence_connections(SHARE)

        service = fleet.service_names[0]
        stream = fleet.stream(service, 2 * fleet.mean_rate, 0, END)
        threads_before = fleet.report().threads
        outcome = fleet.run_load(
            [stream], seed, [(SILENT_AT, silence_connections)]
        )
        threads_after = fleet.report().threads
    rows: list[list[report.Figure]] = []
    for name, begin, end in (
        ("before", 1.0, SILENT_AT),
        ("silent", SILENT_AT, SILENT_AT + RECOVERY_SECONDS),
        ("after", SILENT_AT + RECOVERY_SECONDS, END),
    ):
        phase = outcome.between(begin, end)
        rows.append(
            [
                name,
                len(phase.records),
                len(phase.records) - len(phase.answered),
                phase.percentile_ms(99),
            ]
        )
    figures: dict[str, report.Figure] = {
        "silenced_connections": silenced[0],
        "not_answered_silent": rows[1][2],
        "not_answered_after": rows[2][2],
        "p99_after_ratio": float(rows[2][3] or 0) / float(rows[0][3] or 1),
        "worst_over_deadline_s": _worst_over_deadline(outcome),
        "threads_lost": threads_before - threads_after,
    }
    return report.BenchResult(
        "silent-links",
        site,
        seed,
        ("phase", "requests", "not_answered", "p99_ms"),
        rows,
        figures,
        (
            report.Limit("silenced_connections", ">=", 1),
            report.Limit("not_answered_after", "==", 0),
            report.Limit("p99_after_ratio", "<=", 1.5),
            report.Limit("worst_over_deadline_s", "<=", ALLOWED_LATE_SECONDS),
            report.Limit("threads_lost", "<=", 0),
        ),
    )
