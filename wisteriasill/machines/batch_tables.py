"""Tables of a pool, and full reads of them."""

from __future__ import annotations

from concurrent import futures
import time

from returns import result
import xxhash

from wisteriasill.links import cluster

# Time for which the read of a refused page is retried; about the silence after
# which another node would claim the shard from the reading holder.
READ_SECONDS = 2.0
RETRY_SECONDS = 0.05
# A slow store takes 0.3 s a transaction and runs one at a time in a partition,
# so this accepts 100 jobs a second of one service.
JOB_PARTITIONS = 32
# Partitions of the release before; its jobs are still read.
FORMER_JOB_PARTITIONS = 8
READING_THREADS = 8  # Concurrent reads of a new holder.


def jobs_table(service: str) -> str:
    """Name of the table of a service's accepted jobs."""
    return f"jobs.{service}"


def progress_table(service: str) -> str:
    """Name of the table of the progress of a service's jobs."""
    return f"progress.{service}"


def jobs_partition(service: str, job_id: str) -> str:
    """Returns the partition of an accepted job's row.

    A partition runs one transaction at a time. Callers' jobs are spread over
    separate partitions, so that they never delay the holder's commits.
    """
    return _partition(service, job_id, JOB_PARTITIONS)


def former_jobs_partition(service: str, job_id: str) -> str:
    """Returns the partition of a job that the release before stored."""
    return _partition(service, job_id, FORMER_JOB_PARTITIONS)


def _partition(service: str, job_id: str, partitions: int) -> str:
    number = xxhash.xxh32_intdigest(job_id.encode()) % partitions
    return f"{service}/{number}"


def read_all(
    store: cluster.RowStore,
    table: str,
    partition_key: str,
    retry_seconds: float | None = None,
) -> cluster.RowPage | None:
    """Reads all rows of a partition of a table, page by page.

    Args:
        store: The store.
        table: The table.
        partition_key: The partition.
        retry_seconds: Time for which pages that the store refuses are retried;
            None for `READ_SECONDS`.

    Returns:
        The rows with the version of the first page, so that a watch from that
        version misses no change; None if a page can't be read.
    """
    rows: list[cluster.StoredRow] = []
    version: int | None = None
    first = ""
    if retry_seconds is None:
        retry_seconds = READ_SECONDS
    give_up_at = time.monotonic() + retry_seconds
    while True:
        read = store.read(table, partition_key, first)
        if not isinstance(read, result.Success):
            if time.monotonic() > give_up_at:
                return None
            time.sleep(RETRY_SECONDS)
            continue
        page = read.unwrap()
        version = page.version if version is None else version
        rows.extend(page.rows)
        if page.complete or not page.rows:
            return cluster.RowPage(tuple(rows), True, version)
        first = page.rows[-1].key + "\0"


def read_records(
    store: cluster.RowStore, service: str
) -> cluster.RowPage | None:
    """Reads the accepted jobs of all partitions, with the oldest version."""
    table = jobs_table(service)
    with futures.ThreadPoolExecutor(READING_THREADS) as executor:
        read_pages = [
            *executor.map(
                lambda number: read_all(store, table, f"{service}/{number}"),
                range(JOB_PARTITIONS),
            )
        ]
    pages = [page for page in read_pages if page is not None]
    if len(pages) < len(read_pages):
        return None
    return cluster.RowPage(
        tuple(row for page in pages for row in page.rows),
        True,
        min(page.version for page in pages),
    )
