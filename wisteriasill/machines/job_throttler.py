"""Throttles a pool's jobs during request peaks that last seconds."""

from __future__ import annotations

from collections import deque

from returns import result

from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import throttling
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import pool_hosts
from wisteriasill.machines import shard_context

# Hosts whose tasks are updated in one step; each takes a few calls.
HOSTS_PER_STEP = 16
# Time between two passes over all hosts, longer than reports usually lag.
PASS_PERIOD_SECONDS = 5.0
# For this long reports may still show tasks as before the last change.
REPORT_LAG_SECONDS = 20.0


class JobThrottler:
    """Throttles job tasks while requests need their processors.

    It updates the hosts in passes. Reports lag and tasks start at any time, so
    passes are repeated while jobs are throttled, and afterwards until a pass
    finds every task at full speed. A new holder starts with a pass, because
    the former one may have left tasks throttled.
    """

    def __init__(
        self,
        context: shard_context.ShardContext,
        pool: pool_hosts.PoolHosts,
    ) -> None:
        self._context = context
        self._pool = pool
        self._throttle_state = throttling.ThrottleState()
        self._pending_host_ids: deque[str] = deque()
        self._pass_started_at = -PASS_PERIOD_SECONDS
        self._switched_at = context.clock.monotonic()
        self._throttle_calls = 0

    def step(self) -> result.Result[None, errors.Failure]:
        """Decides on throttling and updates the tasks of some hosts."""
        now = self._context.clock.monotonic()
        serving = [
            host
            for host in self._pool.rows.ordered
            if host.state is hosts.HostState.SERVING
        ]
        before = self._throttle_state
        self._throttle_state = throttling.next_throttle_state(
            before,
            self._context.demand.busy_slots(self._context.shard),
            sum(host.slots for host in serving),
            now,
        )
        switched = self._throttle_state.throttled is not before.throttled
        if switched:
            self._log_switch()
            self._switched_at = now
        needs_pass = (
            self._throttle_state.throttled
            or self._throttle_calls > 0
            or now - self._switched_at < REPORT_LAG_SECONDS
        )
        due = needs_pass and now - self._pass_started_at >= PASS_PERIOD_SECONDS
        if switched or (due and not self._pending_host_ids):
            self._pending_host_ids = deque(host.host_id for host in serving)
            self._pass_started_at = now
            self._throttle_calls = 0
        return self._process_pending()

    def _process_pending(self) -> result.Result[None, errors.Failure]:
        for _ in range(min(HOSTS_PER_STEP, len(self._pending_host_ids))):
            outcome = self._throttle_host(self._pending_host_ids[0])
            if not isinstance(outcome, result.Success):
                return outcome
            self._pending_host_ids.popleft()
        return result.Success(None)

    def _throttle_host(
        self, host_id: str
    ) -> result.Result[None, errors.Failure]:
        share = (
            throttling.THROTTLED_SHARE
            if self._throttle_state.throttled
            else 1.0
        )
        listed = self._context.platform.tasks.list_tasks(host_id)
        if not isinstance(listed, result.Success):
            return _ignore_refusal(listed.failure())
        for report in listed.unwrap():
            if (
                report.state is not platform.TaskState.RUNNING
                or report.throttle == share
            ):
                continue
            self._throttle_calls += 1
            call_outcome = self._context.platform.tasks.throttle_task(
                report.task_id, report.epoch, share
            )
            if not isinstance(call_outcome, result.Success):
                outcome = _ignore_refusal(call_outcome.failure())
                if not isinstance(outcome, result.Success):
                    return outcome
        return result.Success(None)

    def _log_switch(self) -> None:
        events.log(
            events.Event.PROCESSORS_LENT,
            "Jobs are throttled to free processors for requests"
            if self._throttle_state.throttled
            else "Jobs are no longer throttled",
            pool=self._context.shard,
        )


def _ignore_refusal(
    failure: errors.Failure,
) -> result.Result[None, errors.Failure]:
    """Ignores failures for hosts and tasks that no longer exist."""
    if failure.kind in (
        errors.ErrorKind.NOT_FOUND,
        errors.ErrorKind.CONFLICT,
        errors.ErrorKind.PLATFORM_REFUSED,
    ):
        return result.Success(None)
    return result.Failure(failure)
