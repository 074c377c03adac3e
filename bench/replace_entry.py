"""Experiment: all entry hosts are replaced in turn under load.

Each one gets a successor, and is asked to stop when that is ready. The
baseline ends it with SIGKILL instead.
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
    """What was counted.

    Attributes:
        requests: Requests that were sent.
        replaced: Entry hosts that were replaced.
        replaced_under_load: Those whose end came before the load's end.
        interrupted: Requests whose connection ended before the answer, seen
            by callers or by back ends.
        wrong_replies: Replies that were not the whole own one.
        refused: Requests answered `executed: no`.
        unknown: Requests whose outcome is unknown, the interrupted included.
        unclean_exits: Entry hosts that ended with a status other than 0.
        executed_twice: Keys that back ends ran more than once.
        stop_seconds_max: Longest time from the order to the exit.
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
    """How one entry host ended."""

    exit_status: int
    seconds: float
    under_load: bool


def _replace_all(
    site: entry_processes.ProductSite, load: demo_load.Load, graceful: bool
) -> list[_Replacement]:
    clock = clocks.SystemClock()
    done: list[_Replacement] = []
    for place in range(entry_processes.ENTRY_HOSTS):
        site.start_entry(entry_processes.ENTRY_HOSTS + place)
        site.wait(
            "the successor is ready",
            lambda: site.ready(entry_processes.ENTRY_HOSTS + 1),
        )
        entry = site.entries.pop(place)
        ordered_at = clock.monotonic()
        if graceful:
            entry.terminate()
        else:
            entry.kill()
        status = entry.wait()
        seconds = clock.monotonic() - ordered_at
        under_load = load.finished < _REQUESTS
        done.append(_Replacement(status, seconds, under_load))
        site.wait(
            "the balancer has noticed",
            lambda: site.ready(entry_processes.ENTRY_HOSTS),
        )
    return done


def _measure(site_name: str, seed: int, graceful: bool) -> _Counts:
    site = entry_processes.ProductSite(
        site_name, seed, places=2 * entry_processes.ENTRY_HOSTS
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
        for item in reports
        for run in item.executions
        if run.idempotency_key
    ]
    return _Counts(
        requests=counts.requests,
        replaced=len(replacements),
        replaced_under_load=sum(item.under_load for item in replacements),
        interrupted=counts.cut_off + sum(item.interrupted for item in reports),
        wrong_replies=counts.wrong_answers,
        refused=counts.refused_not_run,
        unknown=sum(item.outcome.executed == "unknown" for item in sent),
        unclean_exits=sum(item.exit_status != 0 for item in replacements),
        executed_twice=len(runs) - len(set(runs)),
        stop_seconds_max=max(item.seconds for item in replacements),
        failures=_describe(sent),
    )


def _describe(sent: Sequence[demo_load.Sent]) -> str:
    kinds = Counter(
        item.outcome.kind or item.outcome.detail or str(item.outcome.status)
        for item in sent
        if not item.outcome.whole
    )
    return ", ".join(f"{kind}: {n}" for kind, n in sorted(kinds.items())) or "-"


def run(site: str, seed: int) -> report.BenchResult:
    """Measures orderly stops and, as the baseline, kills.

    Args:
        site: Name of the site.
        seed: Seed of the requests.

    Returns:
        Figures of the orderly stops.
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
            ("orderly stop *", *stopped),
        ],
        figures=stopped._asdict(),
        limits=LIMITS,
    )
