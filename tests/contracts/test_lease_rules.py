"""Tests of the decisions on shard leases."""

from __future__ import annotations

import pytest

from wisteriasill.contracts import lease as leases
from wisteriasill.contracts import lease_rules

OTHER = leases.ShardLease("quoting", "m2", "other", 3)
OWN = leases.ShardLease("quoting", "m1", "own", 3)
RELEASED = leases.ShardLease("quoting", "", "", 3)


@pytest.mark.parametrize(
    ("lease", "unchanged_seconds", "rank", "expected"),
    [
        (None, 0.0, 0, True),
        (None, 0.0, 1, False),
        (None, 2.0, 1, True),
        (RELEASED, 0.0, 0, True),
        (RELEASED, 1.9, 1, False),
        (OTHER, 5.9, 0, False),
        (OTHER, 6.0, 0, True),
        (OTHER, 7.9, 1, False),
        (OTHER, 8.0, 1, True),
        (OWN, 0.0, 0, True),
    ],
)
def test_who_may_acquire_a_shard(
    lease: leases.ShardLease | None,
    unchanged_seconds: float,
    rank: int,
    expected: bool,
) -> None:
    """A live holder must keep its shard; a dead one must lose it."""
    seen = lease_rules.SeenLease(lease, 7, 100.0)
    now = 100.0 + unchanged_seconds
    assert lease_rules.may_acquire(seen, "own", now, 6.0, rank) is expected


@pytest.mark.parametrize(
    ("age_seconds", "may_continue", "renews"),
    [(0.0, True, False), (2.0, True, True), (3.9, True, True),
     (4.0, False, True)],
)  # fmt: skip
def test_holder_stops_before_candidates_start(
    age_seconds: float, may_continue: bool, renews: bool
) -> None:
    """A holder must stop while the lease has a third of its period left."""
    assert lease_rules.may_act(0.0, age_seconds, 6.0) is may_continue
    assert lease_rules.renewal_due(0.0, age_seconds, 6.0) is renews


def test_stale_read_does_not_restart_the_wait() -> None:
    """A candidate must not wait forever because of stale reads."""
    seen = lease_rules.observe(None, OTHER, 7, 10.0)
    assert lease_rules.observe(seen, OTHER, 6, 14.0) == seen
    assert lease_rules.observe(seen, OTHER, 7, 15.0).seen_at == 10.0
    assert lease_rules.observe(seen, OTHER, 8, 15.0).seen_at == 15.0


def test_lost_member_moves_only_its_own_shards() -> None:
    """The loss of one member must not move the shards of the others."""
    shards = [f"pool-{number}" for number in range(40)]
    three = {
        shard: lease_rules.rank_members(shard, ["a", "b", "c"])[0]
        for shard in shards
    }
    two = {
        shard: lease_rules.rank_members(shard, ["a", "b"])[0]
        for shard in shards
    }
    assert set(three.values()) == {"a", "b", "c"}
    assert all(
        two[shard] == holder for shard, holder in three.items() if holder != "c"
    )
