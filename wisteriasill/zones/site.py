"""View of the site that one entry host keeps in memory."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
import itertools
import operator
import threading
import types
from typing import NamedTuple

from wisteriasill import clock as clocks
from wisteriasill.contracts import configuration as configurations
from wisteriasill.machines import host as hosts
from wisteriasill.machines import member as members


class KnownHost(NamedTuple):
    """A host row and its version.

    Attributes:
        host: The row's value.
        version: The row's version; higher versions replace lower ones.
    """

    host: hosts.Host
    version: int


class SiteSnapshot(NamedTuple):
    """An immutable view of the site; readers use one snapshot throughout.

    Attributes:
        configuration: The configuration in force.
        hosts_by_id: All known hosts.
        hosts_by_pool: The same by pool, ordered by id.
        members_by_id: Members considered live, including this one.
    """

    configuration: configurations.Configuration
    hosts_by_id: Mapping[str, KnownHost]
    hosts_by_pool: Mapping[str, tuple[hosts.Host, ...]]
    members_by_id: Mapping[str, members.Member]


EMPTY_SNAPSHOT = SiteSnapshot(
    configurations.NO_CONFIGURATION,
    types.MappingProxyType({}),
    types.MappingProxyType({}),
    types.MappingProxyType({}),
)


def _group_by_pool(
    before: SiteSnapshot,
    by_id: Mapping[str, KnownHost],
    changed_ids: Collection[str],
) -> Mapping[str, tuple[hosts.Host, ...]]:
    """Groups hosts by pool, rebuilding only the groups that changed.

    A change affects one or two pools of about 200 hosts; a large site has
    4,100 hosts.
    """
    pools = {
        known.host.pool
        for host_id in changed_ids
        for known in (before.hosts_by_id.get(host_id), by_id.get(host_id))
        if known is not None
    }
    groups = dict(before.hosts_by_pool)
    for pool in pools:
        kept = (
            host
            for host in groups.get(pool, ())
            if host.host_id not in changed_ids
        )
        added = (
            by_id[host_id].host
            for host_id in changed_ids
            if host_id in by_id and by_id[host_id].host.pool == pool
        )
        groups[pool] = tuple(
            sorted(
                itertools.chain(kept, added),
                key=operator.attrgetter("host_id"),
            )
        )
    return types.MappingProxyType(
        {pool: groups[pool] for pool in sorted(groups) if groups[pool]}
    )


class Site:
    """The site as its entry host knows it; thread safe.

    Each update creates a new snapshot and calls the listeners. Row versions
    and generations never decrease.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._snapshot = EMPTY_SNAPSHOT
        self._listeners: list[Callable[[SiteSnapshot], None]] = []
        self._confirmed_at_by_topic: dict[str, float] = {}

    @property
    def snapshot(self) -> SiteSnapshot:
        """The current snapshot."""
        return self._snapshot

    def add_listener(self, listener: Callable[[SiteSnapshot], None]) -> None:
        """Registers a function to call with each new snapshot.

        Args:
            listener: Must not block.
        """
        self._listeners.append(listener)

    def confirm(self, topic: str) -> None:
        """Records that the platform's store has just confirmed a topic.

        Args:
            topic: `hosts`, `members` or `configuration`.
        """
        self._confirmed_at_by_topic[topic] = self._clock.monotonic()

    def age_seconds(self, topic: str) -> float | None:
        """Returns the time since a topic was confirmed; None if never."""
        confirmed_at = self._confirmed_at_by_topic.get(topic)
        if confirmed_at is None:
            return None
        return self._clock.monotonic() - confirmed_at

    def update_hosts(self, known: Iterable[KnownHost]) -> bool:
        """Applies host rows that are newer than the known ones.

        Args:
            known: Rows and their versions.

        Returns:
            Whether anything changed.
        """
        with self._lock:
            current = self._snapshot.hosts_by_id
            newer = {
                row.host.host_id: row
                for row in known
                if row.host.host_id not in current
                or current[row.host.host_id].version < row.version
            }
            if not newer:
                return False
            self._replace_hosts({**current, **newer}, newer.keys())
        self._notify()
        return True

    def mark_departing(
        self, host_id: str, state: hosts.HostState, version: int
    ) -> bool:
        """Applies a departure before the poll of the table reads the row.

        Args:
            host_id: The host.
            state: Its new state.
            version: Version of its row in that state.

        Returns:
            Whether the host was known with a lower version.
        """
        known = self._snapshot.hosts_by_id.get(host_id)
        if known is None:
            return False
        return self.update_hosts(
            [KnownHost(known.host._replace(state=state), version)]
        )

    def remove_hosts(self, host_ids: Iterable[str]) -> None:
        """Removes hosts whose rows were deleted."""
        with self._lock:
            removed_ids = set(host_ids)
            self._replace_hosts(
                {
                    host_id: known
                    for host_id, known in self._snapshot.hosts_by_id.items()
                    if host_id not in removed_ids
                },
                removed_ids,
            )
        self._notify()

    def set_members(self, live: Iterable[members.Member]) -> None:
        """Replaces the members that are considered live."""
        with self._lock:
            by_id = {member.member_id: member for member in live}
            if by_id == self._snapshot.members_by_id:
                return
            self._snapshot = self._snapshot._replace(
                members_by_id=types.MappingProxyType(by_id)
            )
        self._notify()

    def adopt_configuration(
        self, configuration: configurations.Configuration
    ) -> bool:
        """Puts a configuration in force if its generation is higher.

        Args:
            configuration: The candidate.

        Returns:
            Whether it was put in force.
        """
        with self._lock:
            in_force = self._snapshot.configuration.generation
            if configuration.generation <= in_force:
                return False
            self._snapshot = self._snapshot._replace(
                configuration=configuration
            )
        self._notify()
        return True

    def _replace_hosts(
        self, by_id: dict[str, KnownHost], changed_ids: Collection[str]
    ) -> None:
        self._snapshot = self._snapshot._replace(
            hosts_by_id=types.MappingProxyType(by_id),
            hosts_by_pool=_group_by_pool(self._snapshot, by_id, changed_ids),
        )

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener(self._snapshot)
