"""Tests of workers that are back under their ids after a crash."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import contextlib
import time

import pytest
import wire_workers

from soak import ports
from soak import site as sites
from standins import platform_http
from standins import timed_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)
RUN_MS = "9000"
REGISTERED, LISTED = 1, 2  # Store versions.
UNSENT = (cluster.OrderOutcome.OTHER_WORKER, cluster.OrderOutcome.UNREACHABLE)

ServeWorker = Callable[
    [timed_worker.TimedWorker],
    tuple[cluster.WorkerEntry, wire_workers.WireWorker],
]


@pytest.fixture
def log() -> timed_worker.RunLog:
    return timed_worker.RunLog()


@pytest.fixture
def worker(log: timed_worker.RunLog) -> timed_worker.TimedWorker:
    return timed_worker.TimedWorker("i-1", sites.ROOM, log)


@pytest.fixture
def serve() -> Iterator[ServeWorker]:
    """Returns a function that serves a worker over HTTP."""
    with contextlib.ExitStack() as stack:

        def serve_worker(
            worker: timed_worker.TimedWorker,
        ) -> tuple[cluster.WorkerEntry, wire_workers.WireWorker]:
            (port,) = ports.free_ports(1)
            address = f"{ports.ADDRESS}:{port}"
            service = platform_http.WorkerService(
                worker, address, batch_site.SERVICE
            )
            server = platform_http.serve(ports.ADDRESS, port, service.answer, 8)
            stack.callback(server.stop)
            row = cluster.StoredRow(
                "servers", "", worker.worker_id, service.entry(), REGISTERED
            )
            entry = wire_workers._entry(row)
            assert entry is not None
            link = stack.enter_context(
                contextlib.closing(wire_workers.WireWorker(entry))
            )
            return entry, link

        yield serve_worker


def test_a_start_to_a_former_incarnation_is_not_executed_beside_its_next_run(
    serve: ServeWorker,
    worker: timed_worker.TimedWorker,
    log: timed_worker.RunLog,
) -> None:
    """The next incarnation ran it when the list of hosts had ended the run.

    Soak seed 6: the start was sent on a new connection after a restart that no
    poll had shown yet.
    """
    site = batch_site.SteppedPool()
    former = join_pool(site, *serve(worker))
    worker.crash(0.0)
    site.pool.on_record(
        batch_site.job_row("j1", [batch_site.step()], payload=RUN_MS)
    )
    site.run_round()
    site.deliver(former)
    other_worker = timed_worker.TimedWorker("i-2", sites.ROOM, log)
    other = join_pool(site, *serve(other_worker))
    site.pool.set_down_workers({"i-1": LISTED})
    site.run_round(time.monotonic() + 1.0)
    site.deliver(other)
    assert not log.violations
    assert [run_event.worker_id for run_event in log.run_events] == ["i-2"]


def join_pool(
    site: batch_site.SteppedPool,
    entry: cluster.WorkerEntry,
    link: cluster.WorkerLink,
) -> workers.Worker:
    """Registers a worker without its threads, and polls it once."""
    worker = workers.Worker(
        entry, link, site.pool, site.pool.former_leases_end_at
    )
    site.pool.add_worker(worker)
    worker.poll_once()
    return worker


@pytest.mark.parametrize("answers", [True, False])
def test_no_start_with_a_lease_by_the_former_clock_is_executed(
    serve: ServeWorker,
    worker: timed_worker.TimedWorker,
    log: timed_worker.RunLog,
    answers: bool,
) -> None:
    """The next incarnation kept the run for longer than the pool computed.

    Its clock begins anew, so the lease lasted for as long as the platform
    allows, and the run counted as ended after 4.6 s.
    """
    site = batch_site.SteppedPool()
    former = join_pool(site, *serve(worker))
    former.record_clock(60_000, time.monotonic())
    worker.crash(0.0)
    worker.silent_at_start = not answers
    site.pool.on_record(
        batch_site.job_row("j1", [batch_site.step()], payload=RUN_MS)
    )
    site.run_round()
    site.deliver(former)
    other_worker = timed_worker.TimedWorker("i-2", sites.ROOM, log)
    other = join_pool(site, *serve(other_worker))
    site.run_round(time.monotonic() + 5.0)
    site.deliver(other)
    assert not log.violations
    assert [run_event.worker_id for run_event in log.run_events] == ["i-2"]


@pytest.mark.parametrize("stopped_at", ["neither", "former", "next"])
def test_a_start_does_not_reach_the_next_incarnation(
    serve: ServeWorker,
    worker: timed_worker.TimedWorker,
    log: timed_worker.RunLog,
    stopped_at: str,
) -> None:
    """A stop leaves a connection, whose incarnation it does not tell."""
    _, link = serve(worker)
    if stopped_at == "former":
        link.stop(TASK, 1, 5, 0.4)
    worker.crash(0.0)
    if stopped_at == "next":
        link.stop(TASK, 1, 5, 0.4)
    answer = link.start(cluster.StartOrder(TASK, 2, RUN_MS, 60_000, 5), 1.0)
    assert answer.outcome in UNSENT
    assert not log.run_events


def test_a_start_after_a_confirmed_one_does_not_reach_the_next_incarnation(
    serve: ServeWorker,
    worker: timed_worker.TimedWorker,
    log: timed_worker.RunLog,
) -> None:
    _, link = serve(worker)
    first = link.start(cluster.StartOrder(TASK, 1, RUN_MS, 60_000, 5), 1.0)
    assert first.outcome is cluster.OrderOutcome.DONE
    worker.crash(0.0)
    for run in (2, 3):
        answer = link.start(
            cluster.StartOrder(TASK, run, RUN_MS, 60_000, 5), 1.0
        )
        assert answer.outcome is not cluster.OrderOutcome.DONE
    assert [run_event.event for run_event in log.run_events] == [
        "start",
        "crash",
    ]


def test_a_start_does_not_use_the_connection_of_an_order_beside_it(
    serve: ServeWorker,
    worker: timed_worker.TimedWorker,
    log: timed_worker.RunLog,
) -> None:
    """What one order knows of its connection holds for no other one."""
    _, link = serve(worker)
    first = link.start(cluster.StartOrder(TASK, 1, "0", 60_000, 5), 1.0)
    assert first.outcome is cluster.OrderOutcome.DONE
    with link._order_clients.client(0.0):
        worker.crash(0.0)
        link.stop(TASK, 2, 5, 0.4)
        beside = link.start(cluster.StartOrder(TASK, 3, RUN_MS, 60_000, 5), 1.0)
    after = link.start(cluster.StartOrder(TASK, 4, RUN_MS, 60_000, 5), 1.0)
    assert beside.outcome in UNSENT
    assert after.outcome is not cluster.OrderOutcome.DONE
    assert {run_event.run for run_event in log.run_events} == {1}


class PolledWorker(timed_worker.TimedWorker):
    """A worker that records its polls.

    Attributes:
        polls: Fencing token, acknowledged end, lease and wait of each poll.
    """

    def __init__(self, log: timed_worker.RunLog) -> None:
        super().__init__("i-1", sites.ROOM, log)
        self.polls: list[tuple[int, int, int | None, float]] = []

    def poll(
        self,
        fencing_epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Records a poll and answers it."""
        poll = fencing_epoch, acknowledged, lease_until_ms, wait_seconds
        self.polls.append(poll)
        return super().poll(*poll)


