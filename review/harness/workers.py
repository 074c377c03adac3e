"""Workers whose runs may fail, and the rules that their runs must keep."""

from __future__ import annotations

from collections.abc import Iterable
import time
from typing import NamedTuple

from standins import timed_worker
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster

# Runs whose payload, the run time in milliseconds, is odd end as failed.
FAILING_PARITY = 1
SAMPLE_SECONDS = 0.1


class NotedFailure(NamedTuple):
    """A failed run whose end the system has acknowledged."""

    task: job_spec.TaskKey
    run: int
    at: float


class ReviewWorker(timed_worker.TimedWorker):
    """Worker on which runs with an odd payload fail at their end.

    Attributes:
        noted_failures: Failed runs whose ends were acknowledged.
        last_call_at: Monotonic time of the last call that arrived.
    """

    def __init__(
        self,
        worker_id: str,
        room: job_spec.Resources,
        log: timed_worker.RunLog,
    ) -> None:
        self._failing_runs: set[tuple[job_spec.TaskKey, int]] = set()
        self._failure_by_number: dict[int, tuple[job_spec.TaskKey, int]] = {}
        self.noted_failures: list[NotedFailure] = []
        self.last_call_at = 0.0
        super().__init__(worker_id, room, log)

    def start(
        self, order: cluster.StartOrder, late: bool = False
    ) -> cluster.OrderAnswer:
        """Starts a run."""
        self.last_call_at = time.monotonic()
        with self.lock:
            if int(order.payload) % 2 == FAILING_PARITY:
                self._failing_runs.add((order.task, order.run))
            return super().start(order, late)

    def poll(
        self,
        fencing_epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Reports runs; notes which failures the caller has stored."""
        self.last_call_at = time.monotonic()
        report = super().poll(
            fencing_epoch, acknowledged, lease_until_ms, wait_seconds
        )
        with self.lock:
            for number in [*self._failure_by_number]:
                if number <= acknowledged:
                    task, run = self._failure_by_number.pop(number)
                    self.noted_failures.append(
                        NotedFailure(task, run, time.monotonic())
                    )
            if isinstance(report, cluster.WorkerReport):
                for end in report.ends:
                    if end.kind is cluster.RunEndKind.FAILED:
                        self._failure_by_number[end.number] = end.task, end.run
        return report

    def crash(
        self,
        seconds: float = timed_worker.RESTART_SECONDS,
        next_id: str = "",
    ) -> None:
        """Ends this incarnation; another one follows after a delay.

        Args:
            seconds: The delay.
            next_id: Id of the next incarnation; empty for the same.
        """
        with self.lock:
            self._failing_runs.clear()
            self._failure_by_number.clear()
            self.down = True
            self.worker_id = next_id or self.worker_id
        super().crash(seconds)

    def _advance(self) -> None:
        now = time.monotonic()
        for task, run in self._worker.running.items():
            if (task, run) in self._failing_runs and (
                self._ends_at_by_task[task] <= now
            ):
                self._worker.finish(task, cluster.RunEndKind.FAILED)
                self._log.ended(task, run, self.worker_id, "failed")
        super()._advance()


def longest_idle_seconds(
    log: timed_worker.RunLog,
    tasks: Iterable[job_spec.TaskKey],
    seconds: float,
) -> dict[job_spec.TaskKey, float]:
    """Watches tasks; returns for how long on end each of them had no run."""
    began_at = time.monotonic()
    last_open_at = dict.fromkeys(tasks, began_at)
    longest = dict.fromkeys(last_open_at, 0.0)
    while (now := time.monotonic()) < began_at + seconds:
        open_tasks = log.open_tasks()
        for task in last_open_at:
            if task in open_tasks:
                last_open_at[task] = now
            longest[task] = max(longest[task], now - last_open_at[task])
        time.sleep(SAMPLE_SECONDS)
    return longest
