"""One member's access to the platform, with injected pauses and delays."""

from __future__ import annotations

from collections.abc import Callable, Sequence
import enum
from typing import NamedTuple

from returns import result

from standins import local_platform
from standins import platform_state
from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.contracts import lease as leases
from wisteriasill.contracts import lease_rules
from wisteriasill.links import platform


class SentConditions(enum.Enum):
    """Which conditions of control transactions are sent."""

    ALL = "rows and epoch"
    ROWS = "rows alone"
    NONE = "none, lease check alone"


class SentTransaction(NamedTuple):
    """A transaction that took effect.

    Attributes:
        at: Seconds at which it was sent.
        rows: Number of rows written.
        control: Whether it has a condition on an epoch (fencing token).
        late: Whether another member held the shard when it took effect.
    """

    at: float
    rows: int
    control: bool
    late: bool


class MemberTable:
    """Implements `links.platform.Table` and records transactions.

    Attributes:
        sent_conditions: Which conditions of control transactions are sent.
        before_control_write: Called before each control transaction is sent,
            after the member's check of its lease.
        delay_seconds: Duration of each call.
    """

    def __init__(
        self,
        inner: local_platform.LocalPlatform,
        state: platform_state.PlatformState,
        clock: clocks.ManualClock,
        member_id: str,
        sent_conditions: SentConditions = SentConditions.ALL,
    ) -> None:
        self._inner = inner
        self._state = state
        self._clock = clock
        self._member_id = member_id
        self.sent_conditions = sent_conditions
        self.before_control_write: Callable[[], None] = _do_nothing
        self.delay_seconds = 0.0
        self.sent: list[SentTransaction] = []

    def read(
        self, table: str, key: str
    ) -> result.Result[platform.Row | None, errors.Failure]:
        """Reads one row."""
        self._clock.advance(self.delay_seconds)
        return self._inner.read(table, key)

    def scan(
        self, table: str, prefix: str = ""
    ) -> result.Result[tuple[platform.Row, ...], errors.Failure]:
        """Reads rows by prefix."""
        self._clock.advance(self.delay_seconds)
        return self._inner.scan(table, prefix)

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        """Sends a transaction, after a pause if one is injected."""
        self._clock.advance(self.delay_seconds)
        epoch_conditions = [
            condition
            for condition in conditions
            if condition.table == lease_rules.EPOCH_TABLE
        ]
        acquires_lease = any(write.table == leases.TABLE for write in writes)
        control = bool(epoch_conditions) and not acquires_lease
        if control:
            self.before_control_write()
            conditions = _select_conditions(conditions, self.sent_conditions)
        counts = self._state.table.counts
        outcome = self._inner.transact(conditions, writes)
        if self._state.table.counts.transactions > counts.transactions:
            self.sent.append(
                SentTransaction(
                    self._clock.monotonic(),
                    len(writes),
                    control,
                    control and self._is_late(epoch_conditions[0].key),
                )
            )
        return outcome

    def _is_late(self, shard: str) -> bool:
        row = self._state.table.read(leases.TABLE, shard, 0.0)
        return row is not None and row.value["holder"] != self._member_id


class MemberPlatform(NamedTuple):
    """The platform as accessed by one member."""

    table: MemberTable
    objects: platform.ObjectStore
    host_list: platform.HostList
    tasks: platform.TaskRunner
    host_control: platform.HostControl


def member_platform(
    inner: local_platform.LocalPlatform, table: MemberTable
) -> MemberPlatform:
    """Builds a platform whose table is the member's."""
    return MemberPlatform(
        table,
        inner.objects,
        inner.host_list,
        inner.tasks,
        inner.host_control,
    )


def _select_conditions(
    conditions: Sequence[platform.Condition], sent_conditions: SentConditions
) -> Sequence[platform.Condition]:
    if sent_conditions is SentConditions.ALL:
        return conditions
    if sent_conditions is SentConditions.NONE:
        return ()
    return [
        condition
        for condition in conditions
        if condition.table != lease_rules.EPOCH_TABLE
    ]


def _do_nothing() -> None:
    """Default hook that does nothing."""
