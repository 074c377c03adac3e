"""Tests of starts that get no answer: repeated, adopted or stopped."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time
from typing import Any

import pytest

from standins import batch_worker
from tests import waiting
from tests.machines import batch_site
from wisteriasill import events
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import order_policy
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_workers
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
SETTINGS = order_policy.DEFAULT_SETTINGS
NO_ANSWER = cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)


class LateOrders:
    """A worker whose starts get no answer and are carried out later.

    Attributes:
        late: Starts that wait.
        is_lossy: Whether the next start waits, too.
    """

    def __init__(
        self, link: batch_worker.MemoryWorker, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.late: list[cluster.StartOrder] = []
        self.is_lossy = True
        self._start = link.start
        monkeypatch.setattr(link, "start", self.start)

    def start(
        self, order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        """Starts a run, or keeps the order."""
        if not self.is_lossy:
            return self._start(order, timeout_seconds)
        self.late.append(order)
        return NO_ANSWER

    def carry_out(self) -> list[cluster.OrderOutcome]:
        """Carries out the orders that wait."""
        late, self.late = self.late, []
        return [self._start(order).outcome for order in late]


@pytest.fixture
def late_orders(
    link: batch_worker.MemoryWorker, monkeypatch: pytest.MonkeyPatch
) -> LateOrders:
    return LateOrders(link, monkeypatch)


@pytest.fixture(autouse=True)
def _short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(workers, "STOP_RETRY_SECONDS", 0.02)


def order_start(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    *steps: job_spec.StepSpec,
) -> workers.Worker:
    """Sends the starts of a job until the worker is given up for now."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", steps))
    site.run_round()
    while worker._orders:
        worker.send_once()
    return worker


def test_a_start_answered_at_its_third_call_runs_once(
    site: batch_site.SteppedPool, link: batch_worker.MemoryWorker
) -> None:
    """After one repeat the run was stopped and its task started again."""
    link.lost_starts = 0
    answers = iter([NO_ANSWER, NO_ANSWER])
    start = link.start

    def lose_answers(
        order: cluster.StartOrder, timeout_seconds: float = 1.0
    ) -> cluster.OrderAnswer:
        answer = start(order)
        return next(answers, answer)

    link.start = lose_answers  # type: ignore[method-assign]
    worker = order_start(site, link, batch_site.step(1))
    site.deliver(worker)
    assert [started[:2] for started in link.starts] == [(TASK, 1)]
    assert not link.stops
    assert link.running == {TASK: 1}


def test_a_late_first_order_after_a_stop_does_not_run(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    late_orders: LateOrders,
) -> None:
    worker = order_start(site, link, batch_site.step(1))
    assert len(late_orders.late) == SETTINGS.max_start_calls
    other = site.add_worker("w2", other_link)
    site.poll(other)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    assert not other_link.starts
    site.deliver(worker)
    assert link.stops == [(TASK, 1)]
    assert {*late_orders.carry_out()} == {cluster.OrderOutcome.RUN_TOO_OLD}
    time.sleep(0.1)
    site.poll(worker)
    late_orders.is_lossy = False
    site.run_round(time.monotonic() + 1)
    for ordered in (worker, other):
        site.deliver(ordered)
    assert [*link.running.items(), *other_link.running.items()] == [(TASK, 2)]


@pytest.mark.parametrize("lasting", [False, True])
def test_an_unanswered_run_that_is_at_work_is_adopted(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    late_orders: LateOrders,
    monkeypatch: pytest.MonkeyPatch,
    lasting: bool,
) -> None:
    """Its pending stop ended the run that was at work."""
    logged: list[events.Event] = []
    monkeypatch.setattr(
        events, "log", lambda event, *_, **__: logged.append(event)
    )
    worker = order_start(site, link, batch_site.step(1, lasting=lasting))
    run = worker.run_by_task[TASK]
    assert run.stopping
    late_orders.carry_out()
    site.poll(worker)
    assert logged.count(events.Event.RUN_ADOPTED) == 1
    assert run.state is batch_job.RunState.RUNNING
    assert not run.stopping
    site.deliver(worker)
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    site.deliver(worker)
    site.poll(worker)
    assert not link.stops
    assert link.running == {TASK: 1}
    assert worker._needs_lease()


