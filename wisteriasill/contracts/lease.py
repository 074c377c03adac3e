"""Rows of the leases of shards, with epochs as fencing tokens."""

from __future__ import annotations

from typing import NamedTuple

TABLE = "leases"


class ShardLease(NamedTuple):
    """A row of the leases table; its key is the shard.

    Attributes:
        shard: Pool name, or `site`.
        holder: Member id of the holder; empty if the lease is released.
        incarnation: Incarnation of the holder's process.
        epoch: Grows by one with each change of holder.
        beat: Heartbeat counter; grows with each renewal.
        token: Random value of the last writer.
    """

    shard: str
    holder: str
    incarnation: str
    epoch: int
    beat: int = 0
    token: str = ""
