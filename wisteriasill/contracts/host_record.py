"""Hosts as the platform lists them to nodes.

`machines.host` has the host rows that entry hosts keep in the table.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from wisteriasill.contracts import job_spec


class HostState(enum.StrEnum):
    """State of a host in the platform's list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class HostRecord(NamedTuple):
    """A listed host, its pool and its current worker.

    Attributes:
        service: Service to whose pool the host belongs.
        room: Capacity of the host.
    """

    host_id: str
    service: str
    state: HostState
    availability_zone: str
    room: job_spec.Resources
    rack: str
    worker_id: str
