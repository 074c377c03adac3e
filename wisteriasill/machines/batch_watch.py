"""Watches of the store that keep a pool up to date."""

from __future__ import annotations

import threading
import time

from returns import result

from wisteriasill import events
from wisteriasill import restarting_task
from wisteriasill.contracts import step_advice
from wisteriasill.links import cluster
from wisteriasill.machines import batch_advice
from wisteriasill.machines import batch_pool
from wisteriasill.machines import batch_tables
from wisteriasill.machines import batch_workers
from wisteriasill.machines import fleet_rows
from wisteriasill.machines import site_links
from wisteriasill.machines import worker as workers

WATCH_SECONDS = 2.0  # Longest wait of one long poll for changes.
REGISTRY_BATCH_SECONDS = 0.15
RETRY_SECONDS = 0.25  # Pause after a failed call to the store.
ADVICE_CHECK_SECONDS = 0.05  # Pause between looks for steps without advice.


class PoolWatcher:
    """Watches jobs, workers, drain requests and advice for one pool.

    Args:
        links: The platform.
        pool: The pool.
        changed: Set when there is something to plan.
        closing: Stops the threads when set.
    """

    def __init__(
        self,
        links: site_links.SiteLinks,
        pool: batch_pool.BatchPool,
        changed: threading.Event,
        closing: threading.Event,
    ) -> None:
        self._links = links
        self.pool = pool
        self._service = pool.service
        self._changed = changed
        self._closing = closing
        self._jobs_version = 0
        self._drain_requests_version = 0

    def open(self, jobs_version: int) -> None:
        """Starts the threads.

        Args:
            jobs_version: Store version as of which the job records were read.
        """
        self._jobs_version = jobs_version
        for name, run in (
            ("jobs watch", self._watch_jobs),
            ("worker registry watch", self._watch_registry),
            ("advice requests", self._request_advice),
            ("drain requests watch", self._watch_drain_requests),
        ):
            restarting_task.start(name, run, self._closing, shard=self._service)

    def read_drain_requests(self) -> None:
        """Reads which workers to drain, before the first planning round."""
        self._drain_requests_version = self._read_drain_requests()

    def _watch_jobs(self) -> None:
        store, table = self._links.store, batch_tables.jobs_table(self._service)
        version = self._jobs_version
        while not self._closing.is_set():
            page = store.watch(table, version, WATCH_SECONDS)
            if not isinstance(page, result.Success):
                if page.failure().kind is cluster.StoreFaultKind.HISTORY_LOST:
                    records = batch_tables.read_records(
                        self._links.store, self._service
                    )
                    if records is not None:
                        self.apply_records(records.rows)
                        version = records.version
                        continue
                self._closing.wait(RETRY_SECONDS)
                continue
            self.apply_records(page.unwrap().rows)
            version = max(version, page.unwrap().version)

    def apply_records(self, rows: tuple[cluster.StoredRow, ...]) -> None:
        """Hands changed job rows to the pool."""
        for row in rows:
            self.pool.on_record(row)

    def _watch_registry(self) -> None:
        registry = self._links.registry
        version: int | None = None
        while not self._closing.is_set():
            page = (
                registry.read()
                if version is None
                else registry.watch(version, WATCH_SECONDS)
            )
            if not isinstance(page, result.Success):
                if page.failure().kind is cluster.StoreFaultKind.HISTORY_LOST:
                    version = None
                    continue
                self._closing.wait(RETRY_SECONDS)
                continue
            self.apply_entries(page.unwrap())
            version = page.unwrap().version
            # Heartbeats of all workers end the long poll, so a pause batches
            # several of them.
            self._closing.wait(REGISTRY_BATCH_SECONDS)

    def apply_entries(self, page: cluster.RegistryPage) -> None:
        """Adds, updates and removes workers."""
        pool = self.pool
        entry_by_id = {
            entry.worker_id: entry
            for entry in page.entries
            if entry.service == self._service
        }
        removed_ids = set(page.removed_ids) | {
            entry.worker_id
            for entry in page.entries
            if entry.service != self._service
        }
        if page.whole:
            removed_ids |= pool.worker_by_id.keys() - entry_by_id.keys()
        for worker_id in removed_ids & pool.worker_by_id.keys():
            pool.worker_by_id[worker_id].listed = False
        for entry in entry_by_id.values():
            self._apply_entry(entry)
        self._changed.set()

    def _apply_entry(self, entry: cluster.WorkerEntry) -> None:
        pool = self.pool
        known_worker = pool.worker_by_id.get(entry.worker_id)
        if known_worker:
            known = known_worker.entry
            if entry.version < known.version:
                return  # A later page of a read may be newer than the feed.
            if (entry.started_ms, entry.address) == (
                known.started_ms,
                known.address,
            ):
                known_worker.listed = True
                with pool.lock:
                    known_worker.update_entry(entry)
                return
            if entry.started_ms <= known.started_ms:
                # The store may carry out a former incarnation's write late. If
                # the clock went back instead, the next report shows it.
                known_worker.listed = False
                known_worker.wake()
                return
            pool.remove_worker(
                known_worker,
                batch_workers.Removal(
                    "registered with a new incarnation",
                    restarted=True,
                    crashed=True,
                ),
            )
        worker = workers.Worker(
            entry,
            self._links.open_worker(entry),
            pool,
            pool.former_leases_end_at,
        )
        pool.add_worker(worker)
        if worker.is_removed:
            return
        worker.open()
        events.log(
            events.Event.WORKER_JOINED,
            "A worker joined the pool",
            service=self._service,
            worker=entry.worker_id,
            rack=entry.rack,
            cpu=entry.room.cpu,
            started_ms=entry.started_ms,
        )

    def _read_drain_requests(self) -> int:
        page = batch_tables.read_all(
            self._links.store, fleet_rows.TABLE, fleet_rows.SHARD
        )
        if page is None:
            return 0
        self._apply_drain_requests(page.rows)
        return page.version

    def _apply_drain_requests(
        self, rows: tuple[cluster.StoredRow, ...]
    ) -> None:
        for row in rows:
            if (
                row.key == fleet_rows.DRAIN_REQUESTS_KEY
                and row.value is not None
            ):
                self.pool.set_drain_requests(
                    {
                        stored.request.worker_id
                        for stored in fleet_rows.decode_drain_requests(
                            row.value
                        )
                    }
                )
            elif row.key == fleet_rows.DOWN_KEY and row.value is not None:
                down_by_host = fleet_rows.decode_down(row.value)
                self.pool.set_down_workers(
                    dict(sorted(down_by_host.values())),
                    fleet_rows.planned_ends(down_by_host),
                )
            elif row.key == fleet_rows.DUE_KEY and row.value is not None:
                self.pool.due_worker_ids = fleet_rows.decode_due(row.value)

    def _watch_drain_requests(self) -> None:
        """Watches which workers the fleet controller wants drained."""
        version = self._drain_requests_version
        while not self._closing.is_set():
            page = self._links.store.watch(
                fleet_rows.TABLE, version, WATCH_SECONDS
            )
            if not isinstance(page, result.Success):
                self._closing.wait(RETRY_SECONDS)
                version = self._read_drain_requests()
                continue
            self._apply_drain_requests(page.unwrap().rows)
            version = max(version, page.unwrap().version)

    def _request_advice(self) -> None:
        """Requests which workers may run the steps that wait for advice."""
        link = self._links.advice
        pacing = step_advice.CallPacing()
        pause_seconds = ADVICE_CHECK_SECONDS
        while link and not self._closing.wait(pause_seconds):
            call = self.pool.next_advice_call(time.monotonic())
            pause_seconds = (
                self._call_advice(link, pacing, call)
                if call
                else ADVICE_CHECK_SECONDS
            )

    def _call_advice(
        self,
        link: cluster.AdviceLink,
        pacing: step_advice.CallPacing,
        call: batch_advice.AdviceCall,
    ) -> float:
        """Makes a call for advice.

        Returns:
            Pause before the next one in seconds.
        """
        sent_at = time.monotonic()
        answer = link.advise(
            call.step,
            call.worker_ids,
            pacing.timeout_seconds(call.declared_seconds),
        )
        received = answer.value_or(None)
        events.log(
            events.Event.ADVICE_ANSWERED,
            "A call for advice ended",
            service=self._service,
            step=call.step,
            named=len(call.worker_ids),
            allowed=len(received.ticket_by_worker) if received else 0,
            outcome="answered" if received else answer.failure().value,
            declared_seconds=round(call.declared_seconds, 3),
            seconds=round(time.monotonic() - sent_at, 3),
        )
        if received and self.pool.on_advice(call, received):
            pacing.record_answer()
            return 0.0
        if not received:
            self.pool.on_advice_failure(call)
        return pacing.record_failure(
            answered=bool(received)
            or answer.failure() is not cluster.AdviceFault.UNANSWERED
        )
