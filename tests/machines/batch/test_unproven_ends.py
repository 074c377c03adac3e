"""Tests of runs that count as ended although they may be at work, or start."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time

import pytest

from standins import batch_worker
from standins import row_store
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import order_policy
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_records
from wisteriasill.machines import batch_reports
from wisteriasill.machines import batch_tables
from wisteriasill.machines import batch_workers
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
ROW = batch_site.job_row("j1", [batch_site.step(1)])
# A long job and a limit of rows that it exceeds.
WIDE = batch_site.step(40, cpu=100)
ROW_BYTES = 700


class DelayingWorker(batch_worker.MemoryWorker):
    """A worker whose first starts get no response and arrive later.

    Attributes:
        delayed: Starts that have not arrived yet.
        delays: Number of upcoming starts that are delayed.
    """

    def __init__(self, delays: int, started_ms: int = 1) -> None:
        super().__init__(batch_site.ROOM, started_ms)
        self.delayed: list[cluster.StartOrder] = []
        self.delays = delays

    def start(
        self, order: cluster.StartOrder, timeout_seconds: float = 1.0
    ) -> cluster.OrderAnswer:
        """Starts a run, or delays its order."""
        if self.delays:
            self.delays -= 1
            self.delayed.append(order)
            return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
        return super().start(order, timeout_seconds)


@pytest.fixture
def other(
    site: batch_site.SteppedPool, other_link: batch_worker.MemoryWorker
) -> workers.Worker:
    """A worker that drains until the test lets it get tasks."""
    worker = site.add_worker("w2", other_link)
    worker.drain_requested = True
    site.poll(worker)
    return worker


@pytest.fixture
def starts_elsewhere(
    site: batch_site.SteppedPool,
    other: workers.Worker,
    other_link: batch_worker.MemoryWorker,
) -> Callable[..., list[tuple[job_spec.TaskKey, int]]]:
    """Returns a function that plans later and returns what starts on `w2`."""

    def plan(seconds: float = 1.0) -> list[tuple[job_spec.TaskKey, int]]:
        other.drain_requested = False
        site.run_round(time.monotonic() + seconds)
        site.deliver(other)
        return [start[:2] for start in other_link.starts]

    return plan


def start_first_run(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> workers.Worker:
    """Orders the first run of the task to `w1`."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    site.deliver(worker)
    return worker


def poll_after_lag(
    site: batch_site.SteppedPool, worker: workers.Worker
) -> None:
    time.sleep(2 * batch_reports.REPORT_LAG_SECONDS)
    site.poll(worker)


def restart(
    site: batch_site.SteppedPool, worker: workers.Worker
) -> batch_worker.MemoryWorker:
    """Restarts `w1` under its id and lets the pool talk to it."""
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    worker.link = restarted
    site.poll(worker)
    assert worker.is_removed
    new_worker = site.add_worker("w1", restarted)
    new_worker.drain_requested = True
    site.deliver(new_worker)
    site.poll(new_worker)
    site.deliver(new_worker)
    return restarted


def test_an_order_blocked_by_one_incarnation_is_blocked_by_the_next(
    site: batch_site.SteppedPool,
    starts_elsewhere: Callable[..., list[tuple[job_spec.TaskKey, int]]],
) -> None:
    """The stop that a worker accepted tells nothing of its next incarnation.

    The order was carried out there beside the second run.
    """
    link = DelayingWorker(order_policy.DEFAULT_SETTINGS.max_start_calls)
    worker = start_first_run(site, link)
    assert link.stops == [(TASK, 1)]
    poll_after_lag(site, worker)
    assert not worker.run_by_task
    restarted = restart(site, worker)
    assert starts_elsewhere() == [(TASK, 2)]
    restarted.start(link.delayed[0])
    assert not restarted.running


def test_an_unanswered_start_is_blocked_after_its_repeat_was_confirmed(
    site: batch_site.SteppedPool,
    starts_elsewhere: Callable[..., list[tuple[job_spec.TaskKey, int]]],
) -> None:
    """A worker confirmed the second call, so the first one was forgotten.

    It was carried out by the next incarnation beside the second run.
    """
    link = DelayingWorker(1)
    worker = start_first_run(site, link)
    assert link.running == {TASK: 1}
    for _ in range(2):
        site.poll(worker)
    restarted = restart(site, worker)
    poll_after_lag(site, site.pool.worker_by_id["w1"])
    assert starts_elsewhere() == [(TASK, 2)]
    restarted.start(link.delayed[0])
    assert not restarted.running


