"""A small site: stand-ins as threads, nodes as processes."""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping, Sequence
import json
import os
import pathlib
import shlex
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any, TextIO

from returns import result
from werkzeug import wrappers

from review.harness import callers
from review.harness import cuts
from review.harness import hosts
from review.harness import workers as review_workers
from soak import ports
from standins import platform_http
from standins import row_store
from standins import timed_worker
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import fleet_rows
from wisteriasill.zones import shard_writer

ROOT = pathlib.Path(__file__).parents[2]
ROW_BYTES = 65_536  # `row_bytes` of the settings in DEPLOY.md.
STORE_THREADS = 96
READY_SECONDS = 25.0
HEARTBEAT_SECONDS = 1.5
MISSED_HEARTBEATS = 3
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "recovery_s": 12,
    "max_hold_ms": 10000,
    "stop_timeout_ms": 900,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "maintenance_s": 2,
    "migrate_s": 1.5,
    "require_fencing": False,
    "lease_ms": 3000,
}


class BoundedStore(platform_http.StoreService):
    """The metadata store, which refuses rows larger than `row_bytes`.

    Attributes:
        refused_rows: Size of each value that was refused, by its row.
    """

    def __init__(self, store: row_store.MemoryRowStore) -> None:
        super().__init__(store)
        self.refused_rows: list[tuple[float, str, str, int]] = []

    def answer(self, request: wrappers.Request) -> platform_http.JsonResponse:
        """Handles one call."""
        if request.path == "/api/rows-tx":
            body = json.loads(request.get_data(cache=True))
            for put in body["puts"]:
                size = len(base64.b64decode(put["value"]))
                if size > ROW_BYTES:
                    self.refused_rows.append(
                        (time.monotonic(), put["table"], put["key"], size)
                    )
                    return 400, {"error": "row_bytes"}
        return super().answer(request)


