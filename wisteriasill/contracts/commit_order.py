"""Decides which jobs a pool's holder stores first while the store is slow.

Load pattern: the store answers forty times slower at a peak of a pool of 150
workers. A partition then runs four transactions a second, and each round of
planning has several of them, as every end of a task changes its job's row.
Tasks that wait behind these rows start more than a second late, each step anew.
"""

from __future__ import annotations

from collections.abc import Iterable
import itertools
from typing import NamedTuple

# A transaction takes 6 ms, or 20 ms for a busy holder.
SLOW_STORE_SECONDS = 0.08
# Longest delay of a row that neither starts nor ends anything. Its workers keep
# the ends of its tasks until it is stored.
MAX_DELAY_SECONDS = 1.5


class ChangedJob(NamedTuple):
    """A job whose row has to be stored.

    Attributes:
        job_id: Id of the job.
        starts_tasks: Whether tasks wait for the row, as starts are stored
            before they are sent.
        has_ended: Whether callers wait for the row, which shows them the end.
        delayed_since: Monotonic time of the first round that left it out.
    """

    job_id: str
    starts_tasks: bool
    has_ended: bool
    delayed_since: float

    def is_urgent(self, now: float) -> bool:
        """Whether the row is stored in any case."""
        return (
            self.starts_tasks
            or self.has_ended
            or now - self.delayed_since >= MAX_DELAY_SECONDS
        )


def rows_to_store(
    changed: Iterable[ChangedJob],
    response_seconds: float,
    rows_per_transaction: int,
    now: float,
) -> list[str]:
    """Returns the ids of the jobs to store in this round, the first first.

    Args:
        changed: The jobs.
        response_seconds: Response time of the last transaction.
        rows_per_transaction: Rows of jobs that fit into a transaction.
        now: Monotonic time.
    """
    by_urgency = sorted(
        changed,
        key=lambda job: (
            not job.starts_tasks,
            not job.has_ended,
            job.delayed_since,
        ),
    )
    if response_seconds < SLOW_STORE_SECONDS:
        return [job.job_id for job in by_urgency]
    urgent = [job.job_id for job in by_urgency if job.is_urgent(now)]
    others = (job.job_id for job in by_urgency if not job.is_urgent(now))
    unused_rows = -len(urgent) % rows_per_transaction
    return [*urgent, *itertools.islice(others, unused_rows)]
