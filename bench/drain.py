"""Experiment: a rack of workers is drained under load."""

from __future__ import annotations

import time

from bench import report
from bench import request_fleet
from wisteriasill.machines import host as hosts

ORDER_AT = 3.0
END = 9.0
RACK = (0, 1)
WORK_SECONDS = 0.1
NOTICE_BOUND_SECONDS = 3.0
# Entry hosts receive the order one after another, the last one at its next
# poll.
SPREAD_SECONDS = 1.0


class _DrainOrder:
    """The order to drain the rack, sent to the entry hosts."""

    def __init__(self, fleet: request_fleet.RequestFleet) -> None:
        self._fleet = fleet
        self.sent_at = 0.0

    def send(self) -> None:
        """Sends the order to the entry hosts one after another."""
        self.sent_at = time.monotonic()
        rows = [
            self._fleet.hosts[index]._replace(state=hosts.HostState.DRAINING)
            for index in RACK
        ]
        for entry in range(request_fleet.ENTRY_HOSTS):
            self._fleet.update_hosts(rows, 2, [entry])
            time.sleep(SPREAD_SECONDS / request_fleet.ENTRY_HOSTS)


def run(site: str, seed: int) -> report.BenchResult:
    """Measures the last new request and interrupted requests."""
    variant = request_fleet.Variant("kept")
    with request_fleet.RequestFleet(site, variant, WORK_SECONDS) as fleet:
        order = _DrainOrder(fleet)
        service = fleet.service_names[0]
        stream = fleet.stream(service, 1.5 * fleet.mean_rate, 0, END)
        outcome = fleet.run_load([stream], seed, [(ORDER_AT, order.send)])
        run_report = fleet.report()
    last = max(run_report.backends[index].last_new_request_at for index in RACK)
    rows: list[list[report.Figure]] = [
        [
            fleet.hosts[index].host_id,
            len(run_report.backends[index].executions),
            run_report.backends[index].last_new_request_at - order.sent_at,
        ]
        for index in range(request_fleet.WORKERS)
    ]
    after = outcome.between(ORDER_AT, END)
    figures: dict[str, report.Figure] = {
        "requests": len(outcome.records),
        "not_answered": len(outcome.records) - len(outcome.answered),
        "last_new_request_s": last - order.sent_at,
        "rack_executions": sum(
            len(run_report.backends[index].executions) for index in RACK
        ),
        "p99_ms_before": outcome.between(1.0, ORDER_AT).percentile_ms(99),
        "p99_ms_after": after.percentile_ms(99),
        "interrupted": sum(
            backend.interrupted for backend in run_report.backends
        ),
    }
    return report.BenchResult(
        "drain",
        site,
        seed,
        ("worker", "executions", "last_new_request_s_after_order"),
        rows,
        figures,
        (
            report.Limit("last_new_request_s", "<=", NOTICE_BOUND_SECONDS),
            report.Limit("rack_executions", ">=", 1),
            report.Limit("not_answered", "==", 0),
            report.Limit("interrupted", "==", 0),
        ),
    )
