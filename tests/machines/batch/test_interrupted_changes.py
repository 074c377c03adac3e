"""Tests of changes of a pool that an unexpected error interrupts."""

from __future__ import annotations

from collections.abc import Callable, Sequence
import contextlib
import threading
from typing import Any, cast

import pytest

from standins import batch_worker
from standins import row_store
from tests.machines import batch_site
from wisteriasill import metrics
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_runs
from wisteriasill.machines import batch_tables
from wisteriasill.machines import site_links
from wisteriasill.machines import worker as workers
from wisteriasill.zones import shard_writer

JOBS_TABLE = batch_tables.jobs_table(batch_site.SERVICE)


class FaultyStore(row_store.MemoryRowStore):
    """A store of which one transaction raises an error.

    Attributes:
        fails: Whether the next one does.
        stores_first: Whether it is stored before that.
        after_error: Called once after the error.
    """

    fails = False
    stores_first = False
    after_error: Callable[[], None] | None = None

    def transact(
        self,
        partition_key: str,
        conditions: Sequence[cluster.RowVersion],
        writes: Sequence[cluster.RowWrite],
        timeout_seconds: float,
    ) -> Any:
        """Stores rows, or raises an error."""
        fails, self.fails = self.fails, False
        if fails:
            if self.stores_first:
                super().transact(
                    partition_key, conditions, writes, timeout_seconds
                )
            if self.after_error:
                self.after_error()
            raise RuntimeError("injected")
        return super().transact(
            partition_key, conditions, writes, timeout_seconds
        )


@pytest.fixture
def store() -> FaultyStore:
    return FaultyStore()


@pytest.fixture
def controller(store: FaultyStore) -> batch_controller.BatchController:
    """The holder of a pool without threads."""
    writer = shard_writer.ShardWriter(
        store, batch_site.SERVICE, "n1", threading.Event()
    )
    assert writer.claim(shard_writer.UNOWNED)
    return batch_controller.BatchController(
        site_links.SiteLinks(
            store=store,
            registry=cast(cluster.WorkerRegistry, None),
            operators=cast(cluster.OperatorOrders, None),
            hosts=cast(cluster.HostControl, None),
            advice=None,
            open_worker=lambda entry: cast(cluster.WorkerLink, None),
            metrics=metrics.Metrics(),
        ),
        writer,
        batch_site.CONFIGURATION,
    )


def test_a_record_that_an_error_left_long_is_shortened_later(
    store: FaultyStore,
    controller: batch_controller.BatchController,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its progress is deleted after 240 s; then the next holder runs it."""
    monkeypatch.setattr(batch_controller, "COMPACTION_SECONDS", 0.0)
    row = batch_site.job_row("j1", [batch_site.step(1)])
    version = store.transact(
        row.partition_key,
        [],
        [cluster.RowWrite(JOBS_TABLE, "j1", row.value)],
        1.0,
    ).unwrap()
    record = batch_runs.EndedRecord(row.partition_key, "j1", version)
    controller.pool.ended_records.append(record)
    store.fails = True
    store.after_error = controller._closing.set
    with contextlib.suppress(RuntimeError):
        controller._compact_records()
    assert controller.pool.ended_records == [record]


def test_a_run_whose_round_was_interrupted_after_its_planning_is_started(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    controller: batch_controller.BatchController,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It stayed planned, its task neither waiting nor sent."""
    pool = controller.pool
    entry = site.add_worker("w1", link).entry
    worker = workers.Worker(entry, link, pool, pool.former_leases_end_at)
    pool.add_worker(worker)
    worker.poll_once()
    # The second task fits nowhere, so that only the first one is planned.
    steps = [batch_site.step(1), batch_site.step(1, cpu=99_000)]
    pool.on_record(batch_site.job_row("j1", steps))
    plan_unit = pool._plan_unit

    def raise_once(unit: batch_job.Unit, *args: Any) -> bool:
        if unit.step_number:
            monkeypatch.undo()
            raise RuntimeError("injected")
        return plan_unit(unit, *args)

    monkeypatch.setattr(pool, "_plan_unit", raise_once)
    with pytest.raises(RuntimeError):
        controller.run_round()
    controller.run_round()
    while worker.send_once():
        pass
    assert link.running == {job_spec.TaskKey("j1", 0, 0, 0): 1}


def test_a_cancellation_that_was_interrupted_is_carried_out_when_read_again(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The job ran on, as its record was already marked as cancelled."""
    worker = started(batch_site.step(1))
    row = batch_site.job_row(
        "j1", [batch_site.step(1)], cancelled=True, version=2
    )

    def raise_once(*args: Any) -> None:
        monkeypatch.undo()
        raise RuntimeError("injected")

    monkeypatch.setattr(site.pool, "_cancel", raise_once)
    with pytest.raises(RuntimeError):
        site.pool.on_record(row)
    site.pool.on_record(row)
    site.run_round()
    site.deliver(worker)
    site.poll(worker)
    assert not link.running


def test_a_holder_keeps_its_shard_after_a_stored_round_that_failed(
    store: FaultyStore, controller: batch_controller.BatchController
) -> None:
    """Its own newer rows counted as those of another holder."""
    steps = [batch_site.step(1)]
    controller.pool.on_record(batch_site.job_row("j1", steps))
    job = controller.pool.job_by_id["j1"]
    controller.pool.dirty_job_by_id["j1"] = job
    store.fails = store.stores_first = True
    with pytest.raises(RuntimeError):
        controller.run_round()
    controller.pool.on_record(
        batch_site.job_row("j1", steps, cancelled=True, version=2)
    )
    controller.run_round()
    assert not controller.lost


def test_a_job_whose_row_cannot_be_stored_does_not_stop_its_pool(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    controller: batch_controller.BatchController,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each round failed on it again, and the pool was not even renewed."""
    pool = controller.pool
    entry = site.add_worker("w1", link).entry
    worker = workers.Worker(entry, link, pool, pool.former_leases_end_at)
    pool.add_worker(worker)
    worker.poll_once()
    encode = batch_job.encode_progress

    def encode_others(job: batch_job.Job) -> bytes:
        if job.job_id == "j1":
            raise RuntimeError("injected")
        return encode(job)

    monkeypatch.setattr(batch_job, "encode_progress", encode_others)
    for job_id in ("j1", "j2"):
        pool.on_record(batch_site.job_row(job_id, [batch_site.step(1)]))
        with contextlib.suppress(RuntimeError):
            controller.run_round()
    while worker.send_once():
        pass
    assert job_spec.TaskKey("j2", 0, 0, 0) in link.running
