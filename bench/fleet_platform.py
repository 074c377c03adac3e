"""A simulated platform whose hosts fail, reboot and recover over weeks.

Time advances manually. All durations follow from the seed and the boot count
of the host, so that all plans are compared under the same faults.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
import heapq
import itertools
import random
from typing import NamedTuple

from returns import result

from standins import faults
from standins import local_platform
from standins import platform_state
from standins import table_state
from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

LIST_LAG_SECONDS = 2.0
# A host whose reboot fails returns after a repair of this length.
REPAIR_SECONDS = 6 * 3600.0
Outcome = result.Result[None, errors.Failure]


class Outage(NamedTuple):
    """Hosts that fail together.

    Attributes:
        at: Seconds at which they fail.
        host_ids: The hosts.
        seconds: Duration of the outage.
    """

    at: float
    host_ids: tuple[str, ...]
    seconds: float


class FaultPlan(NamedTuple):
    """Faults of a simulation.

    Attributes:
        seed: Seed of durations and failed reboots.
        maintenance_seconds: Median time of a reboot with maintenance.
        failed_reboot_share: Share of reboots that need a repair.
        reboots_fail_from: Seconds from which every reboot needs a repair.
        reboots_fail_until: Seconds until which every reboot needs a repair.
        outages: Hosts that fail independently of maintenance.
    """

    seed: int
    maintenance_seconds: float
    failed_reboot_share: float = 0.002
    reboots_fail_from: float = 0.0
    reboots_fail_until: float = 0.0
    outages: tuple[Outage, ...] = ()


class HostEvent(NamedTuple):
    """A recorded write of a host row."""

    at: float
    host_id: str
    pool: str
    state: str
    wave: str


class FleetPlatform:
    """Implements `links.platform.Platform`; its workers run no tasks."""

    def __init__(
        self,
        clock: clocks.ManualClock,
        listed: Iterable[platform.ListedHost],
        fault_plan: FaultPlan,
    ) -> None:
        self._clock = clock
        self._fault_plan = fault_plan
        self._hosts_by_id = {host.host_id: host for host in listed}
        self._sequence = itertools.count()
        self._scheduled_changes: list[
            tuple[float, int, str, platform.ListedState, int]
        ] = []
        self._list = faults.LaggingView(
            LIST_LAG_SECONDS, lambda: tuple(self._hosts_by_id.values())
        )
        self._empty = local_platform.LocalPlatform(
            platform_state.PlatformState(clock, ())
        )
        self.state = table_state.TableState(clock)
        self.failed_reboots = 0
        self.history: list[HostEvent] = []
        for outage in fault_plan.outages:
            for host_id in outage.host_ids:
                self._schedule(outage.at, host_id, platform.ListedState.DOWN, 0)
                self._schedule(
                    outage.at + outage.seconds,
                    host_id,
                    platform.ListedState.LIVE,
                    1,
                )

    @property
    def table(self) -> platform.Table:
        """The transactional table service."""
        return self

    @property
    def objects(self) -> platform.ObjectStore:
        """An object store; not used here."""
        return self._empty

    @property
    def host_list(self) -> platform.HostList:
        """The lagging list of hosts."""
        return self

    @property
    def tasks(self) -> platform.TaskRunner:
        """Task runner; not used here."""
        return self._empty

    @property
    def host_control(self) -> platform.HostControl:
        """Drain and reboot of hosts."""
        return self

    def read(
        self, table: str, key: str
    ) -> result.Result[platform.Row | None, errors.Failure]:
        """Reads one row."""
        return result.Success(self.state.read(table, key, 0.0))

    def scan(
        self, table: str, prefix: str = ""
    ) -> result.Result[tuple[platform.Row, ...], errors.Failure]:
        """Reads rows by prefix."""
        return result.Success(self.state.scan(table, prefix, 0.0))

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        """Writes rows if all conditions hold; records writes of host rows."""
        outcome = self.state.transact(conditions, writes).alt(
            lambda failed: errors.failure(
                errors.ErrorKind.CONFLICT, f"{failed.table}/{failed.key}"
            )
        )
        if isinstance(outcome, result.Success):
            now = self._clock.monotonic()
            self.history.extend(
                HostEvent(
                    now,
                    write.key,
                    write.value["pool"],
                    write.value["state"],
                    write.value["wave"],
                )
                for write in writes
                if write.table == hosts.TABLE and write.value is not None
            )
        return outcome

    def list_hosts(
        self,
    ) -> result.Result[tuple[platform.ListedHost, ...], errors.Failure]:
        """Reads the lagging list."""
        self._apply_due_changes()
        return result.Success(self._list.read(self._clock.monotonic())[1])

    def drain_host(self, host_id: str) -> Outcome:
        """Makes a worker refuse new work."""
        self._apply_due_changes()
        host = self._hosts_by_id[host_id]
        if host.state is platform.ListedState.DOWN:
            return _unreachable(host_id)
        self._set(host_id, platform.ListedState.LEAVING, 0)
        return result.Success(None)

    def reboot_host(self, host_id: str) -> Outcome:
        """Reboots a host; its maintenance takes time and can fail."""
        self._apply_due_changes()
        host = self._hosts_by_id[host_id]
        if host.state is platform.ListedState.DOWN:
            return _unreachable(host_id)
        now = self._clock.monotonic()
        rng = random.Random(
            f"{self._fault_plan.seed}/{host_id}/{host.boot_count}"
        )
        ends_at = (
            now
            + self._fault_plan.maintenance_seconds
            * rng.lognormvariate(0.0, 0.2)
        )
        fails = rng.random() < self._fault_plan.failed_reboot_share
        if (
            fails
            or self._fault_plan.reboots_fail_from
            <= now
            < self._fault_plan.reboots_fail_until
        ):
            self.failed_reboots += 1
            self._schedule(ends_at, host_id, platform.ListedState.DOWN, 0)
            ends_at += REPAIR_SECONDS
        self._set(host_id, platform.ListedState.REBOOTING, 0)
        self._schedule(ends_at, host_id, platform.ListedState.LIVE, 1)
        return result.Success(None)

    def _schedule(
        self, at: float, host_id: str, state: platform.ListedState, boots: int
    ) -> None:
        heapq.heappush(
            self._scheduled_changes,
            (at, next(self._sequence), host_id, state, boots),
        )

    def _apply_due_changes(self) -> None:
        now = self._clock.monotonic()
        while self._scheduled_changes and self._scheduled_changes[0][0] <= now:
            _, _, host_id, state, boots = heapq.heappop(self._scheduled_changes)
            self._set(host_id, state, boots)

    def _set(
        self, host_id: str, state: platform.ListedState, boots: int
    ) -> None:
        host = self._hosts_by_id[host_id]
        self._hosts_by_id[host_id] = host._replace(
            state=state, boot_count=host.boot_count + boots
        )


def _unreachable(host_id: str) -> Outcome:
    return result.Failure(
        errors.failure(
            errors.ErrorKind.PLATFORM_REFUSED, f"host {host_id} is down"
        )
    )
