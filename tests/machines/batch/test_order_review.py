"""Tests of unanswered orders beside other events, found in a review."""

from __future__ import annotations

from collections.abc import Callable
import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import order_policy
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_workers
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
DRAIN_SECONDS = 2.0  # The shortest `drain_ms` of the sites in force.
NO_ANSWER = cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)


@pytest.fixture(autouse=True)
def _short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(workers, "STOP_RETRY_SECONDS", 0.02)


def test_a_run_with_a_lost_stop_does_not_wait_for_a_task_that_needs_its_room(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Neither task of the step ran again, as each waited for the other.

    The start and its stop got no answer and had no effect. The other task lost
    its worker, so that the disruption budget is used up.
    """
    worker = site.add_worker("w1", link)
    other = site.add_worker("w2", other_link)
    for joined in (worker, other):
        site.poll(joined)
    lasting = batch_site.step(
        2, 9000, lasting=True, may_be_away=1, most_per_worker=1
    )
    site.pool.on_record(batch_site.job_row("j1", [lasting]))
    site.run_round()
    with monkeypatch.context() as lossy:
        lossy.setattr(link, "start", lambda order, timeout_seconds: NO_ANSWER)
        site.deliver(other)
        site.poll(other)
        link.stop_outcomes.append(cluster.OrderOutcome.UNKNOWN)
        site.deliver(worker)
    assert len(link.stops) == 1
    site.pool.remove_worker(other, batch_workers.Removal("its host is down"))
    deadline = time.monotonic() + 3.0
    while not link.running and time.monotonic() < deadline:
        site.poll(worker)
        site.deliver(worker)
        site.run_round()
        time.sleep(0.05)
    assert link.running


class InterruptedStops(dict[batch_job.Run, float]):
    """Due times of stops; another thread runs before one is deleted."""

    interrupt: Callable[[], None]

    def __delitem__(self, run: batch_job.Run) -> None:
        self.interrupt()
        super().__delitem__(run)

    def pop(  # type: ignore[override]
        self, run: batch_job.Run, default: float | None = None
    ) -> float | None:
        """Removes a stop."""
        self.interrupt()
        return super().pop(run, default)


def test_a_stop_ordered_as_an_adopted_run_is_dropped_from_the_stops_is_sent(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The run of a cancelled job went on for as long as its worker lived."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    step = batch_site.step(1)
    site.pool.on_record(batch_site.job_row("j1", [step]))
    site.run_round()
    start = link.start
    with monkeypatch.context() as lossy:
        lossy.setattr(link, "start", lambda order, timeout_seconds: NO_ANSWER)
        worker.send_once()
    (run,) = worker.run_by_task.values()
    start(cluster.StartOrder(TASK, run.number, "payload", 60_000, 1, "", ""))
    site.poll(worker)
    assert not run.stopping
    stops = InterruptedStops(worker._stop_due_at_by_run)
    stops.interrupt = lambda: site.pool.on_record(
        batch_site.job_row("j1", [step], cancelled=True, version=2)
    )
    monkeypatch.setattr(worker, "_stop_due_at_by_run", stops)
    site.deliver(worker)
    assert run.stopping
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    site.deliver(worker)
    assert link.stops == [(TASK, 1)]


def test_an_answer_of_a_former_incarnation_does_not_end_the_stop_at_the_next(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next incarnation was not told to refuse the unanswered first call.

    The run counted as confirmed by the next incarnation, and as ended once
    that did not report it.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.run_round()
    next_link = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    joined: list[workers.Worker] = []
    orders: list[cluster.StartOrder] = []

    def answer_after_restart(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        orders.append(order)
        if len(orders) == 1:
            return NO_ANSWER
        site.pool.remove_worker(
            worker, batch_workers.Removal("restarted", restarted=True)
        )
        joined.append(site.add_worker("w1", next_link))
        return cluster.OrderAnswer(cluster.OrderOutcome.DONE, 1000)

    monkeypatch.setattr(link, "start", answer_after_restart)
    worker.send_once()
    (next_worker,) = joined
    time.sleep(0.1)
    site.poll(next_worker)
    site.deliver(next_worker)
    assert next_link.stops == [(TASK, 1)]


def test_an_empty_budget_of_the_node_leaves_that_of_a_worker() -> None:
    """A worker had no repeats left once the node had some again."""
    settings = order_policy.OrderSettings(
        worker_repeats=1,
        worker_repeats_per_second=0,
        node_repeats=1,
        node_repeats_per_second=0,
    )
    node = order_policy.NodeOrders(settings)
    calls = order_policy.WorkerOrders(order_policy.PoolOrders(node))
    assert node.budget.withdraw()
    assert not calls.withdraw_repeat()
    node.budget.on_answer()
    assert calls.withdraw_repeat()


@pytest.fixture
def held_run(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> batch_job.Run:
    """A run whose start got no answer and whose stop waits for the budget."""
    worker = site.add_worker("w1", link)
    other = site.add_worker("w2", other_link)
    for joined in (worker, other):
        site.poll(joined)
    lasting = batch_site.step(
        2, 9000, lasting=True, may_be_away=1, most_per_worker=1
    )
    site.pool.on_record(batch_site.job_row("j1", [lasting]))
    site.run_round()
    with monkeypatch.context() as lossy:
        lossy.setattr(link, "start", lambda order, timeout_seconds: NO_ANSWER)
        worker.send_once()
    site.poll(worker)
    (run,) = worker.run_by_task.values()
    return run


def test_a_start_is_not_repeated_at_a_worker_that_has_drained(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is not to be started later than `drain_ms` after the notice (DRAIN).

    A first call is sent up to 1.5 s after its run was planned.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    (run,) = site.run_round()
    worker.update_entry(
        worker.entry._replace(state=cluster.WorkerState.DRAINING)
    )
    run.planned_at -= workers.STALE_ORDER_SECONDS - 0.1
    called_at: list[float] = []

    def wait_in_vain(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        called_at.append(time.monotonic())
        time.sleep(timeout_seconds)
        return NO_ANSWER

    monkeypatch.setattr(link, "start", wait_in_vain)
    worker.send_once()
    assert called_at[-1] - run.planned_at <= DRAIN_SECONDS


def test_a_held_start_without_an_answer_is_not_ended_by_a_later_refusal(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    held_run: batch_job.Run,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An error had left its first start unsent, so no call was unanswered."""
    held_run.has_unanswered_start = False
    answers = iter(
        [NO_ANSWER, cluster.OrderAnswer(cluster.OrderOutcome.NO_ROOM, 1000)]
    )
    monkeypatch.setattr(
        link, "start", lambda order, timeout_seconds: next(answers)
    )
    for _ in range(2):
        time.sleep(2 * workers.STOP_RETRY_SECONDS)
        held_run.worker.send_once()
    assert held_run.state is not batch_job.RunState.ENDED


def restart(
    site: batch_site.SteppedPool, worker: workers.Worker, started_ms: int
) -> tuple[workers.Worker, batch_worker.MemoryWorker]:
    """Replaces a worker by its next incarnation, which reports once."""
    site.pool.remove_worker(
        worker, batch_workers.Removal("restarted", restarted=True)
    )
    link = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=started_ms)
    next_worker = site.add_worker(worker.worker_id, link)
    site.poll(next_worker)
    return next_worker, link


