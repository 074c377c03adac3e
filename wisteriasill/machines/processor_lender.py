"""Makes a pool's jobs lend their processors during peaks of seconds."""

from __future__ import annotations

from collections import deque

from returns import result

from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import lending
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import pool_hosts
from wisteriasill.machines import shard_context

# Hosts whose tasks are throttled in one round; each takes a few calls.
HOSTS_PER_ROUND = 16
# Time between passes over all hosts, longer than reports usually lag.
PASS_SECONDS = 5.0
# Reports may show a task as it was before the last change for this long.
SETTLED_SECONDS = 20.0


class ProcessorLender:
    """Throttles tasks while requests need their processors.

    It goes over the hosts in passes. Reports lag and tasks start at any time,
    so passes are repeated while jobs lend, and afterwards until one finds
    every task restored. A new holder begins with a pass as well, because its
    predecessor may have left tasks throttled.
    """

    def __init__(
        self,
        context: shard_context.ShardContext,
        pool: pool_hosts.PoolHosts,
    ) -> None:
        self._context = context
        self._pool = pool
        self._lending = lending.Lending()
        self._todo: deque[str] = deque()
        self._passed_at = -PASS_SECONDS
        self._turned_at = context.clock.monotonic()
        self._changes = 0

    def step(self) -> result.Result[None, errors.Failure]:
        """Decides and throttles or restores the tasks of some hosts."""
        now = self._context.clock.monotonic()
        serving = [
            host
            for host in self._pool.rows.ordered
            if host.state is hosts.HostState.SERVING
        ]
        before = self._lending
        self._lending = lending.next_lending(
            before,
            self._context.demand.busy_slots(self._context.shard),
            sum(host.slots for host in serving),
            now,
        )
        turned = self._lending.lends is not before.lends
        if turned:
            self._log()
            self._turned_at = now
        unsettled = (
            self._lending.lends
            or self._changes > 0
            or now - self._turned_at < SETTLED_SECONDS
        )
        due = unsettled and now - self._passed_at >= PASS_SECONDS
        if turned or (due and not self._todo):
            self._todo = deque(host.host_id for host in serving)
            self._passed_at = now
            self._changes = 0
        return self._go_on()

    def _go_on(self) -> result.Result[None, errors.Failure]:
        for _ in range(min(HOSTS_PER_ROUND, len(self._todo))):
            outcome = self._apply(self._todo[0])
            if not isinstance(outcome, result.Success):
                return outcome
            self._todo.popleft()
        return result.Success(None)

    def _apply(self, host_id: str) -> result.Result[None, errors.Failure]:
        share = lending.LENT_THROTTLE if self._lending.lends else 1.0
        listed = self._context.platform.tasks.list_tasks(host_id)
        if not isinstance(listed, result.Success):
            return _unless_refused(listed.failure())
        for report in listed.unwrap():
            if (
                report.state is not platform.TaskState.RUNNING
                or report.throttle == share
            ):
                continue
            self._changes += 1
            throttled = self._context.platform.tasks.throttle_task(
                report.task_id, report.epoch, share
            )
            if not isinstance(throttled, result.Success):
                outcome = _unless_refused(throttled.failure())
                if not isinstance(outcome, result.Success):
                    return outcome
        return result.Success(None)

    def _log(self) -> None:
        events.log(
            events.Event.PROCESSORS_LENT,
            "jobs lend processors"
            if self._lending.lends
            else "jobs have their processors back",
            pool=self._context.shard,
        )


def _unless_refused(
    failure: errors.Failure,
) -> result.Result[None, errors.Failure]:
    """Passes over hosts and tasks that have gone meanwhile."""
    if failure.kind in (
        errors.ErrorKind.NOT_FOUND,
        errors.ErrorKind.CONFLICT,
        errors.ErrorKind.PLATFORM_REFUSED,
    ):
        return result.Success(None)
    return result.Failure(failure)
