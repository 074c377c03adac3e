"""Client of the system's interface for callers."""

from __future__ import annotations

import http.client
import json
from typing import Any, NamedTuple

HOST = "jobs.example"
DEADLINE_MS = 3000


class Reply(NamedTuple):
    """Response to a call; status 0 if there was none."""

    status: int
    body: dict[str, Any]


NO_REPLY = Reply(0, {})


def call(
    address: str,
    port: int,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    timeout_seconds: float = 4.0,
) -> Reply:
    """Sends one request over a connection of its own."""
    connection = http.client.HTTPConnection(address, port, timeout_seconds)
    try:
        connection.request(
            method,
            path,
            json.dumps(body) if body is not None else None,
            {
                "Host": HOST,
                "Content-Type": "application/json",
                "Wisteriasill-Request-Deadline": str(DEADLINE_MS),
            },
        )
        response = connection.getresponse()
        data = response.read()
        return Reply(response.status, json.loads(data) if data else {})
    except (OSError, http.client.HTTPException, ValueError):
        return NO_REPLY
    finally:
        connection.close()


def step(tasks: int, milliseconds: int, **fields: Any) -> dict[str, Any]:
    """Returns a step of tasks that need one core each."""
    return {
        "count": tasks,
        "cpu": 1000,
        "mem_mb": 64,
        "est_runtime_ms": milliseconds,
    } | fields
