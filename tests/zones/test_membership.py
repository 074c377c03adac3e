"""Tests of liveness and of the member row."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import pytest

from tests.zones import conftest
from wisteriasill import clock as clocks
from wisteriasill import settings as settings_module
from wisteriasill.machines import member as members
from wisteriasill.zones import member_row
from wisteriasill.zones import membership as memberships
from wisteriasill.zones import site as sites

TICK_SECONDS = 0.25


class Scenario:
    """Member `a` under test and a simulated peer `b`."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        platform: conftest.FakePlatform,
        mesh: conftest.FakeMesh,
        clock: clocks.ManualClock,
    ) -> None:
        self.platform = platform
        self.mesh = mesh
        self.clock = clock
        self.site = sites.Site(clock)
        self.membership = memberships.Membership(
            settings, platform.as_platform(), self.site, mesh, "i1", clock
        )
        mesh.on_message("goodbye", self.membership._handle_goodbye)
        self.peer = member_row.MemberRow(platform.as_platform(), member("b"))
        self.heartbeats_on = True
        self.paused = False
        self.ticks = 0

    def simulate(self, action: str) -> None:
        """Simulates one event by name."""
        name, _, value = action.partition("=")
        if name == "link":
            self.mesh.connected = (
                frozenset("b") if value == "up" else frozenset()
            )
        elif name == "store":
            self.platform.down = value == "down"
        elif name == "beat":
            self.heartbeats_on = value == "on"
        elif name == "process":
            self.paused = value == "paused"
        elif name == "goodbye":
            self.mesh.deliver("b", {"type": "goodbye", "member_id": "b"})
        elif name == "restart":
            self.peer = member_row.MemberRow(
                self.platform.as_platform(), member("b", "i2")
            )

    def tick(self) -> None:
        """Advances the clock by a quarter of a second."""
        if self.heartbeats_on and self.ticks % 20 == 0:
            self.peer.renew(leaving=False)
        self.ticks += 1
        if not self.paused:
            self.membership.run_once()
        self.clock.advance(TICK_SECONDS)

    def sees_peer(self) -> bool:
        """Whether the member under test considers the peer live."""
        return "b" in self.site.snapshot.members_by_id


def member(member_id: str, incarnation: str = "i1") -> members.Member:
    return members.Member(
        member_id, incarnation, "r1", "z1", "127.0.0.1", 1, 2, 3
    )


@pytest.fixture
def scenario(
    settings: settings_module.EntrySettings,
    platform: conftest.FakePlatform,
    mesh: conftest.FakeMesh,
    manual_clock: clocks.ManualClock,
) -> Scenario:
    return Scenario(settings, platform, mesh, manual_clock)


class Case(NamedTuple):
    """Events by second, and times at which the peer must be live or dead."""

    name: str
    actions: dict[float, tuple[str, ...]]
    live_at: tuple[float, ...]
    dead_at: tuple[float, ...]


