"""Controller of one pool: hosts, orders, maintenance waves and jobs."""

from __future__ import annotations

from returns import result

from wisteriasill import errors
from wisteriasill.machines import host_steps
from wisteriasill.machines import job_throttler
from wisteriasill.machines import order_controller
from wisteriasill.machines import pool_hosts
from wisteriasill.machines import shard_context
from wisteriasill.machines import wave_controller
from wisteriasill.machines import wave_rows


class PoolController:
    """Controls one pool while this process holds its shard."""

    def __init__(
        self,
        context: shard_context.ShardContext,
        jobs: shard_context.JobController,
    ) -> None:
        self._context = context
        self._jobs = jobs
        self._pool = pool_hosts.PoolHosts(context)
        self._waves = wave_rows.WaveRows(context)
        self._steps = host_steps.HostSteps(context, self._pool, jobs)
        self._orders = order_controller.OrderController(
            context, self._pool, self._waves, jobs
        )
        self._throttler = job_throttler.JobThrottler(context, self._pool)
        self._maintenance = wave_controller.WaveController(
            context, self._pool, self._waves
        )

    def step(self) -> result.Result[None, errors.Failure]:
        """Runs one control step.

        Returns:
            The first failure. A failed part doesn't stop the others: hosts
            return from maintenance even if an order can't be written, and
            jobs run even if a wave can't start.
        """
        read = self._pool.refresh().bind(lambda _: self._waves.refresh())
        if not isinstance(read, result.Success):
            return read
        outcomes = (
            self._steps.step(),
            self._orders.step(),
            self._maintenance.step(),
            self._run_jobs(),
            self._throttler.step(),
        )
        return next(
            (
                outcome
                for outcome in outcomes
                if not isinstance(outcome, result.Success)
            ),
            outcomes[0],
        )

    def _run_jobs(self) -> result.Result[None, errors.Failure]:
        configuration = self._context.site.snapshot.configuration
        return self._jobs.step(
            self._context.epoch_row,
            self._pool.rows.ordered,
            tuple(configuration.services_by_name.values()),
            configuration.site.quotas,
        )
