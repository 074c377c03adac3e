"""Tests of the view of the site that an entry host keeps."""

from __future__ import annotations

import pytest

from tests import example_host
from wisteriasill import clock as clocks
from wisteriasill.contracts import configuration as configurations
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites


@pytest.fixture
def site(manual_clock: clocks.ManualClock) -> sites.Site:
    return sites.Site(manual_clock)


def known_host(version: int, pool: str = "quoting") -> sites.KnownHost:
    return sites.KnownHost(
        example_host.SERVING._replace(pool=pool, rack="r1"), version
    )


def test_older_host_row_is_ignored(site: sites.Site) -> None:
    """Guards against a stale read that makes a drained host serve again."""
    site.update_hosts([known_host(3)])
    site.mark_departing("h1", hosts.HostState.DRAINING, 4)
    assert not site.update_hosts([known_host(3)])
    host = site.snapshot.hosts_by_id["h1"].host
    assert host.state is hosts.HostState.DRAINING


def test_moved_host_is_in_one_pool(site: sites.Site) -> None:
    """Guards against a moved host that is in two pools of a snapshot."""
    site.update_hosts([known_host(1, "quoting")])
    site.update_hosts([known_host(2, "billing")])
    assert set(site.snapshot.hosts_by_pool) == {"billing"}


def test_lower_generation_is_never_adopted(site: sites.Site) -> None:
    """Guards against a configuration that reverts after a stale read."""
    newer = configurations.NO_CONFIGURATION._replace(generation=5)
    assert site.adopt_configuration(newer)
    assert not site.adopt_configuration(newer._replace(generation=4))
    assert site.snapshot.configuration.generation == 5
