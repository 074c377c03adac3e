"""Fixtures of the zones tests."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, cast

import pytest
from returns import result

from wisteriasill import errors
from wisteriasill import settings as settings_module
from wisteriasill.links import peer_messages
from wisteriasill.links import platform as platforms


class FakePlatform:
    """In-memory table and object store with fault injection."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], platforms.Row] = {}
        self.bodies: dict[str, bytes] = {}
        self.down = False
        self.lose_answers = 0
        self.hidden: frozenset[str] = frozenset()
        self.reads: list[str] = []
        self.scans: list[str] = []

    @property
    def table(self) -> platforms.Table:
        """The table."""
        return cast(platforms.Table, self)

    @property
    def objects(self) -> platforms.ObjectStore:
        """The object store."""
        return cast(platforms.ObjectStore, self)

    def as_platform(self) -> platforms.Platform:
        """This fake as a platform without the other services."""
        return cast(platforms.Platform, self)

    def read(self, table: str, key: str) -> Any:
        """Reads a row; hidden ones are missing, as in a stale read."""
        self.reads.append(key)
        if self.down:
            return _failure(errors.ErrorKind.STORE_UNAVAILABLE)
        return result.Success(
            None if key in self.hidden else self.rows.get((table, key))
        )

    def scan(self, table: str, prefix: str = "") -> Any:
        """Reads all rows of a table."""
        self.scans.append(table)
        if self.down:
            return _failure(errors.ErrorKind.STORE_UNAVAILABLE)
        return result.Success(
            tuple(
                row
                for (name, key), row in sorted(self.rows.items())
                if name == table
                and key.startswith(prefix)
                and key not in self.hidden
            )
        )

    def transact(
        self,
        conditions: Sequence[platforms.Condition],
        writes: Sequence[platforms.Write],
    ) -> Any:
        """Writes rows if all conditions hold; may lose the answer."""
        if self.down:
            return _failure(errors.ErrorKind.STORE_UNAVAILABLE)
        for condition in conditions:
            row = self.rows.get((condition.table, condition.key))
            if (row.version if row else 0) != condition.version:
                return _failure(errors.ErrorKind.CONFLICT)
        versions = tuple(self.put_row(*write) for write in writes)
        if self.lose_answers:
            self.lose_answers -= 1
            return _failure(errors.ErrorKind.STORE_OUTCOME_UNKNOWN)
        return result.Success(versions)

    def put_row(
        self, table: str, key: str, value: Mapping[str, Any] | None
    ) -> int:
        """Writes a row without a condition."""
        if value is None:
            self.rows.pop((table, key), None)
            return 0
        row = self.rows.get((table, key))
        version = row.version + 1 if row else 1
        self.rows[table, key] = platforms.Row(table, key, version, value)
        return version

    def get(self, key: str) -> Any:
        """Reads an object."""
        self.reads.append(key)
        if self.down:
            return _failure(errors.ErrorKind.STORE_UNAVAILABLE)
        return result.Success(self.bodies.get(key))


class FakeMesh:
    """Records sent messages; `deliver` simulates messages of peers."""

    def __init__(self) -> None:
        self.broadcasts: list[Any] = []
        self.sent: list[tuple[str, Any]] = []
        self.connected: frozenset[str] = frozenset()
        self._handlers: dict[str, list[peer_messages.Handler]] = {}

    def broadcast(self, message: peer_messages.Message) -> None:
        """Records a broadcast."""
        self.broadcasts.append(message)

    def send(self, member_id: str, message: peer_messages.Message) -> bool:
        """Records a message to one peer."""
        self.sent.append((member_id, message))
        return member_id in self.connected

    def on_message(
        self, message_type: str, handler: peer_messages.Handler
    ) -> None:
        """Registers a handler."""
        self._handlers.setdefault(message_type, []).append(handler)

    def on_members_changed(self, handler: Callable[[], None]) -> None:
        """Ignores the handler, because tests run the iterations."""

    def connected_peers(self) -> frozenset[str]:
        """Returns `connected`."""
        return self.connected

    def deliver(self, peer_id: str, message: Any) -> None:
        """Simulates a message of a peer."""
        for handler in self._handlers.get(message["type"], []):
            handler(peer_id, message)


def _failure(kind: errors.ErrorKind) -> Any:
    return result.Failure(errors.failure(kind, "fault of the fake"))


@pytest.fixture
def platform() -> FakePlatform:
    """A platform in memory."""
    return FakePlatform()


@pytest.fixture
def mesh() -> FakeMesh:
    """A mesh without peers."""
    return FakeMesh()


@pytest.fixture
def settings() -> settings_module.EntrySettings:
    """Settings of the member under test."""
    return settings_module.EntrySettings(
        member_id="a",
        availability_zone="z1",
        platform_url="http://127.0.0.1:1",
        region="r1",
    )
