"""Tests of runs whose worker is unresponsive, goes down or restarts."""

from __future__ import annotations

from collections.abc import Callable
import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)


def test_a_new_holder_keeps_runs_on_their_workers(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """The first poll by a new holder must not count old leases as expired.

    Seen in run trouble-2 at Mandacaru.
    """
    started(batch_site.step(1, lasting=True))
    new_holder = batch_site.SteppedPool(
        2,
        [batch_site.job_row("j1", [batch_site.step(1, lasting=True)])],
        site.progress_rows(),
    )
    worker = new_holder.add_worker("w1", link)
    other = new_holder.add_worker("w2", other_link)
    for polled in (worker, other):
        new_holder.poll(polled)
    new_holder.run_round()
    new_holder.deliver(other)
    assert link.running == {TASK: 1}
    assert not other_link.starts


def test_runs_of_an_unresponsive_worker_move_after_its_lease(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Unanswered polls must not extend the lease of a dead worker.

    Seen in run trouble-1.
    """
    worker = started(batch_site.step(1, lasting=True))
    other = site.add_worker("w2", other_link)
    site.poll(other)
    link.unreachable = True
    began = time.monotonic()
    for _ in range(3):
        site.poll(worker)
    before = began + workers.LEASE_SECONDS - 0.5
    site.run_round(before)
    site.deliver(other)
    assert not other_link.starts
    after = began + workers.LEASE_SECONDS / workers.MIN_CLOCK_RATE + 0.5
    site.run_round(after)
    site.run_round(after + 1)
    site.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


def test_a_planned_run_outlives_the_old_lease_of_an_idle_worker(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """A run must not count as lost before its start order is sent.

    295 runs on idle workers, whose old leases had expired, were lost so in run
    quiet-1.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    idle_until = time.monotonic() + 60
    site.run_round(idle_until)
    site.pool.end_expired_runs(idle_until)
    assert TASK in worker.run_by_task


def test_a_start_without_a_response_is_stopped_before_a_retry(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    link.unreachable = True
    site.run_round()
    assert worker.send_once()
    link.unreachable = False
    site.deliver(worker)
    run = worker.run_by_task[TASK]
    assert run.state is batch_job.RunState.UNCERTAIN
    late = cluster.StartOrder(TASK, 1, "", 99_999, 1)
    assert link.start(late).outcome is cluster.OrderOutcome.RUN_TOO_OLD
    run.start_blocked_at -= 1
    site.poll(worker)
    site.run_round(time.monotonic() + 1)
    site.deliver(worker)
    assert link.running == {TASK: 2}


def test_a_new_holder_ends_runs_of_an_unresponsive_worker(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """The lease of a run that a former holder started must expire too.

    A restored run that a report had shown never expired in run trouble-1 at
    Mandacaru.
    """
    lasting = batch_site.step(1, lasting=True)
    started(lasting)
    new_holder = batch_site.SteppedPool(
        2, [batch_site.job_row("j1", [lasting])], site.progress_rows()
    )
    worker = new_holder.add_worker("w1", link)
    other = new_holder.add_worker("w2", other_link)
    for polled in (worker, other, worker):
        new_holder.poll(polled)
    link.unreachable = True
    new_holder.poll(worker)
    after = time.monotonic() + workers.LEASE_SECONDS + 1
    new_holder.run_round(after)
    new_holder.run_round(after + 1)
    new_holder.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


def test_tasks_of_a_host_that_is_down_start_elsewhere_at_once(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Tasks of a crashed host must not wait for its leases to expire.

    They waited 4.6 s in run srv_crash.
    """
    started(batch_site.step(1, lasting=True))
    other = site.add_worker("w2", other_link)
    site.poll(other)
    link.unreachable = True
    site.pool.set_down_workers({"w1": 10})
    site.run_round(time.monotonic() + 0.1)
    site.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


def test_a_worker_that_registers_after_its_host_was_down_is_kept(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    site.pool.set_down_workers({"w1": 10})
    worker = site.add_worker("w1", link, version=11)
    site.pool.set_down_workers({"w1": 10, "w9": 12})
    assert site.pool.worker_by_id["w1"] is worker


def test_a_new_holder_restarts_stored_runs_of_a_host_that_is_down(
    site: batch_site.SteppedPool,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """A new holder must not wait for leases on a host that is down.

    Each takeover added a wait of 14.5 s in the LOST check of run trouble-2 at
    Kochi.
    """
    lasting = batch_site.step(1, lasting=True)
    started(lasting)
    new_holder = batch_site.SteppedPool(
        2, [batch_site.job_row("j1", [lasting])], site.progress_rows()
    )
    other = new_holder.add_worker("w2", other_link)
    new_holder.poll(other)
    new_holder.run_round()
    new_holder.deliver(other)
    assert not other_link.starts
    new_holder.pool.set_down_workers({"w1": 10})
    new_holder.run_round()
    new_holder.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


def test_a_start_that_reached_a_new_incarnation_is_not_lost(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """A run that the new incarnation started must not count as ended.

    Found by soak seeds 6, 30 and 45.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.run_round()
    new_link = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    worker.link = new_link
    site.deliver(worker)
    assert new_link.running == {TASK: 1}
    site.poll(worker)
    other = site.add_worker("w2", other_link)
    site.poll(other)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    assert not other_link.starts
    new_worker = site.add_worker("w1", new_link)
    site.poll(new_worker)
    site.deliver(new_worker)
    site.poll(new_worker)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    site.deliver(new_worker)
    starts = [*other_link.starts, *new_link.starts]
    assert len(starts) == 2
    assert len(other_link.running) + len(new_link.running) == 1


def test_ends_are_acknowledged_to_the_same_incarnation_only(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """A number of the old incarnation must not acknowledge new run ends.

    Found by soak seed 45.
    """
    worker = started(batch_site.step(1))
    link.finish(TASK)
    site.poll(worker)
    site.run_round()
    assert worker.last_stored_end == 1
    link.unreachable = True
    site.poll(worker)
    link.unreachable = False
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    restarted.start(cluster.StartOrder(TASK, 1, "", 99_999, 1))
    restarted.finish(TASK)
    worker.link = restarted
    site.poll(worker)
    report = restarted.poll(1, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    assert len(report.ends) == 1


def test_a_clock_that_goes_back_stops_acknowledging(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """A start may reach a new incarnation between two polls.

    Its clock then goes back. Found by soak seed 45.
    """
    link.clock_ms = 50_000
    worker = started(batch_site.step(1))
    link.finish(TASK)
    site.poll(worker)
    site.run_round()
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    worker.link = restarted
    site.pool.on_record(batch_site.job_row("j2", [batch_site.step(1)]))
    site.run_round()
    site.deliver(worker)
    restarted.finish(job_spec.TaskKey("j2", 0, 0, 0))
    site.poll(worker)
    report = restarted.poll(1, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    assert len(report.ends) == 1


def test_a_run_whose_start_got_no_response_goes_on(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """A lost response must not stop a run that the worker has started.

    The run was stopped and its task started again, though the platform
    answers a repeated start of the same run as the first.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    link.lost_starts = 1
    site.run_round()
    site.deliver(worker)
    site.poll(worker)
    site.run_round(time.monotonic() + 1)
    site.deliver(worker)
    assert link.running == {TASK: 1}
    assert [start[:2] for start in link.starts] == [(TASK, 1)]
    assert worker.run_by_task[TASK].state is batch_job.RunState.RUNNING
    assert not worker.silent_since


def test_a_start_is_not_repeated_after_the_claim_of_the_shard_has_ended(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.run_round()

    def lose_shard(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        sent.append(order)
        site.pool.fenced = True
        return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)

    sent: list[cluster.StartOrder] = []
    worker.link.start = lose_shard  # type: ignore[method-assign]
    assert worker.send_once()
    assert len(sent) == 1


@pytest.mark.parametrize(
    "outcome",
    [
        cluster.OrderOutcome.UNREACHABLE,
        cluster.OrderOutcome.UNHEALTHY,
        cluster.OrderOutcome.NO_ROOM,
        cluster.OrderOutcome.RUN_TOO_OLD,
    ],
)
def test_a_refused_repeat_of_a_start_leaves_the_first_one_unknown(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    outcome: cluster.OrderOutcome,
) -> None:
    """The first call, whose answer was lost, may have started the run.

    The task was started elsewhere at once, beside the run that was at work.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.run_round()
    start = link.start

    def start_then_refuse(
        order: cluster.StartOrder, timeout_seconds: float = 1.0
    ) -> cluster.OrderAnswer:
        link.start = refuse  # type: ignore[method-assign]
        start(order)
        return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)

    def refuse(
        order: cluster.StartOrder, timeout_seconds: float = 1.0
    ) -> cluster.OrderAnswer:
        return cluster.OrderAnswer(outcome)

    link.start = start_then_refuse  # type: ignore[method-assign]
    assert worker.send_once()
    assert link.running == {TASK: 1}
    other = site.add_worker("w2", other_link)
    site.poll(other)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    assert not other_link.running


@pytest.mark.parametrize("late", [True, False])
def test_a_new_holder_polls_a_restarted_worker_before_its_runs_end(
    site: batch_site.SteppedPool,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    late: bool,
) -> None:
    """The new incarnation obeys the former holder until it has been polled.

    An order to the former incarnation that was carried out late ran beside the
    second run, which the new holder had started elsewhere at once.
    """
    lasting = batch_site.step(1, lasting=True)
    started(lasting)
    new_holder = batch_site.SteppedPool(
        2, [batch_site.job_row("j1", [lasting])], site.progress_rows()
    )
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    worker = new_holder.add_worker("w1", restarted)
    other = new_holder.add_worker("w2", other_link)
    new_holder.poll(other)
    new_holder.run_round(time.monotonic() + 1)
    new_holder.deliver(other)
    assert not other_link.starts
    order = cluster.StartOrder(TASK, 1, "", 99_999, 1)
    if late:
        restarted.start(order)
    # A run counts as missing only some time after the claim.
    new_holder.pool.claimed_at -= 1
    new_holder.poll(worker)
    outcome = restarted.start(order).outcome
    assert outcome is cluster.OrderOutcome.FENCED
    new_holder.run_round(time.monotonic() + 1)
    for ordered in (worker, other):
        new_holder.deliver(ordered)
    runs = [*restarted.running.items(), *other_link.running.items()]
    assert runs == [(TASK, 1 if late else 2)]


@pytest.mark.parametrize("answered", [False, True])
def test_an_order_that_a_restarted_worker_carries_out_late_is_not_lost(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    answered: bool,
) -> None:
    """The former incarnation may have answered a poll after the order.

    The run counted as ended, and the task was started elsewhere beside it.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.run_round()
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    orders: list[cluster.StartOrder] = []

    def delay(
        order: cluster.StartOrder, timeout_seconds: float = 1.0
    ) -> cluster.OrderAnswer:
        orders.append(order)
        if not answered:
            return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
        # Meanwhile the poll's connection works.
        site.poll(worker)
        worker.link = restarted
        return restarted.start(order)

    link.start = delay  # type: ignore[method-assign]
    assert worker.send_once()
    if not answered:
        site.poll(worker)
        worker.link = restarted
        restarted.start(orders[0])
    site.poll(worker)
    assert worker.is_removed
    other = site.add_worker("w2", other_link)
    site.poll(other)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    assert not other_link.starts
    new_worker = site.add_worker("w1", restarted)
    site.deliver(new_worker)
    assert not restarted.running


def test_a_confirmed_run_of_a_restarted_worker_starts_elsewhere_at_once(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    worker = started(batch_site.step(1))
    site.poll(worker)
    worker.link = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    site.poll(worker)
    other = site.add_worker("w2", other_link)
    site.poll(other)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


@pytest.mark.parametrize("polled", [False, True])
def test_a_run_at_a_restarted_worker_outlives_former_leases(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    polled: bool,
) -> None:
    """Leases of former holders tell nothing of an order of this one.

    Its run was ended in the round that followed the new incarnation's entry,
    before the worker had been polled, and was started elsewhere beside it.
    """
    site.pool.former_leases_end_at = time.monotonic()
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.run_round()
    restarted = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    worker.link = restarted
    site.deliver(worker)
    site.poll(worker)
    assert worker.is_removed
    new_worker = site.add_worker("w1", restarted)
    if polled:
        site.poll(new_worker)
    restarted.unreachable = True
    site.poll(new_worker)
    other = site.add_worker("w2", other_link)
    site.poll(other)
    silent_seconds = workers.LEASE_SECONDS + 1 if polled else 0.0
    for seconds in (1, 2):
        site.run_round(time.monotonic() + silent_seconds + seconds)
    site.deliver(other)
    assert restarted.running == {TASK: 1}
    assert not other_link.starts
    # The platform ends the longest lease.
    for seconds in (1, 2):
        later = workers.MAX_LEASE_SECONDS / workers.MIN_CLOCK_RATE + seconds
        site.run_round(time.monotonic() + later)
    site.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]


def test_a_lease_is_not_longer_for_a_worker_that_was_idle(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
) -> None:
    """A clock that is 2% slow is 0.4 s behind after 20 s without a poll.

    A successor that could poll the worker once ended the run 0.2 s before its
    lease, and started the task elsewhere.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    clock_ms, received_at = worker._clock
    worker._clock = workers.ClockReading(
        clock_ms, received_at - workers.IDLE_POLL_SECONDS
    )
    link.clock_ms += int(0.98 * 1000 * workers.IDLE_POLL_SECONDS)
    row = batch_site.job_row("j1", [batch_site.step(1)])
    site.pool.on_record(row)
    site.run_round()
    site.deliver(worker)
    successor = batch_site.SteppedPool(2, [row], site.progress_rows())
    former = successor.add_worker("w1", link)
    successor.poll(former)
    polled_at = time.monotonic()
    link.unreachable = True
    successor.poll(former)
    lease_seconds = (link.lease_until_ms - link.clock_ms) / 1000 / 0.98
    successor.run_round(polled_at + lease_seconds)
    assert TASK in former.run_by_task
    successor.run_round(polled_at + lease_seconds + 0.2)
    assert TASK not in former.run_by_task


def test_tasks_start_elsewhere_when_another_worker_has_the_address(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """A host whose next worker answers tells at once that the former ended.

    The list of hosts does not tell it if the fleet's holder changes meanwhile.
    A lasting task was then away for 16 s.
    """
    lasting = batch_site.step(1, lasting=True)
    started(lasting)
    successor = batch_site.SteppedPool(
        2, [batch_site.job_row("j1", [lasting])], site.progress_rows()
    )
    worker = successor.add_worker("w1", link)
    link.poll = (  # type: ignore[method-assign]
        lambda *_: cluster.OrderOutcome.OTHER_WORKER
    )
    successor.poll(worker)
    assert worker.is_removed
    other = successor.add_worker("w2", other_link)
    successor.poll(other)
    successor.run_round(time.monotonic() + 1)
    successor.deliver(other)
    assert [start[:2] for start in other_link.starts] == [(TASK, 2)]
