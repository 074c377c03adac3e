"""Types of tasks on the workers of the platform stand-in."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from returns import result

from wisteriasill import errors
from wisteriasill.links import platform


class JobBehaviour(NamedTuple):
    """What a job really does, whatever its owner declared.

    Attributes:
        cores: Processors it uses; None for what it ordered.
        memory_gib: Memory it uses; None for what it ordered.
        run_seconds: Work until it finishes, at full speed.
        fails_after_seconds: Each of its tasks fails after this; None if not.
        checkpoint_works: Whether it can make checkpoints.
    """

    cores: float | None = None
    memory_gib: float | None = None
    run_seconds: float = math.inf
    fails_after_seconds: float | None = None
    checkpoint_works: bool = True


class Task(NamedTuple):
    """A task on a worker."""

    order: platform.TaskOrder
    host_id: str
    state: platform.TaskState
    started_at: float
    lease_until: float
    fails_at: float
    worked_seconds: float
    checkpoint: str
    throttle: float = 1.0
    ended_at: float = math.inf


class WorkerSize(NamedTuple):
    """Capacity of a worker."""

    cores: float
    memory_gib: float
    accelerators: int


def refuse(
    kind: errors.ErrorKind, task_id: str, why: str
) -> result.Result[Any, errors.Failure]:
    """Builds the failure of a call that concerns a task."""
    return result.Failure(errors.failure(kind, f"task {task_id}: {why}"))


def missing_host(host_id: str) -> result.Result[Any, errors.Failure]:
    """Builds the failure of a call that names an unknown host."""
    return result.Failure(
        errors.failure(errors.ErrorKind.NOT_FOUND, f"no host {host_id}")
    )


def unreachable_host(host_id: str) -> result.Result[Any, errors.Failure]:
    """Builds the failure of a call to a host that is down."""
    return result.Failure(
        errors.failure(
            errors.ErrorKind.STORE_UNAVAILABLE, f"host {host_id} is down"
        )
    )
