"""Assigns shards to nodes; they coordinate only by conditional writes.

Entry hosts use `machines.shard_balancer` and `machines.shard_lease` instead.
"""

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
from wisteriasill.contracts import overload_policy
from wisteriasill.contracts import shard_choice
from wisteriasill.links import cluster
from wisteriasill.zones import shard_writer

POLL_SECONDS = 0.4
# A busy store refuses about every second call; a call is tried this many times.
READ_ATTEMPTS = 3
RETRY_SECONDS = 0.05
# Longest gap between two reads of the store, two iterations, across which a
# shard counts as unchanged. No holder can renew its shard during an outage of
# the store, so a longer gap is no evidence that a holder is dead.
MAX_READ_GAP_SECONDS = 1.0
# Partition of the shards table that has a row for each node.
NODES_PARTITION = ":nodes"
# Row of a shard by which a stronger node requests its release, as an offer to
# take it over. Its value is the fencing token of the current holder.
OFFER = "offer"
WRITE_TIMEOUT_SECONDS = 1.0  # A transaction of a slow store takes 0.4 s.


class ClaimedShardController(Protocol):
    """Controls a shard that this node has claimed, in its own threads."""

    lost: bool

    def open(self) -> bool:
        """Starts the threads; False if the shard's rows can't be read."""

    def close(self, release: bool) -> None:
        """Ends the threads and optionally releases the shard."""


class NodeEntry(NamedTuple):
    """A node's row for the other nodes.

    Attributes:
        strength: Relative speed; 1 for a node that can control any pool.
        address: `IP:port` at which it accepts jobs for the store.
    """

    strength: float
    address: str = ""


def decode_entry(value: bytes) -> NodeEntry:
    """Decodes a node's row; one that can't be read names a weak node.

    A later release may add fields, and a node of this one must go on with its
    own shards beside it.
    """
    try:
        strength, *rest = cbor2.loads(value)
        return NodeEntry(float(strength), str(rest[0]) if rest else "")
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return NodeEntry(0.0)


class ShardObservation(NamedTuple):
    """A shard's state as a node has observed it.

    Attributes:
        unchanged_since: Monotonic time since when the state has been
            unchanged.
        held_since: Monotonic time since when the holder has been the same.
    """

    state: shard_writer.ShardState
    unchanged_since: float
    held_since: float


