"""Finds the service that runs a job whose route has moved between services.

Each service has its own table of jobs, so a job that is submitted again after
its route moved has to be looked for in the tables of the others.
"""

from __future__ import annotations

from collections.abc import Callable
import time

from returns import result

from wisteriasill import errors
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_tables
from wisteriasill.machines import queue_records

RETRY_SECONDS = 0.05
# A slow store takes 0.4 s a transaction.
TRANSACTION_TIMEOUT_SECONDS = 1.2

ReadRecord = Callable[
    [str, str], result.Result[cluster.StoredRow | None, errors.Failure]
]


class JobMoves:
    """Bars jobs from the services that had the address of their queue before.

    A node inserts a job only after it has barred the job from these services,
    with the version of its configuration. A service with a newer bar takes no
    job, so of two nodes with different configurations only one can insert it.
    An older bar gives way, but only to a node that knows all queues stored up
    to the bar, as the job may be at a service that it did not know.

    Args:
        store: The platform's store.
        known_queues: The queues of all configurations.
        read_record: Reads the row of a job, by service and job id.
    """

    def __init__(
        self,
        store: cluster.RowStore,
        known_queues: queue_records.QueueRecords,
        read_record: ReadRecord,
    ) -> None:
        self._store = store
        self._known_queues = known_queues
        self._read_record = read_record

    def locate(
        self,
        queue: queues.Queue,
        job_id: str,
        version: int,
        give_up_at: float,
    ) -> str | None:
        """Returns the service whose pool runs a job.

        Args:
            queue: Queue to which the job is submitted.
            job_id: The caller's id for the job.
            version: Version of the configuration that the insertion uses; 0
                for a queue of none.
            give_up_at: Monotonic time until which to wait for the store.

        Returns:
            Another service that has the job already, else that of the queue;
            None if this is not known.
        """
        known_queues = self._known_queues
        while not (
            known_queues.loaded
            and (not version or known_queues.is_stored(queue))
        ):
            if time.monotonic() >= give_up_at:
                return None
            time.sleep(RETRY_SECONDS)
        others = known_queues.versions_of_others(queue)
        for service, other_version in others.items():
            if other_version < version:
                has_job = self._bar(service, job_id, version, give_up_at)
            elif known_queues.is_stored_before(queue, service):
                # The nodes that accept jobs for it bar this service.
                has_job = self._has_job(service, job_id)
            else:
                has_job = None
            if has_job is None:
                return None
            if has_job:
                return service
        return queue.service

    def _has_job(self, service: str, job_id: str) -> bool | None:
        """Whether a service has a job; None if that is not known."""
        read = self._read_record(service, job_id)
        if not isinstance(read, result.Success):
            return None
        row = read.unwrap()
        return row is not None and not is_replaceable(row.value)

    def _bar(
        self, service: str, job_id: str, version: int, give_up_at: float
    ) -> bool | None:
        """Bars a job from a service, unless the service has it.

        Returns:
            Whether the service has the job; None if that is not known.
        """
        table = batch_tables.jobs_table(service)
        while time.monotonic() < give_up_at:
            read = self._read_record(service, job_id)
            if not isinstance(read, result.Success):
                return None
            row = read.unwrap()
            if row is not None and not is_replaceable(row.value):
                return True
            barred_by = job_spec.decode_move(row.value) if row else None
            if barred_by is not None and barred_by >= version:
                return False if barred_by == version else None
            written = self._store.transact(
                row.partition_key
                if row
                else batch_tables.jobs_partition(service, job_id),
                [cluster.RowVersion(table, job_id, row.version if row else 0)],
                [
                    cluster.RowWrite(
                        table, job_id, job_spec.encode_move(version)
                    )
                ],
                min(TRANSACTION_TIMEOUT_SECONDS, give_up_at - time.monotonic()),
            )
            if isinstance(written, result.Success):
                return False
            time.sleep(RETRY_SECONDS)
        return None


def is_replaceable(value: bytes | None) -> bool:
    """Whether a job may still be accepted in place of a row's value."""
    return (
        value is None
        or job_spec.decode_refusal(value) is not None
        or job_spec.decode_move(value) is not None
    )
