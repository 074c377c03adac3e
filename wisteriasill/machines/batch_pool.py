"""Scheduling of a pool: chooses workers for tasks and handles stragglers."""

from __future__ import annotations

import collections
import itertools
import time
from typing import NamedTuple

from wisteriasill import events
from wisteriasill.contracts import commit_order
from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import overload_policy
from wisteriasill.contracts import stragglers
from wisteriasill.contracts import work_order
from wisteriasill.contracts import worker_choice
from wisteriasill.machines import batch_advice
from wisteriasill.machines import batch_job
from wisteriasill.machines import progress_rows
from wisteriasill.machines import worker as workers
from wisteriasill.machines import worker_quarantine
from wisteriasill.zones import shard_writer

STRAGGLER_CHECK_SECONDS = 0.25  # Interval between checks for stragglers.
WAITING_LOG_SECONDS = 1.0
# One of so many workers at a time gets suspected tasks only, and no more are
# held for them until other runs end.
WORKERS_PER_TRIAL = 2


class ChangedJobs(NamedTuple):
    """What a planning round stores, and sends once it is stored.

    Attributes:
        jobs: Jobs to store, the most urgent first.
        planned: Runs to start.
        last_end_by_worker: Run end up to which each worker may forget.
        first_end_by_job: For each of the jobs, the first end from each worker
            that is stored with it.
    """

    jobs: list[batch_job.Job]
    planned: list[batch_job.Run]
    last_end_by_worker: dict[workers.Worker, int]
    first_end_by_job: dict[str, dict[workers.Worker, int]]


