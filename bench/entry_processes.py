"""Entry hosts as separate processes on the stand-ins of a site."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
import contextlib
import json
import os
import pathlib
import secrets
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any, NamedTuple

from standins import balancer as balancers
from standins import fleet as fleets
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill.contracts import publication
from wisteriasill.contracts import service as services
from wisteriasill.contracts import service_file
from wisteriasill.links import http_client
from wisteriasill.machines import host as hosts

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
ENTRY_HOSTS = 7
CALLER_THREADS = 64
START_SECONDS = 60.0
STOP_SECONDS = 45.0
POLL_SECONDS = 0.1
# Entry hosts read the last host states one poll after they are stored.
SETTLE_SECONDS = 2.0


class Ports(NamedTuple):
    """Ports of one entry host."""

    caller: int
    operator: int


def free_ports(count: int) -> list[int]:
    """Returns currently free ports."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [int(bound.getsockname()[1]) for bound in sockets]


class EntryProcess:
    """One `wisteriasill entry` process.

    Attributes:
        member_id: Its member id.
        ports: Its ports.
    """

    def __init__(
        self,
        member_id: str,
        zone: str,
        platform_url: str,
        token: str,
        ports: Ports,
    ) -> None:
        self.member_id = member_id
        self.ports = ports
        self._log = tempfile.TemporaryFile("w+")  # noqa: SIM115 - kept open
        flags = {
            "member-id": member_id,
            "availability-zone": zone,
            "platform-url": platform_url,
            "caller-port": ports.caller,
            "operator-port": ports.operator,
        }
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "wisteriasill",
                "entry",
                *(f"--{name}={value}" for name, value in flags.items()),
                f"--set=caller_threads={CALLER_THREADS}",
            ],
            env={**os.environ, "WISTERIASILL_OPERATOR_TOKEN": token},
            stdout=self._log,
            stderr=self._log,
        )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def terminate(self) -> None:
        """Stops the process gracefully (SIGTERM)."""
        self._process.terminate()

    def kill(self) -> None:
        """Kills the process (SIGKILL)."""
        self._process.kill()
        self._process.wait()

    def wait(self) -> int:
        """Waits for the process to exit and returns the exit status."""
        try:
            return self._process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return int(self._process.returncode)

    def last_lines(self, count: int = 20) -> str:
        """Returns the last lines of the log."""
        self._log.seek(0)
        return "".join(self._log.readlines()[-count:])


class ProductSite:
    """Stand-ins in this process and entry hosts in separate processes.

    Attributes:
        fleet: Platform and back ends.
        services_by_name: Published services.
        entries: Running entry hosts by index.
        balancer: Distributes callers over the ready entry hosts.
    """

    def __init__(
        self,
        site: str,
        seed: int,
        adapt: Callable[
            [services.Service], services.Service
        ] = lambda service: service,
        max_entries: int = ENTRY_HOSTS,
    ) -> None:
        """Builds the site.

        Args:
            site: Name of the site.
            seed: Seed of the platform's faults.
            adapt: Changes each service before it is published.
            max_entries: Maximum number of entry hosts at a time.
        """
        self._clock = clocks.SystemClock()
        self._token = secrets.token_hex(8)
        self._http = http_client.HttpClient()
        parsed = service_file.read_directory(EXAMPLES / site)
        self._site_contract = parsed.site
        self.services_by_name: Mapping[str, services.Service] = {
            name: adapt(service)
            for name, service in parsed.services_by_name.items()
        }
        self.fleet = fleets.Fleet(fleets.FleetSettings(site, seed=seed))
        self._zones = sorted(
            {host.availability_zone for host in self.fleet.state.list_hosts()}
        )
        ports = free_ports(2 * max_entries)
        self._ports = [
            Ports(caller, operator)
            for caller, operator in zip(
                ports[:max_entries], ports[max_entries:], strict=True
            )
        ]
        self.entries: dict[int, EntryProcess] = {}
        self.balancer = balancers.Balancer(
            [entry_ports.caller for entry_ports in self._ports], self._clock
        )

    @contextlib.contextmanager
    def running(self, count: int = ENTRY_HOSTS) -> Iterator[None]:
        """Runs the site and stops all its processes afterwards.

        Args:
            count: Number of entry hosts to start.
        """
        self.fleet.start()
        self.balancer.start()
        try:
            for entry_index in range(count):
                self.start_entry(entry_index)
            self._publish()
            self.wait("all hosts serve", self._all_serve)
            self.wait(
                "entry hosts are ready", lambda: self.has_ready_entries(count)
            )
            time.sleep(SETTLE_SECONDS)
            yield
        finally:
            self.balancer.stop()
            for entry in self.entries.values():
                entry.terminate()
            for entry in self.entries.values():
                entry.wait()
            self.fleet.stop()

    def start_entry(self, entry_index: int) -> EntryProcess:
        """Starts the entry host with an index."""
        entry = EntryProcess(
            f"entry-{entry_index + 1}",
            self._zones[entry_index % len(self._zones)],
            self.fleet.url,
            self._token,
            self._ports[entry_index],
        )
        self.entries[entry_index] = entry
        return entry

    def has_ready_entries(self, count: int) -> bool:
        """Whether exactly `count` entry hosts are ready."""
        return len(self.balancer.ready_ports) == count

    def wait(self, description: str, condition: Callable[[], bool]) -> None:
        """Waits for a condition.

        Raises:
            RuntimeError: The condition does not hold in time.
        """
        deadline = time.monotonic() + START_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                logs = "\n".join(
                    entry.last_lines() for entry in self.entries.values()
                )
                raise RuntimeError(
                    f"timed out waiting until {description}\n{logs}"
                )
            time.sleep(POLL_SECONDS)

    def _all_serve(self) -> bool:
        rows = self.fleet.state.scan(hosts.TABLE, "")
        serving = [
            row for row in rows if row.value["state"] == hosts.HostState.SERVING
        ]
        return len(serving) == len(self.fleet.backends_by_host)

    def _publish(self) -> None:
        contracts: dict[str, Any] = {
            "site": self._site_contract,
            **self.services_by_name,
        }
        change = publication.Change(
            documents={
                name: documents.encode(contract)
                for name, contract in contracts.items()
            },
            author="bench",
            base_generation=0,
        )
        body = json.dumps(documents.encode(change)).encode()
        self.wait("the configuration is accepted", lambda: self._post(body))

    def _post(self, body: bytes) -> bool:
        port = self.entries[0].ports.operator
        response = self._http.call(
            http_client.HttpCall(
                "POST",
                f"http://127.0.0.1:{port}/v1/configuration",
                5.0,
                (
                    ("Authorization", f"Bearer {self._token}"),
                    ("Content-Type", "application/json"),
                ),
                body,
            )
        )
        return response.map(lambda answer: answer.status < 300).value_or(False)
