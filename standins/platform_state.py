"""In-memory state of the platform: table, objects, hosts and tasks.

Each call first applies the effects of elapsed time: expired leases, finished
reboots and lagging views. This also works with a manual clock. `settle` applies
these effects without a call.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
import threading
from typing import NamedTuple

from returns import result

from standins import faults as fault_switches
from standins import table_state
from standins import task_state
from standins import task_types
from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.links import platform

HostListener = Callable[[str, platform.ListedState], None]


class Timing(NamedTuple):
    """Delays of the platform.

    Attributes:
        reboot_seconds: Duration of a reboot.
        list_lag_seconds: Lag of the host list.
        report_lag_seconds: Lag of the usage reports.
    """

    reboot_seconds: float = 5.0
    list_lag_seconds: float = 2.0
    report_lag_seconds: float = 2.0


class PlatformState:
    """State of the platform stand-in; thread safe."""

    def __init__(
        self,
        clock: clocks.Clock,
        hosts: Iterable[platform.ListedHost],
        timing: Timing = Timing(),  # noqa: B008 - immutable
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._lock = threading.RLock()
        self._hosts_by_id = {host.host_id: host for host in hosts}
        self._reboot_ends_at_by_id: dict[str, float] = {}
        self._listeners: list[HostListener] = []
        self._lagging_list = fault_switches.LaggingView(
            timing.list_lag_seconds, lambda: tuple(self._hosts_by_id.values())
        )
        self.table = table_state.TableState(clock)
        self.tasks = task_state.TaskTable(
            {
                host.host_id: task_types.WorkerSize(
                    host.cores, host.memory_gib, host.accelerators
                )
                for host in self._hosts_by_id.values()
            },
            timing.report_lag_seconds,
        )
        self.faults = fault_switches.Faults()

    def add_listener(self, listener: HostListener) -> None:
        """Adds a listener for hosts that leave, reboot, return or fail.

        Args:
            listener: Called with the host id and its state; must not block.
        """
        self._listeners.append(listener)

    def settle(self) -> None:
        """Applies all effects of the elapsed time."""
        with self._lock:
            self.tasks.settle(self._clock.monotonic())
        self._settle_hosts()

    def _settle_for(self, host_id: str | None) -> None:
        """Applies the effects of the elapsed time to the tasks of a host."""
        with self._lock:
            self.tasks.settle_for(host_id, self._clock.monotonic())
        self._settle_hosts()

    def _settle_hosts(self) -> None:
        """Ends the reboots that are due."""
        with self._lock:
            now = self._clock.monotonic()
            finished = [
                host_id
                for host_id, ends_at in self._reboot_ends_at_by_id.items()
                if ends_at <= now
            ]
            for host_id in finished:
                del self._reboot_ends_at_by_id[host_id]
                host = self._hosts_by_id[host_id]
                self._hosts_by_id[host_id] = host._replace(
                    state=platform.ListedState.LIVE,
                    boot_count=host.boot_count + 1,
                )
            self._lagging_list.observe(now)
        self._notify(finished, platform.ListedState.LIVE)

    def set_faults(self, switches: fault_switches.Faults) -> None:
        """Replaces the fault switches."""
        with self._lock:
            self.faults = switches

    def read(self, table: str, key: str) -> platform.Row | None:
        """Reads a row, or a stale one if the fault is active."""
        with self._lock:
            return self.table.read(table, key, self.faults.old_reads_seconds)

    def scan(self, table: str, prefix: str) -> tuple[platform.Row, ...]:
        """Reads rows by prefix, or stale ones if the fault is active."""
        with self._lock:
            return self.table.scan(table, prefix, self.faults.old_reads_seconds)

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> result.Result[tuple[int, ...], platform.Condition]:
        """Writes all rows, or returns the first failed condition."""
        with self._lock:
            return self.table.transact(conditions, writes)

    def put(self, key: str, body: bytes) -> bool:
        """Stores an object; False if the key has a different body."""
        with self._lock:
            return self.table.put(key, body)

    def get(self, key: str) -> bytes | None:
        """Reads an object."""
        with self._lock:
            return self.table.get(key)

    def list_hosts(self) -> tuple[platform.ListedHost, ...]:
        """Returns the host list, which may lag."""
        self.settle()
        with self._lock:
            return self._lagging_list.read(self._clock.monotonic())[1]

    def host(self, host_id: str) -> platform.ListedHost | None:
        """Returns the current state of a host, without lag."""
        self.settle()
        return self._hosts_by_id.get(host_id)

    def drain_host(self, host_id: str) -> task_state.Outcome:
        """Makes a worker refuse new requests and tasks."""
        return self._take_out_of_service(host_id, platform.ListedState.LEAVING)

    def reboot_host(self, host_id: str) -> task_state.Outcome:
        """Reboots a host, which ends its tasks."""
        return self._take_out_of_service(
            host_id, platform.ListedState.REBOOTING
        )

    def fail_host(self, host_id: str, tasks_end: bool = True) -> None:
        """Simulates the failure of a host.

        Args:
            host_id: The host.
            tasks_end: False simulates a network partition, in which the tasks
                of the host run until their leases expire.
        """
        self.settle()
        with self._lock:
            self._set_state(host_id, platform.ListedState.DOWN)
            if tasks_end:
                self.tasks.clear_host(host_id)
        self._notify([host_id], platform.ListedState.DOWN)

    def restore_host(self, host_id: str) -> None:
        """Restores a failed host by a reboot."""
        with self._lock:
            self.tasks.clear_host(host_id)
            self._reboot_ends_at_by_id[host_id] = self._clock.monotonic()
            self._set_state(host_id, platform.ListedState.REBOOTING)
        self.settle()

    def start_task(
        self, host_id: str, order: platform.TaskOrder
    ) -> task_state.Outcome:
        """Starts a task on a host that accepts tasks."""
        self._settle_for(host_id)
        with self._lock:
            host = self._hosts_by_id.get(host_id)
            if host is None:
                return task_types.missing_host(host_id)
            if host.state is platform.ListedState.DOWN:
                return task_types.unreachable_host(host_id)
            if host.state is not platform.ListedState.LIVE:
                return result.Failure(
                    errors.failure(
                        errors.ErrorKind.PLATFORM_REFUSED,
                        f"host {host_id} is {host.state}",
                    )
                )
            return self.tasks.start(
                host_id,
                order,
                self._clock.monotonic(),
                host_id in self.faults.failing_hosts,
            )

    def task_call(
        self, task_id: str, epoch: int, action: str, amount: float = 0.0
    ) -> result.Result[str, errors.Failure]:
        """Renews, checkpoints, throttles or stops a task.

        Args:
            task_id: The task.
            epoch: Fencing token of the order.
            action: `renew`, `checkpoint`, `throttle` or `stop`.
            amount: Lease in seconds, or share of the cores.

        Returns:
            Name of the checkpoint; empty for the other actions.
        """
        self._settle_for(self.tasks.host_of(task_id))
        with self._lock:
            host = self._hosts_by_id.get(self.tasks.host_of(task_id) or "")
            if host is not None and host.state is platform.ListedState.DOWN:
                return task_types.unreachable_host(host.host_id)
            running = self.tasks.running(task_id, epoch)
            if isinstance(running, result.Failure):
                return self._action_on_ended_task(task_id, action, running)
            task = running.unwrap()
            if action == "renew":
                self.tasks.renew(task, self._clock.monotonic() + amount)
            elif action == "throttle":
                self.tasks.throttle(task, amount)
            elif action == "stop":
                self.tasks.stop(task)
            elif action == "checkpoint":
                return self.tasks.checkpoint(task)
            return result.Success("")

    def list_tasks(
        self, host_id: str
    ) -> result.Result[tuple[platform.TaskReport, ...], errors.Failure]:
        """Returns the usage reports of a host, which may lag."""
        self._settle_for(host_id)
        with self._lock:
            host = self._hosts_by_id.get(host_id)
            if host is None:
                return task_types.missing_host(host_id)
            if host.state is platform.ListedState.DOWN:
                return task_types.unreachable_host(host_id)
            now = self._clock.monotonic()
            return result.Success(self.tasks.reports(host_id, now))

    def set_behaviour(
        self, behaviour_by_job: Mapping[str, task_types.JobBehaviour]
    ) -> None:
        """Sets the behaviour of jobs that differ from their declaration."""
        with self._lock:
            self.tasks.work.behaviour_by_job.update(behaviour_by_job)

    def _action_on_ended_task(
        self, task_id: str, action: str, refusal: result.Failure[errors.Failure]
    ) -> result.Result[str, errors.Failure]:
        is_known = self.tasks.host_of(task_id) is not None
        has_ended = refusal.failure().kind is errors.ErrorKind.NOT_FOUND
        if action == "stop" and is_known and has_ended:
            return result.Success("")  # Stopping a stopped task succeeds.
        return refusal

    def _take_out_of_service(
        self, host_id: str, state: platform.ListedState
    ) -> task_state.Outcome:
        self.settle()
        with self._lock:
            host = self._hosts_by_id.get(host_id)
            if host is None:
                return task_types.missing_host(host_id)
            if host.state is platform.ListedState.DOWN:
                return task_types.unreachable_host(host_id)
            if host.state is platform.ListedState.REBOOTING:
                return result.Success(None)
            self._set_state(host_id, state)
            if state is platform.ListedState.REBOOTING:
                self.tasks.clear_host(host_id)
                self._reboot_ends_at_by_id[host_id] = (
                    self._clock.monotonic() + self._timing.reboot_seconds
                )
        self._notify([host_id], state)
        return result.Success(None)

    def _set_state(self, host_id: str, state: platform.ListedState) -> None:
        host = self._hosts_by_id[host_id]
        self._hosts_by_id[host_id] = host._replace(state=state)

    def _notify(
        self, host_ids: Iterable[str], state: platform.ListedState
    ) -> None:
        for host_id in host_ids:
            for listener in tuple(self._listeners):
                listener(host_id, state)
