"""Decides which node claims a shard, and when one replaces a slow holder.

Used by nodes; entry hosts use `lease_rules` instead.

Load pattern: a rolling restart of nodes of different speeds, in which a slow
node would take over the pool that is at its peak and keep it.
"""

from __future__ import annotations

from collections.abc import Collection
import enum
from typing import NamedTuple

# Time without a heartbeat after which a holder is presumed dead: four heartbeat
# intervals, or one and a transaction of a slow store. Claiming the shard of a
# live holder is safe, but the new holder has to read all rows.
HOLDER_TIMEOUT_SECONDS = 2.0
# Jitter between the claims of nodes that see a vacant shard at the same time.
STAGGER_SECONDS = 0.5
# Additional delay for each shard that a node holds already, so that nodes
# without shards come first; no longer than the jitter.
HELD_SHARD_DELAY_SECONDS = 0.5
# Delay of the slowest node; longer than that of a fast one with two shards.
SLOWEST_DELAY_SECONDS = 1.6
# A holder with less than this share of another node's strength is replaced.
# Holding a pool of 40 workers takes half a core, so a node of half the strength
# is still sufficient.
TAKEOVER_SHARE = 0.5
# Shards that a node may hold and still replace a slow holder: two shards in one
# interpreter run better than one shard on half a core.
TAKEOVER_MAX_SHARDS = 1
# Time before a holder may be replaced, so that it can read all rows first.
TAKEOVER_AFTER_SECONDS = 2.0


class Holding(enum.Enum):
    """Who holds a shard, from the view of a node that may claim it."""

    RELEASED = enum.auto()
    BY_OWN_PREVIOUS_INCARNATION = enum.auto()
    BY_ANOTHER = enum.auto()


class Claimant(NamedTuple):
    """Properties of a node that determine how soon it may claim a shard.

    Attributes:
        strength: Its speed; 1 for a node that is fast enough for any pool.
        strongest: Strength of the strongest node of the site.
        held_shards: Number of shards that it holds already.
        stagger: The node's share of the jitter, 0 to 1.
    """

    strength: float
    strongest: float
    held_shards: int
    stagger: float


def claim_delay_seconds(claimant: Claimant, holding: Holding) -> float:
    """Returns how long a node waits before it claims an unchanged shard.

    A restarted node knows that its previous incarnation has ended, and no
    other node claims that shard for some time, so only the shards that it
    holds already delay its claim.

    Args:
        claimant: The node.
        holding: Who holds the shard.
    """
    held_shard_delay = HELD_SHARD_DELAY_SECONDS * claimant.held_shards
    if holding is Holding.BY_OWN_PREVIOUS_INCARNATION:
        return held_shard_delay
    slowness = 1 - min(1.0, claimant.strength / max(claimant.strongest, 1e-9))
    return (
        STAGGER_SECONDS * claimant.stagger
        + SLOWEST_DELAY_SECONDS * slowness
        + held_shard_delay
        + (HOLDER_TIMEOUT_SECONDS if holding is Holding.BY_ANOTHER else 0.0)
    )


def should_take_over(
    claimant: Claimant, holder_strength: float, held_seconds: float
) -> bool:
    """Returns whether a node should take a shard over from its live holder.

    Args:
        claimant: The node.
        holder_strength: Strength of the holder.
        held_seconds: Time since the holder was first seen.
    """
    return (
        claimant.held_shards <= TAKEOVER_MAX_SHARDS
        and holder_strength < TAKEOVER_SHARE * claimant.strength
        and held_seconds
        >= TAKEOVER_AFTER_SECONDS + STAGGER_SECONDS * claimant.stagger
    )


def strongest(strengths: Collection[float]) -> float:
    """Returns the strength of the strongest node; 1 if none is known."""
    return max(strengths, default=1.0)
