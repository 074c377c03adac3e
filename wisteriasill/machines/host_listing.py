"""Cache of the platform's host list, shared by all shards of a process."""

from __future__ import annotations

from collections.abc import Mapping
import threading
import types
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.links import platform

# A listed host takes about 250 bytes and control traffic is limited to 9 KB/s
# for each node. Reading 4,100 hosts every 205 s takes 5 KB/s.
SECONDS_PER_HOST = 0.05
MIN_PERIOD_SECONDS = 1.0


class HostListSnapshot(NamedTuple):
    """The host list as last read.

    Attributes:
        number: Number of successful reads so far; 0 before the first one.
        listed_by_id: The listed hosts.
    """

    number: int
    listed_by_id: Mapping[str, platform.ListedHost]


class CachedHostList:
    """Last read host list; the refresh period grows with the list's size."""

    def __init__(
        self, host_list: platform.HostList, clock: clocks.Clock
    ) -> None:
        self._host_list = host_list
        self._clock = clock
        self._lock = threading.Lock()
        self._snapshot = HostListSnapshot(0, types.MappingProxyType({}))
        self._read_at = -1e9
        self._failed = False

    def current(self) -> HostListSnapshot:
        """Returns the cached list, refreshed if that is due.

        While one task refreshes it, other tasks get the previous snapshot.
        """
        if self._lock.acquire(blocking=False):
            try:
                self._refresh()
            finally:
                self._lock.release()
        return self._snapshot

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        period_seconds = max(
            MIN_PERIOD_SECONDS,
            SECONDS_PER_HOST * len(self._snapshot.listed_by_id),
        )
        if now - self._read_at < period_seconds:
            return
        listed = self._host_list.list_hosts()
        if isinstance(listed, result.Success):
            self._read_at = now
            self._failed = False
            self._snapshot = HostListSnapshot(
                self._snapshot.number + 1,
                types.MappingProxyType(
                    {host.host_id: host for host in listed.unwrap()}
                ),
            )
            return
        self._log_first_failure(listed.failure())

    def _log_first_failure(self, failure: errors.Failure) -> None:
        if not self._failed:
            events.log(
                events.Event.HOST_LIST_FAILED,
                "Host list can't be read",
                level="WARNING",
                kind=failure.kind.value,
                detail=failure.detail,
            )
        self._failed = True
