"""A worker under control of a pool: its lease, its runs, its connections."""

from __future__ import annotations

import collections
import threading
import time
from typing import NamedTuple, Protocol

from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job

# A lease outlives a pause of the holder and a take-over of its shard
# (2 s of silence, 1 s to read the rows), and ends soon on a lost worker.
LEASE_SECONDS = 4.5
# The platform's longest `max_hold_ms`: bounds a lease whose end was given on
# the clock of another life.
LONGEST_LEASE_SECONDS = 10.0
# The platform's pages: a worker's clock may be 2% slow.
SLOWEST_CLOCK = 0.975
# Bounds the time by which an answer's clock lags what its worker reads.
CLOCK_SLACK_MS = 60.0

LOOK_WAIT_SECONDS = 1.0  # Renews the lease four times before it ends.
WATCHFUL_LOOK_SECONDS = 0.4  # Where tasks that fill may disturb others.
IDLE_LOOK_SECONDS = 20.0  # A worker without runs needs no lease.
STORE_WAIT_SECONDS = 0.5  # Longest wait until reported ends are stored.
# A look that waits ends within 1 s; an older report may hide a crash.
RECENT_REPORT_SECONDS = 1.6
SILENT_RETRY_SECONDS = 0.25  # Pause after a look without an answer.
# An order that waited longer is planned anew, as its reasons are outdated.
STALE_ORDER_SECONDS = 1.5
STOP_RETRY_SECONDS = 0.2  # Pause before a stop without an answer is repeated.


_UNANSWERED = (
    cluster.OrderOutcome.UNKNOWN,
    cluster.OrderOutcome.UNREACHABLE,
)


class WorkerOrder(NamedTuple):
    """An order that waits for its worker's connection.

    Attributes:
        verb: `start`, `stop` or `pace`.
        percent: Share of full speed, for `pace`.
    """

    verb: str
    run: batch_job.Run
    percent: int = 100


class WorkerOwner(Protocol):
    """The pool that gives a worker its orders."""

    @property
    def fence(self) -> int:
        """Fencing number of the pool's holder."""

    def may_renew(self) -> bool:
        """Whether the pool may still extend leases."""

    def may_start(self, run: batch_job.Run) -> bool:
        """Whether a planned start still makes sense."""

    def payload(self, run: batch_job.Run) -> tuple[str, str]:
        """Returns the text and the ticket of a run."""

    def on_report(
        self, worker: Worker, sent_at: float, report: cluster.WorkerReport
    ) -> None:
        """Takes what a worker runs and what ended on it."""

    def on_silence(self, worker: Worker, outcome: cluster.OrderOutcome) -> None:
        """Takes that a look had no success."""

    def on_start_answer(
        self, run: batch_job.Run, answer: cluster.OrderAnswer
    ) -> None:
        """Takes the outcome of a start."""

    def on_stop_answer(
        self, run: batch_job.Run, answer: cluster.OrderAnswer
    ) -> None:
        """Takes the outcome of a stop."""


