"""Tests of cancellations long after a job was accepted by a former holder."""

from __future__ import annotations

from collections.abc import Callable
import time

import cbor2
import pytest
from returns import result

from standins import batch_worker
from standins import row_store
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_reports
from wisteriasill.machines import batch_tables
from wisteriasill.machines import job_api
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
LASTING = batch_site.step(2, cpu=9_000, lasting=True, may_be_away=1)
GANG = batch_site.step(2, cpu=9_000, gang=True)
INTERVAL_MS = 60_000


@pytest.fixture(autouse=True)
def _short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(workers, "STOP_RETRY_SECONDS", 0.02)
    monkeypatch.setattr(workers, "ACCEPTED_STOP_RETRY_SECONDS", 0.05)
    monkeypatch.setattr(batch_reports, "REPORT_LAG_SECONDS", 0.005)


@pytest.fixture
def links(
    link: batch_worker.MemoryWorker, other_link: batch_worker.MemoryWorker
) -> dict[str, batch_worker.MemoryWorker]:
    """The workers by their ids."""
    return {"w1": link, "w2": other_link}


def join(
    holder: batch_site.SteppedPool,
    links: dict[str, batch_worker.MemoryWorker],
    *worker_ids: str,
) -> None:
    """Registers workers with a holder, which polls them."""
    for worker_id in worker_ids or links:
        if worker_id not in holder.pool.worker_by_id:
            holder.poll(holder.add_worker(worker_id, links[worker_id]))


def work(holder: batch_site.SteppedPool, rounds: int = 2) -> None:
    """Plans, sends orders and polls, some times after another."""
    for _ in range(rounds):
        holder.run_round(time.monotonic() + 1)
        for worker in [*holder.pool.worker_by_id.values()]:
            holder.deliver(worker)
        time.sleep(0.025)
        for worker in [*holder.pool.worker_by_id.values()]:
            holder.poll(worker)


def successor(
    former: batch_site.SteppedPool, epoch: int, *records: cluster.StoredRow
) -> batch_site.SteppedPool:
    """Returns the next holder of a pool, with all that is stored."""
    holder = batch_site.SteppedPool(epoch, records, former.progress_rows())
    holder.progress_by_id |= former.progress_by_id
    return holder


def short_row(version: int = 8) -> cluster.StoredRow:
    """Returns the row of a job whose record has been shortened."""
    row = batch_site.job_row("j1", [LASTING], version=version)
    return row._replace(value=job_spec.TOMBSTONE)


def running(
    links: dict[str, batch_worker.MemoryWorker],
) -> dict[job_spec.TaskKey, list[int]]:
    """Returns the numbers of the runs at work on any worker, by task."""
    numbers_by_task: dict[job_spec.TaskKey, list[int]] = {}
    for worker in links.values():
        for task, number in worker.running.items():
            numbers_by_task.setdefault(task, []).append(number)
    return numbers_by_task


def starts(links: dict[str, batch_worker.MemoryWorker]) -> int:
    """Returns how many starts took effect."""
    return sum(len(worker.starts) for worker in links.values())


@pytest.fixture
def accepted(
    site: batch_site.SteppedPool, links: dict[str, batch_worker.MemoryWorker]
) -> Callable[..., batch_site.SteppedPool]:
    """Returns a function that starts a job under the first holder."""

    def accept(step: job_spec.StepSpec) -> batch_site.SteppedPool:
        join(site, links)
        site.pool.on_record(batch_site.job_row("j1", [step]))
        work(site)
        assert running(links) == {
            TASK: [1],
            TASK._replace(position=1): [1],
        }
        return site

    return accept


@pytest.mark.parametrize("step", [LASTING, GANG])
@pytest.mark.parametrize("holders", [1, 3])
@pytest.mark.parametrize("known_ids", [(), ("w1",), ("w1", "w2")])
@pytest.mark.parametrize("seen_by_watch", [True, False])
def test_a_job_is_cancelled_after_several_holders(
    accepted: Callable[..., batch_site.SteppedPool],
    links: dict[str, batch_worker.MemoryWorker],
    step: job_spec.StepSpec,
    holders: int,
    known_ids: tuple[str, ...],
    seen_by_watch: bool,
) -> None:
    """No holder between the first and the last one knows all workers.

    Args:
        accepted: Starts the job.
        links: The workers.
        step: Its step.
        holders: Number of holders between acceptance and cancellation.
        known_ids: Workers that these holders know.
        seen_by_watch: Whether the last of them sees the cancellation, or the
            next one reads it.
    """
    holder = accepted(step)
    record = batch_site.job_row("j1", [step])
    cancelled = batch_site.job_row("j1", [step], cancelled=True, version=5)
    for epoch in range(2, holders + 2):
        holder = successor(holder, epoch, record)
        holder.pool.dirty_job_by_id["j1"] = holder.pool.job_by_id["j1"]
        for worker_id in known_ids:
            join(holder, links, worker_id)
        work(holder)
    if seen_by_watch:
        holder.pool.on_record(cancelled)
        work(holder)
    else:
        holder = successor(holder, holders + 2, cancelled)
        work(holder, 1)
    assert (
        batch_job.decode_state(holder.progress_by_id["j1"])
        is batch_job.JobState.CANCELLED
    )
    join(holder, links)
    work(holder)
    assert not running(links)
    assert starts(links) == 2


