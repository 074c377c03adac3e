"""Tests of a holder that was paused, and of leases of former holders."""

from __future__ import annotations

import threading

import pytest

from standins import row_store
from tests.machines import batch_site
from wisteriasill import clock
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_runs
from wisteriasill.machines import worker as workers
from wisteriasill.zones import shard_writer

LEASE_SECONDS = workers.LEASE_SECONDS / workers.MIN_CLOCK_RATE


def test_a_suspended_holder_renews_no_lease(
    site: batch_site.SteppedPool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A successor starts the tasks of unreachable workers elsewhere.

    The monotonic clock stands still while a machine is suspended.
    """
    assert site.pool.may_renew()
    resumed_at = clock.boot_seconds() + batch_runs.MAX_STORE_OUTAGE_SECONDS
    monkeypatch.setattr(clock, "boot_seconds", lambda: resumed_at)
    assert not site.pool.may_renew()


def test_a_hand_over_in_between_does_not_shorten_a_cut_holders_leases() -> None:
    """A holder that is cut from the store may renew leases for 6 s.

    The node that seized its pool may release it within this time.
    """
    store = row_store.MemoryRowStore()

    def claim(node: str) -> shard_writer.ShardWriter:
        writer = shard_writer.ShardWriter(store, "s", node, threading.Event())
        assert writer.claim(shard_writer.read_state(store, "s").unwrap())
        return writer

    claim("cut")
    seizing = claim("n2")
    seizing.release()
    third = claim("n3")
    end_at = batch_controller.former_leases_end_at(third)
    assert end_at >= (
        seizing.stored_at + batch_runs.MAX_STORE_OUTAGE_SECONDS + LEASE_SECONDS
    )


def test_leases_of_a_holder_that_released_its_pool_end_soon() -> None:
    store = row_store.MemoryRowStore()
    for node in ("n1", "n2"):
        writer = shard_writer.ShardWriter(store, "s", node, threading.Event())
        assert writer.claim(shard_writer.read_state(store, "s").unwrap())
        writer.release()
    end_at = batch_controller.former_leases_end_at(writer)
    assert end_at == writer.stored_at + LEASE_SECONDS
