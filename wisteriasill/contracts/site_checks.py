"""Consistency checks between the services of a site."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
import itertools

from wisteriasill.contracts import service as services
from wisteriasill.contracts import service_checks as checks


def check_all(
    site: services.SiteContract | None,
    services_by_name: Mapping[str, services.Service],
) -> tuple[checks.Finding, ...]:
    """Checks a whole configuration.

    Args:
        site: The site's contract; None if it could not be read.
        services_by_name: All services.

    Returns:
        Errors and warnings.
    """
    all_services = tuple(services_by_name.values())
    return tuple(
        itertools.chain(
            itertools.chain.from_iterable(
                map(checks.check_service, all_services)
            ),
            _check_prefixes(all_services),
            _check_spare(all_services),
            () if site is None else _check_quotas(site, all_services),
        )
    )


def _check_prefixes(
    all_services: tuple[services.Service, ...],
) -> Iterator[checks.Finding]:
    with_prefix = sorted(
        (service for service in all_services if service.path_prefix),
        key=lambda service: (service.path_prefix, service.name),
    )
    for outer, inner in itertools.combinations(with_prefix, 2):
        if f"{inner.path_prefix}/".startswith(f"{outer.path_prefix}/"):
            yield checks.Finding(
                inner.name,
                ("service", "path_prefix"),
                inner.path_prefix,
                f'overlaps "{outer.path_prefix}" of service "{outer.name}"',
            )


def _check_spare(
    all_services: tuple[services.Service, ...],
) -> Iterator[checks.Finding]:
    spare = sorted(
        service.name for service in all_services if service.pool.spare
    )
    for name in spare[1:]:
        yield checks.Finding(
            name,
            ("pool", "spare"),
            True,
            f'"{spare[0]}" is the spare pool already; a site has one',
        )


def _check_quotas(
    site: services.SiteContract, all_services: tuple[services.Service, ...]
) -> Iterator[checks.Finding]:
    teams = {service.team for service in all_services}
    seen: set[str] = set()
    for index, quota in enumerate(site.quotas):
        key_path = ("quota", index, "team")
        if quota.team in seen:
            yield checks.Finding(
                "site", key_path, quota.team, "has a quota already"
            )
        elif quota.team not in teams:
            yield checks.Finding(
                "site",
                key_path,
                quota.team,
                "no service belongs to this team"
                + checks.suggest(quota.team, teams),
            )
        seen.add(quota.team)
    for service in all_services:
        if service.jobs and service.team not in seen:
            yield checks.Finding(
                service.name,
                ("service", "team"),
                service.team,
                "has jobs but no [[quota]] in site.toml, so no upper bound",
                is_error=False,
            )
