"""The rows by which the fleet's keeper and pools speak to each other."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import cbor2

from wisteriasill.contracts import host_moves

SHARD = ":fleet"  # No service has this name, as ours have no colon.
TABLE = "fleet"
ASKS_KEY = "asks"
DOWN_KEY = "down"
LOADS_TABLE = "loads"
LOAD_KEY = "load"


class StoredAsk(NamedTuple):
    """An ask and how long ago its order was given.

    Attributes:
        age_seconds: Age of the order when the row was written; 0 if it was
            not given yet, as it may be given right after.
    """

    ask: host_moves.Ask
    age_seconds: float


def encode_asks(stored: Iterable[StoredAsk]) -> bytes:
    """Encodes asks for their row."""
    return cbor2.dumps(
        [[*one.ask, round(one.age_seconds, 2)] for one in stored]
    )


def decode_asks(value: bytes) -> list[StoredAsk]:
    """Reads what `encode_asks` made, here or before orders had an age."""
    width = len(host_moves.Ask._fields)
    return [
        StoredAsk(host_moves.Ask(*row[:width]), *(row[width:] or [0.0]))
        for row in cbor2.loads(value)
    ]


def encode_down(worker_by_host: Mapping[str, str]) -> bytes:
    """Encodes the workers of hosts that are down."""
    return cbor2.dumps(dict(worker_by_host))


def decode_down(value: bytes) -> dict[str, str]:
    """Reads what `encode_down` made."""
    return dict(cbor2.loads(value))
