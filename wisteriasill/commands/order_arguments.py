"""Arguments of the drain, return, move, pause, resume, cancel commands."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import cappa

from wisteriasill.commands import arguments
from wisteriasill.commands import order
from wisteriasill.contracts import orders

Pool = Annotated[str, cappa.Arg(value_name="POOL", help="Name of the pool.")]


class _OrderFields(NamedTuple):
    """Fields specific to one order."""

    kind: orders.OrderKind
    subject: str
    pool: str = ""
    hold: bool = False


class _CommonArguments(NamedTuple):
    """Arguments that all order commands share."""

    entry: str
    token_file: str
    as_json: bool
    no_wait: bool


def _run(fields: _OrderFields, common: _CommonArguments) -> int:
    return order.run(
        arguments.connection(common.entry, common.token_file),
        order.OrderOptions(
            fields.kind,
            fields.subject,
            arguments.author(),
            pool=fields.pool,
            hold=fields.hold,
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
            help="Keep the host out of service until `return`.",
        ),
    ] = False,
    entry: arguments.Entry = "",
    token_file: arguments.TokenFile = "",
    as_json: arguments.Json = False,
    no_wait: arguments.NoWait = False,
) -> int:
    """Drains a host and reboots it, within its pool's availability budget."""
    return _run(
        _OrderFields(orders.OrderKind.DRAIN, host, hold=hold),
        _CommonArguments(entry, token_file, as_json, no_wait),
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
        _OrderFields(orders.OrderKind.RETURN, host),
        _CommonArguments(entry, token_file, as_json, no_wait),
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
        _OrderFields(orders.OrderKind.MOVE, host, pool),
        _CommonArguments(entry, token_file, as_json, no_wait),
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
        _OrderFields(orders.OrderKind.PAUSE_WAVES, pool),
        _CommonArguments(entry, token_file, as_json, no_wait),
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
        _OrderFields(orders.OrderKind.RESUME_WAVES, pool),
        _CommonArguments(entry, token_file, as_json, no_wait),
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
        _OrderFields(orders.OrderKind.CANCEL_JOB, job),
        _CommonArguments(entry, token_file, as_json, no_wait),
    )
