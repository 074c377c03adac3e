"""Fixtures of the machines tests: a small site with controllers."""

from __future__ import annotations

import pytest

from bench import controlled_site
from wisteriasill import clock as clocks
from wisteriasill.machines import host as hosts


@pytest.fixture
def controlled(
    manual_clock: clocks.ManualClock,
) -> controlled_site.ControlledSite:
    """A site of two pools and two members whose hosts are all SERVING."""
    site = controlled_site.ControlledSite(manual_clock, 1)
    site.run(20)
    assert all(
        host.state is hosts.HostState.SERVING
        for pool in site.shape.pools
        for host in site.hosts_of(pool)
    )
    return site
