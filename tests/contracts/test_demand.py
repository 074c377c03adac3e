"""Tests of sustained demand and of job throttling during peaks."""

from __future__ import annotations

import pytest

from wisteriasill.contracts import demand
from wisteriasill.contracts import throttling

HOUR = demand.HOUR_SECONDS


def observed(busy_by_second: list[float]) -> demand.PoolDemand:
    record = None
    for second, busy in enumerate([0.0, *busy_by_second]):
        record = demand.observe(record, busy, float(second), float(second))
    assert record is not None
    return record


def test_peaks_of_seconds_need_no_hosts() -> None:
    """Peaks of five times the mean must not look like sustained demand."""
    peaks = ([40.0] * 5 + [0.4] * 20) * 80
    record = observed(peaks)
    assert demand.hosts_for(record.busy_slots, 8) == 2
    sustained = observed([40.0] * 3600)
    assert demand.hosts_for(sustained.busy_slots, 8) == 7


@pytest.mark.parametrize(
    ("hour_now", "ahead_hours", "expected"),
    [(8, 0.5, 1), (8, 1.0, 4), (9, 0.5, 4), (23, 10.0, 4), (10, 3.0, 1)],
)
def test_peak_hours_ahead_count(
    hour_now: int, ahead_hours: float, expected: int
) -> None:
    """A wave must leave enough hosts for a busy hour that begins during it."""
    hourly = tuple(24.0 if hour == 9 else 1.0 for hour in range(24))
    record = demand.PoolDemand(1.0, 0.0, hourly, hour_now)
    needed = demand.hosts_needed_ahead(
        record, 8, hour_now * HOUR, ahead_hours * HOUR
    )
    assert needed == expected


def test_the_maximum_of_a_busy_day_decays() -> None:
    """One unusual day must not delay maintenance for weeks."""
    record = demand.PoolDemand(0.0, 0.0, (24.0,) * 24, 0)
    for day in range(1, 8):
        now = day * 24 * HOUR
        record = demand.observe(record, 0.0, now, now)
    assert record.hourly[0] < 2.0


def test_jobs_are_throttled_during_peaks_only() -> None:
    """Jobs must be throttled at once and stay so through short dips."""
    loads = [10, 40, 20, 40, 20, 20, 20, 20, 20, 20, 20]
    state = throttling.ThrottleState()
    throttled = []
    for second, busy in enumerate(loads):
        state = throttling.next_throttle_state(state, busy, 48, float(second))
        throttled.append(state.throttled)
    assert throttled == [False] + [True] * 8 + [False] * 2
