"""Checks that a configuration change leaves pools the hosts they promise."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
import itertools
from typing import NamedTuple

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import maintenance
from wisteriasill.contracts import pool_revision
from wisteriasill.contracts import service as services
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts

ACTIVE_WAVES = frozenset(
    {
        maintenance.WaveState.RUNNING,
        maintenance.WaveState.STOPPED,
        maintenance.WaveState.PAUSED,
    }
)


class PoolUse(NamedTuple):
    """Hosts of a pool and how many of them are usable.

    Attributes:
        held: Number of hosts of the pool.
        serving: Number of them that accept new work.
        wave: Number of the active wave with hosts away; 0 for none.
        wave_away: Number of hosts that are away for this wave.
    """

    held: int
    serving: int
    wave: int = 0
    wave_away: int = 0


def tightened_pools(
    old_by_name: Mapping[str, services.Service],
    new_by_name: Mapping[str, services.Service],
) -> tuple[str, ...]:
    """Returns the pools that lose hosts or promise more than before."""
    return tuple(
        sorted(
            name
            for name, old in old_by_name.items()
            if name not in new_by_name
            or new_by_name[name].pool.hosts < old.pool.hosts
            or new_by_name[name].pool.hosts_always_usable
            > old.pool.hosts_always_usable
        )
    )


def check_pool(
    name: str, pool: services.PoolContract | None, use: PoolUse
) -> str:
    """Checks one pool's new promise against its hosts.

    Args:
        name: Name of the pool.
        pool: Its new contract; None if it is removed.
        use: Its current hosts.

    Returns:
        Why the promise can't be kept and which numbers could; empty if it
        can be kept.
    """
    if use.held == 0:
        return ""
    if pool is None:
        return (
            f'pool "{name}" still holds {use.held} hosts; publish hosts = 0 '
            "for it first, so that they move to the spare pool"
        )
    away = use.held - use.serving
    usable = min(use.serving, max(pool.hosts - away, 0))
    if usable >= pool.hosts_always_usable:
        return ""
    wave = (
        f", {use.wave_away} of them in maintenance wave {use.wave}"
        if use.wave_away
        else ""
    )
    alternatives = [f"hosts_always_usable = {usable}"]
    if use.serving >= pool.hosts_always_usable:
        alternatives.append(f"hosts = {pool.hosts_always_usable + away}")
    return (
        f'pool "{name}" with hosts = {pool.hosts} and hosts_always_usable = '
        f"{pool.hosts_always_usable} would have {usable} usable hosts now "
        f"({away} of {use.held} are away{wave}); "
        f"{' or '.join(alternatives)} would do now, or publish again when the "
        "hosts are back"
    )


def check_change(
    platform_: platform.Platform,
    old_by_name: Mapping[str, services.Service],
    new_by_name: Mapping[str, services.Service],
) -> result.Result[tuple[platform.Condition, ...], errors.Failure]:
    """Checks all pools whose promise is harder to keep after a change.

    Args:
        platform_: The platform.
        old_by_name: Services in force.
        new_by_name: Services after the change.

    Returns:
        Conditions for the transaction that publishes the change, which fails
        if hosts have changed since the check; or CAPACITY_PROMISE.
    """
    names = tightened_pools(old_by_name, new_by_name)
    if not names:
        return result.Success(())
    match platform_.table.scan(hosts.TABLE):
        case result.Success(rows):
            rows_by_pool = _rows_by_pool(rows, names)
        case result.Failure(failure):
            return result.Failure(failure)
    conditions = [
        platform.Condition(row.table, row.key, row.version)
        for row in itertools.chain.from_iterable(rows_by_pool.values())
    ]
    for name in names:
        checked = _check_pool_rows(
            platform_, name, new_by_name.get(name), rows_by_pool.get(name, ())
        )
        match checked:
            case result.Success(condition):
                conditions.append(condition)
            case result.Failure(failure):
                return result.Failure(failure)
    return result.Success(tuple(conditions))


def _rows_by_pool(
    rows: Iterable[platform.Row], names: Sequence[str]
) -> dict[str, list[platform.Row]]:
    rows_by_pool: dict[str, list[platform.Row]] = {}
    for row in rows:
        pool = str(row.value.get("pool", ""))
        if pool in names:
            rows_by_pool.setdefault(pool, []).append(row)
    return rows_by_pool


def _check_pool_rows(
    platform_: platform.Platform,
    name: str,
    service: services.Service | None,
    rows: Sequence[platform.Row],
) -> result.Result[platform.Condition, errors.Failure]:
    match platform_.table.read(pool_revision.TABLE, name):
        case result.Success(revision):
            version = 0 if revision is None else revision.version
        case result.Failure(failure):
            return result.Failure(failure)
    match _active_wave(platform_, name):
        case result.Success(wave):
            pass
        case result.Failure(failure):
            return result.Failure(failure)
    serving = sum(
        row.value.get("state") == hosts.HostState.SERVING for row in rows
    )
    use = PoolUse(len(rows), serving)
    if wave is not None:
        use = use._replace(wave=wave.number, wave_away=len(wave.hosts_away))
    detail = check_pool(name, None if service is None else service.pool, use)
    if detail:
        return result.Failure(
            errors.failure(errors.ErrorKind.CAPACITY_PROMISE, detail)
        )
    return result.Success(
        platform.Condition(pool_revision.TABLE, name, version)
    )


def _active_wave(
    platform_: platform.Platform, pool: str
) -> result.Result[maintenance.Wave | None, errors.Failure]:
    match platform_.table.scan(maintenance.TABLE, f"{pool}/"):
        case result.Failure(failure):
            return result.Failure(failure)
        case result.Success(rows):
            decoded = [
                documents.decode(maintenance.Wave, row.value).value_or(None)
                for row in rows
            ]
    active = [
        wave
        for wave in decoded
        if wave is not None and wave.state in ACTIVE_WAVES and wave.hosts_away
    ]
    return result.Success(
        max(active, key=lambda wave: wave.number, default=None)
    )
