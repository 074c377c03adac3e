"""Handles reports of workers and their responses to orders."""

from __future__ import annotations

import collections
import time

from wisteriasill import events
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import pacing
from wisteriasill.contracts import run_times
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_records
from wisteriasill.machines import batch_workers
from wisteriasill.machines import worker as workers
from wisteriasill.machines import worker_quarantine

# A run counts as ended if it is missing from the report of a poll that was sent
# this long after the confirmation that it runs or can't start any more.
REPORT_LAG_SECONDS = 0.05
# The platform lists so many ends in one report; others follow once these are
# acknowledged.
MAX_REPORTED_ENDS = 500
REJECTION_BACKOFF_SECONDS = 0.3
_RESTARTED = batch_workers.Removal(
    "worker restarted", restarted=True, crashed=True
)
# A worker that refused a start for lack of resources gets no starts until its
# reports have caught up.
RESOURCE_BACKOFF_SECONDS = 0.25


class PoolReports(batch_workers.PoolWorkers):
    """Handles reports, run ends and responses to orders."""

    def on_report(
        self,
        worker: workers.Worker,
        sent_at: float,
        report: cluster.WorkerReport,
    ) -> None:
        """Handles a report of the runs and run ends of a worker."""
        if report.started_ms != worker.entry.started_ms:
            self.remove_worker(worker, _RESTARTED)
            return
        with self.lock:
            if worker.is_removed:
                return
            worker.is_reachable = True
            worker.silent_since = 0.0
            now = time.monotonic()
            for run_end in report.ends:
                if run_end.number > worker.last_received_end:
                    self._record_end(worker, run_end, now)
                    worker.last_received_end = run_end.number
                    job_id = run_end.task.job_id
                    if job_id in self.dirty_job_by_id:
                        self.first_end_by_job.setdefault(job_id, {}).setdefault(
                            worker, run_end.number
                        )
            for run_report in report.runs:
                self._record_running(worker, run_report, now)
            self._forget_unknown_runs(worker, report)
            self._record_survivals(worker)
            if len(report.ends) < MAX_REPORTED_ENDS:
                self._end_missing_runs(worker, sent_at, report)
            self._adjust_pace(worker)
        self._changed.set()

    def _record_running(
        self, worker: workers.Worker, run_report: cluster.RunReport, now: float
    ) -> None:
        run = worker.run_by_task.get(run_report.task)
        if run is None or run.number != run_report.run:
            self._stop_unknown_run(worker, run_report)
            return
        run.unit.job.has_begun = True
        self._confirm_run(run, now)
        run.percent = run_report.percent
        run.measure = run_report.measure
        if run_report.percent >= run.pace and not run.full_speed_at:
            run.full_speed_at = now
        if run_report.checkpoint:
            run.checkpoint = run_report.checkpoint
            run.unit.checkpoint = run_report.checkpoint

    def _confirm_run(self, run: batch_job.Run, now: float) -> None:
        """Records that a run is at work."""
        if run.state is not batch_job.RunState.RUNNING:
            run.state = batch_job.RunState.RUNNING
            run.acked_at = now
        if run.is_abandoned and self._may_adopt(run):
            run.is_abandoned = run.stopping = False
            events.log(
                events.Event.RUN_ADOPTED,
                "A run whose start got no answer is at work and goes on",
                job=run.task.job_id,
                task=run.task,
                run=run.number,
                worker=run.worker.worker_id,
                sent_seconds=round(now - run.ordered_at, 3),
            )

    def _may_adopt(self, run: batch_job.Run) -> bool:
        """Whether an abandoned run that is at work may go on.

        A stop that was sent may end it at any time, so that it must not count
        for the disruption budget of its step.
        """
        unit = run.unit
        is_alone = not any(
            other is not run and other.task == run.task for other in unit.runs
        )
        return (
            not run.stop_sent
            and not run.start_blocked_at
            and not unit.done
            and not unit.job.finished
            and not unit.job.record.cancelled
            and (is_alone or unit.step.copies)
        )

    def _stop_unknown_run(
        self, worker: workers.Worker, run_report: cluster.RunReport
    ) -> None:
        """Stops a run unknown to the pool, such as one counted as lost."""
        run_key = run_report.task, run_report.run
        if run_key in worker.unknown_run_by_key:
            return  # The worker is being told to stop it.
        job = self.job_by_id.get(run_report.task.job_id)
        unit = job.unit_of(run_report.task) if job else None
        if unit is None:
            placeholder = batch_job.Job(
                run_report.task.job_id, _EMPTY_RECORD, 0.0
            )
            unit = batch_job.Unit(placeholder, 0, 0, (0,))
            unit.occurrence = run_report.task.occurrence
            unit.step_number = run_report.task.step
        run = batch_job.Run(
            unit, run_report.task.position, run_report.run, worker
        )
        run.state = batch_job.RunState.RUNNING
        run.stopping = True
        worker.unknown_run_by_key[run_key] = run
        events.log(
            events.Event.RUN_UNKNOWN,
            "A worker reports a run that should not be there; it is stopped",
            level="WARNING",
            job=run.task.job_id,
            task=run.task,
            run=run.number,
            worker=worker.worker_id,
            known_run=known.number
            if (known := worker.run_by_task.get(run_report.task))
            else 0,
        )
        worker.send(workers.WorkerOrder("stop", run))

    def _forget_unknown_runs(
        self, worker: workers.Worker, report: cluster.WorkerReport
    ) -> None:
        reported_keys = {
            (run_report.task, run_report.run) for run_report in report.runs
        }
        for run_key in worker.unknown_run_by_key.keys() - reported_keys:
            run = worker.unknown_run_by_key.pop(run_key)
            run.state = batch_job.RunState.ENDED

    def _end_missing_runs(
        self,
        worker: workers.Worker,
        sent_at: float,
        report: cluster.WorkerReport,
    ) -> None:
        """Ends runs that the worker lacks and that no late order can start."""
        number_by_task = {
            run_report.task: run_report.run for run_report in report.runs
        }
        for run in [*worker.run_by_task.values()]:
            if number_by_task.get(run.task) == run.number:
                continue
            if run.state is batch_job.RunState.RUNNING:
                confirmed_at = run.acked_at
            elif run.start_blocked_at:
                confirmed_at = run.start_blocked_at
            elif (
                run.state is batch_job.RunState.UNCERTAIN and not run.ordered_at
            ):
                # The fencing token blocks the old order.
                confirmed_at = self.claimed_at
            else:
                continue
            if sent_at > confirmed_at + REPORT_LAG_SECONDS:
                events.log(
                    events.Event.RUN_LOST,
                    "A worker does not report a run that it should have",
                    job=run.task.job_id,
                    task=run.task,
                    run=run.number,
                    worker=worker.worker_id,
                    reason="not reported",
                    state=run.state.name.lower(),
                    started_ms=report.started_ms,
                    confirmed_seconds=round(sent_at - confirmed_at, 3),
                )
                self._end_run(run)

    def _record_end(
        self, worker: workers.Worker, run_end: cluster.RunEnd, now: float
    ) -> None:
        run = worker.run_by_task.get(run_end.task)
        if run is None or run.number != run_end.run:
            self._record_lost_run_end(run_end)
            return
        unit = run.unit
        unit.job.has_begun = True
        if run.moving and run_end.kind is cluster.RunEndKind.STOPPED:
            unit.moves += 1
        if run_end.checkpoint:
            unit.checkpoint = run_end.checkpoint
        self._end_run(run)
        worker_quarantine.record_run_end(
            worker, run_end.kind, run_end.task.job_id, now
        )
        if run_end.kind is cluster.RunEndKind.DONE:
            self._record_duration(run, now)
            self._record_done(unit)
            return
        events.log(
            events.Event.RUN_ENDED,
            "A run ended before its task was done",
            job=run_end.task.job_id,
            task=run_end.task,
            run=run_end.run,
            worker=worker.worker_id,
            how=run_end.kind.value,
        )
        if run_end.kind is cluster.RunEndKind.FAILED:
            self._record_failure(unit, run)
        for other in [*unit.runs]:
            if unit.step.gang:
                self._stop_run(other, "another run of its gang ended")

    def _record_duration(self, run: batch_job.Run, now: float) -> None:
        if not run.acked_at or not run.ordered_at:
            return  # A former holder started it, nobody knows when.
        unit = run.unit
        seconds = now - run.acked_at
        done_seconds = unit.job.done_seconds_by_step.setdefault(
            (unit.occurrence, unit.step_number), []
        )
        done_seconds.append(seconds)
        queue_name = unit.job.record.queue
        # The tasks of a step take about the same time, so one of them counts:
        # the middle one, as stragglers end last.
        if len(done_seconds) == (unit.step.tasks + 1) // 2:
            self._run_times_by_program.setdefault(
                (queue_name, unit.step.image), run_times.RunTimeModel()
            ).record(unit.step.estimate_seconds, seconds)
        mean_seconds = self._mean_task_seconds_by_queue.get(queue_name, seconds)
        self._mean_task_seconds_by_queue[queue_name] = (
            mean_seconds + batch_records.MEAN_WEIGHT * (seconds - mean_seconds)
        )

    def _record_lost_run_end(self, run_end: cluster.RunEnd) -> None:
        """Handles the completion of a run that was counted as lost."""
        job = self.job_by_id.get(run_end.task.job_id)
        if job is None or run_end.kind is not cluster.RunEndKind.DONE:
            return
        if unit := job.unit_of(run_end.task):
            # Of a gang, the members of its present run go on.
            for run in [*unit.runs]:
                self._stop_run(run, "a former run of its task is done")
            self._record_done(unit)

    def _record_done(self, unit: batch_job.Unit) -> None:
        job = unit.job
        if not unit.step.gang:  # All members of a gang end together.
            for other_run in [*unit.runs]:
                self._stop_run(other_run, "its task is done")
        if job.finished:
            return
        job.mark_done(unit)
        self.dirty_job_by_id[job.job_id] = job
        if not job.steps_left:
            self._finish(job, batch_job.JobState.COMPLETED, "all tasks done")

    def _record_failure(self, unit: batch_job.Unit, run: batch_job.Run) -> None:
        job = unit.job
        unit.avoided.add(run.worker.worker_id)
        if unit.step.gang and unit.failed_run >= run.number:
            return  # Another member of the same run already counted.
        unit.failed_run = run.number
        unit.failures += 1
        max_attempts = self._max_attempts(job)
        if unit.step.lasting or not max_attempts or job.finished:
            return
        if unit.failures >= max_attempts:
            self._fail_job(job, f"task {run.task} failed {unit.failures} times")

    def _max_attempts(self, job: batch_job.Job) -> int:
        """Returns the attempts of a job's tasks; 0 where they are unknown."""
        if job.record.max_attempts:
            return job.record.max_attempts
        queue = self._queue_by_name.get(job.record.queue)
        return queue.max_attempts if queue else 0

    def on_poll_failure(
        self, worker: workers.Worker, outcome: cluster.OrderOutcome
    ) -> None:
        """Handles a failed poll of a worker."""
        if outcome is cluster.OrderOutcome.FENCED:
            self._record_fenced(worker)
        elif outcome is cluster.OrderOutcome.OTHER_WORKER:
            # A worker keeps its address, so this one has ended.
            self.remove_worker(
                worker,
                batch_workers.Removal(
                    "another worker has its address",
                    crashed=not worker.drain_requested,
                ),
            )
            return
        with self.lock:
            if worker.is_reachable or not worker.silent_since:
                worker.is_reachable = False
                worker.silent_since = time.monotonic()
                events.log(
                    events.Event.WORKER_SILENT,
                    "A worker does not respond",
                    level="WARNING",
                    service=self.service,
                    worker=worker.worker_id,
                    outcome=outcome.value,
                )

    def on_start_answer(
        self, run: batch_job.Run, answer: cluster.OrderAnswer
    ) -> None:
        """Handles the outcome of a start order."""
        outcome = answer.outcome
        with self.lock:
            if run.state is batch_job.RunState.ENDED:
                return
            if outcome is cluster.OrderOutcome.DONE:
                run.unit.job.has_begun = True
                self._confirm_run(run, time.monotonic())
                return
            if outcome is cluster.OrderOutcome.UNKNOWN:
                self._mark_start_unknown(run)
                run.worker.wake()
                return
            if run.has_unanswered_start:
                self._record_refused_repeat(run, outcome)
                run.worker.wake()
                return
            self._reject_start(run, outcome)
        self._changed.set()

    def _mark_start_unknown(self, run: batch_job.Run) -> None:
        events.log(
            events.Event.START_UNKNOWN,
            "A start order got no response; the run is stopped before a retry",
            level="WARNING",
            job=run.task.job_id,
            task=run.task,
            run=run.number,
            worker=run.worker.worker_id,
        )
        if run.state is not batch_job.RunState.RUNNING:
            run.state = batch_job.RunState.UNCERTAIN
            run.is_abandoned = not run.stopping
            run.stopping = True
            run.worker.send(workers.WorkerOrder("stop", run))

    def _record_refused_repeat(
        self, run: batch_job.Run, outcome: cluster.OrderOutcome
    ) -> None:
        """Handles an answer that shows a run not to be at work.

        A former call for its start may still be carried out.
        """
        if outcome is cluster.OrderOutcome.FENCED:
            self._record_fenced(run.worker)
        if run.state is batch_job.RunState.RUNNING:
            return  # Its end is to be reported.
        run.state = batch_job.RunState.UNCERTAIN
        run.stopping = True
        # A stop does not disrupt its step.
        run.is_abandoned = False
        if outcome is cluster.OrderOutcome.RUN_TOO_OLD:
            run.start_blocked_at = time.monotonic()
        else:
            run.worker.send(workers.WorkerOrder("stop", run))

    def on_start_withdrawn(
        self, run: batch_job.Run, reason: workers.Withdrawal
    ) -> None:
        """Handles a start that was not sent; its number is used again."""
        with self.lock:
            if run.state is batch_job.RunState.ENDED:
                return
            self._refused_starts[reason.value] += 1
            if reason is workers.Withdrawal.STALE:
                run.worker.no_starts_until = (
                    time.monotonic() + RESOURCE_BACKOFF_SECONDS
                )
            unit = run.unit
            # Members of a gang share the number, and some may have started.
            if not unit.step.gang and unit.last_run == run.number:
                unit.last_run -= 1
            self._end_run(run)
        self._changed.set()

    def take_refused_starts(self) -> collections.Counter[str]:
        """Returns the starts refused since the last call, by reason."""
        with self.lock:
            refused = self._refused_starts
            self._refused_starts = collections.Counter()
            return refused

    def claim_start(self, run: batch_job.Run) -> bool:
        """Counts a start as sent, unless its run has ended."""
        with self.lock:
            if run.state is batch_job.RunState.ENDED:
                return False
            run.ordered_at = time.monotonic()
            return True

    def claim_stop(self, run: batch_job.Run) -> workers.StopPermit:
        """Returns whether a stop may be sent, and counts it as sent.

        The stop of a lasting run that may have begun to serve asks the
        disruption budget of its step like every other stop.
        """
        with self.lock:
            if run.state is batch_job.RunState.ENDED or not run.stopping:
                return workers.StopPermit.DROP
            if (
                run.is_abandoned
                and run.unit.step.lasting
                and not run.start_blocked_at
                and not run.unit.job.finished
                and not run.unit.job.record.cancelled
                and not self.fenced
                # Once a stop was sent, only a report shows that it serves.
                and (
                    not run.stop_sent or run.state is batch_job.RunState.RUNNING
                )
                and not self._has_disruption_budget(run.unit)
            ):
                return workers.StopPermit.WAIT
            run.stop_sent = True
            return workers.StopPermit.SEND

    def _reject_start(
        self, run: batch_job.Run, outcome: cluster.OrderOutcome
    ) -> None:
        now = time.monotonic()
        worker = run.worker
        events.log(
            events.Event.START_REJECTED,
            "A worker refused a start",
            job=run.task.job_id,
            task=run.task,
            run=run.number,
            worker=worker.worker_id,
            outcome=outcome.value,
        )
        if outcome is cluster.OrderOutcome.NO_ROOM:
            worker.no_starts_until = now + RESOURCE_BACKOFF_SECONDS
        elif outcome is cluster.OrderOutcome.UNHEALTHY:
            worker_quarantine.quarantine(
                worker, now, "refused a start as unhealthy"
            )
        elif outcome in (
            cluster.OrderOutcome.OTHER_WORKER,
            cluster.OrderOutcome.UNREACHABLE,
        ):
            worker.is_reachable = False  # Until a poll succeeds.
            worker.wake()
        elif outcome is cluster.OrderOutcome.NO_TICKET:
            advice = run.unit.job.advice_by_step.get(run.unit.step_key)
            if advice:
                advice.expire()
        elif outcome is cluster.OrderOutcome.FENCED:
            self._record_fenced(worker)
        self._refused_starts[outcome.value] += 1
        self._end_run(run)
        run.unit.retry_at = now + REJECTION_BACKOFF_SECONDS

    def on_stop_answer(
        self, run: batch_job.Run, answer: cluster.OrderAnswer
    ) -> None:
        """Handles the outcome of a stop; a later report has the run end."""
        with self.lock:
            if answer.outcome in workers.STOP_ACCEPTED:
                # Repeats must not delay the report that counts.
                run.start_blocked_at = run.start_blocked_at or time.monotonic()
                if run not in run.unit.runs and not run.worker.expects(run):
                    # It has ended before; only its late order was blocked.
                    run.state = batch_job.RunState.ENDED
            elif not run.stop_refused:
                run.stop_refused = True
                events.log(
                    events.Event.STOP_REFUSED,
                    "A worker refused a stop",
                    level="WARNING",
                    job=run.task.job_id,
                    task=run.task,
                    run=run.number,
                    worker=run.worker.worker_id,
                    outcome=answer.outcome.value,
                )
            if answer.outcome is cluster.OrderOutcome.FENCED:
                self._record_fenced(run.worker)
        run.worker.wake()

    def _adjust_pace(self, worker: workers.Worker) -> None:
        runs = [
            run
            for run in worker.run_by_task.values()
            if run.state is batch_job.RunState.RUNNING and not run.stopping
        ]
        fillers = [run for run in runs if run.unit.step.fills]
        if not fillers:
            return
        target_ratios = [
            run.measure / run.unit.step.target_ms
            for run in runs
            if run.unit.step.target_ms
        ]
        percent = pacing.next_percent(fillers[0].pace, target_ratios)
        if percent != fillers[0].pace:
            events.log(
                events.Event.TASKS_PACED,
                "The speed limit of best-effort tasks changed",
                worker=worker.worker_id,
                percent=percent,
                former=fillers[0].pace,
                worst_share=round(max(target_ratios, default=0.0), 3),
                jobs=[run.task.job_id for run in fillers],
            )
        for run in fillers:
            if run.pace != percent or run.percent != percent:
                run.pace = percent
                worker.send(workers.WorkerOrder("pace", run, percent))


_EMPTY_RECORD = job_spec.JobRecord(
    "",
    0,
    True,
    job_spec.JobSpec(
        "", (job_spec.StepSpec(1, job_spec.Resources(0, 0, 0), 0.0),)
    ),
)
