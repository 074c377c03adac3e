"""Writes operators' orders to the table, each order once."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import time
from typing import Annotated, NamedTuple, NoReturn

import pydantic
from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import jobs
from wisteriasill.contracts import orders
from wisteriasill.contracts import service as services
from wisteriasill.contracts import service_checks
from wisteriasill.links import platform
from wisteriasill.zones import site as sites

# Maps an order id to the key of the order's row. That key starts with the
# shard, which may differ when an order is repeated after its host has moved.
INDEX_TABLE = "order_ids"
HOLD_DETAIL = "hold"
MAX_TEXT = 200

OrderId = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9-]{8,64}$")]
Text = Annotated[str, pydantic.Field(min_length=1, max_length=MAX_TEXT)]

_HOST_KINDS = frozenset(
    {
        orders.OrderKind.DRAIN,
        orders.OrderKind.RETURN,
        orders.OrderKind.MOVE,
    }
)
_WAVE_KINDS = frozenset(
    {orders.OrderKind.PAUSE_WAVES, orders.OrderKind.RESUME_WAVES}
)


class OrderRequest(NamedTuple):
    """An order as an operator submits it.

    Attributes:
        order_id: Id chosen by the client, which makes retries idempotent.
        kind: Kind of the order.
        subject: Host id, pool or job id, depending on the kind.
        author: Operator who submits the order.
        pool: Pool to move the host to.
        hold: Whether a drained host stays drained until it is returned.
    """

    order_id: OrderId
    kind: orders.OrderKind
    subject: Text
    author: Text
    pool: Annotated[str, pydantic.Field(max_length=MAX_TEXT)] = ""
    hold: bool = False


Submitted = result.Result[orders.Order, errors.Failure]


def submit(
    platform_: platform.Platform,
    snapshot: sites.SiteSnapshot,
    request: OrderRequest,
) -> Submitted:
    """Writes an order unless it has already been written.

    Args:
        platform_: The platform.
        snapshot: This entry host's view of the site.
        request: The order.

    Returns:
        The order as stored in the table, executed or not.
    """
    existing_order = find(platform_, request.order_id)
    match existing_order:
        case result.Success(orders.Order() as order):
            return _matching_order(order, request)
        case result.Failure(fault) if (
            fault.kind is not errors.ErrorKind.NOT_FOUND
        ):
            return result.Failure(fault)
    return _shard(platform_, snapshot, request).bind(
        lambda shard: _write(platform_, _build_order(request, shard), request)
    )


def find(platform_: platform.Platform, order_id: str) -> Submitted:
    """Reads an order by its id.

    Args:
        platform_: The platform.
        order_id: Id of the order.

    Returns:
        The order, or NOT_FOUND.
    """
    match platform_.table.read(INDEX_TABLE, order_id):
        case result.Failure(fault):
            return result.Failure(fault)
        case result.Success(platform.Row(value=value)):
            row = platform_.table.read(orders.TABLE, str(value.get("key")))
        case _:
            return _not_found("order", order_id, ())
    match row:
        case result.Failure(fault):
            return result.Failure(fault)
        case result.Success(platform.Row(value=value)):
            return documents.decode(orders.Order, value)
    return _not_found("order", order_id, ())


def _build_order(request: OrderRequest, shard: str) -> orders.Order:
    return orders.Order(
        order_id=request.order_id,
        shard=shard,
        kind=request.kind,
        subject=request.subject.rpartition("/")[2],
        author=request.author,
        pool=request.pool,
        ordered_at=time.time(),
        detail=HOLD_DETAIL if request.hold else "",
    )


def _matching_order(order: orders.Order, request: OrderRequest) -> Submitted:
    subject = request.subject.rpartition("/")[2]
    if (order.kind, order.subject, order.pool) == (
        request.kind,
        subject,
        request.pool,
    ):
        return result.Success(order)
    return result.Failure(
        errors.failure(
            errors.ErrorKind.CONFLICT,
            f'order_id "{order.order_id}" belongs to another order '
            f"({order.kind.value} {order.subject}); choose a new one",
        )
    )


def _write(
    platform_: platform.Platform, order: orders.Order, request: OrderRequest
) -> Submitted:
    outcome = platform_.table.transact(
        [
            platform.Condition(INDEX_TABLE, order.order_id, 0),
            platform.Condition(orders.TABLE, order.key, 0),
        ],
        [
            platform.Write(INDEX_TABLE, order.order_id, {"key": order.key}),
            platform.Write(orders.TABLE, order.key, documents.encode(order)),
        ],
    )
    match outcome:
        case result.Success(_):
            return result.Success(order)
        case result.Failure(errors.Failure(kind=kind) as fault):
            pass
    if kind in (
        errors.ErrorKind.CONFLICT,
        errors.ErrorKind.STORE_OUTCOME_UNKNOWN,
    ):
        match find(platform_, order.order_id):
            case result.Success(stored_order):
                return _matching_order(stored_order, request)
    return result.Failure(
        fault._replace(
            detail=f"{fault.detail}; retry order {order.order_id} with "
            "the same order_id"
        )
    )


def _shard(
    platform_: platform.Platform,
    snapshot: sites.SiteSnapshot,
    request: OrderRequest,
) -> result.Result[str, errors.Failure]:
    """Returns the shard whose holder executes an order; a pool name."""
    configured = snapshot.configuration.services_by_name
    if request.kind in _WAVE_KINDS:
        if request.subject not in configured:
            return _not_found("pool", request.subject, configured)
        return result.Success(request.subject)
    if request.kind in _HOST_KINDS:
        return _host_shard(snapshot, configured, request)
    return platform_.table.scan(jobs.TABLE).bind(
        lambda rows: _job_shard(rows, request.subject)
    )


def _host_shard(
    snapshot: sites.SiteSnapshot,
    configured: Mapping[str, services.Service],
    request: OrderRequest,
) -> result.Result[str, errors.Failure]:
    known_host = snapshot.hosts_by_id.get(request.subject)
    if known_host is None:
        return _not_found("host", request.subject, snapshot.hosts_by_id)
    is_move = request.kind is orders.OrderKind.MOVE
    if is_move and request.pool not in configured:
        return _not_found("pool", request.pool, configured)
    if is_move and request.pool == known_host.host.pool:
        return result.Failure(
            errors.failure(
                errors.ErrorKind.BAD_REQUEST,
                f'host "{request.subject}" is in pool "{request.pool}" already',
            )
        )
    return result.Success(known_host.host.pool)


def _job_shard(
    rows: Iterable[platform.Row], subject: str
) -> result.Result[str, errors.Failure]:
    job_id = subject.rpartition("/")[2]
    keys = [row.key for row in rows]
    for key in keys:
        pool, _, row_job_id = key.partition("/")
        if row_job_id == job_id:
            return result.Success(pool)
    return _not_found("job", subject, (key.partition("/")[2] for key in keys))


def _not_found(
    subject_type: str, name: str, known: Iterable[str]
) -> result.Result[NoReturn, errors.Failure]:
    return result.Failure(
        errors.failure(
            errors.ErrorKind.NOT_FOUND,
            f'no {subject_type} "{name}" is known'
            + service_checks.suggest(name, known),
        )
    )
