"""Sizes and limits of maintenance waves that follow from a contract."""

from __future__ import annotations

import math

from wisteriasill.contracts import service

DAY_SECONDS = 86_400.0
# A wave starts this share of the period ahead of the first due date, which
# leaves a week of 28 days for stops and for operators who come back.
LEAD_SHARE = 0.25
# The spare pool starts earlier by this time, and other pools wait until its
# first host is back: its hosts carry no requests, so maintenance that breaks
# hosts is noticed there first.
SPARE_LEAD_SECONDS = 600.0
# Hosts maintained within this share of the period are left to the next wave.
FRESH_SHARE = 0.5
# A wave that saves buffer takes no longer than this share of the lead.
BUFFER_LEAD_SHARE = 0.5
# A host is missing after this many times its expected time away.
OVERDUE_FACTOR = 2.0
# A wave stops when more of its hosts are lost than this share of those that
# came back: at the first one in a small pool, later in a large one, which
# loses hosts for other reasons as well.
LOST_SHARE = 0.1
# It also stops while more hosts are down, for whatever reason, than this share
# of the pool, and never for a single one.
DOWN_SHARE = 0.1


def overdue_seconds(contract: service.PoolContract) -> float:
    """Returns after how long in one state a host counts as missing."""
    return OVERDUE_FACTOR * contract.maintenance_minutes * 60.0


def lost_limit(hosts_done: int) -> int:
    """Returns how many lost hosts a wave bears after some have returned."""
    return math.floor(LOST_SHARE * hosts_done)


def down_limit(pool_hosts: int) -> int:
    """Returns how many down hosts a wave of a pool of a size bears."""
    return max(1, math.floor(DOWN_SHARE * pool_hosts))


def batch_hosts(
    pool_hosts: int,
    required: int,
    contract: service.PoolContract,
    prefer: service.Preference,
) -> int:
    """Returns the batch size of a pool with a number of hosts.

    Args:
        pool_hosts: Hosts of the pool.
        required: Hosts that must stay SERVING.
        contract: What the pool promises.
        prefer: Which measure the site weighs most.

    Returns:
        As `batch_size`.
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
