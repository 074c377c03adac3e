"""A job at work: its units of tasks, their runs and its stored progress."""

from __future__ import annotations

from collections.abc import Iterator
import enum
import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

import cbor2

from wisteriasill.contracts import job_spec

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
    """What is known of a run.

    PLANNED runs are not stored yet, so no order was sent. ORDERED ones are
    stored and their order is on its way. UNCERTAIN ones may or may not have
    started: an order without an answer, or a run of an earlier holder.
    """

    PLANNED = enum.auto()
    ORDERED = enum.auto()
    UNCERTAIN = enum.auto()
    RUNNING = enum.auto()
    OVER = enum.auto()


class Run:
    """One start of one task on one worker."""

    __slots__ = (
        "acked_at",
        "at_work_at",
        "barred_at",
        "checkpoint",
        "index",
        "measure",
        "number",
        "ordered_at",
        "pace",
        "percent",
        "planned_at",
        "state",
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
        self.planned_at = 0.0
        self.ordered_at = 0.0
        self.acked_at = 0.0
        self.at_work_at = 0.0
        # When the worker confirmed that this run can't start any more.
        self.barred_at = 0.0

    @property
    def may_be_there(self) -> bool:
        """Whether the worker may have got the start, from whomever."""
        return self.ordered_at > 0 or self.state in (
            RunState.UNCERTAIN,
            RunState.RUNNING,
        )

    @property
    def task(self) -> job_spec.TaskKey:
        """Name of the task."""
        unit = self.unit
        return job_spec.TaskKey(
            unit.job.job_id, unit.occurrence, unit.step_number, self.index
        )


class UnitKey(NamedTuple):
    """Names a unit within its job."""

    occurrence: int
    step: int
    first_index: int


class Unit:
    """Tasks that start and end together: one task, or a whole gang.

    Attributes:
        last_run: Number of the last start.
        avoided: Workers on which a run of this unit failed.
        retry_at: Steady time before which it is not started again.
    """

    __slots__ = (
        "avoided",
        "checkpoint",
        "done",
        "failed_run",
        "failures",
        "indexes",
        "job",
        "last_run",
        "lost_at",
        "occurrence",
        "retry_at",
        "runs",
        "step",
        "step_number",
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
        self.done = False
        self.checkpoint = ""
        self.runs: list[Run] = []
        self.avoided: set[str] = set()
        self.retry_at = 0.0
        self.lost_at = 0.0

    @property
    def key(self) -> UnitKey:
        """Name of the unit within its job."""
        return UnitKey(self.occurrence, self.step_number, self.indexes[0])

    @property
    def step_key(self) -> job_spec.StepKey:
        """Name of the unit's step."""
        return job_spec.StepKey(
            self.job.job_id, self.occurrence, self.step_number
        )


class Job:
    """An accepted job and what is known of its progress.

    Attributes:
        learnt_at: Steady time at which this holder learnt of the job, put
            back by the age that its acceptance time shows.
        record_version: Version of the job's record in the store.
        ready: Units that wait for a worker.
        core_seconds_left: Declared processor time of what is not done.
    """

    def __init__(
        self, job_id: str, record: job_spec.JobRecord, learnt_at: float
    ) -> None:
        self.job_id = job_id
        self.record = record
        self.learnt_at = learnt_at
        self.state = JobState.QUEUED
        self.record_version = 0
        self.unit_by_key: dict[UnitKey, Unit] = {}
        self.units_by_step: dict[tuple[int, int], list[Unit]] = {}
        self.left_by_step: dict[tuple[int, int], int] = {}
        self.done_seconds_by_step: dict[tuple[int, int], list[float]] = {}
        self.ready: dict[UnitKey, Unit] = {}
        self.rounds_open = 0
        self.waiting_logged_at = learnt_at
        self.chain_seconds = job_spec.chain_seconds(record.spec.steps)
        self.core_seconds = job_spec.core_seconds(record.spec.steps)
        self.core_seconds_left = self.core_seconds
        self.steps_left = len(record.spec.steps) * record.spec.rounds

    @property
    def finished(self) -> bool:
        """Whether its state is final."""
        return self.state in FINAL_STATES

    def open_due_rounds(self, unix_ms: float, early_ms: float) -> bool:
        """Opens each occurrence whose time has come.

        Args:
            unix_ms: The time of day.
            early_ms: How much early an occurrence may open.

        Returns:
            Whether one was opened.
        """
        spec = self.record.spec
        opened = False
        while (
            self.rounds_open < spec.rounds
            and spec.due_ms(self.rounds_open) <= unix_ms + early_ms
        ):
            self.open_round(self.rounds_open)
            opened = True
        return opened

    def open_round(self, occurrence: int) -> None:
        """Makes the units of an occurrence; steps without others are ready."""
        self.rounds_open = max(self.rounds_open, occurrence + 1)
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
            self.left_by_step[occurrence, number] = len(units)
            self.unit_by_key.update((unit.key, unit) for unit in units)
        for number, step in enumerate(self.record.spec.steps):
            if not step.after:
                self._make_ready(occurrence, number)

    def note_done(self, unit: Unit) -> None:
        """Counts a done unit and makes the steps ready that waited for it."""
        if unit.done:
            return
        unit.done = True
        self.ready.pop(unit.key, None)
        self.core_seconds_left -= len(unit.indexes) * unit.step.core_seconds
        step_key = unit.occurrence, unit.step_number
        self.left_by_step[step_key] -= 1
        if self.left_by_step[step_key]:
            return
        self.steps_left -= 1
        for number, step in enumerate(self.record.spec.steps):
            if unit.step_number in step.after and all(
                not self.left_by_step[unit.occurrence, earlier]
                for earlier in step.after
            ):
                self._make_ready(unit.occurrence, number)

    def make_ready_again(self, unit: Unit) -> None:
        """Lets a unit without runs wait for a worker again."""
        if not unit.done and not self.finished and not unit.runs:
            self.ready[unit.key] = unit

    def live_runs(self) -> Iterator[Run]:
        """Returns all runs that are not over."""
        return itertools.chain.from_iterable(
            unit.runs for unit in self.unit_by_key.values()
        )

    def _make_ready(self, occurrence: int, number: int) -> None:
        for unit in self.units_by_step[occurrence, number]:
            if not unit.done and not unit.runs:
                self.ready[unit.key] = unit


class StoredRun(NamedTuple):
    """A run as the store keeps it."""

    position: int
    number: int
    worker_id: str
    born_ms: int


class StoredUnit(NamedTuple):
    """A unit as the store keeps it."""

    key: UnitKey
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    runs: tuple[StoredRun, ...]


class Progress(NamedTuple):
    """Progress of a job as the store keeps it."""

    state: JobState
    rounds_open: int
    units: tuple[StoredUnit, ...]


def encode_progress(job: Job) -> bytes:
    """Encodes a job's progress; a finished one keeps its state only."""
    if job.finished:
        return cbor2.dumps([job.state.value, 0, []])
    units: list[Any] = [
        [
            *unit.key,
            unit.last_run,
            unit.failures,
            unit.done,
            unit.checkpoint,
            [
                [
                    run.index,
                    run.number,
                    run.worker.entry.worker_id,
                    run.worker.entry.born_ms,
                ]
                for run in unit.runs
            ],
        ]
        for unit in job.unit_by_key.values()
        if unit.last_run
    ]
    return cbor2.dumps([job.state.value, job.rounds_open, units])


def decode_progress(value: bytes) -> Progress:
    """Reads what `encode_progress` made."""
    state, rounds_open, units = cbor2.loads(value)
    return Progress(
        JobState(state),
        rounds_open,
        tuple(
            StoredUnit(
                UnitKey(occurrence, step, first),
                last_run,
                failures,
                done,
                checkpoint,
                tuple(StoredRun(*run) for run in runs),
            )
            for (
                occurrence,
                step,
                first,
                last_run,
                failures,
                done,
                checkpoint,
                runs,
            ) in units
        ),
    )


def decode_state(value: bytes) -> JobState:
    """Reads only the state of a progress row."""
    return JobState(cbor2.loads(value)[0])
