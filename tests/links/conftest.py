"""Members with links, back ends, a site and a dispatcher for link tests."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import time
from typing import Any, NamedTuple

import pytest
from returns import result

from standins import backend as backends
from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import metrics as metrics_module
from wisteriasill import settings as settings_module
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import exchange
from wisteriasill.contracts import service as services
from wisteriasill.links import dispatch
from wisteriasill.links import peer_link
from wisteriasill.links import peer_messages
from wisteriasill.machines import host as hosts
from wisteriasill.machines import member as members
from wisteriasill.zones import site as sites

HEARTBEAT_SECONDS = 0.05
SILENCE_SECONDS = 0.25


class LinkedMember(NamedTuple):
    """A member with its links."""

    member: members.Member
    site: sites.Site
    metrics: metrics_module.Metrics
    links: peer_link.PeerLinks

    def counted(self, name: str) -> float:
        """Returns a named counter."""
        body, _ = self.metrics.render([])
        prefix = f'wisteriasill_events_total{{name="{name}"}} '
        values = [
            float(line.removeprefix(prefix))
            for line in body.decode().splitlines()
            if line.startswith(prefix)
        ]
        return sum(values)


def wait_until(condition: Callable[[], bool], seconds: float = 3.0) -> bool:
    """Polls a condition for a bounded time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.01)
    return condition()


def member_of(
    member_id: str, port: int = 1, zone: str = "z1", region: str = "r1"
) -> members.Member:
    """A member's row on the loopback address."""
    return members.Member(member_id, "1", region, zone, "127.0.0.1", 0, 0, port)


@pytest.fixture
def start_member() -> Iterator[Callable[[str], LinkedMember]]:
    """Starts links of members that do not know each other yet."""
    started: list[LinkedMember] = []

    def start(member_id: str) -> LinkedMember:
        settings = settings_module.EntrySettings(
            member_id=member_id,
            availability_zone="z1",
            platform_url="http://127.0.0.1:1",
            heartbeat_seconds=HEARTBEAT_SECONDS,
            peer_silence_seconds=SILENCE_SECONDS,
        )
        clock = clocks.SystemClock()
        site = sites.Site(clock)
        metrics = metrics_module.Metrics()
        links = peer_link.PeerLinks(settings, site, "1", metrics, clock)
        links.start()
        linked = LinkedMember(
            member_of(member_id, links.port), site, metrics, links
        )
        started.append(linked)
        return linked

    yield start
    for linked in started:
        linked.links.stop()


def introduce(*linked: LinkedMember) -> None:
    """Makes members known to each other."""
    for item in linked:
        item.site.set_members(other.member for other in linked)


SETTINGS = settings_module.EntrySettings(
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


class LoneMesh:
    """A mesh without peers."""

    def broadcast(self, message: peer_messages.Message) -> None:
        """Reaches nobody."""

    def send(self, member_id: str, message: peer_messages.Message) -> bool:
        """Reaches nobody."""
        return False

    def on_message(
        self, message_type: str, handler: peer_messages.Handler
    ) -> None:
        """Never calls the handler."""

    def on_members_changed(self, handler: Callable[[], None]) -> None:
        """Never calls the handler."""

    def connected_peers(self) -> frozenset[str]:
        """Returns nobody."""
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
        """Frees the key."""
        self.calls.append("release")

    def mark_unknown(self, claim: Any) -> None:
        """Records that the outcome is not known."""
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
    """Two back ends that work for 10 ms."""
    started = [backends.Backend(work_seconds=0.01) for _ in range(2)]
    for item in started:
        item.start()
    yield started
    for item in started:
        item.stop()


@pytest.fixture
def site(two_backends: list[backends.Backend]) -> sites.Site:
    """A site with one service and a target in each of two zones."""
    known = sites.Site(clocks.SystemClock())
    known.adopt_configuration(
        configurations.NO_CONFIGURATION._replace(
            generation=1, services_by_name={"quoting": QUOTING}
        )
    )
    known.update_hosts(
        sites.KnownHost(host_row(item, f"h{index}", f"z{index}"), 1)
        for index, item in enumerate(two_backends, 1)
    )
    return known


@pytest.fixture
def idempotency() -> MemoryIdempotency:
    """Idempotency records in memory."""
    return MemoryIdempotency()


@pytest.fixture
def dispatcher(
    site: sites.Site, idempotency: MemoryIdempotency
) -> Iterator[dispatch.Dispatcher]:
    """A started dispatcher without peers."""
    built = dispatch.Dispatcher(
        SETTINGS,
        site,
        LoneMesh(),
        idempotency,
        metrics_module.Metrics(),
        clocks.SystemClock(),
    )
    built.start()
    yield built
    built.stop()
