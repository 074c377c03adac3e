"""Policies by which entry hosts share the slots of workers."""

from __future__ import annotations

import collections
from collections.abc import Callable, Sequence
import random
import threading
from typing import Protocol

from wisteriasill.machines import host as hosts

Groups = Sequence[Sequence[hosts.Host]]


class SlotPolicy(Protocol):
    """Chooses a target and reserves one of its slots."""

    def reserve(self, groups: Groups, wanted: int = 1) -> hosts.Host | None:
        """Reserves a slot.

        Args:
            groups: Targets in order of preference; targets of a group are
                equivalent.
            wanted: Waiting requests, including this one.

        Returns:
            A target of the first group with a free slot; None if there is
            none.
        """

    def release(self, host_id: str) -> None:
        """Releases a reserved slot."""

    def in_flight(self, host_id: str) -> int:
        """Returns this entry host's own reservations of a target."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to call when a slot may be free again."""

    def start(self) -> None:
        """Starts the policy's task, if it has one."""

    def stop(self) -> None:
        """Stops and joins that task."""


class IndependentSlots:
    """Counts only own requests; workers refuse requests beyond their slots.

    Args:
        rng: Source of random choices among equivalent targets.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._lock = threading.Lock()
        self._own_by_host_id: collections.Counter[str] = collections.Counter()

    def reserve(self, groups: Groups, wanted: int = 1) -> hosts.Host | None:
        """Reserves a slot of the target with the fewest own requests."""
        with self._lock:
            for group in groups:
                free = [
                    host
                    for host in group
                    if self._own_by_host_id[host.host_id] < host.slots
                ]
                if free:
                    chosen = min(free, key=self._order)
                    self._own_by_host_id[chosen.host_id] += 1
                    return chosen
        return None

    def release(self, host_id: str) -> None:
        """Releases a reserved slot."""
        with self._lock:
            self._own_by_host_id[host_id] -= 1

    def in_flight(self, host_id: str) -> int:
        """Returns this entry host's own reservations of a target."""
        return self._own_by_host_id[host_id]

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Does nothing: slots become free only by own releases."""

    def start(self) -> None:
        """Does nothing: there is no task."""

    def stop(self) -> None:
        """Does nothing: there is no task."""

    def _order(self, host: hosts.Host) -> tuple[int, float]:
        return self._own_by_host_id[host.host_id], self._rng.random()