class ShardClaims:
    """Takes over shards that have no live holder.

    Args:
        store: The platform's store.
        node: Name of this node.
        make_controller: Builds the controller of a claimed shard.
        own_entry: Entry of this node, published to the other nodes.
        limits: Limits of the store.
        accepts_work: Whether a node may ever have stored work for a shard.

    Attributes:
        last_read_at: Monotonic time of the last response to a read.
        read_seconds: Duration of the last read.
    """

    def __init__(
        self,
        store: cluster.RowStore,
        node: str,
        make_controller: Callable[
            [shard_writer.ShardWriter], ClaimedShardController
        ],
        own_entry: NodeEntry,
        limits: cluster.StoreLimits = cluster.DOCUMENTED_LIMITS,
        accepts_work: Callable[[str], bool] = lambda shard: False,
    ) -> None:
        self._store = store
        self._accepts_work = accepts_work
        self._limits = limits
        self._node = node
        self._make_controller = make_controller
        self._own_entry = own_entry
        self._observation_by_shard: dict[str, ShardObservation] = {}
        self._row_by_key: dict[tuple[str, str], cluster.StoredRow] = {}
        self._entry_by_node: dict[str, NodeEntry] = {}
        self._heartbeat_at_by_shard: dict[str, float] = {}
        self._version: int | None = None
        # Shards whose rows have been read; changes of all are watched.
        self._read_shards: frozenset[str] = frozenset()
        self.last_read_at = 0.0
        self.read_seconds = 0.0
        self.controller_by_shard: dict[str, ClaimedShardController] = {}
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Releases all shards."""
        self._stopping.set()
        for controller in [*self.controller_by_shard.values()]:
            controller.close(release=True)
        self.controller_by_shard.clear()

    def run_once(
        self, shards: Collection[str], former_shards: Collection[str] = ()
    ) -> None:
        """Checks each shard once and claims those without a live holder.

        Args:
            shards: Shards that the configuration requires.
            former_shards: Shards that it may have required before; claimed if
                they may have stored work.
        """
        for shard, controller in [*self.controller_by_shard.items()]:
            if controller.lost:
                controller.close(release=False)
                del self.controller_by_shard[shard]
                self._observation_by_shard.pop(shard, None)
        now = time.monotonic()
        if not self._refresh(frozenset(shards)):
            if now - self.last_read_at > MAX_READ_GAP_SECONDS:
                self._observation_by_shard.clear()
            return
        self.last_read_at = time.monotonic()
        self.read_seconds = self.last_read_at - now
        for shard in [*self.controller_by_shard]:
            self._release_if_requested(shard)
        self._read_partitions(frozenset(former_shards) - self._read_shards)
        for shard in (*shards, *filter(self._may_have_work, former_shards)):
            if (
                shard in self._read_shards
                and shard not in self.controller_by_shard
                and not self._stopping.is_set()
            ):
                self._check_shard(shard)

    def _may_have_work(self, shard: str) -> bool:
        """Whether a shard ever had a holder, or may have been without one.

        Work may be stored for a shard before its first holder claims it.
        """
        return (shard, shard_writer.OWNER) in self._row_by_key or (
            self._accepts_work(shard)
        )

    def _refresh(self, shards: frozenset[str]) -> bool:
        """Reads the rows that have changed.

        Returns:
            Whether the store responded.
        """
        if self._version is None or not self._row_by_key:
            return self._read_all(shards)
        # The watch shows only what changes after the first read. Shards that
        # can't be read now don't hold up the others.
        self._read_partitions(shards - self._read_shards)
        version = self._version
        page = _read_with_retries(
            functools.partial(
                self._store.watch, shard_writer.TABLE, version, 0.0
            )
        )
        if not isinstance(page, result.Success):
            if page.failure().kind is cluster.StoreFaultKind.HISTORY_LOST:
                self._version = None
            return False
        self._store_rows(page.unwrap().rows)
        self._version = max(version, page.unwrap().version)
        return True

    def _read_all(self, shards: frozenset[str]) -> bool:
        self._read_shards = frozenset()
        versions = self._read_partitions(frozenset([NODES_PARTITION, *shards]))
        if versions is None:
            return False
        self._version = min(versions)
        return self._register()

    def _read_partitions(
        self, partition_keys: frozenset[str]
    ) -> list[int] | None:
        """Reads all rows of partitions.

        Returns:
            The store version of each read; None if one can't be read.
        """
        versions: list[int] = []
        for partition_key in sorted(partition_keys):
            page = _read_with_retries(
                functools.partial(
                    self._store.read, shard_writer.TABLE, partition_key
                )
            )
            if not isinstance(page, result.Success):
                return None
            self._store_rows(page.unwrap().rows)
            self._read_shards |= {partition_key}
            versions.append(page.unwrap().version)
        return versions

    def _register(self) -> bool:
        """Stores this node's entry, unless it is stored already."""
        own = self._row_by_key.get((NODES_PARTITION, self._node))
        value = cbor2.dumps([*self._own_entry])
        if own is not None and own.value == value:
            return True
        written = self._store.transact(
            NODES_PARTITION,
            [
                cluster.RowVersion(
                    shard_writer.TABLE, self._node, own.version if own else 0
                )
            ],
            [cluster.RowWrite(shard_writer.TABLE, self._node, value)],
            WRITE_TIMEOUT_SECONDS,
        )
        return isinstance(written, result.Success)

    def _store_rows(self, rows: Iterable[cluster.StoredRow]) -> None:
        now = time.monotonic()
        for row in rows:
            self._row_by_key[row.partition_key, row.key] = row
            if row.key == shard_writer.HEARTBEAT:
                self._heartbeat_at_by_shard[row.partition_key] = now
            if row.partition_key == NODES_PARTITION and row.value is not None:
                self._entry_by_node[row.key] = decode_entry(row.value)

    def entries(self) -> dict[str, NodeEntry]:
        """Returns the entries of all nodes, by name."""
        return dict(self._entry_by_node)

    def states(self) -> dict[str, shard_writer.ShardState]:
        """Returns each shard's state as its rows were last read."""
        shards = {partition_key for partition_key, _ in [*self._row_by_key]} - {
            NODES_PARTITION
        }
        return {shard: self._state(shard) for shard in sorted(shards)}

    def backlog(self, shard: str) -> overload_policy.ObservedBacklog | None:
        """Returns the backlog of a pool as its holder last published it."""
        read_at = self._heartbeat_at_by_shard.get(shard)
        status = self._state(shard).status
        published = overload_policy.decode(
            status.get(shard_writer.BACKLOG_FIELD)
        )
        if read_at is None or published is None:
            return None
        return overload_policy.ObservedBacklog(
            published, time.monotonic() - read_at
        )

    def _state(self, shard: str) -> shard_writer.ShardState:
        rows = (
            self._row_by_key.get((shard, key))
            for key in (shard_writer.OWNER, shard_writer.HEARTBEAT)
        )
        return shard_writer.state_of([row for row in rows if row])

    def _check_shard(self, shard: str) -> None:
        state, now = self._state(shard), time.monotonic()
        observation = self._observation_by_shard.get(shard)
        if observation is None or observation.state != state:
            same_holder = (
                observation is not None
                and observation.state.epoch == state.epoch
            )
            held_since = (
                observation.held_since if observation and same_holder else now
            )
            observation = ShardObservation(state, now, held_since)
            self._observation_by_shard[shard] = observation
        claimant = self._claimant(shard)
        holding = self._holding(state)
        if (
            now - observation.unchanged_since
            >= shard_choice.claim_delay_seconds(claimant, holding)
        ):
            self._claim_if_unchanged(
                shard, state, now - observation.unchanged_since
            )
        elif (
            holding is shard_choice.Holding.BY_ANOTHER
            and shard_choice.should_take_over(
                claimant,
                self._strength_of(state.holder),
                now - observation.held_since,
            )
        ):
            self._request_release(shard, state)

    def _holding(self, state: shard_writer.ShardState) -> shard_choice.Holding:
        if not state.holder:
            return shard_choice.Holding.RELEASED
        if state.holder == self._node:
            return shard_choice.Holding.BY_OWN_PREVIOUS_INCARNATION
        return shard_choice.Holding.BY_ANOTHER

    def _claim_if_unchanged(
        self, shard: str, state: shard_writer.ShardState, silent_seconds: float
    ) -> None:
        # The watch may lag, so the rows are read again before a claim.
        read = shard_writer.read_state(self._store, shard)
        if isinstance(read, result.Success) and read.unwrap() == state:
            self._claim(shard, state, silent_seconds)
        else:
            self._version = None

    def _claimant(self, shard: str) -> shard_choice.Claimant:
        strengths = [entry.strength for entry in self._entry_by_node.values()]
        return shard_choice.Claimant(
            self._own_entry.strength,
            shard_choice.strongest([*strengths, self._own_entry.strength]),
            len(self.controller_by_shard),
            self._jitter(shard),
        )

    def _strength_of(self, node: str) -> float:
        """Returns a node's strength, this node's own if it is unknown."""
        return self._entry_by_node.get(node, self._own_entry).strength

    def _request_release(
        self, shard: str, state: shard_writer.ShardState
    ) -> None:
        """Requests the release of a shard, once from each holder."""
        value = str(state.epoch).encode()
        row = self._row_by_key.get((shard, OFFER))
        if row is not None and row.value == value:
            return
        self._store.transact(
            shard,
            [
                cluster.RowVersion(
                    shard_writer.TABLE, shard_writer.OWNER, state.epoch
                ),
                cluster.RowVersion(
                    shard_writer.TABLE, OFFER, row.version if row else 0
                ),
            ],
            [cluster.RowWrite(shard_writer.TABLE, OFFER, value)],
            WRITE_TIMEOUT_SECONDS,
        )

    def _release_if_requested(self, shard: str) -> None:
        """Releases a shard if a stronger node has requested its release."""
        owner = self._row_by_key.get((shard, shard_writer.OWNER))
        offer = self._row_by_key.get((shard, OFFER))
        if (
            owner is None
            or offer is None
            or owner.value != self._node.encode()
            or offer.value != str(owner.version).encode()
        ):
            return
        events.log(
            events.Event.SHARD_HANDED_ON,
            "Shard released for a stronger node",
            shard=shard,
            epoch=owner.version,
            strength=self._own_entry.strength,
        )
        self.controller_by_shard.pop(shard).close(release=True)

    def _jitter(self, shard: str) -> float:
        """Returns this node's constant jitter for a shard, from 0 to 1."""
        digest = xxhash.xxh32_intdigest(f"{self._node}/{shard}".encode())
        return digest / 2**32

    def _claim(
        self, shard: str, state: shard_writer.ShardState, silent_seconds: float
    ) -> None:
        writer = shard_writer.ShardWriter(
            self._store, shard, self._node, self._stopping, self._limits
        )
        if not writer.claim(state):
            return
        events.log(
            events.Event.SHARD_ACQUIRED,
            "Shard acquired",
            shard=shard,
            epoch=writer.epoch,
            former=state.holder,
            silent_seconds=round(silent_seconds, 3),
        )
        controller = self._make_controller(writer)
        if controller.open():
            self.controller_by_shard[shard] = controller
        else:
            writer.release()


def _read_with_retries(
    call: Callable[[], result.Result[cluster.RowPage, cluster.StoreFault]],
) -> result.Result[cluster.RowPage, cluster.StoreFault]:
    """Retries a call while a reachable store refuses it."""
    for _ in range(READ_ATTEMPTS - 1):
        page = call()
        if isinstance(page, result.Success) or (
            page.failure().kind is not cluster.StoreFaultKind.UNAVAILABLE
        ):
            return page
        time.sleep(RETRY_SECONDS)
    return call()
