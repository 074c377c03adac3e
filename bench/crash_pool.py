"""Simulated pool of the experiment on crashes of workers.

The pool learns of a crash 0.1 to 0.4 s later, of a silent one 0.1 to 0.6 s
later. It knows how long a run was alive from reports every 0.1 s. As the
product sends the orders of a worker one by one, one start at most is in flight
to a worker that does not answer, and those behind it were never sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import dataclasses
import math
import random
from typing import Literal, NamedTuple

from bench import crash_patterns
from wisteriasill.contracts import crash_evidence

RACKS = 5
SLOTS = 4  # Tasks of a worker.
LONG_SHARE = 0.05  # Share of the tasks that last until the end.
CALM_SECONDS = 30.0  # Time without crashes after the spell.
STEP_SECONDS = crash_patterns.STEP_SECONDS
REPORT_SECONDS = 0.1
RESTART_SECONDS = 0.5
KNOWN_SECONDS = (0.1, 0.4)
SILENT_KNOWN_SECONDS = (0.1, 0.6)

# When a bad task crashes its worker, seen from the answer to the start order.
BadKind = Literal["confirmed", "unconfirmed"]


class Variant(NamedTuple):
    """Settings of a simulated pool.

    Attributes:
        workers: Number of workers.
        pattern: Crashes that no task causes.
        bad: Number of tasks that crash each worker that starts them.
        bad_kind: Whether those do so before their start is confirmed.
        load: Share of the slots for which there are tasks.
    """

    workers: int
    pattern: crash_patterns.CrashPattern
    bad: int
    bad_kind: BadKind = "confirmed"
    load: float = 0.7


@dataclasses.dataclass(eq=False)
class Task:
    """A task, its current run, and what the pool knows of both.

    Attributes:
        started_at: Time at which the start order was sent or queued.
        is_sent: Whether the start order was sent.
        is_confirmed: Whether the worker answered it.
        has_begun: Whether the worker got it, which the pool may not know.
    """

    seconds: float
    bad: bool
    lost_at: float
    crash_record: crash_evidence.CrashRecord = crash_evidence.NO_CRASHES
    crashed_workers: int = 0
    started_at: float = 0.0
    is_sent: bool = False
    is_confirmed: bool = False
    has_begun: bool = False
    early_crash_at: float = -math.inf
    retry_at: float = 0.0
    longest_wait: float = 0.0
    given_up: bool = False
    done: bool = False
    suspected_with: list[list[Task]] = dataclasses.field(default_factory=list)

    def survived_seconds(self, now: float) -> float:
        """Returns for how long reports have shown its run alive."""
        if not self.is_confirmed:
            return 0.0
        reports = int((now - self.started_at) / REPORT_SECONDS + 1e-6)
        return max(0, reports - 1) * REPORT_SECONDS

    def is_new(self, now: float) -> bool:
        """Whether its run may still crash the worker by its start."""
        return self.survived_seconds(now) < crash_evidence.PROBATION_SECONDS


@dataclasses.dataclass(eq=False)
class Worker:
    """A worker; `crashed_at` is set until the pool knows of the crash.

    Attributes:
        is_silent: Whether calls to it get no answer.
        has_order: Whether a start order is in flight without an answer.
    """

    rack: str
    tasks: list[Task] = dataclasses.field(default_factory=list)
    crashed_at: float = -1.0
    known_at: float = 0.0
    back_at: float = 0.0
    has_trial: bool = False
    is_silent: bool = False
    has_order: bool = False

    def seen_until(self, now: float) -> float:
        """Returns the time of its last report."""
        return now if self.crashed_at < 0 else self.crashed_at

    @property
    def lost_tasks(self) -> list[Task]:
        """Tasks that the pool must assume to have been on it at its crash."""
        return [task for task in self.tasks if task.is_sent]

    @property
    def suspects(self) -> list[Task]:
        """Those that had just started, the last one first."""
        return [
            task
            for task in reversed(self.lost_tasks)
            if task.is_new(self.crashed_at)
        ]


class TaskCrash(NamedTuple):
    """A crash under a task that may help to convict it.

    Attributes:
        former: What earlier crashes had told of the task.
        time: When it happened.
        weighed: Its circumstances, of which those that may change later are
            weighed again.
    """

    former: crash_evidence.CrashRecord
    survived_seconds: float
    time: crash_evidence.CrashTime
    crash: crash_evidence.WorkerCrash
    weighed: crash_evidence.Circumstances


class PoolRun:
    """One variant with one seed."""

    def __init__(self, variant: Variant, seed: int) -> None:
        workers, pattern, bad = variant[:3]
        self._variant = variant
        self._random = random.Random(f"{workers}/{pattern.name}/{bad}/{seed}")
        self._workers = [Worker(f"r{n % RACKS}") for n in range(workers)]
        self._bad_at = sorted(
            self._random.uniform(0, pattern.spell_seconds) for _ in range(bad)
        )
        self._crash_times = [*pattern.times(self._random)]
        self._duration = pattern.spell_seconds + CALM_SECONDS
        self._crashes: list[crash_evidence.WorkerCrash] = []
        self._verdict_by_task: dict[Task, TaskCrash] = {}
        self._waiting: list[Task] = []
        self._other_pools = random.Random(f"{pattern.name}/{seed}")
        self._other_pool_crashes: list[float] = []
        self.tasks: list[Task] = []
        self._now = 0.0

    @property
    def other_pool_crashes(self) -> list[float]:
        """Times at which crashes in other pools became known, until now."""
        return sorted(at for at in self._other_pool_crashes if at <= self._now)

    def run(self) -> None:
        """Plays the day."""
        steps = round(self._duration / STEP_SECONDS)
        for number in range(steps):
            self._now = number * STEP_SECONDS
            self._crash_workers()
            self._learn_crashes()
            self._reach_verdicts()
            self._take_reports()
            self._add_tasks()
            self._start_tasks()

    def _crash_workers(self) -> None:
        while self._crash_times and self._crash_times[0].at <= self._now:
            crash = self._crash_times.pop(0)
            count = max(1, round(crash.share * len(self._workers)))
            for worker in self._random.sample(self._workers, count):
                if self._is_up(worker):
                    self._crash(worker, crash.silent)
            self._other_pool_crashes += [
                self._now + self._other_pools.uniform(*SILENT_KNOWN_SECONDS)
                for _ in range(count * crash.other_pools)
            ]

    def _crash(self, worker: Worker, silent: bool = False) -> None:
        bounds = SILENT_KNOWN_SECONDS if silent else KNOWN_SECONDS
        worker.is_silent = silent
        worker.crashed_at = self._now
        worker.known_at = self._now + self._random.uniform(*bounds)
        worker.back_at = self._now + RESTART_SECONDS

    def _is_up(self, worker: Worker) -> bool:
        return worker.crashed_at < 0 and self._now >= worker.back_at

    def _seems_up(self, worker: Worker) -> bool:
        is_gone_unnoticed = worker.crashed_at >= 0 and worker.is_silent
        return is_gone_unnoticed or self._is_up(worker)

    def _learn_crashes(self) -> None:
        known = [
            worker
            for worker in self._workers
            if worker.crashed_at >= 0 and worker.known_at <= self._now
        ]
        crash_by_worker = {worker: self._note(worker) for worker in known}
        for worker, crash in crash_by_worker.items():
            self._judge_tasks(worker, crash)
            self._waiting += worker.tasks
            worker.tasks = []
            worker.crashed_at = -1.0
            worker.has_trial = worker.is_silent = worker.has_order = False

    def _note(self, worker: Worker) -> crash_evidence.WorkerCrash:
        suspects = frozenset(worker.suspects)
        crash = crash_evidence.WorkerCrash(
            self._now,
            bool(suspects),
            tasks=frozenset(worker.lost_tasks),
            suspects=suspects,
            tried=frozenset(
                task for task in suspects if task.crash_record.needs_trial
            ),
            is_shared=any(
                task.crash_record.may_share_trial for task in suspects
            ),
        )
        self._crashes = [
            other
            for other in self._crashes
            if self._now - other.at < crash_evidence.BACKGROUND_SECONDS
        ]
        self._crashes.append(crash)
        return crash

    def _judge_tasks(
        self, worker: Worker, crash: crash_evidence.WorkerCrash
    ) -> None:
        suspects = worker.suspects
        for task in worker.tasks:
            task.crashed_workers += task.has_begun
            task.lost_at = self._now
        for task in worker.lost_tasks:
            former = task.crash_record
            survived_seconds = task.survived_seconds(worker.crashed_at)
            alive_at = task.started_at + survived_seconds
            task_crash = TaskCrash(
                former,
                survived_seconds,
                crash_evidence.CrashTime(alive_at, self._now),
                crash,
                crash_evidence.Circumstances(
                    len(suspects),
                    is_confirmed=task.is_confirmed,
                    seconds_since_last=alive_at - task.early_crash_at,
                ),
            )
            record = self._weigh(task, task_crash)
            task.crash_record = record._replace(convicted=False)
            if record.suspicions > former.suspicions:
                task.suspected_with.append(suspects)
            if task.is_new(worker.crashed_at):
                task.early_crash_at = self._now
            if record.needs_verdict(former):
                self._verdict_by_task[task] = task_crash
                task.retry_at = self._now + crash_evidence.COMMON_CAUSE_SECONDS

    def _weigh(
        self, task: Task, task_crash: TaskCrash
    ) -> crash_evidence.CrashRecord:
        circumstances = crash_evidence.circumstances(
            task_crash.weighed.suspects,
            task_crash.time,
            (other for other in self._crashes if other is not task_crash.crash),
            self.other_pool_crashes,
        )
        return crash_evidence.record_crash(
            task_crash.former,
            task_crash.survived_seconds,
            task_crash.weighed._replace(
                has_outside_cause=circumstances.has_outside_cause,
                has_common_cause=circumstances.has_common_cause,
                is_beside_trial=circumstances.is_beside_trial,
                background_rate=self._rate(task, self._crashes),
                isolated_rate=self._rate(task, self._isolated_crashes()),
            ),
        )

    def _reach_verdicts(self) -> None:
        due = [
            (task, crash)
            for task, crash in self._verdict_by_task.items()
            if self._now - crash.time.at >= crash_evidence.COMMON_CAUSE_SECONDS
        ]
        for task, crash in due:
            if self._verdict_by_task.pop(task, None) is None:
                continue
            task.crash_record = self._weigh(task, crash)
            if task.crash_record.convicted:
                task.given_up = True
                self._waiting.remove(task)
                self._clear_others(task)

    def _isolated_crashes(self) -> list[crash_evidence.WorkerCrash]:
        return crash_evidence.isolated_crashes(
            self._crashes, self.other_pool_crashes
        )

    def _rate(
        self, task: Task, crashes: Iterable[crash_evidence.WorkerCrash]
    ) -> float:
        return crash_evidence.background_rate(
            crashes,
            task,
            len(self._workers),
            self._now,
            -crash_evidence.BACKGROUND_SECONDS,
        )

    def _clear_others(self, convict: Task) -> None:
        self._crashes = [
            crash._replace(is_settled=True) if convict in crash.tasks else crash
            for crash in self._crashes
        ]
        for suspects in convict.suspected_with:
            for task in suspects:
                if task is not convict and suspects in task.suspected_with:
                    task.suspected_with.remove(suspects)
                    task.crash_record = crash_evidence.record_explanation(
                        task.crash_record
                    )
                    self._verdict_by_task.pop(task, None)

    def _take_reports(self) -> None:
        for worker in self._workers:
            if worker.crashed_at >= 0:
                continue
            for task in worker.tasks:
                survived = task.survived_seconds(self._now)
                if task.crash_record is not crash_evidence.NO_CRASHES:
                    task.crash_record = crash_evidence.record_survival(
                        task.crash_record, survived
                    )
                if survived >= crash_evidence.PROBATION_SECONDS:
                    self._verdict_by_task.pop(task, None)
                    task.suspected_with.clear()
                    worker.has_trial = False
            for task in worker.tasks:
                task.done = self._now - task.started_at >= task.seconds
            worker.tasks = [task for task in worker.tasks if not task.done]
            if not worker.tasks:
                worker.has_trial = False

    def _add_tasks(self) -> None:
        if self._bad_at and self._bad_at[0] <= self._now:
            self._bad_at.pop(0)
            self._waiting.append(self._new_task(bad=True))
        at_work = sum(len(worker.tasks) for worker in self._workers)
        wanted = round(self._variant.load * SLOTS * len(self._workers))
        missing = wanted - at_work - len(self._waiting)
        self._waiting += [self._new_task(bad=False) for _ in range(missing)]

    def _new_task(self, bad: bool) -> Task:
        is_long = self._random.random() < LONG_SHARE
        seconds = self._random.uniform(0.5, 4.0)
        task = Task(self._duration if is_long else seconds, bad, self._now)
        self.tasks.append(task)
        return task

    def _start_tasks(self) -> None:
        waiting, self._waiting = self._waiting, []
        # Those that need a trial choose first.
        for task in sorted(
            waiting, key=lambda task: not task.crash_record.needs_trial
        ):
            worker = next(self._choices(task), None)
            if (
                worker is None
                or not self._may_try(task)
                or (
                    task.crash_record.needs_proof
                    and not crash_evidence.may_try_beside(
                        task.crash_record, self._records_on_proof()
                    )
                )
            ):
                self._waiting.append(task)
                continue
            task.longest_wait = max(task.longest_wait, self._now - task.lost_at)
            worker.has_trial = task.crash_record.needs_trial
            self._start(task, worker)

    def _start(self, task: Task, worker: Worker) -> None:
        worker.tasks.append(task)
        task.started_at = self._now
        task.has_begun = worker.crashed_at < 0
        task.is_sent = not worker.has_order
        task.is_confirmed = task.has_begun
        if not task.has_begun:
            worker.has_order = True
        elif task.bad:
            task.is_confirmed = self._variant.bad_kind == "confirmed"
            self._crash(worker)

    def _may_try(self, task: Task) -> bool:
        record = task.crash_record
        return not record.needs_trial or (
            self._now >= task.retry_at
            and crash_evidence.may_try(
                record,
                crash_evidence.TrialConditions(
                    self._rate(task, self._crashes),
                    self._rate(task, self._isolated_crashes()),
                    self._now - task.lost_at,
                    crash_evidence.quiet_seconds(
                        self._crashes, task, self.other_pool_crashes, self._now
                    ),
                ),
            )
        )

    def _records_on_proof(self) -> Iterator[crash_evidence.CrashRecord]:
        """Returns what was known of tasks that a crash may convict."""
        yield from (crash.former for crash in self._verdict_by_task.values())
        for worker in self._workers:
            for task in worker.tasks:
                record = task.crash_record
                if record.needs_proof and task.is_new(
                    worker.seen_until(self._now)
                ):
                    yield record

    def _choices(self, task: Task) -> Iterator[Worker]:
        """Returns workers for a task, those with the fewest runs first."""
        on_trial = task.crash_record.needs_trial
        return (
            worker
            for worker in sorted(
                self._workers, key=lambda worker: len(worker.tasks)
            )
            if self._seems_up(worker)
            and len(worker.tasks) < SLOTS
            and not worker.has_trial
            and not (
                on_trial
                and any(
                    run.is_new(worker.seen_until(self._now))
                    for run in worker.tasks
                )
            )
        )
