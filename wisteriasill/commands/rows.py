"""Lists of hosts, waves and jobs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from returns import result

from wisteriasill.commands import console


class Listing(NamedTuple):
    """What is listed.

    Attributes:
        name: Resource: `hosts`, `waves` or `jobs`.
        pool: Only rows of this pool; empty for all.
        state: Only rows in this state; empty for all.
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
        connection: How to reach an entry host.
        listing: What is listed.
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
        case result.Failure(wrong):
            return console.report(wrong)
        case result.Success(document):
            if listing.as_json:
                console.print_json(document)
            else:
                console.print_table(document[listing.name], columns)
                print(console.age_line(document))
                for pool, holder in document.get("elsewhere", {}).items():
                    kept_by = holder or "no node yet"
                    print(f"pool {pool} is kept by {kept_by}")
    return console.DONE
