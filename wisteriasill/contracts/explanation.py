"""Explains in sentences how the fleet treats a service."""

from __future__ import annotations

from typing import NamedTuple

from wisteriasill import settings as setting_types
from wisteriasill.contracts import consequences
from wisteriasill.contracts import fair_shares
from wisteriasill.contracts import retry
from wisteriasill.contracts import service as services
from wisteriasill.contracts import wave_limits

_QUEUE_LENGTH = setting_types.EntrySettings._field_defaults["queue_length"]


class Section(NamedTuple):
    """A heading with its sentences."""

    heading: str
    sentences: tuple[str, ...]


def explain(
    service: services.Service, site: services.SiteContract
) -> tuple[Section, ...]:
    """Explains a service file.

    Args:
        service: The service.
        site: Its site.

    Returns:
        Sections in the order of the file.
    """
    figures = consequences.compute_figures(service, site.prefer)
    sections = [
        Section("Hosts", _hosts(service)),
        Section("Maintenance", _maintenance(service, site, figures)),
    ]
    if service.requests:
        sections += [
            Section("Peaks", _peaks(service, figures)),
            Section("Requests", _requests(service)),
            Section("Rejections", _rejections(service)),
        ]
    if service.jobs:
        sections.append(Section("Jobs", _jobs(service, site)))
    return tuple(sections)


def _hosts(service: services.Service) -> tuple[str, ...]:
    pool = service.pool
    away = max(pool.hosts - pool.hosts_always_usable, 0)
    sentences = [
        f'Pool "{service.name}" of team "{service.team}" holds {pool.hosts} '
        f"hosts with {pool.cores_per_host:g} cores and "
        f"{pool.memory_gib_per_host:g} GiB each.",
        f"At least {pool.hosts_always_usable} stay usable, so maintenance, "
        f"drains and moves together take at most {pool.hosts} - "
        f"{pool.hosts_always_usable} = {away} away at once. A host that "
        "fails counts as away too: while it is missing, that many fewer may "
        "leave.",
    ]
    if pool.spare:
        sentences.append(
            "This is the spare pool: hosts that no other pool needs are kept "
            "here, and pools that lack hosts take them from here."
        )
    return tuple(sentences)


def _maintenance(
    service: services.Service,
    site: services.SiteContract,
    figures: consequences.Figures,
) -> tuple[str, ...]:
    pool = service.pool
    if not figures.batch_hosts:
        return ("No host may leave, so none is ever maintained.",)
    lead_days = wave_limits.LEAD_SHARE * pool.maintenance_every_days
    drain = consequences.drain_seconds(service)
    total = consequences.format_minutes(figures.round_minutes)
    return (
        f"Each host is maintained once every {pool.maintenance_every_days} "
        f"days. A round starts up to {lead_days:g} days before the first "
        "host is due.",
        f"The site prefers {site.prefer.value}, so up to "
        f"{figures.batch_hosts} of {pool.hosts} hosts are away at a time; "
        "the first one leaves alone, and each that returns allows one more.",
        f"A full round takes at least {figures.rounds} batches x "
        f"({pool.maintenance_minutes} min + {drain:g} s to drain) = {total}, "
        "longer if hosts return late or lie in several zones.",
        f"The round stops by itself when {_lost_hosts(pool.hosts)} not "
        f"returned after {wave_limits.overdue_seconds(pool) / 60:g} min, or "
        f"when more than {wave_limits.down_limit(pool.hosts)} of the pool's "
        "hosts are down.",
    )


def _lost_hosts(pool_hosts: int) -> str:
    lost = wave_limits.lost_limit(pool_hosts) + 1
    return "one of its hosts has" if lost == 1 else f"{lost} of its hosts have"


