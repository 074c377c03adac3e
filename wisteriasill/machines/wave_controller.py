"""Controller of the maintenance waves of one pool."""

from __future__ import annotations

from returns import result

from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import availability
from wisteriasill.contracts import demand
from wisteriasill.contracts import maintenance
from wisteriasill.contracts import service
from wisteriasill.contracts import wave_limits
from wisteriasill.contracts import wave_plan
from wisteriasill.machines import host as hosts
from wisteriasill.machines import host_rows
from wisteriasill.machines import pool_hosts
from wisteriasill.machines import shard_context
from wisteriasill.machines import wave_rows

# Period at which a running wave reads the wave of the spare pool, its canary.
CANARY_POLL_SECONDS = 60.0
_EVENTS_BY_STATE = {
    maintenance.WaveState.RUNNING: (
        events.Event.WAVE_STARTED,
        "Maintenance wave is running",
    ),
    maintenance.WaveState.STOPPED: (
        events.Event.WAVE_STOPPED,
        "Maintenance wave stopped",
    ),
    maintenance.WaveState.PAUSED: (
        events.Event.WAVE_STOPPED,
        "Maintenance wave paused",
    ),
    maintenance.WaveState.FINISHED: (
        events.Event.WAVE_FINISHED,
        "Maintenance wave finished",
    ),
}


class WaveController:
    """Drains hosts for maintenance according to the wave plan."""

    def __init__(
        self,
        context: shard_context.ShardContext,
        pool: pool_hosts.PoolHosts,
        waves: wave_rows.WaveRows,
    ) -> None:
        self._context = context
        self._pool = pool
        self._waves = waves
        self._canary_pending = False
        self._canary_read_at = -CANARY_POLL_SECONDS

    def step(self) -> result.Result[None, errors.Failure]:
        """Runs the next step of the wave, if any."""
        configuration = self._context.site.snapshot.configuration
        owner = configuration.services_by_name.get(self._context.shard)
        # The plan needs current host rows. After a failed write in this step
        # it waits until they have been read again.
        if owner is None or not self._pool.rows.current:
            return result.Success(None)
        contract = owner.pool
        plan = self._context.planner(
            wave_plan.WaveView(
                self._context.shard,
                self._pool.rows.ordered,
                self._overdue_host_ids(wave_limits.overdue_seconds(contract)),
                contract,
                configuration.site.prefer,
                availability.budget_of(
                    self._pool.rows.ordered,
                    contract,
                    self._needed_ahead(contract),
                ),
                self._waves.wave,
                self._context.wall_clock(),
                self._waits_for_canary(configuration.spare_pool),
            )
        )
        if plan.wave is None or (
            plan.wave == self._waves.wave and not plan.leaving
        ):
            return result.Success(None)
        return self._write(plan.wave, plan)

    def _needed_ahead(self, contract: service.PoolContract) -> int:
        """Returns how many hosts demand needs while one is maintained.

        The figure stays below the pool's size: demand above it must not block
        maintenance for ever, so one host beyond the promise may always leave.
        """
        needed = demand.hosts_needed_ahead(
            self._context.demand.demand(self._context.shard),
            contract.slots_per_host,
            self._context.wall_clock(),
            contract.maintenance_minutes * 60.0,
        )
        max_needed = max(0, len(self._pool.rows.ordered) - 1)
        return min(needed, max_needed)

    def _waits_for_canary(self, spare_pool: str) -> bool:
        """Returns whether the spare pool's wave must make progress first."""
        now = self._context.clock.monotonic()
        running = (
            self._waves.wave is not None
            and self._waves.wave.state is maintenance.WaveState.RUNNING
        )
        if not spare_pool or spare_pool == self._context.shard or not running:
            return False
        if now - self._canary_read_at >= CANARY_POLL_SECONDS:
            rows = self._context.platform.table.scan(
                maintenance.TABLE, f"{spare_pool}/"
            )
            if isinstance(rows, result.Success):
                self._canary_read_at = now
                self._canary_pending = any(
                    row.value["state"] == maintenance.WaveState.STOPPED
                    or (
                        row.value["state"] == maintenance.WaveState.RUNNING
                        and row.value["hosts_done"] == 0
                    )
                    for row in rows.unwrap()[-1:]
                )
        return self._canary_pending

    def _overdue_host_ids(self, overdue_seconds: float) -> frozenset[str]:
        now = self._context.clock.monotonic()
        return frozenset(
            host.host_id
            for host in self._pool.rows.ordered
            if host.state
            in (hosts.HostState.REBOOTING, hosts.HostState.JOINING)
            and now - self._pool.observations_by_id[host.host_id].since
            > overdue_seconds
        )

    def _write(
        self, wave: maintenance.Wave, plan: wave_plan.WavePlan
    ) -> result.Result[None, errors.Failure]:
        before = self._waves.wave
        leaving = plan.leaving[: host_rows.BATCH_ROWS]
        if leaving:
            extra = self._waves.extra(wave)
            self._waves.invalidate()
            written = self._pool.change(
                leaving,
                extra._replace(
                    conditions=(
                        *extra.conditions,
                        *self._pool.rows.serving_conditions(
                            host.host_id for host in leaving
                        ),
                    )
                ),
            ).bind(lambda _: self._waves.refresh())
        else:
            written = self._waves.write(wave, host_rows.ExtraRows())
        if isinstance(written, result.Success) and (
            before is None or before.state is not wave.state
        ):
            _log(wave)
        return written


def _log(wave: maintenance.Wave) -> None:
    event, message = _EVENTS_BY_STATE[wave.state]
    events.log(
        event,
        message,
        pool=wave.pool,
        wave=wave.number,
        hosts=wave.hosts_total,
        done=wave.hosts_done,
        reason=repr(wave.reason),
    )
