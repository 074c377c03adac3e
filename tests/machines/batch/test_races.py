"""Tests of a worker's two threads and the pool's beside each other."""

from __future__ import annotations

from collections.abc import Callable
import time

from standins import batch_worker
from tests.machines import batch_site
from wisteriasill.machines import worker as workers


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
