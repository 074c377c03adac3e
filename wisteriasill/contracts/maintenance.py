"""Maintenance waves."""

from __future__ import annotations

import enum
from typing import NamedTuple

TABLE = "waves"


class WaveState(enum.StrEnum):
    """Where a wave stands."""

    RUNNING = "running"
    STOPPED = "stopped"
    PAUSED = "paused"
    FINISHED = "finished"


class Wave(NamedTuple):
    """A row of the waves table; its key is `pool/number`.

    Attributes:
        pool: Pool whose hosts are maintained.
        number: Grows by one with each wave of the pool.
        state: Where the wave stands.
        started_at: Seconds since the epoch.
        hosts_total: Hosts to maintain.
        hosts_done: Hosts that came back.
        hosts_away: Hosts that are away now.
        reason: Why it is stopped or paused.
        excused: Hosts that were missing when an operator resumed the wave;
            they don't stop it again.
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
