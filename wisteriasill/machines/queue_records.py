"""Stored definitions of all queues, also of those removed since.

An accepted job outlives its queue, and a node that starts after the removal has
to find it. A row holds the newest definition of a queue.

A node accepts jobs of a queue only once a read has shown it the queue's row. So
of two nodes that send an address to different services, at least one knows the
other's, also if it never applied the configuration.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import threading
import time
from typing import Any, NamedTuple

import cbor2
from returns import result
import xxhash

from wisteriasill import events
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_tables
from wisteriasill.zones import shard_writer

TABLE = "queues"
PARTITION = ":queues"
# All nodes store the queues of a new configuration; all but one have conflicts.
STORE_ATTEMPTS = 5


class KnownQueue(NamedTuple):
    """A definition of a queue.

    Attributes:
        queue: The queue, without its timeout, which binds no job.
        configuration: Version of the configuration that defined it so.
    """

    queue: queues.Queue
    configuration: int

    def replaces(self, other: KnownQueue | None) -> bool:
        """Whether this definition is newer than another one and differs."""
        return other is None or (
            self.configuration > other.configuration
            and self.queue != other.queue
        )


def _key(queue: queues.Queue) -> str:
    """Returns the key of a queue's row, short for names of any length."""
    identity = [queue.name, queue.host, queue.prefix, queue.service]
    return xxhash.xxh3_128_hexdigest(cbor2.dumps(identity))


def encode(known: KnownQueue) -> bytes:
    """Encodes a queue as the value of its row."""
    queue = known.queue
    return cbor2.dumps(
        [
            known.configuration,
            queue.name,
            queue.host,
            queue.prefix,
            queue.service,
            queue.priority,
            queue.max_attempts,
            queue.stretch,
            queue.target_latency_seconds,
            [*queue.advice] if queue.advice else None,
        ]
    )