@pytest.mark.parametrize("end", ["cancelled", "gang", "stopped"])
def test_an_unanswered_run_that_is_not_wanted_is_not_adopted(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    late_orders: LateOrders,
    end: str,
) -> None:
    step = batch_site.step(1, gang=end == "gang")
    worker = order_start(site, link, step)
    run = worker.run_by_task[TASK]
    if end == "cancelled":
        site.pool.on_record(batch_site.job_row("j1", [step], True, version=2))
    elif end == "gang":
        site.pool._stop_run(run, "another run of its gang ended")
    else:
        link.stop_outcomes.append(cluster.OrderOutcome.UNKNOWN)
        worker.send_once()
    late_orders.carry_out()
    assert link.running == {TASK: 1}
    site.poll(worker)
    assert run.stopping
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    site.deliver(worker)
    assert not link.running


def start_two_lasting(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    late_orders: LateOrders,
) -> tuple[workers.Worker, workers.Worker]:
    """Starts two lasting tasks; the one on the first worker gets no answer."""
    pair = (site.add_worker("w1", link), site.add_worker("w2", other_link))
    for worker in pair:
        site.poll(worker)
    lasting = batch_site.step(
        2, 9000, lasting=True, may_be_away=1, most_per_worker=1
    )
    site.pool.on_record(batch_site.job_row("j1", [lasting]))
    site.run_round()
    pair[0].send_once()
    return pair


def test_the_stop_of_an_unanswered_run_waits_for_the_disruption_budget(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    late_orders: LateOrders,
) -> None:
    """Grown Mandacaru, reborn-late, seed 801: AVAIL.

    The order was carried out late, and the stop ended the run at work while
    the other task of its step was away.
    """
    worker, other = start_two_lasting(site, link, other_link, late_orders)
    (task,) = worker.run_by_task
    late_orders.carry_out()
    site.deliver(worker)
    assert link.running == {task: 1}
    assert not link.stops
    site.deliver(other)
    site.poll(other)
    late_orders.is_lossy = True
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    site.deliver(worker)
    assert link.stops == [(task, 1)]


def test_a_start_whose_stop_has_to_wait_is_repeated(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    late_orders: LateOrders,
) -> None:
    """No other call tells soon whether it is at work."""
    worker, _ = start_two_lasting(site, link, other_link, late_orders)
    (run,) = worker.run_by_task.values()
    late_orders.is_lossy = False
    site.deliver(worker)
    assert run.stopping  # The worker is silent.
    site.poll(worker)
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    site.deliver(worker)
    assert run.state is batch_job.RunState.RUNNING
    assert not run.stopping
    assert not link.stops


@pytest.mark.parametrize(
    "outcome",
    [cluster.OrderOutcome.UNHEALTHY, cluster.OrderOutcome.RUN_TOO_OLD],
)
def test_a_run_that_its_worker_refuses_to_start_does_not_wait_for_a_budget(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    late_orders: LateOrders,
    monkeypatch: pytest.MonkeyPatch,
    outcome: cluster.OrderOutcome,
) -> None:
    """The refusal shows that it is not at work."""
    worker, _ = start_two_lasting(site, link, other_link, late_orders)
    (run,) = worker.run_by_task.values()
    site.poll(worker)
    monkeypatch.setattr(
        link,
        "start",
        lambda order, timeout_seconds: cluster.OrderAnswer(outcome),
    )
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    site.deliver(worker)
    time.sleep(2 * workers.STOP_RETRY_SECONDS)
    site.deliver(worker)
    assert run.start_blocked_at
    time.sleep(0.1)
    site.poll(worker)
    assert run.state is batch_job.RunState.ENDED


