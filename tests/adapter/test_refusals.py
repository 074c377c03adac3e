"""Tests that each failed request is logged with its job id."""

from __future__ import annotations

from typing import cast

import pytest
from werkzeug import test
import wire_callers

from standins import row_store
from tests.machines import batch_site
from wisteriasill import events
from wisteriasill import metrics
from wisteriasill.contracts import queue as queues
from wisteriasill.machines import job_api
from wisteriasill.machines import site_node

JOB = "5c0e7a21d94b36f8"


class Node:
    """A node with its own store and no configuration yet."""

    def __init__(self) -> None:
        self.configuration: queues.SiteConfiguration | None = None
        self.store = row_store.MemoryRowStore()
        self.api = job_api.JobApi(self.store)

    def store_age_seconds(self) -> float:
        """Returns a fixed age."""
        return 0.25


@pytest.fixture
def node() -> Node:
    return Node()


@pytest.fixture
def client(node: Node) -> test.Client:
    return test.Client(
        wire_callers.CallersApplication(
            cast(site_node.SiteNode, node), metrics.Metrics()
        )
    )


def last_line(sequence: int) -> events.Occurrence:
    return events.RECENT.after(sequence)[-1]


def last_sequence() -> int:
    occurrences = events.RECENT.after(0)
    return occurrences[-1].sequence if occurrences else 0


def test_a_node_without_a_configuration_logs_refused_requests(
    client: test.Client,
) -> None:
    """A request before the first configuration must be logged too.

    A 503 at 35.018 s was not logged in run hunt-44b5-15 at Mandacaru.
    """
    before = last_sequence()
    answer = client.post(f"/q/{JOB}", base_url="http://a.example/")
    line = last_line(before)
    assert answer.status_code == 503
    assert line.event == events.Event.REQUEST_FAILED
    assert line.fields["job"] == JOB
    assert line.fields["status"] == "503"


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", f"/q/{JOB}", 410),
        ("DELETE", f"/q/{JOB}", 410),
        ("PUT", f"/q/{JOB}", 405),
        ("POST", "/q/no-id", 400),
        ("POST", f"/q/{JOB}", 400),
        ("POST", f"/elsewhere/{JOB}", 404),
    ],
)
def test_refusals_are_logged_with_their_reason(
    node: Node, client: test.Client, method: str, path: str, status: int
) -> None:
    node.configuration = batch_site.CONFIGURATION
    before = last_sequence()
    answer = client.open(path, method=method, base_url="http://a.example/")
    line = last_line(before)
    assert answer.status_code == status
    assert line.event == events.Event.REQUEST_FAILED
    assert line.fields["status"] == str(status)
    assert line.fields["job"] == path.rpartition("/")[2]
    assert line.fields["configuration"] == "1"
    assert line.fields["store_age_seconds"] == "0.25"
    assert line.fields["stopping"] == "False"
