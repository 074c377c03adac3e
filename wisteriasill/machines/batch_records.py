"""Jobs of a pool, built from their stored records."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping
import itertools
import time
from typing import NamedTuple

from wisteriasill import events
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_runs
from wisteriasill.machines import progress_rows

# Weight of the newest value in exponentially weighted means.
MEAN_WEIGHT = 0.05
# Time for which the id of an ended job can't be used again. Callers repeat a
# submission for seconds.
SHORT_ROW_TTL_SECONDS = 240.0
MAX_AGE_SECONDS = 60.0  # Limits the effect of a wrong wall clock.


class LoadedPool(NamedTuple):
    """Rows of a pool that a new holder reads at its start."""

    records: tuple[cluster.StoredRow, ...]
    progress: tuple[cluster.StoredRow, ...]


class StoredProgress(NamedTuple):
    """Progress of a job and the store version of its row."""

    progress: batch_job.Progress
    version: int


class PoolRecords(batch_runs.PoolRuns):
    """Handles job records, cancellations and stored progress."""

    def configure(self, configuration: queues.SiteConfiguration) -> None:
        """Applies the queues of a configuration."""
        with self.lock:
            if configuration.version < self.configuration_version:
                return
            self.configuration_version = configuration.version
            self._queue_by_name = {
                **self._queue_by_name,
                **configuration.queue_by_name,
            }
        self._changed.set()

    def add_former_queues(
        self, queue_by_name: Mapping[str, queues.Queue]
    ) -> None:
        """Takes in queues that may have been removed after accepting jobs."""
        with self.lock:
            self._queue_by_name = {**queue_by_name, **self._queue_by_name}
        self._changed.set()

    def load(self, loaded: LoadedPool) -> None:
        """Loads the rows that the former holder and the entry hosts wrote."""
        progress_by_id: dict[str, StoredProgress] = {}
        for job_id, rows in progress_rows.group_by_job(loaded.progress):
            try:
                if progress := progress_rows.decode(rows):
                    progress_by_id[job_id] = StoredProgress(
                        progress, max(row.version for row in rows)
                    )
            except ValueError as error:
                self._ignore_job(job_id, error)
        with self.lock:
            for row in loaded.records:
                self._track_short_row(row)
                self._add_job(row, progress_by_id.get(row.key), is_new=False)
            self._adopt_parts(loaded.progress)
            restored = self._restored_runs_by_worker
            events.log(
                events.Event.RUNS_RESTORED,
                "A new holder read the jobs and runs of its pool",
                service=self.service,
                jobs=len(self.job_by_id),
                runs=sum(len(runs) for runs in restored.values()),
                workers=len(restored),
                epoch=self.fencing_epoch,
            )

    def _adopt_parts(self, rows: Iterable[cluster.StoredRow]) -> None:
        """Records rows of units, those of ended jobs as to be deleted."""
        for row in rows:
            if row.value is None or not progress_rows.is_part(row.key):
                continue
            job_id = progress_rows.job_id_of(row.key)
            if job := self.job_by_id.get(job_id):
                job.part_value_by_key[row.key] = row.value
            elif job_id not in self._unreadable_ids:
                self.unused_progress_keys.append(row.key)

    def on_record(self, row: cluster.StoredRow) -> None:
        """Handles a changed job row: a new job, or a cancellation."""
        with self.lock:
            self._track_short_row(row)
            job = self.job_by_id.get(row.key)
            if refusal := job_spec.decode_refusal(row.value):
                self._offered_cpu.add(refusal.core_seconds, time.monotonic())
            elif job is None:
                if row.key not in self.ended_at_by_id:
                    self._add_job(row, None, is_new=True)
            elif record := self._decode_record(row):
                job.record_version = row.version
                if record.cancelled:
                    # Repeated where an error has interrupted it.
                    job.record = record
                    self._cancel(job)
        self._changed.set()

    def _add_job(
        self,
        row: cluster.StoredRow,
        loaded: StoredProgress | None,
        is_new: bool,
    ) -> None:
        if loaded and loaded.progress.state in batch_job.FINAL_STATES:
            self.ended_at_by_id[row.key] = time.monotonic()
            if job_spec.holds_job(row.value):
                self.ended_records.append(
                    batch_runs.EndedRecord(
                        row.partition_key, row.key, row.version
                    )
                )
            return
        record = self._decode_record(row)
        if record is None:
            return
        # The wall clock may jump by seconds, so the age is computed only for
        # loaded jobs; a job seen by the watch is milliseconds old.
        age_seconds = (
            0.0
            if is_new
            else min(
                MAX_AGE_SECONDS,
                max(0.0, time.time() - record.accepted_ms / 1000),
            )
        )
        job = batch_job.Job(
            row.key,
            record,
            time.monotonic() - age_seconds,
            self._predicted_steps(record),
        )
        job.record_version = row.version
        job.partition_key = row.partition_key
        self.job_by_id[row.key] = job
        self._update_mean_work(job)
        if is_new and not record.spec.lasting:
            self._record_arrival(job.steps)
        if loaded:
            self._restore(job, loaded)
        if record.cancelled:
            self._cancel(job)
            return
        job.open_due_occurrences(time.time() * 1000, 0)

    def _track_short_row(self, row: cluster.StoredRow) -> None:
        self._short_row_by_id.pop(row.key, None)
        if row.value is not None and not job_spec.holds_job(row.value):
            self._short_row_by_id[row.key] = (
                batch_runs.EndedRecord(row.partition_key, row.key, row.version),
                time.monotonic(),
            )

    def take_expired_rows(self, now: float) -> list[batch_runs.EndedRecord]:
        """Returns short rows that bar nothing any more, and forgets them.

        Args:
            now: Monotonic time.
        """
        with self.lock:
            expired = [
                row
                for row, since in itertools.takewhile(
                    lambda entry: now - entry[1] >= SHORT_ROW_TTL_SECONDS,
                    self._short_row_by_id.values(),
                )
            ]
            for row in expired:
                del self._short_row_by_id[row.job_id]
            return expired

    def _decode_record(
        self, row: cluster.StoredRow
    ) -> job_spec.JobRecord | None:
        """Returns the record of a job to run; None if there is none."""
        if not job_spec.holds_job(row.value) or (
            row.key in self._unreadable_ids
        ):
            return None
        assert row.value is not None
        try:
            return job_spec.decode_row(row.value)
        except ValueError as error:
            self._ignore_job(row.key, error)
            return None

    def _ignore_job(self, job_id: str, error: ValueError) -> None:
        """Never starts a job of which some row can't be read.

        A node of another release may know what its tasks have done, so its
        rows stay as they are.
        """
        self._unreadable_ids.add(job_id)
        events.log(
            events.Event.JOB_UNREADABLE,
            "Stored rows of a job can't be read; the job is not run",
            level="ERROR",
            job=job_id,
            service=self.service,
            error=str(error),
        )

    def _predicted_steps(
        self, record: job_spec.JobRecord
    ) -> tuple[job_spec.StepSpec, ...]:
        """Returns the steps of a job with the times that they should take."""
        return tuple(
            step._replace(estimate_seconds=model.predict(step.estimate_seconds))
            if (
                model := self._run_times_by_program.get(
                    (record.queue, step.image)
                )
            )
            else step
            for step in record.spec.steps
        )

    def _record_arrival(self, steps: tuple[job_spec.StepSpec, ...]) -> None:
        now = time.monotonic()
        self._offered_cpu.add(job_spec.core_seconds(steps), now)
        for step in steps:
            task_seconds = step.tasks * step.estimate_seconds
            for rate in self._cpu_arrivals:
                rate.add(task_seconds * step.need.cpu, now)
            for rate in self._memory_arrivals:
                rate.add(task_seconds * step.need.memory_mb, now)

    def _update_mean_work(self, job: batch_job.Job) -> None:
        work = job.core_seconds
        name = job.record.queue
        mean = self._mean_core_seconds_by_queue.get(name, work)
        self._mean_core_seconds_by_queue[name] = mean + MEAN_WEIGHT * (
            work - mean
        )
        declared_seconds = job_spec.critical_path_seconds(job.record.spec.steps)
        if declared_seconds:
            self._time_factor_by_queue[name] = (
                job.critical_path_seconds / declared_seconds
            )

    def _restore(self, job: batch_job.Job, loaded: StoredProgress) -> None:
        progress = loaded.progress
        job.state = progress.state
        job.units_per_row = progress.units_per_row
        for occurrence in range(progress.opened_occurrences):
            job.open_occurrence(occurrence)
        for stored in progress.units:
            unit = job.unit_by_key[stored.key]
            unit.last_run = stored.last_run
            unit.failures = stored.failures
            unit.failed_run = stored.failed_run
            unit.checkpoint = stored.checkpoint
            unit.crash_record = stored.crash_record
            if stored.crash_record.crashes:
                unit.early_crash_at = unit.lost_at = self.claimed_at
            if stored.done or stored.failures or stored.checkpoint:
                job.has_begun = True
            if unit.crash_record.needs_trial and not stored.done:
                self.suspect_by_key[job.job_id, unit.key] = unit
        for stored in progress.units:
            unit = job.unit_by_key[stored.key]
            if stored.done:
                job.mark_done(unit)
                continue
            for stored_run in stored.runs:
                # The worker had registered before the row was written.
                run = stored_run._replace(
                    registered_version=stored_run.registered_version
                    or loaded.version
                )
                unit.restored.append(run)
                self._restored_runs_by_worker.setdefault(
                    run.worker_id, []
                ).append(batch_runs.RestoredRun(unit, run))
                job.ready.pop(unit.key, None)

    def _cancel(self, job: batch_job.Job) -> None:
        if job.finished:
            return
        for run in [*job.live_runs()]:
            self._stop_run(run, "its job was cancelled")
        self._finish(job, batch_job.JobState.CANCELLED, "cancelled by caller")

    def pending_by_queue(self) -> dict[str, int]:
        """Counts the jobs of each queue of which no task has begun.

        A task that is only assigned may be refused, or its start be lost.
        """
        with self.lock:
            return dict(
                collections.Counter(
                    job.record.queue
                    for job in self.job_by_id.values()
                    if not job.has_begun
                )
            )
