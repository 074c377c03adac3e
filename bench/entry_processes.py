"""Entry hosts as separate processes that the bench starts and ends."""

from __future__ import annotations

from collections.abc import Sequence
import http.client
import re
import signal
import socket
import subprocess
import sys
import time
from typing import NamedTuple

import psutil

READY_SECONDS = 30.0
STOP_SECONDS = 45.0
POLL_SECONDS = 0.1
HTTP_TIMEOUT_SECONDS = 2.0


class Ports(NamedTuple):
    """Ports of one entry host."""

    caller: int
    operator: int
    peer: int


class EntryProcess(NamedTuple):
    """An entry host that runs as a process."""

    member_id: str
    ports: Ports
    process: subprocess.Popen[bytes]

    def is_ready(self) -> bool:
        """Whether callers may be sent to it."""
        return _get(self.ports.caller, "/readyz")[0] == http.client.OK

    def counter(self, name: str) -> float:
        """Returns one of its named counters."""
        _, body = _get(self.ports.caller, "/metrics")
        pattern = rf'wisteriasill_events_total{{name="{name}"}} (\S+)'
        found = re.search(pattern, body)
        return float(found.group(1)) if found else 0.0

    def cpu_seconds(self) -> float:
        """Returns the processor time it has used."""
        times = psutil.Process(self.process.pid).cpu_times()
        return float(times.user + times.system)

    def resident_mb(self) -> float:
        """Returns its resident memory, interpreter and libraries included."""
        info = psutil.Process(self.process.pid).memory_info()
        return float(info.rss) / 1e6

    def stop(self) -> int:
        """Ends it in a planned way; returns its exit status."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_SECONDS)


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def start_entry(
    member_id: str, zone: str, platform_url: str, options: Sequence[str] = ()
) -> EntryProcess:
    """Starts one entry host.

    Args:
        member_id: Its name.
        zone: Its availability zone.
        platform_url: Base URL of the platform.
        options: Further flags of `wisteriasill entry`.

    Returns:
        The process, not yet ready.
    """
    ports = Ports(*free_ports(3))
    command = [
        sys.executable,
        "-m",
        "wisteriasill",
        "entry",
        "--member-id",
        member_id,
        "--availability-zone",
        zone,
        "--platform-url",
        platform_url,
        "--caller-port",
        str(ports.caller),
        "--operator-port",
        str(ports.operator),
        "--peer-port",
        str(ports.peer),
        *options,
    ]
    process = subprocess.Popen(
        command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    return EntryProcess(member_id, ports, process)


def wait_ready(entries: Sequence[EntryProcess]) -> None:
    """Waits until all entry hosts are ready.

    Raises:
        TimeoutError: One was not ready in time.
    """
    end = time.monotonic() + READY_SECONDS
    while not all(entry.is_ready() for entry in entries):
        if time.monotonic() > end:
            raise TimeoutError("an entry host was not ready in time")
        time.sleep(POLL_SECONDS)


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
