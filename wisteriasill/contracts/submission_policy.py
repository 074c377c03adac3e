"""Decides how a node hands a job to the store, and for how long it tries.

Load pattern: the store answers forty times slower at a peak. A partition then
runs four transactions a second, so each repeat of an insert that only waits in
its queue delays the jobs behind it, until none is stored in time. A store that
loses answers, or one that only this node has lost, needs the opposite: a
repeat at once, or another node.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

# Time without a response to this node's regular reads, which come every 0.4 s,
# after which the node counts as cut off from the store.
CUT_OFF_SECONDS = 0.8
# A read that takes longer shows a slow store; 4 ms are usual, 20 ms on a busy
# node.
SLOW_READ_SECONDS = 0.05
# Timeout of an insert in multiples of the latest read: a transaction takes
# twice as long as a read, and up to one second of others waits before it.
TIMEOUT_READS = 10.0
MIN_TIMEOUT_SECONDS = 0.25  # A slow node may need 0.1 s to read a response.
CUT_OFF_TIMEOUT_SECONDS = 0.4
FIRST_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 0.4


class StoreView(NamedTuple):
    """What a node knows of its connection to the store.

    Attributes:
        read_seconds: Duration of the latest short read.
        silent_seconds: Time since the store last responded.
    """

    read_seconds: float
    silent_seconds: float

    @property
    def cut_off(self) -> bool:
        """Whether this node seems to have lost the store."""
        return self.silent_seconds > CUT_OFF_SECONDS

    @property
    def slow(self) -> bool:
        """Whether the store responds to this node, but late."""
        return not self.cut_off and self.read_seconds > SLOW_READ_SECONDS


class Outcome(enum.StrEnum):
    """Outcome of an attempt to store a job.

    REFUSED means that this attempt certainly does not store the job. UNKNOWN
    means that the job may be stored, possibly after a delay.
    """

    STORED = "stored"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Route(enum.Enum):
    """Way to the store."""

    DIRECT = enum.auto()
    RELAY = enum.auto()


def insert_timeout_seconds(view: StoreView) -> float:
    """Returns how long to wait for the response to an insert."""
    if view.cut_off:
        return CUT_OFF_TIMEOUT_SECONDS
    return max(MIN_TIMEOUT_SECONDS, TIMEOUT_READS * view.read_seconds)


def next_route(
    view: StoreView, previous: Outcome | None, relayed: bool
) -> Route:
    """Returns the way of the next attempt.

    Another node is tried once, unless the store is slow for all nodes: the job
    would only wait in the same queue a second time.

    Args:
        view: The node's connection to the store.
        previous: Outcome of the previous attempt; None for the first.
        relayed: Whether another node was tried already.
    """
    failed = view.cut_off or previous is not None
    slow = view.slow and previous is not Outcome.REFUSED
    return Route.RELAY if failed and not slow and not relayed else Route.DIRECT


def pause_seconds(attempts: int) -> float:
    """Returns the pause after an attempt, which doubles with each.

    Args:
        attempts: Number of attempts so far.
    """
    return min(FIRST_PAUSE_SECONDS * 2.0 ** (attempts - 1), MAX_PAUSE_SECONDS)
