"""A job of a pool: its scheduling units, their runs, its stored progress.

`contracts.job_spec` has the specification that a caller submits, and
`contracts.jobs` the job rows of entry hosts, which nodes don't use.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import enum
import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

import cbor2

from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import step_advice

if TYPE_CHECKING:
    from wisteriasill.machines import worker as workers


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class RunState(enum.Enum):
    """State of a run as the pool's holder knows it.

    PLANNED runs are not stored yet, so no order was sent. ORDERED ones are
    stored and their start order is queued or in flight. UNCERTAIN ones may or
    may not have started: the order got no response, or an earlier holder of
    the pool sent it.
    """

    PLANNED = enum.auto()
    ORDERED = enum.auto()
    UNCERTAIN = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


class Run:
    """One start of one task on one worker.

    Times are monotonic, and 0 until the event.

    Attributes:
        index: Position of the task in its step.
        number: Number of the run; later runs of a task have higher numbers.
        percent: Share of full speed that the worker reports, in percent.
        pace: Share of full speed that this holder orders, in percent.
        measure: Tail latency or CPU use, see `cluster.RunReport`.
        stopping: Whether a stop was ordered.
        moving: Whether it is stopped to be started on another worker.
        is_abandoned: Whether its stop was ordered only because its start got no
            answer.
        stop_sent: Whether a stop may have reached the worker.
        has_unanswered_start: Whether a start order got no answer, so that it
            may be carried out later.
        stop_refused: Whether the worker has refused a stop, which is logged
            once.
        ordered_at: When this holder sent the start order.
        acked_at: When the worker first confirmed that it runs.
        full_speed_at: When a report first showed the ordered speed.
        start_blocked_at: When the worker confirmed that a late start order
            can't start this run any more.
    """

    __slots__ = (
        "acked_at",
        "checkpoint",
        "full_speed_at",
        "has_unanswered_start",
        "index",
        "is_abandoned",
        "measure",
        "moving",
        "number",
        "ordered_at",
        "pace",
        "percent",
        "planned_at",
        "start_blocked_at",
        "state",
        "stop_refused",
        "stop_sent",
        "stopping",
        "unit",
        "worker",
    )

    def __init__(
        self, unit: Unit, index: int, number: int, worker: workers.Worker
    ) -> None:
        self.unit = unit
        self.index = index
        self.number = number
        self.worker = worker
        self.state = RunState.PLANNED
        self.checkpoint = unit.checkpoint
        self.percent = 0
        self.pace = 100
        self.measure = 0.0
        self.stopping = False
        self.moving = False
        self.is_abandoned = False
        self.stop_sent = False
        self.has_unanswered_start = False
        self.stop_refused = False
        self.planned_at = 0.0
        self.ordered_at = 0.0
        self.acked_at = 0.0
        self.full_speed_at = 0.0
        self.start_blocked_at = 0.0

    @property
    def may_be_on_worker(self) -> bool:
        """Whether this or an earlier holder may have started the run."""
        return self.ordered_at > 0 or self.state in (
            RunState.UNCERTAIN,
            RunState.RUNNING,
        )

    @property
    def task(self) -> job_spec.TaskKey:
        """Key of the task."""
        unit = self.unit
        return job_spec.TaskKey(
            unit.job.job_id, unit.occurrence, unit.step_number, self.index
        )


class UnitKey(NamedTuple):
    """Identifies a unit within its job."""

    occurrence: int
    step: int
    first_index: int


class Unit:
    """Scheduling unit: tasks that start and end together.

    It is one task, or all tasks of a gang step.

    Attributes:
        last_run: Number of the last run.
        failed_run: Number of the last run that counts as failed.
        crash_record: Crashes of workers under its runs.
        crashed_run: Highest run of which a worker crashed.
        suspected_with: The suspects of each of these crashes, this one
            included; the last one started comes first.
        early_crash_at: Monotonic time at which this or a former holder last
            learnt of a crash right after its start; 0 if none did.
        restored: Stored runs of a former holder whose workers this one does
            not know yet.
        avoided: Workers that a new run avoids: a run failed there, or was
            much slower than others.
        retry_at: Monotonic time before which it is not started again.
        moves: How often a worker stopped it as a straggler.
    """

    __slots__ = (
        "avoided",
        "checkpoint",
        "crash_record",
        "crashed_run",
        "done",
        "early_crash_at",
        "failed_run",
        "failures",
        "indexes",
        "job",
        "last_run",
        "lost_at",
        "moves",
        "occurrence",
        "restored",
        "retry_at",
        "runs",
        "step",
        "step_number",
        "suspected_with",
    )

    def __init__(
        self,
        job: Job,
        occurrence: int,
        step_number: int,
        indexes: tuple[int, ...],
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.step_number = step_number
        self.step = job.record.spec.steps[step_number]
        self.indexes = indexes
        self.last_run = 0
        self.failures = 0
        self.failed_run = 0
        self.crash_record = crash_evidence.NO_CRASHES
        self.crashed_run = 0
        self.suspected_with: list[list[Unit]] = []
        self.early_crash_at = 0.0
        self.done = False
        self.checkpoint = ""
        self.runs: list[Run] = []
        self.restored: list[StoredRun] = []
        self.avoided: set[str] = set()
        self.retry_at = 0.0
        self.lost_at = 0.0
        self.moves = 0

    @property
    def key(self) -> UnitKey:
        """Key of the unit within its job."""
        return UnitKey(self.occurrence, self.step_number, self.indexes[0])

    @property
    def may_run(self) -> bool:
        """Whether a run may be at work."""
        return bool(self.runs or self.restored)

    @property
    def doubt(self) -> int:
        """Number of likelier causes of the crashes; 0 if there is none."""
        return min(
            (suspects.index(self) for suspects in self.suspected_with),
            default=0,
        )

    @property
    def step_key(self) -> job_spec.StepKey:
        """Key of the unit's step."""
        return job_spec.StepKey(
            self.job.job_id, self.occurrence, self.step_number
        )


