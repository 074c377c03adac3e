"""An in-memory worker that runs tasks under a lease and a fence."""

from __future__ import annotations

import threading

from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster


class MemoryWorker:
    """Implements `cluster.WorkerLink`; time is set by hand.

    Attributes:
        clock_ms: The worker's steady clock.
        cut: Whether calls get no answer and do nothing.
        lost_starts: How many of the next starts are done but not answered.
        starts: Every start that took effect: task, run and fence.
    """

    def __init__(self, room: job_spec.Room, born_ms: int = 1) -> None:
        self.room = room
        self.born_ms = born_ms
        self.clock_ms = 1000
        self.cut = False
        self.lost_starts = 0
        self.starts: list[tuple[job_spec.TaskKey, int, int]] = []
        self.percent = 100
        self.measure = 0.0
        self.pace_by_task: dict[job_spec.TaskKey, int] = {}
        self._fence = 0
        self._lease_until_ms = 0
        self._run_by_task: dict[job_spec.TaskKey, int] = {}
        self._last_run_by_task: dict[job_spec.TaskKey, int] = {}
        self._ends: list[cluster.RunEnd] = []
        self._number = 0
        self._lock = threading.RLock()

    @property
    def running(self) -> dict[job_spec.TaskKey, int]:
        """Runs at work by task."""
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
            self._number += 1
            self._ends.append(
                cluster.RunEnd(self._number, task, run, kind, checkpoint)
            )

    def start(self, order: cluster.StartOrder) -> cluster.OrderAnswer:
        """Starts a run."""
        with self._lock:
            if self.cut:
                return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
            if order.fence < self._fence:
                return self._answer(cluster.OrderOutcome.FENCED)
            self._fence = order.fence
            if self._run_by_task.get(order.task) == order.run:
                return self._answer(cluster.OrderOutcome.DONE)
            if order.run <= self._last_run_by_task.get(order.task, 0):
                return self._answer(cluster.OrderOutcome.RUN_TOO_OLD)
            self._run_by_task[order.task] = order.run
            self._lease_until_ms = max(
                self._lease_until_ms, order.lease_until_ms
            )
            self.starts.append((order.task, order.run, order.fence))
            if self.lost_starts:
                self.lost_starts -= 1
                return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
            return self._answer(cluster.OrderOutcome.DONE)

    def stop(
        self, task: job_spec.TaskKey, run: int, fence: int
    ) -> cluster.OrderAnswer:
        """Stops a run, or bars one that is not there yet."""
        with self._lock:
            if self.cut:
                return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
            if fence < self._fence:
                return self._answer(cluster.OrderOutcome.FENCED)
            self._fence = fence
            self._last_run_by_task[task] = max(
                run, self._last_run_by_task.get(task, 0)
            )
            if self._run_by_task.get(task) == run:
                self.finish(task, cluster.RunEndKind.STOPPED)
            return self._answer(cluster.OrderOutcome.DONE)

    def pace(
        self, task: job_spec.TaskKey, run: int, percent: int, fence: int
    ) -> cluster.OrderAnswer:
        """Limits a run to a share of full speed."""
        self.pace_by_task[task] = percent
        return self._answer(cluster.OrderOutcome.DONE)

    def look(
        self,
        fence: int,
        noted: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Extends the lease and reads runs and ends."""
        with self._lock:
            if self.cut:
                return cluster.OrderOutcome.UNKNOWN
            if fence < self._fence:
                return cluster.OrderOutcome.FENCED
            self._fence = fence
            self._lease_until_ms = max(
                self._lease_until_ms, lease_until_ms or 0
            )
            self._ends = [one for one in self._ends if one.number > noted]
            return cluster.WorkerReport(
                self.clock_ms,
                self.born_ms,
                tuple(
                    cluster.RunReport(task, run, "", self.percent, self.measure)
                    for task, run in self._run_by_task.items()
                ),
                tuple(self._ends),
            )

    def close(self) -> None:
        """Closes nothing."""

    def _answer(self, outcome: cluster.OrderOutcome) -> cluster.OrderAnswer:
        return cluster.OrderAnswer(outcome, self.clock_ms)
