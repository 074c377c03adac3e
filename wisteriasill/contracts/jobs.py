"""Rows of the jobs table: jobs and the leases of their tasks.

These are the jobs that service files declare and entry hosts run; `job_spec`
has the jobs that callers submit to nodes.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

TABLE = "jobs"


class JobState(enum.StrEnum):
    """State of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    QUARANTINED = "quarantined"
    CANCELLED = "cancelled"


class Job(NamedTuple):
    """A row of the jobs table; its key is `pool/job_id`.

    Attributes:
        job_id: `service.job.copy`.
        pool: Pool that it runs on.
        team: Team whose quota it uses.
        state: Its state.
        cores: Cores, corrected by usage reports.
        memory_gib: Memory, corrected by usage reports.
        accelerators: Accelerators.
        urgent: Whether it starts before other jobs.
        can_checkpoint: Whether it can be preempted without loss of work.
        host_id: Host of its task; empty while it has none.
        task_id: Its task; a new one at each start.
        epoch: Fencing token; grows with each start, so that orders to older
            tasks are rejected.
        checkpoint: Last checkpoint; empty for none.
        reason: Why it waits or is quarantined.
        failed_hosts: Hosts on which it failed since its last success.
        submitted_at: Unix time in seconds.
        measured: Whether cores and memory come from usage reports.
        after_stop: State that follows STOPPING.
        token: Random value of the last writer.
    """

    job_id: str
    pool: str
    team: str
    state: JobState
    cores: float
    memory_gib: float
    accelerators: int = 0
    urgent: bool = False
    can_checkpoint: bool = False
    host_id: str = ""
    task_id: str = ""
    epoch: int = 0
    checkpoint: str = ""
    reason: str = ""
    failed_hosts: tuple[str, ...] = ()
    submitted_at: float = 0.0
    measured: bool = False
    after_stop: JobState = JobState.CANCELLED
    token: str = ""

    @property
    def key(self) -> str:
        """Key of the row."""
        return f"{self.pool}/{self.job_id}"
