"""Checks that no task starts after its last allowed failure (BUDGET)."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from wisteriasill.contracts import job_spec


class FailedRun(NamedTuple):
    """A run that ended as failed, and what the system has said of its end.

    Attributes:
        number: Number of the end in the list of its worker.
        ended_at: Time of the end.
    """

    task: job_spec.TaskKey
    run: int
    number: int
    ended_at: float


class FailureBook:
    """The failed runs of all workers, and the starts of all tasks.

    An end counts once the system has acknowledged it, unless the lease of its
    worker has expired before. It then counts for starts before that as well.

    Args:
        max_attempts: Failed runs of a task after which it may not start.
    """

    def __init__(self, max_attempts: int) -> None:
        self._max_attempts = max_attempts
        self._listed_by_worker: dict[str, list[FailedRun]] = {}
        self._ends_by_task: dict[job_spec.TaskKey, set[FailedRun]] = {}
        self._starts_by_task: dict[
            job_spec.TaskKey, list[tuple[float, int]]
        ] = {}

    def record_start(
        self, task: job_spec.TaskKey, run: int, now: float
    ) -> None:
        """Records the start of a run."""
        self._starts_by_task.setdefault(task, []).append((now, run))

    def record_failure(self, worker_id: str, failed: FailedRun) -> None:
        """Records that a run ended as failed on a worker."""
        self._listed_by_worker.setdefault(worker_id, []).append(failed)

    def record_acknowledgement(self, worker_id: str, number: int) -> None:
        """Records that the system has stored the ends up to a number."""
        listed = self._listed_by_worker.get(worker_id, [])
        for failed in listed:
            if failed.number <= number:
                self._ends_by_task.setdefault(failed.task, set()).add(failed)
        self._listed_by_worker[worker_id] = [
            failed for failed in listed if failed.number > number
        ]

    def forget_listed(self, worker_id: str) -> None:
        """Drops the ends that a lapsed lease or a crash makes void."""
        self._listed_by_worker.pop(worker_id, None)

    def violations(
        self, has_no_limit: Callable[[job_spec.TaskKey], bool]
    ) -> Iterator[str]:
        """Yields each start after the last allowed failure of its task.

        Args:
            has_no_limit: Whether a task may fail as often as it does.
        """
        for task, ends in self._ends_by_task.items():
            by_time = sorted(ends, key=lambda failed: failed.ended_at)
            if len(by_time) < self._max_attempts or has_no_limit(task):
                continue
            last = by_time[self._max_attempts - 1]
            yield from (
                f"run {run} of {task} starts after its runs "
                f"{[failed.run for failed in by_time]} have failed"
                for at, run in self._starts_by_task[task]
                if at > last.ended_at
            )
