"""Which node takes a shard over, and when a slow holder hands one on.

The load pattern it answers: a rolling restart of nodes of unlike speed, in
which a slow node would take the pool that is at its peak and keep it.
"""

from __future__ import annotations

from collections.abc import Collection
import enum
from typing import NamedTuple

# Four beats, or one and a transaction of a slow store. A claim of a shard whose
# holder lives after all breaks nothing, but its successor reads all rows.
SILENCE_SECONDS = 2.0
# Spreads the claims of nodes that see a vacant shard at the same time.
STAGGER_SECONDS = 0.5
# Further wait for each shard that a node keeps already: a stagger at most, so
# that nodes without shards come first.
LOAD_SECONDS = 0.5
# Wait of the slowest node; longer than that of a fast one with two shards.
SLOW_SECONDS = 1.6
# A holder under this share of another node's strength is relieved. One keeper
# of 40 workers uses half a core, so a node half as strong still does.
RELIEF_SHARE = 0.5
# Shards that a node may keep and still relieve a slow one: two keepers share
# an interpreter better than one has half a core.
RELIEF_SHARDS = 1
# Time that a holder is left alone first: a take-over and a reading of rows.
RELIEF_AFTER_SECONDS = 2.0


class Holding(enum.Enum):
    """Who holds a shard, as a node that may claim it sees it."""

    RELEASED = enum.auto()
    BY_OWN_FORMER_LIFE = enum.auto()
    BY_ANOTHER = enum.auto()


class Bidder(NamedTuple):
    """What decides how soon a node may claim a shard.

    Attributes:
        strength: Its speed, 1 for a node that keeps any pool with ease.
        strongest: Strength of the strongest node of the site.
        kept: Shards that it keeps already.
        stagger: Share of the stagger that is the node's own, 0 to 1.
    """

    strength: float
    strongest: float
    kept: int
    stagger: float


def patience_seconds(bidder: Bidder, holding: Holding) -> float:
    """Returns how long a shard stands still before a node claims it.

    A node that was restarted knows that its former life is over, and no other
    node claims that shard for a while, so it waits for nothing.

    Args:
        bidder: The node.
        holding: Who holds the shard.
    """
    load = LOAD_SECONDS * bidder.kept
    if holding is Holding.BY_OWN_FORMER_LIFE:
        return load
    slowness = 1 - min(1.0, bidder.strength / max(bidder.strongest, 1e-9))
    return (
        STAGGER_SECONDS * bidder.stagger
        + SLOW_SECONDS * slowness
        + load
        + (SILENCE_SECONDS if holding is Holding.BY_ANOTHER else 0.0)
    )


def relieves(bidder: Bidder, holder_strength: float, held: float) -> bool:
    """Whether a node offers to take a shard over from its living holder.

    Args:
        bidder: The node.
        holder_strength: Strength of the holder.
        held: Seconds for which the holder has been seen.
    """
    return (
        bidder.kept <= RELIEF_SHARDS
        and holder_strength < RELIEF_SHARE * bidder.strength
        and held >= RELIEF_AFTER_SECONDS + STAGGER_SECONDS * bidder.stagger
    )


def strongest(strengths: Collection[float]) -> float:
    """Returns the strength of the strongest node; 1 if none is known."""
    return max(strengths, default=1.0)
