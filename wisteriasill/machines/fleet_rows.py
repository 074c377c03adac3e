"""The rows by which the fleet's keeper and pools speak to each other."""

from __future__ import annotations

from collections.abc import Mapping

import cbor2

from wisteriasill.contracts import host_moves

SHARD = ":fleet"  # No service has this name, as ours have no colon.
TABLE = "fleet"
ASKS_KEY = "asks"
DOWN_KEY = "down"
LOADS_TABLE = "loads"
LOAD_KEY = "load"


def encode_asks(ask_by_host: Mapping[str, host_moves.Ask]) -> bytes:
    """Encodes asks for their row."""
    return cbor2.dumps([[*ask] for ask in ask_by_host.values()])


def decode_asks(value: bytes) -> list[host_moves.Ask]:
    """Reads what `encode_asks` made."""
    return [host_moves.Ask(*fields) for fields in cbor2.loads(value)]


def encode_down(worker_by_host: Mapping[str, str]) -> bytes:
    """Encodes the workers of hosts that are down."""
    return cbor2.dumps(dict(worker_by_host))


def decode_down(value: bytes) -> dict[str, str]:
    """Reads what `encode_down` made."""
    return dict(cbor2.loads(value))
