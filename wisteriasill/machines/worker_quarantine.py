"""Quarantine of workers on which runs of several jobs fail."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING

from wisteriasill import events
from wisteriasill.links import cluster

if TYPE_CHECKING:
    from wisteriasill.machines import batch_job
    from wisteriasill.machines import worker as workers

# A worker is quarantined when recent runs of this many jobs failed on it and
# failures are at least this share of its recent run ends. Jobs are counted,
# not runs, because one job may always fail on every worker.
QUARANTINE_MIN_JOBS = 2
QUARANTINE_FAILED_SHARE = 0.6
RECENT_SECONDS = 8.0  # Window of run ends; a few tasks of usual length.
QUARANTINE_SECONDS = 2.0  # Time before a single trial run.
# Largest share of a pool's workers that may be slower than the others.
MAX_SLOW_SHARE = 0.5


def record_run_end(
    worker: workers.Worker, kind: cluster.RunEndKind, job_id: str, now: float
) -> None:
    """Records how a run on a worker ended."""
    if kind is cluster.RunEndKind.DONE:
        worker.outcomes.append((now, True, job_id))
        if worker.quarantined_until:
            worker.quarantined_until = 0.0
            worker.trial_run = None
            worker.outcomes.clear()
            events.log(
                events.Event.WORKER_TRUSTED,
                "A run completed; the worker left quarantine",
                worker=worker.worker_id,
            )
    elif kind is cluster.RunEndKind.FAILED:
        worker.outcomes.append((now, False, job_id))
        recent = [
            outcome
            for outcome in worker.outcomes
            if now - outcome[0] < RECENT_SECONDS
        ]
        failed = [outcome for outcome in recent if not outcome[1]]
        jobs = {job for _, _, job in failed}
        if len(jobs) >= QUARANTINE_MIN_JOBS and len(
            failed
        ) >= QUARANTINE_FAILED_SHARE * len(recent):
            quarantine(
                worker, now, f"{len(failed)} of {len(recent)} runs failed"
            )


def quarantine(worker: workers.Worker, now: float, reason: str) -> None:
    """Keeps tasks off a worker for a time, after which it gets a trial."""
    worker.quarantined_until = now + QUARANTINE_SECONDS
    worker.trial_run = None
    events.log(
        events.Event.WORKER_DOUBTED,
        "Worker is quarantined; it gets single trial runs only",
        level="WARNING",
        worker=worker.worker_id,
        reason=reason,
    )


def may_be_slow(
    worker: workers.Worker, others: Collection[workers.Worker]
) -> bool:
    """Whether a worker may be slow, rather than the task that overran there.

    Tasks may be longer than usual in the whole pool. If most workers were
    quarantined for that, the pool would run one task on each of them.

    Args:
        worker: A worker on which a task overran.
        others: All workers of the pool.
    """
    doubted = sum(
        bool(other.quarantined_until) for other in others if other is not worker
    )
    return doubted + 1 <= MAX_SLOW_SHARE * len(others)


def accepts_tasks(worker: workers.Worker, now: float) -> bool:
    """Whether a worker may get a task: not quarantined, or due a trial run."""
    if not worker.quarantined_until:
        return True
    return now >= worker.quarantined_until and not worker.has_trial_run


def record_start(run: batch_job.Run) -> None:
    """Records that a run was planned on its worker."""
    if run.worker.quarantined_until:
        run.worker.trial_run = run
