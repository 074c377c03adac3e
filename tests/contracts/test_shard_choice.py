"""Tests of the decision which node claims a shard."""

from __future__ import annotations

import pytest

from wisteriasill.contracts import shard_choice

SLOW = shard_choice.Claimant(0.05, 1.0, 0, 0.0)
FAST = shard_choice.Claimant(1.0, 1.0, 0, 1.0)


RELEASED = shard_choice.Holding.RELEASED
BY_ANOTHER = shard_choice.Holding.BY_ANOTHER


@pytest.mark.parametrize("holding", [RELEASED, BY_ANOTHER])
@pytest.mark.parametrize("kept", [0, 1])
def test_a_fast_node_comes_before_a_slow_one(
    holding: shard_choice.Holding, kept: int
) -> None:
    fast = FAST._replace(kept=kept)
    assert shard_choice.claim_delay_seconds(
        fast, holding
    ) < shard_choice.claim_delay_seconds(SLOW, holding)


def test_a_restarted_node_takes_its_own_shard_back_at_once() -> None:
    own = shard_choice.Holding.BY_OWN_PREVIOUS_INCARNATION
    assert shard_choice.claim_delay_seconds(FAST, own) == 0.0


def test_nodes_of_a_site_of_slow_nodes_wait_no_longer() -> None:
    alone = SLOW._replace(strongest=0.05)
    assert shard_choice.claim_delay_seconds(alone, RELEASED) == 0.0


def test_a_silent_holder_is_given_more_time_than_a_vacant_shard() -> None:
    assert shard_choice.claim_delay_seconds(FAST, BY_ANOTHER) == (
        shard_choice.claim_delay_seconds(FAST, RELEASED)
        + shard_choice.HOLDER_TIMEOUT_SECONDS
    )


@pytest.mark.parametrize(
    ("bidder", "holder_strength", "held", "offers"),
    [
        (FAST, 0.05, 3.0, True),
        (FAST, 0.05, 1.0, False),
        (FAST, 0.8, 30.0, False),
        (FAST._replace(kept=2), 0.05, 30.0, False),
        (SLOW, 0.05, 30.0, False),
    ],
)
def test_only_a_much_stronger_node_with_room_relieves_a_holder(
    bidder: shard_choice.Claimant,
    holder_strength: float,
    held: float,
    offers: bool,
) -> None:
    assert (
        shard_choice.should_take_over(bidder, holder_strength, held) is offers
    )