# A crash or a pause closes the link after 2 s of silence, so `link=down` at
# 12 s simulates a fault at 10 s, which must be detected before 13 s.
CASES = (
    Case("steady", {1: ("link=up",)}, (0.5, 1, 30, 90), ()),
    Case(
        "crash",
        {1: ("link=up",), 10: ("beat=off",), 12: ("link=down",)},
        (9, 11),
        (12.75, 13, 20, 60),
    ),
    Case(
        "crash right after a beat that is polled late",
        {1: ("link=up",), 10.5: ("beat=off", "link=down")},
        (10,),
        (11.25, 12, 13, 20),
    ),
    Case(
        "pause of 10 s",
        {
            1: ("link=up",),
            10.25: ("beat=off",),
            12: ("link=down",),
            20.25: ("beat=on", "link=up"),
        },
        (11, 20.75, 40),
        (12.75, 15, 20),
    ),
    Case(
        "link that breaks and is dialled again",
        {1: ("link=up",), 10: ("link=down",), 10.25: ("link=up",)},
        (10, 10.25, 11),
        (),
    ),
    Case(
        "one-way silent link; the beat goes on",
        {1: ("link=up",), 11: ("link=down",)},
        (10, 17, 30, 60),
        (12,),
    ),
    Case(
        "row of a member that crashed before",
        {0.25: ("beat=off",)},
        (1,),
        (3.25, 10),
    ),
    Case(
        "store outage: the last members stay",
        {1: ("link=up",), 10: ("store=down",)},
        (11, 60, 600),
        (),
    ),
    Case(
        "store outage: links decide",
        {
            1: ("link=up",),
            10: ("store=down",),
            20: ("link=down",),
            40: ("link=up",),
        },
        (11, 19, 41, 600),
        (21, 30),
    ),
    Case(
        "store outage without a link keeps what was known",
        {10: ("store=down",), 300: ("store=up",)},
        (30, 299, 301, 330),
        (),
    ),
    Case(
        "pause of this process",
        {
            1: ("link=up",),
            10: ("process=paused",),
            30: ("process=running", "link=down"),
            32: ("link=up",),
        },
        (9, 30.25, 31, 33),
        (),
    ),
    Case(
        "goodbye and restart",
        {
            1: ("link=up",),
            10: ("goodbye", "link=down", "beat=off"),
            20: ("restart", "beat=on", "link=up"),
        },
        (9, 21.25),
        (10.25, 15, 19),
    ),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_liveness(scenario: Scenario, case: Case) -> None:
    """Guards against dead members that count as live, and live ones as dead.

    The former would keep their shards, the latter would lose theirs.
    """
    end = max((*case.live_at, *case.dead_at)) + TICK_SECONDS
    while scenario.clock.monotonic() < end:
        now = scenario.clock.monotonic()
        for action in case.actions.get(now, ()):
            scenario.simulate(action)
        scenario.tick()
        if now in case.live_at:
            assert scenario.sees_peer(), now
        if now in case.dead_at:
            assert not scenario.sees_peer(), now


def test_row_of_dead_member_is_removed_and_rejoins(scenario: Scenario) -> None:
    """Guards against rows of dead members that pile up or can't rejoin."""
    scenario.simulate("link=up")
    for _ in range(40):
        scenario.tick()
    scenario.simulate("beat=off")
    scenario.simulate("link=down")
    for _ in range(200):
        scenario.tick()
    assert (members.TABLE, "b") in scenario.platform.rows
    for _ in range(40):
        scenario.tick()
    assert (members.TABLE, "b") not in scenario.platform.rows
    assert not scenario.peer.renew(leaving=False)  # The row was removed.
    assert scenario.peer.renew(leaving=False)
    assert (members.TABLE, "b") in scenario.platform.rows


@pytest.mark.parametrize(
    ("fault", "writes", "heartbeat"),
    [
        (lambda platform: None, [True, True], 2),
        (
            lambda platform: setattr(platform, "lose_answers", 1),
            [False, True],
            2,
        ),
        (lambda platform: setattr(platform, "down", True), [False, False], 0),
    ],
)
def test_own_row_is_kept_through_store_faults(
    platform: conftest.FakePlatform,
    fault: Callable[[conftest.FakePlatform], None],
    writes: list[bool],
    heartbeat: int,
) -> None:
    """Guards against a member that displaces itself after a lost answer."""
    row = member_row.MemberRow(platform.as_platform(), member("a"))
    fault(platform)
    assert [row.renew(leaving=False) for _ in writes] == writes
    assert not row.displaced
    assert row.member.beat == heartbeat


def test_newer_process_displaces_older(platform: conftest.FakePlatform) -> None:
    """Guards against two processes with one id that overwrite each other."""
    older = member_row.MemberRow(platform.as_platform(), member("a", "i1"))
    newer = member_row.MemberRow(platform.as_platform(), member("a", "i2"))
    assert older.renew(leaving=False)
    assert newer.renew(leaving=False)
    assert not older.renew(leaving=False)
    assert not older.renew(leaving=False)
    assert older.displaced
    assert not older.remove()
    assert newer.renew(leaving=True)
    assert newer.remove()
    assert platform.rows == {}


def test_stopped_member_removes_its_row(
    settings: settings_module.EntrySettings,
    platform: conftest.FakePlatform,
    mesh: conftest.FakeMesh,
) -> None:
    """Guards against a stopped member that stays in the table."""
    clock = clocks.SystemClock()
    site = sites.Site(clock)
    membership = memberships.Membership(
        settings, platform.as_platform(), site, mesh, "i1", clock
    )
    membership.start()
    membership.announce_leaving()
    membership.stop()
    assert platform.rows == {}
    assert set(site.snapshot.members_by_id) == {"a"}


def test_pause_detector(manual_clock: clocks.ManualClock) -> None:
    """Guards against a process that acts on stale state after a pause."""
    detector = clocks.PauseDetector(manual_clock, 3.0)
    elapsed = (1.0, 3.0, 10.0, 1.0)
    pauses = []
    for seconds in elapsed:
        manual_clock.advance(seconds)
        pauses.append(detector.paused())
    assert pauses == [False, False, True, False]
