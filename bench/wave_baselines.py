"""Plans of maintenance waves that the chosen one is compared with."""

from __future__ import annotations

from wisteriasill.contracts import maintenance
from wisteriasill.contracts import wave_plan
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites


def one_at_a_time(view: wave_plan.WaveView) -> wave_plan.WavePlan:
    """Maintains one host after the other, in order of their ids."""
    plan = wave_plan.plan(_blind(view))
    wave = _kept_running(plan.wave)
    if wave is None or _away(view):
        return wave_plan.WavePlan(wave)
    due = _due(view, wave)
    if not due or not view.budget.spare:
        return wave_plan.WavePlan(wave)
    return _leave(wave, due[:1])


class FixedRacks:
    """Maintains one rack after the other, whatever the pools promise."""

    def __init__(self, site: sites.Site) -> None:
        self._site = site

    def __call__(self, view: wave_plan.WaveView) -> wave_plan.WavePlan:
        """Plans the next step of one pool: its hosts of the site's rack."""
        plan = wave_plan.plan(_blind(view))
        wave = _kept_running(plan.wave)
        if wave is None:
            return wave_plan.WavePlan(None)
        due = _due(view, wave)
        rack = self._rack(view, wave)
        leaving = [host for host in due if host.rack == rack]
        return _leave(wave, leaving) if leaving else wave_plan.WavePlan(wave)

    def _rack(self, view: wave_plan.WaveView, wave: maintenance.Wave) -> str:
        """Returns the rack in work, or the first that has a due host."""
        every = [
            host
            for pool in self._site.snapshot.hosts_by_pool.values()
            for host in pool
        ]
        in_work = {
            host.rack
            for host in every
            if host.wave and host.state is not hosts.HostState.SERVING
        }
        due = {
            host.rack
            for host in every
            if wave_plan.is_due(host, wave.started_at, view.contract)
        }
        return min(in_work or due, default="")


def _blind(view: wave_plan.WaveView) -> wave_plan.WaveView:
    """Hides what these plans don't look at."""
    return view._replace(
        missing=frozenset(),
        canary_waits=False,
        contract=view.contract._replace(spare=False),
    )


def _kept_running(wave: maintenance.Wave | None) -> maintenance.Wave | None:
    """Undoes the stop of a wave, which these plans don't know."""
    if wave is None or wave.state is not maintenance.WaveState.STOPPED:
        return wave
    return wave._replace(state=maintenance.WaveState.RUNNING, reason="")


def _away(view: wave_plan.WaveView) -> bool:
    return any(
        host.wave and host.state is not hosts.HostState.SERVING
        for host in view.hosts
    )


def _due(view: wave_plan.WaveView, wave: maintenance.Wave) -> list[hosts.Host]:
    if wave.state is not maintenance.WaveState.RUNNING:
        return []
    return [
        host
        for host in view.hosts
        if host.state is hosts.HostState.SERVING
        and wave_plan.is_due(host, wave.started_at, view.contract)
    ]


def _leave(
    wave: maintenance.Wave, leaving: list[hosts.Host]
) -> wave_plan.WavePlan:
    key = wave_plan.wave_key(wave)
    return wave_plan.WavePlan(
        wave._replace(hosts_away=tuple(host.host_id for host in leaving)),
        tuple(
            host._replace(
                state=hosts.HostState.DRAINING,
                reason=f"maintenance wave {wave.number}",
                wave=key,
            )
            for host in leaving
        ),
    )