class BatchPool(batch_advice.PoolAdvice):
    """Plans the runs of a pool; the pool's controller stores and sends them."""

    def plan(self, now: float) -> None:
        """Chooses workers for waiting tasks; no order is sent yet."""
        with self.lock:
            self.reach_verdicts(now)
            unix_ms = time.time() * 1000
            for job in self.job_by_id.values():
                if job.record.spec.occurrences and job.open_due_occurrences(
                    unix_ms, 0
                ):
                    job.age_since = now  # The objective counts from here.
                    self.dirty_job_by_id[job.job_id] = job
            waiting = [job for job in self.job_by_id.values() if job.ready]
            self.backlog = work_order.NO_BACKLOG
            if not waiting:
                return
            candidates = [
                worker
                for worker in self.worker_by_id.values()
                if self._accepts_tasks(worker, now)
            ]
            schedule = self._schedule(waiting, candidates, now)
            self._order_by_job = {
                job_id: number for number, job_id in enumerate(schedule.job_ids)
            }
            self._units_at_work = self._units_of_unknown_runs(now)
            self._plan_trials(candidates, now)
            self._full = worker_choice.FullPool()
            for job_id in schedule.job_ids:
                job = self.job_by_id[job_id]
                core_seconds = job.core_seconds_to_start()
                self._plan_job(job, candidates, now)
                if (
                    schedule.outlook_by_id.get(job_id)
                    is work_order.Outlook.RESCUED
                ):
                    self._rescue_budget.spend(
                        core_seconds - job.core_seconds_to_start()
                    )

    def _units_of_unknown_runs(self, now: float) -> set[batch_job.Unit]:
        """Returns the units of reported runs that the pool counted as ended.

        Until such a run is reported no more, or the lease of an unresponsive
        worker has expired, a new run of the unit would be a second one.
        """
        return {
            run.unit
            for worker in self.worker_by_id.values()
            if worker.is_responsive(now) or not worker.leases_expired(now)
            for run in worker.unknown_run_by_key.values()
        }

    def _plan_trials(
        self, candidates: list[workers.Worker], now: float
    ) -> None:
        """Starts suspected tasks, each as the only new run of its worker.

        Args:
            candidates: Workers that accept tasks; those with a trial, and those
                kept free for one, are removed.
            now: Monotonic time.
        """
        self._trial_runs = [
            run
            for run in self._trial_runs
            if run.state is not batch_job.RunState.ENDED
            and run.worker.survived_seconds(run)
            < crash_evidence.PROBATION_SECONDS
        ]
        trial_workers = {run.worker for run in self._trial_runs}
        accepting = len(candidates)
        candidates[:] = [
            worker for worker in candidates if worker not in trial_workers
        ]
        self.suspect_by_key = {
            key: unit
            for key, unit in self.suspect_by_key.items()
            if unit.crash_record.needs_trial
            and not unit.done
            and not unit.job.finished
        }
        most_trials = max(1, accepting // WORKERS_PER_TRIAL)
        trials = len(trial_workers)
        held = 0
        isolated = self.isolated_crashes()
        on_proof = [
            *self.records_before_verdicts(),
            *(
                run.unit.crash_record
                for run in self._trial_runs
                if _needs_proof(run.unit)
            ),
        ]
        waiting = [
            unit
            for unit in self.suspect_by_key.values()
            if unit.key in unit.job.ready
            and now >= unit.retry_at
            and unit not in self._units_at_work
            and self.may_try(unit, isolated, now)
        ]
        # The conviction of the likeliest cause clears the others.
        for unit in sorted(waiting, key=lambda suspect: suspect.doubt):
            # Beyond that share, only idle workers get suspected tasks.
            choices = [
                worker
                for worker in candidates
                if trials < most_trials or not worker.run_by_task
            ]
            if not choices:
                return
            if _needs_proof(unit) and not crash_evidence.may_try_beside(
                unit.crash_record, on_proof
            ):
                continue
            used = self._plan_trial(unit, choices, now)
            if _needs_proof(unit) and unit.runs:
                on_proof.append(unit.crash_record)
            if not used and held < accepting // WORKERS_PER_TRIAL:
                used = self._hold_worker(unit, choices, now)
                held += len(used)
            candidates[:] = [
                worker for worker in candidates if worker not in used
            ]
            trials += len(used)

    def _plan_trial(
        self, unit: batch_job.Unit, choices: list[workers.Worker], now: float
    ) -> set[workers.Worker]:
        """Starts a suspected task, or waits for other new runs of a worker.

        Returns:
            The workers that get no other start in this round.
        """
        by_runs = sorted(choices, key=_run_count)
        quiet = [worker for worker in by_runs if not worker.has_unproven_run()]
        groups = [quiet] if unit.step.gang else [[worker] for worker in quiet]
        if any(self._plan_unit(unit, group, now) for group in groups):
            self._trial_runs += unit.runs
            self._record_placed(unit.job, 1, choices, now)
            return {run.worker for run in unit.runs}
        request = self._placement_request(unit, now)
        # The new runs of a worker with room pass or end within a second.
        with_room = (
            worker
            for worker in by_runs
            if request
            and worker_choice.fits(worker, request)
            and worker.has_unproven_run()
        )
        return {*itertools.islice(with_room, 1)}

    def _hold_worker(
        self, unit: batch_job.Unit, choices: list[workers.Worker], now: float
    ) -> set[workers.Worker]:
        """Holds a worker until its finite runs leave room for a suspected task.

        Returns:
            The worker; none if the task would not even fit then.
        """
        request = self._placement_request(unit, now)
        with_room = (
            worker
            for worker in sorted(choices, key=_run_count)
            if request
            and worker_choice.will_fit(worker.after_finite(), request)
        )
        return {*itertools.islice(with_room, 1)}

    def _schedule(
        self,
        waiting: list[batch_job.Job],
        candidates: list[workers.Worker],
        now: float,
    ) -> work_order.Schedule:
        """Returns the order in which waiting jobs are placed."""
        lasting_cpu, running_core_seconds = 0, 0.0
        for worker in candidates:
            for run in worker.run_by_task.values():
                if run.unit.step.lasting:
                    lasting_cpu += run.unit.step.need.cpu
                else:
                    step = run.unit.job.steps[run.unit.step_number]
                    age_seconds = now - (run.acked_at or now)
                    running_core_seconds += (
                        step.need.cpu
                        / 1000
                        * max(0.0, step.estimate_seconds - age_seconds)
                    )
        room_cpu = sum(worker.entry.room.cpu for worker in candidates)
        cores = max(room_cpu - lasting_cpu, 0) / 1000
        self._rescue_budget.refill(cores, now)
        schedule = work_order.schedule(
            (self._waiting_work(job, now) for job in waiting),
            cores,
            running_core_seconds,
            self._rescue_budget.core_seconds,
        )
        self.free_cores = cores
        self.backlog = schedule.backlog(cores)
        return schedule

    def take_changed(self, response_seconds: float, now: float) -> ChangedJobs:
        """Returns what a round stores and sends, and forgets its changes.

        Args:
            response_seconds: Response time of the store.
            now: Monotonic time.
        """
        with self.lock:
            planned, self.planned = self.planned, []
            starting_ids = {run.task.job_id for run in planned}
            for job_id in self.dirty_job_by_id:
                self._delayed_since_by_job.setdefault(job_id, now)
            job_ids = commit_order.rows_to_store(
                (
                    commit_order.ChangedJob(
                        job_id,
                        job_id in starting_ids,
                        job.finished,
                        self._delayed_since_by_job[job_id],
                    )
                    for job_id, job in self.dirty_job_by_id.items()
                ),
                response_seconds,
                shard_writer.JOBS_PER_TRANSACTION,
                now,
            )
            jobs = [self.dirty_job_by_id.pop(job_id) for job_id in job_ids]
            first_end_by_job = {
                job_id: self.first_end_by_job.pop(job_id, {})
                for job_id in job_ids
            }
            for job_id in job_ids:
                del self._delayed_since_by_job[job_id]
            return ChangedJobs(
                jobs, planned, self._ends_to_acknowledge(), first_end_by_job
            )

    def return_changed(self, changed: ChangedJobs) -> None:
        """Keeps what a round took for the next one, as the round failed.

        Some of it may be stored and sent. A row is written again, but no run
        is started again.

        Args:
            changed: What the round took.
        """
        with self.lock:
            for job in changed.jobs:
                self.dirty_job_by_id.setdefault(job.job_id, job)
                progress_rows.rewrite_parts(job)
                first_end_by_worker = self.first_end_by_job.setdefault(
                    job.job_id, {}
                )
                # Ends of this round are older than those that came since.
                first_end_by_worker.update(changed.first_end_by_job[job.job_id])
            self.planned = [
                run
                for run in itertools.chain(changed.planned, self.planned)
                if run.state is batch_job.RunState.PLANNED
            ]

    def _ends_to_acknowledge(self) -> dict[workers.Worker, int]:
        """Returns up to which end each worker may forget its runs."""
        last_end_by_worker = {
            worker: worker.last_received_end
            for worker in self.worker_by_id.values()
        }
        for first_end_by_worker in self.first_end_by_job.values():
            for worker, first_end in first_end_by_worker.items():
                if worker in last_end_by_worker:
                    last_end_by_worker[worker] = min(
                        last_end_by_worker[worker], first_end - 1
                    )
        return last_end_by_worker

    def published_backlog(
        self, now: float
    ) -> overload_policy.PublishedBacklog | None:
        """Returns the backlog for the nodes; None for a short one."""
        with self.lock:
            self._backlog_window.add(self.backlog, now)
            least = self._backlog_window.least
            if least.useful_seconds < overload_policy.MIN_PUBLISHED_SECONDS:
                return None
            return overload_policy.PublishedBacklog(
                least,
                overload_policy.admitted_share(
                    self.free_cores, self._offered_cpu.per_second(now)
                ),
                {
                    name: overload_policy.QueueNorm(
                        self._mean_core_seconds_by_queue[name],
                        self._time_factor_by_queue.get(name, 1.0),
                    )
                    for name in self._last_queues()
                    if name in self._mean_core_seconds_by_queue
                },
            )

    def _last_queues(self) -> list[str]:
        """Returns the queues whose jobs no waiting job has to wait for."""
        waiting = {
            job.record.queue: queue.priority
            for job in self.job_by_id.values()
            if job.ready
            and not job.record.spec.lasting
            and (queue := self._queue_by_name.get(job.record.queue))
        }
        last = max(waiting.values(), default=0)
        return [name for name, priority in waiting.items() if priority == last]

    def _waiting_work(
        self, job: batch_job.Job, now: float
    ) -> work_order.WaitingWork:
        queue = self._queue_by_name.get(job.record.queue)
        return work_order.WaitingWork(
            job.job_id,
            queue.priority if queue else 0,
            job.record.spec.lasting,
            now - job.age_since,
            queue.objective_seconds(job.critical_path_seconds)
            if queue
            else job.critical_path_seconds,
            job.critical_path_left_seconds(),
            job.core_seconds_to_start(),
            work_order.value_of(
                job.core_seconds,
                self._mean_core_seconds_by_queue.get(
                    job.record.queue, job.core_seconds
                ),
            ),
        )

    def _plan_job(
        self,
        job: batch_job.Job,
        candidates: list[workers.Worker],
        now: float,
    ) -> None:
        self._want_advice(job, now)
        placed = 0
        full_steps: set[tuple[int, int]] = set()
        for unit in [*job.ready.values()]:
            step_id = unit.occurrence, unit.step_number
            if (
                now < unit.retry_at
                or unit.crash_record.needs_trial
                or unit in self._units_at_work
                or step_id in full_steps
                or self._full.excludes(unit.step)
            ):
                continue
            if self._plan_unit(unit, candidates, now):
                placed += 1
            else:
                full_steps.add(step_id)
        if not placed:
            self._log_waiting(job, candidates, now)
            return
        self._record_placed(job, placed, candidates, now)

    def _record_placed(
        self,
        job: batch_job.Job,
        placed: int,
        candidates: list[workers.Worker],
        now: float,
    ) -> None:
        events.log(
            events.Event.TASKS_PLACED,
            "Tasks were assigned to workers",
            job=job.job_id,
            queue=job.record.queue,
            tasks=placed,
            waiting=len(job.ready),
            workers=len(candidates),
            age_seconds=round(now - job.age_since, 3),
        )

    def _log_waiting(
        self, job: batch_job.Job, candidates: list[workers.Worker], now: float
    ) -> None:
        """Logs at most once a second per job why its tasks wait."""
        if now - job.waiting_logged_at < WAITING_LOG_SECONDS or not job.ready:
            return
        job.waiting_logged_at = now
        unit = next(iter(job.ready.values()))
        events.log(
            events.Event.TASKS_NOT_PLACED,
            "No worker fits the waiting tasks of a job",
            job=job.job_id,
            queue=job.record.queue,
            waiting=len(job.ready),
            need=[*unit.step.need],
            binding="trial"
            if unit.crash_record.needs_trial
            else "room"
            if candidates
            else "workers",
            workers=len(candidates),
            largest_free_cpu=max(
                (worker.free_cpu for worker in candidates), default=0
            ),
            age_seconds=round(now - job.age_since, 3),
        )

    def _plan_unit(
        self,
        unit: batch_job.Unit,
        candidates: list[workers.Worker],
        now: float,
    ) -> bool:
        request = self._placement_request(unit, now)
        if request is None:
            return False
        chosen = self._reserve_in_one_rack(unit, candidates, request) or (
            _reserve_workers(unit, candidates, request)
        )
        if not chosen:
            self._full.record(request)
            self._record_advice_use(unit, is_placed=False)
            return False
        self._record_advice_use(unit, is_placed=True)
        # Set first, so that no planned run is left without its row.
        self.dirty_job_by_id[unit.job.job_id] = unit.job
        if unit.job.state is batch_job.JobState.QUEUED:
            unit.job.state = batch_job.JobState.RUNNING
        unit.last_run += 1
        for index, worker in chosen:
            run = batch_job.Run(unit, index, unit.last_run, worker)
            run.planned_at = now
            unit.runs.append(run)
            worker.run_by_task[run.task] = run
            worker_quarantine.record_start(run)
            if worker.has_trial_run and worker in candidates:
                candidates.remove(worker)
            self.planned.append(run)
        unit.job.ready.pop(unit.key, None)
        return True

    def _reserve_in_one_rack(
        self,
        unit: batch_job.Unit,
        candidates: list[workers.Worker],
        request: worker_choice.PlacementRequest,
    ) -> list[tuple[int, workers.Worker]]:
        """Reserves workers of one rack for a gang slower across racks."""
        if not (unit.step.gang and unit.step.same_rack):
            return []
        racks = sorted({worker.rack for worker in candidates})
        choices = (
            _reserve_workers(
                unit,
                [
                    candidate
                    for candidate in candidates
                    if candidate.rack == rack
                ],
                request,
            )
            for rack in racks
        )
        return next((chosen for chosen in choices if chosen), [])

    def handle_stragglers(self, now: float) -> None:
        """Copies or moves tasks much slower than others of their step."""
        with self.lock:
            if now - self._straggler_check_at < STRAGGLER_CHECK_SECONDS:
                return
            self._straggler_check_at = now
            for worker in [*self.worker_by_id.values()]:
                for run in [*worker.run_by_task.values()]:
                    if self._may_straggle(run):
                        self._handle_straggler(run, now)

    def _may_straggle(self, run: batch_job.Run) -> bool:
        unit = run.unit
        return (
            run.state is batch_job.RunState.RUNNING
            and not run.stopping
            and not unit.step.lasting
            and not unit.step.gang
            and not unit.crash_record.crashes
            and len(unit.runs) == 1
        )

    def _handle_straggler(self, run: batch_job.Run, now: float) -> None:
        unit = run.unit
        step_id = unit.occurrence, unit.step_number
        action = stragglers.judge(
            now - run.acked_at,
            unit.job.done_seconds_by_step.get(step_id, ()),
            unit.step.tasks,
            self._mean_task_seconds_by_queue.get(unit.job.record.queue, 0.0),
            unit.step.copies,
            unit.moves,
        )
        if run.worker.silent_since:
            # Its runs may have ended unnoticed, and a stop would not arrive.
            action = (
                stragglers.Action.COPY
                if unit.step.copies
                else stragglers.Action.WAIT
            )
        if action is stragglers.Action.WAIT:
            return
        events.log(
            events.Event.TASK_STRAGGLES,
            "A task takes much longer than others of its step",
            job=run.task.job_id,
            task=run.task,
            worker=run.worker.worker_id,
            action=action.name.lower(),
            age_seconds=round(now - run.acked_at, 3),
            done=len(unit.job.done_seconds_by_step.get(step_id, ())),
        )
        unit.avoided.add(run.worker.worker_id)
        if action is stragglers.Action.MOVE:
            run.moving = True
            if worker_quarantine.may_be_slow(
                run.worker, self.worker_by_id.values()
            ):
                worker_quarantine.quarantine(
                    run.worker,
                    now,
                    "a task ran much longer than others of its step",
                )
            self._stop_run(run, "it is slower than others of its step")
            return
        candidates = [
            worker
            for worker in self.worker_by_id.values()
            if worker is not run.worker and self._accepts_tasks(worker, now)
        ]
        if self._plan_unit(unit, candidates, now):
            self.dirty_job_by_id[unit.job.job_id] = unit.job


def _needs_proof(unit: batch_job.Unit) -> bool:
    """Whether a crash under a task may convict it."""
    return not unit.step.lasting and unit.crash_record.needs_proof


def _run_count(worker: workers.Worker) -> int:
    return len(worker.run_by_task)


def _reserve_workers(
    unit: batch_job.Unit,
    candidates: list[workers.Worker],
    request: worker_choice.PlacementRequest,
) -> list[tuple[int, workers.Worker]]:
    """Reserves a worker for each task of a unit, or for none of them."""
    tasks_by_worker = collections.Counter(request.tasks_by_worker)
    tasks_by_rack = collections.Counter(request.tasks_by_rack)
    request = request._replace(
        tasks_by_worker=tasks_by_worker, tasks_by_rack=tasks_by_rack
    )
    chosen: list[tuple[int, workers.Worker]] = []
    for index in unit.indexes:
        worker = worker_choice.choose(candidates, request)
        if worker is None:
            for _, reserved_worker in chosen:
                reserved_worker.free(unit.step.need, unit.step.fills)
            return []
        worker.reserve(unit.step.need, unit.step.fills)
        tasks_by_worker[worker.worker_id] += 1
        tasks_by_rack[worker.rack] += 1
        chosen.append((index, worker))
    return chosen
