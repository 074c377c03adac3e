"""What tasks really use and how fast they work, in the platform stand-in."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import math

from standins import task_types
from wisteriasill.links import platform

DEFAULT_BEHAVIOUR = task_types.JobBehaviour()
FAILING_HOST_SECONDS = 0.5  # A failing host's tasks end after this.


class WorkModel:
    """Sizes of workers and true behaviour of jobs.

    Attributes:
        size_by_host: Capacity of each worker.
        behaviour_by_job: Jobs that don't do as declared.
    """

    def __init__(
        self, size_by_host: Mapping[str, task_types.WorkerSize]
    ) -> None:
        self.size_by_host = size_by_host
        self.behaviour_by_job: dict[str, task_types.JobBehaviour] = {}

    def behaviour(self, job_id: str) -> task_types.JobBehaviour:
        """Returns what a job really does."""
        return self.behaviour_by_job.get(job_id, DEFAULT_BEHAVIOUR)

    def fails_after_seconds(
        self, job_id: str, host_fails: bool
    ) -> float | None:
        """Returns when a task started now fails; None if it doesn't."""
        if host_fails:
            return FAILING_HOST_SECONDS
        return self.behaviour(job_id).fails_after_seconds

    def cores_used(self, task: task_types.Task) -> float:
        """Returns the processors that a task uses."""
        cores = self.behaviour(task.order.job_id).cores
        return task.throttle * (task.order.cores if cores is None else cores)

    def memory_used_gib(self, task: task_types.Task) -> float:
        """Returns the memory that a task uses."""
        used = self.behaviour(task.order.job_id).memory_gib
        return task.order.memory_gib if used is None else used

    def fits(
        self,
        host_id: str,
        tasks: Sequence[task_types.Task],
        order: platform.TaskOrder,
    ) -> bool:
        """Compares an order with what the measured use of others leaves."""
        size = self.size_by_host[host_id]
        used_cores = sum(self.cores_used(task) for task in tasks)
        used_gib = sum(self.memory_used_gib(task) for task in tasks)
        used_accelerators = sum(task.order.accelerators for task in tasks)
        slack = 1e-9
        return (
            used_cores + order.cores <= size.cores + slack
            and used_gib + order.memory_gib <= size.memory_gib + slack
            and used_accelerators + order.accelerators <= size.accelerators
        )

    def speed(self, host_id: str, tasks: Iterable[task_types.Task]) -> float:
        """Returns the share of full speed at which a host's tasks work."""
        demand = sum(self.cores_used(task) for task in tasks)
        return min(1.0, self.size_by_host[host_id].cores / (demand or 1.0))

    def due(
        self, task: task_types.Task, speed: float, at: float
    ) -> tuple[float, platform.TaskState]:
        """Returns when and how a task ends if nothing changes."""
        rate = speed * task.throttle
        left = self.behaviour(task.order.job_id).run_seconds
        left -= task.worked_seconds
        finishes_at = at + left / rate if rate > 0 else math.inf
        return min(
            (task.lease_until, platform.TaskState.STOPPED),
            (task.fails_at, platform.TaskState.FAILED),
            (finishes_at, platform.TaskState.FINISHED),
            key=lambda due: due[0],
        )
