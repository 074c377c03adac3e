"""The platform's state in memory: table, objects, hosts and tasks.

Time-driven effects (lapsed leases, finished reboots, lagging views) are
settled at the start of each call, so that a hand-driven clock works too;
`settle` does the same for callers that wait for them.
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
        reboot_seconds: Time that a reboot takes.
        list_lag_seconds: Age of the list of hosts.
        report_lag_seconds: Age of the usage reports.
    """

    reboot_seconds: float = 5.0
    list_lag_seconds: float = 2.0
    report_lag_seconds: float = 2.0


class PlatformState:
    """Everything that the platform stand-in knows; thread safe."""

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
        self._reboots_end: dict[str, float] = {}
        self._listeners: list[HostListener] = []
        self._list = fault_switches.Lagging(
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
        """Calls a function when a host leaves, reboots, returns or fails.

        Args:
            listener: Gets the host id and its state; must not block.
        """
        self._listeners.append(listener)

    def settle(self) -> None:
        """Applies everything that time has brought."""
        with self._lock:
            self.tasks.settle(self._clock.monotonic())
        self._settle_hosts()

    def _settle_for(self, host_id: str | None) -> None:
        """Applies what time has brought to one host's tasks."""
        with self._lock:
            self.tasks.settle_one(host_id, self._clock.monotonic())
        self._settle_hosts()

    def _settle_hosts(self) -> None:
        """Ends the reboots that are due."""
        with self._lock:
            now = self._clock.monotonic()
            done = [key for key, at in self._reboots_end.items() if at <= now]
            for host_id in done:
                del self._reboots_end[host_id]
                host = self._hosts_by_id[host_id]
                self._hosts_by_id[host_id] = host._replace(
                    state=platform.ListedState.LIVE,
                    boot_count=host.boot_count + 1,
                )
            self._list.observe(now)
        self._notify(done, platform.ListedState.LIVE)

    def set_faults(self, switches: fault_switches.Faults) -> None:
        """Replaces the fault switches."""
        with self._lock:
            self.faults = switches

    def read(self, table: str, key: str) -> platform.Row | None:
        """Reads a row, an old one if the switch says so."""
        with self._lock:
            return self.table.read(table, key, self.faults.old_reads_seconds)

    def scan(self, table: str, prefix: str) -> tuple[platform.Row, ...]:
        """Reads rows by prefix, old ones if the switch says so."""
        with self._lock:
            return self.table.scan(table, prefix, self.faults.old_reads_seconds)

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> result.Result[tuple[int, ...], platform.Condition]:
        """Writes all rows, or returns the first row that differs."""
        with self._lock:
            return self.table.transact(conditions, writes)

    def put(self, key: str, body: bytes) -> bool:
        """Stores an object; returns whether the key held no other body."""
        with self._lock:
            return self.table.put(key, body)

    def get(self, key: str) -> bytes | None:
        """Reads an object."""
        with self._lock:
            return self.table.get(key)

    def list_hosts(self) -> tuple[platform.ListedHost, ...]:
        """Returns the lagging list."""
        self.settle()
        with self._lock:
            return self._list.read(self._clock.monotonic())[1]

    def host(self, host_id: str) -> platform.ListedHost | None:
        """Returns a host as it is now."""
        self.settle()
        return self._hosts_by_id.get(host_id)

    def drain_host(self, host_id: str) -> task_state.Outcome:
        """Makes a worker refuse new requests and tasks."""
        return self._leave(host_id, platform.ListedState.LEAVING)

    def reboot_host(self, host_id: str) -> task_state.Outcome:
        """Reboots a host, which ends its tasks."""
        return self._leave(host_id, platform.ListedState.REBOOTING)

    def fail_host(self, host_id: str, tasks_end: bool = True) -> None:
        """Takes a host away as a fault does.

        Args:
            host_id: The host.
            tasks_end: False if the host is cut off but its tasks go on until
                their leases lapse.
        """
        self.settle()
        with self._lock:
            self._set_state(host_id, platform.ListedState.DOWN)
            if tasks_end:
                self.tasks.clear_host(host_id)
        self._notify([host_id], platform.ListedState.DOWN)

    def restore_host(self, host_id: str) -> None:
        """Brings a failed host back, after a boot."""
        with self._lock:
            self.tasks.clear_host(host_id)
            self._reboots_end[host_id] = self._clock.monotonic()
            self._set_state(host_id, platform.ListedState.REBOOTING)
        self.settle()

    def start_task(
        self, host_id: str, order: platform.TaskOrder
    ) -> task_state.Outcome:
        """Starts a task on a host that takes tasks."""
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
        self, task_id: str, epoch: int, act: str, amount: float = 0.0
    ) -> result.Result[str, errors.Failure]:
        """Renews, checkpoints, throttles or stops a task.

        Args:
            task_id: The task.
            epoch: Fencing number of the order.
            act: `renew`, `checkpoint`, `throttle` or `stop`.
            amount: Lease in seconds, or share of the cores.

        Returns:
            Name of the checkpoint, empty for the other acts.
        """
        self._settle_for(self.tasks.host_of(task_id))
        with self._lock:
            host = self._hosts_by_id.get(self.tasks.host_of(task_id) or "")
            if host is not None and host.state is platform.ListedState.DOWN:
                return task_types.unreachable_host(host.host_id)
            found = self.tasks.running(task_id, epoch)
            if isinstance(found, result.Failure):
                return self._ended(task_id, act, found)
            task = found.unwrap()
            if act == "renew":
                self.tasks.renew(task, self._clock.monotonic() + amount)
            elif act == "throttle":
                self.tasks.throttle(task, amount)
            elif act == "stop":
                self.tasks.stop(task)
            elif act == "checkpoint":
                return self.tasks.checkpoint(task)
            return result.Success("")

    def list_tasks(
        self, host_id: str
    ) -> result.Result[tuple[platform.TaskReport, ...], errors.Failure]:
        """Returns the lagging usage reports of a host."""
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
        """Says what jobs really do; jobs that aren't named do as declared."""
        with self._lock:
            self.tasks.work.behaviour_by_job.update(behaviour_by_job)

    def _ended(
        self, task_id: str, act: str, refusal: result.Failure[errors.Failure]
    ) -> result.Result[str, errors.Failure]:
        known = self.tasks.host_of(task_id) is not None
        missing = refusal.failure().kind is errors.ErrorKind.NOT_FOUND
        if act == "stop" and known and missing:
            return result.Success("")  # Stopping a stopped task succeeds.
        return refusal

    def _leave(
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
                self._reboots_end[host_id] = (
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
