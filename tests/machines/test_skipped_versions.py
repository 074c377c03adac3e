"""Tests of nodes that skip configurations in which a route was elsewhere."""

from __future__ import annotations

import random
import time
from typing import NamedTuple

import pytest
from returns import result

from standins import row_store
from tests.machines import batch_site
from wisteriasill import errors
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.links import submission_relay
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_tables
from wisteriasill.machines import job_api
from wisteriasill.machines import queue_records

JOB = "5c0e7a21d94b36f8"
SPEC = job_spec.JobSpec("payload", (batch_site.step(1),))
VALUE = batch_site.job_row(JOB, SPEC.steps).value or b""
SERVICES = (batch_site.SERVICE, "office", "quoting")
QUEUE_BY_SERVICE = {
    service: batch_site.QUEUE._replace(name=f"r-{service}", service=service)
    for service in SERVICES
}


class Node(NamedTuple):
    """A node of the site."""

    records: queue_records.QueueRecords
    api: job_api.JobApi

    def adopt(self, version: int, service: str) -> None:
        """Applies a configuration that sends the route to a service."""
        queue = QUEUE_BY_SERVICE[service]
        self.records.add(queues.configuration(version, [queue], [], 100_000))

    def submit(self, service: str, seconds: float = 0.3) -> job_api.Outcome:
        """Submits the job; the service is that of the route here."""
        return self.api.submit(
            QUEUE_BY_SERVICE[service], JOB, SPEC, time.monotonic() + seconds
        )

    def show(self, service: str) -> job_api.Outcome:
        """Asks for the job; the service is that of the route here."""
        queue = QUEUE_BY_SERVICE[service]
        return self.api.state_at(
            job_api.JobAddress(queue.host, queue.prefix, JOB, queue)
        )

    def cancel(self, service: str) -> job_api.Outcome:
        """Cancels the job; the service is that of the route here."""
        queue = QUEUE_BY_SERVICE[service]
        return self.api.cancel_at(
            job_api.JobAddress(queue.host, queue.prefix, JOB, queue),
            time.monotonic() + 3.0,
        )


def new_node(store: row_store.MemoryRowStore) -> Node:
    records = queue_records.QueueRecords(store)
    return Node(records, job_api.JobApi(store, known_queues=records))


def kind_of(outcome: job_api.Outcome) -> errors.ErrorKind | None:
    if isinstance(outcome, result.Success):
        return None
    return outcome.failure().kind


def stored_jobs(store: row_store.MemoryRowStore) -> list[str]:
    """Returns the services whose pools would run the job."""
    pages = (
        (each, batch_tables.read_records(store, each)) for each in SERVICES
    )
    return [
        service
        for service, page in pages
        if page
        for row in page.rows
        if job_spec.holds_job(row.value)
    ]


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    return row_store.MemoryRowStore()


@pytest.fixture
def skipping(store: row_store.MemoryRowStore) -> Node:
    """A node that skips version 2, and reads no queues since version 1.

    Another node accepts the job under version 2, in which the route is at the
    office; in versions 1 and 3 it is at the bench.
    """
    skipping, other = new_node(store), new_node(store)
    for node in (skipping, other):
        node.adopt(1, "bench")
        assert node.records.store()
    other.adopt(2, "office")
    assert other.records.store()
    assert isinstance(other.submit("office"), result.Success)
    skipping.adopt(3, "bench")
    return skipping


def test_a_job_accepted_under_a_skipped_version_is_shown(
    skipping: Node,
) -> None:
    """Guards against LOST: the node answered 410 until the next version."""
    assert skipping.show("bench").unwrap() is batch_job.JobState.QUEUED


def test_a_job_accepted_under_a_skipped_version_is_cancelled(
    skipping: Node, store: row_store.MemoryRowStore
) -> None:
    """Guards against UNASKED: the node answered 410, and the job ran on."""
    cancelled = skipping.cancel("bench")
    assert cancelled.unwrap() is batch_job.JobState.CANCELLED
    page = batch_tables.read_records(store, "office")
    assert page
    (row,) = page.rows
    assert row.value
    assert job_spec.decode_row(row.value).cancelled


def test_a_job_accepted_under_a_skipped_version_is_not_stored_twice(
    skipping: Node, store: row_store.MemoryRowStore
) -> None:
    """Guards against TWICE: the bar of version 2 gave way to version 3."""
    skipping.submit("bench")
    assert stored_jobs(store) == ["office"]


def test_no_job_is_accepted_before_its_queue_is_stored(
    store: row_store.MemoryRowStore,
) -> None:
    """Guards against nodes that can't know where a job is.

    Nodes that skip the version learn of its route by the stored queue only.
    """
    node = new_node(store)
    node.adopt(1, "bench")
    assert node.records.refresh()
    outcome = node.submit("bench")
    assert kind_of(outcome) is errors.ErrorKind.ACCEPTANCE_UNKNOWN
    assert not stored_jobs(store)
    assert node.records.store()
    assert isinstance(node.submit("bench"), result.Success)


