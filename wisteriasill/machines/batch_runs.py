"""State of a pool, and the end of its runs and jobs.

The class of a pool is split by subject. Each of the modules batch_runs,
batch_records, batch_crashes, batch_workers, batch_reports, batch_advice and
batch_pool extends the class of the module before it.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import threading
import time
from typing import NamedTuple

from wisteriasill import clock as clocks
from wisteriasill import events
from wisteriasill.contracts import arrival_rate
from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import order_policy
from wisteriasill.contracts import overload_policy
from wisteriasill.contracts import queue as queues
from wisteriasill.contracts import run_times
from wisteriasill.contracts import work_order
from wisteriasill.contracts import worker_choice
from wisteriasill.machines import batch_job
from wisteriasill.machines import worker as workers

# Longest store outage during which leases are still renewed, so that runs
# survive the outage. A new holder that can't reach a worker waits as long
# before it starts the worker's tasks elsewhere.
MAX_STORE_OUTAGE_SECONDS = 6.0
# Delay before a unit is started again, so that a failure does not repeat at the
# rate of the planning rounds.
RESTART_BACKOFF_SECONDS = 0.05


class EndedRecord(NamedTuple):
    """Row of a job that can be shortened or, once short, deleted."""

    partition_key: str
    job_id: str
    version: int


class RestoredRun(NamedTuple):
    """A stored run whose worker this holder has not seen yet."""

    unit: batch_job.Unit
    stored: batch_job.StoredRun


class LostRun(NamedTuple):
    """A run whose lease expired, until it is known what became of its worker.

    Attributes:
        survived_seconds: Time for which the worker showed the run alive.
    """

    run: batch_job.Run
    survived_seconds: float

    @property
    def alive_at(self) -> float:
        """Monotonic time at which its worker was last known to be up."""
        run = self.run
        return max(
            run.ordered_at,
            run.acked_at and run.acked_at + self.survived_seconds,
        )

    @property
    def may_have_just_started(self) -> bool:
        """Whether its worker may have crashed by its start."""
        return self.survived_seconds < crash_evidence.PROBATION_SECONDS

    @property
    def is_suspect(self) -> bool:
        """Whether this holder started the run just before the crash.

        How long a former holder's run had been at work is not known.
        """
        return self.may_have_just_started and self.run.ordered_at > 0


class TaskCrash(NamedTuple):
    """A crash of a worker under a task.

    Attributes:
        former: What earlier crashes had told of the task.
        lost_run: The run that was on the worker.
        suspects: Number of tasks on the worker that had just started.
        time: When it happened.
        seconds_since_last: As in `crash_evidence.Circumstances`.
        recorded: What it told at once.
    """

    former: crash_evidence.CrashRecord
    lost_run: LostRun
    suspects: int
    time: crash_evidence.CrashTime
    seconds_since_last: float
    recorded: crash_evidence.CrashRecord = crash_evidence.NO_CRASHES


class PoolRuns:
    """A pool's jobs, workers and runs.

    `lock` guards all state; no remote call is made while it is held.

    Args:
        service: Name of the service.
        fencing_epoch: Fencing token of this holder.
        claimed_at: Monotonic time at which this holder claimed the shard.
        former_leases_end_at: Monotonic time at which the last lease of the
            former holder has expired.
        changed: Set when there is something to plan or store.
        orders: What the orders of the node share; None for orders of this pool
            only.
    """

    def __init__(
        self,
        service: str,
        fencing_epoch: int,
        claimed_at: float,
        former_leases_end_at: float,
        changed: threading.Event,
        orders: order_policy.NodeOrders | None = None,
    ) -> None:
        self.service = service
        self.orders = order_policy.PoolOrders(
            orders or order_policy.NodeOrders()
        )
        # Starts that were refused or not sent since the last count, by reason.
        self._refused_starts: collections.Counter[str] = collections.Counter()
        self.lock = threading.RLock()
        self.job_by_id: dict[str, batch_job.Job] = {}
        self.worker_by_id: dict[str, workers.Worker] = {}
        self.dirty_job_by_id: dict[str, batch_job.Job] = {}
        # For each job to store, the first end from each worker that its row
        # does not show yet.
        self._delayed_since_by_job: dict[str, float] = {}
        self.first_end_by_job: dict[str, dict[workers.Worker, int]] = {}
        self.planned: list[batch_job.Run] = []
        self.ended_at_by_id: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.ended_records: list[EndedRecord] = []
        # Rows of units of jobs that ended under a former holder.
        self.unused_progress_keys: list[str] = []
        # Rows of jobs that ended or were turned away, and since when.
        self._short_row_by_id: collections.OrderedDict[
            str, tuple[EndedRecord, float]
        ] = collections.OrderedDict()
        self._unreadable_ids: set[str] = set()
        # Time since boot at which this node certainly held the shard. A
        # response that is read after a pause proves nothing newer.
        self.confirmed_at = clocks.boot_seconds()
        self.fenced = False
        self._closed = False
        self._fencing_epoch = fencing_epoch
        self.claimed_at = claimed_at
        self.former_leases_end_at = former_leases_end_at
        self._changed = changed
        self._drain_requested_ids: set[str] = set()
        self._down_version_by_id: dict[str, int] = {}
        self._planned_end_ids: frozenset[str] = frozenset()
        self.due_worker_ids: set[str] = set()
        self._orphans_by_worker: dict[str, list[batch_job.Run]] = {}
        # Ended runs whose orders may reach the next incarnation of a worker.
        self._unconfirmed_by_worker: dict[str, list[batch_job.Run]] = {}
        self._restored_runs_by_worker: dict[str, list[RestoredRun]] = {}
        # Tasks that may have crashed a worker.
        self.suspect_by_key: dict[
            tuple[str, batch_job.UnitKey], batch_job.Unit
        ] = {}
        self._crash_by_worker: dict[
            workers.Worker, crash_evidence.WorkerCrash
        ] = {}
        # When crashes of workers of other pools became known.
        self._crashed_elsewhere_at: list[float] = []
        # Crashes that may prove a task guilty, until a verdict is due.
        self._verdict_by_unit: dict[batch_job.Unit, TaskCrash] = {}
        self._checked_verdicts_at = claimed_at
        self._trial_runs: list[batch_job.Run] = []
        # Units of reported runs that this holder counted as ended.
        self._units_at_work: set[batch_job.Unit] = set()
        self._lapsed_runs_by_worker: dict[str, list[LostRun]] = {}
        self._queue_by_name: Mapping[str, queues.Queue] = {}
        self.configuration_version = 0
        self._cpu_arrivals = arrival_rate.fast_and_slow()
        self._memory_arrivals = arrival_rate.fast_and_slow()
        self._mean_task_seconds_by_queue: dict[str, float] = {}
        # Tasks of the same queue and image have similar times.
        self._run_times_by_program: dict[
            tuple[str, str], run_times.RunTimeModel
        ] = {}
        self._straggler_check_at = 0.0
        self.backlog = work_order.NO_BACKLOG
        self._backlog_window = overload_policy.BacklogWindow(claimed_at)
        # Processor time of all arriving jobs, also of those turned away.
        self._offered_cpu = arrival_rate.ArrivalRate(
            arrival_rate.SLOW_SPAN_SECONDS
        )
        self.free_cores = 0.0
        self._time_factor_by_queue: dict[str, float] = {}
        self._rescue_budget = work_order.RescueBudget()
        self._full = worker_choice.FullPool()
        # Place of each waiting job in the latest scheduling order.
        self._order_by_job: dict[str, int] = {}
        self._mean_core_seconds_by_queue: dict[str, float] = {}

    @property
    def fencing_epoch(self) -> int:
        """Fencing token of this holder."""
        return self._fencing_epoch

    def may_renew(self) -> bool:
        """Whether this holder may still renew leases."""
        return (
            not self.fenced
            and clocks.boot_seconds() - self.confirmed_at
            < MAX_STORE_OUTAGE_SECONDS
        )

    def may_start(self, run: batch_job.Run) -> bool:
        """Whether a planned run should still be started."""
        return (
            not run.stopping
            and not run.unit.done
            and not run.unit.job.finished
            and not self.fenced
        )

    def _finish(
        self, job: batch_job.Job, state: batch_job.JobState, reason: str
    ) -> None:
        job.state = state
        job.ready.clear()
        self.dirty_job_by_id[job.job_id] = job
        self.job_by_id.pop(job.job_id, None)
        now = time.monotonic()
        self.ended_at_by_id[job.job_id] = now
        self.ended_records.append(
            EndedRecord(job.partition_key, job.job_id, job.record_version)
        )
        events.log(
            events.Event.JOB_ENDED,
            "A job ended",
            job=job.job_id,
            queue=job.record.queue,
            state=state.value,
            reason=reason,
            age_seconds=round(now - job.age_since, 3),
        )

    def _fail_job(self, job: batch_job.Job, reason: str) -> None:
        for run in [*job.live_runs()]:
            self._stop_run(run, "its job failed")
        self._finish(job, batch_job.JobState.FAILED, reason)

    def fail_unstorable(self, job_id: str) -> None:
        """Fails a job whose progress the store refuses."""
        with self.lock:
            if job := self.job_by_id.get(job_id):
                self._fail_job(job, "the store refuses its progress")
        self._changed.set()

    def _end_run(self, run: batch_job.Run) -> None:
        """Ends a run, releases its resources and queues its unit again."""
        if run.state is batch_job.RunState.ENDED:
            return
        run.state = batch_job.RunState.ENDED
        unit = run.unit
        if run in unit.runs:
            unit.runs.remove(run)
        if run.worker.run_by_task.get(run.task) is run:
            del run.worker.run_by_task[run.task]
            run.worker.free(unit.step.need, unit.step.fills)
            run.worker.idle_since = time.monotonic()
        if run.checkpoint:
            unit.checkpoint = unit.checkpoint or run.checkpoint
        if not unit.job.finished:
            self.dirty_job_by_id[unit.job.job_id] = unit.job
        unit.lost_at = time.monotonic()
        unit.retry_at = max(
            unit.retry_at, unit.lost_at + RESTART_BACKOFF_SECONDS
        )
        unit.job.requeue(unit)

    def _stop_run(self, run: batch_job.Run, reason: str) -> None:
        # Any other reason to stop a run holds even if it is at work.
        run.is_abandoned = False
        if run.stopping or run.state is batch_job.RunState.ENDED:
            return
        run.stopping = True
        events.log(
            events.Event.RUN_STOPPED,
            "A run is stopped",
            # Warnings are kept when routine lines are dropped at a peak.
            level="INFO"
            if run.unit.done or run.unit.job.record.cancelled
            else "WARNING",
            job=run.task.job_id,
            task=run.task,
            run=run.number,
            worker=run.worker.worker_id,
            state=run.state.name.lower(),
            reason=reason,
        )
        if run.state is batch_job.RunState.PLANNED:
            self._end_run(run)
        else:
            run.worker.send(workers.WorkerOrder("stop", run))

    def _record_fenced(self, worker: workers.Worker) -> None:
        self.fenced = True
        events.log(
            events.Event.SHARD_LOST,
            "A worker has the fencing token of a newer holder",
            level="WARNING",
            shard=self.service,
            worker=worker.worker_id,
        )
        self._changed.set()
