"""A pool on an in-memory platform, for tests of job control."""

from __future__ import annotations

import itertools
from typing import Any

from returns import result

from standins import local_platform
from standins import platform_state
from standins import sites
from standins import task_types
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import jobs
from wisteriasill.contracts import service as services
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import job_controller

POOL = "drift-bench"
State = jobs.JobState
Behaviour = task_types.JobBehaviour


def contract(name: str, **changes: Any) -> services.JobContract:
    default = services.JobContract(name, 16.0, 32.0, 5.0, checkpoint_minutes=1)
    return default._replace(**changes)


class Pool:
    """A pool of six hosts with its declared jobs and its controller."""

    def __init__(self, clock: clocks.ManualClock) -> None:
        listed = sites.build_hosts("malabar", sites.address_from(21000))[::5]
        self.clock = clock
        self.state = platform_state.PlatformState(clock, listed)
        self.platform = local_platform.LocalPlatform(self.state)
        self.hosts = [
            hosts.from_listed(host, POOL, hosts.HostState.SERVING)
            for host in listed
        ]
        self.contracts: tuple[services.JobContract, ...] = ()
        self.quotas: list[services.TeamQuota] = []
        self.epoch = 0
        self.controller = self.take_over()

    def take_over(self) -> job_controller.JobController:
        """Starts a new epoch with a new controller that has no state."""
        write = platform.Write("epochs", POOL, {"epoch": self.epoch + 1})
        self.state.transact([], [write])
        self.epoch += 1
        tokens = map(str, itertools.count())
        self.controller = job_controller.JobController(
            self.platform, self.clock, lambda: next(tokens)
        )
        return self.controller

    @property
    def epoch_row(self) -> platform.Row:
        """The epoch row of the current controller."""
        value = {"epoch": self.epoch}
        return platform.Row("epochs", POOL, self.epoch, value)

    def step(self) -> result.Result[None, errors.Failure]:
        """Advances the clock by a second and runs one step."""
        self.clock.advance(1.0)
        pool = services.PoolContract(6, 4, 64.0, 256.0, 8, 64)
        service = services.Service(POOL, "ageing", pool, jobs=self.contracts)
        return self.controller.step(
            self.epoch_row, self.hosts, [service], self.quotas
        )

    def run(self, seconds: int) -> None:
        """Runs a step for each second and ignores failures."""
        for _ in range(seconds):
            self.step()

    def jobs(self) -> dict[str, jobs.Job]:
        """Returns the stored jobs by their ids without the pool."""
        rows = self.platform.table.scan(jobs.TABLE, f"{POOL}/").unwrap()
        decoded = [
            documents.decode(jobs.Job, row.value).unwrap() for row in rows
        ]
        return {job.job_id.removeprefix(f"{POOL}."): job for job in decoded}

    def running(self) -> set[str]:
        """Returns the jobs whose tasks run on the workers."""
        self.state.settle()
        return {
            task.order.job_id.removeprefix(f"{POOL}.")
            for task in self.state.tasks.all_running()
        }

    def set_behaviour(self, name: str, behaviour: Behaviour) -> None:
        """Sets how a job's task behaves on the worker."""
        self.state.set_behaviour({f"{POOL}.{name}": behaviour})
