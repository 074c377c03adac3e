"""Holders of shards, as the store's transactions show them."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time
from typing import NamedTuple

from standins import row_store
from wisteriasill.zones import shard_writer


class Claim(NamedTuple):
    """A change of the holder of a shard.

    Attributes:
        at: Monotonic time.
        node: Name of the new holder; empty after a release.
    """

    at: float
    node: str


class Holders:
    """Records which node holds which shard."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._node_by_token: dict[int, str] = {}
        self._claims_by_shard: dict[str, list[Claim]] = {}
        self._observers: list[Callable[[str, row_store.Commit], None]] = []

    def record(self, commit: row_store.Commit) -> None:
        """Records a transaction and passes it on with the node's name."""
        with self._lock:
            for write in commit.writes:
                if (write.table, write.key) == (
                    shard_writer.TABLE,
                    shard_writer.OWNER,
                ):
                    node = (write.value or b"").decode()
                    self._node_by_token[commit.version] = node
                    self._claims_by_shard.setdefault(
                        commit.partition_key, []
                    ).append(Claim(time.monotonic(), node))
            node = next(
                (
                    self._node_by_token.get(row.version, "")
                    for row in commit.required
                    if (row.table, row.key)
                    == (shard_writer.TABLE, shard_writer.OWNER)
                ),
                "",
            )
            observers = [*self._observers]
        for observe in observers:
            observe(node, commit)

    def observe(
        self, observer: Callable[[str, row_store.Commit], None]
    ) -> None:
        """Calls a function with each later transaction and its node."""
        with self._lock:
            self._observers.append(observer)

    def forget(self, observer: Callable[[str, row_store.Commit], None]) -> None:
        """Calls a function no more."""
        with self._lock:
            self._observers.remove(observer)

    def sender(self, fencing_token: int) -> str:
        """Returns the node whose orders have a fencing token."""
        with self._lock:
            return self._node_by_token.get(fencing_token, "")

    def holder(self, shard: str) -> str:
        """Returns the node that holds a shard; empty for none."""
        with self._lock:
            claims = self._claims_by_shard.get(shard)
            return claims[-1].node if claims else ""

    def holders_between(
        self, shard: str, start: float, end: float
    ) -> frozenset[str]:
        """Returns the nodes that held a shard at any time of a span."""
        with self._lock:
            claims = self._claims_by_shard.get(shard, [])
            before = [claim for claim in claims if claim.at <= start][-1:]
            return frozenset(
                claim.node
                for claim in [
                    *before,
                    *(claim for claim in claims if start < claim.at <= end),
                ]
                if claim.node
            )
