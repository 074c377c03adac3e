"""Sustained demand of a pool, and what it takes ahead by the time of day."""

from __future__ import annotations

import math
from typing import NamedTuple

HOUR_SECONDS = 3600.0
HOURS = 24
# Peaks last seconds and are met by processors that jobs lend; the mean over
# ten minutes is what hosts are moved and kept for.
SMOOTHING_SECONDS = 600.0
# Slots that are kept free above the mean.
HEADROOM = 1.25
# An hour's record fades by this share a day, so that a single busy day is
# forgotten within about a week.
DAILY_FADING = 0.3


class PoolDemand(NamedTuple):
    """What is known of a pool's demand; soft state of the shard's holder.

    Attributes:
        busy_slots: Mean of requests in flight, smoothed over ten minutes.
        observed_at: Monotonic seconds of the last observation.
        hourly: Highest mean of each hour of the day (UTC), faded by days.
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
        before: What was known; None for nothing.
        busy_slots: Requests in flight now.
        now: Monotonic seconds.
        wall_seconds: Seconds since the epoch, for the hour of the day.

    Returns:
        What is known now.
    """
    hour = int(wall_seconds // HOUR_SECONDS)
    if before is None:
        # The first mean starts at zero and grows, so that a peak in the first
        # second doesn't look like sustained demand.
        return PoolDemand(0.0, now, (0.0,) * HOURS, hour)
    elapsed = max(0.0, now - before.observed_at)
    weight = 1.0 - math.exp(-elapsed / SMOOTHING_SECONDS)
    mean = before.busy_slots + (busy_slots - before.busy_slots) * weight
    slot = hour % HOURS
    known = before.hourly[slot]
    if hour != before.hour:
        known *= 1.0 - DAILY_FADING
    hourly = (
        *before.hourly[:slot],
        max(known, mean),
        *before.hourly[slot + 1 :],
    )
    return PoolDemand(mean, now, hourly, hour)


def hosts_for(busy_slots: float, slots_per_host: int) -> int:
    """Returns the hosts that a mean of busy slots takes, with headroom."""
    return math.ceil(busy_slots * HEADROOM / slots_per_host)


def hosts_needed_ahead(
    demand: PoolDemand | None,
    slots_per_host: int,
    wall_seconds: float,
    ahead_seconds: float,
) -> int:
    """Returns the hosts that the demand ahead takes.

    Args:
        demand: What is known; None for nothing.
        slots_per_host: Requests that one worker runs at once.
        wall_seconds: Seconds since the epoch.
        ahead_seconds: How far to look ahead.

    Returns:
        The hosts for the highest mean of now and the hours ahead.
    """
    if demand is None:
        return 0
    first = int(wall_seconds // HOUR_SECONDS)
    last = int((wall_seconds + ahead_seconds) // HOUR_SECONDS)
    means = [
        demand.hourly[hour % HOURS]
        for hour in range(first, min(last, first + HOURS - 1) + 1)
    ]
    return hosts_for(max([demand.busy_slots, *means]), slots_per_host)
