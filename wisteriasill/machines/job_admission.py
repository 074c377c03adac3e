"""Turns jobs away that their pool can't serve while they are of use."""

from __future__ import annotations

from collections.abc import Callable
import random
import time

from returns import result
import xxhash

from wisteriasill import events
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import overload_policy
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_tables

BacklogView = Callable[[str], overload_policy.ObservedBacklog | None]


class JobAdmission:
    """Decides about new jobs and stores each refusal.

    A stored refusal makes it true: it takes the place of the job's row, so an
    earlier submission that the store carries out late fails.

    Args:
        store: The platform's store.
        view_backlog: Returns the backlog of a service's pool as this node last
            read it; None if it is unknown.
    """

    def __init__(
        self, store: cluster.RowStore, view_backlog: BacklogView
    ) -> None:
        self._store = store
        self._view_backlog = view_backlog

    def turn_away(
        self,
        queue: queues.Queue,
        job_id: str,
        spec: job_spec.JobSpec,
        timeout_seconds: float,
    ) -> int | None:
        """Turns a job away if it would be of no use.

        Args:
            queue: Queue of the job.
            job_id: Id of the job.
            spec: The job.
            timeout_seconds: Longest wait for each call to the store.

        Returns:
            Retry-After in seconds if the refusal is stored; None to accept the
            job, also where the store doesn't tell.
        """
        if not _may_be_turned_away(spec):
            return None
        observed = self._view_backlog(queue.service)
        wait_seconds = overload_policy.seconds_until_useful(
            overload_policy.NewJob(
                queue.name,
                xxhash.xxh32_intdigest(job_id.encode()) / 2**32,
                job_spec.critical_path_seconds(spec.steps),
                job_spec.core_seconds(spec.steps),
                queue.stretch,
                queue.target_latency_seconds,
            ),
            observed,
        )
        if observed is None or wait_seconds is None:
            return None
        refusal = job_spec.Refusal(
            int(time.time() * 1000),
            overload_policy.retry_after_seconds(wait_seconds, random.random()),
            job_spec.core_seconds(spec.steps),
        )
        stored = self._store_refusal(
            queue.service, job_id, refusal, timeout_seconds
        )
        if stored is None:
            return None
        events.log(
            events.Event.JOB_TURNED_AWAY,
            "A job was turned away, as it would end when it is of no use",
            job=job_id,
            queue=queue.name,
            retry_after_seconds=stored.retry_after_seconds,
            in_time_seconds=observed.published.backlog.in_time_seconds,
            useful_seconds=observed.published.backlog.useful_seconds,
            backlog_age_seconds=round(observed.age_seconds, 3),
        )
        return stored.retry_after_seconds

    def _store_refusal(
        self,
        service: str,
        job_id: str,
        refusal: job_spec.Refusal,
        timeout_seconds: float,
    ) -> job_spec.Refusal | None:
        """Stores a refusal, unless the job is accepted or returns on time."""
        stored = self._write(service, job_id, refusal, 0, timeout_seconds)
        if isinstance(stored, result.Success):
            return refusal
        former_row = next(iter(stored.failure().rows), None)
        former = former_row and job_spec.decode_refusal(former_row.value)
        if former_row is None or former is None:
            return None
        waited_seconds = (refusal.refused_ms - former.refused_ms) / 1000
        if overload_policy.returns_on_time(
            waited_seconds, former.retry_after_seconds
        ):
            return None
        # Stored again, so that a repeat of an attempt in between fails.
        again = self._write(
            service, job_id, former, former_row.version, timeout_seconds
        )
        return former if isinstance(again, result.Success) else None

    def _write(
        self,
        service: str,
        job_id: str,
        refusal: job_spec.Refusal,
        version: int,
        timeout_seconds: float,
    ) -> result.Result[int, cluster.StoreFault]:
        table = batch_tables.jobs_table(service)
        return self._store.transact(
            batch_tables.jobs_partition(service, job_id),
            [cluster.RowVersion(table, job_id, version)],
            [cluster.RowWrite(table, job_id, job_spec.encode_refusal(refusal))],
            timeout_seconds,
        )


def _may_be_turned_away(spec: job_spec.JobSpec) -> bool:
    """Whether the backlog of the whole pool tells when a job can start.

    Long-running and timed jobs have no objective from their submission, and
    steps that need certain workers wait for these only.
    """
    return not (
        spec.lasting
        or spec.occurrences
        or any(step.label for step in spec.steps)
    )
