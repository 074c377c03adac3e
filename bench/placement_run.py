"""One run of the placement experiment on an in-memory platform."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from returns import result

from bench import placement_load
from standins import faults
from standins import local_platform
from standins import platform_state
from standins import sites
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import service as services
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import job_controller

POOLS = ("pool-a", "pool-b", "pool-c", "pool-d", "pool-e")
DURATION_SECONDS = 900
# Tasks whose lease is not renewed end within the lease time and its margin.
SETTLE_SECONDS = 90
CALL_SECONDS = 0.003  # 1.5 ms each way.
LOST_ANSWER_SHARE = 0.01
FAILING_FROM, FAILING_UNTIL = 150, 500
PARTITIONED_FROM, PARTITIONED_UNTIL = 350, 600
CONTROLLERS_REPLACED_AT = 480


class Variant(NamedTuple):
    """A placement policy and whether declared sizes are exact."""

    name: str
    policy: placement.PlacementPolicy
    is_exact: bool


class PlacementRun:
    """A run of one variant on its own platform."""

    def __init__(
        self, site: str, seed: int, variant: Variant, load: placement_load.Load
    ) -> None:
        self._clock = clocks.ManualClock()
        listed = sites.build_hosts(site, sites.address_from(21000))
        self.state = platform_state.PlatformState(self._clock, listed)
        self._platform = local_platform.LocalPlatform(self.state, seed)
        self._platform.set_on_call(lambda: self._clock.advance(CALL_SECONDS))
        self._variant = variant
        self._load = load
        self._job_by_id = {job.job_id: job for job in load.all_jobs}
        self._tokens = map(str, itertools.count())
        self._hosts_by_pool = _serving_by_pool(listed)
        self._failing_host_ids = tuple(
            self._hosts_by_pool[pool][0].host_id for pool in POOLS[:2]
        )
        self._partitioned_host_id = self._hosts_by_pool[POOLS[2]][1].host_id
        self._epochs = dict.fromkeys(POOLS, 0)
        self._controllers = {pool: self._new_controller(pool) for pool in POOLS}
        self._to_cancel = dict(load.cancelled_at)
        self.started_at: dict[str, float] = {}
        self.state.set_behaviour(
            {job.job_id: job.behaviour for job in load.all_jobs}
        )

    def run(self) -> None:
        """Runs the load and then waits for tasks to settle."""
        for second in range(1, DURATION_SECONDS + SETTLE_SECONDS):
            self._clock.advance(max(0.0, second - self._clock.monotonic()))
            self._apply_faults(second)
            self._cancel(second)
            for pool, controller in self._controllers.items():
                controller.step(
                    self._epoch_row(pool),
                    self._hosts_by_pool[pool],
                    [self._service(pool)],
                    (),
                )
            self._record_starts()
        self.state.settle()

    def rows(self) -> list[jobs.Job]:
        """Returns the stored jobs."""
        return [
            documents.decode(jobs.Job, row.value).unwrap()
            for row in self.state.scan(jobs.TABLE, "")
        ]

    def useful_core_hours(self) -> float:
        """Returns the completed and saved work of regular jobs."""
        return (
            sum(
                self.state.tasks.progress_seconds(job.job_id)
                * (job.behaviour.cores or 0.0)
                for job in self._load.regular
                if job.job_id not in self._load.cancelled_at
            )
            / 3600
        )

    def transactions_per_second(self) -> float:
        """Returns the transaction rate of all controllers together."""
        return self.state.table.counts.transactions / DURATION_SECONDS

    def orphans(self) -> int:
        """Returns the number of running tasks without a running job row."""
        running_task_ids = {
            job.task_id
            for job in self.rows()
            if job.state is jobs.JobState.RUNNING
        }
        running = self.state.tasks.all_running()
        return sum(
            task.order.task_id not in running_task_ids for task in running
        )

    def _new_controller(self, pool: str) -> job_controller.JobController:
        write = platform.Write(
            "epochs", pool, {"epoch": self._epochs[pool] + 1}
        )
        self.state.transact([], [write])
        self._epochs[pool] += 1
        return job_controller.JobController(
            self._platform,
            self._clock,
            lambda: next(self._tokens),
            self._variant.policy,
            self._clock.monotonic,
        )

    def _epoch_row(self, pool: str) -> platform.Row:
        epoch = self._epochs[pool]
        return platform.Row("epochs", pool, epoch, {"epoch": epoch})

    def _service(self, pool: str) -> services.Service:
        now = self._clock.monotonic()
        exact = self._variant.is_exact
        contracts = tuple(
            (job.with_exact_size() if exact and can_fit else job).contract
            for job in self._load.all_jobs
            if job.pool == pool and job.arrives_at <= now
            for can_fit in [job not in self._load.impossible]
        )
        capacity = services.PoolContract(6, 4, 1.0, 1.0, 8, 64)
        return services.Service(pool, "team", capacity, jobs=contracts)

    def _apply_faults(self, second: int) -> None:
        failing = FAILING_FROM <= second < FAILING_UNTIL
        self.state.set_faults(
            faults.Faults(
                lose_answers=LOST_ANSWER_SHARE,
                failing_hosts=self._failing_host_ids if failing else (),
            )
        )
        if second == PARTITIONED_FROM:
            self.state.fail_host(self._partitioned_host_id, tasks_end=False)
        if second == PARTITIONED_UNTIL:
            self.state.restore_host(self._partitioned_host_id)
        if second == CONTROLLERS_REPLACED_AT:
            self._controllers = {
                pool: self._new_controller(pool) for pool in POOLS
            }

    def _cancel(self, second: int) -> None:
        due = [job_id for job_id, at in self._to_cancel.items() if at <= second]
        for job_id in due:
            pool = self._job_by_id[job_id].pool
            outcome = self._controllers[pool].cancel(
                self._epoch_row(pool), job_id
            )
            if isinstance(outcome, result.Success):
                del self._to_cancel[job_id]

    def _record_starts(self) -> None:
        for task in self.state.tasks.all_running():
            self.started_at.setdefault(task.order.job_id, task.started_at)


def _serving_by_pool(
    listed: tuple[platform.ListedHost, ...],
) -> dict[str, list[hosts.Host]]:
    pool_by_host = sites.assign_to_pools(listed, POOLS)
    return {
        pool: [
            hosts.from_listed(host, pool, hosts.HostState.SERVING)
            for host in listed
            if pool_by_host[host.host_id] == pool
        ]
        for pool in POOLS
    }
