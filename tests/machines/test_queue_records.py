"""Tests of the stored definitions of queues."""

from __future__ import annotations

import pytest

from standins import row_store
from tests.machines import batch_site
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_tables
from wisteriasill.machines import queue_records

ADVISED = batch_site.QUEUE._replace(
    name="r-2",
    prefix="/advised/",
    service="office",
    priority=1,
    timeout_seconds=0.0,
    advice=queues.AdviceRule(0.1, 0.01, 5.0),
)


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    return row_store.MemoryRowStore()


def configuration(
    version: int, *listed: queues.Queue
) -> queues.SiteConfiguration:
    return queues.configuration(version, listed, [], 100_000)


def recorded(
    store: row_store.MemoryRowStore, *applied: queues.SiteConfiguration
) -> queue_records.QueueRecords:
    """Returns the records of a node that has applied configurations."""
    records = queue_records.QueueRecords(store)
    for each in applied:
        records.add(each)
    assert records.store()
    return records


def stored_rows(store: row_store.MemoryRowStore) -> list[cluster.StoredRow]:
    page = store.read(queue_records.TABLE, queue_records.PARTITION)
    return [*page.unwrap().rows]


def test_a_node_that_starts_later_knows_the_removed_queues(
    store: row_store.MemoryRowStore,
) -> None:
    recorded(store, configuration(1, batch_site.QUEUE, ADVISED))
    later = recorded(store, configuration(2, batch_site.QUEUE))
    assert later.at(ADVISED.host, ADVISED.prefix) == (ADVISED,)
    assert later.of_service("office") == {"r-2": ADVISED}
    assert later.services() == {batch_site.SERVICE, "office"}


def test_a_node_knows_queues_of_configurations_that_it_missed(
    store: row_store.MemoryRowStore,
) -> None:
    behind = recorded(store, configuration(1, batch_site.QUEUE))
    recorded(store, configuration(2, batch_site.QUEUE, ADVISED))
    behind.add(configuration(3, batch_site.QUEUE))
    assert behind.store()
    assert behind.at(ADVISED.host, ADVISED.prefix) == (ADVISED,)


def test_queues_that_could_not_be_stored_are_stored_later(
    store: row_store.MemoryRowStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The queue may have been removed when the store is back."""
    monkeypatch.setattr(batch_tables, "READ_SECONDS", 0.0)
    records = queue_records.QueueRecords(store)
    records.add(configuration(1, ADVISED))
    store.down = True
    assert not records.store()
    assert not records.loaded
    store.down = False
    records.add(configuration(2, batch_site.QUEUE))
    assert records.store()
    assert recorded(store).services() == {batch_site.SERVICE, "office"}


def test_an_address_that_moved_to_another_service_names_both(
    store: row_store.MemoryRowStore,
) -> None:
    moved = ADVISED._replace(service="quoting")
    records = recorded(
        store, configuration(1, ADVISED), configuration(2, moved)
    )
    assert records.at(ADVISED.host, ADVISED.prefix) == (moved, ADVISED)


def test_only_changed_queues_are_written(
    store: row_store.MemoryRowStore,
) -> None:
    recorded(store, configuration(1, batch_site.QUEUE, ADVISED))
    before = stored_rows(store)
    recorded(
        store,
        configuration(
            2, batch_site.QUEUE._replace(timeout_seconds=9.0), ADVISED
        ),
    )
    assert stored_rows(store) == before
    recorded(
        store,
        configuration(3, batch_site.QUEUE._replace(priority=4), ADVISED),
    )
    changed = [row for row in stored_rows(store) if row not in before]
    assert len(changed) == 1


def test_a_node_that_lags_behind_restores_no_older_definition(
    store: row_store.MemoryRowStore,
) -> None:
    recorded(store, configuration(2, ADVISED._replace(priority=4)))
    behind = recorded(store, configuration(1, ADVISED))
    assert behind.of_service("office")["r-2"].priority == 4
    assert recorded(store).of_service("office")["r-2"].priority == 4


@pytest.mark.parametrize("value", [b"-", b"\x80", b"\xff", b"\x83\x01\x02\x03"])
def test_a_row_that_cannot_be_read_hides_no_other(
    store: row_store.MemoryRowStore, value: bytes
) -> None:
    recorded(store, configuration(1, ADVISED))
    store.transact(
        queue_records.PARTITION,
        [],
        [cluster.RowWrite(queue_records.TABLE, "k", value)],
        1.0,
    )
    assert recorded(store).services() == {"office"}


def test_fields_that_a_later_release_appends_are_ignored() -> None:
    known = queue_records.KnownQueue(ADVISED, 5)
    value = queue_records.encode(known)
    assert value[:1] == b"\x8a"  # A list of ten fields.
    assert queue_records.decode(b"\x8b" + value[1:] + b"\x01") == known
