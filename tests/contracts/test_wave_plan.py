"""Tests of the planning of maintenance waves."""

from __future__ import annotations

from typing import Any

import pytest

from tests.contracts import conftest
from wisteriasill.contracts import availability
from wisteriasill.contracts import maintenance
from wisteriasill.contracts import service
from wisteriasill.contracts import wave_limits
from wisteriasill.contracts import wave_plan
from wisteriasill.machines import host as hosts

S = hosts.HostState
W = maintenance.WaveState
DAY = wave_limits.DAY_SECONDS
CONTRACT = service.PoolContract(6, 4, 16, 64, 8, 64)
RUNNING = maintenance.Wave("quoting", 3, W.RUNNING, 22 * DAY, 6, 2)
KEY = wave_plan.wave_key(RUNNING)
NOW = 22 * DAY + 3600


def plan(
    make_host: conftest.HostFactory,
    changes_by_id: dict[str, dict[str, Any]],
    wave: maintenance.Wave | None = RUNNING,
    prefer: service.Preference = service.Preference.ROLL_OUT_TIME,
    needed_ahead: int = 0,
    missing: frozenset[str] = frozenset(),
    now: float = NOW,
    canary_waits: bool = False,
) -> wave_plan.WavePlan:
    """Plans for hosts h1 to h6, two a zone, each in its own rack."""
    pool = [
        make_host(
            **{
                "host_id": f"h{number}",
                "availability_zone": f"z{(number + 1) // 2}",
                "rack": f"rack-{number}",
                "maintained_at": 0.0,
                **changes_by_id.get(f"h{number}", {}),
            }
        )
        for number in range(1, 7)
    ]
    return wave_plan.plan(
        wave_plan.WaveView(
            "quoting",
            pool,
            missing,
            CONTRACT,
            prefer,
            availability.budget_of(pool, CONTRACT, needed_ahead),
            wave,
            now,
            canary_waits,
        )
    )


DONE = {"maintained_at": 22 * DAY + 60}
AWAY = {"state": S.REBOOTING, "wave": KEY}
LOST = {"state": S.DOWN, "wave": KEY}
FIRST_DONE = {"h1": DONE, "h2": DONE}

CASES: list[tuple[str, dict[str, Any], dict[str, Any], W | None, list[str]]] = [
    ("first host goes alone", {}, {}, W.RUNNING, ["h1"]),
    ("not due", {}, {"wave": None, "now": 20 * DAY}, None, []),
    ("due soon", {}, {"wave": None, "now": 21 * DAY}, W.RUNNING, []),
    ("whole budget of a zone", FIRST_DONE, {}, W.RUNNING, ["h3", "h4"]),
    ("one at a time saves buffer", FIRST_DONE,
     {"prefer": service.Preference.BUFFER_COST}, W.RUNNING, ["h3"]),
    ("zone of the host that is away first", {**FIRST_DONE, "h3": AWAY}, {},
     W.RUNNING, ["h4"]),
    ("no second zone", {"h1": DONE, "h2": AWAY}, {}, W.RUNNING, []),
    ("an excused host blocks no zone", {"h1": DONE, "h2": AWAY},
     {"missing": frozenset({"h2"}),
      "wave": RUNNING._replace(excused=("h2",))}, W.RUNNING, ["h3"]),
    ("first host of a small pool is lost", {"h1": DONE, "h2": LOST}, {},
     W.STOPPED, []),
    ("overdue", {"h1": DONE, "h2": AWAY}, {"missing": frozenset({"h2"})},
     W.STOPPED, []),
    ("spare pool's wave comes first", FIRST_DONE, {"canary_waits": True},
     W.RUNNING, []),
    ("one host is down for another reason",
     {**FIRST_DONE, "h6": {"state": S.DOWN}}, {}, W.RUNNING, ["h3"]),
    ("a rack is down", {**FIRST_DONE, "h5": {"state": S.DOWN},
                        "h6": {"state": S.DOWN}}, {}, W.STOPPED, []),
    ("others' absence uses the budget",
     {**FIRST_DONE, "h5": {"state": S.DRAINING},
      "h6": {"state": S.REBOOTING}},
     {}, W.RUNNING, []),
    ("peak ahead", FIRST_DONE, {"needed_ahead": 6}, W.RUNNING, []),
    ("hosts don't come back", {"h1": LOST, "h2": LOST}, {}, W.STOPPED, []),
    ("overdue and down", {"h1": AWAY, "h2": LOST},
     {"missing": frozenset({"h1"})}, W.STOPPED, []),
    ("still lost", {"h1": DONE, "h2": LOST},
     {"wave": RUNNING._replace(state=W.STOPPED)}, W.STOPPED, []),
    ("capacity recovered", FIRST_DONE,
     {"wave": RUNNING._replace(state=W.STOPPED)}, W.RUNNING, ["h3", "h4"]),
    ("resumed by an operator", {"h1": LOST, "h2": LOST, "h3": DONE},
     {"wave": RUNNING._replace(excused=("h1", "h2"))}, W.RUNNING, []),
    ("lost although resumed", {"h1": LOST, "h2": AWAY},
     {"wave": RUNNING._replace(excused=("h1",)),
      "missing": frozenset({"h2"})}, W.STOPPED, []),
    ("paused", FIRST_DONE, {"wave": RUNNING._replace(state=W.PAUSED)},
     W.PAUSED, []),
    ("finished", {f"h{n}": DONE for n in range(1, 7)}, {}, W.FINISHED, []),
    ("a dead host keeps no wave open",
     {"h1": {"state": S.DOWN}, **{f"h{n}": DONE for n in range(2, 7)}}, {},
     W.FINISHED, []),
    ("a lost host does", {"h1": LOST, **{f"h{n}": DONE for n in range(2, 7)}},
     {}, W.STOPPED, []),
    ("fresh hosts are left out", {"h1": {"maintained_at": 20 * DAY},
                                  "h2": {"maintained_at": 20 * DAY}},
     {}, W.RUNNING, ["h3"]),
]  # fmt: skip


@pytest.mark.parametrize(
    ("changes_by_id", "options", "state", "leaving"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_wave(
    make_host: conftest.HostFactory,
    changes_by_id: dict[str, dict[str, Any]],
    options: dict[str, Any],
    state: W | None,
    leaving: list[str],
) -> None:
    """A wave must keep the budget, stop on losses and come to an end."""
    planned = plan(make_host, changes_by_id, **options)
    assert (planned.wave and planned.wave.state) is state
    assert [host.host_id for host in planned.leaving] == leaving
    assert all(host.state is S.DRAINING for host in planned.leaving)
