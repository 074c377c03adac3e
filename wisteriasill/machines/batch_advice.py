"""Constraints on the workers of a task, and the advice that they need."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import time
from typing import NamedTuple

from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.contracts import step_advice
from wisteriasill.contracts import worker_choice
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_reports
from wisteriasill.machines import worker as workers
from wisteriasill.machines import worker_quarantine


class AdviceCall(NamedTuple):
    """A call for advice to make.

    Attributes:
        worker_ids: Workers to name.
        declared_seconds: How long the call takes by its queue.
    """

    step: job_spec.StepKey
    worker_ids: list[str]
    declared_seconds: float


class PoolAdvice(batch_reports.PoolReports):
    """Knows which workers a task may run on, and asks where a policy decides.

    A call is due only where a planning round found no worker for a task with
    the tickets at hand, so steps that run or ended cost none.
    """

    def payload(self, run: batch_job.Run) -> tuple[str, str]:
        """Returns the payload and the advice ticket of a run."""
        unit = run.unit
        advice = unit.job.advice_by_step.get(unit.step_key)
        return (
            unit.job.record.spec.payload,
            advice.ticket(run.worker.worker_id) if advice else "",
        )

    def next_advice_call(self, now: float) -> AdviceCall | None:
        """Returns the most urgent call for advice to make; None for none.

        Steps whose calls failed come after the others, and steps with a valid
        ticket after those that have none.
        """
        with self.lock:
            waiting = sorted(
                (
                    advice.failed_calls,
                    bool(advice.permitted(now)),
                    self._order_by_job.get(job.job_id, len(self._order_by_job)),
                    step_key,
                )
                for job in self.job_by_id.values()
                if self._advice_rule(job)
                for step_key, advice in job.advice_by_step.items()
                if advice.is_wanted
            )
            with_room = [
                worker
                for worker in self.worker_by_id.values()
                if self._accepts_tasks(worker, now)
            ]
            calls = (
                self._advice_call(
                    step_key,
                    # Where a ticket is valid, only room is missing.
                    with_room if has_ticket else self.worker_by_id.values(),
                    has_ticket,
                    now,
                )
                for _, has_ticket, _, step_key in waiting
            )
            return next((call for call in calls if call.worker_ids), None)

    def _advice_rule(self, job: batch_job.Job) -> queues.AdviceRule | None:
        queue = self._queue_by_name.get(job.record.queue)
        return queue.advice if queue else None

    def _advice_call(
        self,
        step_key: job_spec.StepKey,
        candidates: Iterable[workers.Worker],
        needs_room: bool,
        now: float,
    ) -> AdviceCall:
        """Returns the call for a step; it names no worker if none is due."""
        job = self.job_by_id[step_key.job_id]
        rule = self._advice_rule(job)
        step = job.record.spec.steps[step_key.step]
        request = worker_choice.PlacementRequest(step, {}, {})
        ranked = sorted(
            (
                not is_free,
                bool(step.data_rack) and worker.rack != step.data_rack,
                worker.rack if step.same_rack else "",
                position,
                worker.worker_id,
            )
            for position, worker in enumerate(candidates)
            if _may_suit(worker, step)
            and (
                (
                    is_free := self._accepts_tasks(worker, now)
                    and worker_choice.fits(worker, request)
                )
                or not needs_room
            )
        )
        worker_ids = job.advice_by_step[step_key].workers_to_name(
            [worker_id for *_, worker_id in ranked],
            step_advice.DEFAULT_SETTINGS.workers_per_call,
            now,
        )
        return AdviceCall(
            step_key,
            worker_ids,
            step_advice.declared_seconds(rule, len(worker_ids))
            if rule
            else 0.0,
        )

    def on_advice(self, call: AdviceCall, advice: cluster.Advice) -> bool:
        """Records which workers may run a step.

        Returns:
            Whether there is a valid ticket for the step, or it has ended.
        """
        now = time.monotonic()
        with self.lock:
            job = self.job_by_id.get(call.step.job_id)
            known = job.advice_by_step.get(call.step) if job else None
            if job is None or known is None:
                return True
            valid_seconds = advice.valid_seconds
            if valid_seconds is None:
                rule = self._advice_rule(job)
                valid_seconds = rule.valid_seconds if rule else 0.0
            known.record(
                call.worker_ids,
                advice.ticket_by_worker,
                now + valid_seconds,
                now,
            )
            has_ticket = not known.is_wanted
        self._changed.set()
        return has_ticket

    def on_advice_failure(self, call: AdviceCall) -> None:
        """Lets the other steps come before one whose call failed."""
        with self.lock:
            job = self.job_by_id.get(call.step.job_id)
            if job and (advice := job.advice_by_step.get(call.step)):
                advice.failed_calls += 1

    def _accepts_tasks(self, worker: workers.Worker, now: float) -> bool:
        return (
            worker.is_reachable
            # It gets no start until it has reported.
            and not worker.silent_since
            and worker.listed
            # Unknown runs hold room that the pool does not count.
            and not worker.unknown_run_by_key
            and not worker.drain_requested
            and worker.entry.state is cluster.WorkerState.READY
            and now >= worker.no_starts_until
            and worker_quarantine.accepts_tasks(worker, now)
        )

    def _placement_request(
        self, unit: batch_job.Unit, now: float
    ) -> worker_choice.PlacementRequest | None:
        """Returns the constraints of a unit; None if it lacks advice."""
        tasks_by_worker: collections.Counter[str] = collections.Counter()
        tasks_by_rack: collections.Counter[str] = collections.Counter()
        if unit.step.lasting or unit.step.most_per_worker:
            for other in unit.job.units_by_step[
                unit.occurrence, unit.step_number
            ]:
                for run in other.runs:
                    tasks_by_worker[run.worker.worker_id] += 1
                    tasks_by_rack[run.worker.rack] += 1
        permitted = None
        if self._advice_rule(unit.job):
            advice = unit.job.advice_by_step.setdefault(
                unit.step_key, step_advice.StepAdvice()
            )
            permitted = advice.permitted(now)
            if not permitted:
                advice.is_wanted = True
                return None
        return worker_choice.PlacementRequest(
            unit.step,
            tasks_by_worker,
            tasks_by_rack,
            unit.avoided,
            permitted,
            self.due_worker_ids,
        )

    def _want_advice(self, job: batch_job.Job, now: float) -> None:
        """Has the steps of waiting units without a valid ticket asked for."""
        if not self._advice_rule(job):
            return
        for step_key in {unit.step_key for unit in job.ready.values()}:
            advice = job.advice_by_step.setdefault(
                step_key, step_advice.StepAdvice()
            )
            if not advice.permitted(now):
                advice.is_wanted = True

    def _record_advice_use(self, unit: batch_job.Unit, is_placed: bool) -> None:
        """Records whether the tickets of a step were enough for a unit."""
        if advice := unit.job.advice_by_step.get(unit.step_key):
            advice.is_wanted = not is_placed


def _may_suit(worker: workers.Worker, step: job_spec.StepSpec) -> bool:
    """Whether a worker could run a task of a step, now or later."""
    return (
        worker.listed
        and not worker.drain_requested
        and worker.entry.state is cluster.WorkerState.READY
        and worker.entry.room.holds(step.need)
        and (not step.label or step.label in worker.labels)
    )
