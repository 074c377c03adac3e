"""Worker in real time, with run ends, leases and restarts.

It runs a `MemoryWorker` of `batch_worker`, whose time it sets.
"""

from __future__ import annotations

from collections.abc import Callable
import threading
import time
from typing import NamedTuple

from standins import batch_worker
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster

POLL_SECONDS = 0.01
RESTART_SECONDS = 0.3  # Shortest restart of a real process.


class RunEvent(NamedTuple):
    """A start or an end of a run, as its worker observed it.

    Attributes:
        at: Monotonic time in seconds.
        task: The task.
        run: Number of the run.
        worker_id: Id of the worker.
        event: `start`, or how the run ended.
    """

    at: float
    task: job_spec.TaskKey
    run: int
    worker_id: str
    event: str


class RunLog:
    """Log of the runs of all workers, which checks invariants.

    Attributes:
        lock: Guards the log.
        run_events: All starts and ends.
        faults: Violations: concurrent runs of a task, and starts of a task
            whose completion has been acknowledged.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.run_events: list[RunEvent] = []
        self.faults: list[str] = []
        # Runs without a recorded end, each with a function that checks
        # whether the run is over by now.
        self._open_runs_by_task: dict[
            job_spec.TaskKey, dict[tuple[str, int], Callable[[], bool]]
        ] = {}
        self._acknowledged_at_by_task: dict[job_spec.TaskKey, float] = {}

    def started(
        self,
        task: job_spec.TaskKey,
        run: int,
        worker_id: str,
        is_over: Callable[[], bool],
    ) -> None:
        """Records a start and checks that the task runs nowhere else.

        Args:
            task: The task.
            run: Number of the run.
            worker_id: Worker that starts the run.
            is_over: Returns whether the run time or the lease has ended. A
                worker records an end only at the next call, which may come
                much later.
        """
        with self.lock:
            now = time.monotonic()
            self.run_events.append(RunEvent(now, task, run, worker_id, "start"))
            open_runs = self._open_runs_by_task.setdefault(task, {})
            others = {
                key
                for key, run_is_over in open_runs.items()
                if not run_is_over()
            }
            if others:
                self.faults.append(f"two runs of {task}: {run}, {others}")
            if task in self._acknowledged_at_by_task:
                self.faults.append(
                    f"{task} starts after its completion was acknowledged"
                )
            open_runs[worker_id, run] = is_over

    def ended(
        self, task: job_spec.TaskKey, run: int, worker_id: str, event: str
    ) -> None:
        """Records an end."""
        with self.lock:
            now = time.monotonic()
            self.run_events.append(RunEvent(now, task, run, worker_id, event))
            self._open_runs_by_task.get(task, {}).pop((worker_id, run), None)

    def acknowledged(self, task: job_spec.TaskKey) -> None:
        """Records that the product acknowledged the completion of a task."""
        with self.lock:
            self._acknowledged_at_by_task.setdefault(task, time.monotonic())


class TimedWorker:
    """Worker of one host, with one incarnation after another.

    Args:
        worker_id: Id of the worker, kept over restarts.
        room: Capacity of the worker.
        log: Log of the starts and ends of runs.
    """

    def __init__(
        self, worker_id: str, room: job_spec.Resources, log: RunLog
    ) -> None:
        self.worker_id = worker_id
        self.room = room
        self.unreachable = False
        self.down = False
        self.started_ms = 0
        self._log = log
        self._lock = threading.RLock()
        self._seconds_by_task: dict[job_spec.TaskKey, float] = {}
        self._ends_at_by_task: dict[job_spec.TaskKey, float] = {}
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self.started_ms = max(self.started_ms + 1, int(time.time() * 1000))
        self._started_at = time.monotonic()
        self._worker = batch_worker.MemoryWorker(self.room, self.started_ms)
        self._lease_until_ms = 0
        self._ends_at_by_task.clear()

    def crash(self) -> None:
        """Ends this incarnation and its runs; starts another after a delay."""
        with self._lock:
            self.down = True
            for task, run in self._worker.running.items():
                self._log.ended(task, run, self.worker_id, "crash")
            self._start_incarnation()
        time.sleep(RESTART_SECONDS)
        self.down = False

    def start(self, order: cluster.StartOrder) -> cluster.OrderAnswer:
        """Starts a run if there is capacity for it."""
        with self._lock:
            self._advance()
            is_running = self._worker.running.get(order.task) == order.run
            if (
                not is_running
                and len(self._worker.running) * 1000 >= self.room.cpu
            ):
                return cluster.OrderAnswer(
                    cluster.OrderOutcome.NO_ROOM, self._worker.clock_ms
                )
            answer = self._worker.start(order)
            if answer.outcome is cluster.OrderOutcome.DONE and not is_running:
                # The payload is the run time of the task in milliseconds.
                ends_at = time.monotonic() + int(order.payload) / 1000
                self._ends_at_by_task[order.task] = ends_at
                self._lease_until_ms = max(
                    self._lease_until_ms, order.lease_until_ms
                )
                self._log.started(
                    order.task,
                    order.run,
                    self.worker_id,
                    self._over_check(ends_at),
                )
            return answer

    def _over_check(self, ends_at: float) -> Callable[[], bool]:
        """Returns a function that checks whether a run is over.

        The function does not call the worker.

        Args:
            ends_at: Monotonic time at which the run completes.
        """
        started_ms, started_at = self.started_ms, self._started_at

        def is_over() -> bool:
            now = time.monotonic()
            return (
                now >= ends_at
                or self.started_ms != started_ms
                or (now - started_at) * 1000 >= self._lease_until_ms
            )

        return is_over

    def stop(
        self, task: job_spec.TaskKey, run: int, fencing_epoch: int
    ) -> cluster.OrderAnswer:
        """Stops a run."""
        with self._lock:
            self._advance()
            was_running = self._worker.running.get(task) == run
            answer = self._worker.stop(task, run, fencing_epoch)
            if was_running and answer.outcome is cluster.OrderOutcome.DONE:
                self._log.ended(task, run, self.worker_id, "stopped")
            return answer

    def poll(
        self,
        fencing_epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Reports running and ended runs, after a wait for an end."""
        deadline = time.monotonic() + wait_seconds
        started_ms = self.started_ms
        while True:
            with self._lock:
                if self.started_ms != started_ms:
                    # A crash broke the connection of this call.
                    return cluster.OrderOutcome.UNKNOWN
                self._advance()
                report = self._worker.poll(
                    fencing_epoch, 0, lease_until_ms, 0.0
                )
                if isinstance(report, cluster.OrderOutcome):
                    return report
                self._lease_until_ms = max(
                    self._lease_until_ms, lease_until_ms or 0
                )
                for ended in report.ends:
                    if (
                        ended.number <= acknowledged
                        and ended.kind is cluster.RunEndKind.DONE
                    ):
                        self._log.acknowledged(ended.task)
                report = self._worker.poll(
                    fencing_epoch, acknowledged, None, 0.0
                )
                assert isinstance(report, cluster.WorkerReport)
                if report.ends or time.monotonic() >= deadline:
                    return report
            time.sleep(POLL_SECONDS)

    def _advance(self) -> None:
        """Ends runs that are complete or whose lease has expired."""
        now = time.monotonic()
        self._worker.clock_ms = int((now - self._started_at) * 1000) + 1
        lease_expired = self._worker.clock_ms >= self._lease_until_ms
        for task, run in self._worker.running.items():
            if now >= self._ends_at_by_task[task]:
                kind = cluster.RunEndKind.DONE
            elif lease_expired:
                kind = cluster.RunEndKind.LAPSED
            else:
                continue
            self._worker.finish(task, kind)
            self._log.ended(task, run, self.worker_id, kind.value)
