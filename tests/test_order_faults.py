"""Tests of the faults of calls to a worker."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent import futures
import json
import threading
import time
from typing import Any

import pytest
from werkzeug import test
from werkzeug import wrappers

from standins import order_faults
from standins import platform_http
from standins import timed_worker
from tests import waiting
from wisteriasill.contracts import job_spec

CAPACITY = job_spec.Resources(4000, 1000, 0)
START = {
    "task": "j1.0.0.0",
    "run_id": 1,
    "spec": "9000",
    "deadline_ms": 60_000,
    "fencing_token": 5,
}
Call = Callable[[str, dict[str, Any]], int]


@pytest.fixture
def log() -> timed_worker.RunLog:
    return timed_worker.RunLog()


@pytest.fixture
def faulty(
    log: timed_worker.RunLog, monkeypatch: pytest.MonkeyPatch
) -> Iterator[order_faults.FaultyWorkerService]:
    """A worker's interface; the token 5 belongs to the node `node-0`."""
    monkeypatch.setattr(order_faults, "UNANSWERED_SECONDS", 0.01)
    service = order_faults.FaultyWorkerService(
        platform_http.WorkerService(
            timed_worker.TimedWorker("w1", CAPACITY, log), "ip:1", "bench"
        ),
        {5: "node-0", 6: "node-1"}.__getitem__,
    )
    yield service
    service.closing.set()


@pytest.fixture
def call(faulty: order_faults.FaultyWorkerService) -> Call:
    """Calls the interface and returns the status."""

    def send(path: str, body: dict[str, Any]) -> int:
        environ = test.EnvironBuilder(
            path, method="POST", data=json.dumps(body)
        ).get_environ() | {"REMOTE_ADDR": "ip", "REMOTE_PORT": "2"}
        return faulty.answer(wrappers.Request(environ))[0]

    return send


def test_a_refused_order_has_no_effect(
    faulty: order_faults.FaultyWorkerService,
    call: Call,
    log: timed_worker.RunLog,
) -> None:
    faulty.faults = order_faults.OrderFaults(refused_share=1.0)
    assert call("/api/run-start", START) in (429, 503)
    assert not log.run_events


def test_a_late_order_is_executed_after_its_time(
    faulty: order_faults.FaultyWorkerService,
    call: Call,
    log: timed_worker.RunLog,
) -> None:
    faulty.faults = order_faults.OrderFaults(1.0, 0.1, 0.1)
    sent_at = time.monotonic()
    # Orders are executed under the lock, so this one can't be early.
    with faulty.service.worker.lock:
        assert call("/api/run-start", START) == 500
        assert faulty.late_calls == 1
        assert not log.run_events
    assert waiting.wait_until(lambda: not faulty.late_calls)
    (run_event,) = log.run_events
    assert run_event.late
    assert run_event.at - sent_at >= 0.1


def test_a_late_order_does_not_reach_the_next_incarnation(
    faulty: order_faults.FaultyWorkerService,
    call: Call,
    log: timed_worker.RunLog,
) -> None:
    faulty.faults = order_faults.OrderFaults(1.0, 0.1, 0.1)
    # Orders are executed under the lock, so this one waits for the crash even
    # if its thread runs before.
    with faulty.service.worker.lock:
        call("/api/run-start", START)
        assert faulty.late_calls == 1
        faulty.service.worker.crash(0.0)
    assert waiting.wait_until(lambda: not faulty.late_calls)
    assert not log.run_events


def test_a_worker_is_cut_from_one_node_only(
    faulty: order_faults.FaultyWorkerService,
    call: Call,
    log: timed_worker.RunLog,
) -> None:
    faulty.faults = order_faults.OrderFaults(cut_nodes=("node-0",))
    assert call("/api/run-start", START) == 500
    assert not log.run_events
    assert call("/api/run-start", START | {"fencing_token": 6}) == 200


@pytest.mark.parametrize("starts_before", [False, True])
def test_a_silent_worker_answers_nothing_until_its_connections_are_reset(
    faulty: order_faults.FaultyWorkerService,
    call: Call,
    log: timed_worker.RunLog,
    starts_before: bool,
) -> None:
    worker = faulty.service.worker
    hosts = platform_http.HostService([worker], "bench")
    worker.silent_at_start = starts_before
    crash = threading.Thread(target=worker.crash, args=(0.3, 1.5, 1.0))
    with futures.ThreadPoolExecutor() as executor:
        if starts_before:
            unconfirmed = executor.submit(call, "/api/run-start", START)
            assert waiting.wait_until(lambda: not worker.responds.is_set())
        crash.start()
        assert waiting.wait_until(lambda: worker.down)
        assert listed_state(hosts) == "up"
        if not starts_before:
            unconfirmed = executor.submit(call, "/api/run-start", START)
        assert waiting.wait_until(lambda: listed_state(hosts) == "down")
        assert not unconfirmed.done()
        assert unconfirmed.result() == 500
    crash.join()
    assert [run_event.event for run_event in log.run_events] == [
        "start",
        "crash",
    ] * starts_before


def test_a_worker_falls_silent_before_the_start_of_a_task(
    faulty: order_faults.FaultyWorkerService,
    call: Call,
    log: timed_worker.RunLog,
) -> None:
    worker = faulty.service.worker
    worker.silent_at_task = job_spec.TaskKey("j1", 0, 0, 0)
    assert call("/api/run-start", START | {"task": "j1.0.0.1"}) == 200
    with futures.ThreadPoolExecutor() as executor:
        unconfirmed = executor.submit(call, "/api/run-start", START)
        assert waiting.wait_until(lambda: not worker.responds.is_set())
        assert worker.silent_at_task is None
        worker.crash(0.0)
        assert unconfirmed.result() == 500
    assert {run_event.task.position for run_event in log.run_events} == {1}


def listed_state(hosts: platform_http.HostService) -> str:
    request = test.EnvironBuilder("/api/machines").get_request()
    return str(hosts.answer(request)[1]["machines"][0]["state"])


@pytest.mark.parametrize("malformed", [False, True])
def test_a_registry_entry_may_lack_fields(
    faulty: order_faults.FaultyWorkerService, malformed: bool
) -> None:
    service = faulty.service
    complete = json.loads(service.entry())
    service.omitted_fields = ("born", "zone")
    service.entry_malformed = malformed
    if malformed:
        with pytest.raises(UnicodeDecodeError):
            json.loads(service.entry())
        return
    assert complete.keys() - json.loads(service.entry()) == {"born", "zone"}
