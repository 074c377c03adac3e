"""`wisteriasill hosts`: lists hosts with pools and states."""

from __future__ import annotations

from wisteriasill.commands import console
from wisteriasill.commands import rows

COLUMNS = {
    "host_id": "HOST",
    "pool": "POOL",
    "state": "STATE",
    "availability_zone": "ZONE",
    "rack": "RACK",
    "next_pool": "MOVES TO",
    "wave": "WAVE",
    "reason": "REASON",
}


def run(
    connection: console.Connection, pool: str, state: str, as_json: bool
) -> int:
    """Lists hosts; see `rows.run`."""
    listing = rows.Listing("hosts", pool, state, as_json)
    return rows.run(connection, listing, COLUMNS)
