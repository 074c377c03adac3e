"""Fixtures for the tests of links."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest

from tests.links import request_fixtures
from wisteriasill import clock as clocks
from wisteriasill import metrics as metrics_module
from wisteriasill import settings as settings_module
from wisteriasill.links import peer_link
from wisteriasill.machines import member as members
from wisteriasill.zones import site as sites

two_backends = request_fixtures.two_backends
worker_site = request_fixtures.worker_site
idempotency = request_fixtures.idempotency
dispatcher = request_fixtures.dispatcher

HEARTBEAT_SECONDS = 0.05
SILENCE_SECONDS = 0.25


class LinkedMember(NamedTuple):
    """A member with its peer links."""

    member: members.Member
    site: sites.Site
    metrics: metrics_module.Metrics
    links: peer_link.PeerLinks

    def counter_value(self, name: str) -> float:
        """Returns the value of an event counter."""
        body, _ = self.metrics.render([])
        prefix = f'wisteriasill_events_total{{name="{name}"}} '
        values = [
            float(line.removeprefix(prefix))
            for line in body.decode().splitlines()
            if line.startswith(prefix)
        ]
        return sum(values)


def member_of(
    member_id: str, port: int = 1, zone: str = "z1", region: str = "r1"
) -> members.Member:
    """Returns a member on the loopback address."""
    return members.Member(member_id, "1", region, zone, "127.0.0.1", 0, 0, port)


@pytest.fixture
def start_member() -> Iterator[Callable[[str], LinkedMember]]:
    """Returns a function that starts a member without known peers."""
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
    for receiver in linked:
        receiver.site.set_members(other.member for other in linked)
