"""Which node keeps which shard, agreed on through the store alone."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
import threading
import time
from typing import NamedTuple, Protocol

from returns import result
import xxhash

from wisteriasill import events
from wisteriasill.links import cluster
from wisteriasill.zones import shard_ledger

POLL_SECONDS = 0.4
# Four beats, or one and a transaction of a slow store. A claim of a shard whose
# holder lives after all breaks nothing, but its successor reads all rows.
SILENCE_SECONDS = 2.0
# Spreads the claims of nodes that see a vacant shard at the same time.
STAGGER_SECONDS = 0.5
# Further wait for each shard that a node keeps already.
LOAD_SECONDS = 0.6


class Keeper(Protocol):
    """The tasks of a shard that this node holds."""

    lost: bool

    def open(self) -> bool:
        """Starts the tasks; False if the shard's rows can't be read."""

    def close(self, release: bool) -> None:
        """Ends the tasks and optionally gives the shard up."""


class Sighting(NamedTuple):
    """A shard's state and since when it has stood still."""

    state: shard_ledger.ShardState
    since: float


class ShardClaims:
    """Takes shards over that have no live holder.

    Args:
        store: The platform's store.
        node: Name of this node.
        make_keeper: Builds the tasks for a claimed shard.
        handicap_seconds: Further wait of a node that is slower than others.
    """

    def __init__(
        self,
        store: cluster.RowStore,
        node: str,
        make_keeper: Callable[[shard_ledger.ShardLedger], Keeper],
        handicap_seconds: float = 0.0,
    ) -> None:
        self._store = store
        self._node = node
        self._make_keeper = make_keeper
        self._handicap_seconds = handicap_seconds
        self._sighting_by_shard: dict[str, Sighting] = {}
        self._row_by_name: dict[tuple[str, str], cluster.StoredRow] = {}
        self._version: int | None = None
        self.keeper_by_shard: dict[str, Keeper] = {}
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Gives all shards up."""
        self._stopping.set()
        for keeper in [*self.keeper_by_shard.values()]:
            keeper.close(release=True)
        self.keeper_by_shard.clear()

    def turn(self, shards: Collection[str]) -> None:
        """Looks at each shard once and claims those without a holder."""
        for shard, keeper in [*self.keeper_by_shard.items()]:
            if keeper.lost:
                keeper.close(release=False)
                del self.keeper_by_shard[shard]
                self._sighting_by_shard.pop(shard, None)
        if not self._refresh(shards):
            self._sighting_by_shard.clear()
            self._version = None
            return
        for shard in shards:
            if (
                shard not in self.keeper_by_shard
                and not self._stopping.is_set()
            ):
                self._look(shard)

    def _refresh(self, shards: Collection[str]) -> bool:
        """Brings the states up to date.

        Returns:
            Whether the store answered.
        """
        if self._version is None or not self._row_by_name:
            return self._read_all(shards)
        page = self._store.follow(shard_ledger.TABLE, self._version, 0.0)
        if not isinstance(page, result.Success):
            return False
        self._note(page.unwrap().rows)
        self._version = max(self._version, page.unwrap().version)
        return True

    def _read_all(self, shards: Collection[str]) -> bool:
        versions: list[int] = []
        for shard in shards:
            page = self._store.read(shard_ledger.TABLE, shard)
            if not isinstance(page, result.Success):
                return False
            self._note(page.unwrap().rows)
            versions.append(page.unwrap().version)
        self._version = min(versions, default=None)
        return True

    def _note(self, rows: Iterable[cluster.StoredRow]) -> None:
        self._row_by_name.update(((row.part, row.key), row) for row in rows)

    def _look(self, shard: str) -> None:
        rows = [
            row
            for key in (shard_ledger.OWNER, shard_ledger.BEAT)
            if (row := self._row_by_name.get((shard, key)))
        ]
        state, now = shard_ledger.state_of(rows), time.monotonic()
        seen = self._sighting_by_shard.get(shard)
        if seen is None or seen.state != state:
            seen = Sighting(state, now)
            self._sighting_by_shard[shard] = seen
        patience = (
            self._stagger(shard)
            + self._handicap_seconds
            + LOAD_SECONDS * len(self.keeper_by_shard)
        )
        if state.holder and state.holder != self._node:
            patience += SILENCE_SECONDS
        if now - seen.since < patience:
            return
        # The feed may lag; a claim needs the rows as they are.
        read = shard_ledger.read_state(self._store, shard)
        if isinstance(read, result.Success) and read.unwrap() == state:
            self._claim(shard, state, now - seen.since)
        else:
            self._version = None

    def _stagger(self, shard: str) -> float:
        digest = xxhash.xxh32_intdigest(f"{self._node}/{shard}".encode())
        return STAGGER_SECONDS * digest / 2**32

    def _claim(
        self, shard: str, state: shard_ledger.ShardState, silent_seconds: float
    ) -> None:
        ledger = shard_ledger.ShardLedger(
            self._store, shard, self._node, self._stopping
        )
        if not ledger.claim(state):
            return
        events.log(
            events.Event.SHARD_ACQUIRED,
            "This node keeps the shard",
            shard=shard,
            epoch=ledger.epoch,
            former=state.holder,
            silent_seconds=round(silent_seconds, 3),
        )
        keeper = self._make_keeper(ledger)
        if keeper.open():
            self.keeper_by_shard[shard] = keeper
        else:
            ledger.release()
