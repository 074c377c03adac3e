"""Decides what an operator's order changes, or why it is rejected."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from wisteriasill.contracts import availability
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import maintenance
from wisteriasill.contracts import moves
from wisteriasill.contracts import orders
from wisteriasill.machines import host as hosts

HOLD_DETAIL = "hold"
_AWAY_STATES = (
    hosts.HostState.DRAINING,
    hosts.HostState.REBOOTING,
    hosts.HostState.DOWN,
)


class PoolView(NamedTuple):
    """The state of a pool on which an order is decided.

    Attributes:
        pool: The pool whose shard the order names.
        configuration: The configuration in force.
        hosts_by_id: Hosts of the pool.
        budget: Current availability budget of the pool.
        wave: The pool's current maintenance wave; None if there was none.
        wall_seconds: Unix time, for operators to read.
    """

    pool: str
    configuration: configurations.Configuration
    hosts_by_id: Mapping[str, hosts.Host]
    budget: availability.Budget
    wave: maintenance.Wave | None
    wall_seconds: float


class Decision(NamedTuple):
    """The decided order and the rows to write with it.

    Attributes:
        order: The order, DONE or REJECTED.
        host: Host row to write; None if there is none.
        wave: Wave row to write; None if there is none.
        job_id: Job to cancel before the order is written; empty for none.
    """

    order: orders.Order
    host: hosts.Host | None = None
    wave: maintenance.Wave | None = None
    job_id: str = ""


def decide(order: orders.Order, view: PoolView) -> Decision:
    """Decides a pending order.

    Args:
        order: The order.
        view: The state of the pool.

    Returns:
        The decision.
    """
    if order.kind in (
        orders.OrderKind.PAUSE_WAVES,
        orders.OrderKind.RESUME_WAVES,
    ):
        return _change_waves(order, view)
    if order.kind is orders.OrderKind.CANCEL_JOB:
        return Decision(
            order._replace(state=orders.OrderState.DONE), job_id=order.subject
        )
    host = view.hosts_by_id.get(order.subject)
    if host is None:
        return _rejected(order, f"pool {view.pool} has no host {order.subject}")
    if order.kind is orders.OrderKind.RETURN:
        return _return(order, host)
    if order.kind is orders.OrderKind.MOVE:
        return _move(order, host, view)
    return _drain(order, host, view)


def _rejected(order: orders.Order, reason: str) -> Decision:
    return Decision(
        order._replace(state=orders.OrderState.REJECTED, detail=reason)
    )


def _done(order: orders.Order, host: hosts.Host, detail: str) -> Decision:
    return Decision(
        order._replace(state=orders.OrderState.DONE, detail=detail), host
    )


def _drain(order: orders.Order, host: hosts.Host, view: PoolView) -> Decision:
    held = order.detail == HOLD_DETAIL
    after = "is held until RETURN" if held else "reboots and returns"
    if host.state is hosts.HostState.REBOOTING:
        return _rejected(order, f"host {host.host_id} is rebooting")
    if host.state in _AWAY_STATES:
        return _done(
            order,
            host._replace(held=held, reason=f"drain by {order.author}"),
            f"was {host.state.value}, {after}",
        )
    return _start_drain(
        order, host, view, f"drain by {order.author}", held, after
    )


def _move(order: orders.Order, host: hosts.Host, view: PoolView) -> Decision:
    new_service = view.configuration.services_by_name.get(order.pool)
    if new_service is None:
        return _rejected(order, f"no pool {order.pool} is configured")
    if order.pool == view.pool:
        return _rejected(order, f"host {host.host_id} is in pool {order.pool}")
    if not moves.fits(host, new_service.pool):
        return _rejected(
            order,
            f"host {host.host_id} is smaller than pool {order.pool} promises",
        )
    moved = host._replace(next_pool=order.pool)
    after = f"moves to pool {order.pool} after its reboot"
    reason = f"move by {order.author}"
    if host.state in _AWAY_STATES:
        return _done(
            order,
            moved._replace(reason=reason),
            f"was {host.state.value}, {after}",
        )
    return _start_drain(order, moved, view, reason, False, after)


def _start_drain(
    order: orders.Order,
    host: hosts.Host,
    view: PoolView,
    reason: str,
    held: bool,
    after: str,
) -> Decision:
    leaving = 1 if host.state is hosts.HostState.SERVING else 0
    refusal = availability.refusal(view.pool, view.budget, leaving)
    if refusal and leaving:
        return _rejected(order, refusal)
    return _done(
        order,
        host._replace(state=hosts.HostState.DRAINING, reason=reason, held=held),
        f"draining, {after}",
    )


def _return(order: orders.Order, host: hosts.Host) -> Decision:
    if not host.held:
        return _rejected(order, f"host {host.host_id} is not held")
    return _done(
        order,
        host._replace(held=False, reason=f"return by {order.author}"),
        "reboots and returns",
    )


def _change_waves(order: orders.Order, view: PoolView) -> Decision:
    wave = view.wave or maintenance.Wave(
        view.pool, 1, maintenance.WaveState.FINISHED, view.wall_seconds, 0
    )
    if order.kind is orders.OrderKind.PAUSE_WAVES:
        if wave.state is maintenance.WaveState.FINISHED:
            wave = wave._replace(
                number=wave.number + 1, hosts_total=0, hosts_done=0
            )
        changed = wave._replace(
            state=maintenance.WaveState.PAUSED,
            reason=f"paused by {order.author}",
        )
    elif wave.state in (
        maintenance.WaveState.STOPPED,
        maintenance.WaveState.PAUSED,
    ):
        changed = wave._replace(
            state=maintenance.WaveState.RUNNING,
            reason="",
            excused=tuple(
                sorted(
                    host.host_id
                    for host in view.hosts_by_id.values()
                    if host.state is not hosts.HostState.SERVING
                )
            ),
        )
    else:
        return _rejected(order, f"waves of pool {view.pool} are not stopped")
    return Decision(order._replace(state=orders.OrderState.DONE), wave=changed)
