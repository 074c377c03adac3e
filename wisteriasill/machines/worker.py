"""A worker of a pool: its lease, its runs and its connections.

Only nodes use this module; `target` has the workers that serve requests, as an
entry host sees them.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import enum
import itertools
import math
import threading
import time
from typing import NamedTuple, Protocol

from wisteriasill import restarting_task
from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import order_policy
from wisteriasill.contracts import worker_choice
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job

# Long enough to survive a pause of the shard's holder and a takeover of the
# shard (2 s without a heartbeat, 1 s to read the rows), and short enough that
# the tasks of a lost worker restart soon.
LEASE_SECONDS = 4.5
# The platform's longest `max_hold_ms`. Bounds a lease whose end was
# computed by the clock of another incarnation of the worker.
MAX_LEASE_SECONDS = 10.0
# The platform documents that a worker's clock may be 2% slow.
MIN_CLOCK_RATE = 0.975
# Upper bound of the time between the clock reading in a response and the
# worker's current clock.
CLOCK_SLACK_MS = 60.0

# While a long-running task starts: the next one of its step may be disrupted
# as soon as it serves. Also while a suspected task is on trial.
STARTING_POLL_WAIT_SECONDS = 0.2
POLL_WAIT_SECONDS = 1.0  # Renews the lease four times before it expires.
FILLER_POLL_WAIT_SECONDS = 0.4  # With best-effort tasks, which may slow others.
IDLE_POLL_SECONDS = 20.0  # A worker without runs needs no lease.
STORE_WAIT_SECONDS = 0.5  # Longest wait until received run ends are stored.
# A long poll ends within 1 s; an older report may hide a crash.
RECENT_REPORT_SECONDS = 1.6
SILENT_RETRY_SECONDS = 0.25  # Pause after a poll without a response.
# A start order that waited longer is planned again: its decision is outdated.
STALE_ORDER_SECONDS = 1.5
# A call that fails after a smaller share of its timeout did not time out: its
# connection was lost.
TIMED_OUT_SHARE = 0.9
# A connection that could not be opened for longer was not refused: a packet may
# have been lost.
REFUSED_SECONDS = 0.05
# Delay before a stop that a worker did not accept is retried.
STOP_RETRY_SECONDS = 0.2
# The same for an accepted one: a run has up to 0.9 s to stop, and the report
# that shows its end may come two long polls later.
ACCEPTED_STOP_RETRY_SECONDS = 2.5


_UNANSWERED = (
    cluster.OrderOutcome.UNKNOWN,
    cluster.OrderOutcome.UNREACHABLE,
)
# Answers to a repeated start that hold for the first one too: the run is there,
# or it was there or stopped, and no start of it is carried out any more.
_CONCLUSIVE_REPEATS = (
    cluster.OrderOutcome.DONE,
    cluster.OrderOutcome.RUN_TOO_OLD,
)
# Outcomes of a start whose worker may have restarted.
_UNCONFIRMED = (*_UNANSWERED, cluster.OrderOutcome.OTHER_WORKER)
# A worker that gives one of these answers to a stop starts the run no more.
STOP_ACCEPTED = (
    cluster.OrderOutcome.DONE,
    cluster.OrderOutcome.RUN_TOO_OLD,
)


class WorkerOrder(NamedTuple):
    """An order queued for a worker.

    Attributes:
        verb: `start`, `stop` or `pace`.
        percent: Share of full speed, for `pace`.
    """

    verb: str
    run: batch_job.Run
    percent: int = 100


class ClockReading(NamedTuple):
    """A reading of a worker's clock.

    Both values change together, as several threads read them.

    Attributes:
        clock_ms: The worker's clock.
        received_at: Monotonic time at which the response arrived; 0 before the
            first one.
    """

    clock_ms: float
    received_at: float


class StopPermit(enum.Enum):
    """Whether a stop that is due may be sent.

    WAIT means that the run may be serving and that the disruption budget of its
    step is used up; DROP that the run goes on.
    """

    SEND = enum.auto()
    WAIT = enum.auto()
    DROP = enum.auto()


class Withdrawal(enum.StrEnum):
    """Why a planned start is not sent."""

    STALE = "stale"
    SILENT_WORKER = "silent-worker"
    NOT_WANTED = "not-wanted"


class WorkerOwner(Protocol):
    """The pool that a worker belongs to."""

    @property
    def fencing_epoch(self) -> int:
        """Fencing token of the pool's holder."""

    @property
    def orders(self) -> order_policy.PoolOrders:
        """What the orders to the pool's workers share."""

    def may_renew(self) -> bool:
        """Whether the pool may still extend leases."""

    def may_start(self, run: batch_job.Run) -> bool:
        """Whether a planned run should still be started."""

    def payload(self, run: batch_job.Run) -> tuple[str, str]:
        """Returns the payload and the advice ticket of a run."""

    def on_report(
        self, worker: Worker, sent_at: float, report: cluster.WorkerReport
    ) -> None:
        """Handles a report of the runs and run ends of a worker."""

    def on_poll_failure(
        self, worker: Worker, outcome: cluster.OrderOutcome
    ) -> None:
        """Handles a failed poll."""

    def on_start_answer(
        self, run: batch_job.Run, answer: cluster.OrderAnswer
    ) -> None:
        """Handles the outcome of a start order."""

    def on_start_withdrawn(
        self, run: batch_job.Run, reason: Withdrawal
    ) -> None:
        """Handles a start that was not sent."""

    def claim_start(self, run: batch_job.Run) -> bool:
        """Counts a start as sent, unless its run has ended."""

    def claim_stop(self, run: batch_job.Run) -> StopPermit:
        """Returns whether a stop may be sent, and counts it as sent."""

    def on_stop_answer(
        self, run: batch_job.Run, answer: cluster.OrderAnswer
    ) -> None:
        """Handles the outcome of a stop order."""


