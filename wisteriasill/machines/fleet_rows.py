"""Rows that the fleet controller and the pools exchange."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import cbor2

from wisteriasill.contracts import host_moves

SHARD = ":fleet"  # Service names contain no colon, so none collides.
TABLE = "fleet"
DRAIN_REQUESTS_KEY = "asks"
DOWN_KEY = "down"
# A number that no wave has, as the release before reads any other key as the
# number of a wave.
DUE_KEY = "0"
# Keys of versions in the row of ended workers; ids contain no such character.
# The release before takes them for a host without a listing and its worker.
VERSION_SUFFIX = "\0"
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


class DownWorker(NamedTuple):
    """A worker that ended with its host or by an order to it.

    Attributes:
        version: Newest store version known before the list of hosts that shows
            the end was read; 0 if unknown. The list says nothing of an
            incarnation that registered later.
    """

    worker_id: str
    version: int


def encode_drain_requests(
    stored_requests: Iterable[StoredDrainRequest],
) -> bytes:
    """Encodes drain requests for their row."""
    return cbor2.dumps(
        [
            [*stored.request, round(stored.age_seconds, 2)]
            for stored in stored_requests
        ]
    )


def decode_drain_requests(value: bytes) -> list[StoredDrainRequest]:
    """Decodes drain requests; rows of older releases have no age."""
    field_count = len(host_moves.DrainRequest._fields)
    return [
        StoredDrainRequest(
            host_moves.DrainRequest(*row[:field_count]),
            *(row[field_count:] or [0.0]),
        )
        for row in cbor2.loads(value)
    ]


def encode_due(worker_ids: Iterable[str]) -> bytes:
    """Encodes the workers whose hosts a wave has yet to maintain."""
    return cbor2.dumps(sorted(worker_ids))


def decode_due(value: bytes) -> set[str]:
    """Decodes a value written by `encode_due`."""
    return set(cbor2.loads(value))


def encode_down(down_by_host: Mapping[str, DownWorker]) -> bytes:
    """Encodes the workers of hosts that are down.

    A worker that ended by an order is its own key.
    """
    return cbor2.dumps(
        {host_id: down.worker_id for host_id, down in down_by_host.items()}
        | {
            host_id + VERSION_SUFFIX: str(down.version)
            for host_id, down in down_by_host.items()
        }
    )


def decode_down(value: bytes) -> dict[str, DownWorker]:
    """Decodes ended workers; rows of older releases have no versions."""
    text_by_key = cbor2.loads(value)
    return {
        key: DownWorker(text, int(text_by_key.get(key + VERSION_SUFFIX, 0)))
        for key, text in text_by_key.items()
        if not key.endswith(VERSION_SUFFIX)
    }


def planned_ends(down_by_host: Mapping[str, DownWorker]) -> set[str]:
    """Returns the workers that ended by an order to their hosts."""
    return {
        down.worker_id
        for host_id, down in down_by_host.items()
        if host_id == down.worker_id
    }
