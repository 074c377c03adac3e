"""Tests of stops: until the last run of a job is gone from its workers."""

from __future__ import annotations

from collections.abc import Callable
import time

import pytest

from standins import batch_worker
from tests import waiting
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_runs
from wisteriasill.machines import batch_workers
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
REFUSALS = (
    cluster.OrderOutcome.UNHEALTHY,
    cluster.OrderOutcome.INVALID,
    cluster.OrderOutcome.OTHER_WORKER,
    cluster.OrderOutcome.UNREACHABLE,
    cluster.OrderOutcome.UNKNOWN,
)


@pytest.fixture(autouse=True)
def _short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(workers, "STOP_RETRY_SECONDS", 0.02)
    monkeypatch.setattr(workers, "ACCEPTED_STOP_RETRY_SECONDS", 0.05)


def cancel(
    site: batch_site.SteppedPool, *steps: job_spec.StepSpec, version: int = 2
) -> None:
    site.pool.on_record(
        batch_site.job_row("j1", steps, cancelled=True, version=version)
    )


@pytest.mark.parametrize("outcome", REFUSALS)
def test_a_stop_that_a_worker_does_not_accept_is_sent_again(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    outcome: cluster.OrderOutcome,
) -> None:
    """A task of a cancelled job must not run on as its stop was refused."""
    worker = started(batch_site.step(1))
    link.stop_outcomes.extend([outcome, outcome])
    cancel(site, batch_site.step(1))
    for _ in range(3):
        site.deliver(worker)
        time.sleep(2 * workers.STOP_RETRY_SECONDS)
    assert link.stops == [(TASK, 1)] * 3
    assert not link.running


