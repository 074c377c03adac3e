"""Task state of the workers of the platform stand-in."""

from __future__ import annotations

import math

from returns import result

from standins import faults
from standins import task_types
from standins import work_model
from wisteriasill import errors
from wisteriasill.links import platform

Outcome = result.Result[None, errors.Failure]


SETTLE_ALL_SECONDS = 0.25
ENDED_TASK_SECONDS = 120.0  # Time for which workers report ended tasks.


class TaskTable:
    """Tasks of all workers.

    The caller holds the lock and passes the time. State changes over time,
    such as an expired lease, are applied by the `settle` methods.

    Attributes:
        work: Capacity of workers and behaviour of jobs.
        overlaps: Number of starts while another task of the job ran.
        starts: Number of started tasks.
        memory_kills: Number of tasks killed for lack of memory.
    """

    def __init__(
        self, size_by_host: dict[str, task_types.WorkerSize], lag_seconds: float
    ) -> None:
        self.work = work_model.WorkModel(size_by_host)
        self._tasks_by_id: dict[str, task_types.Task] = {}
        self._running_by_host: dict[str, set[str]] = {}
        self._listed_by_host: dict[str, list[str]] = {}
        self._highest_epoch: dict[tuple[str, str], int] = {}
        self._settled_at: dict[str, float] = {}
        self._progress_by_checkpoint: dict[str, float] = {}
        self._reports = faults.LaggingView(lag_seconds, self._report_snapshot)
        self._all_settled_at = -math.inf
        self.overlaps = 0
        self.starts = 0
        self.memory_kills = 0

    def settle_for(self, host_id: str | None, now: float) -> None:
        """Updates one host, or all hosts if their last update is old.

        A call concerns a single host. Updating all hosts on each of several
        hundred calls per second would take most of the time of a benchmark.
        """
        if now - self._all_settled_at >= SETTLE_ALL_SECONDS:
            self.settle(now)
        elif host_id is not None:
            self._settle_host(host_id, now)

    def settle(self, now: float) -> None:
        """Ends tasks that expired, finished or failed up to now."""
        self._all_settled_at = now
        for host_id in tuple(self._running_by_host):
            self._settle_host(host_id, now)
        self._remove_ended(now)
        self._reports.observe(now)

    def start(
        self,
        host_id: str,
        order: platform.TaskOrder,
        now: float,
        host_fails: bool,
    ) -> Outcome:
        """Starts a task, see `TaskRunner.start_task`."""
        highest_epoch = self._highest_epoch.get((host_id, order.job_id), 0)
        if order.task_id in self._tasks_by_id or order.epoch <= highest_epoch:
            return task_types.task_failure(
                errors.ErrorKind.CONFLICT, order.task_id, "exists"
            )
        if not self.work.fits(host_id, self._running_on(host_id), order):
            return task_types.task_failure(
                errors.ErrorKind.PLATFORM_REFUSED, order.task_id, "does not fit"
            )
        self.starts += 1
        for running in self.running_of(order.job_id):
            self._settle_host(running.host_id, now)
        self.overlaps += len(self.running_of(order.job_id)) > 0
        self._highest_epoch[host_id, order.job_id] = order.epoch
        self._settled_at.setdefault(host_id, now)
        self._tasks_by_id[order.task_id] = self._new_task(
            host_id, order, now, host_fails
        )
        self._running_by_host.setdefault(host_id, set()).add(order.task_id)
        self._listed_by_host.setdefault(host_id, []).append(order.task_id)
        self._kill_over_memory(host_id)
        return result.Success(None)

    def running(
        self, task_id: str, epoch: int
    ) -> result.Result[task_types.Task, errors.Failure]:
        """Returns a running task after a check of the order's epoch."""
        task = self._tasks_by_id.get(task_id)
        if task is None or task.state is not platform.TaskState.RUNNING:
            return task_types.task_failure(
                errors.ErrorKind.NOT_FOUND, task_id, "not running"
            )
        if epoch < task.order.epoch:
            return task_types.task_failure(
                errors.ErrorKind.CONFLICT, task_id, "stale epoch"
            )
        return result.Success(task)

    def renew(self, task: task_types.Task, lease_until: float) -> None:
        """Extends a task's lease."""
        self._replace(task._replace(lease_until=lease_until))

    def throttle(self, task: task_types.Task, share: float) -> None:
        """Limits a task to a share of its cores."""
        self._replace(task._replace(throttle=min(1.0, max(0.0, share))))

    def stop(self, task: task_types.Task) -> None:
        """Stops a task."""
        self._end(task, platform.TaskState.STOPPED)

    def host_of(self, task_id: str) -> str | None:
        """Returns the host of a running or ended task."""
        task = self._tasks_by_id.get(task_id)
        return task.host_id if task else None

    def checkpoint(
        self, task: task_types.Task
    ) -> result.Result[str, errors.Failure]:
        """Creates a checkpoint of a running task."""
        if not self.work.behaviour(task.order.job_id).checkpoint_works:
            return task_types.task_failure(
                errors.ErrorKind.PLATFORM_REFUSED,
                task.order.task_id,
                "checkpoint failed",
            )
        name = f"{task.order.job_id}@{task.worked_seconds:.3f}"
        self._progress_by_checkpoint[name] = task.worked_seconds
        self._replace(task._replace(checkpoint=name))
        return result.Success(name)

    def reports(
        self, host_id: str, now: float
    ) -> tuple[platform.TaskReport, ...]:
        """Returns the usage reports of a host, which may lag."""
        age, view = self._reports.read(now)
        return tuple(
            report._replace(lag_seconds=age) for report in view.get(host_id, ())
        )

    def clear_host(self, host_id: str) -> None:
        """Deletes all tasks and epochs of a host that reboots."""
        for key in [key for key in self._highest_epoch if key[0] == host_id]:
            del self._highest_epoch[key]
        for task_id in self._listed_by_host.pop(host_id, []):
            task = self._tasks_by_id.pop(task_id)
            if task.state is platform.TaskState.RUNNING:
                self._running_by_host[host_id].discard(task_id)

    def running_of(self, job_id: str) -> list[task_types.Task]:
        """Returns the running tasks of a job."""
        return [
            task for task in self.all_running() if task.order.job_id == job_id
        ]

    def progress_seconds(self, job_id: str) -> float:
        """Returns the preserved work of a job: done or in a checkpoint."""
        progress = [
            saved
            for name, saved in self._progress_by_checkpoint.items()
            if name.rpartition("@")[0] == job_id
        ]
        progress += [
            task.worked_seconds
            for task in self._tasks_by_id.values()
            if task.order.job_id == job_id
            and task.state
            in (platform.TaskState.RUNNING, platform.TaskState.FINISHED)
        ]
        return max(progress, default=0.0)

    def all_running(self) -> list[task_types.Task]:
        """Returns all running tasks."""
        return [
            self._tasks_by_id[task_id]
            for running in self._running_by_host.values()
            for task_id in running
        ]

    def _new_task(
        self,
        host_id: str,
        order: platform.TaskOrder,
        now: float,
        host_fails: bool,
    ) -> task_types.Task:
        fails_after = self.work.fails_after_seconds(order.job_id, host_fails)
        return task_types.Task(
            order,
            host_id,
            platform.TaskState.RUNNING,
            started_at=now,
            lease_until=now + order.lease_seconds,
            fails_at=math.inf if fails_after is None else now + fails_after,
            worked_seconds=self._progress_by_checkpoint.get(
                order.checkpoint, 0.0
            ),
            checkpoint=order.checkpoint,
        )

    def _running_on(self, host_id: str) -> list[task_types.Task]:
        return sorted(
            (
                self._tasks_by_id[task_id]
                for task_id in self._running_by_host.get(host_id, ())
            ),
            key=lambda task: task.started_at,
        )

    def _kill_over_memory(self, host_id: str) -> None:
        tasks = self._running_on(host_id)
        free_gib = self.work.size_by_host[host_id].memory_gib
        for task in tasks:
            free_gib -= self.work.memory_used_gib(task)
            if free_gib < -1e-9:
                free_gib += self.work.memory_used_gib(task)
                self.memory_kills += 1
                self._end(task, platform.TaskState.FAILED)

    def _settle_host(self, host_id: str, now: float) -> None:
        settled_until = self._settled_at.get(host_id, now)
        while settled_until < now:
            tasks = self._running_on(host_id)
            speed = self.work.speed(host_id, tasks)
            due_by_id = {
                task.order.task_id: self.work.due(task, speed, settled_until)
                for task in tasks
            }
            step_end = max(
                settled_until,
                min([now, *(due for due, _ in due_by_id.values())]),
            )
            for task in tasks:
                advanced = self._advance(
                    task, speed * (step_end - settled_until)
                )
                due, state = due_by_id[task.order.task_id]
                if due <= step_end:
                    self._end(advanced, state)
            settled_until = step_end
        self._settled_at[host_id] = now

    def _advance(
        self, task: task_types.Task, seconds: float
    ) -> task_types.Task:
        advanced = task._replace(
            worked_seconds=task.worked_seconds + seconds * task.throttle
        )
        self._replace(advanced)
        return advanced

    def _replace(self, task: task_types.Task) -> None:
        self._tasks_by_id[task.order.task_id] = task

    def _end(self, task: task_types.Task, state: platform.TaskState) -> None:
        self._running_by_host[task.host_id].discard(task.order.task_id)
        ended_at = self._settled_at[task.host_id]
        self._replace(task._replace(state=state, ended_at=ended_at))

    def _remove_ended(self, now: float) -> None:
        for task_ids in self._listed_by_host.values():
            task_ids[:] = [
                task_id
                for task_id in task_ids
                if now - self._tasks_by_id[task_id].ended_at
                < ENDED_TASK_SECONDS
            ]

    def _report_snapshot(self) -> dict[str, tuple[platform.TaskReport, ...]]:
        return {
            host_id: tuple(
                self._report(self._tasks_by_id[task_id]) for task_id in task_ids
            )
            for host_id, task_ids in self._listed_by_host.items()
        }

    def _report(self, task: task_types.Task) -> platform.TaskReport:
        is_running = task.state is platform.TaskState.RUNNING
        return platform.TaskReport(
            task.order.task_id,
            task.order.job_id,
            task.order.epoch,
            task.state,
            self.work.cores_used(task) if is_running else 0.0,
            self.work.memory_used_gib(
                task
            ),  # For an ended task, the use at its end.
            task.checkpoint,
            0.0,
            task.throttle,
        )
