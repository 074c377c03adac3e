"""A small deployment on loopback: stand-ins, workers and nodes as processes.

Nodes are started with the `run` line of the deploy file. Each reaches the
store through a port of its own, so that only its own link can be harmed.
"""

from __future__ import annotations

import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any

import advice
import http_service
import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HARNESS = pathlib.Path(__file__).resolve().parent
HOST = "jobs.example"
DEADLINE_MS = 3000
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "recovery_s": 12,
    "max_hold_ms": 10000,
    "stop_timeout_ms": 900,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "notice_ms": 4500,
    "migrate_s": 1.5,
    "maintenance_s": 2,
    "require_fencing": False,
    "lease_ms": 3000,
}


FIRST_PORT = 15_000
LAST_PORT = 32_000
# More than a case needs; cases that run side by side search other ports.
PORTS_PER_CASE = 100

_next_port = itertools.count(
    FIRST_PORT + os.getpid() * PORTS_PER_CASE % (LAST_PORT - FIRST_PORT)
)


def free_ports(count: int) -> list[int]:
    """Returns ports in a row that are free now, each of them once.

    They lie below the range from which the system takes ports for outgoing
    connections.
    """
    ports: list[int] = []
    for port in itertools.islice(_next_port, 20 * PORTS_PER_CASE):
        ports = [*ports, port] if _is_free(port) else []
        if len(ports) == count:
            return ports
    raise OSError("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((http_service.ADDRESS, port))
        except OSError:
            return False
    return True


class Record:
    """What was sent, answered and run, written to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Writes a line with its time in seconds."""
        seconds = (time.monotonic() if at is None else at) - self._started_at
        with self._lock:
            self._file.write(f"{seconds:8.3f} {text}\n")
            self._file.flush()


class StoreLink:
    """The link of one node to the platform.

    Attributes:
        is_busy: Whether the store turns the node away with 503.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self.is_busy = False
        self.server = http_service.serve(self._answer)

    @property
    def address(self) -> str:
        """IP and port."""
        return f"{http_service.ADDRESS}:{self.server.server_address[1]}"

    def _answer(
        self, request: http_service.Request
    ) -> http_service.Answer | None:
        if self.is_busy:
            return 503, {}
        answer = self._site.store.answer(request)
        if request.path == "/api/rows-tx" and answer[0] == 200:
            self._site.last_writer_by_table.update(
                (row["table"], self)
                for row in request.body["puts"]
                if request.body["expected"]
            )
        if self.is_busy and request.path == "/api/rows-feed":
            return 503, {}  # It was waiting as the store began to refuse.
        return answer


class Node:
    """A node process.

    Args:
        site: The site.
        name: Name of the node.
        limits: Limits of its machine, as in its settings.
    """

    def __init__(self, site: Site, name: str, limits: dict[str, Any]) -> None:
        self.name = name
        self._site = site
        self.link = StoreLink(site)
        front, ready, first = free_ports(4)[:3]
        self.front_port = front
        self.ready_port = ready
        self._settings = site.folder / f"{name}.json"
        self._settings.write_text(
            json.dumps(self._settings_of(front, ready, first, limits))
        )
        self.log = site.folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def _settings_of(
        self, front: int, ready: int, first: int, limits: dict[str, Any]
    ) -> dict[str, Any]:
        ip = http_service.ADDRESS
        return {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
            "port_range": [first, first + 1],
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": limits,
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "advice": self._site.advice_address,
            "platform": {
                "address": self.link.address,
                "form": "table",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "tx_ms": 6.0,
                "row_bytes": 65536,
                "across": False,
                "history_s": 20,
            },
            "cloud": {"address": self._site.cloud_address},
        }

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WISTERIASILL_CONFIG": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
        self._site.record.write(f"node {self.name} started")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._site.record.write(f"node {self.name} gets {number.name}")
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Whether its readiness probe answers 200."""
        try:
            return ask(self.ready_port, "GET", "/api/ready")[0] == 200
        except (OSError, ValueError):
            return False  # Not there yet, or another server has the port.


def ask(
    port: int,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    timeout_seconds: float = DEADLINE_MS / 1000,
) -> tuple[int, dict[str, Any]]:
    """Sends one request on a new connection.

    Raises:
        OSError: There is no complete answer in time.
    """
    connection = http.client.HTTPConnection(
        http_service.ADDRESS, port, timeout=timeout_seconds
    )
    try:
        connection.request(
            method,
            path,
            json.dumps(body) if body is not None else None,
            {
                "Host": HOST,
                "Content-Type": "application/json",
                "Wisteriasill-Request-Deadline": str(DEADLINE_MS),
            },
        )
        response = connection.getresponse()
        text = response.read()
        data = json.loads(text) if text else {}
        return response.status, data if isinstance(data, dict) else {}
    except http.client.HTTPException as error:
        raise OSError(f"no complete answer: {error!r}") from error
    finally:
        connection.close()


class Site:
    """The stand-ins and the processes of one case.

    Args:
        case: Folder of the case; `record.txt` is written there.
    """

    def __init__(self, case: pathlib.Path) -> None:
        self.record = Record(case / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = platform_store.Store()
        self._registry = platform_store.Registry(self.store)
        registry = http_service.serve(self._registry.answer)
        self._registry_address = _address(registry)
        self.cloud_address = _address(http_service.serve(self._answer_cloud))
        self.advice = advice.Advice(self.record.write)
        self.advice_address = _address(http_service.serve(self.advice.answer))
        self.machines: dict[str, dict[str, Any]] = {}
        self._machine_by_worker: dict[str, dict[str, Any]] = {}
        self._services: set[str] = set()
        self._cloud_lock = threading.Lock()
        # Held while a worker is started, so that none is after the end.
        self._start_lock = threading.Lock()
        self._closed = False
        # Which link wrote last to each table under a condition.
        self.last_writer_by_table: dict[str, StoreLink] = {}
        self.nodes: list[Node] = []
        self.worker_by_id: dict[str, subprocess.Popen[bytes]] = {}
        self._arguments_by_id: dict[str, list[str]] = {}
        self.worker_log = self.folder / "workers.log"
        self.worker_log.touch()

    def _answer_cloud(
        self, request: http_service.Request
    ) -> http_service.Answer:
        """Lists the machines and moves them; no wave asks for upkeep."""
        if request.path == "/api/machines":
            return 200, {
                "machines": [dict(row) for row in self.machines.values()],
                "next_token": "",
            }
        if request.path != "/api/machine-move":
            return 409, {"reason": "wave"}
        name, pool = request.body.get("machine"), request.body.get("pool")
        with self._cloud_lock:
            machine = self.machines.get(str(name))
            if machine is None or pool not in self._services:
                return 400, {}
            if pool == machine["pool"] and machine["state"] != "down":
                return 200, {}  # It is done already.
            if machine["state"] != "up":
                return 409, {"reason": "busy"}
            self.record.write(f"cloud: {request.path} {request.body}")
            machine["state"], machine["pool"] = "moving", pool
            threading.Thread(
                target=self._renew_worker, args=(machine,), daemon=True
            ).start()
        return 200, {}

    def _renew_worker(self, machine: dict[str, Any]) -> None:
        """Ends the worker of a machine; a new one joins the other pool."""
        worker_id = str(machine["id"])
        process = self.worker_by_id[worker_id]
        process.kill()
        process.wait()
        self._registry.remove(worker_id)
        machine["id"] = ""
        time.sleep(BOUNDS["migrate_s"])
        machine["id"] = self._new_worker(machine)
        machine["state"] = "up"

    def add_node(self, limits: dict[str, Any] | None = None) -> Node:
        """Adds a node, which is not started yet."""
        node = Node(
            self,
            f"front-{len(self.nodes) + 1}",
            limits
            or {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
        )
        self.nodes.append(node)
        return node

    def add_worker(self, service: str, *options: str) -> str:
        """Adds a machine and starts its worker process.

        Args:
            service: Service of the pool.
            *options: Further arguments of the worker.

        Returns:
            The id of the worker.
        """
        number = len(self.machines) + 1
        machine: dict[str, Any] = {
            "machine": f"m-{number:04}",
            "pool": service,
            "state": "up",
            "zone": "z1",
            "labels": ["a", f"r{number % 4}"],
            "capacity": {"cpu": 16_000, "mem_mb": 65_536},
        }
        self._services.add(service)
        worker_id = machine["id"] = self._new_worker(machine, *options)
        self.machines[machine["machine"]] = machine
        return worker_id

    def _new_worker(self, machine: dict[str, Any], *options: str) -> str:
        worker_id = f"i-{len(self._arguments_by_id) + 1:04}"
        self._machine_by_worker[worker_id] = machine
        self._arguments_by_id[worker_id] = [
            sys.executable,
            str(HARNESS / "worker.py"),
            "--id",
            worker_id,
            "--service",
            machine["pool"],
            "--machine",
            machine["machine"],
            "--rack",
            machine["labels"][-1],
            "--registry",
            self._registry_address,
            "--log",
            str(self.worker_log),
            "--port",
            str(free_ports(1)[0]),
            *options,
        ]
        self.start_worker(worker_id)
        return worker_id

    def start_worker(self, worker_id: str) -> None:
        """Starts a worker, again with the id and address that it had."""
        with self._start_lock:
            if self._closed:
                return
            with (self.folder / f"{worker_id}.err").open("ab") as errors:
                self.worker_by_id[worker_id] = subprocess.Popen(
                    self._arguments_by_id[worker_id],
                    stdout=subprocess.DEVNULL,
                    stderr=errors,
                )
        self._machine_by_worker[worker_id]["state"] = "up"
        self.record.write(f"worker {worker_id} started")

    def crash_worker(self, worker_id: str) -> None:
        """Kills a worker; the list of machines shows it as down."""
        process = self.worker_by_id[worker_id]
        process.kill()
        process.wait()
        self._machine_by_worker[worker_id]["state"] = "down"
        self.record.write(f"worker {worker_id} crashed (SIGKILL)")

    def publish(
        self,
        version: int,
        routes: dict[str, str],
        services: list[str],
        **settings: Any,
    ) -> None:
        """Writes a configuration as the operator does.

        Args:
            version: Its version.
            routes: The services of the routes, by prefix.
            services: All services.
            **settings: Further fields of each route.
        """
        fields = {
            "host": HOST,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 2.0,
            "target_latency_ms": 1000,
            "timeout_ms": 3000,
            **settings,
        }
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "name": f"{prefix.strip('/')}-{service}",
                        "prefix": prefix,
                        "service": service,
                        **fields,
                    }
                    for prefix, service in routes.items()
                ],
                "services": [
                    {"name": name, "admission_control": True}
                    for name in services
                ],
                "limits": {"max_body_bytes": 262144},
            },
        )
        self.record.write(f"operator: configuration {version}: {routes}")

    def wait_ready(self, seconds: float = 15.0) -> bool:
        """Waits until all nodes are ready and workers have polls."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(node.is_ready() for node in self.nodes):
                return True
            time.sleep(0.1)
        return False

    def holder(self, shard: str) -> str:
        """Returns the node that holds a shard; empty for none."""
        value = self.store.value("shards", shard, "owner")
        return value.decode() if value else ""

    def runs(self) -> list[tuple[float, str, str, str, str, int, str]]:
        """Returns what the workers recorded, in order of time."""
        rows = []
        for line in self.worker_log.read_text().splitlines():
            at, worker_id, service, event, task, run, *detail = line.split(" ")
            rows.append(
                (
                    float(at),
                    worker_id,
                    service,
                    event,
                    task,
                    int(run),
                    " ".join(detail),
                )
            )
        return sorted(rows)

    def close(self) -> None:
        """Ends all processes and copies the workers' record."""
        with self._start_lock:
            self._closed = True
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for process in [*self.worker_by_id.values()]:
            if process.poll() is None:
                process.kill()
            process.wait()
        for at, worker_id, service, event, task, run, detail in self.runs():
            self.record.write(
                f"worker {worker_id} of {service}: {event} {task} run {run} "
                f"{detail}",
                at,
            )
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.iterdir():
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def _address(server: Any) -> str:
    return f"{http_service.ADDRESS}:{server.server_address[1]}"
