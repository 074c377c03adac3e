"""HTTP stand-ins for the users' platform, for soak and contract tests.

They follow the pages of the platform's protocol, so the names on the wire are
those of the platform. `standins.platform` serves the interfaces of
`links.platform` instead.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Collection, Iterable, Sequence
import json
import threading
import time
from typing import Any

from cheroot import wsgi
from returns import result
from werkzeug import wrappers

from standins import row_store
from standins import timed_worker
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster

JsonResponse = tuple[int, dict[str, Any]]
STORE_THREADS = 48  # Each node watches several tables at a time.
WORKER_THREADS = 24  # Calls without a response occupy threads.
HEARTBEAT_SECONDS = 0.5
MAX_ADVISED_WORKERS = 100

REASONS = {
    cluster.OrderOutcome.FENCED: "fence",
    cluster.OrderOutcome.RUN_TOO_OLD: "old",
    cluster.OrderOutcome.LEASE_TOO_OLD: "late",
    cluster.OrderOutcome.NO_ROOM: "room",
}


def serve(
    host: str,
    port: int,
    handle: Callable[[wrappers.Request], JsonResponse],
    threads: int,
) -> wsgi.Server:
    """Starts a server of JSON responses on a loopback address."""

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        status, body = handle(wrappers.Request(environ))
        response = wrappers.Response(
            json.dumps(body), status, content_type="application/json"
        )
        if status == 500:  # Represents a reset connection.
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    server = wsgi.Server(
        (host, port), application, numthreads=threads, max=threads
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


class StoreService:
    """HTTP interface of the metadata store, over a `MemoryRowStore`."""

    def __init__(self, store: row_store.MemoryRowStore) -> None:
        self._store = store

    def answer(self, request: wrappers.Request) -> JsonResponse:
        """Handles one call."""
        if request.path == "/api/rows-tx":
            return self._transact(json.loads(request.get_data()))
        query = request.args
        if request.path == "/api/rows-get":
            read_result = self._store.read(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                query.get("target", ""),
            )
        elif request.path == "/api/rows-feed":
            read_result = self._store.watch(
                query["table"],
                int(query["after"]),
                int(query.get("wait_ms", 0)) / 1000,
            )
        else:
            return 400, {"error": request.path}
        if isinstance(read_result, result.Success):
            page = read_result.unwrap()
            return 200, {
                "rows": [_row(row) for row in page.rows],
                "has_more": False,
                "ver": page.version,
                "now_ms": int(time.monotonic() * 1000),
            }
        history_lost = (
            read_result.failure().kind is cluster.StoreFaultKind.HISTORY_LOST
        )
        return (410 if history_lost else 503), {}

    def _transact(self, body: dict[str, Any]) -> JsonResponse:
        entries = [*body["expected"], *body["puts"], *body["delete"]]
        parts = {entry["part"] for entry in entries}
        if len(parts) != 1 or len(entries) > 100:
            return 400, {"error": "parts or entries"}
        outcome = self._store.transact(
            parts.pop(),
            [
                cluster.RowVersion(entry["table"], entry["key"], entry["ver"])
                for entry in body["expected"]
            ],
            [
                *(
                    cluster.RowWrite(
                        entry["table"],
                        entry["key"],
                        base64.b64decode(entry["value"]),
                    )
                    for entry in body["puts"]
                ),
                *(
                    cluster.RowWrite(entry["table"], entry["key"], None)
                    for entry in body["delete"]
                ),
            ],
            1.0,
        )
        if isinstance(outcome, result.Success):
            return 200, {"ver": outcome.unwrap(), "now_ms": 0}
        fault = outcome.failure()
        if fault.kind is cluster.StoreFaultKind.CONFLICT:
            return 412, {"rows": [_row(row) for row in fault.rows]}
        if fault.kind is cluster.StoreFaultKind.OUTCOME_UNKNOWN:
            return 500, {}  # Represents a lost response.
        if fault.kind is cluster.StoreFaultKind.INVALID:
            return 400, {"error": fault.detail}
        return 503, {}


def _row(row: cluster.StoredRow) -> dict[str, Any]:
    data: dict[str, Any] = {
        "table": row.table,
        "part": row.partition_key,
        "key": row.key,
        "ver": row.version,
    }
    if row.value is None:
        return data | {"removed": True}
    return data | {"value": base64.b64encode(row.value).decode()}


class WorkerService:
    """HTTP interface of a worker, over a `TimedWorker`.

    Args:
        worker: The worker.
        address: Address of the interface.
        service: Service that the worker belongs to.

    Attributes:
        omitted_fields: Fields that the registry entry lacks.
        entry_malformed: Whether the registry entry can't be decoded.
    """

    def __init__(
        self, worker: timed_worker.TimedWorker, address: str, service: str
    ) -> None:
        self.worker = worker
        self._address = address
        self._service = service
        self._incarnation_by_peer: dict[tuple[str, str], int] = {}
        self.omitted_fields: tuple[str, ...] = ()
        self.entry_malformed = False

    def entry(self) -> bytes:
        """Returns the worker's encoded entry in the registry."""
        if self.entry_malformed:
            return b"\xff"
        room = self.worker.room
        fields = {
            "service": self._service,
            "address": self._address,
            "zone": "z1",
            "state": "ready",
            "capacity": {"cpu": room.cpu, "mem_mb": room.memory_mb},
            "labels": ["a", self.worker.rack],
            "born": self.worker.started_ms,
            "seq": int(time.monotonic() * 1000),
        }
        return json.dumps(
            {
                name: value
                for name, value in fields.items()
                if name not in self.omitted_fields
            }
        ).encode()

    def answer(self, request: wrappers.Request) -> JsonResponse:
        """Handles one call, which a silent worker does not answer."""
        response = self._answer(request)
        if self.worker.responds.is_set():
            return response
        self.worker.responds.wait()
        return 500, {}  # Represents a reset connection.

    def _answer(self, request: wrappers.Request) -> JsonResponse:
        late = self.worker.unreachable
        while self.worker.unreachable:
            time.sleep(timed_worker.POLL_SECONDS)
        peer = request.environ["REMOTE_ADDR"], request.environ["REMOTE_PORT"]
        with self.worker.lock:
            # All incarnations share one server here, but the connections of a
            # real process end with it.
            incarnation = self._incarnation_by_peer.setdefault(
                peer, self.worker.started_ms
            )
            if incarnation != self.worker.started_ms:
                del self._incarnation_by_peer[peer]
                return 500, {}  # Represents a reset connection.
        return self.execute(request, incarnation, late)

    def execute(
        self, request: wrappers.Request, incarnation: int, late: bool
    ) -> JsonResponse:
        """Executes a call that reached an incarnation of the worker.

        Args:
            request: The call.
            incarnation: Start time of the incarnation.
            late: Whether the call was delivered some time ago.
        """
        expected_worker = request.headers.get("Wisteriasill-Expect-Instance")
        if expected_worker not in (None, self.worker.worker_id):
            return 421, {}
        body = json.loads(request.get_data())
        if request.path == "/api/hold":
            if self.worker.down or self.worker.started_ms != incarnation:
                return 500, {}
            return self._hold(body)
        with self.worker.lock:
            if self.worker.down or self.worker.started_ms != incarnation:
                return 500, {}
            return self._execute_order(request.path, body, late)

    def _execute_order(
        self, path: str, body: dict[str, Any], late: bool
    ) -> JsonResponse:
        task = _task_key(body["task"])
        if path == "/api/run-start":
            order = cluster.StartOrder(
                task,
                body["run_id"],
                body["spec"],
                body["deadline_ms"],
                body["fencing_token"],
                body.get("checkpoint", ""),
            )
            return _order_answer(self.worker.start(order, late))
        if path == "/api/run-stop":
            return _order_answer(
                self.worker.stop(task, body["run_id"], body["fencing_token"])
            )
        return 400, {}

    def _hold(self, body: dict[str, Any]) -> JsonResponse:
        report = self.worker.poll(
            body["fencing_token"],
            body["last_seen"],
            body.get("deadline_ms"),
            body.get("wait_ms", 0) / 1000,
        )
        if report is cluster.OrderOutcome.UNKNOWN:
            return 500, {}  # Represents a lost response.
        if isinstance(report, cluster.OrderOutcome):
            return _order_answer(cluster.OrderAnswer(report))
        return 200, {
            "clock_ms": report.clock_ms,
            "born": report.started_ms,
            "running": [
                [_task_name(run.task), run.run, run.checkpoint, run.percent, 0]
                for run in report.runs
            ],
            "finished": [
                [end.number, _task_name(end.task), end.run, end.kind.value, ""]
                for end in report.ends
            ],
        }


