"""The next step of a pool's maintenance wave.

Used by entry hosts; nodes use `host_moves` instead.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
import itertools
from typing import NamedTuple

from wisteriasill.contracts import availability
from wisteriasill.contracts import maintenance
from wisteriasill.contracts import service
from wisteriasill.contracts import wave_limits
from wisteriasill.machines import host as hosts

MAX_NAMED_HOSTS = 8
_AWAY_STATES = (
    hosts.HostState.DRAINING,
    hosts.HostState.REBOOTING,
    hosts.HostState.JOINING,
)


class WaveView(NamedTuple):
    """The input of a wave's planning.

    Attributes:
        pool: The pool.
        hosts: Its hosts, ordered by id.
        missing: Ids of hosts that have been away for longer than the limit.
        contract: What the pool promises.
        prefer: Which measure the site prefers.
        budget: Current availability budget, with the forecast demand.
        wave: The current wave; None if there was none.
        wall_seconds: Unix time.
        canary_waits: Whether the wave of the spare pool, which is the canary,
            has stopped or has not returned a host yet.
    """

    pool: str
    hosts: Sequence[hosts.Host]
    missing: frozenset[str]
    contract: service.PoolContract
    prefer: service.Preference
    budget: availability.Budget
    wave: maintenance.Wave | None
    wall_seconds: float
    canary_waits: bool = False


class WavePlan(NamedTuple):
    """The next step of a wave.

    Attributes:
        wave: The updated wave; None if there is none yet.
        leaving: Updated rows of the hosts that start to drain.
    """

    wave: maintenance.Wave | None
    leaving: tuple[hosts.Host, ...] = ()


Planner = Callable[[WaveView], WavePlan]


def wave_key(wave: maintenance.Wave) -> str:
    """Returns the key of a wave's row; keys sort by wave number."""
    return f"{wave.pool}/{wave.number:06d}"


def plan(view: WaveView) -> WavePlan:
    """Plans the next step of a pool's maintenance.

    Args:
        view: The input of the planning.

    Returns:
        The wave to store and the hosts that leave now.
    """
    wave = view.wave
    if wave is None or wave.state is maintenance.WaveState.FINISHED:
        return WavePlan(_start(view, 1 if wave is None else wave.number + 1))
    if wave.state is maintenance.WaveState.PAUSED:
        return WavePlan(_with_counts(wave, view))
    wave = _with_state(_with_counts(wave, view), view)
    if wave.state is not maintenance.WaveState.RUNNING:
        return WavePlan(wave)
    leaving = tuple(
        host._replace(
            state=hosts.HostState.DRAINING,
            reason=f"maintenance wave {wave.number}",
            wave=wave_key(wave),
        )
        for host in _choose(wave, view)
    )
    away = tuple(
        sorted({*wave.hosts_away, *(host.host_id for host in leaving)})
    )
    return WavePlan(wave._replace(hosts_away=away), leaving)


def is_due(
    host: hosts.Host,
    started_at: float,
    contract: service.PoolContract,
) -> bool:
    """Returns whether a wave has to maintain a host.

    Args:
        host: The host.
        started_at: Unix time when the wave started.
        contract: What the pool promises.

    Returns:
        Whether its last maintenance was at least half a period earlier.
    """
    period_seconds = contract.maintenance_every_days * wave_limits.DAY_SECONDS
    return (
        host.maintained_at
        <= started_at - wave_limits.RECENT_SHARE * period_seconds
    )


def batch_size(view: WaveView) -> int:
    """Returns the maximum number of hosts away for a wave at a time.

    Args:
        view: The input of the planning.

    Returns:
        As `wave_limits.batch_hosts`.
    """
    return wave_limits.batch_hosts(
        len(view.hosts), view.budget.required, view.contract, view.prefer
    )


def _start(view: WaveView, number: int) -> maintenance.Wave | None:
    """Returns a new wave if a host is due soon, else the previous wave."""
    period_seconds = (
        view.contract.maintenance_every_days * wave_limits.DAY_SECONDS
    )
    oldest = min(
        (
            host.maintained_at
            for host in view.hosts
            if host.state is not hosts.HostState.DOWN
        ),
        default=view.wall_seconds,
    )
    start_at = oldest + (1 - wave_limits.LEAD_SHARE) * period_seconds
    if view.contract.spare:
        start_at -= wave_limits.SPARE_LEAD_SECONDS
    if view.wall_seconds < start_at:
        return view.wave
    wave = maintenance.Wave(
        view.pool, number, maintenance.WaveState.RUNNING, view.wall_seconds, 0
    )
    return _with_counts(wave, view)


