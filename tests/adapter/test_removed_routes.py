"""Tests of requests for jobs whose route has been removed."""

from __future__ import annotations

import time
from typing import cast

import pytest
from werkzeug import test
import wire_callers

from standins import row_store
from tests.machines import batch_site
from wisteriasill import metrics
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.machines import batch_tables
from wisteriasill.machines import job_api
from wisteriasill.machines import queue_records
from wisteriasill.machines import site_node

JOB = "5c0e7a21d94b36f8"
UNKNOWN_JOB = "5c0e7a21d94b36f9"
BODY = {"spec": "text", "steps": [{"count": 1, "cpu": 100}]}
REMAINING = queues.configuration(
    2,
    [batch_site.QUEUE._replace(name="r-2", prefix="/other/")],
    [],
    100_000,
)


class Node:
    """A node that started after the route had been removed."""

    def __init__(self, store: row_store.MemoryRowStore) -> None:
        self.configuration = REMAINING
        self.queues = queue_records.QueueRecords(store)
        self.api = job_api.JobApi(store, known_queues=self.queues)

    def store_age_seconds(self) -> float:
        """Returns a fixed age."""
        return 0.25


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    """A store with a job that a node accepted before the removal."""
    memory_store = row_store.MemoryRowStore()
    former = queue_records.QueueRecords(memory_store)
    former.add(batch_site.CONFIGURATION)
    assert former.store()
    job_api.JobApi(memory_store).submit(
        batch_site.QUEUE,
        JOB,
        job_spec.JobSpec("text", (batch_site.step(),)),
        time.monotonic() + 1.0,
    ).unwrap()
    return memory_store


@pytest.fixture
def node(store: row_store.MemoryRowStore) -> Node:
    return Node(store)


@pytest.fixture
def client(node: Node) -> test.Client:
    node.queues.store()
    return test.Client(
        wire_callers.CallersApplication(
            cast(site_node.SiteNode, node), metrics.Metrics()
        )
    )


def status_of(client: test.Client, method: str, path: str) -> int:
    return client.open(
        path, method=method, json=BODY, base_url="http://a.example/"
    ).status_code


def test_a_job_of_a_removed_route_is_shown_and_cancelled(
    client: test.Client, store: row_store.MemoryRowStore
) -> None:
    """Both answers were 404 while the job went on."""
    shown = client.get(f"/q/{JOB}", base_url="http://a.example/")
    assert (shown.status_code, shown.json) == (200, {"state": "queued"})
    cancelled = client.delete(f"/q/{JOB}", base_url="http://a.example/")
    assert (cancelled.status_code, cancelled.json) == (
        200,
        {"state": "cancelled"},
    )
    records = batch_tables.read_records(store, batch_site.SERVICE)
    assert records is not None
    (row,) = records.rows
    assert row.value is not None
    assert job_spec.decode_row(row.value).cancelled


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("POST", f"/q/{JOB}"),
        ("POST", f"/q/{UNKNOWN_JOB}"),
        ("GET", "/q/"),
        ("GET", f"/q/{UNKNOWN_JOB}"),
        ("DELETE", f"/q/{UNKNOWN_JOB}"),
        ("GET", f"/never/{JOB}"),
        ("DELETE", f"/never/{JOB}"),
    ],
)
def test_a_removed_route_serves_nothing_else(
    client: test.Client, method: str, path: str
) -> None:
    assert status_of(client, method, path) == 404


def test_a_route_that_never_existed_costs_no_call_to_the_store(
    client: test.Client, store: row_store.MemoryRowStore
) -> None:
    store.down = True
    assert status_of(client, "GET", f"/never/{JOB}") == 404


def test_a_job_of_a_route_that_moved_to_another_service_is_shown(
    client: test.Client, node: Node
) -> None:
    """Its rows are in the tables of the former service."""
    node.configuration = queues.configuration(
        3, [batch_site.QUEUE._replace(service="office")], [], 100_000
    )
    assert status_of(client, "GET", f"/q/{JOB}") == 200
    assert status_of(client, "GET", f"/q/{UNKNOWN_JOB}") == 410
    assert status_of(client, "DELETE", f"/q/{JOB}") == 200


def test_a_node_that_has_not_read_the_removed_routes_denies_no_job(
    node: Node, client: test.Client
) -> None:
    node.queues.loaded = False
    assert status_of(client, "GET", f"/q/{JOB}") == 503
    assert status_of(client, "POST", f"/q/{JOB}") == 404
    assert status_of(client, "GET", "/q/") == 404
