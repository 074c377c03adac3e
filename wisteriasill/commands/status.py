"""`wisteriasill status`: shows an overview of the site."""

from __future__ import annotations

from typing import Any

from returns import result

from wisteriasill.commands import console

COLUMNS = {
    "pool": "POOL",
    "holder": "HELD BY",
    "hosts": "HOSTS",
    "hosts_promised": "PROMISED",
    "hosts_usable": "USABLE",
    "hosts_always_usable": "ALWAYS USABLE",
    "hosts_spare": "MAY LEAVE",
    "hosts_by_state": "STATES",
    "hosts_doubted": "DOUBTED",
    "tasks_running": "TASKS RUNNING",
    "jobs_waiting": "JOBS WAITING",
}
MEMBER_COLUMNS = {
    "member_id": "ENTRY HOST",
    "availability_zone": "ZONE",
    "generation": "GENERATION",
    "leaving": "LEAVING",
}


def run(connection: console.Connection, as_json: bool) -> int:
    """Prints the overview.

    Args:
        connection: Address and credentials of an entry host.
        as_json: Whether to print JSON.

    Returns:
        Exit status.
    """
    answer = console.connect(connection).bind(
        lambda client: client.get("/v1/status")
    )
    match answer:
        case result.Failure(failure):
            return console.report(failure)
        case result.Success(document):
            if as_json:
                console.print_json(document)
            else:
                _print_overview(document)
    return console.EXIT_SUCCESS


def _print_overview(document: dict[str, Any]) -> None:
    title = (
        f"site {document['site']}, prefers {document['prefer']}"
        if "site" in document
        else f"availability zone {document['availability_zone']}"
    )
    print(f"{title}, generation {document['generation']}")
    print(console.describe_age(document))
    print()
    console.print_table(document["pools"], COLUMNS)
    if document["members"]:
        print()
        console.print_table(document["members"], MEMBER_COLUMNS)
