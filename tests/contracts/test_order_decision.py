"""Tests of the decisions on operators' orders."""

from __future__ import annotations

import types
from typing import Any

import pytest

from tests.contracts import conftest
from wisteriasill.contracts import availability
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import maintenance
from wisteriasill.contracts import order_decision
from wisteriasill.contracts import orders
from wisteriasill.contracts import service
from wisteriasill.machines import host as hosts

K = orders.OrderKind
S = hosts.HostState
W = maintenance.WaveState
CONTRACT = service.PoolContract(6, 4, 16, 64, 8, 64)
CONFIGURATION = configurations.NO_CONFIGURATION._replace(
    services_by_name=types.MappingProxyType(
        {
            "quoting": service.Service("quoting", "t", CONTRACT),
            "billing": service.Service("billing", "t", CONTRACT),
            "big": service.Service(
                "big", "t", CONTRACT._replace(cores_per_host=64)
            ),
        }
    )
)

CASES: list[tuple[str, dict[str, Any], int, dict[str, Any], Any, str]] = [
    ("drain", {}, 5, {"kind": K.DRAIN}, {"state": S.DRAINING}, "reboots"),
    ("drain and hold", {}, 5, {"kind": K.DRAIN, "detail": "hold"},
     {"state": S.DRAINING, "held": True}, "held until RETURN"),
    ("budget used up", {}, 4, {"kind": K.DRAIN}, None,
     "1 need 1 more serving"),
    ("pool already short", {}, 2, {"kind": K.DRAIN}, None,
     "1 need 3 more serving"),
    ("hold a down host", {"state": S.DOWN}, 4,
     {"kind": K.DRAIN, "detail": "hold"},
     {"state": S.DOWN, "held": True}, "was down"),
    ("unknown host", {"host_id": "h9"}, 6, {"kind": K.DRAIN}, None,
     "has no host h1"),
    ("rebooting", {"state": S.REBOOTING}, 6, {"kind": K.DRAIN}, None,
     "is rebooting"),
    ("move", {}, 5, {"kind": K.MOVE, "pool": "billing"},
     {"state": S.DRAINING, "next_pool": "billing"}, "moves to pool billing"),
    ("move of an away host", {"state": S.REBOOTING}, 0,
     {"kind": K.MOVE, "pool": "billing"},
     {"state": S.REBOOTING, "next_pool": "billing"}, "was rebooting"),
    ("move beyond the budget", {}, 4, {"kind": K.MOVE, "pool": "billing"},
     None, "must keep 4"),
    ("move to no pool", {}, 6, {"kind": K.MOVE, "pool": "x"}, None,
     "no pool x"),
    ("move in place", {}, 6, {"kind": K.MOVE, "pool": "quoting"}, None,
     "is in pool"),
    ("move to bigger promises", {}, 6, {"kind": K.MOVE, "pool": "big"},
     None, "smaller than"),
    ("return", {"state": S.DRAINING, "held": True}, 4, {"kind": K.RETURN},
     {"state": S.DRAINING, "held": False}, "reboots and returns"),
    ("return of no held host", {}, 6, {"kind": K.RETURN}, None,
     "is not held"),
]  # fmt: skip


def view(
    host: hosts.Host, serving: int, wave: maintenance.Wave | None = None
) -> order_decision.PoolView:
    return order_decision.PoolView(
        "quoting",
        CONFIGURATION,
        {host.host_id: host},
        availability.Budget(serving, CONTRACT.hosts_always_usable),
        wave,
        5e8,
    )


@pytest.mark.parametrize(
    ("host", "serving", "order", "changes", "detail"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_order(
    make_host: conftest.HostFactory,
    host: dict[str, Any],
    serving: int,
    order: dict[str, Any],
    changes: dict[str, Any] | None,
    detail: str,
) -> None:
    """An order must never take more than the pool's budget allows."""
    row = make_host(**host)
    base = orders.Order("o1", "quoting", K.DRAIN, "h1", "ana")
    decision = order_decision.decide(base._replace(**order), view(row, serving))
    assert detail in decision.order.detail
    if changes is None:
        assert decision.order.state is orders.OrderState.REJECTED
        assert decision.host is None
    else:
        assert decision.order.state is orders.OrderState.DONE
        assert decision.host is not None
        assert decision.host == row._replace(
            **{"reason": decision.host.reason, **changes}
        )


@pytest.mark.parametrize(
    ("before", "kind", "after"),
    [
        (None, K.PAUSE_WAVES, W.PAUSED),
        (W.RUNNING, K.PAUSE_WAVES, W.PAUSED),
        (W.FINISHED, K.PAUSE_WAVES, W.PAUSED),
        (W.STOPPED, K.RESUME_WAVES, W.RUNNING),
        (W.PAUSED, K.RESUME_WAVES, W.RUNNING),
        (W.RUNNING, K.RESUME_WAVES, None),
        (None, K.RESUME_WAVES, None),
    ],
)
def test_wave_orders(
    make_host: conftest.HostFactory,
    before: W | None,
    kind: K,
    after: W | None,
) -> None:
    """A paused pool must stay paused, also when no wave was running."""
    wave = (
        None
        if before is None
        else maintenance.Wave("quoting", 3, before, 4e8, 6, 2)
    )
    down = make_host(state=S.DOWN)
    order = orders.Order("o1", "quoting", kind, "quoting", "ana")
    decision = order_decision.decide(order, view(down, 5, wave))
    if after is None:
        assert decision.wave is None
        assert decision.order.state is orders.OrderState.REJECTED
        return
    assert decision.wave is not None
    assert decision.wave.state is after
    assert decision.wave.excused == (("h1",) if after is W.RUNNING else ())
