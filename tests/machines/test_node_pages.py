"""Tests of the pages that a node serves to operators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import json
import threading

import cbor2
from cheroot import wsgi
import pytest

from standins import batch_worker
from standins import row_store
from tests.commands import conftest
from tests.machines import batch_site
from wisteriasill import events
from wisteriasill import metrics
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_pool
from wisteriasill.machines import fleet_rows
from wisteriasill.machines import node_pages
from wisteriasill.machines import node_views
from wisteriasill.zones import shard_writer

JOB = "5c0e7a21d94b36f8"

run = conftest.run


class KnownSite:
    """Implements `node_views.KnownSite`: this node holds one of two pools."""

    def __init__(self, pool: batch_pool.BatchPool) -> None:
        self.name = "entry-1"
        self.availability_zone = "zone-a"
        self.configuration: queues.SiteConfiguration | None = (
            batch_site.CONFIGURATION
        )
        self.wave_by_number = {7: queues.WaveOrder(7, ("h1", "h2"), 2.0, 1)}
        self.store = row_store.MemoryRowStore()
        self.ready = True
        self._pool = pool

    def shards(self) -> dict[str, shard_writer.ShardState]:
        """Returns one shard held by this node and one held by another."""
        return {
            batch_site.SERVICE: shard_writer.ShardState("entry-1", 5, 6, {}),
            "office": shard_writer.ShardState(
                "entry-2", 8, 9, {"pending": {"r-9": 4}}
            ),
        }

    def pools(self) -> dict[str, batch_pool.BatchPool]:
        """Returns the pool that this node holds."""
        return {batch_site.SERVICE: self._pool}

    def store_age_seconds(self) -> float:
        """Returns a fixed age."""
        return 0.25


@pytest.fixture
def site() -> KnownSite:
    stepped_pool = batch_site.SteppedPool(
        records=[batch_site.job_row(JOB, [batch_site.step(3)])]
    )
    worker = stepped_pool.add_worker(
        "w1", batch_worker.MemoryWorker(batch_site.ROOM)
    )
    stepped_pool.poll(worker)
    stepped_pool.run_round()
    return KnownSite(stepped_pool.pool)


@pytest.fixture
def address(site: KnownSite, monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    """Serves the pages as a node does and directs the commands there."""
    server = wsgi.Server(
        ("127.0.0.1", 0),
        node_pages.NodePages(node_views.NodeViews(site), metrics.Metrics()),
        numthreads=2,
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    url = f"http://127.0.0.1:{server.bind_addr[1]}"
    monkeypatch.setenv("WISTERIASILL_ENTRY", url)
    yield url
    server.stop()


Run = Callable[..., conftest.Outcome]


def test_status_names_the_holder_of_each_pool(run: Run, address: str) -> None:
    outcome = run("status")
    assert outcome.status == 0
    assert outcome.output.startswith("availability zone zone-a, generation 1\n")
    assert "as known to entry-1, 0.2 s ago at most" in outcome.output
    rows = json.loads(run("status", "--json").output)["pools"]
    assert rows[0]["holder"] == "entry-1"
    assert rows[0]["hosts_usable"] == 1
    assert rows[0]["tasks_running"] == 3
    assert rows[1] == {"pool": "office", "holder": "entry-2", "jobs_waiting": 4}


def test_jobs_are_listed_by_the_node_that_holds_their_pool(
    run: Run, address: str
) -> None:
    outcome = run("jobs", "--pool", batch_site.SERVICE)
    assert JOB in outcome.output
    assert "pool office is controlled by entry-2" in outcome.output
    row = json.loads(run("jobs", "--json").output)["jobs"][0]
    assert (row["tasks"], row["tasks_running"]) == (3, 3)
    assert JOB not in run("jobs", "--state", "queued").output


def test_waves_show_their_progress_in_the_store(
    run: Run, address: str, site: KnownSite
) -> None:
    site.store.transact(
        fleet_rows.SHARD,
        [],
        [cluster.RowWrite(fleet_rows.TABLE, "7", cbor2.dumps(["h1"]))],
        1.0,
    ).unwrap()
    row = json.loads(run("waves", "--json").output)["waves"][0]
    assert (row["hosts_done"], row["hosts_total"], row["state"]) == (
        1,
        2,
        "running",
    )


def test_an_unreachable_store_is_reported(
    run: Run, address: str, site: KnownSite
) -> None:
    site.store.down = True
    assert "the store does not answer" in run("waves").output


def test_events_are_listed(run: Run, address: str) -> None:
    events.log(events.Event.RELOADED, "The settings file was read again")
    assert "The settings file was read again" in run("events").output


def test_an_unknown_page_is_reported(address: str, run: Run) -> None:
    outcome = run("hosts")
    assert outcome.status == 1
    assert "no page /v1/hosts" in outcome.errors
