"""Baseline planners of maintenance waves for comparison."""

from __future__ import annotations

from wisteriasill.contracts import maintenance
from wisteriasill.contracts import wave_plan
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites


def one_at_a_time(view: wave_plan.WaveView) -> wave_plan.WavePlan:
    """Maintains one host at a time, in order of host ids."""
    plan = wave_plan.plan(_without_safeguards(view))
    wave = _ignore_stop(plan.wave)
    if wave is None or _is_any_host_away(view):
        return wave_plan.WavePlan(wave)
    due = _due_hosts(view, wave)
    if not due or not view.budget.spare:
        return wave_plan.WavePlan(wave)
    return _start_drains(wave, due[:1])


class FixedRacks:
    """Maintains one rack at a time and ignores availability budgets."""

    def __init__(self, site: sites.Site) -> None:
        self._site = site

    def __call__(self, view: wave_plan.WaveView) -> wave_plan.WavePlan:
        """Plans the next step of one pool: its hosts in the current rack."""
        plan = wave_plan.plan(_without_safeguards(view))
        wave = _ignore_stop(plan.wave)
        if wave is None:
            return wave_plan.WavePlan(None)
        due = _due_hosts(view, wave)
        rack = self._current_rack(view, wave)
        leaving = [host for host in due if host.rack == rack]
        return (
            _start_drains(wave, leaving)
            if leaving
            else wave_plan.WavePlan(wave)
        )

    def _current_rack(
        self, view: wave_plan.WaveView, wave: maintenance.Wave
    ) -> str:
        """Returns the rack in progress, or the first one with a due host."""
        all_hosts = [
            host
            for pool in self._site.snapshot.hosts_by_pool.values()
            for host in pool
        ]
        racks_in_progress = {
            host.rack
            for host in all_hosts
            if host.wave and host.state is not hosts.HostState.SERVING
        }
        due = {
            host.rack
            for host in all_hosts
            if wave_plan.is_due(host, wave.started_at, view.contract)
        }
        return min(racks_in_progress or due, default="")


def _without_safeguards(view: wave_plan.WaveView) -> wave_plan.WaveView:
    """Hides the state that these planners ignore."""
    return view._replace(
        missing=frozenset(),
        canary_waits=False,
        contract=view.contract._replace(spare=False),
    )


def _ignore_stop(wave: maintenance.Wave | None) -> maintenance.Wave | None:
    """Continues a stopped wave, as these planners have no stops."""
    if wave is None or wave.state is not maintenance.WaveState.STOPPED:
        return wave
    return wave._replace(state=maintenance.WaveState.RUNNING, reason="")


def _is_any_host_away(view: wave_plan.WaveView) -> bool:
    return any(
        host.wave and host.state is not hosts.HostState.SERVING
        for host in view.hosts
    )


def _due_hosts(
    view: wave_plan.WaveView, wave: maintenance.Wave
) -> list[hosts.Host]:
    if wave.state is not maintenance.WaveState.RUNNING:
        return []
    return [
        host
        for host in view.hosts
        if host.state is hosts.HostState.SERVING
        and wave_plan.is_due(host, wave.started_at, view.contract)
    ]


def _start_drains(
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
