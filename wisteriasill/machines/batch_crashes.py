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
        lost = self._lost_with(worker, worker.run_by_task.values())
        drained = _may_have_drained(worker)
        is_explained = drained or any(
            lost_run.may_have_just_started for lost_run in lost
        )
        if not drained:
            self._past_crash_by_worker = {
                other: crash
                for other, crash in self._past_crash_by_worker.items()
                if now - crash.at < crash_evidence.BACKGROUND_SECONDS
            }
            self._past_crash_by_worker[worker] = crash_evidence.PastCrash(
                now,
                frozenset(lost_run.run.unit for lost_run in lost),
                frozenset(
                    lost_run.run.unit
                    for lost_run in lost
                    if lost_run.is_suspect
                ),
            )
        self._crash_by_worker = crash_evidence.recent_crashes(
            self._crash_by_worker, now
        ) | {
            worker.worker_id: crash_evidence.WorkerCrash(
                now, worker.rack, is_explained
            )
        }

    def _background_rate(self, unit: batch_job.Unit, now: float) -> float:
        """Returns the crashes per second and worker without a unit."""
        return crash_evidence.background_rate(
            self._past_crash_by_worker.values(),
            unit,
            len({*self.worker_by_id, *self._crash_by_worker}),
            now,
            self.claimed_at,
        )

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
        now = time.monotonic()
        for unit, lost_run in lost_by_unit.items():
            # A former holder's run may have been at work for long.
            is_watched = (
                lost_run.is_suspect or not lost_run.may_have_just_started
            )
            if unit.done or unit.job.finished or not is_watched:
                continue
            former = unit.crash_record
            weighed = crash._replace(
                background_rate=self._background_rate(unit, now),
                is_confirmed=bool(lost_run.run.acked_at),
                seconds_since_last=now - unit.early_crash_at,
            )
            unit.crash_record = crash_evidence.record_crash(
                former, lost_run.survived_seconds, weighed
            )
            if unit.crash_record == former:
                continue
            if unit.crash_record.suspicions > former.suspicions:
                unit.suspected_with.append(suspects)
            if lost_run.may_have_just_started:
                unit.early_crash_at = now
            if unit.step.lasting:
                unit.retry_at = now + crash_evidence.restart_delay_seconds(
                    unit.crash_record, weighed.background_rate
                )
            _log_crash(worker, lost_run, weighed)
            self._judge(unit)

    def _judge(self, unit: batch_job.Unit) -> None:
        """Acts on a task's changed record of crashes."""
        job, record = unit.job, unit.crash_record
        self.dirty_job_by_id[job.job_id] = job
        if record.convicted:
            self._clear_others(unit)
        if record.convicted and not unit.step.lasting:
            self._fail_job(
                job, f"task {unit.key} crashed {record.crashes} workers"
            )
            return
        if record.needs_trial:
            self.suspect_by_key[job.job_id, unit.key] = unit

    def _clear_others(self, convict: batch_job.Unit) -> None:
        """Takes back the suspicions that a convicted task explains."""
        self._past_crash_by_worker = {
            worker: crash
            for worker, crash in self._past_crash_by_worker.items()
            if convict not in crash.tasks
        }
        for suspects in convict.suspected_with:
            for unit in suspects:
                if unit is convict or suspects not in unit.suspected_with:
                    continue
                unit.suspected_with.remove(suspects)
                unit.crash_record = crash_evidence.record_explanation(
                    unit.crash_record
                )

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


def _log_crash(
    worker: workers.Worker,
    lost_run: batch_runs.LostRun,
    crash: crash_evidence.Circumstances,
) -> None:
    run, record = lost_run.run, lost_run.run.unit.crash_record
    events.log(
        events.Event.TASK_SUSPECTED,
        "A worker crashed under a task",
        level="WARNING" if record.convicted else "INFO",
        job=run.task.job_id,
        unit=run.unit.key,
        run=run.number,
        worker=worker.worker_id,
        state=run.state.name.lower(),
        survived_seconds=round(lost_run.survived_seconds, 3),
        sent_seconds=round(time.monotonic() - run.ordered_at, 3)
        if run.ordered_at
        else None,
        needs_trial=record.needs_trial,
        **record._asdict(),
        **crash._asdict(),
    )


def _may_have_drained(worker: workers.Worker) -> bool:
    """Whether a worker that went down may have left as it was to."""
    return (
        worker.drain_requested
        or worker.entry.state is not cluster.WorkerState.READY
    )
