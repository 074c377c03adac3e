"""Workers of a pool: their incarnations, their load and their drain."""

from __future__ import annotations

import collections
from collections.abc import Collection, Iterable, Mapping
import itertools
import math
import time
from typing import NamedTuple

from wisteriasill import events
from wisteriasill.contracts import arrival_rate
from wisteriasill.contracts import host_moves
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_crashes
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_runs
from wisteriasill.machines import worker as workers

# Hosts for each host-second of work that arrives in a second; more than 1 as
# tasks don't pack hosts completely.
ARRIVAL_HEADROOM = 1.2
# A rise by most of a host is published before the next heartbeat.
URGENT_RISE_HOSTS = 0.7
# Workers that are gone whose runs are kept until they are back.
MAX_ABSENT_WORKERS = 200


class Removal(NamedTuple):
    """Why a worker is removed.

    Attributes:
        restarted: Whether a new incarnation may have its id; it may have
            received start orders that the former one has not confirmed.
        crashed: Whether its incarnation ended without an order, unless it
            drained.
    """

    reason: str
    restarted: bool = False
    crashed: bool = False


class PoolWorkers(batch_crashes.PoolCrashes):
    """Adds, drains and removes workers."""

    def add_worker(self, worker: workers.Worker) -> None:
        """Adds a registered worker and the runs that are stored for it."""
        with self.lock:
            worker_id = worker.worker_id
            self.worker_by_id[worker_id] = worker
            worker.drain_requested = worker_id in self._drain_requested_ids
            for run in self._orphans_by_worker.pop(worker_id, []):
                self._adopt_orphan(worker, run)
            for run in self._unconfirmed_by_worker.pop(worker_id, []):
                self._block_late_order(worker, run)
            is_down = self._is_down(worker.registered_version, worker_id)
            for restored in self._restored_runs_by_worker.pop(worker_id, []):
                unit, stored = restored.unit, restored.stored
                if stored.started_ms > worker.entry.started_ms:
                    # The entry may be a former incarnation's, written late.
                    self._keep_restored_run(restored)
                elif is_down:
                    self._requeue_down(restored)
                else:
                    if stored.started_ms != worker.entry.started_ms:
                        worker.expect_late_order(self.claimed_at)
                    # Until it has seen this holder's fencing token, the new
                    # incarnation may carry out the order to the former one.
                    self._add_uncertain_run(worker, unit, stored)
            if is_down:
                self.remove_worker(worker, self._down_removal(worker_id))
            if self._closed:
                worker.close()
        self._changed.set()

    def close(self) -> None:
        """Closes all workers, also those that are added later.

        A watch of the registry may end after the pool is closed.
        """
        with self.lock:
            self._closed = True
            for worker in self.worker_by_id.values():
                worker.close()

    def _adopt_orphan(self, worker: workers.Worker, run: batch_job.Run) -> None:
        """Stops a run that may have started in a worker's new incarnation."""
        run.worker = worker
        run.state = batch_job.RunState.UNCERTAIN
        run.stopping = True
        run.is_abandoned = False
        run.start_blocked_at = 0.0
        worker.expect_late_order(self._latest_order_at(run))
        worker.run_by_task[run.task] = run
        worker.reserve(run.unit.step.need, run.unit.step.fills)
        worker.send(workers.WorkerOrder("stop", run))

    def _block_late_order(
        self, worker: workers.Worker, run: batch_job.Run
    ) -> None:
        """Has a new incarnation refuse the order of a run that has ended."""
        blocked = batch_job.Run(run.unit, run.index, run.number, worker)
        blocked.state = batch_job.RunState.UNCERTAIN
        blocked.stopping = True
        worker.blocked_runs.append(blocked)
        worker.send(workers.WorkerOrder("stop", blocked))

    def _latest_order_at(self, run: batch_job.Run) -> float:
        """Returns when a run was ordered; at the claim if before it."""
        return max(run.ordered_at, self.claimed_at)

    def _add_uncertain_run(
        self,
        worker: workers.Worker,
        unit: batch_job.Unit,
        stored: batch_job.StoredRun,
    ) -> None:
        run = batch_job.Run(unit, stored.position, stored.number, worker)
        run.state = batch_job.RunState.UNCERTAIN
        unit.restored.remove(stored)
        unit.runs.append(run)
        worker.run_by_task[run.task] = run
        worker.reserve(unit.step.need, unit.step.fills)
        if unit.done or unit.job.finished:
            self._stop_run(run, "its job ended before the worker was known")

    def remove_worker(self, worker: workers.Worker, removal: Removal) -> None:
        """Removes a worker whose incarnation has certainly ended, and its runs.

        Args:
            worker: The worker.
            removal: Why its incarnation ended.
        """
        with self.lock:
            if self.worker_by_id.get(worker.worker_id) is not worker:
                return
            del self.worker_by_id[worker.worker_id]
            worker.is_removed = True
            for job in self.job_by_id.values():
                for advice in job.advice_by_step.values():
                    advice.forget(worker.worker_id)
            orphans = [
                run
                for run in worker.run_by_task.values()
                if removal.restarted and not worker.has_confirmed(run)
            ]
            if orphans:
                self._orphans_by_worker[worker.worker_id] = orphans
            lost_runs = [
                run for run in worker.run_by_task.values() if run not in orphans
            ]
            self._keep_unconfirmed_runs(worker, lost_runs)
            if removal.crashed:
                self._record_crash(worker, lost_runs)
            self._end_lost_runs(worker, lost_runs, removal.reason)
        worker.close()
        events.log(
            events.Event.WORKER_LOST,
            "A worker was removed",
            service=self.service,
            worker=worker.worker_id,
            reason=removal.reason,
            uncertain_runs=len(orphans),
            started_ms=worker.entry.started_ms,
            registered_version=worker.registered_version,
            listed_version=self._down_version_by_id.get(worker.worker_id, 0),
            silent_since=worker.silent_since,
        )
        self._changed.set()

    def _keep_unconfirmed_runs(
        self, worker: workers.Worker, lost_runs: Iterable[batch_job.Run]
    ) -> None:
        """Keeps the runs whose orders the next incarnation must refuse.

        Those whose leases have expired are among them: the end of a lease on
        the clock of this incarnation means nothing to the next one.
        """
        unconfirmed_by_worker = self._unconfirmed_by_worker
        lapsed = self._lapsed_runs_by_worker.get(worker.worker_id, [])
        unconfirmed = [
            run
            for run in itertools.chain(
                lost_runs, (lost.run for lost in lapsed), worker.blocked_runs
            )
            if not worker.has_confirmed(run)
        ]
        if unconfirmed:
            unconfirmed_by_worker[worker.worker_id] = unconfirmed
        if len(unconfirmed_by_worker) > MAX_ABSENT_WORKERS:
            del unconfirmed_by_worker[next(iter(unconfirmed_by_worker))]

    def _end_lost_runs(
        self,
        worker: workers.Worker,
        runs: Iterable[batch_job.Run],
        reason: str,
    ) -> None:
        for run in runs:
            events.log(
                events.Event.RUN_LOST,
                "A run was lost with its worker or its lease",
                level="WARNING",
                job=run.task.job_id,
                task=run.task,
                run=run.number,
                worker=worker.worker_id,
                reason=reason,
                state=run.state.name.lower(),
                confirmed=worker.has_confirmed(run),
                ordered_at=run.ordered_at,
                acked_at=run.acked_at,
                started_ms=worker.entry.started_ms,
            )
            self._end_run(run)

    def _lose_restored_run(
        self,
        restored: batch_runs.RestoredRun,
        reason: str,
    ) -> None:
        """Drops a stored run of a former holder, which counts as ended."""
        unit, stored = restored.unit, restored.stored
        unit.restored.remove(stored)
        events.log(
            events.Event.RUN_LOST,
            "A run of a former holder was lost",
            level="WARNING",
            job=unit.job.job_id,
            unit=unit.key,
            run=stored.number,
            worker=stored.worker_id,
            reason=reason,
            stored_started_ms=stored.started_ms,
            stored_version=stored.registered_version,
            listed_version=self._down_version_by_id.get(stored.worker_id, 0),
        )

    def set_down_workers(
        self,
        version_by_id: Mapping[str, int],
        planned_ids: Collection[str] = (),
    ) -> None:
        """Removes workers whose hosts the platform lists as down.

        The list distinguishes a crash from a network partition, so the tasks
        restart without a wait for the leases to expire. It names no
        incarnation, and a worker may be back before the list is read again
        and stored. So it ends only an incarnation that had registered before
        the list was read; any other one is polled.

        Args:
            version_by_id: Newest store version known before the list was read,
                by the ids of all workers that have ended.
            planned_ids: Those of them that ended by an order to their hosts.
        """
        with self.lock:
            new_ids = sorted(
                worker_id
                for worker_id, version in version_by_id.items()
                if version > self._down_version_by_id.get(worker_id, 0)
            )
            # A known end may be listed again, with a newer version.
            self._note_crashes_elsewhere(
                version_by_id.keys()
                - self._down_version_by_id.keys()
                - {*planned_ids}
            )
            self._down_version_by_id = {**version_by_id}
            self._planned_end_ids = frozenset(planned_ids)
            down = [
                worker
                for worker_id in new_ids
                if (worker := self.worker_by_id.get(worker_id))
                and self._is_down(worker.registered_version, worker_id)
            ]
            # Workers that the list shows as down together went down together.
            for worker in down:
                if worker.worker_id not in planned_ids:
                    self._note_crash(worker)
            for worker in down:
                self.remove_worker(worker, self._down_removal(worker.worker_id))
            for worker_id in new_ids:
                self._end_runs_of_down_worker(worker_id)
        self._changed.set()

    def _is_down(self, registered_version: int, worker_id: str) -> bool:
        """Whether the list shows the end of an incarnation of a worker.

        Args:
            registered_version: Store version as of which the incarnation had
                registered; 0 if unknown.
            worker_id: The worker.
        """
        listed_version = self._down_version_by_id.get(worker_id, 0)
        return 0 < registered_version <= listed_version

    def _down_removal(self, worker_id: str) -> Removal:
        return Removal(
            "its host is down", crashed=worker_id not in self._planned_end_ids
        )

    def _end_runs_of_down_worker(self, worker_id: str) -> None:
        """Ends runs on a down worker that the pool does not know any more."""
        lapsed = self._lapsed_runs_by_worker.get(worker_id, [])
        if all(
            self._is_down(lost.run.worker.registered_version, worker_id)
            for lost in lapsed
        ):
            self._lapsed_runs_by_worker.pop(worker_id, None)
            if lapsed and worker_id not in self._planned_end_ids:
                self._record_evidence(lapsed, lapsed[0].run.worker)
        for restored in self._restored_runs_by_worker.pop(worker_id, []):
            if self._is_down(restored.stored.registered_version, worker_id):
                self._requeue_down(restored)
            else:
                self._keep_restored_run(restored)

    def _keep_restored_run(self, restored: batch_runs.RestoredRun) -> None:
        self._restored_runs_by_worker.setdefault(
            restored.stored.worker_id, []
        ).append(restored)

    def _requeue_down(self, restored: batch_runs.RestoredRun) -> None:
        self._lose_restored_run(restored, "its host is down")
        restored.unit.job.requeue(restored.unit)

    def end_expired_runs(self, now: float) -> None:
        """Ends the runs whose leases have certainly expired."""
        with self.lock:
            for worker in [*self.worker_by_id.values()]:
                sent_runs = [
                    run
                    for run in worker.run_by_task.values()
                    if run.may_be_on_worker
                ]
                if sent_runs and worker.leases_expired(now):
                    # The worker may have crashed or only be cut off.
                    self._keep_lapsed_runs(worker, sent_runs)
                    self._end_lost_runs(worker, sent_runs, "lease expired")
                if not worker.listed and not _may_have_runs(worker, now):
                    # The list of hosts may never have shown a worker that
                    # crashed soon after it had joined.
                    self.remove_worker(
                        worker, Removal("no longer registered", crashed=True)
                    )
            for orphans in self._orphans_by_worker.values():
                for run in [*orphans]:
                    sent_seconds = now - self._latest_order_at(run)
                    if sent_seconds > _MAX_ORPHAN_SECONDS:
                        orphans.remove(run)
                        self._end_run(run)
            if now >= self.former_leases_end_at:
                for restored in itertools.chain.from_iterable(
                    self._restored_runs_by_worker.values()
                ):
                    self._lose_restored_run(restored, "former lease expired")
                    restored.unit.job.requeue(restored.unit)
                self._restored_runs_by_worker.clear()

    def set_drain_requests(self, worker_ids: set[str]) -> None:
        """Sets which workers the fleet controller wants drained."""
        with self.lock:
            for worker in self.worker_by_id.values():
                drain_requested = worker.worker_id in worker_ids
                worker.drain_requested = drain_requested
            self._drain_requested_ids = worker_ids
        self._changed.set()

    def drain_workers(self, now: float) -> None:
        """Stops long-running tasks on workers that are to be drained.

        The disruption budget of each step limits this, unless the worker
        itself reports that it is draining.
        """
        with self.lock:
            for worker in self.worker_by_id.values():
                draining = worker.entry.state is cluster.WorkerState.DRAINING
                if not worker.drain_requested and not draining:
                    continue
                for run in [*worker.run_by_task.values()]:
                    if run.unit.step.lasting and (
                        draining or self._may_disrupt(run)
                    ):
                        self._stop_run(
                            run,
                            "its worker drains"
                            if draining
                            else "its host is to be drained",
                        )

    def _may_disrupt(self, run: batch_job.Run) -> bool:
        """Whether a run may be stopped for the sake of its worker."""
        return (
            not run.stopping
            and run.state is batch_job.RunState.RUNNING
            and self._has_disruption_budget(run.unit)
        )

    def _has_disruption_budget(self, unit: batch_job.Unit) -> bool:
        """Whether a step's disruption budget allows one more stopped task."""
        now = time.monotonic()
        allowed = max(1, unit.step.may_be_away)
        unavailable = (
            other_unit
            for other_unit in unit.job.units_by_step[
                unit.occurrence, unit.step_number
            ]
            if other_unit is not unit
            and not any(_is_serving(run, now) for run in other_unit.runs)
        )
        # Steps may have thousands of tasks, so the count ends at the limit.
        return len([*itertools.islice(unavailable, allowed)]) < allowed

    def current_load(self, now: float) -> host_moves.PoolLoad:
        """Returns the pool's load for the fleet controller."""
        with self.lock:
            lasting_need, finite_need = [0, 0], [0, 0]
            # Tasks of each step that limits its tasks per worker.
            bounded_tasks: collections.Counter[tuple[job_spec.StepKey, int]] = (
                collections.Counter()
            )
            for worker in self.worker_by_id.values():
                for run in worker.run_by_task.values():
                    step = run.unit.step
                    need = lasting_need if step.lasting else finite_need
                    need[0] += 0 if step.fills else step.need.cpu
                    need[1] += step.need.memory_mb
                    if step.most_per_worker:
                        bounded_tasks[
                            run.unit.step_key, step.most_per_worker
                        ] += 1
            for job in self.job_by_id.values():
                for unit in job.ready.values():
                    count = len(unit.indexes)
                    finite_need[0] += count * unit.step.need.cpu
                    finite_need[1] += count * unit.step.need.memory_mb
                    if unit.step.most_per_worker:
                        bounded_tasks[
                            unit.step_key, unit.step.most_per_worker
                        ] += count
            forecast_need = [
                ARRIVAL_HEADROOM * arrival_rate.forecast(rates, now)
                for rates in (self._cpu_arrivals, self._memory_arrivals)
            ]
            cpu, memory_mb = (
                int(lasting + max(forecast, finite))
                for lasting, forecast, finite in zip(
                    lasting_need, forecast_need, finite_need, strict=True
                )
            )
            return host_moves.PoolLoad(
                job_spec.Resources(cpu, memory_mb, 0),
                {
                    worker.worker_id: _worker_load(worker, now)
                    for worker in self.worker_by_id.values()
                },
                max(
                    (
                        math.ceil(count / max_per_worker)
                        for (_, max_per_worker), count in bounded_tasks.items()
                    ),
                    default=0,
                ),
            )

    def urgent_cpu_rise(self) -> float:
        """Rise of the needed CPU that is published ahead of the heartbeat."""
        with self.lock:
            return URGENT_RISE_HOSTS * max(
                (
                    worker.entry.room.cpu
                    for worker in self.worker_by_id.values()
                ),
                default=0,
            )


def _is_serving(run: batch_job.Run, now: float) -> bool:
    return (
        run.worker.is_responsive(now)
        and run.state is batch_job.RunState.RUNNING
        and not run.stopping
        and bool(run.full_speed_at)
    )


def _may_have_runs(worker: workers.Worker, now: float) -> bool:
    """Whether a worker may be at work, also on runs that should be gone."""
    return bool(worker.run_by_task) or (
        bool(worker.unknown_run_by_key) and not worker.leases_expired(now)
    )


def _worker_load(worker: workers.Worker, now: float) -> host_moves.WorkerLoad:
    lasting = sum(run.unit.step.lasting for run in worker.run_by_task.values())
    count = len(worker.run_by_task)
    return host_moves.WorkerLoad(
        lasting,
        count - lasting,
        0.0 if count else round(now - worker.idle_since, 2),
        worker.drain_requested and not count,
    )


# Longest time for which a start order that reached another incarnation of a
# worker may keep a run there.
_MAX_ORPHAN_SECONDS = workers.MAX_LEASE_SECONDS / workers.MIN_CLOCK_RATE
