"""Tests of rows and reports that can't be used.

One malformed message must neither end a task of a node nor leave a pool
without a holder.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_reports
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
BAD_VALUES = [b"", b"\xff\x00", b"\xa0", b"\x80", b"\x01"]


def bad_row(value: bytes, table: str = "jobs") -> cluster.StoredRow:
    return cluster.StoredRow(
        f"{table}.{batch_site.SERVICE}", batch_site.SERVICE, "j0", value, 1
    )


@pytest.mark.parametrize("value", BAD_VALUES)
def test_a_pool_opens_and_runs_beside_an_unreadable_job(value: bytes) -> None:
    """The rows of one job must not keep all nodes from holding the pool."""
    good = batch_site.job_row("j1", [batch_site.step(1)])
    site = batch_site.SteppedPool(records=[bad_row(value), good])
    assert [*site.pool.job_by_id] == ["j1"]
    site.pool.on_record(bad_row(value))
    site.pool.on_record(batch_site.job_row("j2", [batch_site.step(1)]))
    assert [*site.pool.job_by_id] == ["j1", "j2"]


@pytest.mark.parametrize("value", BAD_VALUES)
def test_a_job_with_unreadable_progress_is_not_started_again(
    value: bytes,
) -> None:
    """Its tasks may have run, so nothing tells which of them may start."""
    rows = [
        batch_site.job_row(job_id, [batch_site.step(1)])
        for job_id in ("j0", "j1")
    ]
    site = batch_site.SteppedPool(
        records=rows, progress=[bad_row(value, "progress")]
    )
    assert [*site.pool.job_by_id] == ["j1"]
    site.pool.on_record(rows[0])
    assert [*site.pool.job_by_id] == ["j1"]


def test_a_shortened_list_of_ends_does_not_show_that_a_run_is_lost(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """A worker lists 500 ends at a time; the end of a run may follow later."""
    worker = started(batch_site.step(1))
    run = worker.run_by_task[TASK]
    run.acked_at -= 1.0
    ends = tuple(
        cluster.RunEnd(
            number,
            job_spec.TaskKey("other", 0, 0, number),
            1,
            cluster.RunEndKind.DONE,
            "",
        )
        for number in range(1, batch_reports.MAX_REPORTED_ENDS + 1)
    )
    report = cluster.WorkerReport(link.clock_ms, link.started_ms, (), ends)
    site.pool.on_report(worker, run.acked_at + 1.0, report)
    assert worker.run_by_task[TASK] is run
