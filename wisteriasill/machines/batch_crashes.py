"""Crashes of a pool's workers, as evidence against the tasks on them."""

from __future__ import annotations

from collections.abc import Iterable
import time

from wisteriasill import events
from wisteriasill.contracts import crash_evidence
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_records
from wisteriasill.machines import batch_runs
from wisteriasill.machines import worker as workers

# Silent workers whose runs are kept until it is known whether they crashed.
MAX_LAPSED_WORKERS = 200


class PoolCrashes(batch_records.PoolRecords):
    """Judges tasks by the crashes of the workers that they ran on."""

    def _record_crash(
        self, worker: workers.Worker, lost_runs: Iterable[batch_job.Run]
    ) -> None:
        """Records a worker's crash as evidence against the tasks on it."""
        self._note_crash(worker)
        lost = self._lost_with(worker, lost_runs)
        self._lapsed_runs_by_worker.pop(worker.worker_id, None)
        if not _may_have_drained(worker):
            self._record_evidence(lost, worker)

    def _lost_with(
        self, worker: workers.Worker, runs: Iterable[batch_job.Run]
    ) -> list[batch_runs.LostRun]:
        """Returns those of the runs of a worker that it may have had."""
        return [
            *self._lapsed_runs_by_worker.get(worker.worker_id, []),
            *(
                batch_runs.LostRun(run, worker.survived_seconds(run))
                for run in runs
                if run.may_be_on_worker
            ),
        ]

    def _note_crash(self, worker: workers.Worker) -> None:
        """Stores a crash, which may have the same cause as others."""
        now = time.monotonic()
        is_explained = _may_have_drained(worker) or any(
            lost.may_have_just_started
            for lost in self._lost_with(worker, worker.run_by_task.values())
        )
        self._crash_by_worker = crash_evidence.recent_crashes(
            self._crash_by_worker, now
        ) | {
            worker.worker_id: crash_evidence.WorkerCrash(
                now, worker.rack, is_explained
            )
        }

    def _record_evidence(
        self, lost: Iterable[batch_runs.LostRun], worker: workers.Worker
    ) -> None:
        lost_by_unit: dict[batch_job.Unit, batch_runs.LostRun] = {}
        # The run that started last is the likeliest cause: its trial is first.
        for lost_run in sorted(
            lost, key=lambda lost_run: -lost_run.run.ordered_at
        ):
            unit = lost_run.run.unit
            lost_by_unit[unit] = min(
                lost_run,
                lost_by_unit.get(unit, lost_run),
                key=lambda other: other.survived_seconds,
            )
        suspects = [
            unit
            for unit, lost_run in lost_by_unit.items()
            if lost_run.is_suspect
        ]
        crash = crash_evidence.circumstances(
            len(suspects),
            worker.rack,
            (
                other
                for worker_id, other in crash_evidence.recent_crashes(
                    self._crash_by_worker, time.monotonic()
                ).items()
                if worker_id != worker.worker_id
            ),
        )
        for unit, lost_run in lost_by_unit.items():
            if unit.done or unit.job.finished:
                continue
            former = unit.crash_record
            unit.crash_record = (
                crash_evidence.record_crash(
                    former, lost_run.survived_seconds, crash
                )
                if lost_run.is_suspect or not lost_run.may_have_just_started
                else crash_evidence.record_unwatched_crash(former, crash)
            )
            if unit.crash_record == former:
                continue
            if unit.crash_record.suspicions > former.suspicions:
                unit.suspected_with.append(suspects)
            self._judge(unit)

    def _judge(self, unit: batch_job.Unit) -> None:
        """Acts on a task's changed record of crashes."""
        job, record = unit.job, unit.crash_record
        self.dirty_job_by_id[job.job_id] = job
        events.log(
            events.Event.TASK_SUSPECTED,
            "A worker crashed under a task",
            level="WARNING" if record.convicted else "INFO",
            job=job.job_id,
            unit=unit.key,
            needs_trial=record.needs_trial,
            **record._asdict(),
        )
        if record.convicted:
            self._clear_others(unit)
            self._fail_job(
                job, f"task {unit.key} crashed {record.crashes} workers"
            )
        elif record.needs_trial:
            self.suspect_by_key[job.job_id, unit.key] = unit

    def _clear_others(self, convict: batch_job.Unit) -> None:
        """Takes back the suspicions that a convicted task explains."""
        for suspects in convict.suspected_with:
            for unit in suspects:
                if unit is convict or suspects not in unit.suspected_with:
                    continue
                unit.suspected_with.remove(suspects)
                unit.crash_record = crash_evidence.record_explanation(
                    unit.crash_record
                )

    def _requeue_crashed(self, unit: batch_job.Unit) -> None:
        """Queues a unit whose worker ended while no holder watched it."""
        self._record_unwatched_crash(unit)
        unit.job.requeue(unit)

    def _record_unwatched_crash(self, unit: batch_job.Unit) -> None:
        if unit.done or unit.job.finished:
            return
        unit.crash_record = crash_evidence.record_unwatched_crash(
            unit.crash_record
        )
        self._judge(unit)

    def _record_survivals(self, worker: workers.Worker) -> None:
        """Clears tasks that did not crash the worker that has just reported."""
        self._lapsed_runs_by_worker.pop(worker.worker_id, None)
        for run in worker.run_by_task.values():
            unit = run.unit
            if not unit.crash_record.crashes:
                continue
            unit.crash_record = crash_evidence.record_survival(
                unit.crash_record, worker.survived_seconds(run)
            )
            if not unit.crash_record.suspicions:
                unit.suspected_with.clear()

    def _keep_lapsed_runs(
        self, worker: workers.Worker, runs: Iterable[batch_job.Run]
    ) -> None:
        lapsed_by_worker = self._lapsed_runs_by_worker
        lapsed_by_worker[worker.worker_id] = [
            batch_runs.LostRun(run, worker.survived_seconds(run))
            for run in runs
        ]
        if len(lapsed_by_worker) > MAX_LAPSED_WORKERS:
            del lapsed_by_worker[next(iter(lapsed_by_worker))]


def _may_have_drained(worker: workers.Worker) -> bool:
    """Whether a worker that went down may have left as it was to."""
    return (
        worker.drain_requested
        or worker.entry.state is not cluster.WorkerState.READY
    )