@pytest.mark.parametrize("progress_is_kept", [True, False])
@pytest.mark.parametrize("next_holders", [1, 2])
def test_a_job_with_a_shortened_record_is_stopped_by_later_holders(
    accepted: Callable[..., batch_site.SteppedPool],
    links: dict[str, batch_worker.MemoryWorker],
    progress_is_kept: bool,
    next_holders: int,
) -> None:
    """Nothing that is stored names the runs of a cancelled job any more."""
    holder = accepted(LASTING)
    holder.pool.on_record(
        batch_site.job_row("j1", [LASTING], cancelled=True, version=5)
    )
    holder.run_round()
    for epoch in range(2, next_holders + 2):
        if not progress_is_kept:
            del holder.progress_by_id["j1"]
        holder = successor(holder, epoch, short_row())
        progress_is_kept = True
    assert len(running(links)) == 2
    join(holder, links)
    holder.pool.on_record(batch_site.job_row("j2", [LASTING]))
    work(holder)
    assert {task.job_id for task in running(links)} == {"j2"}
    assert starts(links) == 4


@pytest.mark.parametrize("refused", [1, 12])
def test_stops_of_a_job_of_a_former_holder_are_repeated(
    accepted: Callable[..., batch_site.SteppedPool],
    links: dict[str, batch_worker.MemoryWorker],
    refused: int,
) -> None:
    holder = accepted(LASTING)
    record = batch_site.job_row("j1", [LASTING], cancelled=True, version=5)
    holder = successor(holder, 2, record)
    work(holder, 1)
    for worker in links.values():
        worker.stop_outcomes.extend([cluster.OrderOutcome.UNHEALTHY] * refused)
    join(holder, links)
    for _ in range(2):
        holder = successor(holder, holder.pool.fencing_epoch + 1, short_row())
        join(holder, links)
        work(holder)
    work(holder, 12)
    assert not running(links)
    assert starts(links) == 2


@pytest.mark.parametrize("lost_starts", [0, 1])
@pytest.mark.parametrize("how", ["watch", "load"])
def test_a_gang_is_cancelled_before_all_its_members_have_started(
    site: batch_site.SteppedPool,
    links: dict[str, batch_worker.MemoryWorker],
    lost_starts: int,
    how: str,
) -> None:
    """One start waits on its worker, and the next holder may see it first."""
    join(site, links)
    site.pool.on_record(batch_site.job_row("j1", [GANG]))
    site.run_round()
    links["w1"].lost_starts = lost_starts
    site.pool.worker_by_id["w1"].send_once()
    late = cluster.StartOrder(
        next(iter(site.pool.worker_by_id["w2"].run_by_task)), 1, "", 99_999, 1
    )
    cancelled = batch_site.job_row("j1", [GANG], cancelled=True, version=5)
    holder = site
    if how == "load":
        holder = successor(site, 2, cancelled)
        join(holder, links, "w1")
    else:
        holder.pool.on_record(cancelled)
    work(holder)
    links["w2"].start(late)
    join(holder, links)
    work(holder)
    assert not running(links)
    assert links["w2"].start(late).outcome is not cluster.OrderOutcome.DONE


def scheduled_row(
    cancelled: bool, first_due_ms: float, version: int = 1
) -> cluster.StoredRow:
    """Returns the row of a job with three occurrences a minute apart."""
    row = batch_site.job_row("j1", [batch_site.step(1)])
    assert row.value
    record = job_spec.decode_row(row.value)
    spec = record.spec._replace(
        first_due_ms=int(first_due_ms), interval_ms=INTERVAL_MS, occurrences=3
    )
    value = cbor2.dumps(
        job_spec.encode(record._replace(cancelled=cancelled, spec=spec))
    )
    return row._replace(value=value, version=version)