def test_a_service_that_gets_an_address_first_in_a_stale_version_takes_no_job(
    store: row_store.MemoryRowStore,
) -> None:
    """Guards against TWICE: the newer service was not barred from the job."""
    newer, stale = new_node(store), new_node(store)
    newer.adopt(2, "office")
    assert newer.records.store()
    stale.adopt(1, "bench")
    assert stale.records.store()
    outcome = stale.submit("bench")
    assert kind_of(outcome) is errors.ErrorKind.ACCEPTANCE_UNKNOWN
    assert isinstance(newer.submit("office"), result.Success)
    assert stored_jobs(store) == ["office"]


def test_a_job_is_not_denied_before_its_queue_is_stored(
    store: row_store.MemoryRowStore,
) -> None:
    """Guards against LOST: another node may have accepted it elsewhere."""
    node = new_node(store)
    assert node.records.refresh()
    node.adopt(1, "bench")
    assert kind_of(node.show("bench")) is errors.ErrorKind.NOT_READY
    assert node.records.store()
    assert kind_of(node.show("bench")) is errors.ErrorKind.NO_SUCH_JOB


def test_nodes_that_store_the_same_queues_do_not_wait_for_each_other(
    store: row_store.MemoryRowStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A conflict was retried after 1 s, and the version was replaced then."""
    first, second = new_node(store), new_node(store)
    refresh = second.records.refresh

    def refresh_then_lose() -> bool:
        is_read = refresh()
        assert first.records.store()
        return is_read

    for node in (first, second):
        node.adopt(1, "bench")
    monkeypatch.setattr(second.records, "refresh", refresh_then_lose)
    assert second.records.store()
    assert second.records.is_stored(QUEUE_BY_SERVICE["bench"])


def test_queues_that_other_nodes_store_are_known_without_a_new_version(
    store: row_store.MemoryRowStore,
) -> None:
    """Guards against a view that is read once for each configuration."""
    following, other = new_node(store), new_node(store)
    assert following.records.refresh()
    other.adopt(1, "office")
    assert other.records.store()
    assert following.records.follow(0.0)
    assert following.records.services() == {"office"}
    assert following.records.covers(store.read("queues", "").unwrap().version)


def test_queues_are_read_again_when_the_store_forgets_its_history(
    store: row_store.MemoryRowStore,
) -> None:
    following, other = new_node(store), new_node(store)
    assert following.records.refresh()
    other.adopt(1, "office")
    assert other.records.store()
    following.records.read_version = 1
    store.drop_history()
    assert following.records.follow(0.0)
    assert following.records.services() == {"office"}


@pytest.mark.parametrize("seed", range(30))
def test_no_order_of_versions_and_reads_stores_or_denies_a_job_twice(
    store: row_store.MemoryRowStore, seed: int
) -> None:
    """Nodes skip versions, lag behind, and pause before an insertion."""
    drawn = random.Random(seed)
    service_by_version = {
        version: drawn.choice(SERVICES) for version in range(1, 7)
    }
    version_by_node = {new_node(store): 0 for _ in range(3)}
    paused: list[tuple[Node, job_api.Move]] = []
    accepted = False
    for _ in range(40):
        node = drawn.choice([*version_by_node])
        version = version_by_node[node]
        service = service_by_version.get(version, "")
        action = drawn.choice(("adopt", "store", "submit", "pause", "resume"))
        if action == "adopt" and version < 6:
            version = version_by_node[node] = drawn.randint(version + 1, 6)
            node.adopt(version, service_by_version[version])
        elif action == "store":
            node.records.store()
        elif action == "submit" and version:
            outcome = node.submit(service, 0.17)
            accepted |= isinstance(outcome, result.Success)
        elif action == "pause" and version:
            move = node.api._locate(
                QUEUE_BY_SERVICE[service], JOB, time.monotonic() + 0.01
            )
            if move:
                paused.append((node, move))
        elif action == "resume" and paused:
            resumed, move = paused.pop(drawn.randrange(len(paused)))
            resumed.api._store_unless_barred(
                submission_relay.Submission(move.service, JOB, VALUE),
                time.monotonic() + 1.0,
                move,
            )
        assert len(stored_jobs(store)) <= 1
        assert not accepted or stored_jobs(store)
        version = version_by_node[node]
        if accepted and version:
            shown = node.show(service_by_version[version])
            assert kind_of(shown) in (
                None,
                errors.ErrorKind.NOT_READY,
            )
