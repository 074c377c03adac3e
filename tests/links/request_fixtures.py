"""Fixtures for request tests: back ends, a site and a dispatcher."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from returns import result

from standins import backend as backends
from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import metrics as metric_types
from wisteriasill import settings as setting_types
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import exchange
from wisteriasill.contracts import service as services
from wisteriasill.links import dispatch
from wisteriasill.links import peer_messages
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

SETTINGS = setting_types.EntrySettings(
    member_id="e1",
    availability_zone="z1",
    platform_url="http://127.0.0.1:1",
    caller_threads=8,
    max_body_bytes=64 * 1024,
    socket_timeout_seconds=1.0,
    drain_notice_seconds=0.1,
)
QUOTING = services.Service(
    name="quoting",
    team="sales",
    pool=services.PoolContract(2, 1, 16, 64, 8, 64),
    path_prefix="/quoting",
    requests=(
        services.RequestClass("read", "/", ("GET", "POST")),
        services.RequestClass(
            "order", "/orders", ("POST",), services.Repeat.NEVER
        ),
    ),
)


class EmptyMesh:
    """Peer mesh without peers."""

    def broadcast(self, message: peer_messages.Message) -> None:
        """Discards the message."""

    def send(self, member_id: str, message: peer_messages.Message) -> bool:
        """Discards the message and returns False."""
        return False

    def on_message(
        self, message_type: str, handler: peer_messages.Handler
    ) -> None:
        """Never calls the handler."""

    def on_members_changed(self, handler: Callable[[], None]) -> None:
        """Never calls the handler."""

    def connected_peers(self) -> frozenset[str]:
        """Returns no peers."""
        return frozenset()


class MemoryIdempotency:
    """Idempotency records in memory; `calls` shows what was recorded."""

    def __init__(self) -> None:
        self.replies_by_key: dict[str, exchange.Reply] = {}
        self.calls: list[str] = []

    def claim(
        self,
        service: str,
        caller: str,
        key: str,
        body_digest: str,
        deadline_at: float,
    ) -> result.Result[Any, errors.Failure]:
        """Claims a key, or returns the recorded reply."""
        self.calls.append("claim")
        return result.Success(self.replies_by_key.get(key, key))

    def finish(self, claim: Any, reply: exchange.Reply) -> None:
        """Records the reply."""
        self.calls.append("finish")
        self.replies_by_key[claim] = reply

    def release(self, claim: Any) -> None:
        """Records the release of the key."""
        self.calls.append("release")

    def mark_unknown(self, claim: Any) -> None:
        """Records that the outcome is unknown."""
        self.calls.append("mark_unknown")


def host_row(
    backend: backends.Backend, host_id: str, zone: str = "z1"
) -> hosts.Host:
    return hosts.Host(
        host_id=host_id,
        pool="quoting",
        state=hosts.HostState.SERVING,
        region="local",
        availability_zone=zone,
        rack=f"{zone}-r1",
        address=f"{backend.address}:{backend.port}",
        cores=16,
        memory_gib=64,
        accelerators=0,
        slots=8,
        connections=64,
    )


@pytest.fixture
def two_backends() -> Iterator[list[backends.Backend]]:
    """Two back ends that take 10 ms per request."""
    running_backends = [backends.Backend(work_seconds=0.01) for _ in range(2)]
    for backend in running_backends:
        backend.start()
    yield running_backends
    for backend in running_backends:
        backend.stop()


@pytest.fixture
def worker_site(two_backends: list[backends.Backend]) -> sites.Site:
    """A site with one service and a target in each of two zones."""
    site = sites.Site(clocks.SystemClock())
    site.adopt_configuration(
        configurations.NO_CONFIGURATION._replace(
            generation=1, services_by_name={"quoting": QUOTING}
        )
    )
    site.update_hosts(
        sites.KnownHost(host_row(backend, f"h{index}", f"z{index}"), 1)
        for index, backend in enumerate(two_backends, 1)
    )
    return site


@pytest.fixture
def idempotency() -> MemoryIdempotency:
    """Idempotency records in memory."""
    return MemoryIdempotency()


@pytest.fixture
def dispatcher(
    worker_site: sites.Site, idempotency: MemoryIdempotency
) -> Iterator[dispatch.Dispatcher]:
    """A started dispatcher without peers."""
    started_dispatcher = dispatch.Dispatcher(
        SETTINGS,
        worker_site,
        EmptyMesh(),
        idempotency,
        metric_types.Metrics(),
        clocks.SystemClock(),
    )
    started_dispatcher.start()
    yield started_dispatcher
    started_dispatcher.stop()
