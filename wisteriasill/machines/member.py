"""Rows of the members table, one for each entry host."""

from __future__ import annotations

from typing import NamedTuple

TABLE = "members"


class Member(NamedTuple):
    """A row of the members table.

    Attributes:
        member_id: Name of the entry host; the key of the row.
        incarnation: Random id of the process; it changes with a restart.
        region: Region of the entry host.
        availability_zone: Availability zone of the entry host.
        address: IP address of the entry host.
        caller_port: Port for callers.
        operator_port: Port for operators.
        peer_port: Port for peers.
        beat: Heartbeat counter, increased with each renewal. A row whose
            counter doesn't change for long belongs to a crashed process.
        leaving: Whether the entry host is shutting down.
    """

    member_id: str
    incarnation: str
    region: str
    availability_zone: str
    address: str
    caller_port: int
    operator_port: int
    peer_port: int
    beat: int = 0
    leaving: bool = False
