"""Listing shared by the `hosts`, `waves` and `jobs` commands."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from returns import result

from wisteriasill.commands import console


class Listing(NamedTuple):
    """Rows to list and the output format.

    Attributes:
        name: Resource to list: `hosts`, `waves` or `jobs`.
        pool: Pool to list; empty for all.
        state: State to list; empty for all.
        as_json: Whether to print JSON.
    """

    name: str
    pool: str
    state: str
    as_json: bool


def run(
    connection: console.Connection, listing: Listing, columns: Mapping[str, str]
) -> int:
    """Prints a list.

    Args:
        connection: Address and credentials of an entry host.
        listing: Rows to list.
        columns: Headings by key, in order.

    Returns:
        Exit status.
    """
    answer = console.connect(connection).bind(
        lambda client: client.get(
            f"/v1/{listing.name}", pool=listing.pool, state=listing.state
        )
    )
    match answer:
        case result.Failure(failure):
            return console.report(failure)
        case result.Success(document):
            if listing.as_json:
                console.print_json(document)
            else:
                console.print_table(document[listing.name], columns)
                print(console.describe_age(document))
                for pool, holder in document.get("elsewhere", {}).items():
                    controller = holder or "no entry host yet"
                    print(f"pool {pool} is controlled by {controller}")
    return console.EXIT_SUCCESS