class Job:
    """An accepted job and what is known of its progress.

    Attributes:
        age_since: Monotonic time from which its age and its objective count:
            its acceptance, or the opening of its latest occurrence.
        steps: Its steps, with predicted instead of declared times.
        record_version: Version of the job's record in the store.
        partition_key: Partition of the job's record.
        has_begun: Whether a worker has confirmed that it began a task.
        units_per_row: Units in each row of its progress; 0 while all are in
            the job's own row.
        part_value_by_key: Values of its stored rows of units; None for a
            deleted row.
        ready: Units that wait for a worker.
        advice_by_step: Advice on the steps that have needed some and run.
        core_seconds_left: Predicted CPU time of the units not done.
    """

    def __init__(
        self,
        job_id: str,
        record: job_spec.JobRecord,
        age_since: float,
        steps: tuple[job_spec.StepSpec, ...] | None = None,
    ) -> None:
        self.job_id = job_id
        self.record = record
        self.age_since = age_since
        self.state = JobState.QUEUED
        self.record_version = 0
        self.partition_key = ""
        self.unit_by_key: dict[UnitKey, Unit] = {}
        self.units_by_step: dict[tuple[int, int], list[Unit]] = {}
        self.units_left_by_step: dict[tuple[int, int], int] = {}
        self.done_seconds_by_step: dict[tuple[int, int], list[float]] = {}
        self.has_begun = False
        self.units_per_row = 0
        self.part_value_by_key: dict[str, bytes | None] = {}
        self.ready: dict[UnitKey, Unit] = {}
        self.advice_by_step: dict[job_spec.StepKey, step_advice.StepAdvice] = {}
        self.opened_occurrences = 0
        self.waiting_logged_at = age_since
        self.steps = record.spec.steps if steps is None else steps
        self.critical_path_seconds = job_spec.critical_path_seconds(self.steps)
        self.core_seconds = job_spec.core_seconds(self.steps)
        self.core_seconds_left = self.core_seconds
        self.steps_left = len(record.spec.steps) * record.spec.occurrence_count

    @property
    def finished(self) -> bool:
        """Whether the job is in a final state."""
        return self.state in FINAL_STATES

    def unit_of(self, task: job_spec.TaskKey) -> Unit | None:
        """Returns the unit of a task; None if it has none yet."""
        steps = self.record.spec.steps
        if task.step >= len(steps):
            return None
        first_index = 0 if steps[task.step].gang else task.position
        return self.unit_by_key.get(
            UnitKey(task.occurrence, task.step, first_index)
        )

    def open_due_occurrences(self, unix_ms: float, early_ms: float) -> bool:
        """Opens each occurrence that is due.

        Args:
            unix_ms: Current Unix time.
            early_ms: How long before its due time an occurrence may open.

        Returns:
            Whether an occurrence was opened.
        """
        spec = self.record.spec
        opened = False
        while (
            self.opened_occurrences < spec.occurrence_count
            and spec.due_ms(self.opened_occurrences) <= unix_ms + early_ms
        ):
            self.open_occurrence(self.opened_occurrences)
            opened = True
        return opened

    def open_occurrence(self, occurrence: int) -> None:
        """Creates an occurrence's units; queues steps without dependencies."""
        self.opened_occurrences = max(self.opened_occurrences, occurrence + 1)
        for number, step in enumerate(self.record.spec.steps):
            groups: Iterator[tuple[int, ...]] = (
                iter((tuple(range(step.tasks)),))
                if step.gang
                else ((index,) for index in range(step.tasks))
            )
            units = [
                Unit(self, occurrence, number, indexes) for indexes in groups
            ]
            self.units_by_step[occurrence, number] = units
            self.units_left_by_step[occurrence, number] = len(units)
            self.unit_by_key.update((unit.key, unit) for unit in units)
        for number, step in enumerate(self.record.spec.steps):
            if not step.after:
                self._make_ready(occurrence, number)

    def mark_done(self, unit: Unit) -> None:
        """Marks a unit as done and queues the steps that depended on it."""
        if unit.done:
            return
        unit.done = True
        self.ready.pop(unit.key, None)
        self.core_seconds_left -= self.core_seconds_of(unit)
        step_key = unit.occurrence, unit.step_number
        self.units_left_by_step[step_key] -= 1
        if self.units_left_by_step[step_key]:
            return
        self.steps_left -= 1
        self.advice_by_step.pop(unit.step_key, None)
        for number, step in enumerate(self.record.spec.steps):
            if unit.step_number in step.after and all(
                not self.units_left_by_step[unit.occurrence, earlier]
                for earlier in step.after
            ):
                self._make_ready(unit.occurrence, number)

    def core_seconds_of(self, unit: Unit) -> float:
        """Returns the predicted CPU time of a unit."""
        return len(unit.indexes) * self.steps[unit.step_number].core_seconds

    def core_seconds_to_start(self) -> float:
        """Returns the predicted CPU time of units that do not run."""
        return self.core_seconds_left - sum(
            self.core_seconds_of(unit)
            for unit in self.unit_by_key.values()
            if unit.may_run and not unit.done
        )

    def critical_path_left_seconds(self) -> float:
        """Returns the predicted time of the steps that are not done."""
        return job_spec.critical_path_seconds(
            tuple(
                step
                if self.units_left_by_step.get(
                    (self.opened_occurrences - 1, number), 1
                )
                else step._replace(estimate_seconds=0.0)
                for number, step in enumerate(self.steps)
            )
        )

    def requeue(self, unit: Unit) -> None:
        """Queues a unit again, unless it has runs or needs none."""
        if not unit.done and not self.finished and not unit.may_run:
            self.ready[unit.key] = unit

    def live_runs(self) -> Iterator[Run]:
        """Returns all runs that have not ended."""
        return itertools.chain.from_iterable(
            unit.runs for unit in self.unit_by_key.values()
        )

    def _make_ready(self, occurrence: int, number: int) -> None:
        for unit in self.units_by_step[occurrence, number]:
            if not unit.done and not unit.may_run:
                self.ready[unit.key] = unit


