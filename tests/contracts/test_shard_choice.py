"""Tests of the decisions which node claims a shard and when."""

from __future__ import annotations

import pytest

from wisteriasill.contracts import shard_choice

SLOW = shard_choice.Claimant(0.05, 1.0, 0, 0.0)
FAST = shard_choice.Claimant(1.0, 1.0, 0, 1.0)


RELEASED = shard_choice.Holding.RELEASED
BY_ANOTHER = shard_choice.Holding.BY_ANOTHER


@pytest.mark.parametrize("holding", [RELEASED, BY_ANOTHER])
@pytest.mark.parametrize("held_shards", [0, 1])
def test_a_fast_node_comes_before_a_slow_one(
    holding: shard_choice.Holding, held_shards: int
) -> None:
    fast = FAST._replace(held_shards=held_shards)
    assert shard_choice.claim_delay_seconds(
        fast, holding
    ) < shard_choice.claim_delay_seconds(SLOW, holding)


def test_a_restarted_node_claims_its_previous_shard_at_once() -> None:
    own = shard_choice.Holding.BY_OWN_PREVIOUS_INCARNATION
    assert shard_choice.claim_delay_seconds(FAST, own) == 0.0


def test_slow_nodes_without_faster_ones_have_no_extra_delay() -> None:
    alone = SLOW._replace(strongest=0.05)
    assert shard_choice.claim_delay_seconds(alone, RELEASED) == 0.0


def test_the_shard_of_a_silent_holder_is_claimed_later_than_a_vacant_one() -> (
    None
):
    assert shard_choice.claim_delay_seconds(FAST, BY_ANOTHER) == (
        shard_choice.claim_delay_seconds(FAST, RELEASED)
        + shard_choice.HOLDER_TIMEOUT_SECONDS
    )


@pytest.mark.parametrize(
    ("claimant", "holder_strength", "held_seconds", "takes_over"),
    [
        (FAST, 0.05, 3.0, True),
        (FAST, 0.05, 1.0, False),
        (FAST, 0.8, 30.0, False),
        (FAST._replace(held_shards=2), 0.05, 30.0, False),
        (SLOW, 0.05, 30.0, False),
    ],
)
def test_only_a_much_stronger_node_with_few_shards_replaces_a_holder(
    claimant: shard_choice.Claimant,
    holder_strength: float,
    held_seconds: float,
    takes_over: bool,
) -> None:
    assert (
        shard_choice.should_take_over(claimant, holder_strength, held_seconds)
        is takes_over
    )
