"""Choice of the worker for a task.

Used by nodes; entry hosts use `placement` instead.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
import sys
from typing import NamedTuple, Protocol, TypeVar

from wisteriasill.contracts import job_spec


class Candidate(Protocol):
    """A worker that accepts tasks, with its unreserved resources."""

    @property
    def free_cpu(self) -> int:
        """Unreserved thousandths of a core."""

    @property
    def free_memory_mb(self) -> int:
        """Unreserved memory."""

    @property
    def free_accelerators(self) -> int:
        """Unreserved accelerators."""

    @property
    def worker_id(self) -> str:
        """The worker's id."""

    @property
    def rack(self) -> str:
        """Rack of its host."""

    @property
    def labels(self) -> tuple[str, ...]:
        """Its labels."""


class PlacementRequest(NamedTuple):
    """A task to place, with the constraints on its worker.

    Attributes:
        step: The task's step.
        tasks_by_worker: Number of tasks of the same step by worker.
        tasks_by_rack: Number of tasks of the same step by rack.
        avoided: Workers on which the task failed.
        permitted: Workers that the queue's policy allows; None for any.
        due: Workers whose hosts a wave has yet to maintain.
    """

    step: job_spec.StepSpec
    tasks_by_worker: Mapping[str, int]
    tasks_by_rack: Mapping[str, int]
    avoided: Collection[str] = ()
    permitted: Collection[str] | None = None
    due: Collection[str] = ()


def fits(candidate: Candidate, request: PlacementRequest) -> bool:
    """Returns whether a worker may run the task now."""
    step = request.step
    needed = step.need
    return (
        needed.memory_mb <= candidate.free_memory_mb
        and needed.accelerators <= candidate.free_accelerators
        and (step.fills or needed.cpu <= candidate.free_cpu)
        and (not step.label or step.label in candidate.labels)
        and (
            not step.most_per_worker
            or request.tasks_by_worker.get(candidate.worker_id, 0)
            < step.most_per_worker
        )
        and (
            request.permitted is None
            or candidate.worker_id in request.permitted
        )
    )


class LaterWorker(NamedTuple):
    """A worker as it will be once its finite runs have ended."""

    worker_id: str
    rack: str
    labels: tuple[str, ...]
    free_cpu: int
    free_memory_mb: int
    free_accelerators: int


def will_fit(later: LaterWorker, request: PlacementRequest) -> bool:
    """Returns whether a worker may run the task once its finite runs ended."""
    if not request.step.lasting:
        # Other tasks of its step end too.
        request = request._replace(tasks_by_worker={})
    return fits(later, request)


class FullPool:
    """Requests of a planning round that fit on no worker.

    Load pattern: hundreds of jobs wait for a pool of 140 full workers. A search
    of all workers for each of them takes longer than the tasks run. Room only
    shrinks within a round, so a task that needs at least as much as one that
    fitted nowhere needs no search.
    """

    def __init__(self) -> None:
        self._needs: list[job_spec.Resources] = []

    def record(self, request: PlacementRequest) -> None:
        """Records a request that fits on no worker."""
        step = request.step
        only_room_binds = not (
            step.label
            or step.most_per_worker
            or step.fills
            or step.gang
            or request.permitted is not None
        )
        if only_room_binds and not self.excludes(step):
            self._needs.append(step.need)

    def excludes(self, step: job_spec.StepSpec) -> bool:
        """Whether a step's tasks certainly fit on no worker."""
        return not step.fills and any(
            step.need.holds(need) for need in self._needs
        )


AnyCandidate = TypeVar("AnyCandidate", bound=Candidate)


def choose(
    candidates: Iterable[AnyCandidate], request: PlacementRequest
) -> AnyCandidate | None:
    """Chooses the worker for a task.

    Long-running tasks are spread over racks and the emptiest workers, so that
    the loss of a rack hits few tasks of a step, and kept off hosts that a wave
    would have to move them from again. Others go to the fullest
    worker on which they fit (best fit), which keeps room for wide tasks.

    Args:
        candidates: Workers that accept tasks.
        request: The task and its constraints.

    Returns:
        The worker, or None if the task fits on none.
    """
    step = request.step
    needed = step.need
    # A best-effort task needs no unreserved processor time.
    needed_cpu = -sys.maxsize if step.fills else needed.cpu
    # Most workers are full at a peak, so room is compared first, without calls.
    with_room = [
        candidate
        for candidate in candidates
        if candidate.free_cpu >= needed_cpu
        and candidate.free_memory_mb >= needed.memory_mb
        and candidate.free_accelerators >= needed.accelerators
    ]
    if step.label or step.most_per_worker or request.permitted is not None:
        with_room = [worker for worker in with_room if fits(worker, request)]
    if not (step.lasting or step.data_rack or request.avoided):
        return min(with_room, key=_free_cpu, default=None)

    def cost(candidate: AnyCandidate) -> tuple[float, ...]:
        tasks_here = request.tasks_by_worker.get(candidate.worker_id, 0)
        return (
            candidate.worker_id in request.avoided,
            bool(step.data_rack) and candidate.rack != step.data_rack,
            step.lasting and candidate.worker_id in request.due,
            request.tasks_by_rack.get(candidate.rack, 0) if step.lasting else 0,
            tasks_here if step.lasting else 0,
            -candidate.free_cpu if step.lasting else candidate.free_cpu,
        )

    return min(with_room, key=cost, default=None)


def _free_cpu(candidate: Candidate) -> int:
    return candidate.free_cpu