def _peaks(
    service: services.Service, figures: consequences.Figures
) -> tuple[str, ...]:
    pool = service.pool
    factor = consequences.PEAK_FACTOR
    mean = int(figures.carried_mean)
    mean_away = int(figures.carried_mean_in_maintenance)
    return (
        f"{pool.hosts} hosts x {pool.slots_per_host} slots run "
        f"{figures.slots} requests at once; "
        f"{figures.slots_in_maintenance} while {figures.batch_hosts} "
        "are in maintenance.",
        f"At {factor} times the mean nothing waits as long as the mean keeps "
        f"at most {mean} slots busy ({factor} x {mean} = {factor * mean} of "
        f"{figures.slots}), or {mean_away} in maintenance. With a higher mean "
        f"the slots stay full during the peak and up to {_QUEUE_LENGTH} "
        "requests wait at each entry host.",
        "Urgent classes go first, but at least one of "
        f"{fair_shares.URGENT_GRANTS_IN_A_ROW + 1} freed slots goes to the "
        "others; callers share the slots of a class equally.",
    )


def _requests(service: services.Service) -> tuple[str, ...]:
    return tuple(_request(service, request) for request in service.requests)


def _request(service: services.Service, request: services.RequestClass) -> str:
    path = service.path_prefix + ("" if request.path == "/" else request.path)
    start = (
        f'"{request.name}" ({" ".join(request.methods)} {path}...'
        f"{', urgent' if request.urgent else ''}): answered within "
        f"{request.deadline_ms / 1000:g} s or rejected"
    )
    if request.repeat is services.Repeat.NEVER:
        return (
            f"{start}; never repeated. The caller sends an Idempotency-Key; "
            "the request runs at most once for each key, and a second one "
            "with the same key gets the recorded answer."
        )
    return (
        f"{start}; may be repeated. If a worker fails, another one is tried, "
        f"{retry.MAX_ATTEMPTS} attempts at most, as long as repeats stay "
        f"near {retry.TOKENS_PER_REQUEST:.0%} of all requests."
    )


def _rejections(service: services.Service) -> tuple[str, ...]:
    shortest = min(request.deadline_ms for request in service.requests) / 1000
    longest = max(request.deadline_ms for request in service.requests) / 1000
    span = (
        f"{shortest:g} s"
        if shortest == longest
        else (f"{shortest:g} to {longest:g} s")
    )
    sentences = [
        f"503 overloaded: {_QUEUE_LENGTH} requests of the service wait at "
        "this entry host already, or the wait would outlast the deadline of "
        f"{span}. It was not executed; Retry-After says when to retry.",
        "503 no-capacity: no host of the pool takes requests.",
        "504 deadline-exceeded: the deadline passed; the answer says whether "
        "the request was executed.",
    ]
    if any(
        request.repeat is services.Repeat.NEVER for request in service.requests
    ):
        sentences.append(
            "503 store-unavailable: a request that is never repeated is "
            "rejected while the store is down, because its key can't be "
            "recorded. It was not executed."
        )
    return tuple(sentences)


def _jobs(
    service: services.Service, site: services.SiteContract
) -> tuple[str, ...]:
    sentences = [_job(service, job) for job in service.jobs]
    quota = next(
        (
            team_quota
            for team_quota in site.quotas
            if team_quota.team == service.team
        ),
        None,
    )
    if quota is not None:
        sentences.append(
            f'All jobs of team "{quota.team}" together hold at most '
            f"{quota.cores:g} cores, {quota.memory_gib:g} GiB and "
            f"{quota.accelerators} accelerators; the rest waits."
        )
    return tuple(sentences)


def _job(service: services.Service, job: services.JobContract) -> str:
    pool = service.pool
    tasks_per_host = int(
        min(
            pool.cores_per_host // job.cores,
            pool.memory_gib_per_host // job.memory_gib,
        )
    )
    copies = "1 task" if job.copies == 1 else f"{job.copies} tasks"
    stop = (
        "it has no checkpoints, so a stop loses all its work"
        if not job.checkpoint_minutes
        else f"a checkpoint every {job.checkpoint_minutes} min bounds what "
        "the loss of a host costs"
    )
    first = "; starts before other jobs" if job.urgent else ""
    return (
        f'"{job.name}": {copies} with {job.cores:g} cores and '
        f"{job.memory_gib:g} GiB for about {job.expected_hours:g} h, up to "
        f"{tasks_per_host} on one host{first}; {stop}."
    )
