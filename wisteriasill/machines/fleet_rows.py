"""The rows by which the fleet's keeper asks pools to empty workers."""

from __future__ import annotations

from collections.abc import Mapping

import cbor2

from wisteriasill.contracts import host_moves

SHARD = ":fleet"  # No service has this name, as ours have no colon.
TABLE = "fleet"
ASKS_KEY = "asks"


def encode_asks(ask_by_host: Mapping[str, host_moves.Ask]) -> bytes:
    """Encodes asks for their row."""
    return cbor2.dumps([[*ask] for ask in ask_by_host.values()])


def decode_asks(value: bytes) -> list[host_moves.Ask]:
    """Reads what `encode_asks` made."""
    return [host_moves.Ask(*fields) for fields in cbor2.loads(value)]
