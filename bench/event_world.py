"""A pool with its holders, in simulated time and without threads.

The holders are real: `BatchController` with its pool, its workers' clients and
its writer, on an in-memory store. Workers and the calls to them are simulated.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
import itertools
import random
from typing import NamedTuple, cast

from returns import result

from bench import event_workers
from bench import failure_book
from standins import row_store
from standins import timed_worker
from wisteriasill import metrics
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_controller
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_tables
from wisteriasill.machines import job_api
from wisteriasill.machines import site_links
from wisteriasill.machines import worker as workers
from wisteriasill.zones import shard_writer

WORKERS = 2
MAX_ATTEMPTS = 3
QUEUE = queues.Queue(
    "r-1",
    "a.example",
    "/q/",
    event_workers.SERVICE,
    0,
    MAX_ATTEMPTS,
    1.6,
    0.6,
    3.0,
)
CONFIGURATION = queues.configuration(
    1,
    [QUEUE],
    [queues.ServicePool(event_workers.SERVICE, True, False)],
    100_000,
)
CALL_SECONDS = 0.01  # Time that each call takes.
CALLER_SECONDS = 3.0  # How long callers wait for a response.


class SimulatedLink:
    """A holder's connection to a worker; implements `cluster.WorkerLink`."""

    def __init__(
        self,
        world: World,
        worker: event_workers.SimulatedWorker,
        started_ms: int,
    ) -> None:
        self._world = world
        self._worker = worker
        self._started_ms = started_ms
        self._heard_ms = 0
        self.is_cut = False

    def start(
        self, order: cluster.StartOrder, timeout_seconds: float
    ) -> cluster.OrderAnswer:
        """Starts a run in the incarnation that the link was opened for."""
        if not self._worker.is_down and (
            self._worker.started_ms != self._started_ms
        ):
            self._world.clock.advance(CALL_SECONDS)
            return cluster.OrderAnswer(cluster.OrderOutcome.OTHER_WORKER)
        return self._call(lambda: self._worker.start(order))

    def stop(
        self,
        task: job_spec.TaskKey,
        run: int,
        fencing_epoch: int,
        timeout_seconds: float,
    ) -> cluster.OrderAnswer:
        """Stops a run."""
        return self._call(lambda: self._worker.stop(task, run, fencing_epoch))

    def pace(
        self,
        task: job_spec.TaskKey,
        run: int,
        percent: int,
        fencing_epoch: int,
        timeout_seconds: float,
    ) -> cluster.OrderAnswer:
        """Does nothing, as no task here is best effort."""
        return cluster.OrderAnswer(cluster.OrderOutcome.DONE)

    def poll(
        self,
        fencing_epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Polls the worker.

        An end is acknowledged only to an incarnation that this link has heard,
        as the platform's adapter does.
        """
        self._world.clock.advance(CALL_SECONDS)
        fault = self._world.take_fault()
        if (
            self._worker.is_down
            or self.is_cut
            or fault is event_workers.CallFault.LOST
        ):
            return cluster.OrderOutcome.UNKNOWN
        heard = self._heard_ms == self._worker.started_ms
        answer = self._worker.poll(
            fencing_epoch, acknowledged if heard else 0, lease_until_ms
        )
        if fault is not event_workers.CallFault.NONE:
            return cluster.OrderOutcome.UNKNOWN
        if isinstance(answer, cluster.WorkerReport):
            self._heard_ms = answer.started_ms
        return answer

    def close(self) -> None:
        """Does nothing, because there are no connections."""

    def lose_connection(self) -> None:
        """Closes the idle connection, as a worker does after a while."""
        self._heard_ms = 0

    def _call(
        self, execute: Callable[[], cluster.OrderAnswer]
    ) -> cluster.OrderAnswer:
        self._world.clock.advance(CALL_SECONDS)
        fault = self._world.take_fault()
        if self._worker.is_down:
            return cluster.OrderAnswer(cluster.OrderOutcome.UNREACHABLE)
        if self.is_cut or fault is event_workers.CallFault.LOST:
            return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
        if fault is event_workers.CallFault.REFUSED:
            return cluster.OrderAnswer(cluster.OrderOutcome.UNHEALTHY)
        if fault is event_workers.CallFault.LATE:
            self._world.add_late_call(self._worker, execute)
            return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
        answer = execute()
        if fault is event_workers.CallFault.ANSWER_LOST:
            return cluster.OrderAnswer(cluster.OrderOutcome.UNKNOWN)
        return answer


class FaultyStore(row_store.MemoryRowStore):
    """A store of which some transactions of the pool raise an error.

    Attributes:
        fault_after: Whether the next such transaction is stored before its
            error; None if it is answered.
    """

    fault_after: bool | None = None

    def transact(
        self,
        partition_key: str,
        required: Sequence[cluster.RowVersion],
        writes: Sequence[cluster.RowWrite],
        timeout_seconds: float,
    ) -> result.Result[int, cluster.StoreFault]:
        """Stores rows, or raises an error."""
        fault_after = (
            self.fault_after if partition_key == event_workers.SERVICE else None
        )
        if fault_after is not None:
            self.fault_after = None
        if fault_after is False:
            raise RuntimeError("injected before the transaction")
        written = super().transact(
            partition_key, required, writes, timeout_seconds
        )
        if fault_after:
            raise RuntimeError("injected after the transaction")
        return written


class Holder:
    """A node that holds the pool, or held it and may not know better.

    Attributes:
        links: Its connections to workers, with those that are not used any
            more.
        records_version: Store version up to which it has watched job rows.
    """

    def __init__(
        self,
        controller: batch_controller.BatchController,
        links: list[SimulatedLink],
        records_version: int,
    ) -> None:
        self.controller = controller
        self.links = links
        self.records_version = records_version

    def workers(self) -> list[workers.Worker]:
        """Returns the workers that it knows, in the order of their ids."""
        by_id = self.controller.pool.worker_by_id
        return [by_id[worker_id] for worker_id in sorted(by_id)]


class LateCall(NamedTuple):
    """A call that gets no response and is executed later."""

    worker: event_workers.SimulatedWorker
    started_ms: int
    execute: Callable[[], cluster.OrderAnswer]


class World:
    """A pool with its holders, workers and callers.

    Attributes:
        holders: The present holder, last, and former ones that still act.
        failures: The failed runs, and the starts after them.
        accepted: Specifications of the accepted jobs by id.
        cancelled_ids: Jobs whose cancellation was acknowledged.
        faults: What becomes of the next calls to workers.
        late_calls: Calls that are still to be executed.
    """

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.clock = event_workers.SimulatedTime()
        self.log = timed_worker.RunLog()
        self.failures = failure_book.FailureBook(MAX_ATTEMPTS)
        self.store = FaultyStore()
        self.api = job_api.JobApi(self.store)
        self.worker_by_id = {
            f"w{number}": event_workers.SimulatedWorker(
                f"w{number}",
                self.clock,
                self.log,
                rng.uniform(0.98, 1.0),
                self.failures,
            )
            for number in range(WORKERS)
        }
        for worker in self.worker_by_id.values():
            self.register(worker)
        self.holders: list[Holder] = []
        self.accepted: dict[str, job_spec.JobSpec] = {}
        self.cancelled_ids: set[str] = set()
        self.faults: list[event_workers.CallFault] = []
        self.late_calls: list[LateCall] = []
        self._down_version_by_id: dict[str, int] = {}
        self._nodes = itertools.count(1)

    def take_fault(self) -> event_workers.CallFault:
        """Returns what becomes of a call."""
        return (
            self.faults.pop(0) if self.faults else event_workers.CallFault.NONE
        )

    def add_late_call(
        self,
        worker: event_workers.SimulatedWorker,
        execute: Callable[[], cluster.OrderAnswer],
    ) -> None:
        """Keeps a call for later; a crash of the worker drops it."""
        self.late_calls.append(LateCall(worker, worker.started_ms, execute))

    def violations(self) -> list[str]:
        """Returns the rules that were broken until now."""
        return [
            *self.log.violations,
            *self.failures.violations(
                lambda task: self.accepted[task.job_id].lasting
            ),
        ]

    def execute_late(self, call: LateCall) -> None:
        """Executes a call that was delayed."""
        self.late_calls.remove(call)
        if (
            not call.worker.is_down
            and call.worker.started_ms == call.started_ms
        ):
            call.execute()

    def register(self, worker: event_workers.SimulatedWorker) -> None:
        """Registers the present incarnation of a worker."""
        write = cluster.RowWrite("registry", worker.worker_id, b"")
        version = self.store.transact("", [], [write], 1.0).unwrap()
        worker.start_incarnation(version)

    def submit(self, job_id: str, spec: job_spec.JobSpec) -> None:
        """Submits a job, perhaps again."""
        answer = self.api.submit(
            QUEUE, job_id, spec, self.clock.now + CALLER_SECONDS
        )
        if isinstance(answer, result.Success):
            self.accepted.setdefault(job_id, spec)

    def cancel(self, job_id: str) -> None:
        """Cancels a job."""
        answer = self.api.cancel(QUEUE, job_id, self.clock.now + CALLER_SECONDS)
        if isinstance(answer, result.Success):
            self.cancelled_ids.add(job_id)

    def state(self, job_id: str) -> batch_job.JobState | None:
        """Returns the state of a job as callers see it."""
        return self.api.state(QUEUE, job_id).value_or(None)

    def take_over(self, releases: bool) -> None:
        """Has a new node hold the pool.

        Args:
            releases: Whether the present holder releases the pool before.
        """
        if releases and self.holders:
            self.holders.pop().controller.close(release=True)
        writer = shard_writer.ShardWriter(
            self.store,
            event_workers.SERVICE,
            f"node-{next(self._nodes)}",
            event_workers.SimulatedWait(self.clock),
        )
        links: list[SimulatedLink] = []

        def open_worker(entry: cluster.WorkerEntry) -> SimulatedLink:
            link = SimulatedLink(
                self, self.worker_by_id[entry.worker_id], entry.started_ms
            )
            links.append(link)
            return link

        seen = shard_writer.read_state(
            self.store, event_workers.SERVICE
        ).unwrap()
        assert writer.claim(seen)
        controller = batch_controller.BatchController(
            site_links.SiteLinks(
                store=self.store,
                registry=cast(cluster.WorkerRegistry, None),
                operators=cast(cluster.OperatorOrders, None),
                hosts=cast(cluster.HostControl, None),
                advice=None,
                open_worker=open_worker,
                metrics=metrics.Metrics(),
            ),
            writer,
            CONFIGURATION,
        )
        version = self._version()
        assert controller.load()
        self.holders.append(Holder(controller, links, version))

    def run_round(self, holder: Holder) -> None:
        """Runs a planning round; a holder that lost the pool leaves."""
        self.clock.advance(CALL_SECONDS)
        try:
            holder.controller.run_round()
        except RuntimeError:
            return  # The thread of rounds goes on after an error.
        if holder.controller.lost:
            holder.controller.close(release=False)
            self.holders.remove(holder)

    def read_records(self, holder: Holder) -> None:
        """Hands changed job rows to a holder, as its watch does."""
        page = self.store.watch(
            batch_tables.jobs_table(event_workers.SERVICE),
            holder.records_version,
            0.0,
        ).unwrap()
        holder.controller.watcher.apply_records(page.rows)
        holder.records_version = page.version

    def read_registry(self, holder: Holder, worker_ids: Iterable[str]) -> None:
        """Hands the entries of some workers to a holder, as its watch does."""
        entries = tuple(
            self.worker_by_id[worker_id].entry for worker_id in worker_ids
        )
        holder.controller.watcher.apply_entries(
            cluster.RegistryPage(entries, (), False, entries[-1].version)
        )

    def list_down_workers(self) -> None:
        """Reads the list of hosts for the workers that are down."""
        version = self._version()
        self._down_version_by_id |= {
            worker.worker_id: version
            for worker in self.worker_by_id.values()
            if worker.is_down
        }

    def read_down_workers(self, holder: Holder) -> None:
        """Hands the list of hosts, as last read, to a holder."""
        holder.controller.pool.set_down_workers(self._down_version_by_id)

    def _version(self) -> int:
        return self.store.read("", "").unwrap().version
