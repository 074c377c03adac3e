"""Batch sizes and limits of maintenance waves, derived from a contract."""

from __future__ import annotations

import math

from wisteriasill.contracts import service

DAY_SECONDS = 86_400.0
# A wave starts this share of the period before the first due date. With a
# period of 28 days that leaves a week for stopped waves and absent operators.
LEAD_SHARE = 0.25
# The spare pool starts earlier by this time, and other pools wait until its
# first host is back. It is the canary: its hosts serve no requests, so
# maintenance that breaks hosts is noticed there first.
SPARE_LEAD_SECONDS = 600.0
# Hosts maintained within this share of the period wait for the next wave.
RECENT_SHARE = 0.5
# A wave that minimizes buffer cost takes at most this share of the lead time.
BUFFER_LEAD_SHARE = 0.5
# A host counts as missing after this many times its expected time away.
OVERDUE_FACTOR = 2.0
# A wave stops when more of its hosts are lost than this share of those that
# returned. A small pool stops at the first lost host; a large one stops later,
# because it also loses hosts for other reasons.
LOST_SHARE = 0.1
# A wave also stops while more hosts are down, for any reason, than this share
# of the pool, but never for a single host.
DOWN_SHARE = 0.1


def overdue_seconds(contract: service.PoolContract) -> float:
    """Returns after how long in one state a host counts as missing."""
    return OVERDUE_FACTOR * contract.maintenance_minutes * 60.0


def lost_limit(hosts_done: int) -> int:
    """Returns how many lost hosts a wave tolerates once some have returned."""
    return math.floor(LOST_SHARE * hosts_done)


def down_limit(pool_hosts: int) -> int:
    """Returns how many down hosts a wave tolerates in a pool of this size."""
    return max(1, math.floor(DOWN_SHARE * pool_hosts))


def batch_hosts(
    pool_hosts: int,
    required: int,
    contract: service.PoolContract,
    prefer: service.Preference,
) -> int:
    """Returns the maximum number of hosts away for a wave at a time.

    Args:
        pool_hosts: Hosts of the pool.
        required: Hosts that have to stay SERVING.
        contract: What the pool promises.
        prefer: Which measure the site prefers.

    Returns:
        For roll-out time, all hosts that the promise allows; for buffer cost,
        the fewest that end the wave in half of its lead time. A spare pool
        keeps half of its hosts for failures.
    """
    allowed = max(0, pool_hosts - required)
    if contract.spare:
        allowed = math.ceil(allowed / 2)
    if prefer is service.Preference.ROLL_OUT_TIME:
        return allowed
    lead_seconds = contract.maintenance_every_days * DAY_SECONDS * LEAD_SHARE
    host_seconds = pool_hosts * contract.maintenance_minutes * 60.0
    fewest = math.ceil(host_seconds / (lead_seconds * BUFFER_LEAD_SHARE))
    return min(allowed, max(1, fewest))
