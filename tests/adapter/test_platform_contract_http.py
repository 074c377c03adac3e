"""Contract tests of the adapter against the stand-in's HTTP."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import socket
import time

import pytest
from returns import result
import wire_hosts
import wire_operators
import wire_store
import wire_workers

from soak import ports
from soak import site as sites
from standins import platform_http
from standins import row_store
from standins import timed_worker
from wisteriasill import metrics
from wisteriasill.contracts import host_record
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster

TASK = job_spec.TaskKey("5c0e7a21d94b36f8", 0, 0, 0)


@pytest.fixture
def memory() -> row_store.MemoryRowStore:
    return row_store.MemoryRowStore()


@pytest.fixture
def store(memory: row_store.MemoryRowStore) -> Iterator[wire_store.WireStore]:
    (port,) = ports.free_ports(1)
    server = platform_http.serve(
        ports.ADDRESS, port, platform_http.StoreService(memory).answer, 8
    )
    yield wire_store.WireStore(f"{ports.ADDRESS}:{port}", metrics.Metrics())
    server.stop()


@pytest.fixture
def worker() -> timed_worker.TimedWorker:
    return timed_worker.TimedWorker("i-1", sites.ROOM, timed_worker.RunLog())


@pytest.fixture
def link(worker: timed_worker.TimedWorker) -> Iterator[wire_workers.WireWorker]:
    (port,) = ports.free_ports(1)
    address = f"{ports.ADDRESS}:{port}"
    service = platform_http.WorkerService(worker, address, sites.SERVICE)
    server = platform_http.serve(ports.ADDRESS, port, service.answer, 8)
    entry = wire_workers._entry(
        cluster.StoredRow("servers", "", "i-1", service.entry(), 1)
    )
    assert entry is not None
    yield wire_workers.WireWorker(entry)
    server.stop()


@pytest.fixture
def hosts(
    worker: timed_worker.TimedWorker,
) -> Iterator[wire_hosts.WireHosts]:
    (port,) = ports.free_ports(1)
    service = platform_http.HostService([worker], sites.SERVICE)
    server = platform_http.serve(ports.ADDRESS, port, service.answer, 8)
    yield wire_hosts.WireHosts(f"{ports.ADDRESS}:{port}", "node-0")
    server.stop()


def order(
    run: int = 1, fencing_epoch: int = 5, payload: str = "50"
) -> cluster.StartOrder:
    return cluster.StartOrder(TASK, run, payload, 60_000, fencing_epoch)


def test_rows_are_written_read_and_followed(
    store: wire_store.WireStore,
) -> None:
    write = cluster.RowWrite("t", "k", b"\x00value")
    first = store.transact("p", [], [write], 1.0).unwrap()
    (row,) = store.read("t", "p").unwrap().rows
    assert row == cluster.StoredRow("t", "p", "k", b"\x00value", first)
    conflict = store.transact(
        "p", [cluster.RowVersion("t", "k", 0)], [write], 1.0
    ).failure()
    assert conflict.kind is cluster.StoreFaultKind.CONFLICT
    assert conflict.rows == (row,)
    store.transact("p", [], [cluster.RowWrite("t", "k", None)], 1.0).unwrap()
    page = store.watch("t", first, 0.0).unwrap()
    assert [changed_row.value for changed_row in page.rows] == [None]


def test_a_call_without_a_response_is_not_taken_as_refused(
    store: wire_store.WireStore, memory: row_store.MemoryRowStore
) -> None:
    memory.lost_answers = 1
    write = cluster.RowWrite("t", "k", b"v")
    fault = store.transact("p", [], [write], 1.0).failure()
    assert fault.kind is cluster.StoreFaultKind.OUTCOME_UNKNOWN


def test_a_store_that_is_down_writes_nothing(
    store: wire_store.WireStore, memory: row_store.MemoryRowStore
) -> None:
    memory.down = True
    write = cluster.RowWrite("t", "k", b"v")
    fault = store.transact("p", [], [write], 1.0).failure()
    assert fault.kind is cluster.StoreFaultKind.UNAVAILABLE


def test_a_row_over_the_limit_is_told_from_a_store_that_is_down(
    store: wire_store.WireStore, memory: row_store.MemoryRowStore
) -> None:
    """A repeat of such a call never succeeds."""
    write = cluster.RowWrite("t", "k", bytes(memory.row_bytes + 1))
    fault = store.transact("p", [], [write], 1.0).failure()
    assert fault.kind is cluster.StoreFaultKind.INVALID


def test_a_dropped_history_is_reported(
    store: wire_store.WireStore, memory: row_store.MemoryRowStore
) -> None:
    memory.transact("p", [], [cluster.RowWrite("t", "k", b"v")], 1.0)
    memory.drop_history()
    fault = store.watch("t", 0, 0.0).failure()
    assert fault.kind is cluster.StoreFaultKind.HISTORY_LOST


def test_the_registry_and_the_configuration(
    store: wire_store.WireStore, memory: row_store.MemoryRowStore
) -> None:
    memory.transact(
        "",
        [],
        [cluster.RowWrite("servers", "i-1", b"not readable")],
        1.0,
    )
    registry = wire_workers.WireRegistry(store)
    assert registry.read().unwrap().entries == ()
    page = registry.watch(0, 0.0).unwrap()
    assert page.removed_ids == ("i-1",)
    operators = wire_operators.WireOperators(store)
    assert operators.read().unwrap().configuration is None
    assert isinstance(operators.report_wave(1, True), result.Success)


def test_a_run_from_start_to_end(link: wire_workers.WireWorker) -> None:
    assert link.start(order(), 1.0).outcome is cluster.OrderOutcome.DONE
    assert link.start(order(), 1.0).outcome is cluster.OrderOutcome.DONE
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        report = link.poll(5, 0, 60_000, 0.5, 1.3)
        assert isinstance(report, cluster.WorkerReport)
        if report.ends:
            break
    assert isinstance(report, cluster.WorkerReport)
    (end,) = report.ends
    assert (end.task, end.run, end.kind) == (
        TASK,
        1,
        cluster.RunEndKind.DONE,
    )


@pytest.mark.parametrize(
    ("late", "outcome"),
    [
        (order(2, fencing_epoch=4), cluster.OrderOutcome.FENCED),
        (order(1), cluster.OrderOutcome.RUN_TOO_OLD),
        (order(2), cluster.OrderOutcome.DONE),
    ],
)
def test_orders_after_a_stop(
    link: wire_workers.WireWorker,
    late: cluster.StartOrder,
    outcome: cluster.OrderOutcome,
) -> None:
    link.start(order(payload="9000"), 1.0)
    assert link.stop(TASK, 1, 5, 0.4).outcome is cluster.OrderOutcome.DONE
    assert link.start(late, 1.0).outcome is outcome


def test_an_unanswered_stop_is_given_up_soon() -> None:
    """Each unanswered stop holds up the stops of other runs behind it."""
    with socket.create_server((ports.ADDRESS, 0)) as silent:
        entry = cluster.WorkerEntry(
            "i-1",
            1,
            sites.SERVICE,
            f"{ports.ADDRESS}:{silent.getsockname()[1]}",
            "zone",
            cluster.WorkerState.READY,
            sites.ROOM,
            (),
        )
        link = wire_workers.WireWorker(entry)
        began = time.monotonic()
        answer = link.stop(TASK, 1, 5, 0.4)
        assert answer.outcome is cluster.OrderOutcome.UNKNOWN
        assert time.monotonic() - began < 0.8
        link.close()


def test_a_worker_of_another_id_is_recognized(
    link: wire_workers.WireWorker, worker: timed_worker.TimedWorker
) -> None:
    worker.worker_id = "i-2"
    answer = link.start(order(), 1.0)
    assert answer.outcome is cluster.OrderOutcome.OTHER_WORKER


def test_ends_are_not_acknowledged_to_the_next_incarnation(
    link: wire_workers.WireWorker, worker: timed_worker.TimedWorker
) -> None:
    """An old number must not acknowledge the run ends of a restarted worker.

    Soak seeds 45 and 49: a worker was back under its id between two polls, and
    the next poll acknowledged ends that nobody had received.
    """
    assert isinstance(link.poll(5, 0, 60_000, 0.0, 0.8), cluster.WorkerReport)
    worker.crash()
    assert link.start(order(payload="1"), 1.0).outcome is (
        cluster.OrderOutcome.DONE
    )
    time.sleep(0.05)
    for _ in range(3):
        link.poll(5, 1, 60_000, 0.0, 0.8)
    report = worker.poll(5, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    assert [end.task for end in report.ends] == [TASK]


def test_ends_are_acknowledged_to_the_same_incarnation(
    link: wire_workers.WireWorker, worker: timed_worker.TimedWorker
) -> None:
    assert link.start(order(payload="1"), 1.0).outcome is (
        cluster.OrderOutcome.DONE
    )
    time.sleep(0.05)
    for _ in range(2):
        assert isinstance(
            link.poll(5, 1, 60_000, 0.0, 0.8), cluster.WorkerReport
        )
    report = worker.poll(5, 0, None, 0.0)
    assert isinstance(report, cluster.WorkerReport)
    assert not report.ends


def test_the_list_of_hosts_shows_a_crashed_worker(
    hosts: wire_hosts.WireHosts, worker: timed_worker.TimedWorker
) -> None:
    (up,) = hosts.list_hosts() or ()
    worker.down = True
    (down,) = hosts.list_hosts() or ()
    assert up == host_record.HostRecord(
        "m-i-1",
        sites.SERVICE,
        host_record.HostState.UP,
        "z1",
        sites.ROOM,
        "r1",
        "i-1",
    )
    assert down == up._replace(state=host_record.HostState.DOWN)


@pytest.mark.parametrize(
    "send",
    [
        lambda hosts: hosts.move("m-i-1", "bench", 5),
        lambda hosts: hosts.move("m-i-1", "rest", 5),
        lambda hosts: hosts.maintain("m-i-1", 1, 5),
    ],
    ids=["move", "release", "maintenance"],
)
def test_an_order_without_an_answer_resets_its_connection(
    monkeypatch: pytest.MonkeyPatch,
    send: Callable[[wire_hosts.WireHosts], cluster.HostOrderOutcome],
) -> None:
    """Otherwise the system goes on sending the order after the call.

    After a partition the service got the orders of a former holder after those
    of its successor, and it does not check the fencing token.
    """
    monkeypatch.setattr(wire_hosts, "CALL_TIMEOUT_SECONDS", 0.1)
    with socket.create_server((ports.ADDRESS, 0)) as listener:
        hosts = wire_hosts.WireHosts(
            f"{ports.ADDRESS}:{listener.getsockname()[1]}", "node-0"
        )
        assert send(hosts) is cluster.HostOrderOutcome.UNKNOWN
        connection, _ = listener.accept()
        with connection, pytest.raises(ConnectionResetError):
            connection.settimeout(2.0)
            while connection.recv(4096):
                pass
