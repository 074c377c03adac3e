"""Decisions on shard leases: who acquires one, renews it and may act on it.

Used by entry hosts; nodes use `shard_choice` instead.

Clocks of different machines are never compared. A candidate measures with its
own monotonic clock how long a lease row has been unchanged; a holder measures
with its own clock how long ago it sent its last successful renewal.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from wisteriasill.contracts import lease as leases

EPOCH_TABLE = "epochs"
# A holder stops writing after this share of the lease period. The remaining
# third covers writes that are in flight when the holder stops.
ACT_SHARE = 2 / 3
RENEW_SHARE = 1 / 3
# Each further member in rendezvous order waits this much longer, for the case
# that the members before it are listed as live but don't acquire the shard.
RANK_DELAY_SECONDS = 2.0


class Epoch(NamedTuple):
    """A row of the epochs table; its key is the shard.

    The row is written only when the holder changes. A transaction that is
    conditional on its version fails once another member holds the shard, and
    renewals of the lease row don't conflict with it.

    Attributes:
        epoch: Grows by one with each change of holder.
    """

    epoch: int


class SeenLease(NamedTuple):
    """A lease row as a candidate has observed it.

    Attributes:
        lease: The row's value; None while there is no row.
        version: The row's version; 0 while there is no row.
        seen_at: Monotonic time when this version was first seen.
    """

    lease: leases.ShardLease | None
    version: int
    seen_at: float


def observe(
    observation: SeenLease | None,
    lease: leases.ShardLease | None,
    version: int,
    now: float,
) -> SeenLease:
    """Updates a candidate's observation of a lease row.

    Args:
        observation: The previous observation; None if there is none.
        lease: The row's value as just read.
        version: The row's version as just read.
        now: Monotonic time after the read.

    Returns:
        The new observation. It is unchanged unless the version is higher, so
        that a stale read neither shortens nor extends the wait.
    """
    if observation is not None and version <= observation.version:
        return observation
    return SeenLease(lease, version, now)


def may_acquire(
    observation: SeenLease,
    incarnation: str,
    now: float,
    lease_seconds: float,
    rank: int,
) -> bool:
    """Returns whether a candidate may try to acquire a shard.

    Args:
        observation: The lease row as the candidate has observed it.
        incarnation: Incarnation of the candidate's process.
        now: Monotonic time.
        lease_seconds: Period of the lease.
        rank: Rank of the candidate in the shard's rendezvous order.

    Returns:
        Whether the lease is free, was acquired by the candidate itself in a
        write whose answer was lost, or has not been renewed for the lease
        period.
    """
    unchanged_seconds = now - observation.seen_at
    rank_delay_seconds = rank * RANK_DELAY_SECONDS
    if observation.lease is None or not observation.lease.holder:
        return unchanged_seconds >= rank_delay_seconds
    if observation.lease.incarnation == incarnation:
        return True
    return unchanged_seconds >= lease_seconds + rank_delay_seconds


def may_act(sent_at: float, now: float, lease_seconds: float) -> bool:
    """Returns whether a holder may still write.

    Args:
        sent_at: Monotonic time when its last successful renewal was sent.
        now: Monotonic time.
        lease_seconds: Period of the lease.

    Returns:
        Whether less than two thirds of the period have passed.
    """
    return now - sent_at < lease_seconds * ACT_SHARE


def renewal_due(sent_at: float, now: float, lease_seconds: float) -> bool:
    """Returns whether a holder should renew its lease now."""
    return now - sent_at >= lease_seconds * RENEW_SHARE


def is_own(
    lease: leases.ShardLease | None, incarnation: str, epoch: int
) -> bool:
    """Returns whether a lease row belongs to this process and epoch."""
    return (
        lease is not None
        and bool(lease.holder)
        and lease.incarnation == incarnation
        and lease.epoch == epoch
    )


def rank_members(shard: str, member_ids: Iterable[str]) -> tuple[str, ...]:
    """Ranks members by rendezvous hash; the first should hold the shard.

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
