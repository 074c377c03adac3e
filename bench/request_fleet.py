"""Processes for request experiments: back ends, entry hosts, generators."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
import contextlib
import time
from typing import Any, NamedTuple

from bench import load
from bench import processes
from standins import backend_records as records
from wisteriasill import documents
from wisteriasill import settings as settings_module
from wisteriasill.contracts import service as services
from wisteriasill.machines import host as hosts
from wisteriasill.machines import member as members

ENTRY_HOSTS = 7
WORKERS = 6
SLOTS = 8
CONNECTIONS = 64
ZONES = ("z1", "z2", "z3")
SERVICES_BY_SITE = {
    "malabar": ("bench-a", "bench-b"),
    "mandacaru": ("quoting", "cutting"),
}
DEADLINE_MS = 2000
CONNECT_SECONDS = 10.0
# Share of the pool's slots used by the mean demand. Five times the mean exceeds
# the slots.
MEAN_SHARE = 0.3


class Variant(NamedTuple):
    """Policies of one of the compared runs."""

    name: str
    slot_policy: str = settings_module.EntrySettings("", "", "").slot_policy
    retry_policy: str = "budget"


class Report(NamedTuple):
    """Counters of entry hosts and back ends after a run."""

    retries: float
    refusals: float
    peer_messages: float
    threads: float
    cpu_seconds: float
    backends: tuple[records.BackendReport, ...]

    @property
    def runs_by_key(self) -> dict[str, int]:
        """Number of executions by idempotency key."""
        runs: dict[str, int] = {}
        for report in self.backends:
            for execution in report.executions:
                key = execution.idempotency_key
                runs[key] = runs.get(key, 0) + 1
        return runs

    @property
    def max_slots(self) -> int:
        """Maximum number of slots in use on one worker."""
        return max(backend.max_slots for backend in self.backends)

    @property
    def max_connections(self) -> int:
        """Maximum number of open connections to one worker."""
        return max(backend.max_connections for backend in self.backends)


class RequestFleet(contextlib.ExitStack):
    """Processes of one run; a context manager that stops them.

    Args:
        site: Name of the site.
        variant: Policies to measure.
        work_seconds: Execution time of each request.
    """

    def __init__(
        self, site: str, variant: Variant, work_seconds: float = 0.05
    ) -> None:
        super().__init__()
        self.site = site
        self.variant = variant
        self.work_seconds = work_seconds
        self.service_names = SERVICES_BY_SITE[site]
        self.hosts: list[hosts.Host] = []
        self.entry_addresses: list[str] = []

    @property
    def capacity(self) -> float:
        """Requests per second that the slots of one pool can execute."""
        return WORKERS * SLOTS / self.work_seconds

    @property
    def mean_rate(self) -> float:
        """Mean demand of one pool in requests per second."""
        return MEAN_SHARE * self.capacity

    def __enter__(self) -> RequestFleet:
        """Starts all processes."""
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def stream(self, service: str, rate: float, *times: float) -> load.Stream:
        """Builds a request stream to the entry hosts."""
        begin, end = times
        return load.Stream(
            service,
            f"/{service}/work",
            "caller",
            rate,
            begin,
            end,
            DEADLINE_MS,
            self.entry_addresses,
        )

    def run_load(
        self,
        streams: Sequence[load.Stream],
        seed: int,
        actions: Iterable[tuple[float, Callable[[], Any]]] = (),
    ) -> load.Outcome:
        """Runs streams and calls actions at their times from the start."""
        start_at = load.start(self.generators, streams, seed)
        for at, action in actions:
            time.sleep(max(0.0, start_at + at - time.monotonic()))
            action()
        return load.collect(self.generators, streams, start_at)

    def set_faults(self, index: int, **faults: Any) -> None:
        """Sets the faults of a worker."""
        self._on_worker(index, "set_faults", faults=faults)

    def drain_worker(self, index: int) -> None:
        """Makes a worker refuse new requests."""
        self._on_worker(index, "drain")

    def silence_connections(self, share: float) -> int:
        """Stops traffic on a share of the workers' open connections."""
        return sum(
            child.call("silence", share=share) for child in self._backends
        )

    def update_hosts(
        self, rows: Sequence[hosts.Host], version: int, entries: Sequence[int]
    ) -> None:
        """Sends new host rows to some entry hosts."""
        for index in entries:
            self._entries[index].call(
                "update_hosts", rows=documents.encode(rows), version=version
            )

    def report(self) -> Report:
        """Collects the counters of all processes."""
        counters = [child.call("figures") for child in self._entries]
        reports = [
            documents.decode(records.BackendReport, document).unwrap()
            for child in self._backends
            for document in child.call("report")
        ]
        totals = {
            name: sum(figures[name] for figures in counters)
            for name in counters[0]
        }
        totals.pop("peers")
        return Report(backends=tuple(reports), **totals)

    def _start_child(self, module: str) -> processes.Child:
        child = processes.Child(module)
        self.callback(child.stop)
        return child

    def _start(self) -> None:
        self._backends = [
            self._start_child("bench.backend_process")
            for _ in self.service_names
        ]
        self._entries = [
            self._start_child("bench.entry_process") for _ in range(ENTRY_HOSTS)
        ]
        self.generators = [
            self._start_child("bench.load_process")
            for _ in range(load.PROCESSES)
        ]
        for service, child in zip(
            self.service_names, self._backends, strict=True
        ):
            addresses = child.call(
                "start", count=WORKERS, work_seconds=self.work_seconds
            )
            self.hosts += [
                _host(service, index, address)
                for index, address in enumerate(addresses)
            ]
        self._start_entries()

    def _start_entries(self) -> None:
        for index, child in enumerate(self._entries):
            child.send(
                "start",
                settings=self._settings(index)._asdict(),
                service_documents=documents.encode(
                    [_service(name) for name in self.service_names]
                ),
                host_rows=documents.encode(self.hosts),
                retry_policy=self.variant.retry_policy,
            )
        ports = [child.receive() for child in self._entries]
        self.callback(self._stop_entries)
        self.entry_addresses = [
            f"127.0.0.1:{entry_ports['caller']}" for entry_ports in ports
        ]
        rows = documents.encode(
            [
                _member(self._settings(index), entry_ports)
                for index, entry_ports in enumerate(ports)
            ]
        )
        for child in self._entries:
            child.call("set_members", rows=rows)
        self._wait_for_peers()

    def _wait_for_peers(self) -> None:
        ends_at = time.monotonic() + CONNECT_SECONDS
        while time.monotonic() < ends_at:
            peers = [child.call("figures")["peers"] for child in self._entries]
            if min(peers) == ENTRY_HOSTS - 1:
                return
            time.sleep(0.1)
        raise RuntimeError(f"the entry hosts did not connect: {peers}")

    def _stop_entries(self) -> None:
        for child in self._entries:
            child.send("stop")
        for child in self._entries:
            child.receive()

    def _settings(self, index: int) -> settings_module.EntrySettings:
        return settings_module.EntrySettings(
            member_id=f"e{index + 1}",
            availability_zone=ZONES[index % len(ZONES)],
            platform_url="",
            slot_policy=self.variant.slot_policy,
            drain_notice_seconds=0.1,
        )

    def _on_worker(self, index: int, command: str, **arguments: Any) -> None:
        child = self._backends[index // WORKERS]
        child.call(command, index=index % WORKERS, **arguments)


def _host(service: str, index: int, address: str) -> hosts.Host:
    zone = ZONES[index // 2]
    return hosts.Host(
        host_id=f"{service}-{index + 1}",
        pool=service,
        state=hosts.HostState.SERVING,
        region="local",
        availability_zone=zone,
        rack=f"{zone}-r1",
        address=address,
        cores=16,
        memory_gib=64,
        accelerators=0,
        slots=SLOTS,
        connections=CONNECTIONS,
    )


def _service(name: str) -> services.Service:
    return services.Service(
        name=name,
        team="operations",
        pool=services.PoolContract(
            WORKERS, WORKERS - 2, 16, 64, SLOTS, CONNECTIONS
        ),
        path_prefix=f"/{name}",
        requests=(services.RequestClass("read", deadline_ms=10_000),),
    )


def _member(
    settings: settings_module.EntrySettings, ports: dict[str, int]
) -> members.Member:
    return members.Member(
        settings.member_id,
        "1",
        settings.region,
        settings.availability_zone,
        settings.advertised_address,
        ports["caller"],
        0,
        ports["peer"],
    )
