"""Sustained demand of a pool, and its forecast by the time of day."""

from __future__ import annotations

import math
from typing import NamedTuple

HOUR_SECONDS = 3600.0
HOURS_PER_DAY = 24
# Peaks last seconds and are served by throttling jobs. Hosts are moved
# and kept for the mean over ten minutes.
SMOOTHING_SECONDS = 600.0
# Slots provided for each busy slot of the mean, so that some stay free.
HEADROOM = 1.25
# The maximum of an hour decays by this share a day, so that a single busy day
# loses its influence within about a week.
DAILY_DECAY = 0.3


class PoolDemand(NamedTuple):
    """Observed demand of a pool; soft state of the shard's holder.

    Attributes:
        busy_slots: Mean of requests in flight, smoothed over ten minutes.
        observed_at: Monotonic time of the last observation.
        hourly: Highest mean of each hour of the day (UTC), decayed daily.
        hour: Number of the current hour since the epoch.
    """

    busy_slots: float
    observed_at: float
    hourly: tuple[float, ...]
    hour: int


def observe(
    before: PoolDemand | None,
    busy_slots: float,
    now: float,
    wall_seconds: float,
) -> PoolDemand:
    """Adds an observation.

    Args:
        before: The demand observed so far; None at the first observation.
        busy_slots: Requests in flight now.
        now: Monotonic time.
        wall_seconds: Unix time, for the hour of the day.

    Returns:
        The demand with the observation.
    """
    hour = int(wall_seconds // HOUR_SECONDS)
    if before is None:
        # The mean starts at zero, so that a peak in the first second doesn't
        # look like sustained demand.
        return PoolDemand(0.0, now, (0.0,) * HOURS_PER_DAY, hour)
    elapsed = max(0.0, now - before.observed_at)
    weight = 1.0 - math.exp(-elapsed / SMOOTHING_SECONDS)
    mean = before.busy_slots + (busy_slots - before.busy_slots) * weight
    hour_index = hour % HOURS_PER_DAY
    highest = before.hourly[hour_index]
    if hour != before.hour:
        highest *= 1.0 - DAILY_DECAY
    hourly = (
        *before.hourly[:hour_index],
        max(highest, mean),
        *before.hourly[hour_index + 1 :],
    )
    return PoolDemand(mean, now, hourly, hour)


def hosts_for(busy_slots: float, slots_per_host: int) -> int:
    """Returns the number of hosts for a mean of busy slots, with headroom."""
    return math.ceil(busy_slots * HEADROOM / slots_per_host)


def hosts_needed_ahead(
    demand: PoolDemand | None,
    slots_per_host: int,
    wall_seconds: float,
    ahead_seconds: float,
) -> int:
    """Returns the number of hosts that the forecast demand needs.

    Args:
        demand: The observed demand; None if there is no observation yet.
        slots_per_host: Requests that one worker runs at a time.
        wall_seconds: Unix time.
        ahead_seconds: How far to look ahead.

    Returns:
        The hosts for the highest mean of now and the forecast hours.
    """
    if demand is None:
        return 0
    first = int(wall_seconds // HOUR_SECONDS)
    last = int((wall_seconds + ahead_seconds) // HOUR_SECONDS)
    means = [
        demand.hourly[hour % HOURS_PER_DAY]
        for hour in range(first, min(last, first + HOURS_PER_DAY - 1) + 1)
    ]
    return hosts_for(max([demand.busy_slots, *means]), slots_per_host)
