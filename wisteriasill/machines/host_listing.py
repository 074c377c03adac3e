"""The platform's list of hosts, read once for all shards of a process."""

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

# A listed host takes about 250 bytes, and a node's control traffic is at most
# 9 KB/s: reading 4,100 hosts once in 205 s takes 5 KB/s.
SECONDS_PER_HOST = 0.05
SHORTEST_PERIOD_SECONDS = 1.0


class Reading(NamedTuple):
    """One reading of the list.

    Attributes:
        number: Grows by one with each successful reading; 0 for none yet.
        listed_by_id: The hosts.
    """

    number: int
    listed_by_id: Mapping[str, platform.ListedHost]


class HostListing:
    """The last reading, renewed at a rate that the list's size allows."""

    def __init__(
        self, host_list: platform.HostList, clock: clocks.Clock
    ) -> None:
        self._host_list = host_list
        self._clock = clock
        self._lock = threading.Lock()
        self._reading = Reading(0, types.MappingProxyType({}))
        self._read_at = -1e9
        self._failed = False

    def current(self) -> Reading:
        """Returns the last reading, after renewing it if that is due.

        While one task reads the list, others get the former reading.
        """
        if self._lock.acquire(blocking=False):
            try:
                self._renew()
            finally:
                self._lock.release()
        return self._reading

    def _renew(self) -> None:
        now = self._clock.monotonic()
        period_seconds = max(
            SHORTEST_PERIOD_SECONDS,
            SECONDS_PER_HOST * len(self._reading.listed_by_id),
        )
        if now - self._read_at < period_seconds:
            return
        listed = self._host_list.list_hosts()
        if isinstance(listed, result.Success):
            self._read_at = now
            self._failed = False
            self._reading = Reading(
                self._reading.number + 1,
                types.MappingProxyType(
                    {item.host_id: item for item in listed.unwrap()}
                ),
            )
            return
        self._note_failure(listed.failure())

    def _note_failure(self, failure: errors.Failure) -> None:
        if not self._failed:
            events.log(
                events.Event.HOST_LIST_FAILED,
                "host list can't be read",
                level="WARNING",
                kind=failure.kind.value,
                detail=failure.detail,
            )
        self._failed = True