def test_the_check_of_the_incarnation_grants_no_lease_and_forgets_no_end(
    serve: ServeWorker, log: timed_worker.RunLog
) -> None:
    """One report confirms a connection for all starts sent over it."""
    worker = PolledWorker(log)
    _, link = serve(worker)
    for run in (1, 2):
        link.start(cluster.StartOrder(TASK, run, "0", 60_000, 5), 1.0)
    assert worker.polls == [(5, 0, None, 0.0)]


@pytest.mark.parametrize("polls_after_stop", [0, 1])
def test_a_poll_confirms_the_connection_that_a_stop_has_opened(
    serve: ServeWorker, log: timed_worker.RunLog, polls_after_stop: int
) -> None:
    """Only one that was sent after it proves that the incarnation was alive."""
    worker = PolledWorker(log)
    _, link = serve(worker)
    link.poll(5, 0, None, 0.0, 1.0)
    link.stop(TASK, 1, 5, 0.4)
    for _ in range(polls_after_stop):
        link.poll(5, 0, None, 0.0, 1.0)
    answer = link.start(cluster.StartOrder(TASK, 2, RUN_MS, 60_000, 5), 1.0)
    assert answer.outcome is cluster.OrderOutcome.DONE
    assert len(worker.polls) == 2


def test_a_polled_connection_replaces_one_that_an_order_has_lost(
    serve: ServeWorker, log: timed_worker.RunLog
) -> None:
    """Under lost calls each start waited for one more call that may be lost."""
    worker = PolledWorker(log)
    _, link = serve(worker)
    start = cluster.StartOrder(TASK, 1, RUN_MS, 60_000, 5)
    link.start(start, 1.0)
    worker.unreachable = True
    lost = link.start(start._replace(task=TASK._replace(position=1)), 0.1)
    assert lost.outcome is cluster.OrderOutcome.UNKNOWN
    worker.unreachable = False
    for _ in range(2):
        link.poll(5, 0, None, 0.0, 1.0)
    worker.polls.clear()
    answer = link.start(start._replace(task=TASK._replace(position=2)), 1.0)
    assert answer.outcome is cluster.OrderOutcome.DONE
    assert not worker.polls


def test_a_poll_before_a_restart_confirms_no_later_connection(
    serve: ServeWorker,
    worker: timed_worker.TimedWorker,
    log: timed_worker.RunLog,
) -> None:
    _, link = serve(worker)
    link.poll(5, 0, None, 0.0, 1.0)
    worker.crash(0.0)
    link.stop(TASK, 1, 5, 0.4)
    link.poll(5, 0, None, 0.0, 1.0)
    answer = link.start(cluster.StartOrder(TASK, 2, RUN_MS, 60_000, 5), 1.0)
    assert answer.outcome in UNSENT
    assert not log.run_events


def test_starts_queued_for_a_former_incarnation_are_refused_without_calls(
    serve: ServeWorker, log: timed_worker.RunLog
) -> None:
    """Each of them asked the next incarnation for a report."""
    worker = PolledWorker(log)
    site = batch_site.SteppedPool()
    former = join_pool(site, *serve(worker))
    worker.crash(0.0)
    worker.polls.clear()
    site.pool.on_record(
        batch_site.job_row("j1", [batch_site.step(3)], payload=RUN_MS)
    )
    site.run_round()
    site.deliver(former)
    assert len(worker.polls) == 1
    assert not log.run_events