class Worker:
    """One life of a worker.

    One task looks at the worker, which renews its lease, and one sends it
    orders, each over a connection of its own.

    Attributes:
        run_by_task: Runs that may be on the worker.
        free_cpu: Thousandths of a core that no run reserves.
        noted: Number of the last end that was taken in.
        stored: Number of the last end that is stored.
        leaving: Whether it is to be emptied.
        listed: Whether the platform still lists it.
        looked_at: Steady time at which the last answered look was sent.
    """

    def __init__(
        self,
        entry: cluster.WorkerEntry,
        link: cluster.WorkerLink,
        owner: WorkerOwner,
        lapse_unknown_until: float,
    ) -> None:
        self.entry = entry
        self.link = link
        self._owner = owner
        self.run_by_task: dict[job_spec.TaskKey, batch_job.Run] = {}
        self.free_cpu = entry.room.cpu
        self.free_memory_mb = entry.room.memory_mb
        self.free_accelerators = entry.room.accelerators
        self.noted = 0
        self.stored = 0
        self.reached = False
        self.silent_since = 0.0
        self.looked_at = 0.0
        self.leaving = False
        self.idle_since = time.monotonic()
        self.listed = True
        self.dead = False
        self.full_until = 0.0
        self.outcomes: collections.deque[tuple[float, bool, str]] = (
            collections.deque(maxlen=12)
        )
        self.doubted_until = 0.0
        self.on_trial = False
        self._clock_ms = 0.0
        self._clock_at = 0.0
        self._lease_until_ms = 0
        self._lapse_unknown_until = lapse_unknown_until
        self._orders: collections.deque[WorkerOrder] = collections.deque()
        self._order_ready = threading.Semaphore(0)
        self._closing = threading.Event()
        self._wake = threading.Event()
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._watch, self._send_orders)
        ]

    @property
    def worker_id(self) -> str:
        """The worker's id."""
        return self.entry.worker_id

    @property
    def rack(self) -> str:
        """Rack of the worker's host."""
        return self.entry.rack

    @property
    def labels(self) -> tuple[str, ...]:
        """The worker's labels."""
        return self.entry.labels

    def open(self) -> None:
        """Starts the worker's two tasks."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Ends the worker's tasks without waiting for their calls."""
        self._closing.set()
        self._wake.set()
        self._order_ready.release()

    def wake(self) -> None:
        """Ends the wait between two looks."""
        self._wake.set()

    def send(self, order: WorkerOrder) -> None:
        """Queues an order."""
        self._orders.append(order)
        self._order_ready.release()
        self._wake.set()

    def reserve(self, need: job_spec.Room, fills: bool) -> None:
        """Takes room for a run; one that fills reserves no processor."""
        self.free_cpu -= 0 if fills else need.cpu
        self.free_memory_mb -= need.memory_mb
        self.free_accelerators -= need.accelerators

    def free(self, need: job_spec.Room, fills: bool) -> None:
        """Gives room back."""
        self.free_cpu += 0 if fills else need.cpu
        self.free_memory_mb += need.memory_mb
        self.free_accelerators += need.accelerators

    def answers(self, now: float) -> bool:
        """Whether what is known of its runs is recent."""
        return (
            not self.silent_since
            and now - self._clock_at < RECENT_REPORT_SECONDS
        )

    def lapsed(self, now: float) -> bool:
        """Whether every lease on the worker has certainly ended."""
        if not self._clock_at:
            return now >= self._lapse_unknown_until
        elapsed_ms = (now - self._clock_at) * 1000 * SLOWEST_CLOCK
        return (
            self._clock_ms + elapsed_ms - CLOCK_SLACK_MS >= self._lease_until_ms
        )

    def note_clock(self, clock_ms: int, received_at: float) -> None:
        """Takes a reading of the worker's clock."""
        if not self._clock_at:
            # An earlier holder may have given a lease until just now.
            self._lease_until_ms = clock_ms + int(LEASE_SECONDS * 1000)
        if clock_ms and clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_at = received_at

    def _lease_end_ms(self) -> int:
        elapsed_ms = (time.monotonic() - self._clock_at) * 1000
        until_ms = int(self._clock_ms + elapsed_ms + LEASE_SECONDS * 1000)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        return until_ms

    def _watch(self) -> None:
        while not self._closing.is_set():
            if not self._owner.may_renew() or not self.look_once():
                self._closing.wait(SILENT_RETRY_SECONDS)
                continue
            self._pause()
        self.link.close()

    def look_once(self) -> bool:
        """Looks at the worker and renews its lease.

        Returns:
            Whether it answered.
        """
        sent_at = time.monotonic()
        # A silent worker's lease must end, so that its runs can start
        # elsewhere; it is extended again after an answer.
        renews = bool(self._clock_at) and not self.silent_since
        # A next life under the same id numbers its ends anew; an old number
        # would acknowledge ends that nobody has seen.
        same_life = (
            not self.silent_since
            and sent_at - self.looked_at < RECENT_REPORT_SECONDS
        )
        answer = self.link.look(
            self._owner.fence,
            self.stored if same_life else 0,
            self._lease_end_ms() if renews else None,
            self._look_seconds() if renews else 0.0,
        )
        if self._closing.is_set():
            return False
        if isinstance(answer, cluster.OrderOutcome):
            self._owner.on_silence(self, answer)
            return False
        self.note_clock(answer.clock_ms, time.monotonic())
        self._owner.on_report(self, sent_at, answer)
        if not self.dead:
            self.looked_at = sent_at
        return True

    def _look_seconds(self) -> float:
        fills = any(run.unit.step.fills for run in [*self.run_by_task.values()])
        return WATCHFUL_LOOK_SECONDS if fills else LOOK_WAIT_SECONDS

    def _pause(self) -> None:
        """Waits until a new look can show something new."""
        deadline = time.monotonic() + STORE_WAIT_SECONDS
        while self.stored < self.noted and not self._closing.is_set():
            left = deadline - time.monotonic()
            if left <= 0:
                return
            self._wake.clear()
            if self.stored < self.noted:
                self._wake.wait(left)
        if not self.run_by_task and not self._orders:
            self._wake.clear()
            if not self.run_by_task and not self._orders:
                self._wake.wait(IDLE_LOOK_SECONDS)

    def _send_orders(self) -> None:
        while True:
            self._order_ready.acquire()
            if self._closing.is_set():
                return
            self.send_once()

    def send_once(self) -> bool:
        """Sends the order that waits longest.

        Returns:
            Whether there was one.
        """
        if not self._orders:
            return False
        order = self._orders.popleft()
        if order.run.state is batch_job.RunState.OVER or self.dead:
            return True
        if order.verb == "start":
            self._start(order.run)
        elif order.verb == "stop":
            self._stop(order.run)
        else:
            self._pace(order.run, order.percent)
        return True

    def _start(self, run: batch_job.Run) -> None:
        stale = time.monotonic() - run.planned_at > STALE_ORDER_SECONDS
        if stale or self.silent_since or not self._owner.may_start(run):
            self._owner.on_start_answer(
                run, cluster.OrderAnswer(cluster.OrderOutcome.LEASE_TOO_OLD)
            )
            return
        payload, ticket = self._owner.payload(run)
        # The lease is noted before the run counts as sent, so that no check
        # takes the run as lapsed by an older lease.
        lease_until_ms = self._lease_end_ms()
        run.ordered_at = time.monotonic()
        answer = self.link.start(
            cluster.StartOrder(
                run.task,
                run.number,
                payload,
                lease_until_ms,
                self._owner.fence,
                run.checkpoint,
                ticket,
            )
        )
        self._check_life(answer)
        self.note_clock(answer.clock_ms, time.monotonic())
        self._owner.on_start_answer(run, answer)

    def _check_life(self, answer: cluster.OrderAnswer) -> None:
        """Doubts that the worker's life goes on, until a look tells.

        A clock that went back, or a call without an answer, may mean that a
        next life has the worker's id. Until a look confirms the life, nothing
        is acknowledged and nothing more is started.
        """
        went_back = 0 < answer.clock_ms < self._clock_ms - CLOCK_SLACK_MS
        if (went_back or answer.outcome in _UNANSWERED) and (
            not self.silent_since
        ):
            self.silent_since = time.monotonic()

    def _stop(self, run: batch_job.Run) -> None:
        answer = self.link.stop(run.task, run.number, self._owner.fence)
        if answer.outcome in _UNANSWERED:
            self._closing.wait(STOP_RETRY_SECONDS)
            self.send(WorkerOrder("stop", run))
            return
        self._owner.on_stop_answer(run, answer)

    def _pace(self, run: batch_job.Run, percent: int) -> None:
        if run.pace != percent:
            return  # A newer order follows.
        self.link.pace(run.task, run.number, percent, self._owner.fence)