def test_a_start_at_a_restarted_worker_is_sent_beside_stops_of_ended_runs(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It waited for the stop of each run whose start had got no answer.

    The start was withdrawn as stale, although these runs were done.
    """
    tasks = 50
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(tasks, 100)]))
    site.run_round()
    link.lost_starts = tasks
    site.deliver(worker)
    for task in link.running:
        link.finish(task)
    site.poll(worker)
    site.run_round()
    assert "j1" not in site.pool.job_by_id
    next_worker, next_link = restart(site, worker, 2)
    stop = next_link.stop

    def answer_slowly(
        task: job_spec.TaskKey,
        run: int,
        fencing_epoch: int,
        timeout_seconds: float,
    ) -> cluster.OrderAnswer:
        time.sleep(0.05)
        return stop(task, run, fencing_epoch)

    monkeypatch.setattr(next_link, "stop", answer_slowly)
    site.pool.on_record(batch_site.job_row("j2", [batch_site.step(1)]))
    assert site.run_round()
    site.deliver(next_worker)
    assert next_link.starts


def test_an_order_blocked_by_a_second_incarnation_is_blocked_by_the_third(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The order of an ended run ran there beside the task's second run."""
    orders: list[cluster.StartOrder] = []

    def keep(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        orders.append(order)
        return NO_ANSWER

    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.run_round()
    monkeypatch.setattr(link, "start", keep)
    site.deliver(worker)
    time.sleep(0.1)
    site.poll(worker)
    assert not worker.run_by_task
    for started_ms in (2, 3):
        worker, next_link = restart(site, worker, started_ms)
        site.deliver(worker)
    assert next_link.start(orders[0]).outcome is (
        cluster.OrderOutcome.RUN_TOO_OLD
    )
