"""Tests of full reads of the tables of a pool."""

from __future__ import annotations

import pytest

from standins import row_store
from wisteriasill.links import cluster
from wisteriasill.machines import batch_tables


@pytest.fixture
def store() -> row_store.MemoryRowStore:
    memory_store = row_store.MemoryRowStore()
    memory_store.transact(
        "s", [], [cluster.RowWrite("t", "k", b"1")], 1.0
    ).unwrap()
    return memory_store


def test_a_new_holder_retries_reads_that_the_store_refuses(
    store: row_store.MemoryRowStore,
) -> None:
    """A few refused reads must not make a new holder release the shard.

    Two new holders did so in run trouble-2 at the enlarged Kochi site.
    """
    store.refused_calls = 3
    page = batch_tables.read_all(store, "t", "s")
    assert page is not None
    assert [row.key for row in page.rows] == ["k"]


def test_a_read_fails_when_the_store_stays_unavailable(
    store: row_store.MemoryRowStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(batch_tables, "READ_SECONDS", 0.2)
    store.down = True
    assert batch_tables.read_all(store, "t", "s") is None
