"""Experiment: all entry hosts are replaced in turn under load.

Each entry host gets a successor and is stopped gracefully once the successor
is ready. The baseline uses SIGKILL instead.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from bench import entry_processes
from bench import report
from standins import backend_records
from standins import demo_load
from wisteriasill import clock as clocks

_REQUESTS_PER_SECOND = 100.0
_REQUESTS = 6000
LIMITS = (
    report.Limit("replaced", "==", entry_processes.ENTRY_HOSTS),
    report.Limit("interrupted", "==", 0),
    report.Limit("wrong_replies", "==", 0),
    report.Limit("unclean_exits", "==", 0),
    report.Limit("replaced_under_load", "==", entry_processes.ENTRY_HOSTS),
    report.Limit("executed_twice", "==", 0),
)


class _Counts(NamedTuple):
    """Counters of the experiment.

    Attributes:
        requests: Requests sent.
        replaced: Replaced entry hosts.
        replaced_under_load: Entry hosts that exited before the load ended.
        interrupted: Requests whose connection closed before the answer, as
            seen by callers or back ends.
        wrong_replies: Replies that were incomplete or of another request.
        refused: Requests answered `executed: no`.
        unknown: Requests with unknown outcome, including the interrupted ones.
        unclean_exits: Entry hosts with an exit status other than 0.
        executed_twice: Keys that back ends executed more than once.
        stop_seconds_max: Longest time from the signal to the exit.
        failures: Failed requests by kind, for the table.
    """

    requests: int
    replaced: int
    replaced_under_load: int
    interrupted: int
    wrong_replies: int
    refused: int
    unknown: int
    unclean_exits: int
    executed_twice: int
    stop_seconds_max: float
    failures: str


class _Replacement(NamedTuple):
    """Exit of one replaced entry host."""

    exit_status: int
    seconds: float
    under_load: bool


def _replace_all(
    site: entry_processes.ProductSite, load: demo_load.Load, graceful: bool
) -> list[_Replacement]:
    clock = clocks.SystemClock()
    replacements: list[_Replacement] = []
    for entry_index in range(entry_processes.ENTRY_HOSTS):
        site.start_entry(entry_processes.ENTRY_HOSTS + entry_index)
        site.wait(
            "the successor is ready",
            lambda: site.has_ready_entries(entry_processes.ENTRY_HOSTS + 1),
        )
        entry = site.entries.pop(entry_index)
        signalled_at = clock.monotonic()
        if graceful:
            entry.terminate()
        else:
            entry.kill()
        status = entry.wait()
        seconds = clock.monotonic() - signalled_at
        under_load = load.finished < _REQUESTS
        replacements.append(_Replacement(status, seconds, under_load))
        site.wait(
            "the balancer has removed the old entry host",
            lambda: site.has_ready_entries(entry_processes.ENTRY_HOSTS),
        )
    return replacements


def _measure(site_name: str, seed: int, graceful: bool) -> _Counts:
    site = entry_processes.ProductSite(
        site_name, seed, max_entries=2 * entry_processes.ENTRY_HOSTS
    )
    with site.running():
        calls = demo_load.build_calls(site.services_by_name, _REQUESTS, seed)
        load = demo_load.Load(
            site.balancer, calls, _REQUESTS_PER_SECOND, clocks.SystemClock()
        )
        load.start()
        replacements = _replace_all(site, load, graceful)
        sent = load.join()
        reports = tuple(site.fleet.reports_by_host().values())
    return _count(sent, reports, replacements)


def _count(
    sent: Sequence[demo_load.Sent],
    reports: Sequence[backend_records.BackendReport],
    replacements: Sequence[_Replacement],
) -> _Counts:
    counts = demo_load.count(sent)
    runs = [
        run.idempotency_key
        for backend_report in reports
        for run in backend_report.executions
        if run.idempotency_key
    ]
    return _Counts(
        requests=counts.requests,
        replaced=len(replacements),
        replaced_under_load=sum(
            replacement.under_load for replacement in replacements
        ),
        interrupted=counts.cut_off
        + sum(backend_report.interrupted for backend_report in reports),
        wrong_replies=counts.wrong_answers,
        refused=counts.refused_not_run,
        unknown=sum(request.outcome.executed == "unknown" for request in sent),
        unclean_exits=sum(
            replacement.exit_status != 0 for replacement in replacements
        ),
        executed_twice=len(runs) - len(set(runs)),
        stop_seconds_max=max(
            replacement.seconds for replacement in replacements
        ),
        failures=_describe(sent),
    )


def _describe(sent: Sequence[demo_load.Sent]) -> str:
    kinds = Counter(
        request.outcome.kind
        or request.outcome.detail
        or str(request.outcome.status)
        for request in sent
        if not request.outcome.whole
    )
    return ", ".join(f"{kind}: {n}" for kind, n in sorted(kinds.items())) or "-"


def run(site: str, seed: int) -> report.BenchResult:
    """Measures graceful stops and, as the baseline, kills.

    Args:
        site: Name of the site.
        seed: Seed of the requests.

    Returns:
        Figures of the graceful stops.
    """
    killed = _measure(site, seed, graceful=False)
    stopped = _measure(site, seed, graceful=True)
    return report.BenchResult(
        name="replace-entry",
        site=site,
        seed=seed,
        columns=("variant", *_Counts._fields),
        rows=[
            ("SIGKILL (baseline)", *killed),
            ("graceful stop *", *stopped),
        ],
        figures=stopped._asdict(),
        limits=LIMITS,
    )
