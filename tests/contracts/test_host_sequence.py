"""Tests of the next step in the life cycle of one host."""

from __future__ import annotations

from typing import Any

import pytest

from tests.contracts import conftest
from wisteriasill.contracts import host_sequence
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

S = hosts.HostState
L = platform.ListedState
K = host_sequence.StepKind
CONTEXT = host_sequence.StepContext(
    now=100.0, wall_seconds=5e8, grace_seconds=5.0
)


def listed(state: L, boot_count: int = 1) -> platform.ListedHost:
    return platform.ListedHost(
        "h1", "local", "z1", "z1-r1", "a", 16, 64, 0, 8, 64, state, boot_count
    )


def seen(entry: platform.ListedHost | None, **changes: Any) -> Any:
    observation = host_sequence.HostObservation(
        version=4, since=90.0, listed=entry, readings=2, reading=9
    )
    return observation._replace(**changes)


DRAINED = {"drained": True, "tasks_gone": True}

CASES: list[tuple[str, dict[str, Any], Any, K, dict[str, Any]]] = [
    ("serves", {}, seen(listed(L.LIVE)), K.WAIT, {}),
    ("list never read", {}, seen(None, reading=0), K.WAIT, {}),
    ("one reading is not trusted", {}, seen(None, readings=1), K.WAIT, {}),
    ("not listed", {}, seen(None), K.WRITE, {"state": S.DOWN}),
    ("listed down", {}, seen(listed(L.DOWN)), K.WRITE, {"state": S.DOWN}),
    ("stale entry", {"boot_count": 3}, seen(listed(L.DOWN, 2)), K.WAIT, {}),
    ("restarted", {}, seen(listed(L.LIVE, 2)), K.WRITE, {"boot_count": 2}),
    ("taken by the platform", {}, seen(listed(L.LEAVING)), K.WRITE,
     {"state": S.DRAINING}),
    ("joins", {"state": S.JOINING}, seen(listed(L.LIVE)), K.WRITE,
     {"state": S.SERVING, "reason": "", "wave": ""}),
    ("joins not yet", {"state": S.JOINING}, seen(listed(L.LIVE), readings=1),
     K.WAIT, {}),
    ("drain begins", {"state": S.DRAINING}, seen(listed(L.LIVE)),
     K.DRAIN_WORKER, {}),
    ("tasks left", {"state": S.DRAINING},
     seen(listed(L.LEAVING), drained=True), K.CHECKPOINT, {}),
    ("requests left", {"state": S.DRAINING},
     seen(listed(L.LEAVING), since=95.1, **DRAINED), K.WAIT, {}),
    ("held", {"state": S.DRAINING, "held": True},
     seen(listed(L.LEAVING), **DRAINED), K.WAIT, {}),
    ("no reading since the drain", {"state": S.DRAINING},
     seen(listed(L.LEAVING), readings=0, **DRAINED), K.WAIT, {}),
    ("drained", {"state": S.DRAINING},
     seen(listed(L.LEAVING, 2), **DRAINED), K.WRITE,
     {"state": S.REBOOTING, "boot_count": 2}),
    ("own reboot", {"state": S.REBOOTING},
     seen(listed(L.LEAVING), reboot_now=True), K.REBOOT, {}),
    ("former holder's reboot", {"state": S.REBOOTING},
     seen(listed(L.LEAVING)), K.WAIT, {}),
    ("reboot order lost", {"state": S.REBOOTING},
     seen(listed(L.LEAVING), since=40.0), K.REBOOT, {}),
    ("reboots", {"state": S.REBOOTING},
     seen(listed(L.REBOOTING), since=0.0), K.WAIT, {}),
    ("rebooted", {"state": S.REBOOTING, "wave": "quoting/000001"},
     seen(listed(L.LIVE, 2)), K.WRITE,
     {"state": S.JOINING, "boot_count": 2, "maintained_at": 5e8,
      "wave": "quoting/000001"}),
    ("moved", {"state": S.REBOOTING, "next_pool": "billing"},
     seen(listed(L.LIVE, 2)), K.WRITE,
     {"state": S.JOINING, "pool": "billing", "next_pool": "",
      "boot_count": 2, "maintained_at": 5e8}),
    ("lost in its reboot", {"state": S.REBOOTING, "reason": "wave 1"},
     seen(listed(L.DOWN)), K.WRITE, {"state": S.DOWN, "reason": "wave 1"}),
    ("still down", {"state": S.DOWN}, seen(None), K.WAIT, {}),
    ("down but listed", {"state": S.DOWN},
     seen(listed(L.DOWN), since=-3500.0), K.WAIT, {}),
    ("gone for an hour", {"state": S.DOWN}, seen(None, since=-3500.0),
     K.RETIRE, {}),
    ("back", {"state": S.DOWN, "reason": "down: not listed"},
     seen(listed(L.LIVE)), K.WRITE, {"state": S.JOINING}),
    ("back after a lost reboot", {"state": S.DOWN, "reason": "wave 1"},
     seen(listed(L.LIVE, 2)), K.WRITE,
     {"state": S.JOINING, "boot_count": 2, "maintained_at": 5e8}),
    ("back without the reboot", {"state": S.DOWN, "reason": "wave 1"},
     seen(listed(L.LIVE)), K.WRITE, {"state": S.DRAINING}),
    ("back but held", {"state": S.DOWN, "reason": "drain by ana",
                       "held": True},
     seen(listed(L.LIVE, 2)), K.WRITE, {"state": S.DRAINING, "held": True}),
]  # fmt: skip


@pytest.mark.parametrize(
    ("host", "observation", "kind", "changes"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_next_step(
    make_host: conftest.HostFactory,
    host: dict[str, Any],
    observation: host_sequence.HostObservation,
    kind: K,
    changes: dict[str, Any],
) -> None:
    """A wrong step would interrupt requests or leave a host away forever."""
    row = make_host(**host)
    step = host_sequence.next_step(row, observation, CONTEXT)
    assert step.kind is kind
    expected = row._replace(**changes) if kind is K.WRITE else None
    if step.host is not None and "reason" not in changes:
        expected = row._replace(**{"reason": step.host.reason, **changes})
    assert step.host == expected


def test_readings_count_from_the_last_change() -> None:
    """A reading that predates a change of the row must not confirm it."""
    live = listed(L.LIVE)
    observation = host_sequence.watch(None, 4, live, 7, 10.0)
    assert observation.readings == 0
    observation = host_sequence.watch(observation, 4, live, 7, 11.0)
    assert observation.readings == 0
    observation = host_sequence.watch(observation, 4, live, 8, 12.0)
    assert host_sequence.watch(observation, 4, live, 9, 13.0).readings == 2
    assert host_sequence.watch(observation, 4, None, 9, 13.0).readings == 1
    assert host_sequence.watch(observation, 5, live, 9, 13.0).readings == 0
