"""Tests of the controller's threads and of its write budget."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading
import time

import pytest

from bench import control_site
from standins import local_platform
from standins import platform_state
from wisteriasill import clock as clocks
from wisteriasill import settings as settings_module
from wisteriasill.contracts import service
from wisteriasill.machines import controller
from wisteriasill.machines import write_budget
from wisteriasill.zones import site as sites


def wait_for(condition: Callable[[], bool]) -> bool:
    pause = threading.Event()
    deadline = time.monotonic() + 10.0
    while not condition() and time.monotonic() < deadline:
        pause.wait(0.02)
    return condition()


def test_shards_are_released_on_stop() -> None:
    """Guards against a clean stop that keeps shards or leaves threads."""
    clock = clocks.SystemClock()
    platform = local_platform.LocalPlatform(
        platform_state.PlatformState(clock, ())
    )
    site = sites.Site(clock)
    contract = service.PoolContract(1, 0, 1, 1, 8, 64)
    control_site.configure(site, [control_site.pool_service("a", contract)])
    control_site.set_known_members(site, ["m1"])
    controllers = [
        controller.Controller(
            settings_module.EntrySettings("m1", "z", ""),
            platform,
            site,
            control_site.RecordingMesh(),
            incarnation,
            clock,
            lambda _: control_site.EmptyJobController(),
        )
        for incarnation in ("first", "second")
    ]
    for instance in controllers:
        instance.start()
        assert wait_for(
            lambda instance=instance: instance.shards == {"a", "site"}  # type: ignore[misc]
        )
        instance.stop()
        assert not instance.shards
    assert not [
        thread
        for thread in threading.enumerate()
        if thread.name.startswith("control")
    ]
    rows = platform.scan("leases").unwrap()
    assert [row.value["holder"] for row in rows] == ["", ""]
    assert [row.value["epoch"] for row in rows] == [2, 2]


def test_writes_are_bounded_and_spread_after_an_outage(
    manual_clock: clocks.ManualClock,
) -> None:
    """Guards against members that all write at once after an outage."""
    budget = write_budget.WriteBudget(
        manual_clock, lambda: 1 / 7, random.Random(1)
    )
    assert budget.rows_per_second == pytest.approx(8.0)
    assert budget.reserve(write_budget.DEFAULT_LIMITS.burst_rows) == 0.0
    assert budget.reserve(8) == pytest.approx(1.0)
    manual_clock.advance(60.0)
    budget.record_outcome(False)
    assert budget.record_outcome(True)
    assert 0.0 < budget.reserve(1) <= write_budget.DEFAULT_LIMITS.jitter_seconds
