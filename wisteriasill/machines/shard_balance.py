"""Which shards this process takes and which it gives up."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import lease as leases
from wisteriasill.contracts import lease_keeper
from wisteriasill.contracts import orders
from wisteriasill.links import platform
from wisteriasill.machines import member as members
from wisteriasill.machines import shard_lease
from wisteriasill.zones import site as sites

# A shard changes hands politely only when its better holder has been live for
# a while, and not again soon, so that a member that comes and goes, or one
# that never takes shards, doesn't make shards flap.
SETTLED_SECONDS = 5.0
SHORTEST_HOLD_SECONDS = 60.0


class Hold(NamedTuple):
    """A shard that this process holds.

    Attributes:
        taken_at: Monotonic seconds when it was taken.
        better_since: Monotonic seconds since when another live member should
            have it; None while this one should.
    """

    taken_at: float
    better_since: float | None = None


def shards_of(snapshot: sites.SiteSnapshot) -> tuple[str, ...]:
    """Lists the shards of a site.

    Args:
        snapshot: What is known of the site.

    Returns:
        `site`, the configured pools, and pools that are no longer configured
        but still have hosts.
    """
    pools = {
        *snapshot.configuration.services_by_name,
        *snapshot.hosts_by_pool,
    }
    return (orders.SITE_SHARD, *sorted(pools))


class ShardBalance:
    """Watches all leases; used by the controller's task only."""

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
        self._seen: dict[str, lease_keeper.SeenLease] = {}
        self._holds: dict[str, Hold] = {}

    def take(
        self, held: Collection[str]
    ) -> result.Result[tuple[shard_lease.HeldLease, ...], errors.Failure]:
        """Takes the shards that this process should have and may take.

        Args:
            held: Shards that it holds.

        Returns:
            The new leases, or why the leases can't be read.
        """
        scanned = self._table.scan(leases.TABLE)
        if not isinstance(scanned, result.Success):
            return result.Failure(scanned.failure())
        rows = {row.key: row for row in scanned.unwrap()}
        now = self._clock.monotonic()
        taken = []
        for shard in shards_of(self._site.snapshot):
            seen = self._observe(shard, rows.get(shard), now)
            rank = self._rank(shard)
            if shard in held or rank is None or seen is None:
                continue
            if lease_keeper.may_take(
                seen,
                self._owner.incarnation,
                now,
                self._owner.lease_seconds,
                rank,
            ):
                lease = shard_lease.take(
                    self._table, self._owner, self._clock, shard, seen
                )
                if isinstance(lease, result.Success):
                    taken.append(lease.unwrap())
                    self._holds[shard] = Hold(now)
        return result.Success(tuple(taken))

    def give_up(self, held: Collection[str]) -> tuple[str, ...]:
        """Lists held shards that another live member should have.

        Args:
            held: Shards that this process holds.

        Returns:
            The shards to release.
        """
        now = self._clock.monotonic()
        self._holds = {shard: self._hold(shard, now) for shard in held}
        return tuple(
            shard
            for shard, hold in self._holds.items()
            if hold.better_since is not None
            and now - hold.better_since >= SETTLED_SECONDS
            and now - hold.taken_at >= SHORTEST_HOLD_SECONDS
        )

    def _hold(self, shard: str, now: float) -> Hold:
        hold = self._holds.get(shard, Hold(now))
        rank = self._rank(shard)
        if rank is None or rank == 0:
            return hold._replace(better_since=None)
        if hold.better_since is None:
            return hold._replace(better_since=now)
        return hold

    def _rank(self, shard: str) -> int | None:
        """Returns this member's place; None if it is not a live member."""
        ranked = lease_keeper.rank_members(
            shard, _live(self._site.snapshot.members_by_id)
        )
        if self._owner.member_id not in ranked:
            return None
        return ranked.index(self._owner.member_id)

    def _observe(
        self, shard: str, row: platform.Row | None, now: float
    ) -> lease_keeper.SeenLease | None:
        lease = None
        if row is not None:
            decoded = documents.decode(leases.ShardLease, row.value)
            if not isinstance(decoded, result.Success):
                return None
            lease = decoded.unwrap()
        seen = lease_keeper.observe(
            self._seen.get(shard),
            lease,
            0 if row is None else row.version,
            now,
        )
        self._seen[shard] = seen
        return seen


def _live(members_by_id: Mapping[str, members.Member]) -> list[str]:
    return [
        member_id
        for member_id, member in members_by_id.items()
        if not member.leaving
    ]
