"""A pool on stand-ins that tests drive step by step, without threads."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import threading
import time
from typing import cast

import cbor2
from returns import result

from standins import batch_worker
from wisteriasill import metrics
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_pool
from wisteriasill.machines import batch_records
from wisteriasill.machines import site_links
from wisteriasill.machines import worker as workers
from wisteriasill.zones import shard_writer

SERVICE = "bench"
ROOM = job_spec.Resources(16_000, 64_000, 0)
QUEUE = queues.Queue("r-1", "a.example", "/q/", SERVICE, 0, 3, 1.6, 0.6, 3.0)
CONFIGURATION = queues.configuration(
    1, [QUEUE], [queues.ServicePool(SERVICE, True, False)], 100_000
)


def step(
    count: int = 1, cpu: int = 1000, **fields: object
) -> job_spec.StepSpec:
    """Builds a step of tasks that take one second, by default one core each."""
    return job_spec.StepSpec(
        count,
        job_spec.Resources(cpu, 100, 0),
        1.0,
        **fields,  # type: ignore[arg-type]
    )


def job_row(
    job_id: str,
    steps: Sequence[job_spec.StepSpec],
    cancelled: bool = False,
    version: int = 1,
    queue: queues.Queue = QUEUE,
    payload: str = "payload",
) -> cluster.StoredRow:
    """Builds the row of an accepted job."""
    record = job_spec.JobRecord(
        queue.name,
        int(time.time() * 1000),
        cancelled,
        job_spec.JobSpec(payload, tuple(steps)),
        queue.max_attempts,
    )
    return cluster.StoredRow(
        f"jobs.{SERVICE}",
        SERVICE,
        job_id,
        cbor2.dumps(job_spec.encode(record)),
        version,
    )


class OneWorker:
    """A registry with one worker; implements `cluster.WorkerRegistry`."""

    def read(self) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Reads the worker."""
        return result.Success(
            cluster.RegistryPage((worker_entry("w1"),), (), True, 1)
        )

    def watch(
        self, after: int, wait_seconds: float
    ) -> result.Result[cluster.RegistryPage, cluster.StoreFault]:
        """Waits in vain."""
        time.sleep(min(wait_seconds, 0.1))
        return result.Success(cluster.RegistryPage((), (), False, after))


def worker_entry(worker_id: str) -> cluster.WorkerEntry:
    """Builds the registry entry of a worker's first incarnation."""
    return cluster.WorkerEntry(
        worker_id,
        1,
        SERVICE,
        "10.0.0.1:1",
        "zone",
        cluster.WorkerState.READY,
        ROOM,
        ("a", "r1"),
        1,
    )


def new_holder(
    store: cluster.RowStore,
    link: cluster.WorkerLink,
    stopping: threading.Event | None = None,
) -> batch_controller.BatchController:
    """Claims the pool of one worker; the caller opens the holder.

    Args:
        store: The store.
        link: The worker.
        stopping: Ends the retries of transactions.
    """
    writer = shard_writer.ShardWriter(
        store, SERVICE, "n1", stopping or threading.Event()
    )
    assert writer.claim(shard_writer.UNOWNED)
    return batch_controller.BatchController(
        site_links.SiteLinks(
            store=store,
            registry=OneWorker(),
            operators=cast(cluster.OperatorOrders, None),
            hosts=cast(cluster.HostControl, None),
            advice=None,
            open_worker=lambda entry: link,
            metrics=metrics.Metrics(),
        ),
        writer,
        CONFIGURATION,
    )


def join_worker(
    holder: batch_controller.BatchController, link: cluster.WorkerLink
) -> workers.Worker:
    """Adds a worker to a holder without threads, and polls it once."""
    pool = holder.pool
    worker = workers.Worker(
        worker_entry("w1"), link, pool, pool.former_leases_end_at
    )
    pool.add_worker(worker)
    worker.poll_once()
    return worker


class SteppedPool:
    """A pool without threads; the test runs each step of their loops."""

    def __init__(
        self,
        fencing_epoch: int = 1,
        records: Sequence[cluster.StoredRow] = (),
        progress: Sequence[cluster.StoredRow] = (),
    ) -> None:
        self.pool = batch_pool.BatchPool(
            SERVICE,
            fencing_epoch,
            time.monotonic(),
            time.monotonic() + 1000,
            threading.Event(),
        )
        self.pool.configure(CONFIGURATION)
        self.pool.load(
            batch_records.LoadedPool(tuple(records), tuple(progress))
        )
        self.progress_by_id: dict[str, bytes] = {}
        self.orders: collections.deque[workers.WorkerOrder] = (
            collections.deque()
        )

    def add_worker(
        self,
        worker_id: str,
        link: batch_worker.MemoryWorker,
        rack: str = "r1",
        version: int = 1,
    ) -> workers.Worker:
        """Registers a worker without starting its threads.

        Args:
            worker_id: Id of the worker.
            link: The worker.
            rack: Rack of its host.
            version: Store version of its registry entry.
        """
        entry = cluster.WorkerEntry(
            worker_id,
            link.started_ms,
            SERVICE,
            "10.0.0.1:1",
            "zone",
            cluster.WorkerState.READY,
            link.room,
            ("a", rack),
            version,
        )
        worker = workers.Worker(
            entry, link, self.pool, self.pool.former_leases_end_at
        )
        self.pool.add_worker(worker)
        return worker

    def poll(self, worker: workers.Worker) -> None:
        """Polls a worker once, as its thread does."""
        worker.poll_once()

    def run_round(self, now: float | None = None) -> list[batch_job.Run]:
        """Runs one planning round and returns the runs to start."""
        round_at = time.monotonic() if now is None else now
        self.pool.end_expired_runs(round_at)
        self.pool.drain_workers(round_at)
        self.pool.plan(round_at)
        self.pool.handle_stragglers(round_at)
        planned, self.pool.planned = self.pool.planned, []
        for job in self.pool.dirty_job_by_id.values():
            self.progress_by_id[job.job_id] = batch_job.encode_progress(job)
        self.pool.dirty_job_by_id = {}
        for worker in self.pool.worker_by_id.values():
            worker.last_stored_end = worker.last_received_end
        for run in planned:
            if run.state is batch_job.RunState.PLANNED:
                run.state = batch_job.RunState.ORDERED
                run.worker.send(workers.WorkerOrder("start", run))
        return planned

    def deliver(self, worker: workers.Worker) -> None:
        """Sends the queued orders of a worker."""
        while worker.send_once():
            pass

    def progress_rows(self, version: int = 9) -> list[cluster.StoredRow]:
        """Returns the stored progress rows as a new holder reads them."""
        return [
            cluster.StoredRow(
                f"progress.{SERVICE}", SERVICE, key, value, version
            )
            for key, value in self.progress_by_id.items()
        ]
