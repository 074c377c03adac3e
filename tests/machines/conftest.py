"""Fixtures of the machines' tests: a small site under control."""

from __future__ import annotations

from collections.abc import Callable
import random

import pytest

from bench import control_site
from standins import local_platform
from standins import platform_state
from standins import sites as standin_sites
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill.contracts import orders
from wisteriasill.contracts import service
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

POOLS = ("quoting", "billing")
REQUIRED = 4
CONTRACT = service.PoolContract(6, REQUIRED, 16, 64, 8, 64)


class ControlledSite:
    """Two pools of six hosts and two members that control them."""

    def __init__(self, clock: clocks.ManualClock, seed: int) -> None:
        self.clock = clock
        listed = standin_sites.build_hosts("mandacaru", lambda _: "a")
        self.state = platform_state.PlatformState(clock, listed[:12])
        self.platform = local_platform.LocalPlatform(self.state, seed)
        self.site = sites.Site(clock)
        control_site.configure(
            self.site,
            [control_site.pool_service(name, CONTRACT) for name in POOLS],
        )
        control_site.known_members(self.site, ["m1", "m2"])
        sources = control_site.seeded_sources(random.Random(seed), clock)
        self.members = {
            name: control_site.ControlMember(
                name, self.platform, self.site, clock, sources
            )
            for name in ("m1", "m2")
        }

    def run(self, seconds: int, without: str = "") -> None:
        """Steps all members, but one, once a second."""
        for _ in range(seconds):
            control_site.poll_hosts(self.site, self.platform)
            for name, member in list(self.members.items()):
                if name != without:
                    member.step()
            self.clock.advance(1.0)

    def row(self, host_id: str) -> hosts.Host:
        """Returns a host's row as stored."""
        row = self.state.table.read("hosts", host_id, 0.0)
        assert row is not None
        return documents.decode(hosts.Host, row.value).unwrap()

    def hosts_of(self, pool: str) -> list[hosts.Host]:
        """Returns the rows of a pool."""
        rows = self.state.table.scan("hosts", "", 0.0)
        found = [self.row(row.key) for row in rows]
        return [host for host in found if host.pool == pool]

    def order(
        self, kind: orders.OrderKind, host: hosts.Host, pool: str = ""
    ) -> str:
        """Stores an operator's order and returns its key."""
        number = len(self.state.table.scan(orders.TABLE, "", 0.0))
        order = orders.Order(
            f"o{number}", host.pool, kind, host.host_id, "ana", pool
        )
        self.state.transact(
            [platform.Condition(orders.TABLE, order.key, 0)],
            [platform.Write(orders.TABLE, order.key, documents.encode(order))],
        ).unwrap()
        return order.key

    def holder(self, shard: str) -> str:
        """Returns the member that holds a shard."""
        return next(
            name
            for name, member in self.members.items()
            if shard in member.leases and not member.leases[shard].lost
        )


@pytest.fixture
def make_site(
    manual_clock: clocks.ManualClock,
) -> Callable[[int], ControlledSite]:
    """Builds a site for a seed in which all hosts serve."""

    def build(seed: int) -> ControlledSite:
        site = ControlledSite(manual_clock, seed)
        site.run(20)
        assert all(
            host.state is hosts.HostState.SERVING
            for pool in POOLS
            for host in site.hosts_of(pool)
        )
        return site

    return build


@pytest.fixture
def controlled(make_site: Callable[[int], ControlledSite]) -> ControlledSite:
    """A site in which all hosts serve."""
    return make_site(1)
