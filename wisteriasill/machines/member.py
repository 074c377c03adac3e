"""Members: the entry hosts that the table lists."""

from __future__ import annotations

from typing import NamedTuple

TABLE = "members"


class Member(NamedTuple):
    """A row of the members table.

    Attributes:
        member_id: Name of the entry host, key of the row.
        incarnation: Random name of the process; a restart has another one.
        region: Region of the entry host.
        availability_zone: Availability zone of the entry host.
        address: IP address of the entry host.
        caller_port: Port for callers.
        operator_port: Port for operators.
        peer_port: Port for peers.
        beat: Grows with each renewal; a row whose beat stands still for long
            belongs to a process that ended without leaving.
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
