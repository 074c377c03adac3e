"""Worker in real time, with run ends, leases and restarts.

It runs a `MemoryWorker` of `batch_worker`, whose time it sets.
"""

from __future__ import annotations

from collections.abc import Callable
import math
import random
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
        fencing_epoch: Fencing token of a start order.
        late: Whether a start order was executed after its delivery.
    """

    at: float
    task: job_spec.TaskKey
    run: int
    worker_id: str
    event: str
    fencing_epoch: int = 0
    late: bool = False


class RunLog:
    """Log of the runs of all workers, which checks invariants.

    Attributes:
        lock: Guards the log.
        run_events: All starts and ends.
        violations: Concurrent runs of a task, and starts of a task after an
            end `done` that was acknowledged before or after the start.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.run_events: list[RunEvent] = []
        self.violations: list[str] = []
        self._starts_by_task: dict[job_spec.TaskKey, list[RunEvent]] = {}
        # Runs without a recorded end, each with a function that checks
        # whether the run is over by now.
        self._open_runs_by_task: dict[
            job_spec.TaskKey, dict[tuple[str, int], Callable[[], bool]]
        ] = {}
        # Listed ends `done` that a later acknowledgement makes final.
        self._done_at_by_run: dict[
            tuple[job_spec.TaskKey, str, int], float
        ] = {}
        self._acknowledged_tasks: set[job_spec.TaskKey] = set()

    def started(
        self,
        task: job_spec.TaskKey,
        run: int,
        worker_id: str,
        is_over: Callable[[], bool],
        fencing_epoch: int = 0,
        late: bool = False,
        at: float | None = None,
    ) -> None:
        """Records a start and checks that the task runs nowhere else.

        Args:
            task: The task.
            run: Number of the run.
            worker_id: Worker that starts the run.
            is_over: Returns whether the run time or the lease has ended. A
                worker records an end only at the next call, which may come
                much later.
            fencing_epoch: Fencing token of the order.
            late: Whether the order was executed after its delivery.
            at: Monotonic time of the start; None for now.
        """
        with self.lock:
            run_event = RunEvent(
                time.monotonic() if at is None else at,
                task,
                run,
                worker_id,
                "start",
                fencing_epoch,
                late,
            )
            self.run_events.append(run_event)
            self._starts_by_task.setdefault(task, []).append(run_event)
            open_runs = self._open_runs_by_task.setdefault(task, {})
            others = {
                key
                for key, run_is_over in open_runs.items()
                if not run_is_over()
            }
            if others:
                self.violations.append(f"two runs of {task}: {run}, {others}")
            if task in self._acknowledged_tasks:
                self.violations.append(
                    f"{task} starts after its completion was acknowledged"
                )
            open_runs[worker_id, run] = is_over

    def ended(
        self,
        task: job_spec.TaskKey,
        run: int,
        worker_id: str,
        event: str,
        at: float | None = None,
    ) -> None:
        """Records an end.

        Args:
            task: The task.
            run: Number of the run.
            worker_id: Worker that ran it.
            event: How it ended.
            at: Monotonic time of the end; None for now.
        """
        with self.lock:
            ended_at = time.monotonic() if at is None else at
            self.run_events.append(
                RunEvent(ended_at, task, run, worker_id, event)
            )
            self._open_runs_by_task.get(task, {}).pop((worker_id, run), None)
            if event == cluster.RunEndKind.DONE.value:
                self._done_at_by_run[task, worker_id, run] = ended_at

    def open_tasks(self) -> set[job_spec.TaskKey]:
        """Returns the tasks with a run that is not over."""
        with self.lock:
            return {
                task
                for task, open_runs in self._open_runs_by_task.items()
                if not all(is_over() for is_over in open_runs.values())
            }

    def forget_done(self, worker_id: str) -> None:
        """Drops a worker's unacknowledged ends.

        An end counts as taken note of only if the worker's lease did not expire
        before its acknowledgement. A crash loses the ends.
        """
        with self.lock:
            for key in [
                key for key in self._done_at_by_run if key[1] == worker_id
            ]:
                del self._done_at_by_run[key]

    def acknowledged(
        self, task: job_spec.TaskKey, run: int, worker_id: str
    ) -> None:
        """Records that the product acknowledged the completion of a task."""
        with self.lock:
            done_at = self._done_at_by_run.pop((task, worker_id, run), None)
            if done_at is None:
                return
            self._acknowledged_tasks.add(task)
            self.violations.extend(
                f"run {started.run} of {task} started on {started.worker_id} "
                f"{started.at - done_at:.2f} s after run {run} had ended as "
                f"done on {worker_id}"
                for started in self._starts_by_task.get(task, [])
                if started.at > done_at
            )


