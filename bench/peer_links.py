"""Experiment: memory and processor time of each link to a peer."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import statistics
import threading
import time
from typing import Any, NamedTuple

import cbor2
from websockets import exceptions
from websockets.sync import client

from bench import processes
from bench import report
from wisteriasill.links import peer_messages

_LINKS = (0, 4, 8, 11, 22)
_FULL_MESH_LINKS = 11
_WARM_SECONDS = 2.0
_SAMPLE_SECONDS = 8.0
_CONNECT_SECONDS = 10.0
_HEARTBEAT_SECONDS = 0.5
_COUNTS_SECONDS = 0.1
_COUNTS = {f"host-{number:04}": number % 8 for number in range(6)}
LIMITS = (
    report.Limit("core_percent_heartbeats", "<=", 2.3),
    report.Limit("added_mb", "<=", 64.0),
)


class _Cost(NamedTuple):
    """Resource use of the member with the links.

    Attributes:
        links: Connected links.
        core_percent: Share of one core.
        resident_mb: Resident memory of the process.
        threads: Threads of the process.
    """

    links: int
    core_percent: float
    resident_mb: float
    threads: float


class _Peer:
    """A peer that sends heartbeats or in-flight counts."""

    def __init__(self, number: int, port: int, counts: bool) -> None:
        self._stopping = threading.Event()
        self._period_seconds = _COUNTS_SECONDS if counts else _HEARTBEAT_SECONDS
        self._connection = client.connect(
            f"ws://127.0.0.1:{port}/",
            legacy=True,
            compression=None,
            ping_interval=None,
            proxy=None,
        )
        hello: peer_messages.Hello = {
            "type": "hello",
            "member_id": f"peer-{number}",
            "incarnation": "1",
            "availability_zone": "zone",
            "protocol_version": peer_messages.PROTOCOL_VERSION,
        }
        self._connection.send(cbor2.dumps(hello))
        self._threads = [
            threading.Thread(target=self._send, args=(counts,)),
            threading.Thread(target=self._receive),
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Closes the link and joins the threads."""
        self._stopping.set()
        self._connection.close()
        for thread in self._threads:
            thread.join()

    def _send(self, counts: bool) -> None:
        message: dict[str, Any] = (
            {"type": "in_flight", "counts": _COUNTS}
            if counts
            else {"type": "heartbeat", "sequence": 1, "generation": 0}
        )
        with contextlib.suppress(exceptions.ConnectionClosed):
            while not self._stopping.wait(self._period_seconds):
                self._connection.send(cbor2.dumps(message))

    def _receive(self) -> None:
        with contextlib.suppress(exceptions.ConnectionClosed):
            while True:
                self._connection.recv()


@contextlib.contextmanager
def _running_hub() -> Iterator[processes.Child]:
    child = processes.Child("bench.peer_hub")
    try:
        yield child
    finally:
        child.stop()


def _measure(links: int, counts: bool) -> _Cost:
    with _running_hub() as hub, contextlib.ExitStack() as stack:
        port = hub.call("figures")["port"]
        for number in range(links):
            stack.callback(_Peer(number, port, counts).stop)
        ends_at = time.monotonic() + _CONNECT_SECONDS
        while hub.call("figures")["links"] < links:
            if time.monotonic() > ends_at:
                raise RuntimeError("the peers did not connect in time")
            time.sleep(0.1)
        time.sleep(_WARM_SECONDS)
        before, started_at = hub.call("figures"), time.monotonic()
        time.sleep(_SAMPLE_SECONDS)
        after = hub.call("figures")
        seconds = time.monotonic() - started_at
        used = after["cpu_seconds"] - before["cpu_seconds"]
        return _Cost(
            int(after["links"]),
            100 * used / seconds,
            after["resident_bytes"] / 1e6,
            after["threads"],
        )


def run(site: str, seed: int) -> report.BenchResult:
    """Measures heartbeats, and in-flight counts ten times per second.

    Args:
        site: Name of the site; links are the same on both.
        seed: Not used, as nothing is random.

    Returns:
        Figures of the full mesh of 11 links, and costs per link.
    """
    heartbeats_only = [_measure(links, counts=False) for links in _LINKS]
    with_counts = [_measure(links, counts=True) for links in _LINKS]
    full_mesh_index = _LINKS.index(_FULL_MESH_LINKS)
    memory = statistics.linear_regression(
        [cost.links for cost in heartbeats_only],
        [cost.resident_mb for cost in heartbeats_only],
    )
    processor = statistics.linear_regression(
        [cost.links for cost in heartbeats_only],
        [cost.core_percent for cost in heartbeats_only],
    )
    return report.BenchResult(
        name="peer-links",
        site=site,
        seed=seed,
        columns=("traffic", *_Cost._fields),
        rows=[
            *(("heartbeats", *cost) for cost in heartbeats_only),
            *(("counts each 0.1 s", *cost) for cost in with_counts),
        ],
        figures={
            "core_percent_heartbeats": heartbeats_only[
                full_mesh_index
            ].core_percent,
            "core_percent_counts": with_counts[full_mesh_index].core_percent,
            "added_mb": heartbeats_only[full_mesh_index].resident_mb
            - heartbeats_only[0].resident_mb,
            "kb_per_link": 1000 * memory.slope,
            "core_percent_per_link": processor.slope,
        },
        limits=LIMITS,
    )
