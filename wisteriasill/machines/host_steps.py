"""Runs the lifecycle steps of a pool's hosts."""

from __future__ import annotations

from collections.abc import Sequence

from returns import result

from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import availability
from wisteriasill.contracts import host_sequence
from wisteriasill.machines import host as hosts
from wisteriasill.machines import host_rows
from wisteriasill.machines import pool_hosts
from wisteriasill.machines import shard_context


class HostSteps:
    """Advances drains, reboots, moves and returns of a pool's hosts."""

    def __init__(
        self,
        context: shard_context.ShardContext,
        pool: pool_hosts.PoolHosts,
        jobs: shard_context.JobController,
    ) -> None:
        self._context = context
        self._pool = pool
        self._jobs = jobs

    def step(self) -> result.Result[None, errors.Failure]:
        """Runs the next step of each host and writes rows in batches.

        Returns:
            The first failed row write. A failed call to a host delays only
            that host.
        """
        configuration = self._context.site.snapshot.configuration
        step_context = host_sequence.StepContext(
            self._context.clock.monotonic(),
            self._context.wall_clock(),
            availability.grace_seconds(configuration, self._context.shard),
        )
        writes: list[hosts.Host] = []
        for host in self._pool.rows.ordered:
            observation = self._pool.observations_by_id[host.host_id]
            step = host_sequence.next_step(host, observation, step_context)
            if step.host is not None:
                writes.append(step.host)
            elif step.kind is not host_sequence.StepKind.WAIT:
                self._run_step(host.host_id, step.kind)
        return self._write(writes)

    def _run_step(self, host_id: str, kind: host_sequence.StepKind) -> None:
        if kind is host_sequence.StepKind.DRAIN_WORKER:
            self._drain(host_id)
        elif kind is host_sequence.StepKind.CHECKPOINT:
            self._checkpoint(host_id)
        elif kind is host_sequence.StepKind.REBOOT:
            self._reboot(host_id)
        elif kind is host_sequence.StepKind.RETIRE:
            self._delete_host(host_id)

    def _delete_host(self, host_id: str) -> None:
        deleted = self._pool.rows.delete_host(host_id)
        if isinstance(deleted, result.Success):
            self._context.site.remove_hosts([host_id])
            events.log(
                events.Event.HOST_STATE_CHANGED,
                "Host is no longer listed; its row was deleted",
                host=host_id,
                pool=self._context.shard,
            )

    def _drain(self, host_id: str) -> None:
        drained = self._context.platform.host_control.drain_host(host_id)
        if isinstance(drained, result.Success):
            self._pool.set_observation(
                host_id,
                self._pool.observations_by_id[host_id]._replace(drained=True),
            )
            self._checkpoint(host_id)

    def _checkpoint(self, host_id: str) -> None:
        all_stopped = self._jobs.checkpoint_host(
            self._context.epoch_row, host_id
        )
        if isinstance(all_stopped, result.Success) and all_stopped.unwrap():
            self._pool.set_observation(
                host_id,
                self._pool.observations_by_id[host_id]._replace(
                    tasks_gone=True
                ),
            )

    def _reboot(self, host_id: str) -> None:
        """Requests a reboot; an unknown outcome counts as requested."""
        requested = self._context.platform.host_control.reboot_host(host_id)
        if (
            not isinstance(requested, result.Success)
            and requested.failure().executed is errors.Executed.NO
        ):
            return
        self._pool.set_observation(
            host_id,
            self._pool.observations_by_id[host_id]._replace(
                reboot_now=False,
                rebooted_at=self._context.clock.monotonic(),
            ),
        )

    def _write(
        self, writes: Sequence[hosts.Host]
    ) -> result.Result[None, errors.Failure]:
        for start in range(0, len(writes), host_rows.BATCH_ROWS):
            batch = writes[start : start + host_rows.BATCH_ROWS]
            written = self._pool.change(batch)
            if not isinstance(written, result.Success):
                return written
            for host in batch:
                if host.state is hosts.HostState.REBOOTING:
                    self._begin_reboot(host.host_id)
        return result.Success(None)

    def _begin_reboot(self, host_id: str) -> None:
        """Requests the reboot of a host whose row has just been written."""
        known = self._pool.rows.hosts_by_id[host_id]
        before = self._pool.observations_by_id[host_id]
        self._pool.set_observation(
            host_id,
            host_sequence.HostObservation(
                known.version,
                self._context.clock.monotonic(),
                before.listed,
                0,
                before.reading,
                reboot_now=True,
            ),
        )
        self._reboot(host_id)
