"""Executes or rejects the operators' orders for one shard."""

from __future__ import annotations

from collections.abc import Sequence

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import availability
from wisteriasill.contracts import order_decision
from wisteriasill.contracts import orders
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import host_rows
from wisteriasill.machines import pool_hosts
from wisteriasill.machines import shard_context
from wisteriasill.machines import wave_rows

# Ended orders that remain in the table for operators to read.
MAX_ENDED_ORDERS = 50


class OrderController:
    """Controller of the orders of one pool."""

    def __init__(
        self,
        context: shard_context.ShardContext,
        pool: pool_hosts.PoolHosts,
        waves: wave_rows.WaveRows,
        jobs: shard_context.JobController,
    ) -> None:
        self._context = context
        self._pool = pool
        self._waves = waves
        self._jobs = jobs

    def step(self) -> result.Result[None, errors.Failure]:
        """Executes pending orders and deletes old ended ones."""
        rows = read_orders(self._context)
        if not isinstance(rows, result.Success):
            return result.Failure(rows.failure())
        for row, order in rows.unwrap():
            if order.state is orders.OrderState.PENDING:
                outcome = self._execute(row, order)
                if not isinstance(outcome, result.Success):
                    return outcome
        return prune_orders(self._context, rows.unwrap())

    def _view(self) -> order_decision.PoolView:
        configuration = self._context.site.snapshot.configuration
        pool = self._context.shard
        owner = configuration.services_by_name.get(pool)
        return order_decision.PoolView(
            pool,
            configuration,
            {host.host_id: host for host in self._pool.rows.ordered},
            availability.budget_of(
                self._pool.rows.ordered, None if owner is None else owner.pool
            ),
            self._waves.wave,
            self._context.wall_clock(),
        )

    def _execute(
        self, row: platform.Row, order: orders.Order
    ) -> result.Result[None, errors.Failure]:
        decision = order_decision.decide(order, self._view())
        if decision.job_id:
            cancelled = self._jobs.cancel(
                self._context.epoch_row, decision.job_id
            )
            if not isinstance(cancelled, result.Success):
                if cancelled.failure().kind is not errors.ErrorKind.NOT_FOUND:
                    return cancelled
                decision = _rejected(order, cancelled.failure().detail)
        written = self._write(row, decision)
        if isinstance(written, result.Success):
            log_order(decision.order)
        return written

    def _write(
        self, row: platform.Row, decision: order_decision.Decision
    ) -> result.Result[None, errors.Failure]:
        extra = ended_order_rows(row, decision.order)
        if decision.wave is not None:
            return self._waves.write(decision.wave, extra)
        if decision.host is None:
            return write_extra_rows(self._context, extra)
        before = self._pool.rows.hosts_by_id[decision.host.host_id].host
        if before.state is hosts.HostState.SERVING:
            extra = extra._replace(
                conditions=(
                    *extra.conditions,
                    *self._pool.rows.serving_conditions([before.host_id]),
                )
            )
        return self._pool.change([decision.host], extra)


def _rejected(order: orders.Order, reason: str) -> order_decision.Decision:
    return order_decision.Decision(
        order._replace(state=orders.OrderState.REJECTED, detail=reason)
    )


def read_orders(
    context: shard_context.ShardContext,
) -> result.Result[
    tuple[tuple[platform.Row, orders.Order], ...], errors.Failure
]:
    """Reads all orders of a shard."""
    scanned = context.platform.table.scan(orders.TABLE, f"{context.shard}/")
    if not isinstance(scanned, result.Success):
        return result.Failure(scanned.failure())
    decoded_orders = []
    for row in scanned.unwrap():
        decoded = documents.decode(orders.Order, row.value)
        if not isinstance(decoded, result.Success):
            return result.Failure(decoded.failure())
        decoded_orders.append((row, decoded.unwrap()))
    return result.Success(tuple(decoded_orders))


def ended_order_rows(
    row: platform.Row, order: orders.Order
) -> host_rows.ExtraRows:
    """Builds the condition and the write that store an ended order."""
    return host_rows.ExtraRows(
        (platform.Condition(row.table, row.key, row.version),),
        (platform.Write(row.table, row.key, documents.encode(order)),),
    )


def write_extra_rows(
    context: shard_context.ShardContext, extra: host_rows.ExtraRows
) -> result.Result[None, errors.Failure]:
    """Writes rows without host rows; after a conflict the next step retries."""
    written = context.platform.table.transact(extra.conditions, extra.writes)
    return written.map(lambda _: None)


def log_order(order: orders.Order) -> None:
    """Logs the outcome of an order."""
    rejected = order.state is orders.OrderState.REJECTED
    events.log(
        events.Event.ORDER_REJECTED
        if rejected
        else events.Event.OPERATOR_ORDER,
        "Order rejected" if rejected else "Order executed",
        order=order.order_id,
        kind=order.kind.value,
        subject=order.subject,
        author=order.author,
        detail=repr(order.detail),
    )


def prune_orders(
    context: shard_context.ShardContext,
    rows: Sequence[tuple[platform.Row, orders.Order]],
) -> result.Result[None, errors.Failure]:
    """Deletes the oldest ended orders beyond `MAX_ENDED_ORDERS`."""
    ended = sorted(
        (
            (order.ordered_at, row.key, row.version)
            for row, order in rows
            if order.state is not orders.OrderState.PENDING
        ),
        reverse=True,
    )
    surplus = ended[MAX_ENDED_ORDERS:][: host_rows.BATCH_ROWS]
    if not surplus:
        return result.Success(None)
    extra = host_rows.ExtraRows(
        tuple(
            platform.Condition(orders.TABLE, key, version)
            for _, key, version in surplus
        ),
        tuple(platform.Write(orders.TABLE, key, None) for _, key, _ in surplus),
    )
    return write_extra_rows(context, extra)
