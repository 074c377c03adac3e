"""Decisions on shard leases: who takes one, renews it and may act on it.

Time is never compared between machines. A candidate measures on its own
monotonic clock for how long it has seen a lease row unchanged; a holder
measures on its own clock when its last successful renewal was sent.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from wisteriasill.contracts import lease as leases

EPOCH_TABLE = "epochs"
# A holder stops well before a candidate may start, which leaves a third of
# the period for a write that is on its way when the holder stops.
ACT_SHARE = 2 / 3
RENEW_SHARE = 1 / 3
# The next member in rendezvous order steps in this much later, for the case
# that the first one is listed as live and doesn't take the shard.
PATIENCE_SECONDS_PER_RANK = 2.0


class Epoch(NamedTuple):
    """A row of the epochs table; its key is the shard.

    The row is written only when the holder changes, so a transaction that
    requires its version fails once another member holds the shard, and
    renewals of the lease row don't disturb it.

    Attributes:
        epoch: Grows by one with each change of holder.
    """

    epoch: int


class SeenLease(NamedTuple):
    """A lease row as a candidate has seen it.

    Attributes:
        lease: The row's value; None while there is no row.
        version: The row's version; 0 while there is no row.
        seen_at: Monotonic seconds when this version was first seen.
    """

    lease: leases.ShardLease | None
    version: int
    seen_at: float


def observe(
    seen: SeenLease | None,
    lease: leases.ShardLease | None,
    version: int,
    now: float,
) -> SeenLease:
    """Updates what a candidate knows of a lease row.

    Args:
        seen: What it knew before; None for nothing.
        lease: The row's value as just read.
        version: The row's version as just read.
        now: Monotonic seconds after the read.

    Returns:
        The new view; a version that is not higher leaves it unchanged, so a
        stale read neither shortens nor lengthens the wait.
    """
    if seen is not None and version <= seen.version:
        return seen
    return SeenLease(lease, version, now)


def may_take(
    seen: SeenLease,
    incarnation: str,
    now: float,
    lease_seconds: float,
    rank: int,
) -> bool:
    """Tells whether a candidate may try to take a shard.

    Args:
        seen: The lease row as the candidate has seen it.
        incarnation: Incarnation of the candidate's process.
        now: Monotonic seconds.
        lease_seconds: Period of the lease.
        rank: Place of the candidate in the shard's rendezvous order.

    Returns:
        Whether the lease is free, is the candidate's own after a lost
        answer, or has stood still for the lease period.
    """
    unchanged_seconds = now - seen.seen_at
    patience_seconds = rank * PATIENCE_SECONDS_PER_RANK
    if seen.lease is None or not seen.lease.holder:
        return unchanged_seconds >= patience_seconds
    if seen.lease.incarnation == incarnation:
        return True
    return unchanged_seconds >= lease_seconds + patience_seconds


def may_act(sent_at: float, now: float, lease_seconds: float) -> bool:
    """Tells whether a holder may still write.

    Args:
        sent_at: Monotonic seconds when its last successful renewal was sent.
        now: Monotonic seconds.
        lease_seconds: Period of the lease.

    Returns:
        Whether less than two thirds of the period have passed.
    """
    return now - sent_at < lease_seconds * ACT_SHARE


def renewal_due(sent_at: float, now: float, lease_seconds: float) -> bool:
    """Tells whether a holder should renew its lease now."""
    return now - sent_at >= lease_seconds * RENEW_SHARE


def is_own(
    lease: leases.ShardLease | None, incarnation: str, epoch: int
) -> bool:
    """Tells whether a lease row is still that of a process and epoch."""
    return (
        lease is not None
        and bool(lease.holder)
        and lease.incarnation == incarnation
        and lease.epoch == epoch
    )


def rank_members(shard: str, member_ids: Iterable[str]) -> tuple[str, ...]:
    """Orders members by rendezvous hash; the first should hold the shard.

    Args:
        shard: The shard.
        member_ids: Live members.

    Returns:
        The members, best first.
    """
    return tuple(
        sorted(
            member_ids,
            key=lambda member_id: (
                xxhash.xxh64_intdigest(f"{shard}|{member_id}".encode()),
                member_id,
            ),
            reverse=True,
        )
    )
