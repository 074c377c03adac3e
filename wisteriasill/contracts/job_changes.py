"""State transitions of jobs; each function returns the next row."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wisteriasill.contracts import job_schedule
from wisteriasill.contracts import jobs
from wisteriasill.contracts import service as services

UNDECLARED = "no longer declared"
CANCELLED = "cancelled by an operator"


def task_id_of(job: jobs.Job) -> str:
    """Returns the id of a job's current task."""
    return f"{job.job_id}@{job.epoch}"


def started(start: job_schedule.Start) -> jobs.Job:
    """Returns the row of a job that starts: it reserves resources."""
    job = start.job._replace(
        state=jobs.JobState.RUNNING,
        cores=start.size.cores,
        memory_gib=start.size.memory_gib,
        host_id=start.host_id,
        epoch=start.job.epoch + 1,
        reason="",
    )
    return job._replace(task_id=task_id_of(job))


def stopping(
    job: jobs.Job, after: jobs.JobState, reason: str, checkpoint: str = ""
) -> jobs.Job:
    """Returns the row of a job whose task has to stop.

    The row still names the host.
    """
    return job._replace(
        state=jobs.JobState.STOPPING,
        after_stop=after,
        reason=reason,
        checkpoint=checkpoint or job.checkpoint,
    )


def stopped(job: jobs.Job) -> jobs.Job:
    """Returns the row of a stopping job whose task is known to have stopped."""
    return job._replace(state=job.after_stop, host_id="", task_id="")


def waiting(job: jobs.Job, reason: str) -> jobs.Job:
    """Returns the row of a job that starts again.

    Its task must be known to have stopped.
    """
    return job._replace(
        state=jobs.JobState.WAITING, host_id="", task_id="", reason=reason
    )


def ended(job: jobs.Job, state: jobs.JobState, reason: str = "") -> jobs.Job:
    """Returns the row of a job that won't start again.

    Its task must be known to have stopped.
    """
    return job._replace(state=state, host_id="", task_id="", reason=reason)


def cancelled(job: jobs.Job, reason: str) -> jobs.Job:
    """Returns the row of a cancelled job; stops a task that may be running."""
    if job_schedule.holds_resources(job):
        return stopping(job, jobs.JobState.CANCELLED, reason)
    return ended(job, jobs.JobState.CANCELLED, reason)


def declared(
    service: services.Service, submitted_at: float
) -> Iterator[jobs.Job]:
    """Returns the initial rows of a service's jobs."""
    for contract in service.jobs:
        for copy in range(1, contract.copies + 1):
            yield jobs.Job(
                job_id=f"{service.name}.{contract.name}.{copy}",
                pool=service.name,
                team=service.team,
                state=jobs.JobState.WAITING,
                cores=contract.cores,
                memory_gib=contract.memory_gib,
                accelerators=contract.accelerators,
                urgent=contract.urgent,
                can_checkpoint=contract.checkpoint_minutes > 0,
                submitted_at=submitted_at,
            )


def redeclared(job: jobs.Job, declaration: jobs.Job) -> jobs.Job:
    """Applies a declaration that is new, changed or restored.

    Args:
        job: The current row.
        declaration: The initial row of the declared job.

    Returns:
        The row; the same if nothing changes. A running job keeps the size
        that it started with; a measured one keeps its measured size.
    """
    if job.state is jobs.JobState.CANCELLED and job.reason == UNDECLARED:
        return declaration._replace(epoch=job.epoch, token=job.token)
    if job.state is not jobs.JobState.WAITING:
        return job
    size_source = job if job.measured else declaration
    return job._replace(
        team=declaration.team,
        cores=size_source.cores,
        memory_gib=size_source.memory_gib,
        accelerators=declaration.accelerators,
        urgent=declaration.urgent,
        can_checkpoint=declaration.can_checkpoint,
    )


def undeclared(
    pool_jobs: Iterable[jobs.Job], declared_ids: frozenset[str]
) -> list[jobs.Job]:
    """Returns the jobs to cancel because they are no longer declared.

    Args:
        pool_jobs: All jobs of the pool.
        declared_ids: Ids of the declared ones.
    """
    terminal_states = (jobs.JobState.CANCELLED, jobs.JobState.FINISHED)
    return [
        job
        for job in pool_jobs
        if job.job_id not in declared_ids
        and job.state not in terminal_states
        and (job.state, job.after_stop)
        != (jobs.JobState.STOPPING, jobs.JobState.CANCELLED)
    ]
