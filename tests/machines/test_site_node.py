"""Tests of a node that starts, serves and shuts down."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import cast

import pytest
from returns import result

from standins import row_store
from tests import waiting
from tests.machines import batch_site
from wisteriasill import metrics
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import fleet_controller
from wisteriasill.machines import fleet_rows
from wisteriasill.machines import queue_records
from wisteriasill.machines import site_links
from wisteriasill.machines import site_node


class OneConfiguration:
    """Implements `cluster.OperatorOrders` with a configuration to replace."""

    def __init__(self) -> None:
        self._configuration = batch_site.CONFIGURATION

    def publish(self, version: int) -> None:
        """Replaces the configuration by one that differs in its version."""
        self._configuration = self._configuration._replace(version=version)

    def replace_queue(self, version: int, queue: queues.Queue) -> None:
        """Publishes another definition of the only queue."""
        self._configuration = queues.configuration(
            version,
            [queue],
            [queues.ServicePool(queue.service, True, False)],
            100_000,
        )

    def remove_all(self, version: int) -> None:
        """Removes all queues and services."""
        self._configuration = queues.configuration(version, [], [], 100_000)

    def read(self) -> result.Result[cluster.OperatorPage, cluster.StoreFault]:
        """Reads the configuration."""
        return result.Success(
            cluster.OperatorPage(
                self._configuration, (), self._configuration.version
            )
        )

    def watch(
        self, after: int, wait_seconds: float
    ) -> result.Result[cluster.OperatorPage, cluster.StoreFault]:
        """Reads the configuration once it is newer, or after the wait."""
        waiting.wait_until(
            lambda: self._configuration.version > after, wait_seconds
        )
        return self.read()

    def report_wave(
        self, number: int, finished: bool
    ) -> result.Result[int, cluster.StoreFault]:
        """Accepts a report."""
        return result.Success(1)


@pytest.fixture
def operators() -> OneConfiguration:
    return OneConfiguration()


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    """A store that refuses all calls until the test lets it respond."""
    new_store = row_store.MemoryRowStore()
    new_store.down = True
    return new_store


@pytest.fixture
def node(
    operators: OneConfiguration, store: row_store.MemoryRowStore
) -> Iterator[site_node.SiteNode]:
    """A started node, whose store refuses all shards."""
    new_node = site_node.SiteNode(
        site_node.NodeSettings("n1", "zone-a", 6.0),
        site_links.SiteLinks(
            store=store,
            registry=cast(cluster.WorkerRegistry, None),
            operators=operators,
            hosts=cast(cluster.HostControl, None),
            advice=None,
            open_worker=lambda entry: cast(cluster.WorkerLink, None),
            metrics=metrics.Metrics(),
        ),
    )
    new_node.start()
    yield new_node
    new_node.stop()
    new_node.close()


def version_in_force(node: site_node.SiteNode) -> int:
    configuration: queues.SiteConfiguration | None = node.configuration
    return configuration.version if configuration else 0


def test_a_node_that_shuts_down_serves_by_the_newest_configuration(
    node: site_node.SiteNode, operators: OneConfiguration
) -> None:
    """Callers on open connections were answered by replaced versions."""
    assert waiting.wait_until(lambda: version_in_force(node) == 1)
    node.stop()
    # A long poll that was under way at the stop must not hide the fault.
    operators.publish(2)
    assert waiting.wait_until(lambda: version_in_force(node) == 2)
    operators.publish(3)
    assert waiting.wait_until(lambda: version_in_force(node) == 3)


def test_the_pool_of_a_removed_queue_is_checked_for_a_holder(
    node: site_node.SiteNode,
    operators: OneConfiguration,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its stored jobs must run on after a restart of its holder."""
    assert waiting.wait_until(lambda: version_in_force(node) == 1)
    checked: list[tuple[Collection[str], Collection[str]]] = []
    monkeypatch.setattr(
        node._claims,
        "run_once",
        lambda shards, former_shards: checked.append((shards, former_shards)),
    )
    operators.remove_all(2)
    assert waiting.wait_until(
        lambda: ([fleet_rows.SHARD], [batch_site.SERVICE]) in checked
    )


def test_the_pool_of_a_queue_that_another_node_stored_is_claimed(
    node: site_node.SiteNode,
    store: row_store.MemoryRowStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against LOST: a node skips the version that had the queue.

    It read the stored queues once for each version that it applied, and no node
    claims a pool that it doesn't know.
    """
    for controller in (
        batch_controller.BatchController,
        fleet_controller.FleetController,
    ):
        monkeypatch.setattr(controller, "open", lambda controller: True)
    store.down = False
    assert waiting.wait_until(lambda: batch_site.SERVICE in node.pools(), 5.0)
    other = queue_records.QueueRecords(store)
    queue = batch_site.QUEUE._replace(name="r-2", service="office")
    other.add(queues.configuration(2, [queue], [], 100_000))
    assert other.store()
    assert waiting.wait_until(lambda: "office" in node.pools(), 5.0)
    assert node.pools()["office"]._queue_by_name["r-2"].service == "office"


def test_a_pool_that_is_being_opened_gets_a_new_configuration(
    node: site_node.SiteNode,
    operators: OneConfiguration,
    store: row_store.MemoryRowStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It kept the queues of the former one until the next change."""
    changed = batch_site.QUEUE._replace(priority=7)

    def open_slowly(controller: batch_controller.BatchController) -> bool:
        operators.replace_queue(2, changed)
        return waiting.wait_until(lambda: version_in_force(node) == 2)

    monkeypatch.setattr(batch_controller.BatchController, "open", open_slowly)
    monkeypatch.setattr(
        fleet_controller.FleetController, "open", lambda controller: True
    )
    store.down = False
    assert waiting.wait_until(lambda: batch_site.SERVICE in node.pools())
    pool = node.pools()[batch_site.SERVICE]
    assert waiting.wait_until(
        lambda: pool._queue_by_name[changed.name] == changed
    )