class TimedWorker:
    """Worker of one host, with one incarnation after another.

    Args:
        worker_id: Id of the worker, kept over restarts.
        room: Capacity of the worker.
        log: Log of the starts and ends of runs.
        rack: Label of the rack of its host.

    Attributes:
        down: Whether it has crashed and is not back yet.
        responds: Set unless it is silent: its connections stay open without
            responses then.
        silent_at_start: Whether the next start makes it silent before it
            confirms the start.
        silent_at_task: Task whose next start order makes it silent before the
            task starts; None for none, or once it has.
        last_start_at: Monotonic time of the last start.
        max_stop_seconds: Longest time that a run goes on after its stop.
    """

    def __init__(
        self,
        worker_id: str,
        room: job_spec.Resources,
        log: RunLog,
        rack: str = "r1",
    ) -> None:
        self.worker_id = worker_id
        self.rack = rack
        self.room = room
        self.unreachable = False
        self.down = False
        self.responds = threading.Event()
        self.responds.set()
        self.silent_at_start = False
        self.silent_at_task: job_spec.TaskKey | None = None
        self.last_start_at = 0.0
        self.started_ms = 0
        self.max_stop_seconds = 0.0
        # Held while an order is executed, so that no restart interrupts it.
        self.lock = threading.RLock()
        self._log = log
        self._restart_lock = threading.Lock()
        self._listed_down_at = 0.0
        self._ends_at_by_task: dict[job_spec.TaskKey, float] = {}
        self._stops_at_by_run: dict[tuple[job_spec.TaskKey, int], float] = {}
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self.started_ms = max(self.started_ms + 1, int(time.time() * 1000))
        self._started_at = time.monotonic()
        self._worker = batch_worker.MemoryWorker(self.room, self.started_ms)
        self._lease_until_ms = 0
        self._ends_at_by_task.clear()
        self._stops_at_by_run.clear()

    @property
    def is_listed_down(self) -> bool:
        """Whether the list of hosts shows that it is down."""
        return self.down and time.monotonic() >= self._listed_down_at

    def crash(
        self,
        seconds: float = RESTART_SECONDS,
        silent_seconds: float = 0.0,
        unlisted_seconds: float = 0.0,
    ) -> None:
        """Ends this incarnation and its runs; starts another after a delay.

        Args:
            seconds: Time from the reset of its connections to its return.
            silent_seconds: Time before, in which they stay open without
                responses.
            unlisted_seconds: Time until the list of hosts may show the crash.
        """
        with self._restart_lock:
            with self.lock:
                self._listed_down_at = time.monotonic() + unlisted_seconds
                self.down = True
                if silent_seconds:
                    self.responds.clear()
                self._advance()
                for task, run in self._worker.running.items():
                    self._log.ended(task, run, self.worker_id, "crash")
                self._log.forget_done(self.worker_id)
                self._start_incarnation()
            time.sleep(silent_seconds)
            self.responds.set()
            time.sleep(seconds)
            with self.lock:
                self._start_incarnation()
                self.down = False

    def start(
        self, order: cluster.StartOrder, late: bool = False
    ) -> cluster.OrderAnswer:
        """Starts a run if there is capacity for it."""
        with self.lock:
            self._advance()
            if self.silent_at_task == order.task:
                self.silent_at_task = None
                self.responds.clear()
                return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
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
                started_at = time.monotonic()
                ends_at = started_at + int(order.payload) / 1000
                self._ends_at_by_task[order.task] = ends_at
                self._lease_until_ms = max(
                    self._lease_until_ms, order.lease_until_ms
                )
                self._log.started(
                    order.task,
                    order.run,
                    self.worker_id,
                    self._over_check(order.task, order.run, ends_at),
                    order.fencing_epoch,
                    late,
                    started_at,
                )
                self.last_start_at = started_at
                if self.silent_at_start:
                    self.responds.clear()
            return answer

    def _over_check(
        self, task: job_spec.TaskKey, run: int, ends_at: float
    ) -> Callable[[], bool]:
        """Returns a function that checks whether a run is over.

        The function does not call the worker.

        Args:
            task: The task.
            run: Number of the run.
            ends_at: Monotonic time at which the run completes.
        """
        started_ms, started_at = self.started_ms, self._started_at

        def is_over() -> bool:
            now = time.monotonic()
            return (
                now >= ends_at
                or now >= self._stops_at_by_run.get((task, run), math.inf)
                or self.started_ms != started_ms
                or (now - started_at) * 1000 >= self._lease_until_ms
            )

        return is_over

    def stop(
        self, task: job_spec.TaskKey, run: int, fencing_epoch: int
    ) -> cluster.OrderAnswer:
        """Stops a run."""
        with self.lock:
            self._advance()
            was_running = self._worker.running.get(task) == run
            if was_running and self.max_stop_seconds:
                return self._stop_later(task, run, fencing_epoch)
            answer = self._worker.stop(task, run, fencing_epoch)
            if was_running and answer.outcome is cluster.OrderOutcome.DONE:
                self._log.ended(task, run, self.worker_id, "stopped")
            return answer

    def _stop_later(
        self, task: job_spec.TaskKey, run: int, fencing_epoch: int
    ) -> cluster.OrderAnswer:
        # A poll checks the fencing token without any other effect.
        report = self._worker.poll(fencing_epoch, 0, None, 0.0)
        if isinstance(report, cluster.OrderOutcome):
            return cluster.OrderAnswer(report, self._worker.clock_ms)
        self._stops_at_by_run.setdefault(
            (task, run),
            time.monotonic() + random.uniform(0.0, self.max_stop_seconds),
        )
        return cluster.OrderAnswer(
            cluster.OrderOutcome.DONE, self._worker.clock_ms
        )

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
            with self.lock:
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
                        self._log.acknowledged(
                            ended.task, ended.run, self.worker_id
                        )
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
        lease_ends_at = self._started_at + self._lease_until_ms / 1000
        # Of several ends the first counts, although a call notices them later.
        for task, run in self._worker.running.items():
            ended_at, kind = min(
                (self._ends_at_by_task[task], cluster.RunEndKind.DONE),
                (
                    self._stops_at_by_run.get((task, run), math.inf),
                    cluster.RunEndKind.STOPPED,
                ),
                (lease_ends_at, cluster.RunEndKind.LAPSED),
                key=lambda end: end[0],
            )
            if ended_at <= now:
                self._worker.finish(task, kind)
                self._log.ended(task, run, self.worker_id, kind.value, ended_at)
        if lease_ends_at <= now:
            self._log.forget_done(self.worker_id)
