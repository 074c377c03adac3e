"""Rows of the maintenance waves of pools.

Entry hosts plan these waves themselves. Nodes carry out the waves that an
operator requests, see `queue.WaveOrder`.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

TABLE = "waves"


class WaveState(enum.StrEnum):
    """State of a wave."""

    RUNNING = "running"
    STOPPED = "stopped"
    PAUSED = "paused"
    FINISHED = "finished"


class Wave(NamedTuple):
    """A row of the waves table; its key is `pool/number`.

    Attributes:
        pool: Pool whose hosts are maintained.
        number: Sequence number within the pool.
        state: Its state.
        started_at: Unix time when the wave started.
        hosts_total: Number of hosts to maintain, including those done.
        hosts_done: Number of hosts that returned.
        hosts_away: Ids of the hosts that are away now.
        reason: Why it is stopped, paused or waiting.
        excused: Ids of hosts that were missing when an operator resumed the
            wave; they don't stop it again.
    """

    pool: str
    number: int
    state: WaveState
    started_at: float
    hosts_total: int
    hosts_done: int = 0
    hosts_away: tuple[str, ...] = ()
    reason: str = ""
    excused: tuple[str, ...] = ()