def test_a_run_that_ends_while_its_start_waits_for_the_pool_is_not_started(
    site: batch_site.SteppedPool,
    starts_elsewhere: Callable[..., list[tuple[job_spec.TaskKey, int]]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The thread that sends orders waits for the pool's lock before the call.

    Meanwhile the registry shows a new incarnation. The run counted as never
    sent, was carried out there, and ran beside the second one.
    """
    worker = site.add_worker("w1", batch_worker.MemoryWorker(batch_site.ROOM))
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    worker.link = restarted
    payload = site.pool.payload

    def wait_for_lock(run: batch_job.Run) -> tuple[str, str]:
        removal = batch_workers.Removal(
            "registered with a new incarnation", restarted=True, crashed=True
        )
        site.pool.remove_worker(worker, removal)
        return payload(run)

    monkeypatch.setattr(site.pool, "payload", wait_for_lock)
    worker.send_once()
    assert starts_elsewhere() == [(TASK, 2)]
    new_worker = site.add_worker("w1", restarted)
    site.deliver(new_worker)
    assert not restarted.running


def test_a_first_clock_reading_of_zero_is_a_reading(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    starts_elsewhere: Callable[..., list[tuple[job_spec.TaskKey, int]]],
) -> None:
    """A worker's clock begins anew with it, so the first reading may be 0.

    The end of the lease was computed without a clock, and the run counted as
    ended at once.
    """
    site.pool.former_leases_end_at = time.monotonic()
    link.clock_ms = 0
    worker = start_first_run(site, link)
    assert link.running == {TASK: 1}
    site.poll(worker)
    assert not starts_elsewhere()
    assert link.lease_until_ms <= 1000 * workers.MAX_LEASE_SECONDS


class InterruptedLease(int):
    """End of a lease; the other thread runs while it is compared."""

    interrupt: Callable[[], None]

    def __lt__(self, other: object) -> bool:
        self.interrupt()
        return int(self) < other  # type: ignore[operator]

    def __gt__(self, other: object) -> bool:
        self.interrupt()
        return int(self) > other  # type: ignore[operator]


def test_two_threads_that_extend_a_lease_keep_the_later_end(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """The polling thread stored its earlier end over that of a start."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    later: list[int] = []

    def extend_later() -> None:
        worker.record_clock(link.clock_ms + 1000, time.monotonic())
        later.append(worker._extend_lease())

    thread = threading.Thread(target=extend_later, daemon=True)

    def interrupt() -> None:
        if not thread.ident:
            thread.start()
            thread.join(0.2)

    lease = InterruptedLease(worker._lease_until_ms)
    lease.interrupt = interrupt
    worker._lease_until_ms = lease
    worker._extend_lease()
    thread.join(1.0)
    assert worker._lease_until_ms >= later[0]


def test_a_worker_with_an_unknown_run_is_kept_when_its_entry_expires(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    starts_elsewhere: Callable[..., list[tuple[job_spec.TaskKey, int]]],
) -> None:
    """A worker that is cut from the store only goes on working.

    It was removed while it reported the run, and the task was started
    elsewhere beside it.
    """
    worker = site.add_worker("w1", link)
    site.pool.on_record(ROW)
    link.start(cluster.StartOrder(TASK, 1, "", 99_999, 1))
    site.poll(worker)
    link.stop_outcomes.append(cluster.OrderOutcome.UNHEALTHY)
    site.deliver(worker)
    worker.listed = False
    assert not starts_elsewhere()
    assert link.running == {TASK: 1}


def test_a_run_of_a_long_job_is_stored_after_a_failed_round(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its rows of units counted as stored once they were encoded.

    The next holder knew none of the runs and started all tasks again.
    """
    store = row_store.MemoryRowStore()
    holder = batch_site.new_holder(store, link)
    holder._links = holder._links._replace(
        limits=cluster.StoreLimits(ROW_BYTES)
    )
    worker = batch_site.join_worker(holder, link)
    record = batch_site.job_row("j1", [WIDE])
    holder.pool.on_record(record)
    with monkeypatch.context() as patched:
        patched.setattr(store, "transact", _fail)
        with pytest.raises(RuntimeError):
            holder.run_round()
    holder.run_round()
    while worker.send_once():
        pass
    assert len(link.running) == WIDE.tasks
    assert holder.pool.job_by_id["j1"].units_per_row
    rows = batch_tables.read_all(
        store,
        batch_tables.progress_table(batch_site.SERVICE),
        batch_site.SERVICE,
    )
    assert rows is not None
    site.pool.load(batch_records.LoadedPool((record,), rows.rows))
    other = site.add_worker("w2", other_link)
    site.poll(other)
    site.run_round()
    site.deliver(other)
    assert not other_link.starts


def _fail(*args: object) -> None:
    raise RuntimeError("injected")


def test_a_run_that_is_done_before_its_stop_arrives_is_not_repeated(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    starts_elsewhere: Callable[..., list[tuple[job_spec.TaskKey, int]]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A start without a response is to be stopped, but the run has ended."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    link.lost_starts = 1
    original = link.start

    def start_and_finish(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        answer = original(order, timeout_seconds)
        if TASK in link.running:
            link.finish(TASK)
        return answer

    monkeypatch.setattr(link, "start", start_and_finish)
    site.deliver(worker)
    assert not link.running
    poll_after_lag(site, worker)
    assert not starts_elsewhere()
    assert "j1" not in site.pool.job_by_id


def test_a_gang_member_without_a_response_holds_up_the_next_run(
    site: batch_site.SteppedPool,
    other: workers.Worker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """The others of its run end before it is known what became of it."""
    step = batch_site.step(2, cpu=9_000, gang=True)
    link = DelayingWorker(order_policy.DEFAULT_SETTINGS.max_start_calls)
    worker = site.add_worker("w1", link)
    site.poll(worker)
    other.drain_requested = False
    site.pool.on_record(batch_site.job_row("j1", [step]))
    site.run_round()
    link.unreachable = True
    for ordered in (worker, other):
        site.deliver(ordered)
    (member,) = other_link.running
    other_link.finish(member, cluster.RunEndKind.ALONE)
    site.poll(other)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    assert not other_link.running


@pytest.mark.parametrize("answered_before", [False, True])
def test_a_report_from_before_a_start_does_not_end_its_run(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    starts_elsewhere: Callable[..., list[tuple[job_spec.TaskKey, int]]],
    answered_before: bool,
) -> None:
    """Responses on two connections may overtake each other."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    sent_at = time.monotonic()
    old = link.poll(1, 0, None, 0.0)
    assert isinstance(old, cluster.WorkerReport)
    if answered_before:
        site.deliver(worker)
        site.pool.on_report(worker, sent_at, old)
    else:
        site.pool.on_report(worker, sent_at, old)
        site.deliver(worker)
    assert not starts_elsewhere()
    assert link.running == {TASK: 1}


def test_a_holder_that_learns_of_its_loss_late_starts_nothing(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """Its start arrives after the next holder has counted the run as ended."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(ROW)
    site.run_round()
    second = batch_site.SteppedPool(2, [ROW], site.progress_rows())
    second.pool.claimed_at -= 1
    known = second.add_worker("w1", link)
    known.drain_requested = True
    second.poll(known)
    other = second.add_worker("w2", other_link)
    second.poll(other)
    second.run_round(time.monotonic() + 1)
    second.deliver(other)
    site.deliver(worker)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]
    assert not link.running
    assert site.pool.fenced


@pytest.mark.parametrize("rate", [0.98, 1.0, 1.02])
@pytest.mark.parametrize("response_seconds", [0.0, 1.5])
def test_no_lease_outlives_its_run_on_any_clock(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    rate: float,
    response_seconds: float,
) -> None:
    """The response with the clock may be old when it is read.

    Holders that were paused read it late.
    """
    worker = start_first_run(site, link)
    now = time.monotonic()
    # The worker read its clock this long before the holder got the response.
    worker.record_clock(link.clock_ms, now + response_seconds)
    lease_until_ms = worker._extend_lease()
    expired_at = next(
        now + tenth / 10
        for tenth in range(200)
        if worker.leases_expired(now + tenth / 10)
    )
    clock_ms = link.clock_ms + (expired_at - now) * 1000 * rate
    assert clock_ms >= lease_until_ms


def test_a_restored_run_waits_for_its_worker_or_for_its_lease(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """A worker that is not in the registry may be at work nevertheless."""
    start_first_run(site, link)
    second = batch_site.SteppedPool(2, [ROW], site.progress_rows())
    other = second.add_worker("w2", other_link)
    second.poll(other)
    now = time.monotonic()
    second.pool.former_leases_end_at = now + 5
    second.run_round(now + 4)
    second.deliver(other)
    assert not other_link.starts
    for seconds in (6, 7):
        second.run_round(now + seconds)
    second.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]
