"""Trust in a worker, judged by the ends of its runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriasill import events
from wisteriasill.links import cluster

if TYPE_CHECKING:
    from wisteriasill.machines import worker as workers

# Failed ends of different jobs that make a worker doubtful, and the share of
# its recent ends that they must be. A job that always fails is one job.
DOUBT_JOBS = 2
DOUBT_SHARE = 0.6
RECENT_SECONDS = 8.0  # Ends that count; a few tasks of usual length.
DOUBT_SECONDS = 2.0  # Pause before a single trial.


def note_outcome(
    worker: workers.Worker, kind: cluster.RunEndKind, job_id: str, now: float
) -> None:
    """Takes the end of a run into account."""
    if kind is cluster.RunEndKind.DONE:
        worker.outcomes.append((now, True, job_id))
        if worker.doubted_until:
            worker.doubted_until = 0.0
            worker.on_trial = False
            worker.outcomes.clear()
            events.log(
                events.Event.WORKER_TRUSTED,
                "A run was done; the worker is trusted again",
                worker=worker.worker_id,
            )
    elif kind is cluster.RunEndKind.FAILED:
        worker.outcomes.append((now, False, job_id))
        recent = [
            one for one in worker.outcomes if now - one[0] < RECENT_SECONDS
        ]
        failed = [one for one in recent if not one[1]]
        jobs = {job for _, _, job in failed}
        if len(jobs) >= DOUBT_JOBS and len(failed) >= DOUBT_SHARE * len(recent):
            doubt(worker, now, f"{len(failed)} of {len(recent)} runs failed")
    if kind is not cluster.RunEndKind.DONE and worker.on_trial:
        worker.on_trial = False


def doubt(worker: workers.Worker, now: float, reason: str) -> None:
    """Keeps new tasks away from a worker for a while."""
    worker.doubted_until = now + DOUBT_SECONDS
    worker.on_trial = False
    events.log(
        events.Event.WORKER_DOUBTED,
        "A worker gets no tasks but single trials",
        level="WARNING",
        worker=worker.worker_id,
        reason=reason,
    )


def takes_tasks(worker: workers.Worker, now: float) -> bool:
    """Whether a worker may get a task: trusted, or free for a trial."""
    if not worker.doubted_until:
        return True
    return now >= worker.doubted_until and not worker.on_trial


def note_start(worker: workers.Worker) -> None:
    """Takes into account that a run was planned on a worker."""
    if worker.doubted_until:
        worker.on_trial = True
