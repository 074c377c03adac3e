"""Chooses the shards that this process acquires and releases."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import lease as leases
from wisteriasill.contracts import lease_rules
from wisteriasill.contracts import orders
from wisteriasill.links import platform
from wisteriasill.machines import member as members
from wisteriasill.machines import shard_lease
from wisteriasill.zones import site as sites

# A live holder releases a shard only when another member has been the preferred
# holder for a while, and not soon after it acquired the shard. Members that
# come and go, or never acquire shards, would otherwise make shards flap.
STABLE_SECONDS = 5.0
MIN_HOLD_SECONDS = 60.0


class HeldShard(NamedTuple):
    """A shard that this process holds.

    Attributes:
        acquired_at: Monotonic time of the acquisition in seconds.
        other_preferred_since: Monotonic time since when another live member is
            preferred; None while this one is.
    """

    acquired_at: float
    other_preferred_since: float | None = None


def shards_of(snapshot: sites.SiteSnapshot) -> tuple[str, ...]:
    """Lists the shards of a site.

    Args:
        snapshot: View of the site.

    Returns:
        `site`, the configured pools, and pools that are no longer configured
        but still have hosts.
    """
    pools = {
        *snapshot.configuration.services_by_name,
        *snapshot.hosts_by_pool,
    }
    return (orders.SITE_SHARD, *sorted(pools))


class ShardBalancer:
    """Tracks all shard leases; used by the controller's task only."""

    def __init__(
        self,
        table: platform.Table,
        site: sites.Site,
        owner: shard_lease.LeaseOwner,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._site = site
        self._owner = owner
        self._clock = clock
        self._seen_by_shard: dict[str, lease_rules.SeenLease] = {}
        self._held_by_shard: dict[str, HeldShard] = {}

    def acquire(
        self, held: Collection[str]
    ) -> result.Result[tuple[shard_lease.HeldLease, ...], errors.Failure]:
        """Acquires the free shards that this process should hold.

        Args:
            held: Shards that this process holds.

        Returns:
            The new leases, or the failure of reading the lease rows.
        """
        scanned = self._table.scan(leases.TABLE)
        if not isinstance(scanned, result.Success):
            return result.Failure(scanned.failure())
        rows = {row.key: row for row in scanned.unwrap()}
        now = self._clock.monotonic()
        acquired = []
        for shard in shards_of(self._site.snapshot):
            seen = self._observe(shard, rows.get(shard), now)
            rank = self._rank(shard)
            if shard in held or rank is None or seen is None:
                continue
            if lease_rules.may_acquire(
                seen,
                self._owner.incarnation,
                now,
                self._owner.lease_seconds,
                rank,
            ):
                lease = shard_lease.acquire(
                    self._table, self._owner, self._clock, shard, seen
                )
                if isinstance(lease, result.Success):
                    acquired.append(lease.unwrap())
                    self._held_by_shard[shard] = HeldShard(now)
        return result.Success(tuple(acquired))

    def shards_to_release(self, held: Collection[str]) -> tuple[str, ...]:
        """Lists held shards that another live member should hold.

        Args:
            held: Shards that this process holds.

        Returns:
            The shards to release.
        """
        now = self._clock.monotonic()
        self._held_by_shard = {
            shard: self._update_held_shard(shard, now) for shard in held
        }
        return tuple(
            shard
            for shard, held_shard in self._held_by_shard.items()
            if held_shard.other_preferred_since is not None
            and now - held_shard.other_preferred_since >= STABLE_SECONDS
            and now - held_shard.acquired_at >= MIN_HOLD_SECONDS
        )

    def _update_held_shard(self, shard: str, now: float) -> HeldShard:
        held_shard = self._held_by_shard.get(shard, HeldShard(now))
        rank = self._rank(shard)
        if rank is None or rank == 0:
            return held_shard._replace(other_preferred_since=None)
        if held_shard.other_preferred_since is None:
            return held_shard._replace(other_preferred_since=now)
        return held_shard

    def _rank(self, shard: str) -> int | None:
        """Returns this member's rank for a shard; None if it isn't live."""
        ranked = lease_rules.rank_members(
            shard, _live_member_ids(self._site.snapshot.members_by_id)
        )
        if self._owner.member_id not in ranked:
            return None
        return ranked.index(self._owner.member_id)

    def _observe(
        self, shard: str, row: platform.Row | None, now: float
    ) -> lease_rules.SeenLease | None:
        lease = None
        if row is not None:
            decoded = documents.decode(leases.ShardLease, row.value)
            if not isinstance(decoded, result.Success):
                return None
            lease = decoded.unwrap()
        seen = lease_rules.observe(
            self._seen_by_shard.get(shard),
            lease,
            0 if row is None else row.version,
            now,
        )
        self._seen_by_shard[shard] = seen
        return seen


def _live_member_ids(members_by_id: Mapping[str, members.Member]) -> list[str]:
    return [
        member_id
        for member_id, member in members_by_id.items()
        if not member.leaving
    ]
