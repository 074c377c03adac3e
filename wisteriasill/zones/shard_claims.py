"""Which node keeps which shard, agreed on through the store alone."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
import functools
import threading
import time
from typing import NamedTuple, Protocol

import cbor2
from returns import result
import xxhash

from wisteriasill import events
from wisteriasill.contracts import shard_choice
from wisteriasill.links import cluster
from wisteriasill.zones import shard_ledger

POLL_SECONDS = 0.4
# A busy store refuses about every second call; each is made this often.
READ_ATTEMPTS = 3
RETRY_SECONDS = 0.05
# Longest time between two looks at the store for which a shard is still known
# to have stood still: two turns. A store that is away silences all holders.
BLIND_SECONDS = 1.0
# Part of the shards' table with a row for each node.
NODES_PART = ":nodes"
# Row of a shard by which a stronger node asks its holder to hand it on; the
# value is the fencing number of the holder that it means.
OFFER = "offer"
OFFER_TIMEOUT_SECONDS = 1.0  # A slow store takes 0.4 s a transaction.


class Keeper(Protocol):
    """The tasks of a shard that this node holds."""

    lost: bool

    def open(self) -> bool:
        """Starts the tasks; False if the shard's rows can't be read."""

    def close(self, release: bool) -> None:
        """Ends the tasks and optionally gives the shard up."""


class NodeEntry(NamedTuple):
    """What a node tells the others of itself.

    Attributes:
        strength: Its speed, 1 for one that keeps any pool with ease.
        address: `IP:port` where it takes jobs for the store.
    """

    strength: float
    address: str = ""


class Sighting(NamedTuple):
    """What a node saw of a shard.

    Attributes:
        since: Steady time since when the state has stood still.
        held_since: Steady time since when the holder has been the same.
    """

    state: shard_ledger.ShardState
    since: float
    held_since: float


class ShardClaims:
    """Takes shards over that have no live holder.

    Args:
        store: The platform's store.
        node: Name of this node.
        make_keeper: Builds the tasks for a claimed shard.
        own: What this node tells the others of itself.
    """

    def __init__(
        self,
        store: cluster.RowStore,
        node: str,
        make_keeper: Callable[[shard_ledger.ShardLedger], Keeper],
        own: NodeEntry,
    ) -> None:
        self._store = store
        self._node = node
        self._make_keeper = make_keeper
        self._own = own
        self._sighting_by_shard: dict[str, Sighting] = {}
        self._row_by_name: dict[tuple[str, str], cluster.StoredRow] = {}
        self._entry_by_node: dict[str, NodeEntry] = {}
        self._version: int | None = None
        self._seen_at = 0.0
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
        now = time.monotonic()
        if not self._refresh(shards):
            if now - self._seen_at > BLIND_SECONDS:
                self._sighting_by_shard.clear()
            return
        self._seen_at = now
        for shard in [*self.keeper_by_shard]:
            self._hand_on_if_asked(shard)
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
        version = self._version
        page = _repeated(
            functools.partial(
                self._store.follow, shard_ledger.TABLE, version, 0.0
            )
        )
        if not isinstance(page, result.Success):
            if page.failure().kind is cluster.StoreFaultKind.HISTORY_LOST:
                self._version = None
            return False
        self._note(page.unwrap().rows)
        self._version = max(version, page.unwrap().version)
        return True

    def _read_all(self, shards: Collection[str]) -> bool:
        versions: list[int] = []
        for part in (NODES_PART, *shards):
            page = _repeated(
                functools.partial(self._store.read, shard_ledger.TABLE, part)
            )
            if not isinstance(page, result.Success):
                return False
            self._note(page.unwrap().rows)
            versions.append(page.unwrap().version)
        self._version = min(versions, default=None)
        return self._register()

    def _register(self) -> bool:
        """Stores this node's entry, unless it is stored already."""
        own = self._row_by_name.get((NODES_PART, self._node))
        value = cbor2.dumps([*self._own])
        if own is not None and own.value == value:
            return True
        written = self._store.transact(
            NODES_PART,
            [
                cluster.RowVersion(
                    shard_ledger.TABLE, self._node, own.version if own else 0
                )
            ],
            [cluster.RowWrite(shard_ledger.TABLE, self._node, value)],
            OFFER_TIMEOUT_SECONDS,
        )
        return isinstance(written, result.Success)

    def _note(self, rows: Iterable[cluster.StoredRow]) -> None:
        for row in rows:
            self._row_by_name[row.part, row.key] = row
            if row.part == NODES_PART and row.value is not None:
                self._entry_by_node[row.key] = NodeEntry(
                    *cbor2.loads(row.value)
                )

    def entries(self) -> dict[str, NodeEntry]:
        """Returns what all nodes told of themselves, by name."""
        return dict(self._entry_by_node)

    def states(self) -> dict[str, shard_ledger.ShardState]:
        """Returns each shard's state as its rows were last read."""
        shards = {part for part, _ in [*self._row_by_name]} - {NODES_PART}
        return {shard: self._state(shard) for shard in sorted(shards)}

    def _state(self, shard: str) -> shard_ledger.ShardState:
        rows = (
            self._row_by_name.get((shard, key))
            for key in (shard_ledger.OWNER, shard_ledger.BEAT)
        )
        return shard_ledger.state_of([row for row in rows if row])

    def _look(self, shard: str) -> None:
        state, now = self._state(shard), time.monotonic()
        seen = self._sighting_by_shard.get(shard)
        if seen is None or seen.state != state:
            same_holder = seen is not None and seen.state.epoch == state.epoch
            held_since = seen.held_since if seen and same_holder else now
            seen = Sighting(state, now, held_since)
            self._sighting_by_shard[shard] = seen
        bidder = self._bidder(shard)
        holding = self._holding(state)
        if now - seen.since >= shard_choice.patience_seconds(bidder, holding):
            self._claim_if_unchanged(shard, state, now - seen.since)
        elif (
            holding is shard_choice.Holding.BY_ANOTHER
            and shard_choice.relieves(
                bidder, self._strength_of(state.holder), now - seen.held_since
            )
        ):
            self._offer(shard, state)

    def _holding(self, state: shard_ledger.ShardState) -> shard_choice.Holding:
        if not state.holder:
            return shard_choice.Holding.RELEASED
        if state.holder == self._node:
            return shard_choice.Holding.BY_OWN_FORMER_LIFE
        return shard_choice.Holding.BY_ANOTHER

    def _claim_if_unchanged(
        self, shard: str, state: shard_ledger.ShardState, silent_seconds: float
    ) -> None:
        # The feed may lag; a claim needs the rows as they are.
        read = shard_ledger.read_state(self._store, shard)
        if isinstance(read, result.Success) and read.unwrap() == state:
            self._claim(shard, state, silent_seconds)
        else:
            self._version = None

    def _bidder(self, shard: str) -> shard_choice.Bidder:
        strengths = [one.strength for one in self._entry_by_node.values()]
        return shard_choice.Bidder(
            self._own.strength,
            shard_choice.strongest([*strengths, self._own.strength]),
            len(self.keeper_by_shard),
            self._stagger(shard),
        )

    def _strength_of(self, node: str) -> float:
        """Returns a node's strength, this node's own if it is unknown."""
        return self._entry_by_node.get(node, self._own).strength

    def _offer(self, shard: str, state: shard_ledger.ShardState) -> None:
        """Asks the holder of a shard to hand it on, once for each holder."""
        value = str(state.epoch).encode()
        row = self._row_by_name.get((shard, OFFER))
        if row is not None and row.value == value:
            return
        self._store.transact(
            shard,
            [
                cluster.RowVersion(
                    shard_ledger.TABLE, shard_ledger.OWNER, state.epoch
                ),
                cluster.RowVersion(
                    shard_ledger.TABLE, OFFER, row.version if row else 0
                ),
            ],
            [cluster.RowWrite(shard_ledger.TABLE, OFFER, value)],
            OFFER_TIMEOUT_SECONDS,
        )

    def _hand_on_if_asked(self, shard: str) -> None:
        """Gives a shard up for which a stronger node has offered itself."""
        owner = self._row_by_name.get((shard, shard_ledger.OWNER))
        offer = self._row_by_name.get((shard, OFFER))
        if (
            owner is None
            or offer is None
            or owner.value != self._node.encode()
            or offer.value != str(owner.version).encode()
        ):
            return
        events.log(
            events.Event.SHARD_HANDED_ON,
            "A stronger node offered to keep the shard; it is given up",
            shard=shard,
            epoch=owner.version,
            strength=self._own.strength,
        )
        self.keeper_by_shard.pop(shard).close(release=True)

    def _stagger(self, shard: str) -> float:
        """Returns this node's share of the stagger, the same at each look."""
        digest = xxhash.xxh32_intdigest(f"{self._node}/{shard}".encode())
        return digest / 2**32

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


def _repeated(
    call: Callable[[], result.Result[cluster.RowPage, cluster.StoreFault]],
) -> result.Result[cluster.RowPage, cluster.StoreFault]:
    """Makes a call again while a store that can be reached refuses it."""
    for _ in range(READ_ATTEMPTS - 1):
        page = call()
        if isinstance(page, result.Success) or (
            page.failure().kind is not cluster.StoreFaultKind.UNAVAILABLE
        ):
            return page
        time.sleep(RETRY_SECONDS)
    return call()
