"""Resource use of an entry host process."""

from __future__ import annotations

import http.client
import re

import psutil

from bench import entry_processes

HTTP_TIMEOUT_SECONDS = 2.0


def is_ready(entry: entry_processes.EntryProcess) -> bool:
    """Whether an entry host is ready for callers."""
    return _get(entry.ports.caller, "/readyz")[0] == http.client.OK


def counter(entry: entry_processes.EntryProcess, name: str) -> float:
    """Returns a named counter of an entry host; 0 if it is unknown."""
    _, body = _get(entry.ports.caller, "/metrics")
    pattern = rf'wisteriasill_events_total{{name="{name}"}} (\S+)'
    match = re.search(pattern, body)
    return float(match.group(1)) if match else 0.0


def control_bytes(entry: entry_processes.EntryProcess) -> float:
    """Returns the control bytes sent and received."""
    return counter(entry, "control_bytes_sent") + counter(
        entry, "control_bytes_received"
    )


def cpu_seconds(entry: entry_processes.EntryProcess) -> float:
    """Returns the processor time used."""
    times = psutil.Process(entry.pid).cpu_times()
    return float(times.user + times.system)


def resident_mb(entry: entry_processes.EntryProcess) -> float:
    """Returns the resident memory, including interpreter and libraries."""
    return float(psutil.Process(entry.pid).memory_info().rss) / 1e6


def _get(port: int, path: str) -> tuple[int, str]:
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=HTTP_TIMEOUT_SECONDS
    )
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()