def test_a_cut_worker_holds_up_its_orders_no_longer_than_one_call(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each start behind the first one goes back without a call."""
    waited: list[float] = []

    def wait_in_vain(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        time.sleep(timeout_seconds)
        waited.append(timeout_seconds)
        return NO_ANSWER

    monkeypatch.setattr(link, "start", wait_in_vain)
    worker = order_start(site, link, batch_site.step(5))
    assert sum(waited) < 2 * SETTINGS.max_start_seconds
    assert len(waited) <= SETTINGS.max_start_calls
    assert len(worker.run_by_task) == 1


@pytest.mark.parametrize("refused", [True, False])
def test_a_start_whose_connection_was_not_opened_in_time_is_repeated(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
    refused: bool,
) -> None:
    """A lost packet made the worker unreachable until its next report."""
    start = link.start
    calls: list[float] = []

    def fail_to_connect(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        calls.append(timeout_seconds)
        if len(calls) > 1:
            return start(order, timeout_seconds)
        time.sleep(0 if refused else timeout_seconds)
        return cluster.OrderAnswer(cluster.OrderOutcome.UNREACHABLE)

    monkeypatch.setattr(link, "start", fail_to_connect)
    worker = order_start(site, link, batch_site.step(1))
    assert worker.is_reachable is not refused
    assert link.running == ({} if refused else {TASK: 1})
    assert len(calls) == (1 if refused else 2)
    if not refused:
        assert not worker.run_by_task[TASK].has_unanswered_start


def test_a_slow_worker_is_not_flooded(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A worker that takes half a second gets about one call for each start."""
    starts = 20
    response_seconds = 0.5
    now = time.monotonic()
    clock = [now]
    calls: list[float] = []
    start = link.start

    def answer_slowly(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        calls.append(timeout_seconds)
        clock[0] += min(timeout_seconds, response_seconds)
        answer = start(order)
        return answer if timeout_seconds > response_seconds else NO_ANSWER

    worker = site.add_worker("w1", link)
    site.poll(worker)
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    monkeypatch.setattr(link, "start", answer_slowly)
    for number in range(starts):
        site.pool.on_record(
            batch_site.job_row(f"j{number}", [batch_site.step(1, 100)])
        )
        site.run_round()
        site.poll(worker)
        site.deliver(worker)
    assert len(link.running) == starts
    assert len(calls) <= 1.3 * starts


def test_no_start_goes_to_a_worker_that_does_not_respond(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
) -> None:
    """The holder refused its own starts, up to 333 times at one worker."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    worker.silent_since = time.monotonic()
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    assert not site.run_round()
    site.poll(site.add_worker("w2", other_link))
    (run,) = site.run_round()
    assert run.worker.worker_id == "w2"


@pytest.mark.parametrize("reason", ["silent-worker", "stale"])
def test_a_start_that_is_not_sent_takes_no_number_and_no_log_line(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
    reason: str,
) -> None:
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(3)]))
    site.run_round()
    logged: list[events.Event] = []
    monkeypatch.setattr(
        events, "log", lambda event, *_, **__: logged.append(event)
    )
    if reason == "silent-worker":
        worker.silent_since = time.monotonic()
    for run in worker.run_by_task.values():
        run.planned_at -= 2 * workers.STALE_ORDER_SECONDS
    if reason == "stale":
        worker.silent_since = 0.0
    site.deliver(worker)
    assert not logged
    assert not link.starts
    assert site.pool.take_refused_starts() == {reason: 3}
    assert not site.pool.take_refused_starts()
    site.poll(worker)
    if reason == "stale":
        assert not site.run_round(time.monotonic() + 0.1)
    assert {run.number for run in site.run_round(time.monotonic() + 1)} == {1}
    site.deliver(worker)
    assert len(link.running) == 3


def test_a_worker_whose_report_was_lost_is_not_silent(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It got no starts until another poll, up to a second later, succeeded."""
    worker = site.add_worker("w1", link)
    site.poll(worker)
    lost = iter([True, True])
    poll = link.poll

    def lose_reports(
        *args: Any,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        if next(lost, False):
            return cluster.OrderOutcome.UNKNOWN
        return poll(*args)

    monkeypatch.setattr(link, "poll", lose_reports)
    site.poll(worker)
    assert not worker.silent_since
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    assert site.run_round()


def test_the_lease_of_a_worker_that_stops_answering_is_not_extended(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its tasks start elsewhere as soon as before the repeats."""
    worker = started(batch_site.step(1))
    leases: list[int | None] = []

    def lose_reports(
        epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> cluster.OrderOutcome:
        leases.append(lease_until_ms)
        return cluster.OrderOutcome.UNKNOWN

    monkeypatch.setattr(link, "poll", lose_reports)
    site.poll(worker)
    assert worker.silent_since
    assert leases[0]
    assert leases[1:] == [None] * (SETTINGS.max_poll_calls - 1)
    site.poll(worker)
    assert len(leases) == SETTINGS.max_poll_calls + 1


def test_a_repeat_may_reach_the_next_incarnation_of_a_worker(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    other_link: batch_worker.MemoryWorker,
    late_orders: LateOrders,
) -> None:
    """A confirmed run may have a repeat that is still to be carried out."""
    worker = order_start(site, link, batch_site.step(1))
    late, late_orders.late = late_orders.late, late_orders.late[:1]
    late_orders.carry_out()
    site.poll(worker)
    site.poll(worker)
    assert worker.run_by_task[TASK].state is batch_job.RunState.RUNNING
    site.pool.remove_worker(
        worker, batch_workers.Removal("restarted", restarted=True)
    )
    other = site.add_worker("w2", other_link)
    site.poll(other)
    site.run_round(time.monotonic() + 1)
    site.deliver(other)
    assert not other_link.starts
    next_link = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    next_worker = site.add_worker("w1", next_link)
    site.poll(next_worker)
    site.deliver(next_worker)
    assert next_link.start(late[-1]).outcome is (
        cluster.OrderOutcome.RUN_TOO_OLD
    )


class BlockingStarts:
    """A worker whose first start gets no answer until it is released.

    Attributes:
        is_released: Ends the wait of the first start.
        runs: Runs of the starts that arrived, in their order.
        most: Most starts that waited or were answered side by side.
    """

    def __init__(
        self, link: batch_worker.MemoryWorker, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.is_released = threading.Event()
        self.runs: list[job_spec.TaskKey] = []
        self.calls = 0
        self.most = 0
        self._lock = threading.Lock()
        self._link = link
        self._start = link.start
        monkeypatch.setattr(link, "start", self.start)

    def start(
        self, order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        """Starts a run; the first one waits."""
        with self._lock:
            self.runs.append(order.task)
            self.calls += 1
            self.most = max(self.most, self.calls)
        try:
            if order.task == self.runs[0]:
                self.is_released.wait(timeout_seconds)
                return NO_ANSWER
            time.sleep(0.01)
            return self._start(order, timeout_seconds)
        finally:
            with self._lock:
                self.calls -= 1


def test_a_start_without_an_answer_does_not_hold_up_the_others(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each of them waited for a second behind it."""
    starts = BlockingStarts(link, monkeypatch)
    worker = site.add_worker("w1", link)
    worker.open()
    try:
        assert waiting.wait_until(lambda: worker.is_reachable)
        site.pool.on_record(batch_site.job_row("j1", [batch_site.step(9)]))
        began = time.monotonic()
        site.run_round()
        assert waiting.wait_until(lambda: len(link.running) == 8)
        assert time.monotonic() - began < SETTINGS.max_start_seconds
        assert starts.most <= SETTINGS.worker_calls
        starts.is_released.set()
        stuck = starts.runs[0]
        assert waiting.wait_until(lambda: (stuck, 1) in link.stops)
        assert waiting.wait_until(lambda: not worker._lanes)
    finally:
        starts.is_released.set()
        worker.close()
        site.pool.close()


def test_the_stop_of_a_run_waits_for_the_call_of_its_start(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stop that overtakes its start would leave the run at work."""
    starts = BlockingStarts(link, monkeypatch)
    worker = site.add_worker("w1", link)
    site.poll(worker)
    step = batch_site.step(1)
    site.pool.on_record(batch_site.job_row("j1", [step]))
    site.run_round()
    sender = threading.Thread(target=worker.send_once, daemon=True)
    sender.start()
    assert waiting.wait_until(lambda: starts.calls == 1)
    site.pool.on_record(batch_site.job_row("j1", [step], True, version=2))
    assert not worker.send_once()
    assert worker._seconds_until_stop() is None
    starts.is_released.set()
    sender.join()
    assert worker.send_once()
    assert link.stops == [(TASK, 1)]


def test_a_worker_that_answers_nothing_gets_few_starts_side_by_side(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each of them would wait for the end of the lease if it is cut off."""
    sent: set[job_spec.TaskKey] = set()

    def wait_in_vain(
        order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        sent.add(order.task)
        time.sleep(timeout_seconds)
        return NO_ANSWER

    monkeypatch.setattr(link, "start", wait_in_vain)
    worker = site.add_worker("w1", link)
    worker.open()
    try:
        assert waiting.wait_until(lambda: worker.is_reachable)
        link.unreachable = True
        site.pool.on_record(batch_site.job_row("j1", [batch_site.step(9)]))
        site.run_round()
        assert waiting.wait_until(lambda: not worker._orders)
        assert len(sent) <= SETTINGS.max_silent_calls + 1
    finally:
        worker.close()
        site.pool.close()


def test_the_next_incarnation_refuses_the_late_order_of_a_run_that_has_ended(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    late_orders: LateOrders,
) -> None:
    """The task would start again after it was done."""
    worker = order_start(site, link, batch_site.step(1))
    late, late_orders.late = late_orders.late, late_orders.late[:1]
    late_orders.carry_out()
    site.poll(worker)
    site.poll(worker)
    link.finish(TASK)
    site.poll(worker)
    assert not worker.run_by_task
    site.pool.remove_worker(
        worker, batch_workers.Removal("restarted", restarted=True)
    )
    next_link = batch_worker.MemoryWorker(batch_site.ROOM, started_ms=2)
    next_worker = site.add_worker("w1", next_link)
    site.deliver(next_worker)
    assert next_link.start(late[-1]).outcome is (
        cluster.OrderOutcome.RUN_TOO_OLD
    )