class Node:
    """A node process, started with the command of the deploy file.

    Attributes:
        links: Its links to the store and to the service for machines, if they
            are simulated.
    """

    def __init__(
        self,
        name: str,
        store_port: int,
        hosts_port: int,
        folder: pathlib.Path,
        has_links: bool = False,
    ) -> None:
        self.name = name
        address = ports.ADDRESS
        self.links: list[cuts.Link] = []
        if has_links:
            link_ports = ports.free_ports(2)
            self.links = [
                cuts.Link(address, port, target_port)
                for port, target_port in zip(
                    link_ports, (store_port, hosts_port), strict=True
                )
            ]
            store_port, hosts_port = link_ports
        self.caller_port, self.ready_port = ports.free_ports(2)
        (first_port,) = ports.free_ports(1, consecutive=16)
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.json"
        self._fields: dict[str, Any] = {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": address,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {
                "front": f"{address}:{self.caller_port}",
                "ready": f"{address}:{self.ready_port}",
            },
            "port_range": [first_port, first_port + 15],
            "bootstrap": True,  # Only at the first start.
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "link_mbps": 1000.0,
            },
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": f"{address}:{store_port}",
                "form": "table",
                "row_bytes": ROW_BYTES,
                "across": False,
            },
            "cloud": {"address": f"{address}:{hosts_port}"},
        }
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        self._settings.write_text(json.dumps(self._fields))
        self._fields["bootstrap"] = False
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                shlex.split(deploy["roles"]["entry"]["run"]),
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WISTERIASILL_CONFIG": str(self._settings),
                },
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def stop(self, number: signal.Signals) -> None:
        """Stops the process by a signal; kills it after the grace period."""
        if self._process is None:
            return
        self.signal(number)
        try:
            self._process.wait(BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process = None

    @property
    def ready(self) -> bool:
        """Whether the node says that it may get callers."""
        return (
            callers.call(ports.ADDRESS, self.ready_port, "GET", "/api/ready")
        ).status == 200


class Site:
    """Store, workers and machines as stand-ins, and node processes.

    Args:
        folder: Folder of the settings and logs of the nodes.
        record: File that gets a line for each event.
        workers_by_service: Number of workers of each service.
        room: Capacity of each worker.
        nodes: Number of nodes.
        links: Whether the nodes have links that can be cut.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: TextIO,
        workers_by_service: Mapping[str, int],
        room: job_spec.Resources,
        nodes: int = 3,
        links: bool = False,
    ) -> None:
        self._record = record
        self._began_at = time.monotonic()
        self._record_lock = threading.Lock()
        self._rows = row_store.MemoryRowStore()
        self.store = BoundedStore(self._rows)
        self.log = timed_worker.RunLog()
        # Label of a worker beside its kind and its rack.
        self.extra_labels: dict[str, str] = {}
        self._service_names = [*workers_by_service]
        self._closing = threading.Event()
        store_port, hosts_port = ports.free_ports(2)
        self._servers = [
            platform_http.serve(
                ports.ADDRESS, store_port, self.store.answer, STORE_THREADS
            )
        ]
        self.workers: list[review_workers.ReviewWorker] = []
        self._services: list[platform_http.WorkerService] = []
        machines: list[hosts.Machine] = []
        for service, count in workers_by_service.items():
            for number in range(count):
                worker = review_workers.ReviewWorker(
                    f"{service}-{number}", room, self.log
                )
                (port,) = ports.free_ports(1)
                interface = platform_http.WorkerService(
                    worker, f"{ports.ADDRESS}:{port}", service
                )
                self.workers.append(worker)
                self._services.append(interface)
                self._servers.append(
                    platform_http.serve(
                        ports.ADDRESS,
                        port,
                        interface.answer,
                        platform_http.WORKER_THREADS,
                    )
                )
                machines.append(
                    hosts.Machine(f"m-{worker.worker_id}", service, worker)
                )
        self.machines = hosts.Machines(machines)
        self._host_server = self.machines.serve(ports.ADDRESS, hosts_port)
        threading.Thread(target=self._register, daemon=True).start()
        self.nodes = [
            Node(f"front-z1-{number}", store_port, hosts_port, folder, links)
            for number in range(1, nodes + 1)
        ]

    def seconds(self, at: float) -> float:
        """Returns a monotonic time as the record shows it."""
        return at - self._began_at

    def fleet_holder(self) -> Node | None:
        """Returns the node that holds the shard of the fleet."""
        state = shard_writer.read_state(self._rows, fleet_rows.SHARD)
        if not isinstance(state, result.Success):
            return None
        return next(
            (node for node in self.nodes if node.name == state.unwrap().holder),
            None,
        )

    def worker_id_of(self, task: job_spec.TaskKey) -> str:
        """Returns the worker of the last start of a task."""
        with self.log.lock:
            return next(
                event.worker_id
                for event in reversed(self.log.run_events)
                if event.task == task and event.event == "start"
            )

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        at = time.monotonic() - self._began_at
        with self._record_lock:
            self._record.write(f"{at:8.3f} {text}\n")
            self._record.flush()

    def start_nodes(self) -> bool:
        """Starts all nodes; returns whether they are ready in time."""
        for node in self.nodes:
            node.start()
        return self.wait(lambda: all(node.ready for node in self.nodes))

    def wait(
        self, condition: Callable[[], bool], seconds: float = READY_SECONDS
    ) -> bool:
        """Waits for a condition; returns whether it holds in time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.1)
        return False

    def publish(
        self, version: int, routes: Sequence[Mapping[str, Any]]
    ) -> None:
        """Stores a configuration, as the operator does."""
        self._write_json(
            "op",
            "config",
            {
                "version": version,
                "routes": [*routes],
                "services": [
                    {"name": name, "admission_control": True}
                    for name in self._service_names
                ],
            },
        )
        self.note(
            f"operator: configuration {version} with the routes "
            f"{[route['name'] for route in routes]} is acknowledged"
        )

    def order_wave(
        self, number: int, most_at_once: int, seconds: float
    ) -> None:
        """Requests the maintenance of all machines."""
        names = [
            machine["machine"]
            for machine in self.machines.listing()["machines"]
        ]
        self._write_json(
            "op",
            f"wave/{number}",
            {
                "wave": number,
                "machines": names,
                "duration_s": seconds,
                "max_count": most_at_once,
            },
        )
        self.note(
            f"operator: wave {number} of {len(names)} machines, at most "
            f"{most_at_once} at once, is acknowledged"
        )

    def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        node: int = 0,
    ) -> callers.Reply:
        """Sends a caller's request to a node and records the answer."""
        reply = callers.call(
            ports.ADDRESS, self.nodes[node].caller_port, method, path, body
        )
        self.note(
            f"caller: {method} {path} to {self.nodes[node].name}: "
            f"{reply.status or 'no response'} {json.dumps(reply.body)[:120]}"
        )
        return reply

    def submit(
        self,
        path: str,
        payload: str,
        steps: Sequence[dict[str, Any]],
        **schedule: int,
    ) -> bool:
        """Submits a job, again after no or an unclear answer."""
        body = {"spec": payload, "steps": [*steps], **schedule}
        for attempt in range(6):
            reply = self.call("POST", path, body, attempt % len(self.nodes))
            if 200 <= reply.status < 300:
                return True
            time.sleep(0.5)
        return False

    def restart_in_turn(self, gap_seconds: float) -> None:
        """Restarts each node by SIGTERM, one after the other."""
        for node in self.nodes:
            self.note(f"platform: SIGTERM to {node.name}")
            node.stop(signal.SIGTERM)
            node.start()
            self.wait(lambda node=node: node.ready)
            self.note(f"platform: {node.name} is back")
            time.sleep(gap_seconds)

    def note_runs(self, most: int = 400) -> None:
        """Adds the starts and ends of runs to the record."""
        with self.log.lock:
            run_events = sorted(self.log.run_events)
        for event in run_events[:most]:
            at = event.at - self._began_at
            task = ".".join(str(part) for part in event.task)
            self._record.write(
                f"{at:8.3f} worker {event.worker_id}: {event.event} of run "
                f"{event.run} of {task}\n"
            )
        if len(run_events) > most:
            self._record.write(
                f"         {len(run_events) - most} more events of runs\n"
            )
        self._record.flush()

    def close(self) -> None:
        """Ends all processes and servers."""
        for node in self.nodes:
            node.stop(signal.SIGKILL)
            for link in node.links:
                link.close()
        self._closing.set()
        self._host_server.shutdown()
        for server in self._servers:
            server.stop()

    def _write_json(self, table: str, key: str, value: dict[str, Any]) -> None:
        self._write_row(table, key, json.dumps(value).encode())

    def _write_row(self, table: str, key: str, value: bytes | None) -> None:
        self._rows.transact("", [], [cluster.RowWrite(table, key, value)], 1.0)

    def _entry(self, service: platform_http.WorkerService) -> bytes:
        entry = json.loads(service.entry())
        if label := self.extra_labels.get(service.worker.worker_id):
            entry["labels"].insert(0, label)
        return json.dumps(entry).encode()

    def _register(self) -> None:
        """Keeps an entry for each worker until three heartbeats are missed."""
        missed_by_id: dict[str, int] = {}
        while not self._closing.is_set():
            for service in self._services:
                worker = service.worker
                if worker.down:
                    continue
                missed_by_id[worker.worker_id] = 0
                self._write_row(
                    "servers", worker.worker_id, self._entry(service)
                )
            for worker_id in [*missed_by_id]:
                missed_by_id[worker_id] += 1
                if missed_by_id[worker_id] > MISSED_HEARTBEATS:
                    del missed_by_id[worker_id]
                    self._write_row("servers", worker_id, None)
            self._closing.wait(HEARTBEAT_SECONDS)


def route(
    name: str, prefix: str, service: str, max_attempts: int = 3
) -> dict[str, Any]:
    """Returns a route of the operator's configuration."""
    return {
        "name": name,
        "host": callers.HOST,
        "prefix": prefix,
        "service": service,
        "max_attempts": max_attempts,
        "stretch": 2,
        "target_latency_ms": 1000,
        "timeout_ms": 3000,
    }


def trouble() -> bool:
    """Whether the script is to cause the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


Case = Callable[[pathlib.Path, TextIO], int]


def run_case(case: Case, folder: pathlib.Path) -> int:
    """Runs a case in a temporary folder and returns its exit status."""
    with (
        tempfile.TemporaryDirectory() as temporary,
        (folder / "record.txt").open("w") as record,
    ):
        try:
            status = case(pathlib.Path(temporary), record)
        except Exception as error:
            record.write(f"the case could not run: {error!r}\n")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
    print({0: "the rule held", 1: "the rule was broken"}.get(status, "no run"))
    return status
