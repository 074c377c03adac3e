"""A site in one process: stand-ins, entry hosts and a balancer."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from concurrent import futures
import contextlib
import json
import secrets
from typing import Any

from standins import balancer as balancers
from standins import fleet as fleets
from standins import platform_state
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import settings as settings_module
from wisteriasill.contracts import jobs
from wisteriasill.links import http_client
from wisteriasill.machines import entry_host
from wisteriasill.machines import host as hosts

ENTRY_HOSTS = 7
CALLER_THREADS = 32
POLL_SECONDS = 0.05
STEP_TIMEOUT_SECONDS = 40.0
OPERATOR_TIMEOUT_SECONDS = 5.0
TIMING = platform_state.Timing(
    reboot_seconds=1.5, list_lag_seconds=0.5, report_lag_seconds=0.5
)


class DemoError(Exception):
    """A step of the demo failed or timed out."""


class DemoSite:
    """A running site, with methods to operate and observe it.

    Attributes:
        fleet: Platform and back ends.
        entries: Running entry hosts.
        balancer: Load balancer in front of the entry hosts.
    """

    def __init__(
        self, site: str, progress: Callable[[str], None], clock: clocks.Clock
    ) -> None:
        self._progress = progress
        self._clock = clock
        self._http = http_client.HttpClient()
        self._token = secrets.token_hex(8)
        self.fleet = fleets.Fleet(fleets.FleetSettings(site, timing=TIMING))
        zones = sorted(
            {host.availability_zone for host in self.fleet.state.list_hosts()}
        )
        self.fleet.start()
        self.entries = [
            entry_host.EntryHost(
                settings_module.EntrySettings(
                    member_id=f"entry-{index + 1}",
                    availability_zone=zones[index % len(zones)],
                    platform_url=self.fleet.url,
                    operator_token=self._token,
                    caller_threads=CALLER_THREADS,
                )
            )
            for index in range(ENTRY_HOSTS)
        ]

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Runs the entry hosts and the balancer."""
        for entry in self.entries:
            entry.start()
        self.balancer = balancers.Balancer(
            [entry.settings.caller_port for entry in self.entries],
            self._clock,
        )
        self.balancer.start()
        try:
            yield
        finally:
            self.balancer.stop()
            self._stop_entries()
            self.fleet.stop()

    def _stop_entries(self) -> None:
        with futures.ThreadPoolExecutor(len(self.entries)) as executor:
            list(executor.map(entry_host.EntryHost.stop, self.entries))

    def is_ready(self) -> bool:
        """Returns whether the balancer uses all entry hosts."""
        return len(self.balancer.ready_ports) == len(self.entries)

    def serving_hosts(self) -> int:
        """Returns the number of hosts whose rows are in state serving."""
        return sum(
            host.state is hosts.HostState.SERVING
            for host in self.hosts_by_id().values()
        )

    def hosts_by_id(self) -> Mapping[str, hosts.Host]:
        """Returns the host rows in the platform's table by host id."""
        return {
            row.key: documents.decode(hosts.Host, row.value).unwrap()
            for row in self.fleet.state.scan(hosts.TABLE, "")
        }

    def jobs(self) -> list[jobs.Job]:
        """Returns the job rows in the platform's table."""
        return [
            documents.decode(jobs.Job, row.value).unwrap()
            for row in self.fleet.state.scan(jobs.TABLE, "")
        ]

    def order(self, kind: str, subject: str, pool: str = "") -> None:
        """Submits an operator's order."""
        self.operate(
            "/v1/orders",
            {
                "order_id": secrets.token_hex(8),
                "kind": kind,
                "subject": subject,
                "author": "demo",
                "pool": pool,
            },
        )

    def operate(self, path: str, body: Any) -> Any:
        """Calls the operator interface of the first entry host."""
        port = self.entries[0].settings.operator_port
        response = self._http.call(
            http_client.HttpCall(
                "POST",
                f"http://127.0.0.1:{port}{path}",
                OPERATOR_TIMEOUT_SECONDS,
                (
                    ("Authorization", f"Bearer {self._token}"),
                    ("Content-Type", "application/json"),
                ),
                json.dumps(body).encode(),
            )
        ).unwrap()
        if response.status >= 300:
            raise DemoError(
                f"{path}: {response.status} {response.body.decode()}"
            )
        return json.loads(response.body)

    def wait(self, goal: str, condition: Callable[[], bool]) -> None:
        """Waits for a condition; raises DemoError on a timeout."""
        self._progress(f"waiting until {goal}")
        deadline_at = self._clock.monotonic() + STEP_TIMEOUT_SECONDS
        while not condition():
            if self._clock.monotonic() > deadline_at:
                raise DemoError(
                    f"not within {STEP_TIMEOUT_SECONDS:g} s: {goal}"
                )
            clocks.sleep(self._clock, POLL_SECONDS)
