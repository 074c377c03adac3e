"""Simulated pool of the experiment on crashes of workers.

The pool learns of a crash 0.1 to 0.4 s later. It knows how long a run was alive
from reports every 0.1 s.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import random
from typing import NamedTuple

from wisteriasill.contracts import crash_evidence

RACKS = 5
SLOTS = 4  # Tasks of a worker.
LOAD = 0.7  # Share of the slots for which there are tasks.
LONG_SHARE = 0.05  # Share of the tasks that last until the end.
SPELL_SECONDS = 20.0
DURATION_SECONDS = 50.0
STEP_SECONDS = 0.05
REPORT_SECONDS = 0.1
RESTART_SECONDS = 0.5


@dataclasses.dataclass(eq=False)
class Task:
    """A task and what the pool knows of it."""

    seconds: float
    bad: bool
    lost_at: float
    crash_record: crash_evidence.CrashRecord = crash_evidence.NO_CRASHES
    crashed_workers: int = 0
    started_at: float = 0.0
    longest_wait: float = 0.0
    given_up: bool = False
    done: bool = False
    suspected_with: list[list[Task]] = dataclasses.field(default_factory=list)

    def survived_seconds(self, now: float) -> float:
        """Returns for how long reports have shown its run alive."""
        reports = int((now - self.started_at) / REPORT_SECONDS + 1e-6)
        return max(0, reports - 1) * REPORT_SECONDS

    def is_new(self, now: float) -> bool:
        """Whether its run may still crash the worker by its start."""
        return self.survived_seconds(now) < crash_evidence.PROBATION_SECONDS


@dataclasses.dataclass(eq=False)
class Worker:
    """A worker; `crashed_at` is set until the pool knows of the crash."""

    rack: str
    tasks: list[Task] = dataclasses.field(default_factory=list)
    crashed_at: float = -1.0
    known_at: float = 0.0
    back_at: float = 0.0
    has_trial: bool = False


class Crash(NamedTuple):
    """A crash as the pool knows it."""

    recent: crash_evidence.WorkerCrash
    past: crash_evidence.PastCrash


class PoolRun:
    """One variant with one seed."""

    def __init__(self, workers: int, share: float, bad: int, seed: int) -> None:
        self._random = random.Random(f"{workers}/{share}/{bad}/{seed}")
        self._share = share
        self._workers = [Worker(f"r{n % RACKS}") for n in range(workers)]
        self._bad_at = sorted(
            self._random.uniform(0, SPELL_SECONDS) for _ in range(bad)
        )
        self._period = self._random.uniform(0.6, 2.5)
        self._next_crash_at = self._period
        self._crashes: list[Crash] = []
        self._waiting: list[Task] = []
        self.tasks: list[Task] = []
        self._now = 0.0

    def run(self) -> None:
        """Plays the day."""
        steps = round(DURATION_SECONDS / STEP_SECONDS)
        for number in range(steps):
            self._now = number * STEP_SECONDS
            self._crash_workers()
            self._learn_crashes()
            self._take_reports()
            self._add_tasks()
            self._start_tasks()

    def _crash_workers(self) -> None:
        if not self._next_crash_at <= self._now < SPELL_SECONDS:
            return
        self._next_crash_at = self._now + self._period
        count = max(1, round(self._share * len(self._workers)))
        for worker in self._random.sample(self._workers, count):
            if self._is_up(worker):
                self._crash(worker)

    def _crash(self, worker: Worker) -> None:
        worker.crashed_at = self._now
        worker.known_at = self._now + self._random.uniform(0.1, 0.4)
        worker.back_at = self._now + RESTART_SECONDS

    def _is_up(self, worker: Worker) -> bool:
        return worker.crashed_at < 0 and self._now >= worker.back_at

    def _learn_crashes(self) -> None:
        known = [
            worker
            for worker in self._workers
            if worker.crashed_at >= 0 and worker.known_at <= self._now
        ]
        crash_by_worker = {worker: self._note(worker) for worker in known}
        for worker, crash in crash_by_worker.items():
            self._judge_tasks(worker, crash)
            self._waiting += [
                task for task in worker.tasks if not task.given_up
            ]
            worker.tasks = []
            worker.crashed_at = -1.0
            worker.has_trial = False

    def _note(self, worker: Worker) -> Crash:
        new = [task for task in worker.tasks if task.is_new(worker.crashed_at)]
        crash = Crash(
            crash_evidence.WorkerCrash(self._now, worker.rack, bool(new)),
            crash_evidence.PastCrash(
                self._now, frozenset(worker.tasks), frozenset(new)
            ),
        )
        self._crashes.append(crash)
        return crash

    def _judge_tasks(self, worker: Worker, crash: Crash) -> None:
        suspects = [
            task
            for task in reversed(worker.tasks)
            if task.is_new(worker.crashed_at)
        ]
        circumstances = crash_evidence.circumstances(
            len(suspects),
            worker.rack,
            (
                other.recent
                for other in self._crashes
                if other is not crash
                and self._now - other.recent.at
                < crash_evidence.RACK_LOSS_SECONDS
            ),
        )
        for task in worker.tasks:
            former = task.crash_record
            task.crashed_workers += 1
            task.lost_at = self._now
            task.crash_record = crash_evidence.record_crash(
                former,
                task.survived_seconds(worker.crashed_at),
                circumstances._replace(background_rate=self._rate(task)),
            )
            if task.crash_record.suspicions > former.suspicions:
                task.suspected_with.append(suspects)
            if task.crash_record.convicted:
                task.given_up = True
                self._clear_others(task)

    def _rate(self, task: Task) -> float:
        return crash_evidence.background_rate(
            (crash.past for crash in self._crashes),
            task,
            len(self._workers),
            self._now,
            -crash_evidence.BACKGROUND_SECONDS,
        )

    def _clear_others(self, convict: Task) -> None:
        self._crashes = [
            crash for crash in self._crashes if convict not in crash.past.tasks
        ]
        for suspects in convict.suspected_with:
            for task in suspects:
                if task is not convict and suspects in task.suspected_with:
                    task.suspected_with.remove(suspects)
                    task.crash_record = crash_evidence.record_explanation(
                        task.crash_record
                    )

    def _take_reports(self) -> None:
        for worker in self._workers:
            if worker.crashed_at >= 0:
                continue
            for task in worker.tasks:
                survived = task.survived_seconds(self._now)
                task.crash_record = crash_evidence.record_survival(
                    task.crash_record, survived
                )
                if survived >= crash_evidence.PROBATION_SECONDS:
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
        wanted = round(LOAD * SLOTS * len(self._workers))
        missing = wanted - at_work - len(self._waiting)
        self._waiting += [self._new_task(bad=False) for _ in range(missing)]

    def _new_task(self, bad: bool) -> Task:
        is_long = self._random.random() < LONG_SHARE
        seconds = self._random.uniform(0.5, 4.0)
        task = Task(DURATION_SECONDS if is_long else seconds, bad, self._now)
        self.tasks.append(task)
        return task

    def _start_tasks(self) -> None:
        waiting, self._waiting = self._waiting, []
        # Those that need a trial choose first.
        for task in sorted(
            waiting, key=lambda task: not task.crash_record.needs_trial
        ):
            worker = next(self._choices(task), None)
            if worker is None:
                self._waiting.append(task)
                continue
            task.longest_wait = max(task.longest_wait, self._now - task.lost_at)
            task.started_at = self._now
            worker.tasks.append(task)
            worker.has_trial = task.crash_record.needs_trial
            if task.bad:
                self._crash(worker)

    def _choices(self, task: Task) -> Iterator[Worker]:
        """Returns workers for a task, those with the fewest runs first."""
        on_trial = task.crash_record.needs_trial
        if on_trial and not crash_evidence.may_try(
            task.crash_record, self._rate(task), self._now - task.lost_at
        ):
            return iter(())
        # The pool finds out about a crash later, as no call returns.
        return (
            worker
            for worker in sorted(
                self._workers, key=lambda worker: len(worker.tasks)
            )
            if self._is_up(worker)
            and len(worker.tasks) < SLOTS
            and not worker.has_trial
            and not (
                on_trial and any(run.is_new(self._now) for run in worker.tasks)
            )
        )
