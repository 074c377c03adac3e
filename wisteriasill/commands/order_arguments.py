"""Command line of the orders: drain, return, move, pause, resume, cancel."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import cappa

from wisteriasill.commands import arguments
from wisteriasill.commands import order
from wisteriasill.contracts import orders

Pool = Annotated[str, cappa.Arg(value_name="POOL", help="Name of the pool.")]


class _Target(NamedTuple):
    """What an order is about."""

    kind: orders.WorkerOrder
    subject: str
    pool: str = ""
    hold: bool = False


class _Common(NamedTuple):
    """Arguments that all orders share."""

    entry: str
    token_file: str
    as_json: bool
    no_wait: bool


def _run(target: _Target, common: _Common) -> int:
    return order.run(
        arguments.connection(common.entry, common.token_file),
        order.OrderOptions(
            target.kind,
            target.subject,
            arguments.author(),
            pool=target.pool,
            hold=target.hold,
            as_json=common.as_json,
            wait=not common.no_wait,
        ),
    )


@cappa.command(description=arguments.example("drain host-03 --hold"))
def drain(
    host: arguments.Host,
    hold: Annotated[
        bool,
        cappa.Arg(
            long=True,
            show_default=False,
            help="Keep the host away until `return`.",
        ),
    ] = False,
    entry: arguments.Entry = "",
    token_file: arguments.TokenFile = "",
    as_json: arguments.Json = False,
    no_wait: arguments.NoWait = False,
) -> int:
    """Drains a host and reboots it, within its pool's promise."""
    return _run(
        _Target(orders.WorkerOrder.DRAIN, host, hold=hold),
        _Common(entry, token_file, as_json, no_wait),
    )


@cappa.command(name="return", description=arguments.example("return host-03"))
def return_host(
    host: arguments.Host,
    entry: arguments.Entry = "",
    token_file: arguments.TokenFile = "",
    as_json: arguments.Json = False,
    no_wait: arguments.NoWait = False,
) -> int:
    """Lets a held host serve again."""
    return _run(
        _Target(orders.WorkerOrder.RETURN, host),
        _Common(entry, token_file, as_json, no_wait),
    )


@cappa.command(description=arguments.example("move host-03 quoting"))
def move(
    host: arguments.Host,
    pool: Pool,
    entry: arguments.Entry = "",
    token_file: arguments.TokenFile = "",
    as_json: arguments.Json = False,
    no_wait: arguments.NoWait = False,
) -> int:
    """Moves a host to another pool."""
    return _run(
        _Target(orders.WorkerOrder.MOVE, host, pool),
        _Common(entry, token_file, as_json, no_wait),
    )


@cappa.command(description=arguments.example("pause quoting"))
def pause(
    pool: Pool,
    entry: arguments.Entry = "",
    token_file: arguments.TokenFile = "",
    as_json: arguments.Json = False,
    no_wait: arguments.NoWait = False,
) -> int:
    """Stops a pool's maintenance waves until `resume`."""
    return _run(
        _Target(orders.WorkerOrder.PAUSE_WAVES, pool),
        _Common(entry, token_file, as_json, no_wait),
    )


@cappa.command(description=arguments.example("resume quoting"))
def resume(
    pool: Pool,
    entry: arguments.Entry = "",
    token_file: arguments.TokenFile = "",
    as_json: arguments.Json = False,
    no_wait: arguments.NoWait = False,
) -> int:
    """Continues a pool's paused or stopped maintenance wave."""
    return _run(
        _Target(orders.WorkerOrder.RESUME_WAVES, pool),
        _Common(entry, token_file, as_json, no_wait),
    )


@cappa.command(description=arguments.example("cancel cutting.stock-count.1"))
def cancel(
    job: Annotated[str, cappa.Arg(value_name="JOB", help="Job id.")],
    entry: arguments.Entry = "",
    token_file: arguments.TokenFile = "",
    as_json: arguments.Json = False,
    no_wait: arguments.NoWait = False,
) -> int:
    """Cancels a job."""
    return _run(
        _Target(orders.WorkerOrder.CANCEL_JOB, job),
        _Common(entry, token_file, as_json, no_wait),
    )
