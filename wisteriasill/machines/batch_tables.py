"""Tables of a pool, and reading them whole."""

from __future__ import annotations

from returns import result
import xxhash

from wisteriasill.links import cluster

JOB_PARTS = 8  # At 0.4 s a transaction, 20 jobs a second of one service.


def jobs_table(service: str) -> str:
    """Name of the table of a service's accepted jobs."""
    return f"jobs.{service}"


def progress_table(service: str) -> str:
    """Name of the table of the progress of a service's jobs."""
    return f"progress.{service}"


def jobs_part(service: str, job_id: str) -> str:
    """Part of an accepted job's row.

    A part takes one transaction after the other, so callers' jobs are spread
    over parts of their own and never delay the holder's commits.
    """
    number = xxhash.xxh32_intdigest(job_id.encode()) % JOB_PARTS
    return f"{service}/{number}"


def read_all(
    store: cluster.RowStore, table: str, part: str
) -> cluster.RowPage | None:
    """Reads all rows of a part of a table, page by page.

    Returns:
        The rows with the version of the first page, so that following from
        there misses nothing; None if a page can't be read.
    """
    rows: list[cluster.StoredRow] = []
    version: int | None = None
    first = ""
    while True:
        page = store.read(table, part, first)
        if not isinstance(page, result.Success):
            return None
        found = page.unwrap()
        version = found.version if version is None else version
        rows.extend(found.rows)
        if found.complete or not found.rows:
            return cluster.RowPage(tuple(rows), True, version)
        first = found.rows[-1].key + "\0"


def read_records(
    store: cluster.RowStore, service: str
) -> cluster.RowPage | None:
    """Reads the accepted jobs of all parts, with the oldest version."""
    pages = [
        read_all(store, jobs_table(service), f"{service}/{number}")
        for number in range(JOB_PARTS)
    ]
    whole = [page for page in pages if page is not None]
    if len(whole) < JOB_PARTS:
        return None
    return cluster.RowPage(
        tuple(row for page in whole for row in page.rows),
        True,
        min(page.version for page in whole),
    )
