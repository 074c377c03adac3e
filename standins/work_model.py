"""Model of the actual resource use and speed of tasks."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import math

from standins import task_types
from wisteriasill.links import platform

DEFAULT_BEHAVIOUR = task_types.JobBehaviour()
FAILING_HOST_SECONDS = 0.5  # Tasks on a failing host fail after this time.


class WorkModel:
    """Capacity of workers and actual behaviour of jobs.

    Attributes:
        size_by_host: Capacity of each worker.
        behaviour_by_job: Jobs whose behaviour differs from the declaration.
    """

    def __init__(
        self, size_by_host: Mapping[str, task_types.WorkerSize]
    ) -> None:
        self.size_by_host = size_by_host
        self.behaviour_by_job: dict[str, task_types.JobBehaviour] = {}

    def behaviour(self, job_id: str) -> task_types.JobBehaviour:
        """Returns the actual behaviour of a job."""
        return self.behaviour_by_job.get(job_id, DEFAULT_BEHAVIOUR)

    def fails_after_seconds(
        self, job_id: str, host_fails: bool
    ) -> float | None:
        """Returns the time until a new task fails; None if it does not."""
        if host_fails:
            return FAILING_HOST_SECONDS
        return self.behaviour(job_id).fails_after_seconds

    def cores_used(self, task: task_types.Task) -> float:
        """Returns the cores that a task uses."""
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
        """Returns whether an order fits beside the actual use of the tasks."""
        size = self.size_by_host[host_id]
        used_cores = sum(self.cores_used(task) for task in tasks)
        used_gib = sum(self.memory_used_gib(task) for task in tasks)
        used_accelerators = sum(task.order.accelerators for task in tasks)
        tolerance = 1e-9
        return (
            used_cores + order.cores <= size.cores + tolerance
            and used_gib + order.memory_gib <= size.memory_gib + tolerance
            and used_accelerators + order.accelerators <= size.accelerators
        )

    def speed(self, host_id: str, tasks: Iterable[task_types.Task]) -> float:
        """Returns the share of full speed at which a host's tasks run."""
        demand = sum(self.cores_used(task) for task in tasks)
        return min(1.0, self.size_by_host[host_id].cores / (demand or 1.0))

    def due(
        self, task: task_types.Task, speed: float, at: float
    ) -> tuple[float, platform.TaskState]:
        """Returns when and in what state a task ends if nothing changes."""
        rate = speed * task.throttle
        remaining_seconds = self.behaviour(task.order.job_id).run_seconds
        remaining_seconds -= task.worked_seconds
        finishes_at = at + remaining_seconds / rate if rate > 0 else math.inf
        return min(
            (task.lease_until, platform.TaskState.STOPPED),
            (task.fails_at, platform.TaskState.FAILED),
            (finishes_at, platform.TaskState.FINISHED),
            key=lambda end: end[0],
        )
