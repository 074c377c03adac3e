"""A small site controlled by several members on one manual clock.

The members are those of `control_site`.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

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
from wisteriasill.machines import write_budget
from wisteriasill.zones import site as sites

MIN_USABLE_HOSTS = 4
CONTRACT = service.PoolContract(6, MIN_USABLE_HOSTS, 16, 64, 8, 64)
PlatformFor = Callable[
    [str, local_platform.LocalPlatform, platform_state.PlatformState],
    platform.Platform,
]


class Shape(NamedTuple):
    """Size of a controlled site.

    Attributes:
        pools: Pools of six hosts each, of which four must always be usable.
        members: Members that control the pools.
        spare: Name of the spare pool; empty for none.
    """

    pools: tuple[str, ...] = ("quoting", "billing")
    members: tuple[str, ...] = ("m1", "m2")
    spare: str = ""


class ControlledSite:
    """Pools of six hosts each and the members that control them."""

    def __init__(
        self,
        clock: clocks.ManualClock,
        seed: int,
        shape: Shape = Shape(),  # noqa: B008 - immutable
        limits: write_budget.WriteLimits = write_budget.DEFAULT_LIMITS,
        platform_for: PlatformFor = lambda _, shared, __: shared,
    ) -> None:
        self.clock = clock
        self.shape = shape
        self.state = platform_state.PlatformState(
            clock, _list_hosts(len(shape.pools) * CONTRACT.hosts)
        )
        self.platform = local_platform.LocalPlatform(self.state, seed)
        self.site = sites.Site(clock)
        control_site.configure(
            self.site,
            [
                control_site.pool_service(
                    name, CONTRACT._replace(spare=name == shape.spare)
                )
                for name in shape.pools
            ],
        )
        control_site.set_known_members(self.site, shape.members)
        sources = control_site.seeded_sources(
            random.Random(seed), clock
        )._replace(limits=limits)
        self.members = {
            name: control_site.ControlMember(
                name,
                platform_for(name, self.platform, self.state),
                self.site,
                clock,
                sources,
            )
            for name in shape.members
        }

    def run(self, seconds: int, without: str = "") -> None:
        """Steps all members, except `without`, once per second."""
        for _ in range(seconds):
            control_site.poll_hosts(self.site, self.platform)
            for name, member in list(self.members.items()):
                if name != without:
                    member.step()
            self.clock.advance(1.0)

    def row(self, host_id: str) -> hosts.Host:
        """Returns the stored row of a host."""
        row = self.state.table.read(hosts.TABLE, host_id, 0.0)
        assert row is not None
        return documents.decode(hosts.Host, row.value).unwrap()

    def hosts_of(self, pool: str) -> list[hosts.Host]:
        """Returns the stored host rows of a pool."""
        rows = self.state.table.scan(hosts.TABLE, "", 0.0)
        stored_hosts = [self.row(row.key) for row in rows]
        return [host for host in stored_hosts if host.pool == pool]

    def order(
        self, kind: orders.OrderKind, host: hosts.Host, pool: str = ""
    ) -> str:
        """Stores an operator's order and returns its key."""
        number = len(self.state.table.scan(orders.TABLE, "", 0.0))
        order = orders.Order(
            f"o{number:03}", host.pool, kind, host.host_id, "ana", pool
        )
        self.state.transact(
            [platform.Condition(orders.TABLE, order.key, 0)],
            [platform.Write(orders.TABLE, order.key, documents.encode(order))],
        ).unwrap()
        return order.key

    def order_state(self, key: str) -> str:
        """Returns the stored state of an order."""
        row = self.state.table.read(orders.TABLE, key, 0.0)
        assert row is not None
        return str(row.value["state"])

    def boot_count(self, host_id: str) -> int:
        """Returns the platform's boot count of a host."""
        listed = self.state.host(host_id)
        assert listed is not None
        return listed.boot_count

    def holder(self, shard: str) -> str:
        """Returns the member that considers itself the holder of a shard."""
        return next(
            name
            for name, member in self.members.items()
            if shard in member.leases and not member.leases[shard].lost
        )


def _list_hosts(count: int) -> list[platform.ListedHost]:
    """Lists a number of hosts with the sizes of site mandacaru."""
    listed = standin_sites.build_hosts("mandacaru", str)
    return [
        listed[number % len(listed)]._replace(
            host_id=f"host-{number:03}",
            rack=f"{listed[number % len(listed)].rack}-{number // len(listed)}",
        )
        for number in range(count)
    ]
