"""One member's way to the platform, with pauses and delays put in."""

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
from wisteriasill.contracts import lease_keeper
from wisteriasill.links import platform


class Kept(enum.Enum):
    """Which conditions of control transactions are sent."""

    ALL = "rows and epoch"
    ROWS = "rows alone"
    NONE = "none, lease check alone"


class Sent(NamedTuple):
    """A transaction that took effect.

    Attributes:
        at: Seconds when it was sent.
        rows: Rows that it wrote.
        control: Whether it carries the condition on an epoch.
        late: Whether another process held the shard when it took effect.
    """

    at: float
    rows: int
    control: bool
    late: bool


class MemberTable:
    """Implements `links.platform.Table` and keeps what was sent.

    Attributes:
        kept: Which conditions of control transactions are sent.
        before: Called before each control transaction is sent, after the
            member's check of its lease.
        delay_seconds: How long each call takes.
    """

    def __init__(
        self,
        inner: local_platform.LocalPlatform,
        state: platform_state.PlatformState,
        clock: clocks.ManualClock,
        member_id: str,
        kept: Kept = Kept.ALL,
    ) -> None:
        self._inner = inner
        self._state = state
        self._clock = clock
        self._member_id = member_id
        self.kept = kept
        self.before: Callable[[], None] = _nothing
        self.delay_seconds = 0.0
        self.sent: list[Sent] = []

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
        """Sends a transaction, after a pause if there is one."""
        self._clock.advance(self.delay_seconds)
        epochs = [
            item
            for item in conditions
            if item.table == lease_keeper.EPOCH_TABLE
        ]
        takes = any(item.table == leases.TABLE for item in writes)
        control = bool(epochs) and not takes
        if control:
            self.before()
            conditions = _kept(conditions, self.kept)
        counts = self._state.table.counts
        outcome = self._inner.transact(conditions, writes)
        if self._state.table.counts.transactions > counts.transactions:
            self.sent.append(
                Sent(
                    self._clock.monotonic(),
                    len(writes),
                    control,
                    control and self._is_late(epochs[0].key),
                )
            )
        return outcome

    def _is_late(self, shard: str) -> bool:
        row = self._state.table.read(leases.TABLE, shard, 0.0)
        return row is not None and row.value["holder"] != self._member_id


class MemberPlatform(NamedTuple):
    """The platform as one member reaches it."""

    table: MemberTable
    objects: platform.ObjectStore
    host_list: platform.HostList
    tasks: platform.TaskRunner
    host_control: platform.HostControl


def member_platform(
    inner: local_platform.LocalPlatform, table: MemberTable
) -> MemberPlatform:
    """Puts a member's table in front of the platform."""
    return MemberPlatform(
        table,
        inner.objects,
        inner.host_list,
        inner.tasks,
        inner.host_control,
    )


def _kept(
    conditions: Sequence[platform.Condition], kept: Kept
) -> Sequence[platform.Condition]:
    if kept is Kept.ALL:
        return conditions
    if kept is Kept.NONE:
        return ()
    return [
        item for item in conditions if item.table != lease_keeper.EPOCH_TABLE
    ]


def _nothing() -> None:
    """Does nothing before a transaction."""
