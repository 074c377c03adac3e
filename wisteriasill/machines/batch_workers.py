"""Workers of a pool: their lives, their load, and how they are emptied."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import itertools
import math
import time

from wisteriasill import events
from wisteriasill.contracts import arrival_rate
from wisteriasill.contracts import host_moves
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_records
from wisteriasill.machines import worker as workers

# Hosts for each host-second of work that arrives in a second: tasks do not
# fill hosts to the brim.
ARRIVAL_HEADROOM = 1.2
NEWS_HOSTS = 0.7  # A rise by most of a host is worth a beat of its own.


class PoolWorkers(batch_records.PoolRecords):
    """Takes in workers and drops them with their runs."""

    def add_worker(self, worker: workers.Worker) -> None:
        """Takes a worker that registered, with the runs stored for it."""
        with self.lock:
            worker_id = worker.worker_id
            self.worker_by_id[worker_id] = worker
            worker.leaving = worker_id in self._leaving_ids
            for run in self._orphans_by_worker.pop(worker_id, []):
                self._adopt_orphan(worker, run)
            lost = self._unplaced.pop(worker_id, [])
            for unit, stored in lost:
                if stored.born_ms != worker.entry.born_ms:
                    unit.job.make_ready_again(unit)
                    continue
                self._add_uncertain_run(worker, unit, stored)
        self._changed.set()

    def _adopt_orphan(self, worker: workers.Worker, run: batch_job.Run) -> None:
        """Bars a run that may have started in a worker's next life."""
        run.worker = worker
        run.state = batch_job.RunState.UNCERTAIN
        run.stopping = True
        worker.run_by_task[run.task] = run
        worker.reserve(run.unit.step.need, run.unit.step.fills)
        worker.send(workers.WorkerOrder("stop", run))

    def _add_uncertain_run(
        self,
        worker: workers.Worker,
        unit: batch_job.Unit,
        stored: batch_job.StoredRun,
    ) -> None:
        run = batch_job.Run(unit, stored.position, stored.number, worker)
        run.state = batch_job.RunState.UNCERTAIN
        unit.runs.append(run)
        worker.run_by_task[run.task] = run
        worker.reserve(unit.step.need, unit.step.fills)
        if unit.done or unit.job.finished:
            self._stop_run(run)

    def remove_worker(
        self, worker: workers.Worker, reason: str, reborn: bool = False
    ) -> None:
        """Drops a worker whose life is certainly over, and its runs.

        Args:
            worker: The worker.
            reason: Why its life is over.
            reborn: Whether a next life may have its id; starts that were sent
                since the last look may have reached that.
        """
        with self.lock:
            if self.worker_by_id.get(worker.worker_id) is not worker:
                return
            del self.worker_by_id[worker.worker_id]
            worker.dead = True
            orphans = [
                run
                for run in worker.run_by_task.values()
                if reborn and run.ordered_at > worker.looked_at
            ]
            if orphans:
                self._orphans_by_worker[worker.worker_id] = orphans
            self._lose_runs(
                worker,
                [
                    run
                    for run in worker.run_by_task.values()
                    if run not in orphans
                ],
                reason,
            )
        worker.close()
        events.log(
            events.Event.WORKER_LOST,
            "A worker is gone",
            service=self.service,
            worker=worker.worker_id,
            reason=reason,
            uncertain_runs=len(orphans),
        )
        self._changed.set()

    def _lose_runs(
        self,
        worker: workers.Worker,
        runs: Iterable[batch_job.Run],
        reason: str,
    ) -> None:
        for run in runs:
            events.log(
                events.Event.RUN_LOST,
                "A run ended with its worker",
                level="WARNING",
                job=run.task.job_id,
                task=run.task,
                run=run.number,
                worker=worker.worker_id,
                reason=reason,
            )
            self._end_run(run)

    def set_down(self, worker_ids: set[str]) -> None:
        """Takes which workers' hosts are down, by the platform's list.

        The list tells a crash from a cut connection, so nothing waits for the
        end of a lease. A worker that is still in the set but registered
        again since is another life.
        """
        with self.lock:
            for worker_id in worker_ids - self._down_ids:
                if worker := self.worker_by_id.get(worker_id):
                    self.remove_worker(worker, "its host is down")
                for unit, _ in self._unplaced.pop(worker_id, []):
                    unit.job.make_ready_again(unit)
            self._down_ids = worker_ids
        self._changed.set()

    def expire(self, now: float) -> None:
        """Ends the runs whose leases have certainly lapsed."""
        with self.lock:
            for worker in [*self.worker_by_id.values()]:
                sent = [
                    run
                    for run in worker.run_by_task.values()
                    if run.may_be_there
                ]
                if sent and worker.lapsed(now):
                    self._lose_runs(worker, sent, "lease lapsed")
                if not worker.run_by_task and not worker.listed:
                    self.remove_worker(worker, "not listed any more")
            for orphans in self._orphans_by_worker.values():
                for run in [*orphans]:
                    if now - run.ordered_at > _ORPHAN_SECONDS:
                        orphans.remove(run)
                        self._end_run(run)
            if now >= self.lapse_unknown_until:
                for unit, _ in itertools.chain.from_iterable(
                    self._unplaced.values()
                ):
                    unit.job.make_ready_again(unit)
                self._unplaced.clear()

    def set_leaving(self, worker_ids: set[str]) -> None:
        """Takes which workers the fleet's keeper wants emptied."""
        with self.lock:
            for worker in self.worker_by_id.values():
                leaving = worker.worker_id in worker_ids
                worker.leaving = leaving
            self._leaving_ids = worker_ids
        self._changed.set()

    def empty_workers(self, now: float) -> None:
        """Stops lasting tasks on workers that leave, as their steps allow."""
        with self.lock:
            for worker in self.worker_by_id.values():
                draining = worker.entry.state is cluster.WorkerState.DRAINING
                if not worker.leaving and not draining:
                    continue
                for run in [*worker.run_by_task.values()]:
                    if run.unit.step.lasting and (
                        draining or self._may_take_away(run)
                    ):
                        self._stop_run(run)

    def _may_take_away(self, run: batch_job.Run) -> bool:
        """Whether a step can spare one more task for a planned act."""
        unit = run.unit
        if run.stopping or run.state is not batch_job.RunState.RUNNING:
            return False
        now = time.monotonic()
        away = sum(
            not any(_at_work(other_run, now) for other_run in other.runs)
            for other in unit.job.units_by_step[
                unit.occurrence, unit.step_number
            ]
            if other is not unit
        )
        return away < max(1, unit.step.may_be_away)

    def load_now(self, now: float) -> host_moves.PoolLoad:
        """Returns the pool's load for the fleet's keeper."""
        with self.lock:
            fixed, moving = [0, 0], [0, 0]
            # Tasks of each step that bounds how many one worker takes.
            spread_out: collections.Counter[tuple[job_spec.StepKey, int]] = (
                collections.Counter()
            )
            for worker in self.worker_by_id.values():
                for run in worker.run_by_task.values():
                    step = run.unit.step
                    total = fixed if step.lasting else moving
                    total[0] += 0 if step.fills else step.need.cpu
                    total[1] += step.need.memory_mb
                    if step.most_per_worker:
                        spread_out[run.unit.step_key, step.most_per_worker] += 1
            for job in self.job_by_id.values():
                for unit in job.ready.values():
                    count = len(unit.indexes)
                    moving[0] += count * unit.step.need.cpu
                    moving[1] += count * unit.step.need.memory_mb
                    if unit.step.most_per_worker:
                        spread_out[
                            unit.step_key, unit.step.most_per_worker
                        ] += count
            coming = [
                ARRIVAL_HEADROOM * arrival_rate.forecast(rates, now)
                for rates in (self._cpu_arrivals, self._memory_arrivals)
            ]
            cpu, memory_mb = (
                int(base + max(soon, present))
                for base, soon, present in zip(
                    fixed, coming, moving, strict=True
                )
            )
            return host_moves.PoolLoad(
                job_spec.Room(cpu, memory_mb, 0),
                {
                    worker.worker_id: _worker_load(worker, now)
                    for worker in self.worker_by_id.values()
                },
                max(
                    (
                        math.ceil(count / most)
                        for (_, most), count in spread_out.items()
                    ),
                    default=0,
                ),
            )

    def news_cpu(self) -> float:
        """Rise of the needed processors that can't wait for the next beat."""
        with self.lock:
            return NEWS_HOSTS * max(
                (
                    worker.entry.room.cpu
                    for worker in self.worker_by_id.values()
                ),
                default=0,
            )


def _at_work(run: batch_job.Run, now: float) -> bool:
    return (
        run.worker.answers(now)
        and run.state is batch_job.RunState.RUNNING
        and not run.stopping
        and bool(run.at_work_at)
    )


def _worker_load(worker: workers.Worker, now: float) -> host_moves.WorkerLoad:
    lasting = sum(run.unit.step.lasting for run in worker.run_by_task.values())
    count = len(worker.run_by_task)
    return host_moves.WorkerLoad(
        lasting,
        count - lasting,
        0.0 if count else round(now - worker.idle_since, 2),
        worker.leaving and not count,
    )


_ORPHAN_SECONDS = workers.LONGEST_LEASE_SECONDS / workers.SLOWEST_CLOCK
