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

# A longer pause between two planning rounds may hide crashes.
MAX_PAUSE_SECONDS = 0.5
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
        suspects = frozenset(
            lost_run.run.unit for lost_run in lost if lost_run.is_suspect
        )
        self._crash_by_worker = {
            other: crash
            for other, crash in self._crash_by_worker.items()
            if now - crash.at < crash_evidence.BACKGROUND_SECONDS
        }
        self._crash_by_worker[worker] = crash_evidence.WorkerCrash(
            now,
            drained or any(lost_run.may_have_just_started for lost_run in lost),
            drained,
            frozenset(lost_run.run.unit for lost_run in lost),
            suspects,
            frozenset(
                unit for unit in suspects if unit.crash_record.needs_trial
            ),
            any(
                unit.crash_record.may_share_trial and not unit.step.lasting
                for unit in suspects
            ),
        )

    def _note_crashes_elsewhere(self, worker_ids: Iterable[str]) -> None:
        """Stores that workers were listed as down, unless they were here."""
        now = time.monotonic()
        here = self.worker_by_id.keys() | {
            worker.worker_id for worker in self._crash_by_worker
        }
        self._crashed_elsewhere_at = [
            at
            for at in self._crashed_elsewhere_at
            if now - at < crash_evidence.BACKGROUND_SECONDS
        ]
        if not here.issuperset(worker_ids):
            self._crashed_elsewhere_at.append(now)

    def _background_rate(
        self,
        crashes: Iterable[crash_evidence.WorkerCrash],
        unit: batch_job.Unit,
        now: float,
    ) -> float:
        """Returns the crashes per second and worker without a unit."""
        recent_ids = {
            worker.worker_id
            for worker, crash in self._crash_by_worker.items()
            if now - crash.at < crash_evidence.COMMON_CAUSE_SECONDS
        }
        return crash_evidence.background_rate(
            crashes,
            unit,
            len(self.worker_by_id.keys() | recent_ids),
            now,
            self.claimed_at,
        )

    def isolated_crashes(self) -> list[crash_evidence.WorkerCrash]:
        """Returns the recent crashes beside which no other worker crashed."""
        return crash_evidence.isolated_crashes(
            self._crash_by_worker.values(), self._crashed_elsewhere_at
        )

    def records_before_verdicts(self) -> list[crash_evidence.CrashRecord]:
        """Returns what was known of finite tasks that are being judged."""
        return [
            crash.former
            for unit, crash in self._verdict_by_unit.items()
            if not unit.step.lasting
        ]

    def may_try(
        self,
        unit: batch_job.Unit,
        isolated: Iterable[crash_evidence.WorkerCrash],
        now: float,
    ) -> bool:
        """Whether a suspected task need not wait for calmer times.

        Args:
            unit: The task.
            isolated: The crashes as of `isolated_crashes`.
            now: Monotonic time.
        """
        if unit.step.lasting:
            return True
        crashes = self._crash_by_worker.values()
        return crash_evidence.may_try(
            unit.crash_record,
            crash_evidence.TrialConditions(
                self._background_rate(crashes, unit, now),
                self._background_rate(isolated, unit, now),
                now - unit.lost_at,
                crash_evidence.quiet_seconds(
                    crashes, unit, self._crashed_elsewhere_at, now
                ),
            ),
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
        now = time.monotonic()
        for unit, lost_run in lost_by_unit.items():
            # A former holder's run may have been at work for long.
            is_watched = (
                lost_run.is_suspect or not lost_run.may_have_just_started
            )
            if unit.done or unit.job.finished or not is_watched:
                continue
            if unit.step.gang and unit.crashed_run >= lost_run.run.number:
                continue  # The worker of another member counted already.
            unit.crashed_run = max(unit.crashed_run, lost_run.run.number)
            alive_at = lost_run.alive_at
            crash = batch_runs.TaskCrash(
                unit.crash_record,
                lost_run,
                len(suspects),
                crash_evidence.CrashTime(alive_at, now),
                alive_at - unit.early_crash_at,
            )
            weighed = self._weigh(crash, now)
            record = crash_evidence.record_crash(
                crash.former, lost_run.survived_seconds, weighed
            )
            if record == crash.former:
                continue
            if record.suspicions > crash.former.suspicions:
                unit.suspected_with.append(suspects)
            if lost_run.may_have_just_started:
                unit.early_crash_at = now
            unit.crash_record = record._replace(convicted=False)
            if record.needs_verdict(crash.former):
                self._verdict_by_unit[unit] = crash._replace(
                    recorded=unit.crash_record
                )
            self._restart_later(unit, record, weighed.background_rate, now)
            self.dirty_job_by_id[unit.job.job_id] = unit.job
            if record.needs_trial:
                self.suspect_by_key[unit.job.job_id, unit.key] = unit
            _log_crash(crash, weighed)

    def _weigh(
        self, crash: batch_runs.TaskCrash, now: float
    ) -> crash_evidence.Circumstances:
        """Returns the circumstances of a crash, as far as they are known."""
        run = crash.lost_run.run
        crashes = self._crash_by_worker
        return crash_evidence.circumstances(
            crash.suspects,
            crash.time,
            (
                other
                for worker, other in crashes.items()
                if worker is not run.worker
            ),
            self._crashed_elsewhere_at,
        )._replace(
            background_rate=self._background_rate(
                crashes.values(), run.unit, now
            ),
            isolated_rate=self._background_rate(
                self.isolated_crashes(), run.unit, now
            ),
            is_confirmed=bool(run.acked_at),
            seconds_since_last=crash.seconds_since_last,
        )

    def _restart_later(
        self,
        unit: batch_job.Unit,
        record: crash_evidence.CrashRecord,
        rate: float,
        now: float,
    ) -> None:
        """Delays the next start of a task after a crash."""
        if unit.step.lasting:
            unit.retry_at = now + crash_evidence.restart_delay_seconds(
                record, rate
            )
        elif unit in self._verdict_by_unit:
            unit.retry_at = now + crash_evidence.COMMON_CAUSE_SECONDS

    def reach_verdicts(self, now: float) -> None:
        """Judges tasks by crashes of which the circumstances are known now."""
        if now - self._checked_verdicts_at > MAX_PAUSE_SECONDS:
            # This holder was paused, or the store away, so it learns only now
            # of other crashes.
            self._verdict_by_unit = {
                unit: crash._replace(time=crash.time._replace(at=now))
                for unit, crash in self._verdict_by_unit.items()
            }
        self._checked_verdicts_at = now
        due = [
            (unit, crash)
            for unit, crash in self._verdict_by_unit.items()
            if now - crash.time.at >= crash_evidence.COMMON_CAUSE_SECONDS
        ]
        for unit, crash in due:
            # The verdict on another task may have explained the crash.
            if self._verdict_by_unit.pop(unit, None) is None:
                continue
            if unit.done or unit.job.finished:
                continue
            weighed = self._weigh(crash, now)
            record = crash_evidence.record_crash(
                crash.former, crash.lost_run.survived_seconds, weighed
            )
            if unit.crash_record != crash.recorded:
                # The worker of another run of it has crashed meanwhile.
                record = unit.crash_record._replace(
                    convicted=record.convicted, moments=record.moments
                )
            unit.crash_record = record
            self._judge(unit, weighed)

    def _judge(
        self, unit: batch_job.Unit, weighed: crash_evidence.Circumstances
    ) -> None:
        """Acts on the verdict on a task."""
        job, record = unit.job, unit.crash_record
        self.dirty_job_by_id[job.job_id] = job
        events.log(
            events.Event.TASK_JUDGED,
            "A crash under a suspected task was judged",
            level="WARNING" if record.convicted else "INFO",
            job=job.job_id,
            unit=unit.key,
            **record._asdict(),
            **weighed._asdict(),
        )
        if not record.convicted:
            return
        self._clear_others(unit)
        if not unit.step.lasting:
            self._fail_job(
                job, f"task {unit.key} crashed {record.crashes} workers"
            )

    def _clear_others(self, convict: batch_job.Unit) -> None:
        """Takes back the suspicions that a convicted task explains."""
        self._crash_by_worker = {
            worker: crash._replace(is_settled=True)
            if convict in crash.tasks
            else crash
            for worker, crash in self._crash_by_worker.items()
        }
        for suspects in convict.suspected_with:
            for unit in suspects:
                if unit is convict or suspects not in unit.suspected_with:
                    continue
                unit.suspected_with.remove(suspects)
                unit.crash_record = crash_evidence.record_explanation(
                    unit.crash_record
                )
                self._verdict_by_unit.pop(unit, None)

    def _record_survivals(self, worker: workers.Worker) -> None:
        """Clears tasks that did not crash the worker that has just reported."""
        self._lapsed_runs_by_worker.pop(worker.worker_id, None)
        for run in worker.run_by_task.values():
            unit = run.unit
            if unit.crash_record == crash_evidence.NO_CRASHES:
                continue
            survived_seconds = worker.survived_seconds(run)
            unit.crash_record = crash_evidence.record_survival(
                unit.crash_record, survived_seconds
            )
            if not unit.crash_record.suspicions:
                unit.suspected_with.clear()
            if not unit.crash_record.early_crashes:
                self._verdict_by_unit.pop(unit, None)

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
    crash: batch_runs.TaskCrash, weighed: crash_evidence.Circumstances
) -> None:
    run = crash.lost_run.run
    record = run.unit.crash_record
    events.log(
        events.Event.TASK_SUSPECTED,
        "A worker crashed under a task",
        job=run.task.job_id,
        unit=run.unit.key,
        run=run.number,
        worker=run.worker.worker_id,
        state=run.state.name.lower(),
        survived_seconds=round(crash.lost_run.survived_seconds, 3),
        sent_seconds=round(crash.time.at - run.ordered_at, 3)
        if run.ordered_at
        else None,
        needs_trial=record.needs_trial,
        **record._asdict(),
        **weighed._asdict(),
    )


def _may_have_drained(worker: workers.Worker) -> bool:
    """Whether a worker that went down may have left as it was to."""
    return (
        worker.drain_requested
        or worker.entry.state is not cluster.WorkerState.READY
    )
