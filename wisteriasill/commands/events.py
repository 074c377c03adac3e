"""`wisteriasill events`: recent events of an entry host."""

from __future__ import annotations

import json
import threading
from typing import Any

from returns import result

from wisteriasill.commands import console
from wisteriasill.contracts import publication
from wisteriasill.links import operator_client

WAIT_SECONDS = 20.0
# An entry host whose waiting places are taken answers at once.
PAUSE_SECONDS = 1.0


def run(connection: console.Connection, follow: bool, as_json: bool) -> int:
    """Prints events, one a line.

    Args:
        connection: How to reach an entry host.
        follow: Whether to go on until interrupted.
        as_json: Whether to print JSON, one object a line.

    Returns:
        Exit status.
    """
    match console.connect(connection):
        case result.Failure(wrong):
            return console.report(wrong)
        case result.Success(client):
            try:
                return _print_events(client, follow, as_json)
            except KeyboardInterrupt:
                return console.DONE
    raise AssertionError(connection)


def _print_events(
    client: operator_client.OperatorClient, follow: bool, as_json: bool
) -> int:
    after = 0
    wait_seconds = 0.0
    never = threading.Event()
    while True:
        match client.get("/v1/events", after=after, wait_seconds=wait_seconds):
            case result.Failure(wrong):
                return console.report(wrong)
            case result.Success(document):
                found = document["events"]
        for item in found:
            print(json.dumps(item) if as_json else _line(item), flush=True)
            after = item["sequence"]
        if not follow:
            return console.DONE
        if not found and wait_seconds:
            never.wait(PAUSE_SECONDS)
        wait_seconds = WAIT_SECONDS


def _line(item: dict[str, Any]) -> str:
    fields = " ".join(f"{key}={value}" for key, value in item["fields"].items())
    return (
        f"{publication.format_time(item['at'])} {item['level']:<7} "
        f"{item['event']:>3} {item['message']} {fields}".rstrip()
    )
