"""A small site for the soak: stand-ins as threads, nodes as processes."""

from __future__ import annotations

import collections
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
from typing import TYPE_CHECKING, Any

from returns import result

from soak import disturbances
from soak import holders
from soak import ports
from soak import proxy
from standins import order_faults
from standins import platform_http
from standins import row_store
from standins import timed_worker
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster

if TYPE_CHECKING:
    from soak import configurations

ROOT = pathlib.Path(__file__).parents[1]
SERVICE = "bench"
PREFIX = "/jobs/"
HOST = "jobs.example"
ROOM = job_spec.Resources(4000, 64_000, 0)
FIRST_VERSION = 3
MAX_ATTEMPTS = 3
STORE_THREADS_PER_NODE = 16  # Each node watches several tables at a time.
HOST_LIST_THREADS = 8
RACKS = 8
# Heartbeats that a worker misses before the registry drops its entry.
MISSED_HEARTBEATS = 3


def added_prefix(version: int) -> str:
    """Returns the prefix of the route that only one version has."""
    return f"/added-{version}/"


def configuration(version: int) -> dict[str, Any]:
    """Builds a configuration: the callers' route, and one of its own."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "host": HOST,
                "prefix": prefix,
                "service": SERVICE,
                "max_attempts": MAX_ATTEMPTS,
                "stretch": 2,
                "target_latency_ms": 1000,
                "timeout_ms": 3000,
            }
            for number, prefix in enumerate((PREFIX, added_prefix(version)), 1)
        ],
        "services": [{"name": SERVICE, "admission_control": True}],
    }


class Node:
    """A node process that reaches the store through its own proxy.

    Args:
        number: Number of the node.
        store_port: Port of the store.
        hosts_port: Port of the service that lists hosts.
        directory: Folder of its settings and its log.
    """

    def __init__(
        self,
        number: int,
        store_port: int,
        hosts_port: int,
        directory: pathlib.Path,
    ) -> None:
        self.name = f"node-{number}"
        self.caller_port, ready_port, proxy_port = ports.free_ports(3)
        (first_port,) = ports.free_ports(1, consecutive=2)
        self.store_proxy = proxy.Proxy(proxy_port, store_port)
        self._log = directory / f"{self.name}.log"
        self._settings = directory / f"{self.name}.json"
        self._settings.write_text(
            json.dumps(
                {
                    "node_name": self.name,
                    "ip": ports.ADDRESS,
                    "zone": "z1",
                    "listen": {
                        "front": f"{ports.ADDRESS}:{self.caller_port}",
                        "ready": f"{ports.ADDRESS}:{ready_port}",
                    },
                    "port_range": [first_port, first_port + 1],
                    "platform": {"address": f"{ports.ADDRESS}:{proxy_port}"},
                    "cloud": {"address": f"{ports.ADDRESS}:{hosts_port}"},
                }
            )
        )
        self._process: subprocess.Popen[bytes] | None = None
        self.disturbance = disturbances.Disturbance()
        # Graceful restarts, through which a node has to follow configurations.
        self.restarts = disturbances.Disturbance()
        # Serializes faults, as two series may choose the same node.
        self.lock = threading.Lock()

    def start(self) -> None:
        """Starts the process."""
        self.disturbance.note()
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform/entry.py")],
                env={
                    "PATH": os.environ["PATH"],
                    "WISTERIASILL_CONFIG": str(self._settings),
                },
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)

    def stop(self, signal_number: signal.Signals = signal.SIGTERM) -> None:
        """Stops the process by a signal and waits; kills it after 10 s."""
        if self._process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal_number)
        try:
            self._process.wait(10.0)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process = None


class Site:
    """A store and workers as stand-ins, and node processes."""

    def __init__(
        self,
        directory: pathlib.Path,
        nodes: int,
        workers: int,
        loss_share: float = 0.0,
        max_stop_seconds: float = 0.0,
    ) -> None:
        self.store = row_store.MemoryRowStore()
        self.holders = holders.Holders()
        self.store.on_commit = self.holders.record
        self.log = timed_worker.RunLog()
        store_port, hosts_port, *worker_ports = ports.free_ports(workers + 2)
        self._servers = [
            platform_http.serve(
                ports.ADDRESS,
                store_port,
                platform_http.StoreService(self.store).answer,
                max(
                    platform_http.STORE_THREADS, STORE_THREADS_PER_NODE * nodes
                ),
            )
        ]
        self.workers: list[timed_worker.TimedWorker] = []
        self.services: list[order_faults.FaultyWorkerService] = []
        self.worker_disturbances: dict[str, disturbances.Disturbance] = {}
        for number, port in enumerate(worker_ports):
            worker = timed_worker.TimedWorker(
                f"i-{number:04}", ROOM, self.log, f"r{number % RACKS}"
            )
            worker.max_stop_seconds = max_stop_seconds
            service = order_faults.FaultyWorkerService(
                platform_http.WorkerService(
                    worker, f"{ports.ADDRESS}:{port}", SERVICE
                ),
                self.holders.sender,
            )
            self.workers.append(worker)
            self.services.append(service)
            self.worker_disturbances[worker.worker_id] = (
                disturbances.Disturbance()
            )
            self._servers.append(
                platform_http.serve(
                    ports.ADDRESS,
                    port,
                    service.answer,
                    platform_http.WORKER_THREADS,
                )
            )
        self.host_list = platform_http.HostService(self.workers, SERVICE)
        self._servers.append(
            platform_http.serve(
                ports.ADDRESS,
                hosts_port,
                self.host_list.answer,
                HOST_LIST_THREADS,
            )
        )
        self._closing = threading.Event()
        self.configuration_lock = threading.Lock()
        self.last_change: configurations.Change | None = None
        self.store_disturbance = disturbances.Disturbance()
        # Lost answers, through which nodes have to follow configurations.
        self.lost_answers = disturbances.Disturbance()
        self.version = 0
        assert self.publish(FIRST_VERSION)
        self._registration = threading.Thread(
            target=self._register, daemon=True
        )
        self._registration.start()
        self.nodes = [
            Node(number, store_port, hosts_port, directory)
            for number in range(nodes)
        ]
        for node in self.nodes:
            node.store_proxy.loss_share = loss_share

    def node(self, name: str) -> Node | None:
        """Returns the node of a name."""
        return next((node for node in self.nodes if node.name == name), None)

    def publish(self, version: int) -> bool:
        """Stores a configuration in place of the last one, as operators do.

        Returns:
            Whether the store acknowledged it.
        """
        self.version = version
        page = self.store.read("op", "").value_or(None)
        if page is None:
            return False
        row_version = next((row.version for row in page.rows), 0)
        written = self.store.transact(
            "",
            [cluster.RowVersion("op", "config", row_version)],
            [
                cluster.RowWrite(
                    "op", "config", json.dumps(configuration(version)).encode()
                )
            ],
            1.0,
        )
        return isinstance(written, result.Success)

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self.store.transact("", [], [cluster.RowWrite(table, key, value)], 1.0)

    def _register(self) -> None:
        missed_by_worker: collections.Counter[str] = collections.Counter()
        while not self._closing.is_set():
            for faulty in self.services:
                service, worker = faulty.service, faulty.service.worker
                if not (worker.unreachable or worker.down):
                    missed_by_worker[worker.worker_id] = 0
                    self._write("servers", worker.worker_id, service.entry())
                    continue
                missed_by_worker[worker.worker_id] += 1
                if missed_by_worker[worker.worker_id] == MISSED_HEARTBEATS:
                    self._write("servers", worker.worker_id, None)
            self._closing.wait(platform_http.HEARTBEAT_SECONDS)

    def close(self) -> None:
        """Stops all processes and servers."""
        for node in self.nodes:
            node.stop(signal.SIGKILL)
            node.store_proxy.close()
        self._closing.set()
        for service in self.services:
            service.closing.set()
        self._registration.join(2.0)
        for server in self._servers:
            server.stop()
