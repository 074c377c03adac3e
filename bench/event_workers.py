"""Simulated time, and workers that live in it."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import enum
import threading
import time
from unittest import mock

from bench import failure_book
from standins import batch_worker
from standins import timed_worker
from wisteriasill import clock as clocks
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import worker as workers

SERVICE = "bench"
ROOM = job_spec.Resources(8_000, 64_000, 0)
UNIX_SECONDS = 1.8e9  # Offset of the wall clock.


class SimulatedTime:
    """The time of all processes, which only `advance` moves."""

    def __init__(self) -> None:
        self.now = 1000.0

    def advance(self, seconds: float) -> None:
        """Moves the time forward."""
        self.now += seconds

    def monotonic(self) -> float:
        """Returns the monotonic time."""
        return self.now

    def unix_seconds(self) -> float:
        """Returns the wall clock's time."""
        return UNIX_SECONDS + self.now

    @contextlib.contextmanager
    def used(self) -> Iterator[None]:
        """Makes this the time of the product, whose threads don't start."""
        with (
            mock.patch.object(time, "monotonic", self.monotonic),
            mock.patch.object(time, "time", self.unix_seconds),
            mock.patch.object(time, "sleep", self.advance),
            mock.patch.object(clocks, "boot_seconds", self.monotonic),
            mock.patch.object(workers.Worker, "open"),
        ):
            yield


class SimulatedWait(threading.Event):
    """An event whose waits pass in simulated time."""

    def __init__(self, clock: SimulatedTime) -> None:
        super().__init__()
        self._clock = clock

    def wait(self, timeout: float | None = None) -> bool:
        """Advances the time."""
        self._clock.advance(timeout or 0.0)
        return self.is_set()


class CallFault(enum.Enum):
    """What becomes of a call to a worker."""

    NONE = enum.auto()
    ANSWER_LOST = enum.auto()
    LATE = enum.auto()
    LOST = enum.auto()
    REFUSED = enum.auto()


class SimulatedWorker:
    """A worker of one host, with one incarnation after another.

    Attributes:
        is_down: Whether it has crashed and is not back yet.
        entry: Its entry in the registry.
        failed_by_task: Number of runs that ended as failed, by task.
    """

    def __init__(
        self,
        worker_id: str,
        clock: SimulatedTime,
        log: timed_worker.RunLog,
        clock_rate: float,
        failures: failure_book.FailureBook,
    ) -> None:
        self._failures = failures
        self.worker_id = worker_id
        self.is_down = False
        self.failed_by_task: dict[job_spec.TaskKey, int] = {}
        self._clock = clock
        self._log = log
        self._clock_rate = clock_rate
        self.start_incarnation(0)

    def start_incarnation(self, version: int) -> None:
        """Starts an incarnation that knows nothing of the one before.

        Args:
            version: Store version of its registry entry.
        """
        self.is_down = False
        self._started_at = self._clock.now
        started_ms = int(1000 * self._clock.unix_seconds())
        self._worker = batch_worker.MemoryWorker(ROOM, started_ms)
        self.entry = cluster.WorkerEntry(
            self.worker_id,
            started_ms,
            SERVICE,
            f"10.0.0.{self.worker_id[1:]}:1",
            "zone",
            cluster.WorkerState.READY,
            ROOM,
            ("a", f"rack-{self.worker_id}"),
            version,
        )

    @property
    def started_ms(self) -> int:
        """Start time of the incarnation."""
        return self._worker.started_ms

    @property
    def running(self) -> dict[job_spec.TaskKey, int]:
        """Numbers of the runs at work by task."""
        self.advance()
        return {} if self.is_down else self._worker.running

    def advance(self) -> None:
        """Ends the runs whose lease has expired."""
        self._worker.clock_ms = self._clock_ms()
        if self._worker.clock_ms < self._worker.lease_until_ms:
            return
        self._log.forget_done(self.worker_id)
        self._failures.forget_listed(self.worker_id)
        for task in self._worker.running:
            self.finish(task, cluster.RunEndKind.LAPSED)

    def _clock_ms(self) -> int:
        elapsed_seconds = self._clock.now - self._started_at
        return 1 + int(elapsed_seconds * 1000 * self._clock_rate)

    def finish(self, task: job_spec.TaskKey, kind: cluster.RunEndKind) -> None:
        """Ends a run."""
        run = self._worker.running[task]
        if kind is cluster.RunEndKind.FAILED:
            failed = self.failed_by_task.get(task, 0)
            self.failed_by_task[task] = failed + 1
        self._worker.finish(task, kind)
        self._log.ended(task, run, self.worker_id, kind.value)
        if kind is cluster.RunEndKind.FAILED:
            self._failures.record_failure(
                self.worker_id,
                failure_book.FailedRun(
                    task, run, self._worker.last_end_number, self._clock.now
                ),
            )

    def crash(self) -> None:
        """Ends this incarnation and all that it knows."""
        self.advance()
        for task, run in self._worker.running.items():
            self._log.ended(task, run, self.worker_id, "crash")
        self._log.forget_done(self.worker_id)
        self._failures.forget_listed(self.worker_id)
        self.is_down = True

    def start(self, order: cluster.StartOrder) -> cluster.OrderAnswer:
        """Starts a run under a lease of limited length."""
        self.advance()
        worker = self._worker
        longest_ms = worker.clock_ms + int(1000 * workers.MAX_LEASE_SECONDS)
        lease_until_ms = min(order.lease_until_ms, longest_ms)
        if lease_until_ms <= worker.clock_ms:
            return cluster.OrderAnswer(
                cluster.OrderOutcome.LEASE_TOO_OLD, worker.clock_ms
            )
        was_running = worker.running.get(order.task) == order.run
        answer = worker.start(order._replace(lease_until_ms=lease_until_ms))
        if answer.outcome is cluster.OrderOutcome.DONE and not was_running:
            self._failures.record_start(order.task, order.run, self._clock.now)
            self._log.started(
                order.task,
                order.run,
                self.worker_id,
                lambda: self._clock_ms() >= worker.lease_until_ms,
                order.fencing_epoch,
            )
        return answer

    def stop(
        self, task: job_spec.TaskKey, run: int, fencing_epoch: int
    ) -> cluster.OrderAnswer:
        """Stops a run, or refuses its later start."""
        self.advance()
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
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Renews the lease and reports runs and ends."""
        self.advance()
        longest_ms = self._worker.clock_ms + int(
            1000 * workers.MAX_LEASE_SECONDS
        )
        lease_ms = min(lease_until_ms or 0, longest_ms)
        listed = self._worker.poll(fencing_epoch, 0, lease_ms, 0.0)
        if isinstance(listed, cluster.OrderOutcome):
            return listed
        for end in listed.ends:
            if (
                end.number <= acknowledged
                and end.kind is cluster.RunEndKind.DONE
            ):
                self._log.acknowledged(end.task, end.run, self.worker_id)
        self._failures.record_acknowledgement(self.worker_id, acknowledged)
        return self._worker.poll(fencing_epoch, acknowledged, None, 0.0)
