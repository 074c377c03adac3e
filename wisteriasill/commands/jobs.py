"""`wisteriasill jobs`: lists jobs and why they wait."""

from __future__ import annotations

from wisteriasill.commands import console
from wisteriasill.commands import rows

COLUMNS = {
    "job_id": "JOB",
    "pool": "POOL",
    "team": "TEAM",
    "queue": "QUEUE",
    "state": "STATE",
    "tasks": "TASKS",
    "tasks_done": "DONE",
    "tasks_running": "RUNNING",
    "tasks_waiting": "WAITING",
    "age_s": "AGE S",
    "cores": "CORES",
    "memory_gib": "GIB",
    "host_id": "HOST",
    "checkpoint": "CHECKPOINT",
    "reason": "REASON",
}


def run(
    connection: console.Connection, pool: str, state: str, as_json: bool
) -> int:
    """Lists jobs; see `rows.run`."""
    listing = rows.Listing("jobs", pool, state, as_json)
    return rows.run(connection, listing, COLUMNS)
