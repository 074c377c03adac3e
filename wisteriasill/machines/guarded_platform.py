"""Platform services that require the lease of a shard.

The lease is checked right before each change is sent. Table writes also carry
a condition on the shard's epoch, which fences former holders, and count
against the write budget.
"""

from __future__ import annotations

from collections.abc import Sequence
import threading
from typing import NamedTuple, TypeVar

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.links import platform
from wisteriasill.machines import shard_lease
from wisteriasill.machines import write_budget

T = TypeVar("T")
_STORE_FAILURES = (
    errors.ErrorKind.STORE_UNAVAILABLE,
    errors.ErrorKind.STORE_OUTCOME_UNKNOWN,
)


class GuardedTable:
    """Table service whose writes require a lease."""

    def __init__(
        self,
        table: platform.Table,
        lease: shard_lease.HeldLease,
        budget: write_budget.WriteBudget,
        clock: clocks.Clock,
        stopping: threading.Event,
    ) -> None:
        self._table = table
        self._lease = lease
        self._budget = budget
        self._clock = clock
        self._stopping = stopping

    def read(
        self, table: str, key: str
    ) -> result.Result[platform.Row | None, errors.Failure]:
        """Reads one row; None if there is no such row."""
        return self._report_outcome(self._table.read(table, key))

    def scan(
        self, table: str, prefix: str = ""
    ) -> result.Result[tuple[platform.Row, ...], errors.Failure]:
        """Reads all rows whose key has a prefix, in order of their keys."""
        return self._report_outcome(self._table.scan(table, prefix))

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        """Writes all rows if the lease is held and all conditions are met."""
        fence = self._lease.condition
        fenced = [
            fence,
            *(
                condition
                for condition in conditions
                if (condition.table, condition.key) != (fence.table, fence.key)
            ),
        ]
        delay_seconds = self._budget.reserve(len(writes))
        if delay_seconds > 0:
            self._clock.wait(self._stopping, delay_seconds)
        held = self._lease.ensure_held()
        if not isinstance(held, result.Success):
            return result.Failure(held.failure())
        return self._report_outcome(self._table.transact(fenced, writes))

    def _report_outcome(
        self, outcome: result.Result[T, errors.Failure]
    ) -> result.Result[T, errors.Failure]:
        failed = (
            not isinstance(outcome, result.Success)
            and outcome.failure().kind in _STORE_FAILURES
        )
        if self._budget.record_outcome(not failed):
            events.log(events.Event.STORE_RECOVERED, "Store is available again")
        return outcome


class GuardedHostControl:
    """Host control that requires a lease."""

    def __init__(
        self, control: platform.HostControl, lease: shard_lease.HeldLease
    ) -> None:
        self._control = control
        self._lease = lease

    def drain_host(self, host_id: str) -> result.Result[None, errors.Failure]:
        """Makes the worker refuse new requests and tasks."""
        return self._lease.ensure_held().bind(
            lambda _: self._control.drain_host(host_id)
        )

    def reboot_host(self, host_id: str) -> result.Result[None, errors.Failure]:
        """Reboots a host; its worker accepts work again afterwards."""
        return self._lease.ensure_held().bind(
            lambda _: self._control.reboot_host(host_id)
        )


class GuardedTasks:
    """Task interface of the workers that requires a lease for changes."""

    def __init__(
        self, tasks: platform.TaskRunner, lease: shard_lease.HeldLease
    ) -> None:
        self._tasks = tasks
        self._lease = lease

    def start_task(
        self, host_id: str, order: platform.TaskOrder
    ) -> result.Result[None, errors.Failure]:
        """Starts a task on a host."""
        return self._lease.ensure_held().bind(
            lambda _: self._tasks.start_task(host_id, order)
        )

    def renew_task(
        self, task_id: str, epoch: int, lease_seconds: float
    ) -> result.Result[None, errors.Failure]:
        """Extends a task's lease; the worker stops the task at its expiry."""
        return self._lease.ensure_held().bind(
            lambda _: self._tasks.renew_task(task_id, epoch, lease_seconds)
        )

    def checkpoint_task(
        self, task_id: str, epoch: int
    ) -> result.Result[str, errors.Failure]:
        """Makes a checkpoint and returns its name."""
        return self._lease.ensure_held().bind(
            lambda _: self._tasks.checkpoint_task(task_id, epoch)
        )

    def throttle_task(
        self, task_id: str, epoch: int, share: float
    ) -> result.Result[None, errors.Failure]:
        """Limits a task to a share (0 to 1) of its cores."""
        return self._lease.ensure_held().bind(
            lambda _: self._tasks.throttle_task(task_id, epoch, share)
        )

    def stop_task(
        self, task_id: str, epoch: int
    ) -> result.Result[None, errors.Failure]:
        """Stops a task; succeeds if it is stopped already."""
        return self._lease.ensure_held().bind(
            lambda _: self._tasks.stop_task(task_id, epoch)
        )

    def list_tasks(
        self, host_id: str
    ) -> result.Result[tuple[platform.TaskReport, ...], errors.Failure]:
        """Reads the usage reports of a host."""
        return self._tasks.list_tasks(host_id)


class GuardedPlatform(NamedTuple):
    """All services of the platform, guarded by a lease."""

    table: platform.Table
    objects: platform.ObjectStore
    host_list: platform.HostList
    tasks: platform.TaskRunner
    host_control: platform.HostControl


def guard(
    inner: platform.Platform,
    lease: shard_lease.HeldLease,
    budget: write_budget.WriteBudget,
    clock: clocks.Clock,
    stopping: threading.Event,
) -> GuardedPlatform:
    """Guards the services of the platform with a lease.

    Args:
        inner: The platform.
        lease: The lease that must be held for each change.
        budget: Rate limit of writes.
        clock: This process's clock.
        stopping: Interrupts waits for the budget.

    Returns:
        The guarded services.
    """
    return GuardedPlatform(
        GuardedTable(inner.table, lease, budget, clock, stopping),
        inner.objects,
        inner.host_list,
        GuardedTasks(inner.tasks, lease),
        GuardedHostControl(inner.host_control, lease),
    )
