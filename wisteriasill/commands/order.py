"""Operator orders: drain, return, move, pause, resume and cancel."""

from __future__ import annotations

import threading
import time
from typing import Any, NamedTuple
import uuid

from returns import result

from wisteriasill import errors
from wisteriasill.commands import console
from wisteriasill.contracts import orders
from wisteriasill.links import operator_client

POLL_SECONDS = 0.5
# Another entry host can need 10 s to acquire the lease of the pool's shard.
WAIT_SECONDS = 15.0
SUBMIT_ATTEMPTS = 3


class OrderOptions(NamedTuple):
    """Options of an order.

    Attributes:
        kind: Kind of the order.
        subject: Host id, pool or job id, depending on the kind.
        author: Operator who gives the order.
        pool: Destination pool of a move.
        hold: Whether a drained host stays out of service until `return`.
        as_json: Whether to print JSON.
        order_id: Id of the order; empty to generate one.
        wait: Whether to wait until the order is carried out.
    """

    kind: orders.OrderKind
    subject: str
    author: str
    pool: str = ""
    hold: bool = False
    as_json: bool = False
    order_id: str = ""
    wait: bool = True


def run(connection: console.Connection, options: OrderOptions) -> int:
    """Submits an order and waits for its outcome.

    Args:
        connection: Address and credentials of an entry host.
        options: Options of the order.

    Returns:
        Exit status: 1 if the order was rejected or is still pending.
    """
    answer = console.connect(connection).bind(
        lambda client: _submit_and_wait(client, options)
    )
    match answer:
        case result.Failure(failure):
            return console.report(failure)
        case result.Success(document):
            return _print_order(document, options)
    raise AssertionError(answer)


def _submit_and_wait(
    client: operator_client.OperatorClient, options: OrderOptions
) -> operator_client.Document:
    order_id = options.order_id or str(uuid.uuid4())
    answer = _submit(client, options, order_id)
    wait_until = time.monotonic() + (WAIT_SECONDS if options.wait else 0.0)
    pause = threading.Event()
    while time.monotonic() < wait_until:
        match answer:
            case result.Success({"state": orders.OrderState.PENDING.value}):
                pause.wait(POLL_SECONDS)
                answer = client.get(f"/v1/orders/{order_id}")
            case _:
                break
    return answer


def _submit(
    client: operator_client.OperatorClient,
    options: OrderOptions,
    order_id: str,
) -> operator_client.Document:
    document = {
        "order_id": order_id,
        "kind": options.kind.value,
        "subject": options.subject,
        "author": options.author,
        "pool": options.pool,
        "hold": options.hold,
    }
    answer = client.post("/v1/orders", document)
    for _ in range(SUBMIT_ATTEMPTS - 1):
        match answer:
            # The order_id makes the retry idempotent.
            case result.Failure(
                errors.Failure(executed=errors.Executed.UNKNOWN)
            ):
                answer = client.post("/v1/orders", document)
    return answer


def _print_order(document: dict[str, Any], options: OrderOptions) -> int:
    state = document["state"]
    if options.as_json:
        console.print_json(document)
    else:
        detail = f": {document['detail']}" if document["detail"] else ""
        print(
            f"{document['kind']} {document['subject']}: {state}{detail} "
            f"(order {document['order_id']})"
        )
    if state == orders.OrderState.DONE.value or not options.wait:
        return console.EXIT_SUCCESS
    return console.EXIT_FAILURE
