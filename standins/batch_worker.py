"""In-memory worker that checks fencing tokens; the test sets its time.

`timed_worker` runs it in real time and enforces its lease.
"""

from __future__ import annotations

import collections
import threading

from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster


class MemoryWorker:
    """Implements `cluster.WorkerLink`; the test sets the time.

    Attributes:
        room: Capacity of the worker.
        started_ms: Start time of the incarnation in milliseconds.
        clock_ms: Monotonic clock of the worker in milliseconds.
        unreachable: Whether calls get no response and have no effect.
        lost_starts: Number of upcoming starts that take effect without a
            response.
        stop_outcomes: Outcomes of upcoming stops that have no effect.
        stops: All stops that arrived: task and run.
        starts: All starts that took effect: task, run and fencing token.
        percent: Speed limit that the reports show.
        measure: Measured load that the reports show.
        pace_by_task: Last speed limit by task.
    """

    def __init__(self, room: job_spec.Resources, started_ms: int = 1) -> None:
        self.room = room
        self.started_ms = started_ms
        self.clock_ms = 1000
        self.unreachable = False
        self.lost_starts = 0
        self.stop_outcomes: collections.deque[cluster.OrderOutcome] = (
            collections.deque()
        )
        self.stops: list[tuple[job_spec.TaskKey, int]] = []
        self.starts: list[tuple[job_spec.TaskKey, int, int]] = []
        self.percent = 100
        self.measure = 0.0
        self.pace_by_task: dict[job_spec.TaskKey, int] = {}
        self._fencing_token = 0
        self._lease_until_ms = 0
        self._run_by_task: dict[job_spec.TaskKey, int] = {}
        self._last_run_by_task: dict[job_spec.TaskKey, int] = {}
        self._ends: list[cluster.RunEnd] = []
        self._last_end_number = 0
        self._lock = threading.RLock()

    @property
    def lease_until_ms(self) -> int:
        """End of the lease on the worker's clock."""
        return self._lease_until_ms

    @property
    def last_end_number(self) -> int:
        """Number of the last run that ended; 0 before the first."""
        return self._last_end_number

    @property
    def running(self) -> dict[job_spec.TaskKey, int]:
        """Numbers of the runs in progress by task."""
        return dict(self._run_by_task)

    def finish(
        self,
        task: job_spec.TaskKey,
        kind: cluster.RunEndKind = cluster.RunEndKind.DONE,
        checkpoint: str = "",
    ) -> None:
        """Ends the run of a task."""
        with self._lock:
            run = self._run_by_task.pop(task)
            self._last_run_by_task[task] = run
            self._last_end_number += 1
            self._ends.append(
                cluster.RunEnd(
                    self._last_end_number, task, run, kind, checkpoint
                )
            )

    def start(
        self, order: cluster.StartOrder, timeout_seconds: float = 1.0
    ) -> cluster.OrderAnswer:
        """Starts a run."""
        with self._lock:
            if self.unreachable:
                return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
            if order.fencing_epoch < self._fencing_token:
                return self._answer(cluster.OrderOutcome.FENCED)
            self._fencing_token = order.fencing_epoch
            if self._run_by_task.get(order.task) == order.run:
                return self._answer(cluster.OrderOutcome.DONE)
            if order.run <= self._last_run_by_task.get(order.task, 0):
                return self._answer(cluster.OrderOutcome.RUN_TOO_OLD)
            self._run_by_task[order.task] = order.run
            self._lease_until_ms = max(
                self._lease_until_ms, order.lease_until_ms
            )
            self.starts.append((order.task, order.run, order.fencing_epoch))
            if self.lost_starts:
                self.lost_starts -= 1
                return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
            return self._answer(cluster.OrderOutcome.DONE)

    def stop(
        self,
        task: job_spec.TaskKey,
        run: int,
        fencing_epoch: int,
        timeout_seconds: float = 1.0,
    ) -> cluster.OrderAnswer:
        """Stops a run; if it has not started, rejects its later start."""
        with self._lock:
            if self.unreachable:
                return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
            self.stops.append((task, run))
            if self.stop_outcomes:
                return cluster.OrderAnswer(self.stop_outcomes.popleft())
            if fencing_epoch < self._fencing_token:
                return self._answer(cluster.OrderOutcome.FENCED)
            self._fencing_token = fencing_epoch
            self._last_run_by_task[task] = max(
                run, self._last_run_by_task.get(task, 0)
            )
            if self._run_by_task.get(task) == run:
                self.finish(task, cluster.RunEndKind.STOPPED)
            return self._answer(cluster.OrderOutcome.DONE)

    def pace(
        self,
        task: job_spec.TaskKey,
        run: int,
        percent: int,
        fencing_epoch: int,
        timeout_seconds: float = 1.0,
    ) -> cluster.OrderAnswer:
        """Limits a run to a percentage of full speed."""
        self.pace_by_task[task] = percent
        return self._answer(cluster.OrderOutcome.DONE)

    def poll(
        self,
        fencing_epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float = 1.0,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Extends the lease and reads running and ended runs."""
        with self._lock:
            if self.unreachable:
                return cluster.OrderOutcome.UNKNOWN
            if fencing_epoch < self._fencing_token:
                return cluster.OrderOutcome.FENCED
            self._fencing_token = fencing_epoch
            self._lease_until_ms = max(
                self._lease_until_ms, lease_until_ms or 0
            )
            self._ends = [
                end for end in self._ends if end.number > acknowledged
            ]
            return cluster.WorkerReport(
                self.clock_ms,
                self.started_ms,
                tuple(
                    cluster.RunReport(task, run, "", self.percent, self.measure)
                    for task, run in self._run_by_task.items()
                ),
                tuple(self._ends),
            )

    def close(self) -> None:
        """Does nothing, because there are no connections."""

    def _answer(self, outcome: cluster.OrderOutcome) -> cluster.OrderAnswer:
        return cluster.OrderAnswer(outcome, self.clock_ms)