class StoredRun(NamedTuple):
    """Stored form of a run.

    Attributes:
        registered_version: Store version as of which the worker's incarnation
            had registered; 0 if unknown.
    """

    position: int
    number: int
    worker_id: str
    started_ms: int
    registered_version: int = 0


# Fields of a run that each release reads.
_RUN_FIELDS = 4
# Fields of a unit before its crashes.
_UNIT_FIELDS = 8
# A longer checkpoint is not stored; after a change of the holder, its task
# may start from scratch.
MAX_CHECKPOINT_BYTES = 200


class StoredUnit(NamedTuple):
    """Stored form of a unit.

    Attributes:
        failed_run: Number of the last run that counts as failed; 0 if there is
            none, or if the release before stored the unit.
    """

    key: UnitKey
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    runs: tuple[StoredRun, ...]
    crash_record: crash_evidence.CrashRecord = crash_evidence.NO_CRASHES
    failed_run: int = 0


class Progress(NamedTuple):
    """Stored form of a job's progress.

    Attributes:
        units_per_row: Units in each of the rows that the units are in; 0 if
            they are in the job's own row.
    """

    state: JobState
    opened_occurrences: int
    units: tuple[StoredUnit, ...]
    units_per_row: int = 0


def encode_progress(job: Job) -> bytes:
    """Encodes a job's progress; only the state of a finished job."""
    if job.finished:
        return cbor2.dumps([job.state.value, 0, []])
    units = [
        _encode_unit(unit) for unit in job.unit_by_key.values() if unit.last_run
    ]
    return cbor2.dumps([job.state.value, job.opened_occurrences, units])