class HostService:
    """HTTP interface that lists the hosts of some workers.

    Args:
        workers: A worker of each host, whose id is derived from the worker's.
        service: Service that the workers belong to.

    Attributes:
        down: Whether all calls are refused.
        delay_seconds: Delay of each response.
        reads: Number of lists returned.
    """

    def __init__(
        self, workers: Sequence[timed_worker.TimedWorker], service: str
    ) -> None:
        self._workers = workers
        self._service = service
        self.down = False
        self.delay_seconds = 0.0
        self.reads = 0

    def answer(self, request: wrappers.Request) -> JsonResponse:
        """Handles one call."""
        time.sleep(self.delay_seconds)
        if self.down:
            return 503, {}
        if request.path != "/api/machines":
            return 409, {"reason": "busy"}
        self.reads += 1
        return 200, {
            "machines": [
                {
                    "machine": f"m-{worker.worker_id}",
                    "pool": self._service,
                    "state": "down" if worker.is_listed_down else "up",
                    "zone": "z1",
                    "labels": ["a", worker.rack],
                    "capacity": {
                        "cpu": worker.room.cpu,
                        "mem_mb": worker.room.memory_mb,
                    },
                    "id": worker.worker_id,
                }
                for worker in self._workers
            ],
            "next_token": "",
        }


