"""Controller of one pool on a node: plans runs, stores progress, sends orders.

`job_controller` is its counterpart on an entry host.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import itertools
import threading
import time

import cbor2
from returns import result

from wisteriasill import clock as clocks
from wisteriasill import events
from wisteriasill import restarting_task
from wisteriasill.contracts import host_moves
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import overload_policy
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_pool
from wisteriasill.machines import batch_records
from wisteriasill.machines import batch_runs
from wisteriasill.machines import batch_tables
from wisteriasill.machines import batch_watch
from wisteriasill.machines import fleet_rows
from wisteriasill.machines import progress_rows
from wisteriasill.machines import site_links
from wisteriasill.machines import worker as workers
from wisteriasill.zones import shard_writer

# A quarter of the silence after which another node claims the shard.
HEARTBEAT_SECONDS = 0.5
LOAD_CHECK_SECONDS = 0.1  # Interval between computations of the pool's load.
MIN_ROUND_SECONDS = 0.01  # Duration of a store transaction.
MAX_ROUND_INTERVAL_SECONDS = 0.25  # Longest wait between two planning rounds.
# Callers can read the state of an ended job for this long: twice `status_s` of
# the platform's documentation.
ENDED_JOB_TTL_SECONDS = 240.0
COMPACTION_SECONDS = 2.0  # Interval; batches the ended jobs of a partition.
DELETES_PER_ROUND = 20  # Keeps clean-up small beside a round's other writes.


class BatchController:
    """Schedules one pool for as long as this node holds its shard.

    Args:
        links: The platform.
        writer: The shard, already claimed.
        configuration: The configuration in force.
    """

    def __init__(
        self,
        links: site_links.SiteLinks,
        writer: shard_writer.ShardWriter,
        configuration: queues.SiteConfiguration,
    ) -> None:
        self._links = links
        self._writer = writer
        self._service = writer.shard
        self._changed = threading.Event()
        self._closing = threading.Event()
        self._jobs_version = 0
        self._heartbeat_at = 0.0
        self._load_checked_at = 0.0
        self._released_worker_ids: set[str] = set()
        self._needed_cpu = 0
        self._spread = 0
        # Jobs whose rows are being written; guarded by the pool's lock.
        self._storing_ids: frozenset[str] = frozenset()
        self.pool = batch_pool.BatchPool(
            writer.shard,
            writer.epoch,
            writer.stored_at,
            former_leases_end_at(writer),
            self._changed,
            links.orders,
        )
        self.pool.confirmed_at = writer.confirmed_at
        self.pool.configure(configuration)
        self.watcher = batch_watch.PoolWatcher(
            links, self.pool, self._changed, self._closing
        )
        self.lost = False
        self._rounds: threading.Thread | None = None

    @property
    def shard(self) -> str:
        """Name of the shard."""
        return self._service

    def open(self) -> bool:
        """Reads the pool's rows and starts its threads.

        Returns:
            Whether the rows could be read.
        """
        with self._writer.keepalive():
            if not self.load():
                return False
        self.pool.confirmed_at = self._writer.confirmed_at
        self._rounds, _ = (
            restarting_task.start(name, run, self._closing, shard=self.shard)
            for name, run in (
                ("pool rounds", self._run),
                ("record compaction", self._compact_records),
            )
        )
        self.watcher.open(self._jobs_version)
        return True

    def load(self) -> bool:
        """Reads the pool's rows.

        Returns:
            Whether they could be read.
        """
        rows = self._read_rows()
        loads_page = rows and batch_tables.read_all(
            self._links.store, fleet_rows.LOADS_TABLE, self._service
        )
        if rows is None or loads_page is None:
            return False
        self._writer.adopt((*rows.progress, *loads_page.rows))
        self.pool.load(rows)
        self.watcher.read_drain_requests()
        return True

    def close(self, release: bool) -> None:
        """Stops the threads and optionally releases the shard."""
        self._closing.set()
        self._changed.set()
        if self._rounds:
            self._rounds.join(2.0)
        self.pool.close()
        # The next holder relies on no lease being renewed after the release.
        if release and not self.lost:
            self._writer.release()

    def _read_rows(self) -> batch_records.LoadedPool | None:
        records = batch_tables.read_records(self._links.store, self._service)
        progress = records and batch_tables.read_all(
            self._links.store,
            batch_tables.progress_table(self._service),
            self._service,
        )
        if records is None or progress is None:
            return None
        self._jobs_version = records.version
        return batch_records.LoadedPool(records.rows, progress.rows)

    def _run(self) -> None:
        while not self._closing.is_set():
            self._changed.wait(MAX_ROUND_INTERVAL_SECONDS)
            self._changed.clear()
            began = time.monotonic()
            try:
                self.run_round()
            except Exception as error:
                # One failed round must not stop the pool.
                events.log(
                    events.Event.TASK_FAILED,
                    "A planning round of a pool failed",
                    level="ERROR",
                    shard=self._service,
                    error=repr(error),
                )
            elapsed_seconds = time.monotonic() - began
            if elapsed_seconds < MIN_ROUND_SECONDS:
                self._closing.wait(MIN_ROUND_SECONDS - elapsed_seconds)

    def run_round(self) -> None:
        """Plans, stores what has changed, and sends orders."""
        pool = self.pool
        now = time.monotonic()
        pool.end_expired_runs(now)
        pool.drain_workers(now)
        pool.plan(now)
        pool.handle_stragglers(now)
        with pool.lock:
            changed = pool.take_changed(self._writer.response_seconds, now)
            self._storing_ids = frozenset(job.job_id for job in changed.jobs)
        try:
            self._store_and_send(changed, now)
        except Exception:
            pool.return_changed(changed)
            raise

    def _store_and_send(
        self, changed: batch_pool.ChangedJobs, now: float
    ) -> None:
        """Stores the changes of a round, then sends what they allow."""
        pool = self.pool
        refused: list[str] = []
        with pool.lock:
            writes = [
                write
                for job in changed.jobs
                for write in self._encode(job, refused)
            ]
            deletions = self._deletions(now)
        status, load_writes = self._heartbeat(now)
        writes = [*load_writes, *writes, *deletions]
        if writes or status:
            outcome = self._writer.commit(
                writes,
                status,
                shard_writer.RowHandlers(
                    lambda stored: self._send_starts(changed.planned, stored),
                    lambda rows: refused.extend(self._fail_jobs(rows)),
                ),
            )
            if outcome is not shard_writer.CommitOutcome.STORED:
                self._handle_commit_failure(outcome)
                return
            pool.confirmed_at = self._writer.confirmed_at
            with pool.lock:
                self._storing_ids = frozenset()
            self._links.metrics.count("pool_commits")
            self._links.metrics.count("pool_rows_written", len(writes))
        if not refused:
            # Else workers keep their ends until the failed jobs are stored.
            self._acknowledge(changed.last_end_by_worker)

    def _heartbeat(
        self, now: float
    ) -> tuple[bytes | None, list[cluster.RowWrite]]:
        """Returns the heartbeat and the row of the pool's load, if due.

        Every node watches the heartbeats, so they are small; only the fleet
        controller watches the loads.
        """
        if now - self._load_checked_at < LOAD_CHECK_SECONDS:
            return None, []
        self._load_checked_at = now
        load = self.pool.current_load(now)
        backlog = self.pool.published_backlog(now)
        released = {
            worker_id
            for worker_id, worker_load in load.load_by_worker.items()
            if worker_load.released
        }
        if (
            now - self._heartbeat_at < HEARTBEAT_SECONDS
            and released <= self._released_worker_ids
            and load.needed.cpu < self._needed_cpu + self.pool.urgent_cpu_rise()
            and load.spread <= self._spread
        ):
            return None, []
        for worker_id in released - self._released_worker_ids:
            events.log(
                events.Event.HOST_RELEASED,
                "A worker is drained and has no runs left",
                service=self._service,
                worker=worker_id,
            )
        self._set_gauges(load, now)
        self._heartbeat_at = now
        self._released_worker_ids = released
        self._needed_cpu = load.needed.cpu
        self._spread = load.spread
        status: dict[str, object] = {"pending": self.pool.pending_by_queue()}
        if backlog:
            status[shard_writer.BACKLOG_FIELD] = overload_policy.encode(backlog)
        return cbor2.dumps(status), [
            cluster.RowWrite(
                fleet_rows.LOADS_TABLE,
                fleet_rows.LOAD_KEY,
                cbor2.dumps(host_moves.encode_load(load)),
            )
        ]

    def _set_gauges(self, load: host_moves.PoolLoad, now: float) -> None:
        service, node_metrics = self._service, self._links.metrics
        pending = sum(self.pool.pending_by_queue().values())
        worker_count = len(load.load_by_worker)
        node_metrics.set_gauge(f"pool_pending_jobs/{service}", pending)
        node_metrics.set_gauge(f"pool_workers/{service}", worker_count)
        for reason, count in self.pool.take_refused_starts().items():
            node_metrics.count(f"refused_starts_{reason}/{service}", count)
        for name, seconds in self.pool.backlog._asdict().items():
            node_metrics.set_gauge(f"pool_backlog_{name}/{service}", seconds)
        node_metrics.set_gauge(
            f"pool_needed_millicores/{service}", load.needed.cpu
        )
        node_metrics.set_gauge(
            f"shard_store_age_seconds/{service}",
            clocks.boot_seconds() - self.pool.confirmed_at,
        )

    def _compact_records(self) -> None:
        """Shortens rows of jobs whose final state is stored.

        Short rows are deleted when nobody repeats their submissions any more.
        """
        pool = self.pool
        while not self._closing.wait(COMPACTION_SECONDS):
            with pool.lock:
                ended_records = [
                    record
                    for record in pool.ended_records
                    if record.job_id not in pool.dirty_job_by_id
                    and record.job_id not in self._storing_ids
                ]
                pool.ended_records = [
                    record
                    for record in pool.ended_records
                    if record not in ended_records
                ]
            left = ended_records
            try:
                left = self._write_rows(ended_records, job_spec.TOMBSTONE)
            finally:
                with pool.lock:
                    pool.ended_records += left
            self._write_rows(pool.take_expired_rows(time.monotonic()), None)

    def _write_rows(
        self, records: Iterable[batch_runs.EndedRecord], value: bytes | None
    ) -> list[batch_runs.EndedRecord]:
        """Replaces the values of rows of jobs; None deletes the rows.

        Returns:
            The rows of jobs that are left as they were.
        """
        return [
            record
            for partition_key, group in itertools.groupby(
                sorted(records), key=lambda record: record.partition_key
            )
            for record in self._write_partition(partition_key, [*group], value)
        ]

    def _write_partition(
        self,
        partition_key: str,
        ended: list[batch_runs.EndedRecord],
        value: bytes | None,
    ) -> list[batch_runs.EndedRecord]:
        """Replaces rows of a partition, except with others that changed.

        Returns:
            The rows of jobs that are left as they were.
        """
        table = batch_tables.jobs_table(self._service)
        left: list[batch_runs.EndedRecord] = []
        for first in range(0, len(ended), shard_writer.WRITES_PER_TRANSACTION):
            batch = ended[first : first + shard_writer.WRITES_PER_TRANSACTION]
            stored = self._links.store.transact(
                partition_key,
                [
                    cluster.RowVersion(table, record.job_id, record.version)
                    for record in batch
                ],
                [
                    cluster.RowWrite(table, record.job_id, value)
                    for record in batch
                ],
                shard_writer.TRANSACTION_TIMEOUT_SECONDS,
            )
            if not isinstance(stored, result.Success):
                self._links.metrics.count("records_not_shortened", len(batch))
                left += _still_to_shorten(batch, stored.failure())
        return left

    def _deletions(self, now: float) -> list[cluster.RowWrite]:
        """Returns deletions of progress rows of jobs that ended long ago."""
        writes: list[cluster.RowWrite] = []
        table = batch_tables.progress_table(self._service)
        ended_at_by_id = self.pool.ended_at_by_id
        while ended_at_by_id and len(writes) < 2 * DELETES_PER_ROUND:
            job_id, ended_at = next(iter(ended_at_by_id.items()))
            if now - ended_at < ENDED_JOB_TTL_SECONDS:
                break
            del ended_at_by_id[job_id]
            writes.append(cluster.RowWrite(table, job_id, None))
        unused_keys = self.pool.unused_progress_keys
        self.pool.unused_progress_keys = unused_keys[DELETES_PER_ROUND:]
        return writes + [
            cluster.RowWrite(table, key, None)
            for key in unused_keys[:DELETES_PER_ROUND]
        ]

    def _encode(
        self, job: batch_job.Job, refused: list[str]
    ) -> list[cluster.RowWrite]:
        """Returns the rows of a job's progress.

        A job whose rows can't be encoded is failed and added to `refused`, as
        it must not hold up the others.
        """
        table = batch_tables.progress_table(self._service)
        try:
            rows = progress_rows.encode(job, self._links.limits)
        except Exception as error:
            events.log(
                events.Event.ROW_REFUSED,
                "The progress of a job can't be encoded; it is left out",
                level="ERROR",
                shard=self._service,
                table=table,
                key=job.job_id,
                reason=repr(error),
            )
            self.pool.fail_unstorable(job.job_id)
            refused.append(job.job_id)
            return []
        return [cluster.RowWrite(table, *row) for row in rows]

    def _fail_jobs(self, refused: Sequence[cluster.RowWrite]) -> list[str]:
        """Fails the jobs whose progress the store does not accept.

        Returns:
            The ids of the jobs.
        """
        table = batch_tables.progress_table(self._service)
        job_ids = [
            progress_rows.job_id_of(write.key)
            for write in refused
            if write.table == table
        ]
        for job_id in job_ids:
            self.pool.fail_unstorable(job_id)
        return job_ids

    def _send_starts(
        self,
        planned: Sequence[batch_job.Run],
        stored: Sequence[cluster.RowWrite],
    ) -> None:
        """Sends the start orders of jobs whose rows are stored."""
        job_ids = {write.key for write in stored}
        with self.pool.lock:
            for run in planned:
                if (
                    run.task.job_id in job_ids
                    and run.state is batch_job.RunState.PLANNED
                ):
                    run.state = batch_job.RunState.ORDERED
                    run.worker.send(workers.WorkerOrder("start", run))

    def _acknowledge(
        self, last_end_by_worker: Mapping[workers.Worker, int]
    ) -> None:
        """Lets workers forget run ends that are stored."""
        for worker, last_end in last_end_by_worker.items():
            if last_end > worker.last_stored_end:
                worker.last_stored_end = last_end
                worker.wake()

    def _handle_commit_failure(
        self, outcome: shard_writer.CommitOutcome
    ) -> None:
        self.lost = outcome is shard_writer.CommitOutcome.LOST
        self._closing.set()
        if self.lost:
            events.log(
                events.Event.SHARD_LOST,
                "Another node holds the shard",
                level="WARNING",
                shard=self._service,
                epoch=self._writer.epoch,
            )


def _still_to_shorten(
    records: Iterable[batch_runs.EndedRecord], fault: cluster.StoreFault
) -> list[batch_runs.EndedRecord]:
    """Returns the records of a failed transaction that still hold jobs."""
    if fault.kind is not cluster.StoreFaultKind.CONFLICT:
        return [*records]
    row_by_id = {row.key: row for row in fault.rows}
    return [
        record._replace(version=row.version)
        for record in records
        if (row := row_by_id.get(record.job_id))
        and job_spec.holds_job(row.value)
    ]


def former_leases_end_at(writer: shard_writer.ShardWriter) -> float:
    """Returns the monotonic time at which all former leases have expired.

    A holder that released the shard renews no lease afterwards; any other may
    renew leases for a while without reaching the store, also while a later
    holder has come and gone.

    Args:
        writer: The shard, just claimed.
    """
    return workers.LEASE_SECONDS / workers.MIN_CLOCK_RATE + max(
        writer.stored_at,
        writer.seized_at + batch_runs.MAX_STORE_OUTAGE_SECONDS,
    )