def encode_units(units: Iterable[Unit]) -> bytes:
    """Encodes units of a job in the form of `encode_progress`."""
    return cbor2.dumps(
        [JobState.RUNNING.value, 0, [_encode_unit(unit) for unit in units]]
    )


def _encode_unit(unit: Unit) -> list[Any]:
    runs = [
        *(
            StoredRun(
                run.index,
                run.number,
                run.worker.entry.worker_id,
                run.worker.entry.started_ms,
                run.worker.registered_version,
            )
            for run in unit.runs
        ),
        *unit.restored,
    ]
    return [
        *unit.key,
        unit.last_run,
        unit.failures,
        unit.done,
        _checkpoint_to_store(unit),
        [[*run[:_RUN_FIELDS]] for run in runs],
        # The release before reads these two, and nothing behind them.
        [unit.crash_record.crashes, unit.crash_record.suspicions],
        [run.registered_version for run in runs],
        unit.failed_run,
    ]


def _checkpoint_to_store(unit: Unit) -> str:
    length = len(unit.checkpoint.encode())
    return unit.checkpoint if length <= MAX_CHECKPOINT_BYTES else ""


def decode_progress(value: bytes) -> Progress:
    """Decodes a value written by `encode_progress`.

    Raises:
        ValueError: The value is no progress, such as one of a later release.
    """
    try:
        return _decode_progress(value)
    except (
        cbor2.CBORDecodeError,
        AttributeError,
        IndexError,
        TypeError,
        ValueError,
    ) as error:
        raise ValueError(f"unreadable progress: {error!r}") from error


def _decode_progress(value: bytes) -> Progress:
    state, opened_occurrences, units, *layout = cbor2.loads(value)
    return Progress(
        JobState(state),
        opened_occurrences,
        tuple(
            StoredUnit(
                UnitKey(occurrence, step, first_index),
                last_run,
                failures,
                done,
                checkpoint,
                tuple(
                    StoredRun(*run)._replace(registered_version=version)
                    for run, version in zip(
                        runs,
                        versions[0] if versions else itertools.repeat(0),
                        strict=False,
                    )
                ),
                crash_evidence.CrashRecord(*crashes),
                versions[1] if len(versions) > 1 else 0,
            )
            for (
                occurrence,
                step,
                first_index,
                last_run,
                failures,
                done,
                checkpoint,
                runs,
                crashes,
                *versions,
            ) in (_with_crashes(unit) for unit in units)
        ),
        layout[0] if layout else 0,
    )


def _with_crashes(unit: list[Any]) -> list[Any]:
    """Completes a unit that a former release stored without crashes."""
    return unit if len(unit) > _UNIT_FIELDS else [*unit, []]


def decode_state(value: bytes) -> JobState:
    """Decodes only the job state of a progress row."""
    return JobState(cbor2.loads(value)[0])