def _with_counts(wave: maintenance.Wave, view: WaveView) -> maintenance.Wave:
    """Recounts the wave's hosts from the host rows."""
    key = wave_key(wave)
    away = tuple(
        host.host_id
        for host in view.hosts
        if host.wave == key and host.state is not hosts.HostState.SERVING
    )
    done = sum(
        1
        for host in view.hosts
        if host.maintained_at >= wave.started_at and host.host_id not in away
    )
    due = sum(
        1
        for host in view.hosts
        if is_due(host, wave.started_at, view.contract)
        and host.host_id not in away
    )
    return wave._replace(
        hosts_total=done + due + len(away), hosts_done=done, hosts_away=away
    )


def _with_state(wave: maintenance.Wave, view: WaveView) -> maintenance.Wave:
    """Returns the wave in its new state: stopped, running or finished."""
    stop_reason = _stop_reason(wave, view)
    if stop_reason:
        return wave._replace(
            state=maintenance.WaveState.STOPPED, reason=stop_reason
        )
    remaining_hosts = [
        host
        for host in view.hosts
        if host.state is not hosts.HostState.DOWN
        and (
            is_due(host, wave.started_at, view.contract)
            or host.host_id in wave.hosts_away
        )
    ]
    state = (
        maintenance.WaveState.RUNNING
        if remaining_hosts
        else maintenance.WaveState.FINISHED
    )
    waits = view.canary_waits and state is maintenance.WaveState.RUNNING
    return wave._replace(
        state=state,
        reason="waits for the wave of the spare pool" if waits else "",
    )


def _stop_reason(wave: maintenance.Wave, view: WaveView) -> str:
    """Returns why a wave must stop; empty if it may continue."""
    away = frozenset(wave.hosts_away)
    absent = [
        host.host_id
        for host in view.hosts
        if host.host_id not in wave.excused
        and (host.state is hosts.HostState.DOWN or host.host_id in view.missing)
    ]
    lost = [host_id for host_id in absent if host_id in away]
    if len(lost) > wave_limits.lost_limit(wave.hosts_done):
        return _describe_hosts("maintained hosts have not come back", lost)
    if len(absent) > wave_limits.down_limit(len(view.hosts)):
        return _describe_hosts("hosts are down", absent)
    return ""


def _describe_hosts(description: str, host_ids: Sequence[str]) -> str:
    """Returns the number of hosts and the first host ids as text."""
    more = ", ..." if len(host_ids) > MAX_NAMED_HOSTS else ""
    named = ", ".join(host_ids[:MAX_NAMED_HOSTS])
    return f"{len(host_ids)} {description}: {named}{more}"


def _choose(wave: maintenance.Wave, view: WaveView) -> tuple[hosts.Host, ...]:
    """Chooses the hosts that leave now.

    Hosts leave one zone at a time and, within it, one rack after another, so
    that few hosts are away when another failure domain is lost. The first host
    leaves alone, and each host that returns allows one more, so that
    maintenance that breaks hosts is noticed at the first ones.
    """
    away = [host for host in view.hosts if _is_away(host)]
    allowed_hosts = min(
        view.budget.spare,
        batch_size(view) - len(away),
        1 + wave.hosts_done - len(away),
    )
    due = [
        host
        for host in view.hosts
        if host.state is hosts.HostState.SERVING
        and is_due(host, wave.started_at, view.contract)
    ]
    if allowed_hosts <= 0 or not due or view.canary_waits:
        return ()
    blocking = [
        host
        for host in away
        if host.host_id not in wave.excused and host.wave == wave_key(wave)
    ]
    zones = {host.availability_zone for host in blocking}
    racks = {host.rack for host in blocking}
    if not zones:
        zones = {_first_zone(due)}
    candidates = sorted(
        (host for host in due if host.availability_zone in zones),
        key=lambda host: (host.rack not in racks, host.rack, host.host_id),
    )
    return tuple(itertools.islice(candidates, allowed_hosts))


def _is_away(host: hosts.Host) -> bool:
    return host.state in _AWAY_STATES


def _first_zone(due: Iterable[hosts.Host]) -> str:
    """Returns the zone of the host that was maintained longest ago."""
    oldest = min(
        due,
        key=lambda host: (
            host.maintained_at,
            host.availability_zone,
            host.rack,
        ),
    )
    return oldest.availability_zone