@pytest.mark.parametrize("done", [True, False])
@pytest.mark.parametrize("how", ["watch", "load", "loaded before"])
def test_a_job_is_cancelled_between_two_occurrences(
    site: batch_site.SteppedPool,
    links: dict[str, batch_worker.MemoryWorker],
    monkeypatch: pytest.MonkeyPatch,
    done: bool,
    how: str,
) -> None:
    """Neither this holder nor the next one opens an occurrence after it."""
    due_ms = time.time() * 1000
    join(site, links)
    site.pool.on_record(scheduled_row(False, due_ms))
    work(site)
    (worker,) = (worker for worker in links.values() if worker.running)
    if done:
        worker.finish(TASK)
        work(site)
        assert not running(links)
    holder = site
    if how == "loaded before":
        holder = successor(site, 2, scheduled_row(False, due_ms))
        join(holder, links)
        work(holder)
    cancelled = scheduled_row(True, due_ms, 5)
    if how == "load":
        holder = successor(site, 2, cancelled)
        join(holder, links)
    else:
        holder.pool.on_record(cancelled)
    real_time = time.time
    monkeypatch.setattr(time, "time", lambda: real_time() + 10 * 60)
    work(holder)
    for record in (cancelled, short_row()):
        holder = successor(holder, holder.pool.fencing_epoch + 1, record)
        join(holder, links)
        work(holder)
    assert not running(links)
    assert starts(links) == 1


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    return row_store.MemoryRowStore()


@pytest.fixture
def apis(store: row_store.MemoryRowStore) -> list[job_api.JobApi]:
    """The interfaces for callers of two nodes."""
    return [job_api.JobApi(store), job_api.JobApi(store)]


def stored_records(
    store: row_store.MemoryRowStore,
) -> tuple[cluster.StoredRow, ...]:
    """Returns the rows of jobs as a new holder reads them."""
    page = batch_tables.read_records(store, batch_site.SERVICE)
    assert page
    return page.rows


def shorten(store: row_store.MemoryRowStore) -> None:
    """Shortens all rows of jobs, as the holder of the pool does."""
    for row in stored_records(store):
        store.transact(
            row.partition_key,
            [cluster.RowVersion(row.table, row.key, row.version)],
            [cluster.RowWrite(row.table, row.key, job_spec.TOMBSTONE)],
            1.0,
        )


@pytest.mark.parametrize("is_short", [True, False])
@pytest.mark.parametrize("sees_cancellation", [True, False])
@pytest.mark.parametrize("sees_repeat", [True, False])
def test_a_cancelled_job_that_is_sent_again_to_another_node_stays_cancelled(
    store: row_store.MemoryRowStore,
    apis: list[job_api.JobApi],
    links: dict[str, batch_worker.MemoryWorker],
    is_short: bool,
    sees_cancellation: bool,
    sees_repeat: bool,
) -> None:
    """The holder changes between its cancellation and its repeat, or after."""
    spec = job_spec.JobSpec("text", (LASTING,))
    deadline = time.monotonic() + 5.0
    apis[0].submit(batch_site.QUEUE, "j1", spec, deadline)
    holder = batch_site.SteppedPool(1, stored_records(store))
    join(holder, links)
    work(holder)
    assert len(running(links)) == 2
    apis[0].cancel(batch_site.QUEUE, "j1", deadline)
    if sees_cancellation:
        for row in stored_records(store):
            holder.pool.on_record(row)
        holder.run_round()
        if is_short:
            shorten(store)
    repeated = apis[1].submit(batch_site.QUEUE, "j1", spec, deadline)
    assert isinstance(repeated, result.Success)
    if sees_repeat:
        for row in stored_records(store):
            holder.pool.on_record(row)
        work(holder)
    for _ in range(2):
        epoch = holder.pool.fencing_epoch + 1
        holder = successor(holder, epoch, *stored_records(store))
        join(holder, links)
        work(holder)
        apis[1].submit(batch_site.QUEUE, "j1", spec, deadline)
    assert not running(links)
    assert starts(links) == 2


def test_a_submission_that_is_stored_after_its_cancellation_starts_nothing(
    store: row_store.MemoryRowStore,
    apis: list[job_api.JobApi],
    links: dict[str, batch_worker.MemoryWorker],
) -> None:
    """The store carries out one node's write late, another sends it again."""
    spec = job_spec.JobSpec("text", (LASTING,))
    holder = batch_site.SteppedPool(1)
    join(holder, links)
    store.delayed_writes = 100
    apis[0].submit(batch_site.QUEUE, "j1", spec, time.monotonic() + 0.4)
    store.delayed_writes = 0
    deadline = time.monotonic() + 5.0
    apis[1].cancel(batch_site.QUEUE, "j1", deadline)
    store.deliver_delayed()
    apis[1].submit(batch_site.QUEUE, "j1", spec, deadline)
    for row in stored_records(store):
        holder.pool.on_record(row)
    work(holder)
    holder = successor(holder, 2, *stored_records(store))
    join(holder, links)
    work(holder)
    assert not starts(links)
