"""Tests of advice over HTTP for pools of different sizes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import threading
import time
from typing import cast

from cheroot import wsgi
import pytest
from returns import result
import wire_hosts

from soak import ports
from standins import batch_worker
from standins import platform_http
from standins import row_store
from tests.machines import batch_site
from wisteriasill import metrics
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_watch
from wisteriasill.machines import site_links

# Times of the users' case (review/10): a call for 48 workers takes 2.36 s.
RULE = queues.AdviceRule(0.2, 0.045, 3.0)
QUICK_RULE = queues.AdviceRule(0.01, 0.0, 3.0)

OpenPool = Callable[
    [platform_http.AdviceService, queues.AdviceRule, int],
    batch_site.SteppedPool,
]


class EmptyRegistry:
    """A registry without entries; implements `cluster.WorkerRegistry`."""

    def read(self) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Reads nothing."""
        return result.Success(cluster.RegistryPage((), (), False, 1))

    def watch(
        self, after: int, wait_seconds: float
    ) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Waits in vain."""
        time.sleep(min(wait_seconds, 0.1))
        return result.Success(cluster.RegistryPage((), (), False, after))


@pytest.fixture
def open_pool() -> Iterator[OpenPool]:
    """Opens pools whose holder asks an advice service over HTTP."""
    closing = threading.Event()
    servers: list[wsgi.Server] = []

    def open_pool(
        service: platform_http.AdviceService,
        rule: queues.AdviceRule,
        workers: int,
    ) -> batch_site.SteppedPool:
        (port,) = ports.free_ports(1)
        servers.append(
            platform_http.serve(ports.ADDRESS, port, service.answer, 8)
        )
        site = batch_site.SteppedPool()
        queue = batch_site.QUEUE._replace(advice=rule)
        site.pool.configure(queues.configuration(2, [queue], [], 1000))
        for number in range(workers):
            link = batch_worker.MemoryWorker(batch_site.ROOM)
            site.poll(site.add_worker(f"w{number:03}", link))
        batch_watch.PoolWatcher(
            site_links.SiteLinks(
                store=row_store.MemoryRowStore(),
                registry=EmptyRegistry(),
                operators=cast(cluster.OperatorOrders, None),
                hosts=cast(cluster.HostControl, None),
                advice=wire_hosts.WireAdvice(f"{ports.ADDRESS}:{port}"),
                open_worker=lambda entry: batch_worker.MemoryWorker(entry.room),
                metrics=metrics.Metrics(),
            ),
            site.pool,
            threading.Event(),
            closing,
        ).open(0)
        return site

    yield open_pool
    closing.set()
    for server in servers:
        server.stop()


def started_tasks(site: batch_site.SteppedPool, seconds: float) -> int:
    """Plans until something starts or the time is up."""
    give_up_at = time.monotonic() + seconds
    while time.monotonic() < give_up_at:
        if runs := site.run_round():
            return len(runs)
        time.sleep(0.02)
    return 0


def test_jobs_with_advice_start_after_their_pool_has_grown(
    open_pool: OpenPool,
) -> None:
    """Guards against a fixed wait for advice beside its declared time.

    A node gave up each call after 2.0 s, whatever the queue declares, and named
    all workers each time, so no job of a pool of 48 workers ever started.
    """
    site = open_pool(platform_http.AdviceService(RULE), RULE, 48)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(4)]))
    assert started_tasks(site, 6.0) == 4


def test_a_call_may_take_as_long_as_its_queue_declares(
    open_pool: OpenPool,
) -> None:
    """Guards against a limit that suits the usual declared times only."""
    rule = queues.AdviceRule(2.5, 0.0, 3.0)
    site = open_pool(platform_http.AdviceService(rule), rule, 1)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    assert started_tasks(site, 5.0) == 1


def test_a_service_that_allows_no_worker_is_asked_again_after_pauses(
    open_pool: OpenPool,
) -> None:
    """Guards against a thread that asks again at once for ever."""
    rule = queues.AdviceRule(0.0, 0.0, 0.0)
    service = platform_http.AdviceService(rule, allowed_ids=())
    site = open_pool(service, rule, 2)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    assert not started_tasks(site, 1.5)
    assert 2 <= len(service.named_by_call) <= 8


def test_workers_beyond_one_call_are_asked_about_too(
    open_pool: OpenPool,
) -> None:
    """Guards against calls that name the same workers each time.

    A step that only workers behind the first hundred may run waited for good.
    """
    service = platform_http.AdviceService(QUICK_RULE, allowed_ids={"w129"})
    site = open_pool(service, QUICK_RULE, 130)
    site.pool.on_record(batch_site.job_row("j1", [batch_site.step(1)]))
    assert started_tasks(site, 3.0) == 1
    named = [worker for call in service.named_by_call for worker in call]
    assert len(named) == len(set(named))
