"""Computes the capacity and maintenance figures of a service file."""

from __future__ import annotations

import math
from typing import NamedTuple

from wisteriasill.contracts import availability
from wisteriasill.contracts import service as services
from wisteriasill.contracts import wave_limits

PEAK_FACTOR = 5  # Demand peaks at about five times its mean.


class Figures(NamedTuple):
    """Figures of a service for an operator's planning.

    Attributes:
        buffer_hosts: Hosts beyond the promise, for planned operations.
        batch_hosts: Hosts that a maintenance wave takes away at a time.
        rounds: Batches of a full maintenance round if hosts return in time.
        round_minutes: Minimum duration of a full round.
        slots: Requests that run concurrently on all hosts.
        slots_in_maintenance: The same while a batch is away.
        carried_mean: Highest mean number of busy slots at which a peak of
            five times the mean needs no queue while all hosts serve.
        carried_mean_in_maintenance: The same while a batch is away.
    """

    buffer_hosts: int
    batch_hosts: int
    rounds: int
    round_minutes: float
    slots: int
    slots_in_maintenance: int
    carried_mean: float
    carried_mean_in_maintenance: float


def drain_seconds(service: services.Service) -> float:
    """Returns the maximum time for which a draining host has requests."""
    longest_ms = max(
        (request.deadline_ms for request in service.requests), default=0
    )
    return availability.NOTICE_SECONDS + math.ceil(longest_ms / 1000)


def compute_figures(
    service: services.Service, prefer: services.Preference
) -> Figures:
    """Computes the figures of a service.

    Args:
        service: The service.
        prefer: Which measure its site prefers.

    Returns:
        The figures.
    """
    pool = service.pool
    batch = wave_limits.batch_hosts(
        pool.hosts, pool.hosts_always_usable, pool, prefer
    )
    rounds = _rounds(pool.hosts, batch)
    minutes = pool.maintenance_minutes + drain_seconds(service) / 60
    slots = pool.hosts * pool.slots_per_host
    remaining_slots = (pool.hosts - batch) * pool.slots_per_host
    return Figures(
        buffer_hosts=max(pool.hosts - pool.hosts_always_usable, 0),
        batch_hosts=batch,
        rounds=rounds,
        round_minutes=rounds * minutes,
        slots=slots,
        slots_in_maintenance=remaining_slots,
        carried_mean=slots / PEAK_FACTOR,
        carried_mean_in_maintenance=remaining_slots / PEAK_FACTOR,
    )


def _rounds(hosts: int, batch: int) -> int:
    """Counts batches: one host first, then one more for each returned host."""
    done = rounds = 0
    while done < hosts and batch > 0:
        done += min(batch, 1 + done)
        rounds += 1
    return rounds


def format_minutes(minutes: float) -> str:
    """Formats a duration in hours and minutes."""
    whole_minutes = math.ceil(minutes)
    if whole_minutes < 60:
        return f"{whole_minutes} min"
    hours, rest = divmod(whole_minutes, 60)
    return f"{hours} h {rest} min" if rest else f"{hours} h"


def compare(
    old: services.Service | None,
    new: services.Service,
    prefer: services.Preference,
) -> list[str]:
    """Describes the effects of a change of a service.

    Args:
        old: The service in force; None for a new one.
        new: The service after the change.
        prefer: Which measure the site prefers.

    Returns:
        One line for each of the three measures and each effect on callers
        that changes.
    """
    after = _effects(new, prefer)
    if old is None:
        moves = new.pool.hosts
        lines = [f"{label}: {value}" for label, value in after.items()]
    else:
        moves = abs(new.pool.hosts - old.pool.hosts)
        before = _effects(old, prefer)
        lines = [
            f"{label}: {before.get(label, 'none')} -> "
            f"{after.get(label, 'none')}"
            for label in (*before, *(key for key in after if key not in before))
            if before.get(label) != after.get(label)
        ]
    return [*lines, f"host moves: {moves}"]


def _effects(
    service: services.Service, prefer: services.Preference
) -> dict[str, str]:
    figures = compute_figures(service, prefer)
    effects = {
        "buffer cost": f"{figures.buffer_hosts} of {service.pool.hosts} hosts",
        "roll-out time": f"{format_minutes(figures.round_minutes)} with "
        f"{figures.batch_hosts} away at a time"
        if figures.batch_hosts
        else "never, no host may leave",
        "requests at once": f"{figures.slots}, "
        f"{figures.slots_in_maintenance} in maintenance",
    }
    for request in service.requests:
        never = request.repeat is services.Repeat.NEVER
        effects[f"class {request.name}"] = (
            f"{'never repeated' if never else 'may be repeated'}, "
            f"{'urgent, ' if request.urgent else ''}"
            f"deadline {request.deadline_ms} ms"
        )
    for job in service.jobs:
        effects[f"job {job.name}"] = (
            f"{job.copies} x {job.cores:g} cores, {job.memory_gib:g} GiB"
        )
    return effects
