"""Tests of a worker's two threads and the pool's beside each other."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time

import pytest

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import worker as workers

TASK = job_spec.TaskKey("j1", 0, 0, 0)


class InterruptedTime(float):
    """A time; another thread runs before it is used in a computation."""

    interrupt: Callable[[], None]

    def __sub__(self, other: float) -> float:
        self.interrupt()
        return float(self) - other


def test_a_lease_does_not_expire_as_the_clock_is_read(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
) -> None:
    """The start of a run on an idle worker must not end its lease.

    The new reading of the worker's clock counted as if it were as old as the
    former one.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    idle_ms = int(1000 * workers.IDLE_POLL_SECONDS)
    now = InterruptedTime(time.monotonic() + workers.IDLE_POLL_SECONDS)

    def grant_lease() -> None:
        clock_ms = link.clock_ms + idle_ms
        worker._lease_until_ms = clock_ms + int(1000 * workers.LEASE_SECONDS)
        worker.record_clock(clock_ms, float(now))

    now.interrupt = grant_lease
    assert not worker.leases_expired(now)


def test_a_worker_that_misses_a_start_after_its_report_is_polled_soon(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It gets no starts until a poll succeeds, and waited 20 s for it.

    The start fails after the report was handled and before the thread that
    polls checks whether the worker is in use.
    """
    worker = site.add_worker("w1", link)
    site.poll(worker)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    site.run_round()
    site.poll(worker)
    monkeypatch.setattr(
        link,
        "start",
        lambda order, timeout_seconds: cluster.OrderAnswer(
            cluster.OrderOutcome.UNREACHABLE
        ),
    )
    site.deliver(worker)
    assert TASK not in worker.run_by_task
    assert not worker.is_reachable
    waits: list[float | None] = []
    monkeypatch.setattr(worker._wake, "wait", waits.append)
    worker._wait_before_poll()
    assert not waits


def test_a_worker_closed_as_it_looks_for_orders_ends_its_thread(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The thread missed the close and waited for orders for good."""
    worker = site.add_worker("w1", link)
    clear = worker._order_ready.clear

    def close_and_clear() -> None:
        worker.close()
        clear()

    monkeypatch.setattr(worker._order_ready, "clear", close_and_clear)
    thread = threading.Thread(target=worker._send_orders, daemon=True)
    thread.start()
    thread.join(1.0)
    assert not thread.is_alive()


def test_a_removed_worker_does_not_spin_until_it_is_closed(
    site: batch_site.SteppedPool,
    link: batch_worker.MemoryWorker,
    started: Callable[..., workers.Worker],
) -> None:
    """Its stops stay due, but are not sent any more."""
    worker = started(batch_site.step(1))
    site.pool.on_record(
        batch_site.job_row(
            "j1", [batch_site.step(1)], cancelled=True, version=2
        )
    )
    worker.is_removed = True
    assert not worker.send_once()
    assert worker._seconds_until_stop() is None
