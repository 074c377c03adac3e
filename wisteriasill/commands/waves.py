"""`wisteriasill waves`: lists maintenance waves."""

from __future__ import annotations

from wisteriasill.commands import console
from wisteriasill.commands import rows

COLUMNS = {
    "pool": "POOL",
    "number": "WAVE",
    "state": "STATE",
    "hosts_done": "DONE",
    "hosts_total": "OF",
    "hosts_away": "AWAY",
    "most_at_once": "AT MOST AWAY",
    "reason": "REASON",
}


def run(
    connection: console.Connection, pool: str, state: str, as_json: bool
) -> int:
    """Lists maintenance waves; see `rows.run`."""
    listing = rows.Listing("waves", pool, state, as_json)
    return rows.run(connection, listing, COLUMNS)