class AdviceService:
    """HTTP interface of the advice service, for the calls of one node.

    It handles one call at a time, also one that its caller has given up.

    Args:
        rule: How long a call takes and its tickets are valid.
        allowed_ids: Workers that may run every step; None for all.

    Attributes:
        named_by_call: The workers that each call named.
    """

    def __init__(
        self,
        rule: queues.AdviceRule,
        allowed_ids: Collection[str] | None = None,
    ) -> None:
        self._rule = rule
        self._allowed_ids = allowed_ids
        self._turn = threading.Lock()
        self.named_by_call: list[tuple[str, ...]] = []

    def answer(self, request: wrappers.Request) -> JsonResponse:
        """Handles one call."""
        named: list[str] = json.loads(request.get_data())["workers"]
        self.named_by_call.append(tuple(named))
        if len(named) > MAX_ADVISED_WORKERS:
            return 400, {}
        with self._turn:
            time.sleep(
                self._rule.decision_seconds
                + len(named) * self._rule.per_worker_seconds
            )
        return 200, {
            "allowed": [
                [worker_id, f"ticket-{worker_id}"]
                for worker_id in named
                if self._allowed_ids is None or worker_id in self._allowed_ids
            ],
            "valid_ms": int(self._rule.valid_seconds * 1000),
        }


def _order_answer(answer: cluster.OrderAnswer) -> JsonResponse:
    if answer.outcome is cluster.OrderOutcome.DONE:
        return 200, {"clock_ms": answer.clock_ms}
    return 409, {
        "clock_ms": answer.clock_ms,
        "reason": REASONS.get(answer.outcome, "old"),
    }


def _task_key(name: str) -> job_spec.TaskKey:
    job_id, occurrence, step, position = name.split(".")
    return job_spec.TaskKey(job_id, int(occurrence), int(step), int(position))


def _task_name(task: job_spec.TaskKey) -> str:
    return ".".join(str(number) for number in task)
