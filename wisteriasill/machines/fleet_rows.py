"""Rows that the fleet controller and the pools exchange."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import cbor2

from wisteriasill.contracts import host_moves

SHARD = ":fleet"  # Names of services have no colon, so none is equal.
TABLE = "fleet"
DRAIN_REQUESTS_KEY = "asks"
DOWN_KEY = "down"
LOADS_TABLE = "loads"
LOAD_KEY = "load"


class StoredDrainRequest(NamedTuple):
    """A drain request and the age of its order.

    Attributes:
        age_seconds: Age of the order when the row was written; 0 if the order
            was not sent yet, as it may be sent right after.
    """

    request: host_moves.DrainRequest
    age_seconds: float


def encode_drain_requests(stored: Iterable[StoredDrainRequest]) -> bytes:
    """Encodes drain requests for their row."""
    return cbor2.dumps(
        [[*one.request, round(one.age_seconds, 2)] for one in stored]
    )


def decode_drain_requests(value: bytes) -> list[StoredDrainRequest]:
    """Decodes drain requests, also of releases that stored no age."""
    width = len(host_moves.DrainRequest._fields)
    return [
        StoredDrainRequest(
            host_moves.DrainRequest(*row[:width]), *(row[width:] or [0.0])
        )
        for row in cbor2.loads(value)
    ]


def encode_down(worker_by_host: Mapping[str, str]) -> bytes:
    """Encodes the workers of hosts that are down."""
    return cbor2.dumps(dict(worker_by_host))


def decode_down(value: bytes) -> dict[str, str]:
    """Decodes a value written by `encode_down`."""
    return dict(cbor2.loads(value))
