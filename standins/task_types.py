"""Types of tasks on the workers of the platform stand-in."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from returns import result

from wisteriasill import errors
from wisteriasill.links import platform


class JobBehaviour(NamedTuple):
    """Actual behaviour of a job, which may differ from its declaration.

    Attributes:
        cores: Cores in use; None for the requested number.
        memory_gib: Memory in use; None for the requested amount.
        run_seconds: Run time at full speed.
        fails_after_seconds: Time after which each task fails; None for never.
        checkpoint_works: Whether checkpoints succeed.
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


def task_failure(
    kind: errors.ErrorKind, task_id: str, reason: str
) -> result.Result[Any, errors.Failure]:
    """Builds the failure of a call for a task."""
    return result.Failure(errors.failure(kind, f"task {task_id}: {reason}"))


def missing_host(host_id: str) -> result.Result[Any, errors.Failure]:
    """Builds the failure of a call for an unknown host."""
    return result.Failure(
        errors.failure(errors.ErrorKind.NOT_FOUND, f"no host {host_id}")
    )


def unreachable_host(host_id: str) -> result.Result[Any, errors.Failure]:
    """Builds the failure of a call for a host that is down."""
    return result.Failure(
        errors.failure(
            errors.ErrorKind.STORE_UNAVAILABLE, f"host {host_id} is down"
        )
    )
