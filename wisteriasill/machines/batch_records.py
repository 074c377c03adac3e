"""Jobs of a pool as their records tell them."""

from __future__ import annotations

import collections
import time
from typing import NamedTuple

import cbor2

from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_runs

# Weight of the newest job in the mean work of its queue.
MEAN_WEIGHT = 0.05
MOST_AGE_SECONDS = 60.0  # Bounds the harm of a wrong time of day.


class LoadedPool(NamedTuple):
    """A pool's rows as its new holder reads them."""

    records: tuple[cluster.StoredRow, ...]
    progress: tuple[cluster.StoredRow, ...]


class PoolRecords(batch_runs.PoolRuns):
    """Takes in jobs, their cancellations and their stored progress."""

    def configure(self, configuration: queues.SiteConfiguration) -> None:
        """Takes the queues of a configuration."""
        with self.lock:
            self._queue_by_name = {
                **self._queue_by_name,
                **configuration.queue_by_name,
            }
        self._changed.set()

    def load(self, loaded: LoadedPool) -> None:
        """Takes the rows that the former holder and the entry hosts wrote."""
        progress_by_id = {
            row.key: batch_job.decode_progress(row.value)
            for row in loaded.progress
            if row.value is not None
        }
        with self.lock:
            for row in loaded.records:
                self._add_job(row, progress_by_id.get(row.key), news=False)

    def on_record(self, row: cluster.StoredRow) -> None:
        """Takes a job's row: a new job, or the mark of its cancellation."""
        with self.lock:
            if row.value in (None, job_spec.ENDED_RECORD):
                return
            assert row.value is not None
            job = self.job_by_id.get(row.key)
            if job is None:
                if row.key not in self.ended_at_by_id:
                    self._add_job(row, None, news=True)
            else:
                record = job_spec.decode(cbor2.loads(row.value))
                job.record_version = row.version
                if record.cancelled and not job.record.cancelled:
                    job.record = record
                    self._cancel(job)
        self._changed.set()

    def _add_job(
        self,
        row: cluster.StoredRow,
        progress: batch_job.Progress | None,
        news: bool,
    ) -> None:
        if progress and progress.state in batch_job.FINAL_STATES:
            self.ended_at_by_id[row.key] = time.monotonic()
            return
        if row.value in (None, job_spec.ENDED_RECORD):
            return
        assert row.value is not None
        record = job_spec.decode(cbor2.loads(row.value))
        # The time of day jumps by seconds; news is milliseconds old.
        age_seconds = (
            0.0
            if news
            else min(
                MOST_AGE_SECONDS,
                max(0.0, time.time() - record.accepted_ms / 1000),
            )
        )
        job = batch_job.Job(row.key, record, time.monotonic() - age_seconds)
        job.record_version = row.version
        self.job_by_id[row.key] = job
        self._learn_work(job)
        if news and not record.spec.lasting:
            self._note_arrival(record.spec)
        if progress:
            self._restore(job, progress)
        if record.cancelled:
            self._cancel(job)
            return
        job.open_due_rounds(time.time() * 1000, 0)

    def _note_arrival(self, spec: job_spec.JobSpec) -> None:
        now = time.monotonic()
        for step in spec.steps:
            task_seconds = step.tasks * step.estimate_seconds
            for rate in self._cpu_arrivals:
                rate.add(task_seconds * step.need.cpu, now)
            for rate in self._memory_arrivals:
                rate.add(task_seconds * step.need.memory_mb, now)

    def _learn_work(self, job: batch_job.Job) -> None:
        work = job.core_seconds
        name = job.record.queue
        mean = self._mean_work_by_queue.get(name, work)
        self._mean_work_by_queue[name] = mean + MEAN_WEIGHT * (work - mean)

    def _restore(
        self, job: batch_job.Job, progress: batch_job.Progress
    ) -> None:
        job.state = progress.state
        for occurrence in range(progress.rounds_open):
            job.open_round(occurrence)
        for stored in progress.units:
            unit = job.unit_by_key[stored.key]
            unit.last_run = stored.last_run
            unit.failures = stored.failures
            unit.checkpoint = stored.checkpoint
        for stored in progress.units:
            unit = job.unit_by_key[stored.key]
            if stored.done:
                job.note_done(unit)
                continue
            for run in stored.runs:
                self._unplaced.setdefault(run.worker_id, []).append(
                    batch_runs.LostRun(unit, run)
                )
                job.ready.pop(unit.key, None)

    def _cancel(self, job: batch_job.Job) -> None:
        if job.finished:
            return
        for run in [*job.live_runs()]:
            self._stop_run(run)
        self._finish(job, batch_job.JobState.CANCELLED, "cancelled by caller")

    def pending_by_queue(self) -> dict[str, int]:
        """Counts accepted jobs of each queue of which nothing started."""
        with self.lock:
            return dict(
                collections.Counter(
                    job.record.queue
                    for job in self.job_by_id.values()
                    if job.state is batch_job.JobState.QUEUED
                )
            )
