"""Tests of the slot policies, on an in-memory mesh."""

from __future__ import annotations

from collections.abc import Callable
import random

import pytest

from tests import example_host
from wisteriasill import clock as clocks
from wisteriasill import settings as setting_types
from wisteriasill.contracts import slots
from wisteriasill.contracts import slots_by_credit
from wisteriasill.contracts import slots_exchanged
from wisteriasill.links import peer_messages
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

MEMBERS = ("e1", "e2", "e3")


class MemoryMesh:
    """A member's end of a mesh that delivers messages at once."""

    def __init__(self, member_id: str, ends: dict[str, MemoryMesh]) -> None:
        self.member_id = member_id
        self.ends = ends
        self.handlers: dict[str, peer_messages.Handler] = {}
        self.listeners: list[Callable[[], None]] = []
        ends[member_id] = self

    def broadcast(self, message: peer_messages.Message) -> None:
        """Delivers a message to all other members."""
        for member_id in self.connected_peers():
            self.send(member_id, message)

    def send(self, member_id: str, message: peer_messages.Message) -> bool:
        """Delivers a message to another member."""
        if member_id not in self.ends:
            return False
        self.ends[member_id].handlers[message["type"]](self.member_id, message)
        return True

    def on_message(
        self, message_type: str, handler: peer_messages.Handler
    ) -> None:
        """Registers a handler."""
        self.handlers[message_type] = handler

    def on_members_changed(self, handler: Callable[[], None]) -> None:
        """Registers a handler."""
        self.listeners.append(handler)

    def connected_peers(self) -> frozenset[str]:
        """Returns the other members."""
        return frozenset(self.ends) - {self.member_id}

    def lose(self) -> None:
        """Disconnects this member and notifies the others."""
        del self.ends[self.member_id]
        for end in self.ends.values():
            for listener in end.listeners:
                listener()


def target(host_id: str) -> hosts.Host:
    return example_host.SERVING._replace(host_id=host_id, rack="r1")


TARGETS = [target("h1"), target("h2")]
ALL_SLOTS = 16


class Fleet:
    """Three members with the `lent` slot policy and one clock."""

    def __init__(self, clock: clocks.ManualClock) -> None:
        self.clock = clock
        self.ends: dict[str, MemoryMesh] = {}
        self.policies = {name: self._build(name) for name in MEMBERS}
        for end in self.ends.values():
            for listener in end.listeners:
                listener()

    def _build(self, name: str) -> slots_by_credit.CreditBasedSlots:
        site = sites.Site(self.clock)
        site.update_hosts(sites.KnownHost(host, 1) for host in TARGETS)
        settings = setting_types.EntrySettings(name, "z1", "")
        return slots_by_credit.CreditBasedSlots(
            settings,
            site,
            MemoryMesh(name, self.ends),
            random.Random(name),
            self.clock,
        )

    def in_flight(self) -> int:
        """Returns the slots in use by all members."""
        return sum(
            policy.in_flight(host.host_id)
            for policy in self.policies.values()
            for host in TARGETS
        )

    def return_idle(self) -> None:
        """Returns all idle credits to their granters."""
        self.clock.advance(slots_by_credit.IDLE_SECONDS + 0.1)
        for policy in self.policies.values():
            policy.return_idle()


@pytest.fixture
def fleet(manual_clock: clocks.ManualClock) -> Fleet:
    manual_clock.advance(100.0)
    return Fleet(manual_clock)


@pytest.mark.parametrize("seed", range(5))
def test_slots_are_never_exceeded(fleet: Fleet, seed: int) -> None:
    """Guards against members that together exceed a worker's slots."""
    rng = random.Random(seed)
    used: list[tuple[str, str]] = []
    for _ in range(600):
        fleet.clock.advance(rng.choice((0.0, 0.005, 0.1)))
        name = rng.choice(MEMBERS)
        if used and rng.random() < 0.45:
            owner, host_id = used.pop(rng.randrange(len(used)))
            fleet.policies[owner].release(host_id)
        elif chosen := fleet.policies[name].reserve([TARGETS]):
            used.append((name, chosen.host_id))
        if rng.random() < 0.1:
            fleet.policies[name].return_idle()
        assert fleet.in_flight() <= ALL_SLOTS


def test_one_member_can_use_all_slots(fleet: Fleet) -> None:
    """Guards against slots that stay unused as idle credits of others."""
    for name in ("e1", "e2"):
        chosen = fleet.policies[name].reserve([TARGETS])
        assert chosen is not None
        fleet.policies[name].release(chosen.host_id)
    fleet.return_idle()
    for _ in range(3 * ALL_SLOTS):
        fleet.clock.advance(slots_by_credit.DENIAL_BACKOFF_SECONDS + 0.01)
        fleet.policies["e3"].reserve([TARGETS])
    assert fleet.in_flight() == ALL_SLOTS


def test_lost_member_leaves_its_slots(fleet: Fleet) -> None:
    """Guards against credits that a killed entry host keeps."""
    while fleet.policies["e1"].reserve([TARGETS]):
        fleet.clock.advance(0.01)
    held = sum(fleet.policies["e1"].in_flight(host.host_id) for host in TARGETS)
    assert held == ALL_SLOTS
    del fleet.policies["e1"]
    fleet.ends["e1"].lose()
    for _ in range(3 * ALL_SLOTS):
        fleet.clock.advance(slots_by_credit.DENIAL_BACKOFF_SECONDS + 0.01)
        fleet.policies["e2"].reserve([TARGETS])
    assert fleet.in_flight() == ALL_SLOTS


def test_exchanged_counts_prevent_overcommit(
    manual_clock: clocks.ManualClock,
) -> None:
    """Guards against counts of peers that are ignored or outlive the peer."""
    ends: dict[str, MemoryMesh] = {}
    first, second = (
        slots_exchanged.ExchangedSlots(
            MemoryMesh(name, ends), random.Random(name), manual_clock
        )
        for name in ("e1", "e2")
    )
    while first.reserve([TARGETS]):
        pass
    first.publish()
    assert second.reserve([TARGETS]) is None
    first.release("h1")
    first.publish()
    chosen = second.reserve([TARGETS])
    assert chosen is not None
    assert chosen.host_id == "h1"
    ends["e1"].lose()
    assert second.reserve([TARGETS]) is not None


def test_independent_slots_prefer_the_first_group() -> None:
    """Guards against remote targets while the nearest zone has free slots."""
    policy = slots.IndependentSlots(random.Random(1))
    groups = [[TARGETS[0]], [TARGETS[1]]]
    chosen = [policy.reserve(groups) for _ in range(ALL_SLOTS + 1)]
    ids = [host.host_id if host else "" for host in chosen]
    assert ids == ["h1"] * 8 + ["h2"] * 8 + [""]
