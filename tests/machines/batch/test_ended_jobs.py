"""Tests of what happens to a job after it has its final state."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
import itertools
import threading
import time
from typing import cast

import cbor2
import pytest
from returns import result

from standins import batch_worker
from standins import row_store
from tests import waiting
from tests.machines import batch_site
from wisteriasill import metrics
from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_runs
from wisteriasill.machines import batch_tables
from wisteriasill.machines import job_api
from wisteriasill.machines import site_links
from wisteriasill.machines import worker as workers
from wisteriasill.zones import shard_writer

STEP = batch_site.step(1)


@pytest.fixture
def successor(
    site: batch_site.SteppedPool, started: Callable[..., workers.Worker]
) -> batch_site.SteppedPool:
    """A new holder of a job that was cancelled while nobody held the pool.

    One more crash convicts the job's task, whose run is on a worker that the
    new holder has not seen.
    """
    started(STEP)
    unit = next(iter(site.pool.job_by_id["j1"].unit_by_key.values()))
    unit.crash_record = crash_evidence.CrashRecord(
        crash_evidence.MAX_CRASHES - 1, 0
    )
    site.pool.dirty_job_by_id["j1"] = unit.job
    site.run_round()
    new_holder = batch_site.SteppedPool(
        2,
        [batch_site.job_row("j1", [STEP], cancelled=True)],
        site.progress_rows(),
    )
    new_holder.run_round()
    return new_holder


def add_next_incarnation(pool: batch_site.SteppedPool) -> None:
    pool.add_worker("w1", batch_worker.MemoryWorker(batch_site.ROOM, 2))


def report_host_down(pool: batch_site.SteppedPool) -> None:
    pool.pool.set_down_workers({"w1": 10})


def end_former_leases(pool: batch_site.SteppedPool) -> None:
    pool.pool.end_expired_runs(pool.pool.former_leases_end_at + 1)


@pytest.mark.parametrize(
    "lose_worker",
    [add_next_incarnation, report_host_down, end_former_leases],
)
def test_a_crash_under_a_run_of_a_cancelled_job_changes_nothing(
    successor: batch_site.SteppedPool,
    lose_worker: Callable[[batch_site.SteppedPool], None],
) -> None:
    """A cancelled job was shown as failed, and its row was written again."""
    state = batch_job.decode_state(successor.progress_by_id.pop("j1"))
    assert state is batch_job.JobState.CANCELLED
    records = len(successor.pool.ended_records)
    lose_worker(successor)
    successor.run_round()
    rewritten = successor.progress_by_id.values()
    assert [batch_job.decode_state(value) for value in rewritten] == []
    assert len(successor.pool.ended_records) == records


def test_a_new_holder_shortens_the_record_of_a_job_that_has_ended(
    site: batch_site.SteppedPool, started: Callable[..., workers.Worker]
) -> None:
    """The former holder may have ended before it shortened the record.

    Once the progress of the job was deleted, the next holder ran it again.
    """
    started(STEP)
    row = batch_site.job_row("j1", [STEP], cancelled=True, version=7)
    site.pool.on_record(row)
    site.run_round()
    new_holder = batch_site.SteppedPool(2, [row], site.progress_rows())
    assert new_holder.pool.ended_records == [
        batch_runs.EndedRecord(row.partition_key, "j1", 7)
    ]
    short_row = row._replace(value=job_spec.TOMBSTONE, version=8)
    next_holder = batch_site.SteppedPool(3, [short_row], site.progress_rows())
    assert not next_holder.pool.ended_records


class NoWorkers:
    """A registry without workers; implements `cluster.WorkerRegistry`."""

    def read(self) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Reads no workers."""
        return result.Success(cluster.RegistryPage((), (), True, 1))

    def watch(
        self, after: int, wait_seconds: float
    ) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Waits in vain."""
        time.sleep(wait_seconds)
        return result.Success(cluster.RegistryPage((), (), False, after))


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    return row_store.MemoryRowStore()


@pytest.fixture
def controller(
    store: row_store.MemoryRowStore,
) -> Iterator[batch_controller.BatchController]:
    """The holder of a pool, not opened yet."""
    writer = shard_writer.ShardWriter(
        store, batch_site.SERVICE, "n1", threading.Event()
    )
    assert writer.claim(shard_writer.UNOWNED)
    holder = batch_controller.BatchController(
        site_links.SiteLinks(
            store=store,
            registry=NoWorkers(),
            operators=cast(cluster.OperatorOrders, None),
            hosts=cast(cluster.HostControl, None),
            advice=None,
            open_worker=lambda entry: cast(cluster.WorkerLink, None),
            metrics=metrics.Metrics(),
        ),
        writer,
        batch_site.CONFIGURATION,
    )
    yield holder
    holder.close(release=True)


@pytest.mark.parametrize("changes", ["nothing", "a record", "the store"])
def test_records_that_could_not_be_shortened_are_shortened_later(
    store: row_store.MemoryRowStore,
    controller: batch_controller.BatchController,
    monkeypatch: pytest.MonkeyPatch,
    changes: str,
) -> None:
    """A record that changed left all of its partition as they were.

    Once the progress of these jobs was deleted, the next holder ran them again.
    """
    monkeypatch.setattr(batch_controller, "COMPACTION_SECONDS", 0.5)
    job_ids = _ids_of_one_partition(2)
    table = batch_tables.jobs_table(batch_site.SERVICE)
    partition_key = batch_tables.jobs_partition(batch_site.SERVICE, job_ids[0])
    spec = job_spec.JobSpec("text", (STEP,))
    record = job_spec.JobRecord(batch_site.QUEUE.name, 1, False, spec)
    value = cbor2.dumps(job_spec.encode(record))
    writes = [cluster.RowWrite(table, job_id, value) for job_id in job_ids]
    version = store.transact(partition_key, [], writes, 1.0).unwrap()
    assert controller.open()
    cancelled = cbor2.dumps(job_spec.encode(record._replace(cancelled=True)))
    for job_id in job_ids:
        controller.pool.on_record(
            cluster.StoredRow(table, partition_key, job_id, cancelled, version)
        )
    if changes == "a record":
        api = job_api.JobApi(store)
        api.cancel(batch_site.QUEUE, job_ids[0], time.monotonic() + 1)
    elif changes == "the store":
        monkeypatch.setattr(store, "transact", _refuse_once(store, table))

    def are_short() -> bool:
        rows = store.read(table, partition_key).unwrap().rows
        return {row.value for row in rows} == {job_spec.TOMBSTONE}

    assert waiting.wait_until(are_short, 5.0)


def test_a_record_is_kept_until_the_final_state_is_stored(
    store: row_store.MemoryRowStore,
    controller: batch_controller.BatchController,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The pool's partition may be unavailable while those of records are not.

    With the record gone and no final state, the next holder knew nothing of the
    job, which was shown as running for good.
    """
    monkeypatch.setattr(batch_controller, "COMPACTION_SECONDS", 0.05)
    job_id = "0123456789abcdef"
    table = batch_tables.jobs_table(batch_site.SERVICE)
    partition_key = batch_tables.jobs_partition(batch_site.SERVICE, job_id)
    row = batch_site.job_row(job_id, [STEP], cancelled=True)
    assert row.value
    write = cluster.RowWrite(table, job_id, row.value)
    version = store.transact(partition_key, [], [write], 1.0).unwrap()
    transact = store.transact
    is_away = threading.Event()

    def refuse_pool(
        partition_key: str,
        required: Sequence[cluster.RowVersion],
        writes: Sequence[cluster.RowWrite],
        timeout_seconds: float,
    ) -> result.Result[int, cluster.StoreFault]:
        if is_away.is_set() and partition_key == batch_site.SERVICE:
            return result.Failure(row_store.UNAVAILABLE)
        return transact(partition_key, required, writes, timeout_seconds)

    def value() -> bytes | None:
        return store.read(table, partition_key).unwrap().rows[0].value

    monkeypatch.setattr(store, "transact", refuse_pool)
    is_away.set()
    assert controller.open()
    controller.pool.on_record(
        row._replace(partition_key=partition_key, version=version)
    )
    time.sleep(0.5)
    assert value() == row.value
    is_away.clear()
    assert waiting.wait_until(lambda: value() == job_spec.TOMBSTONE, 5.0)


def _ids_of_one_partition(count: int) -> list[str]:
    ids_by_partition: dict[str, list[str]] = {}
    for number in itertools.count():
        job_id = f"{number:016x}"
        ids = ids_by_partition.setdefault(
            batch_tables.jobs_partition(batch_site.SERVICE, job_id), []
        )
        ids.append(job_id)
        if len(ids) == count:
            return ids
    raise AssertionError("unreachable")


def _refuse_once(
    store: row_store.MemoryRowStore, table: str
) -> Callable[..., result.Result[int, cluster.StoreFault]]:
    """Returns `transact` of a store that refuses a table's first write."""
    refused: list[str] = []
    transact = store.transact

    def refuse_once(
        partition_key: str,
        required: Sequence[cluster.RowVersion],
        writes: Sequence[cluster.RowWrite],
        timeout_seconds: float,
    ) -> result.Result[int, cluster.StoreFault]:
        if not refused and any(write.table == table for write in writes):
            refused.append(partition_key)
            return result.Failure(row_store.UNAVAILABLE)
        return transact(partition_key, required, writes, timeout_seconds)

    return refuse_once
