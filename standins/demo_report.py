"""Report of the demo: counts at the stand-ins and at the callers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, TypedDict

from standins import backend_records
from standins import demo_load

MAX_SLOTS = 8
MAX_NEW_WORK_SECONDS = 3.0
MAX_IN_FORCE_SECONDS = 6.0
MIN_REQUESTS = 2000
MIN_KEYS = 100
MAX_PROBLEMS = 8


class DemoReport(TypedDict):
    """Counts and results of a run of the demo."""

    site: str
    requests: int
    answered: int
    refused_not_run: int
    outcome_unknown: int
    keys: int
    unanswered_keys: int
    wrong_answers: int
    repeated_runs: int
    false_refusals: int
    cut_off: int
    worker_slots_max: int
    most_pools_of_a_host: int
    new_work_after_drain_seconds: float
    configuration_in_force_seconds: float
    drained_host: str
    drained_host_serves_again: bool
    moved_host: str
    moved_to_pool: str
    moved_job: str
    job_resumed_from_checkpoint: bool
    stopped_entry_host: str
    problems: dict[str, int]
    seconds: float
    ok: bool


def count(
    sent: Sequence[demo_load.Sent],
    reports: Iterable[backend_records.BackendReport],
) -> dict[str, int]:
    """Counts the outcomes for callers and the executions at back ends.

    Args:
        sent: All requests and their outcomes.
        reports: Reports of all back ends.

    Returns:
        Counts by their names in the report.
    """
    counts = demo_load.count(sent)
    reports = tuple(reports)
    runs_by_key = Counter(
        execution.idempotency_key
        for report in reports
        for execution in report.executions
        if execution.idempotency_key
    )
    return {
        **counts._asdict(),
        "cut_off": counts.cut_off
        + sum(report.interrupted for report in reports),
        "repeated_runs": sum(runs > 1 for runs in runs_by_key.values()),
        "false_refusals": sum(
            runs_by_key[key] > 0 for key in _refused_keys(sent)
        ),
        "worker_slots_max": max(report.max_slots for report in reports),
    }


def problems_by_kind(sent: Sequence[demo_load.Sent]) -> dict[str, int]:
    """Counts the responses that were not complete, by kind and detail."""
    return dict(
        Counter(
            f"{request.outcome.kind or request.outcome.status}: "
            f"{request.outcome.detail}"
            for request in sent
            if not request.outcome.whole
        ).most_common(MAX_PROBLEMS)
    )


def _refused_keys(sent: Sequence[demo_load.Sent]) -> set[str]:
    """Returns the keys whose attempts all failed with `executed: no`."""
    keys = {request.call.idempotency_key for request in sent}
    possibly_run = {
        request.call.idempotency_key
        for request in sent
        if request.outcome.executed != "no"
    }
    return keys - possibly_run - {""}


def is_ok(facts: Mapping[str, Any]) -> bool:
    """Returns whether all invariants and limits held."""
    return (
        facts["requests"] >= MIN_REQUESTS
        and facts["keys"] >= MIN_KEYS
        and facts["requests"]
        == facts["answered"]
        + facts["refused_not_run"]
        + facts["outcome_unknown"]
        and facts["unanswered_keys"] == 0
        and facts["wrong_answers"] == 0
        and facts["repeated_runs"] == 0
        and facts["false_refusals"] == 0
        and facts["cut_off"] == 0
        and facts["worker_slots_max"] <= MAX_SLOTS
        and facts["most_pools_of_a_host"] == 1
        and facts["new_work_after_drain_seconds"] <= MAX_NEW_WORK_SECONDS
        and facts["configuration_in_force_seconds"] <= MAX_IN_FORCE_SECONDS
        and bool(facts["job_resumed_from_checkpoint"])
    )
