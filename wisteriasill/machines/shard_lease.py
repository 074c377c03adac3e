"""Acquires, renews and releases the lease of one shard."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import lease as leases
from wisteriasill.contracts import lease_rules
from wisteriasill.links import platform

TokenSource = Callable[[], str]
# Minimum time between attempts, so that a long step doesn't retry a failed
# renewal before each write.
RENEWAL_RETRY_SECONDS = 0.5


class LeaseOwner(NamedTuple):
    """The process that acquires and renews leases.

    Attributes:
        member_id: Member id of this entry host.
        incarnation: Random id of this process.
        lease_seconds: Duration of a lease.
        token_source: Returns a new random token at each call.
    """

    member_id: str
    incarnation: str
    lease_seconds: float
    token_source: TokenSource


def read_lease(
    table: platform.Table, shard: str
) -> result.Result[tuple[leases.ShardLease | None, int], errors.Failure]:
    """Reads a lease row.

    Args:
        table: The table service.
        shard: The shard.

    Returns:
        The row's value and version; None and 0 if there is no row.
    """

    def decode_row(
        row: platform.Row | None,
    ) -> result.Result[tuple[leases.ShardLease | None, int], errors.Failure]:
        if row is None:
            return result.Success((None, 0))
        return documents.decode(leases.ShardLease, row.value).map(
            lambda lease: (lease, row.version)
        )

    return table.read(leases.TABLE, shard).bind(decode_row)


class HeldLease:
    """A lease that this process acquired; used by the shard's task only."""

    def __init__(
        self,
        table: platform.Table,
        owner: LeaseOwner,
        clock: clocks.Clock,
        lease: leases.ShardLease,
        version: int,
        epoch_row: platform.Row,
        sent_at: float,
    ) -> None:
        self._table = table
        self._owner = owner
        self._clock = clock
        self._lease = lease
        self._version = version
        self._renewal_sent_at = sent_at
        self._last_attempt_at = sent_at
        self._lost = False
        self.epoch_row = epoch_row

    @property
    def shard(self) -> str:
        """The shard of the lease."""
        return self._lease.shard

    @property
    def lost(self) -> bool:
        """Whether the lease was released or taken over."""
        return self._lost

    @property
    def condition(self) -> platform.Condition:
        """The fencing condition that every control transaction carries."""
        row = self.epoch_row
        return platform.Condition(row.table, row.key, row.version)

    def check(self) -> result.Result[None, errors.Failure]:
        """Checks whether the holder may act now.

        Returns:
            Success, or LEASE_LOST. While `lost` is false the failure may be
            temporary, as during an outage of the store.
        """
        now = self._clock.monotonic()
        if not self._lost and lease_rules.may_act(
            self._renewal_sent_at, now, self._owner.lease_seconds
        ):
            return result.Success(None)
        return result.Failure(
            errors.failure(
                errors.ErrorKind.LEASE_LOST,
                f"lease of shard {self.shard} was last renewed "
                f"{now - self._renewal_sent_at:.1f} s ago",
                errors.Executed.NO,
            )
        )

    def ensure_held(self) -> result.Result[None, errors.Failure]:
        """Renews the lease if that is due, then checks it.

        Returns:
            Success if the holder may act.
        """
        now = self._clock.monotonic()
        if (
            not self._lost
            and lease_rules.renewal_due(
                self._renewal_sent_at, now, self._owner.lease_seconds
            )
            and (
                now - self._last_attempt_at >= RENEWAL_RETRY_SECONDS
                or self._last_attempt_at == self._renewal_sent_at
            )
        ):
            self._renew(now)
        return self.check()

    def release(self) -> None:
        """Releases the lease, so that another member can acquire it at once."""
        if self._lost:
            return
        self._lost = True
        self._write(
            self._lease._replace(
                holder="", incarnation="", token=self._owner.token_source()
            )
        )
        self._log_lost("released")

    def _write(
        self, lease: leases.ShardLease
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        return self._table.transact(
            [platform.Condition(leases.TABLE, self.shard, self._version)],
            [platform.Write(leases.TABLE, self.shard, documents.encode(lease))],
        )

    def _renew(self, now: float) -> None:
        self._last_attempt_at = now
        renewed = self._lease._replace(
            beat=self._lease.beat + 1, token=self._owner.token_source()
        )
        written = self._write(renewed)
        if isinstance(written, result.Success):
            self._lease = renewed
            self._version = written.unwrap()[0]
            self._renewal_sent_at = now
        elif written.failure().kind is not errors.ErrorKind.STORE_UNAVAILABLE:
            self._resolve_unknown(renewed, now)

    def _resolve_unknown(self, renewed: leases.ShardLease, now: float) -> None:
        """Reads the lease row after a conflict or an unknown outcome."""
        read = read_lease(self._table, self.shard)
        if not isinstance(read, result.Success):
            return
        lease, version = read.unwrap()
        if version < self._version:
            return  # The read was stale.
        if lease is None or not lease_rules.is_own(
            lease, self._owner.incarnation, self._lease.epoch
        ):
            self._lost = True
            self._log_lost("taken over")
            return
        self._lease = lease
        self._version = version
        if lease.token == renewed.token:
            self._renewal_sent_at = now

    def _log_lost(self, reason: str) -> None:
        events.log(
            events.Event.SHARD_LOST,
            "Shard lease no longer held",
            shard=self.shard,
            epoch=self._lease.epoch,
            reason=reason,
        )


def acquire(
    table: platform.Table,
    owner: LeaseOwner,
    clock: clocks.Clock,
    shard: str,
    seen: lease_rules.SeenLease,
) -> result.Result[HeldLease, errors.Failure]:
    """Tries to acquire a shard; the caller has checked `may_acquire`.

    Args:
        table: The table service.
        owner: The process that acquires the shard.
        clock: This process's clock.
        shard: The shard.
        seen: The lease row that the decision is based on.

    Returns:
        The lease, or why it wasn't acquired.
    """
    read = table.read(lease_rules.EPOCH_TABLE, shard)
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    row = read.unwrap()
    epoch_version = 0 if row is None else row.version
    epoch = 1 if row is None else int(row.value["epoch"]) + 1
    lease = leases.ShardLease(
        shard,
        owner.member_id,
        owner.incarnation,
        epoch,
        token=owner.token_source(),
    )
    sent_at = clock.monotonic()
    written = table.transact(
        [
            platform.Condition(leases.TABLE, shard, seen.version),
            platform.Condition(lease_rules.EPOCH_TABLE, shard, epoch_version),
        ],
        [
            platform.Write(leases.TABLE, shard, documents.encode(lease)),
            platform.Write(lease_rules.EPOCH_TABLE, shard, {"epoch": epoch}),
        ],
    )
    if not isinstance(written, result.Success):
        read_back_outcome = _read_back(table, lease, written.failure())
        if not isinstance(read_back_outcome, result.Success):
            return result.Failure(read_back_outcome.failure())
    events.log(
        events.Event.SHARD_ACQUIRED,
        "Shard lease acquired",
        shard=shard,
        epoch=epoch,
    )
    return result.Success(
        HeldLease(
            table,
            owner,
            clock,
            lease,
            seen.version + 1,
            platform.Row(
                lease_rules.EPOCH_TABLE,
                shard,
                epoch_version + 1,
                {"epoch": epoch},
            ),
            sent_at,
        )
    )


def _read_back(
    table: platform.Table, lease: leases.ShardLease, failure: errors.Failure
) -> result.Result[None, errors.Failure]:
    if failure.kind is not errors.ErrorKind.STORE_OUTCOME_UNKNOWN:
        return result.Failure(failure)
    read = read_lease(table, lease.shard)
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    stored_lease, _ = read.unwrap()
    if stored_lease is not None and stored_lease.token == lease.token:
        return result.Success(None)
    return result.Failure(failure)
