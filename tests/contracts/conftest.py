"""Fixtures of the contracts' tests."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from wisteriasill.machines import host as hosts

HostFactory = Callable[..., hosts.Host]


@pytest.fixture
def make_host() -> HostFactory:
    """Builds a serving host of 16 cores; arguments override its fields."""
    base = hosts.Host(
        host_id="h1",
        pool="quoting",
        state=hosts.HostState.SERVING,
        region="local",
        availability_zone="z1",
        rack="z1-r1",
        address="127.0.0.1:1",
        cores=16,
        memory_gib=64,
        accelerators=0,
        slots=8,
        connections=64,
        boot_count=1,
    )
    return lambda **changes: base._replace(**changes)
