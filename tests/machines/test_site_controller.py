"""Tests of the site controller: registration, moves and rejected orders."""

from __future__ import annotations

import collections

from bench import control_site
from bench import controlled_site
from wisteriasill import clock as clocks
from wisteriasill.contracts import orders
from wisteriasill.machines import host as hosts

SHAPE = controlled_site.Shape(("quoting", "billing", "spare"), spare="spare")


def test_new_hosts_are_spread_over_zones(
    manual_clock: clocks.ManualClock,
) -> None:
    """A pool must not lose most of its hosts with one zone."""
    site = controlled_site.ControlledSite(manual_clock, 1, SHAPE)
    site.run(20)
    for pool in SHAPE.pools:
        zones = collections.Counter(
            host.availability_zone for host in site.hosts_of(pool)
        )
        assert sorted(zones.values()) == [2, 2, 2]


def test_hosts_of_a_removed_pool_go_to_the_spare_pool(
    manual_clock: clocks.ManualClock,
) -> None:
    """Hosts of a removed service must not stay unused."""
    site = controlled_site.ControlledSite(manual_clock, 1, SHAPE)
    site.run(20)
    configuration = site.site.snapshot.configuration
    control_site.configure(
        site.site,
        [
            service
            for name, service in configuration.services_by_name.items()
            if name != "billing"
        ],
    )
    site.run(300)
    assert not site.hosts_of("billing")
    spare = site.hosts_of("spare")
    assert len(spare) == 12
    assert all(host.state is hosts.HostState.SERVING for host in spare)


def test_order_for_no_pool_is_rejected(
    controlled: controlled_site.ControlledSite,
) -> None:
    """An order that no pool can execute must not stay pending."""
    host = controlled.hosts_of("quoting")[0]._replace(pool="site")
    key = controlled.order(orders.OrderKind.DRAIN, host)
    controlled.run(3)
    assert controlled.order_state(key) == "rejected"
