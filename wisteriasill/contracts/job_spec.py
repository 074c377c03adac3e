"""Specification of a job that a caller submits to a queue of a node.

A job has steps in order, each of identical tasks. `machines.batch_job` has the
progress of such a job; `jobs` has the jobs that service files declare.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import cbor2


class Resources(NamedTuple):
    """Resources: the capacity of a worker or the request of a task.

    Attributes:
        cpu: Thousandths of a core.
    """

    cpu: int
    memory_mb: int
    accelerators: int

    def holds(self, need: Resources) -> bool:
        """Returns whether a request fits into this capacity."""
        return (
            need.cpu <= self.cpu
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )


class StepKey(NamedTuple):
    """Identifies one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """Identifies one task."""

    job_id: str
    occurrence: int
    step: int
    position: int


class StepSpec(NamedTuple):
    """A step of a job.

    Attributes:
        tasks: Number of its tasks.
        need: What each task reserves on its worker.
        estimate_seconds: Declared time of a task; often wrong by a large
            factor.
        after: Indexes of the steps that must finish first.
        saves: Whether tasks write checkpoints.
        gang: Whether the tasks are gang-scheduled: all run, or none.
        same_rack: Whether a gang is slower on more than one rack.
        label: Label that a worker must have; empty for none.
        data_rack: Rack that stores the input data; empty for none.
        most_per_worker: Maximum number of its tasks on a worker; 0 for any.
        copies: Whether a task may have a speculative copy.
        lasting: Whether tasks are long-running, until the job is cancelled.
        image: Image that the tasks run.
        target_ms: Objective of a task's response times; 0 for none.
        fills: Whether tasks are best effort: they use only the processor
            time that other tasks leave.
        may_be_away: Tasks that planned operations may disrupt at a time; 0
            where the step has no such bound.
    """

    tasks: int
    need: Resources
    estimate_seconds: float
    after: tuple[int, ...] = ()
    saves: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_be_away: int = 0

    @property
    def core_seconds(self) -> float:
        """Declared processor time of one task."""
        return self.need.cpu / 1000 * self.estimate_seconds


class JobSpec(NamedTuple):
    """A job as it was submitted.

    Attributes:
        payload: Text passed to each task.
        steps: Its steps; each depends on earlier ones only.
        first_due_ms: Unix time of the first occurrence.
        interval_ms: Time between two occurrences.
        occurrences: Number of times the steps run; 0 for a job without a
            schedule, which runs once and immediately.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0

    @property
    def lasting(self) -> bool:
        """Whether some step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    @property
    def occurrence_count(self) -> int:
        """Number of times the steps run."""
        return max(1, self.occurrences)

    def due_ms(self, occurrence: int) -> int:
        """Unix time at which an occurrence may start; 0 for immediately."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class JobRecord(NamedTuple):
    """An accepted job as it is stored.

    Attributes:
        queue: Name of the queue that accepted it.
        accepted_ms: Unix time of its acceptance.
        max_attempts: Failed runs of a task after which the job fails; 0 where
            the release before stored the job.
    """

    queue: str
    accepted_ms: int
    cancelled: bool
    spec: JobSpec
    max_attempts: int = 0


# Tombstone of a job that ended. It prevents another job with the same id, and
# a new holder of the shard reads it quickly because it is short.
TOMBSTONE = b"-"
# Takes the place of a job's row where a job was cancelled that is not stored. A
# submission that the store carries out late then fails, and one that
# arrives late is stored as cancelled.
CANCELLATION = b"x"

REFUSAL_PREFIX = b"!"
MOVE_PREFIX = b">"


class Refusal(NamedTuple):
    """Takes the place of a job's row while the job is turned away.

    Attributes:
        refused_ms: Unix time of the refusal.
        retry_after_seconds: Time after which its caller was told to return.
        core_seconds: Declared processor time of the job.
    """

    refused_ms: int
    retry_after_seconds: int
    core_seconds: float


def encode_refusal(refusal: Refusal) -> bytes:
    """Returns the value of a refusal's row."""
    return REFUSAL_PREFIX + cbor2.dumps([*refusal])


def decode_refusal(value: bytes | None) -> Refusal | None:
    """Returns the refusal in a row's value; None for any other value."""
    if value is None or not value.startswith(REFUSAL_PREFIX):
        return None
    refused_ms, retry_after_seconds, core_seconds = cbor2.loads(
        value[len(REFUSAL_PREFIX) :]
    )
    return Refusal(
        int(refused_ms), int(retry_after_seconds), float(core_seconds)
    )


def encode_move(configuration: int) -> bytes:
    """Returns the value that bars a job from a service that lost its route.

    It takes the place of the job's row, so that a submission under an older
    configuration fails, however late the store carries it out.

    Args:
        configuration: Version that sends the route to another service.
    """
    return MOVE_PREFIX + cbor2.dumps(configuration)


def decode_move(value: bytes | None) -> int | None:
    """Returns the version in such a value; None for any other value."""
    if value is None or not value.startswith(MOVE_PREFIX):
        return None
    return int(cbor2.loads(value[len(MOVE_PREFIX) :]))


def holds_job(value: bytes | None) -> bool:
    """Whether a row's value is a job that has not been shortened."""
    return (
        value not in (None, TOMBSTONE, CANCELLATION)
        and decode_refusal(value) is None
        and decode_move(value) is None
    )


def encode(record: JobRecord) -> dict[str, Any]:
    """Turns a record into plain data."""
    spec = record.spec
    binding = {"attempts": record.max_attempts} if record.max_attempts else {}
    return {
        **binding,
        "queue": record.queue,
        "accepted_ms": record.accepted_ms,
        "cancelled": record.cancelled,
        "payload": spec.payload,
        "times": [spec.first_due_ms, spec.interval_ms, spec.occurrences],
        "steps": [_non_default_fields(step) for step in spec.steps],
    }


def decode(data: dict[str, Any]) -> JobRecord:
    """Builds a record from the plain data that `encode` returns."""
    first_due_ms, interval_ms, occurrences = data["times"]
    steps = tuple(_decode_step(fields) for fields in data["steps"])
    return JobRecord(
        data["queue"],
        data["accepted_ms"],
        data["cancelled"],
        JobSpec(data["payload"], steps, first_due_ms, interval_ms, occurrences),
        int(data.get("attempts", 0)),
    )


def decode_row(value: bytes) -> JobRecord:
    """Builds a record from the value of its row.

    Raises:
        ValueError: The value is no record, such as one of a later release.
    """
    try:
        return decode(cbor2.loads(value))
    except (
        cbor2.CBORDecodeError,
        AttributeError,
        IndexError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise ValueError(f"unreadable job record: {error!r}") from error


def _non_default_fields(step: StepSpec) -> dict[str, Any]:
    defaults = StepSpec._field_defaults
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in step._asdict().items()
        if name not in defaults or defaults[name] != value
    }


def _decode_step(fields: dict[str, Any]) -> StepSpec:
    return StepSpec(
        **{
            **fields,
            "need": Resources(*fields["need"]),
            "after": tuple(fields.get("after", ())),
        }
    )


def critical_path_seconds(steps: tuple[StepSpec, ...]) -> float:
    """Returns the declared time of the critical path of steps."""
    ends: list[float] = []
    for step in steps:
        start = max((ends[i] for i in step.after if i < len(ends)), default=0.0)
        ends.append(start + step.estimate_seconds)
    return max(ends, default=0.0)


def core_seconds(steps: tuple[StepSpec, ...]) -> float:
    """Returns the declared processor time of steps."""
    return sum(step.tasks * step.core_seconds for step in steps)