def decode(value: bytes) -> KnownQueue:
    """Decodes the value of a queue's row; a later release may append fields.

    Raises:
        ValueError: The value is no queue.
    """
    try:
        data: list[Any] = cbor2.loads(value)
        configuration, name, host, prefix, service = data[:5]
        priority, max_attempts, stretch, latency_seconds, advice = data[5:10]
        return KnownQueue(
            queues.Queue(
                str(name),
                str(host),
                str(prefix),
                str(service),
                int(priority),
                int(max_attempts),
                float(stretch),
                float(latency_seconds),
                0.0,
                queues.AdviceRule(*advice) if advice else None,
            ),
            int(configuration),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ValueError(f"unreadable queue record: {error!r}") from error


class QueueRecords:
    """The queues of all configurations that any node has applied.

    Args:
        store: The platform's store.
        loaded: Whether no queues can have been stored before.

    Attributes:
        loaded: Whether the stored queues have been read.
        read_version: Store version as of which all stored queues are known.
        changes: Number of reads that showed a queue that was new or differed.
        version: Newest configuration that was added; 0 before the first.
    """

    def __init__(self, store: cluster.RowStore, loaded: bool = False) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._refresh_lock = threading.Lock()
        self._refresh_began_at = 0.0
        # Both are replaced as a whole, so that readers need no lock.
        self._known_by_key: Mapping[str, KnownQueue] = {}
        self._queues_by_address: Mapping[
            tuple[str, str], tuple[queues.Queue, ...]
        ] = {}
        self._oldest_version_by_key: dict[str, int] = {}
        self._row_by_key: dict[str, cluster.StoredRow] = {}
        # Store version as of which a service is known to have an address.
        self._stored_at_by_route: dict[tuple[str, str, str], int] = {}
        self._unreadable_keys: set[str] = set()
        self.loaded = loaded
        self.read_version = 0
        self.changes = 0
        self.version = 0
        # Newest added configuration that sends an address to a service.
        self._version_by_route: dict[tuple[str, str, str], int] = {}

    def add(self, configuration: queues.SiteConfiguration) -> None:
        """Takes in the queues of a configuration; `store` stores them."""
        for queue in configuration.queue_by_name.values():
            route = _route(queue)
            self._version_by_route[route] = max(
                self._version_by_route.get(route, 0), configuration.version
            )
        self.version = max(self.version, configuration.version)
        self._merge(
            {
                _key(queue): KnownQueue(
                    queue._replace(timeout_seconds=0.0), configuration.version
                )
                for queue in configuration.queue_by_name.values()
            }
        )

    def store(self) -> bool:
        """Reads the stored queues and stores those that are new or differ.

        Returns:
            Whether all known queues are stored, and a read has shown them.
        """
        for _ in range(STORE_ATTEMPTS):
            if not self.refresh():
                return False
            changed = self._rows_to_write()
            if not changed:
                return True
            size = shard_writer.WRITES_PER_TRANSACTION
            for first in range(0, len(changed), size):
                fault = self._write(changed[first : first + size])
                # After a conflict the next read shows what another node wrote.
                if fault and fault.kind is not cluster.StoreFaultKind.CONFLICT:
                    return False
        return False

    def refresh(self, retry_seconds: float | None = None) -> bool:
        """Reads all stored queues; threads that wait for a read share it.

        Args:
            retry_seconds: Time for which refused reads are retried; None for
                that of other tables.

        Returns:
            Whether a read that began after the call succeeded.
        """
        asked_at = time.monotonic()
        with self._refresh_lock:
            if self._refresh_began_at > asked_at:
                return True
            began_at = time.monotonic()
            page = batch_tables.read_all(
                self._store, TABLE, PARTITION, retry_seconds
            )
            if page is None:
                return False
            self._refresh_began_at = began_at
        self._take_in(page)
        return True

    def follow(self, wait_seconds: float) -> bool:
        """Takes in what other nodes store, as soon as they do.

        Args:
            wait_seconds: Longest wait for a change.

        Returns:
            Whether the store responded.
        """
        if not self.read_version:
            return self.refresh()
        page = self._store.watch(TABLE, self.read_version, wait_seconds)
        if not isinstance(page, result.Success):
            return (
                page.failure().kind is cluster.StoreFaultKind.HISTORY_LOST
                and self.refresh()
            )
        self._take_in(page.unwrap())
        return True

    def covers(self, version: int) -> bool:
        """Whether all queues stored up to a store version are known."""
        return self.read_version >= version

    def is_stored(self, queue: queues.Queue) -> bool:
        """Whether a read has shown that the service has the address.

        Of a row that this release can't read only the key is known.
        """
        return (
            _route(queue) in self._stored_at_by_route
            or _key(queue) in self._unreadable_keys
        )

    def is_stored_before(self, queue: queues.Queue, service: str) -> bool:
        """Whether a queue was stored before another service got its address.

        Then each node that accepts jobs for the other service knows the queue.
        """
        stored_at = self._stored_at_by_route.get(_route(queue))
        other_at = self._stored_at_by_route.get(
            (queue.host, queue.prefix, service)
        )
        return stored_at is not None and (
            # One transaction may have stored both.
            other_at is None or stored_at <= other_at
        )

    def services(self) -> frozenset[str]:
        """Returns the services of all queues."""
        return frozenset(
            known.queue.service for known in self._known_by_key.values()
        )

    def of_service(self, service: str) -> dict[str, queues.Queue]:
        """Returns the newest definition of each queue of a service, by name."""
        return {
            known.queue.name: known.queue
            for known in _oldest_first(self._known_by_key.values())
            if known.queue.service == service
        }

    def at(self, host: str, prefix: str) -> tuple[queues.Queue, ...]:
        """Returns all queues that have had an address, the newest first."""
        return self._queues_by_address.get((host, prefix), ())

    def version_of(self, queue: queues.Queue) -> int:
        """Returns the newest configuration with a queue's address and service.

        Returns:
            The version; 0 if no such configuration was added.
        """
        return self._version_by_route.get(_route(queue), 0)

    def versions_of_others(self, queue: queues.Queue) -> dict[str, int]:
        """Returns the other services that have had the address of a queue.

        Returns:
            The oldest known configuration of each, by service.
        """
        version_by_service: dict[str, int] = {}
        for other in self.at(queue.host, queue.prefix):
            if other.service != queue.service:
                version = self._oldest_version_by_key[_key(other)]
                version_by_service[other.service] = min(
                    version, version_by_service.get(other.service, version)
                )
        return version_by_service

    def _take_in(self, page: cluster.RowPage) -> None:
        """Adds the queues of rows that were read."""
        stored_by_key = {
            row.key: stored
            for row in page.rows
            if row.value and (stored := self._decode_row(row))
        }
        known_by_key = self._known_by_key
        added = stored_by_key.keys() - known_by_key.keys()
        self.changes += any(
            stored.replaces(known_by_key.get(key))
            for key, stored in stored_by_key.items()
        )
        self._merge(stored_by_key)
        with self._lock:
            for row in page.rows:
                known_row = self._row_by_key.get(row.key)
                if known_row is None or known_row.version < row.version:
                    self._row_by_key[row.key] = row
                if stored := stored_by_key.get(row.key):
                    route = _route(stored.queue)
                    self._stored_at_by_route[route] = min(
                        row.version,
                        self._stored_at_by_route.get(route, row.version),
                    )
            self.read_version = max(self.read_version, page.version)
            is_first = not self.loaded
            self.loaded = True
        if added or is_first:
            events.log(
                events.Event.QUEUES_READ,
                "The stored queues were read",
                version=page.version,
                configuration=self.version,
                rows=len(page.rows),
                added=sorted(
                    " ".join(_route(stored_by_key[key].queue)) for key in added
                ),
            )

    def _rows_to_write(
        self,
    ) -> list[tuple[cluster.RowVersion, cluster.RowWrite]]:
        """Returns the rows of queues that are not stored as they are known."""
        with self._lock:
            stored_by_key = {
                key: stored
                for key, row in self._row_by_key.items()
                if row.value and (stored := self._decode_row(row))
            }
            return [
                (
                    cluster.RowVersion(
                        TABLE,
                        key,
                        row.version
                        if (row := self._row_by_key.get(key)) and row.value
                        else 0,
                    ),
                    cluster.RowWrite(TABLE, key, encode(known)),
                )
                for key, known in self._known_by_key.items()
                if key not in self._unreadable_keys
                and known.replaces(stored_by_key.get(key))
            ]

    def _merge(self, other_by_key: Mapping[str, KnownQueue]) -> None:
        with self._lock:
            for key, other in other_by_key.items():
                self._oldest_version_by_key[key] = min(
                    other.configuration,
                    self._oldest_version_by_key.get(key, other.configuration),
                )
            self._known_by_key = {
                **self._known_by_key,
                **{
                    key: other
                    for key, other in other_by_key.items()
                    if other.replaces(self._known_by_key.get(key))
                },
            }
            queues_by_address: dict[
                tuple[str, str], tuple[queues.Queue, ...]
            ] = {}
            for queue, _ in reversed(
                _oldest_first(self._known_by_key.values())
            ):
                address = queue.host, queue.prefix
                queues_by_address[address] = (
                    *queues_by_address.get(address, ()),
                    queue,
                )
            self._queues_by_address = queues_by_address

    def _decode_row(self, row: cluster.StoredRow) -> KnownQueue | None:
        try:
            return decode(row.value or b"")
        except ValueError as error:
            if row.key not in self._unreadable_keys:
                self._unreadable_keys.add(row.key)
                events.log(
                    events.Event.CONFIGURATION_INVALID,
                    "A stored queue can't be read; its row is left as it is",
                    level="ERROR",
                    key=row.key,
                    error=str(error),
                )
            return None

    def _write(
        self, rows: Iterable[tuple[cluster.RowVersion, cluster.RowWrite]]
    ) -> cluster.StoreFault | None:
        required, writes = zip(*rows, strict=True)
        written = self._store.transact(
            PARTITION,
            required,
            writes,
            shard_writer.TRANSACTION_TIMEOUT_SECONDS,
        )
        return (
            None if isinstance(written, result.Success) else written.failure()
        )


def _route(queue: queues.Queue) -> tuple[str, str, str]:
    """Returns the address of a queue and its service."""
    return queue.host, queue.prefix, queue.service


def _oldest_first(known: Iterable[KnownQueue]) -> list[KnownQueue]:
    return sorted(known, key=lambda each: each.configuration)
