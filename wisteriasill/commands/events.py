"""`wisteriasill events`: prints recent events of an entry host."""

from __future__ import annotations

import json
import threading
from typing import Any

from returns import result

from wisteriasill.commands import console
from wisteriasill.contracts import publication
from wisteriasill.links import operator_client

WAIT_SECONDS = 20.0
# An entry host with too many waiting readers answers at once, so wait before
# polling again.
PAUSE_SECONDS = 1.0


def run(connection: console.Connection, follow: bool, as_json: bool) -> int:
    """Prints events, one per line.

    Args:
        connection: Address and credentials of an entry host.
        follow: Whether to print new events until interrupted.
        as_json: Whether to print one JSON object per line.

    Returns:
        Exit status.
    """
    match console.connect(connection):
        case result.Failure(failure):
            return console.report(failure)
        case result.Success(client):
            try:
                return _print_events(client, follow, as_json)
            except KeyboardInterrupt:
                return console.EXIT_SUCCESS
    raise AssertionError(connection)


def _print_events(
    client: operator_client.OperatorClient, follow: bool, as_json: bool
) -> int:
    after = 0
    wait_seconds = 0.0
    pause = threading.Event()
    while True:
        match client.get("/v1/events", after=after, wait_seconds=wait_seconds):
            case result.Failure(failure):
                return console.report(failure)
            case result.Success(document):
                new_events = document["events"]
        for event in new_events:
            print(
                json.dumps(event) if as_json else _format_event(event),
                flush=True,
            )
            after = event["sequence"]
        if not follow:
            return console.EXIT_SUCCESS
        if not new_events and wait_seconds:
            pause.wait(PAUSE_SECONDS)
        wait_seconds = WAIT_SECONDS


def _format_event(event: dict[str, Any]) -> str:
    fields = " ".join(
        f"{key}={value}" for key, value in event["fields"].items()
    )
    return (
        f"{publication.format_time(event['at'])} {event['level']:<7} "
        f"{event['event']:>3} {event['message']} {fields}".rstrip()
    )