def test_a_refused_stop_is_not_sent_again_at_once(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(workers, "STOP_RETRY_SECONDS", 60.0)
    worker = started(batch_site.step(1))
    link.stop_outcomes.extend([cluster.OrderOutcome.UNHEALTHY] * 5)
    cancel(site, batch_site.step(1))
    site.deliver(worker)
    site.poll(worker)
    site.deliver(worker)
    assert len(link.stops) == 1


def test_one_stop_at_a_time_tries_to_reach_an_unreachable_worker(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    worker = started(batch_site.step(5))
    link.stop_outcomes.extend([cluster.OrderOutcome.UNREACHABLE] * 2)
    cancel(site, batch_site.step(5))
    site.deliver(worker)
    assert len(link.stops) == 1
    for _ in range(2):
        time.sleep(2 * workers.STOP_RETRY_SECONDS)
        site.deliver(worker)
    assert not link.running


def test_a_stop_ends_with_the_run(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    worker = started(batch_site.step(1))
    cancel(site, batch_site.step(1))
    site.deliver(worker)
    site.poll(worker)
    time.sleep(2 * workers.ACCEPTED_STOP_RETRY_SECONDS)
    assert not worker.send_once()
    assert len(link.stops) == 1


def test_a_former_holder_repeats_no_stop(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    worker = started(batch_site.step(1))
    link.poll(2, 0, None, 0.0)
    cancel(site, batch_site.step(1))
    site.deliver(worker)
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    assert not worker.send_once()
    assert site.pool.fenced


@pytest.mark.parametrize("outcome", REFUSALS)
def test_a_run_whose_start_got_no_response_ends_after_a_refused_stop(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    outcome: cluster.OrderOutcome,
) -> None:
    """Its task waited for ever for a stop that was never sent again."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    link.unreachable = True
    site.run_round()
    worker.send_once()
    link.unreachable = False
    link.stop_outcomes.append(outcome)
    site.deliver(worker)
    run = worker.run_by_task[TASK]
    assert not run.start_blocked_at
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    site.deliver(worker)
    blocked_at = run.start_blocked_at
    assert blocked_at
    time.sleep(2 * workers.ACCEPTED_STOP_RETRY_SECONDS)
    site.deliver(worker)
    assert run.start_blocked_at == blocked_at
    site.poll(worker)
    assert run.state is batch_job.RunState.ENDED
    site.run_round(time.monotonic() + 1)
    site.deliver(worker)
    assert link.running == {TASK: 2}


def test_an_unknown_run_is_stopped_until_it_is_reported_no_more(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    worker = site.add_worker("w1", link)
    site.poll(worker)
    late = cluster.StartOrder(TASK, 1, "", 99_999, 1)
    link.start(late)
    link.stop_outcomes.append(cluster.OrderOutcome.UNHEALTHY)
    for _ in range(2):
        site.poll(worker)
        site.deliver(worker)
        time.sleep(2 * workers.STOP_RETRY_SECONDS)
    assert len(link.stops) == 2
    assert not link.running
    site.poll(worker)
    time.sleep(2 * workers.ACCEPTED_STOP_RETRY_SECONDS)
    assert not worker.send_once()


def test_a_stop_is_sent_before_starts_that_wait(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Each unanswered start ahead of a stop would hold it up for a second."""
    worker = started(batch_site.step(1))
    site.pool.on_record(batch_site.job_row("j2", [batch_site.step(3)]))
    site.run_round()
    cancel(site, batch_site.step(1))
    worker.send_once()
    assert not link.running


def test_a_start_does_not_wait_behind_stops_that_are_never_answered(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next stop is due before the call for the one before has timed out.

    The task stayed assigned to the worker.
    """
    monkeypatch.setattr(workers, "STOP_RETRY_SECONDS", 0.0)
    worker = started(batch_site.step(2))
    site.pool.on_record(batch_site.job_row("j2", [batch_site.step(1)]))
    site.run_round()
    cancel(site, batch_site.step(2))
    link.unreachable = True
    site.poll(worker)
    for _ in range(5):
        assert worker.send_once()
    assert not [task for task in worker.run_by_task if task.job_id == "j2"]


def test_neither_start_nor_stop_of_a_run_is_sent_if_both_wait(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(2)]))
    site.run_round()
    cancel(site, batch_site.step(2))
    site.deliver(worker)
    assert not link.starts
    assert not link.stops
    assert not worker.run_by_task
    assert worker.free_cpu == batch_site.ROOM.cpu


def test_every_stop_is_sent_before_one_is_repeated(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(workers, "STOP_RETRY_SECONDS", 0.0)
    worker = started(batch_site.step(5))
    link.stop_outcomes.extend([cluster.OrderOutcome.UNKNOWN] * 5)
    cancel(site, batch_site.step(5))
    for _ in range(5):
        worker.send_once()
    assert len(set(link.stops)) == 5
    site.deliver(worker)
    assert not link.running


def test_a_stop_that_ends_in_an_error_is_sent_again(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    worker = started(batch_site.step(1))
    with monkeypatch.context() as patch:
        patch.setattr(link, "stop", _raise_error)
        cancel(site, batch_site.step(1))
        with pytest.raises(RuntimeError):
            worker.send_once()
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    site.deliver(worker)
    assert not link.running


@pytest.mark.parametrize("sent", [True, False])
def test_a_start_that_ends_in_an_error_may_have_been_sent(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
    sent: bool,
) -> None:
    """Its run must not hold room for ever, nor run on as another starts."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.run_round()
    start = link.start

    def start_and_fail(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        if sent:
            start(order)
        raise RuntimeError("unexpected")

    with monkeypatch.context() as patch:
        patch.setattr(link, "start", start_and_fail)
        with pytest.raises(RuntimeError):
            worker.send_once()
    site.deliver(worker)
    assert link.stops == [(TASK, 1)]
    time.sleep(0.1)
    site.poll(worker)
    site.run_round(time.monotonic() + 1)
    site.deliver(worker)
    assert link.running == {TASK: 2}


@pytest.fixture
def leases(
    link: batch_worker.MemoryWorker, monkeypatch: pytest.MonkeyPatch
) -> list[int | None]:
    """The lease that each poll of a worker asked for; None for no renewal."""
    requested: list[int | None] = []
    poll = link.poll

    def record_lease(
        fencing_epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        requested.append(lease_until_ms)
        time.sleep(min(wait_seconds, 0.01))
        return poll(fencing_epoch, acknowledged, lease_until_ms, wait_seconds)

    monkeypatch.setattr(link, "poll", record_lease)
    return requested


def test_a_worker_is_polled_while_it_reports_an_unknown_run(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    leases: list[int | None],
) -> None:
    """What became of a run that started late was seen after 20 s only."""
    worker = site.add_worker("w1", link)
    link.start(cluster.StartOrder(TASK, 1, "", 99_999, 1))
    link.stop_outcomes.extend([cluster.OrderOutcome.UNKNOWN] * 1000)
    worker.open()
    try:
        assert waiting.wait_until(lambda: len(leases) >= 9)
        link.stop_outcomes.clear()
        assert waiting.wait_until(lambda: not link.running)
        assert waiting.wait_until(lambda: not worker.unknown_run_by_key)
        time.sleep(0.1)
        polls = len(leases)
        time.sleep(0.2)
        assert len(leases) == polls
    finally:
        worker.close()
    assert not any(leases)


def test_the_lease_of_runs_that_should_be_gone_is_not_renewed(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    leases: list[int | None],
) -> None:
    """A task of a cancelled job ends with its lease if no stop arrives."""
    worker = started(batch_site.step(1))
    link.stop_outcomes.extend([cluster.OrderOutcome.UNKNOWN] * 9)
    site.pool.on_record(batch_site.job_row("j2", [batch_site.step(1)]))
    site.run_round()
    site.deliver(worker)
    cancel(site, batch_site.step(1))
    site.deliver(worker)
    site.poll(worker)
    assert leases[-1]
    link.finish(job_spec.TaskKey("j2", 0, 0, 0))
    site.poll(worker)
    site.poll(worker)
    assert leases[-1] is None
    assert link.running == {TASK: 1}


def test_a_new_holder_starts_nothing_beside_runs_that_it_does_not_know(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Runs of a job that was cancelled under the former holder take up room.

    The stored final state of a job lists no runs.
    """
    steps = [batch_site.step(4, 4000)]
    started(*steps)
    cancel(site, *steps)
    site.run_round()
    assert len(link.running) == 4
    new_holder = batch_site.SteppedPool(
        2,
        [
            batch_site.job_row("j1", steps, cancelled=True),
            batch_site.job_row("j2", steps),
        ],
        site.progress_rows(),
    )
    worker = new_holder.add_worker("w1", link)
    new_holder.poll(worker)
    assert not new_holder.run_round()
    new_holder.deliver(worker)
    assert not link.running
    new_holder.poll(worker)
    assert len(new_holder.run_round()) == 4


@pytest.mark.parametrize("lease_ms", [0, 99_999])
def test_no_run_starts_elsewhere_while_an_unknown_one_is_at_work(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    lease_ms: int,
) -> None:
    """A run that wrongly counted as ended had a second one beside it."""
    worker = started(batch_site.step(1))
    site.pool.end_expired_runs(time.monotonic() + 2 * workers.LEASE_SECONDS)
    worker._lease_until_ms = lease_ms
    link.stop_outcomes.extend([cluster.OrderOutcome.UNHEALTHY])
    site.poll(worker)
    site.deliver(worker)
    other = site.add_worker("w2", other_link)
    site.poll(other)
    time.sleep(2 * batch_runs.RESTART_BACKOFF_SECONDS)
    site.run_round()
    site.deliver(other)
    assert link.running == {TASK: 1}
    assert not other_link.starts
    site.deliver(worker)
    site.poll(worker)
    assert not link.running
    site.run_round()
    site.deliver(other)
    site.deliver(worker)
    assert [*link.running.items(), *other_link.running.items()] == [(TASK, 2)]


def test_an_order_of_a_former_holder_that_is_carried_out_late_starts_nothing(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """The first poll of a new holder blocks all orders of the former one."""
    started(batch_site.step(1))
    cancel(site, batch_site.step(1))
    site.run_round()
    new_holder = batch_site.SteppedPool(
        2,
        [batch_site.job_row("j1", [batch_site.step(1)], cancelled=True)],
        site.progress_rows(),
    )
    worker = new_holder.add_worker("w1", link)
    new_holder.poll(worker)
    new_holder.deliver(worker)
    late = cluster.StartOrder(TASK, 2, "", 99_999, 1)
    assert link.start(late).outcome is cluster.OrderOutcome.FENCED
    assert not link.running


def test_a_cancelled_gang_is_stopped_on_all_workers(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """Neither the end of one member nor a refused stop restarts the gang."""
    gang = batch_site.step(4, 8000, gang=True)
    pair = [site.add_worker("w1", link), site.add_worker("w2", other_link)]
    for worker in pair:
        site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [gang]))
    site.run_round()
    site.deliver(pair[0])
    cancel(site, gang)
    link.stop_outcomes.append(cluster.OrderOutcome.UNHEALTHY)
    for _ in range(3):
        for worker in pair:
            site.deliver(worker)
            site.poll(worker)
        site.run_round(time.monotonic() + 1)
        time.sleep(2 * workers.STOP_RETRY_SECONDS)
    assert not link.running
    assert not other_link.starts
    assert all(not worker.run_by_task for worker in pair)


@pytest.mark.parametrize("cancelled_first", [True, False])
def test_lasting_tasks_cancelled_while_their_host_moves_start_nowhere(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    cancelled_first: bool,
) -> None:
    lasting = batch_site.step(2, lasting=True, may_be_away=1)
    worker = started(lasting)
    other = site.add_worker("w2", other_link)
    site.poll(other)
    site.pool.set_drain_requests({"w1"})
    site.pool.drain_workers(time.monotonic())
    if cancelled_first:
        cancel(site, lasting)
        site.deliver(worker)
        site.poll(worker)
        assert not link.running
    site.pool.set_down_workers({"w1": 10}, {"w1"})
    if not cancelled_first:
        site.run_round(time.monotonic() + 1)
        cancel(site, lasting)
    for _ in range(2):
        site.run_round(time.monotonic() + 1)
        site.deliver(other)
        site.poll(other)
    assert not other_link.running
    assert not other.run_by_task


@pytest.mark.parametrize("is_late", [True, False])
def test_a_run_taken_over_by_the_next_incarnation_is_stopped_there(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    is_late: bool,
) -> None:
    """A confirmation of the former incarnation says nothing about the next."""
    worker = started(batch_site.step(1))
    run = worker.run_by_task[TASK]
    cancel(site, batch_site.step(1))
    site.deliver(worker)
    assert run.start_blocked_at
    run.ordered_at = run.acked_at = worker.last_polled_at + 1
    next_link = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    site.pool.remove_worker(
        worker, batch_workers.Removal("restarted", restarted=True)
    )
    next_worker = site.add_worker("w1", next_link)
    time.sleep(0.1)
    site.poll(next_worker)
    assert next_worker.run_by_task == {TASK: run}
    late = cluster.StartOrder(TASK, 1, "", 99_999, 1)
    if not is_late:
        next_link.start(late)
    site.deliver(next_worker)
    if is_late:
        assert next_link.start(late).outcome is (
            cluster.OrderOutcome.RUN_TOO_OLD
        )
    time.sleep(0.1)
    site.poll(next_worker)
    assert not next_link.running
    assert not next_worker.run_by_task


def test_the_end_of_any_member_of_a_lost_gang_counts_for_all(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """A gang that had ended as done was started again."""
    gang = batch_site.step(2, gang=True)
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [gang]))
    member = job_spec.TaskKey("j1", 0, 0, 1)
    link.start(cluster.StartOrder(member, 1, "", 99_999, 1))
    link.finish(member)
    site.poll(worker)
    assert not site.run_round()
    assert (
        batch_job.decode_state(site.progress_by_id["j1"])
        is batch_job.JobState.COMPLETED
    )


def test_a_gang_started_again_is_stopped_when_its_lost_run_was_done(
    site: batch_site.SteppedPool,
) -> None:
    """The second run went on after the cancellation was acknowledged."""
    gang = batch_site.step(2, cpu=9_000, gang=True)
    links = {
        worker_id: batch_worker.MemoryWorker(batch_site.ROOM)
        for worker_id in ("w1", "w2", "w3", "w4")
    }
    for worker_id, link in links.items():
        site.poll(site.add_worker(worker_id, link))
    site.pool.on_record(batch_site.job_row("j1", [gang]))
    site.run_round()
    _deliver_and_poll(site)
    cut_links = [link for link in links.values() if link.running]
    for link in cut_links:
        link.unreachable = True
        (task,) = link.running
        link.finish(task)
    _deliver_and_poll(site)
    site.pool.end_expired_runs(time.monotonic() + 20)
    site.run_round(time.monotonic() + 1)
    _deliver_and_poll(site)
    assert sum(len(link.running) for link in links.values()) == 2
    for link in cut_links:
        link.unreachable = False
    _deliver_and_poll(site)
    cancel(site, gang)
    for _ in range(3):
        site.run_round()
        _deliver_and_poll(site)
    assert not any(link.running for link in links.values())


def _deliver_and_poll(site: batch_site.SteppedPool) -> None:
    for worker in [*site.pool.worker_by_id.values()]:
        site.deliver(worker)
        site.poll(worker)


def _raise_error(*args: object) -> cluster.OrderAnswer:
    raise RuntimeError("unexpected")