class Worker:
    """One incarnation of a worker.

    One thread polls the worker, which renews its lease, and another sends it
    orders, each over its own connection.

    Attributes:
        run_by_task: Runs that may be on the worker, by task.
        unknown_run_by_key: Runs that it reported and that should not be there,
            by task and number, until it reports them no more.
        blocked_runs: Runs of its former incarnation whose late orders it is
            told to refuse.
        free_cpu: Millicores that no run reserves.
        last_received_end: Number of the last run end that was received.
        last_stored_end: Number of the last run end that is stored.
        drain_requested: Whether the fleet controller requests its drain.
        is_reachable: Whether the last poll succeeded.
        silent_since: Monotonic time since when it is unresponsive; 0 if it
            responds.
        listed: Whether the worker registry still lists it.
        is_removed: Whether the pool removed this incarnation.
        registered_version: Store version as of which this incarnation had
            registered; 0 if unknown.
        no_starts_until: Monotonic time until which it gets no starts, as it
            refused one for lack of resources.
        outcomes: Time, success and job of its latest run ends.
        quarantined_until: Monotonic time from which a quarantined worker may
            get a trial run; 0 if it is not quarantined.
        trial_run: Last run that it got in quarantine.
        last_polled_at: Monotonic time at which the last answered poll was sent.
    """

    def __init__(
        self,
        entry: cluster.WorkerEntry,
        link: cluster.WorkerLink,
        owner: WorkerOwner,
        former_leases_end_at: float,
    ) -> None:
        self.entry = entry
        self.link = link
        self._owner = owner
        self.run_by_task: dict[job_spec.TaskKey, batch_job.Run] = {}
        self.unknown_run_by_key: dict[
            tuple[job_spec.TaskKey, int], batch_job.Run
        ] = {}
        self.blocked_runs: list[batch_job.Run] = []
        self.free_cpu = entry.room.cpu
        self.free_memory_mb = entry.room.memory_mb
        self.free_accelerators = entry.room.accelerators
        self.last_received_end = 0
        self.last_stored_end = 0
        self.is_reachable = False
        self.silent_since = 0.0
        self.last_polled_at = 0.0
        self.drain_requested = False
        self.idle_since = time.monotonic()
        self.listed = True
        self.is_removed = False
        self.registered_version = entry.version
        self.no_starts_until = 0.0
        self.outcomes: collections.deque[tuple[float, bool, str]] = (
            collections.deque(maxlen=12)
        )
        self.quarantined_until = 0.0
        self.trial_run: batch_job.Run | None = None
        # Whether the last report listed run ends, and some that the poll before
        # it had acknowledged, as on a connection that was new.
        self._lists_ends = False
        self._lists_acknowledged_ends = False
        self._clock = ClockReading(0.0, 0.0)
        # Both threads extend the lease.
        self._lease_lock = threading.Lock()
        self._lease_until_ms = 0
        self._former_leases_end_at = former_leases_end_at
        self._first_lease_seconds = LEASE_SECONDS
        self._orders: collections.deque[WorkerOrder] = collections.deque()
        # When to send the next stop of each run that should be gone.
        self._stop_due_at_by_run: dict[batch_job.Run, float] = {}
        self._order_calls = order_policy.WorkerOrders(owner.orders)
        self._poll_calls = order_policy.WorkerOrders(owner.orders)
        self._order_ready = threading.Event()
        self._closing = threading.Event()
        self._wake = threading.Event()

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

    @property
    def has_trial_run(self) -> bool:
        """Whether a trial run is planned or active.

        A long-running task has passed its trial when it serves.
        """
        run = self.trial_run
        return (
            run is not None
            and run.state is not batch_job.RunState.ENDED
            and not (run.unit.step.lasting and run.full_speed_at)
        )

    def open(self) -> None:
        """Starts the worker's two threads."""
        for name, run in (
            ("worker poll", self._poll_loop),
            ("worker orders", self._send_orders),
        ):
            restarting_task.start(
                name, run, self._closing, worker=self.worker_id
            )

    def close(self) -> None:
        """Stops the worker's threads without waiting for their calls."""
        self._closing.set()
        self._wake.set()
        self._order_ready.set()

    def wake(self) -> None:
        """Ends the wait between two polls."""
        self._wake.set()

    def send(self, order: WorkerOrder) -> None:
        """Queues an order.

        A stop is repeated until the run has ended.

        Args:
            order: The order.
        """
        if order.verb == "stop":
            self._stop_due_at_by_run.setdefault(order.run, time.monotonic())
        else:
            self._orders.append(order)
        self._order_ready.set()
        self._wake.set()

    def update_entry(self, entry: cluster.WorkerEntry) -> None:
        """Takes over what the worker says of itself, such as its capacity.

        A capacity below what runs hold leaves less than nothing unreserved, so
        that nothing starts until enough has ended.

        Args:
            entry: A newer entry of the same incarnation.
        """
        former, room = self.entry.room, entry.room
        self.entry = entry
        self.free_cpu += room.cpu - former.cpu
        self.free_memory_mb += room.memory_mb - former.memory_mb
        self.free_accelerators += room.accelerators - former.accelerators

    def reserve(self, need: job_spec.Resources, fills: bool) -> None:
        """Reserves resources for a run; a best-effort one reserves no CPU."""
        self.free_cpu -= 0 if fills else need.cpu
        self.free_memory_mb -= need.memory_mb
        self.free_accelerators -= need.accelerators

    def free(self, need: job_spec.Resources, fills: bool) -> None:
        """Releases the resources of a run."""
        self.free_cpu += 0 if fills else need.cpu
        self.free_memory_mb += need.memory_mb
        self.free_accelerators += need.accelerators

    def is_responsive(self, now: float) -> bool:
        """Whether its last report is recent."""
        return (
            not self.silent_since
            and now - self._clock.received_at < RECENT_REPORT_SECONDS
        )

    def survived_seconds(self, run: batch_job.Run) -> float:
        """Returns for how long its responses show a run alive."""
        if run.state is not batch_job.RunState.RUNNING or not run.acked_at:
            return 0.0
        return max(0.0, self._clock.received_at - run.acked_at)

    def has_confirmed(self, run: batch_job.Run) -> bool:
        """Whether this incarnation received a run's order, or none was sent.

        A response that came after the last answered poll was sent may be that
        of another incarnation, and so may the one that carries out a start
        without an answer.
        """
        return not run.may_be_on_worker or (
            not run.has_unanswered_start
            and 0 < run.acked_at <= self.last_polled_at
        )

    def expects(self, run: batch_job.Run) -> bool:
        """Whether its reports are to show what became of a run."""
        return (
            self.run_by_task.get(run.task) is run
            or self.unknown_run_by_key.get((run.task, run.number)) is run
        )

    def has_unproven_run(self) -> bool:
        """Whether a run here may still crash it by its start."""
        return any(
            self.survived_seconds(run) < crash_evidence.PROBATION_SECONDS
            for run in self.run_by_task.values()
        )

    def expect_late_order(self, sent_at: float) -> None:
        """Allows for the lease of an order to a former incarnation.

        The end of such a lease was computed by another clock, so only the
        platform's longest lease bounds it.

        Args:
            sent_at: Monotonic time of the order, or the latest possible time.
        """
        self._first_lease_seconds = MAX_LEASE_SECONDS
        self._former_leases_end_at = max(
            self._former_leases_end_at,
            sent_at + MAX_LEASE_SECONDS / MIN_CLOCK_RATE,
        )

    def after_finite(self) -> worker_choice.LaterWorker:
        """Returns this worker without the runs that end by themselves."""
        ending = [
            run.unit.step
            for run in self.run_by_task.values()
            if not run.unit.step.lasting
        ]
        return worker_choice.LaterWorker(
            self.worker_id,
            self.rack,
            self.labels,
            self.free_cpu
            + sum(step.need.cpu for step in ending if not step.fills),
            self.free_memory_mb + sum(step.need.memory_mb for step in ending),
            self.free_accelerators
            + sum(step.need.accelerators for step in ending),
        )

    def leases_expired(self, now: float) -> bool:
        """Whether every lease on the worker has certainly expired."""
        clock_ms, received_at = self._clock
        if not received_at:
            return now >= self._former_leases_end_at
        elapsed_ms = (now - received_at) * 1000 * MIN_CLOCK_RATE
        return clock_ms + elapsed_ms - CLOCK_SLACK_MS >= self._lease_until_ms

    def record_clock(self, clock_ms: int, received_at: float) -> None:
        """Records a reading of the worker's clock."""
        with self._lease_lock:
            if not self._clock.received_at:
                # An earlier holder may have granted a lease until just now.
                self._lease_until_ms = clock_ms + int(
                    self._first_lease_seconds * 1000
                )
            if clock_ms >= self._clock.clock_ms:
                self._clock = ClockReading(clock_ms, received_at)

    def _record_answer_clock(self, answer: cluster.OrderAnswer) -> None:
        """Records the reading in the answer to an order, if it has one."""
        if answer.clock_ms:
            self.record_clock(answer.clock_ms, time.monotonic())

    def _extend_lease(self) -> int:
        # A successor relies on the longest lease from the clock that it reads,
        # so the estimate must not be ahead of a slow clock.
        with self._lease_lock:
            clock_ms, received_at = self._clock
            elapsed_seconds = time.monotonic() - received_at
            elapsed_ms = elapsed_seconds * 1000 * MIN_CLOCK_RATE
            until_ms = int(clock_ms + elapsed_ms + LEASE_SECONDS * 1000)
            self._lease_until_ms = max(self._lease_until_ms, until_ms)
            return until_ms

    def _poll_loop(self) -> None:
        while not self._closing.is_set():
            if not self._owner.may_renew() or not self.poll_once():
                self._closing.wait(SILENT_RETRY_SECONDS)
                continue
            self._wait_before_poll()
        self.link.close()

    def poll_once(self) -> bool:
        """Polls the worker and renews its lease.

        Returns:
            Whether it responded.
        """
        sent_at = time.monotonic()
        acknowledged = self.last_stored_end
        # The lease of an unresponsive worker must expire, so that its tasks
        # can start elsewhere. It is renewed again after a response.
        responds = bool(self._clock.received_at) and not self.silent_since
        renews = responds and self._needs_lease()
        # A new incarnation under the same id numbers its run ends from the
        # start; an old number would acknowledge ends that nobody received.
        # After any sign of one nothing is acknowledged, and the link passes
        # the number on only to the incarnation that it has heard.
        if responds:
            wait_seconds = self._poll_wait_seconds()
            answer = self.link.poll(
                self._owner.fencing_epoch,
                acknowledged,
                self._extend_lease() if renews else None,
                wait_seconds,
                wait_seconds
                + self._poll_calls.timeout_seconds(order_policy.Verb.LONG_POLL),
            )
            if answer is cluster.OrderOutcome.UNKNOWN:
                sent_at, answer = self._repeat_poll()
        else:
            answer = self._poll_at_once(
                0 if self.silent_since else acknowledged
            )
        if self._closing.is_set():
            return False
        if isinstance(answer, cluster.OrderOutcome):
            self._owner.on_poll_failure(self, answer)
            return False
        self.record_clock(answer.clock_ms, time.monotonic())
        self._lists_ends = bool(answer.ends)
        self._lists_acknowledged_ends = any(
            end.number <= acknowledged for end in answer.ends
        )
        self._owner.on_report(self, sent_at, answer)
        if not self.is_removed:
            self.last_polled_at = sent_at
        return True

    def _repeat_poll(
        self,
    ) -> tuple[float, cluster.WorkerReport | cluster.OrderOutcome]:
        """Repeats a poll without an answer, as only that may have been lost.

        The worker may be cut off, so its lease is not renewed meanwhile.

        Returns:
            When the last poll was sent, and its answer.
        """
        failed_at = sent_at = time.monotonic()
        answer: cluster.WorkerReport | cluster.OrderOutcome
        answer = cluster.OrderOutcome.UNKNOWN
        for calls in itertools.count(1):
            delay_seconds = self._poll_calls.repeat_delay(
                order_policy.Attempts(
                    order_policy.Verb.POLL, calls, time.monotonic() - failed_at
                )
            )
            if delay_seconds is None or self._closing.wait(delay_seconds):
                break
            sent_at = time.monotonic()
            answer = self._poll_at_once(0)
            if answer is not cluster.OrderOutcome.UNKNOWN:
                break
        return sent_at, answer

    def _poll_at_once(
        self, acknowledged: int
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Polls without a wait or a renewal of the lease."""
        calls = self._poll_calls
        timeout_seconds = calls.timeout_seconds(order_policy.Verb.POLL)
        sent_at = time.monotonic()
        answer = self.link.poll(
            self._owner.fencing_epoch, acknowledged, None, 0.0, timeout_seconds
        )
        seconds = time.monotonic() - sent_at
        if answer is not cluster.OrderOutcome.UNKNOWN:
            calls.record_answer(seconds)
        elif seconds >= TIMED_OUT_SHARE * timeout_seconds:
            calls.record_timeout()
        return answer

    def _needs_lease(self) -> bool:
        """Whether it has runs that should go on.

        The end of the lease ends the others if their stops do not arrive. A
        lasting run whose start got no answer may serve until its stop.
        """
        return any(
            not run.stopping or (run.is_abandoned and run.unit.step.lasting)
            for run in [*self.run_by_task.values()]
        )

    def _poll_wait_seconds(self) -> float:
        runs = [*self.run_by_task.values()]
        if self._lists_ends and not (runs or self.unknown_run_by_key):
            return 0.0  # Only acknowledges the last ends.
        if any(
            _is_starting_to_serve(run) or self._is_on_trial(run) for run in runs
        ):
            return STARTING_POLL_WAIT_SECONDS
        fills = any(run.unit.step.fills for run in runs)
        return FILLER_POLL_WAIT_SECONDS if fills else POLL_WAIT_SECONDS

    def _is_on_trial(self, run: batch_job.Run) -> bool:
        return (
            run.unit.crash_record.needs_trial
            and self.survived_seconds(run) < crash_evidence.PROBATION_SECONDS
        )

    def _wait_before_poll(self) -> None:
        """Waits for run ends to be stored, or for work if there is none."""
        deadline = time.monotonic() + STORE_WAIT_SECONDS
        while (
            self.last_stored_end < self.last_received_end
            and not self._closing.is_set()
        ):
            remaining_seconds = deadline - time.monotonic()
            if remaining_seconds <= 0:
                return
            self._wake.clear()
            if self.last_stored_end < self.last_received_end:
                self._wake.wait(remaining_seconds)
        if self._lists_acknowledged_ends:
            self._closing.wait(SILENT_RETRY_SECONDS)
        if not self._is_poll_due():
            self._wake.clear()
            if not self._is_poll_due():
                self._wake.wait(IDLE_POLL_SECONDS)

    def _is_poll_due(self) -> bool:
        """Whether it is in use, or gets no starts until a poll succeeds.

        Also while ends are to be acknowledged: its connection may be closed,
        and its holder another one, before it is in use again.
        """
        return bool(
            self._lists_ends
            or self.run_by_task
            or self.unknown_run_by_key
            or self._orders
            or self.silent_since
            or not self.is_reachable
        )

    def _send_orders(self) -> None:
        # Cleared before the check, so that a close in between is not missed.
        self._order_ready.clear()
        while not self._closing.is_set():
            if not self.send_once():
                self._order_ready.wait(self._seconds_until_stop())
            self._order_ready.clear()

    def _seconds_until_stop(self) -> float | None:
        """Returns the time until a stop is due; None if there is none."""
        due_at = min([*self._stop_due_at_by_run.values()], default=None)
        if due_at is None or self.is_removed:
            return None
        return max(0.0, due_at - time.monotonic())

    def send_once(self) -> bool:
        """Sends one order: a stop that is due, else the oldest other order.

        A start that is not to be sent any more is returned to the pool first.
        That takes no call, so it need not wait until stops are answered.

        Returns:
            Whether an order was due.
        """
        if self.is_removed:
            return False
        if (run := self._next_stop()) and not self._is_next_start_outdated():
            self._stop(run)
            return True
        if not self._orders:
            return False
        order = self._orders.popleft()
        if order.run.state is batch_job.RunState.ENDED:
            return True
        if order.verb == "pace":
            self._pace(order.run, order.percent)
            return True
        try:
            self._start(order.run)
        except Exception:
            # The start may have been sent.
            self._owner.on_start_answer(
                order.run, cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
            )
            raise
        return True

    def _is_next_start_outdated(self) -> bool:
        if not self._orders:
            return False
        order = self._orders[0]
        return order.verb == "start" and bool(self._withdrawal(order.run))

    def _withdrawal(self, run: batch_job.Run) -> Withdrawal | None:
        """Returns why the start of a run is not to be sent any more."""
        if not self._owner.may_start(run):
            return Withdrawal.NOT_WANTED
        if self.silent_since:
            return Withdrawal.SILENT_WORKER
        if time.monotonic() - run.planned_at > STALE_ORDER_SECONDS:
            return Withdrawal.STALE
        return None

    def _next_stop(self) -> batch_job.Run | None:
        """Returns the run whose stop has been due for the longest time."""
        due_at_by_run = self._stop_due_at_by_run
        for run, due_at in sorted(
            due_at_by_run.items(), key=lambda item: item[1]
        ):
            if not _needs_stop(run):
                due_at_by_run.pop(run, None)
                if _needs_stop(run):
                    # Another thread has ordered its stop in the meantime.
                    due_at_by_run.setdefault(run, time.monotonic())
            elif due_at <= time.monotonic():
                return run
        return None

    def _start(self, run: batch_job.Run) -> None:
        if reason := self._withdrawal(run):
            self._owner.on_start_withdrawn(run, reason)
            return
        order = self._start_order(run)
        if not self._owner.claim_start(run):
            return
        answer = self._call_start(run, order)
        if run.worker is not self:
            return  # The next incarnation is told to refuse it.
        self._check_incarnation(answer)
        self._record_answer_clock(answer)
        self._owner.on_start_answer(run, answer)

    def _start_order(self, run: batch_job.Run) -> cluster.StartOrder:
        payload, ticket = self._owner.payload(run)
        # The lease is extended before the run counts as sent; otherwise a
        # concurrent check could end the run by an older lease.
        lease_until_ms = self._extend_lease()
        return cluster.StartOrder(
            run.task,
            run.number,
            payload,
            lease_until_ms,
            self._owner.fencing_epoch,
            run.checkpoint,
            ticket,
        )

    def _call_start(
        self, run: batch_job.Run, order: cluster.StartOrder
    ) -> cluster.OrderAnswer:
        """Sends a start, and repeats it while it gets no answer.

        The worker answers a repeated start of the same run as the first, so a
        run whose answer was lost goes on.
        """
        # Until a call is answered, an error leaves the order uncertain.
        run.has_unanswered_start = True
        is_sent = False
        first_sent_at = time.monotonic()
        for calls in itertools.count(1):
            sent_at = run.ordered_at = time.monotonic()
            answer = self._call_start_once(
                order,
                self._order_calls.start_seconds_left(sent_at - first_sent_at),
            )
            if answer.outcome not in _UNANSWERED:
                break
            is_sent |= answer.outcome is cluster.OrderOutcome.UNKNOWN
            now = time.monotonic()
            if not is_sent and now - sent_at < REFUSED_SECONDS:
                break
            delay_seconds = self._order_calls.repeat_delay(
                order_policy.Attempts(
                    order_policy.Verb.START, calls, now - first_sent_at
                )
            )
            if delay_seconds is None or self._closing.wait(delay_seconds):
                break
            if run.state is batch_job.RunState.RUNNING:
                # A report has shown it in the meantime.
                return cluster.OrderAnswer(cluster.OrderOutcome.DONE)
            if (
                run.state is batch_job.RunState.ENDED
                or self.entry.state is cluster.WorkerState.DRAINING
                or not self._owner.may_start(run)
            ):
                break
        if not is_sent:
            run.has_unanswered_start = False
            return answer
        if answer.outcome in _CONCLUSIVE_REPEATS:
            return answer
        # A refusal of a repeat says nothing about the first call, which may
        # have started the run.
        return answer._replace(outcome=cluster.OrderOutcome.UNKNOWN)

    def _call_start_once(
        self, order: cluster.StartOrder, longest_seconds: float = math.inf
    ) -> cluster.OrderAnswer:
        return self._call(
            order_policy.Verb.START,
            lambda timeout_seconds: self.link.start(order, timeout_seconds),
            longest_seconds,
        )

    def _call(
        self,
        verb: order_policy.Verb,
        send: Callable[[float], cluster.OrderAnswer],
        longest_seconds: float = math.inf,
    ) -> cluster.OrderAnswer:
        """Sends an order with a timeout by earlier ones, and measures it."""
        calls = self._order_calls
        timeout_seconds = min(calls.timeout_seconds(verb), longest_seconds)
        sent_at = time.monotonic()
        answer = send(timeout_seconds)
        seconds = time.monotonic() - sent_at
        if answer.outcome not in _UNANSWERED:
            calls.record_answer(seconds)
        elif seconds >= TIMED_OUT_SHARE * timeout_seconds:
            calls.record_timeout()
        return answer

    def _check_incarnation(self, answer: cluster.OrderAnswer) -> None:
        """Treats the worker as unresponsive if it may have restarted.

        A clock that went back, a call without a response, or the response of
        another worker may mean that a new incarnation has the worker's id.
        Until a poll confirms the incarnation, no run end is acknowledged and
        no run is started.
        """
        known_ms = self._clock.clock_ms
        clock_went_back = 0 < answer.clock_ms < known_ms - CLOCK_SLACK_MS
        if (clock_went_back or answer.outcome in _UNCONFIRMED) and (
            not self.silent_since
        ):
            self.silent_since = time.monotonic()

    def _stop(self, run: batch_job.Run) -> None:
        if run.state is batch_job.RunState.ORDERED and not run.ordered_at:
            # Its start is still queued behind this stop.
            self._owner.on_start_withdrawn(run, Withdrawal.NOT_WANTED)
            return
        # Set before the call, so that an error leaves the stop to be repeated.
        self._delay_stop(run, STOP_RETRY_SECONDS)
        permit = self._owner.claim_stop(run)
        if permit is StopPermit.WAIT:
            self._repeat_held_start(run)
        if permit is not StopPermit.SEND:
            return
        answer = self._call(
            order_policy.Verb.STOP,
            lambda timeout_seconds: self.link.stop(
                run.task,
                run.number,
                self._owner.fencing_epoch,
                timeout_seconds,
            ),
        )
        if run.worker is not self:
            return  # The next incarnation stops it.
        if answer.outcome is cluster.OrderOutcome.FENCED:
            del self._stop_due_at_by_run[run]
        elif answer.outcome is cluster.OrderOutcome.UNREACHABLE:
            # No other stop would arrive either.
            for waiting_run in [*self._stop_due_at_by_run]:
                self._delay_stop(waiting_run, STOP_RETRY_SECONDS)
        else:
            self._delay_stop(
                run,
                ACCEPTED_STOP_RETRY_SECONDS
                if answer.outcome in STOP_ACCEPTED
                else STOP_RETRY_SECONDS,
            )
        if answer.outcome not in _UNANSWERED:
            self._owner.on_stop_answer(run, answer)

    def _repeat_held_start(self, run: batch_job.Run) -> None:
        """Repeats a start without an answer whose stop has to wait.

        Any answer tells what became of the order. After a stop, which may also
        be carried out late, only reports do.
        """
        if (
            run.stop_sent
            or run.state is not batch_job.RunState.UNCERTAIN
            or self.drain_requested
            or self.entry.state is cluster.WorkerState.DRAINING
            or not self.is_responsive(time.monotonic())
            or not self._owner.may_renew()
            or not self._order_calls.withdraw_repeat()
        ):
            return
        order = self._start_order(run)
        if not self._owner.claim_start(run):
            return
        run.has_unanswered_start = True
        answer = self._call_start_once(order)
        if run.worker is self and answer.outcome not in _UNANSWERED:
            self._record_answer_clock(answer)
            self._owner.on_start_answer(run, answer)

    def _delay_stop(self, run: batch_job.Run, seconds: float) -> None:
        self._stop_due_at_by_run[run] = time.monotonic() + seconds

    def _pace(self, run: batch_job.Run, percent: int) -> None:
        if run.pace != percent:
            return  # A newer pace order is queued.
        self._call(
            order_policy.Verb.PACE,
            lambda timeout_seconds: self.link.pace(
                run.task,
                run.number,
                percent,
                self._owner.fencing_epoch,
                timeout_seconds,
            ),
        )


def _needs_stop(run: batch_job.Run) -> bool:
    return run.stopping and run.state is not batch_job.RunState.ENDED


def _is_starting_to_serve(run: batch_job.Run) -> bool:
    return (
        run.unit.step.lasting
        and run.state is batch_job.RunState.RUNNING
        and not run.full_speed_at
        and not run.stopping
    )
