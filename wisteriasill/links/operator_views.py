"""Documents about the site for operators, without any transport."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from wisteriasill import documents
from wisteriasill.contracts import configuration as configurations
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

TOPICS = ("hosts", "members", "configuration")


class PoolCounts(NamedTuple):
    """Current and promised host counts of a pool.

    Attributes:
        pool: Name of the pool.
        hosts: Hosts in the pool.
        hosts_promised: Hosts that the service file specifies.
        hosts_usable: Hosts that accept new work.
        hosts_always_usable: Hosts that must always be usable, as promised.
        hosts_by_state: Hosts by state, without states that have no hosts.
        hosts_spare: Hosts that may leave now.
        spare: Whether this is the spare pool.
    """

    pool: str
    hosts: int
    hosts_promised: int
    hosts_usable: int
    hosts_always_usable: int
    hosts_by_state: Mapping[str, int]
    hosts_spare: int
    spare: bool


def ages(site: sites.Site) -> dict[str, float | None]:
    """Returns the age of this view by topic; None if never confirmed."""
    age_by_topic = {topic: site.age_seconds(topic) for topic in TOPICS}
    return {
        topic: None if age is None else round(age, 3)
        for topic, age in age_by_topic.items()
    }


def pool_counts(snapshot: sites.SiteSnapshot) -> tuple[PoolCounts, ...]:
    """Counts the hosts of all pools, configured or not.

    Args:
        snapshot: This entry host's view of the site.

    Returns:
        Counts in order of the pool names.
    """
    configured = snapshot.configuration.services_by_name
    names = sorted({*configured, *snapshot.hosts_by_pool})
    return tuple(_count_hosts(snapshot, name) for name in names)


def _count_hosts(snapshot: sites.SiteSnapshot, name: str) -> PoolCounts:
    pool_hosts = snapshot.hosts_by_pool.get(name, ())
    service = snapshot.configuration.services_by_name.get(name)
    by_state = {
        state.value: sum(host.state is state for host in pool_hosts)
        for state in hosts.HostState
    }
    usable = by_state[hosts.HostState.SERVING.value]
    promised = 0 if service is None else service.pool.hosts_always_usable
    return PoolCounts(
        pool=name,
        hosts=len(pool_hosts),
        hosts_promised=0 if service is None else service.pool.hosts,
        hosts_usable=usable,
        hosts_always_usable=promised,
        hosts_by_state={
            state: count for state, count in by_state.items() if count
        },
        hosts_spare=max(usable - promised, 0),
        spare=service is not None and service.pool.spare,
    )


def status(
    snapshot: sites.SiteSnapshot, generations_by_member: Mapping[str, int]
) -> dict[str, Any]:
    """Builds the overview of the site.

    Args:
        snapshot: This entry host's view of the site.
        generations_by_member: Generation in force at each known member.

    Returns:
        JSON-serializable data.
    """
    configuration = snapshot.configuration
    return {
        "site": configuration.site.name,
        "prefer": configuration.site.prefer.value,
        "generation": configuration.generation,
        "pools": [documents.encode(counts) for counts in pool_counts(snapshot)],
        "members": [
            {
                "member_id": member.member_id,
                "availability_zone": member.availability_zone,
                "leaving": member.leaving,
                "generation": generations_by_member.get(member.member_id),
            }
            for member in sorted(snapshot.members_by_id.values())
        ],
    }


def host_rows(
    snapshot: sites.SiteSnapshot, pool: str = "", state: str = ""
) -> list[dict[str, Any]]:
    """Lists hosts.

    Args:
        snapshot: This entry host's view of the site.
        pool: Only hosts of this pool; empty for all.
        state: Only hosts in this state; empty for all.

    Returns:
        Host rows as JSON-serializable data, in order of pool and id.
    """
    return [
        _host_row(host)
        for name, pool_hosts in sorted(snapshot.hosts_by_pool.items())
        if pool in ("", name)
        for host in pool_hosts
        if state in ("", host.state.value)
    ]


def _host_row(host: hosts.Host) -> dict[str, Any]:
    row: dict[str, Any] = documents.encode(host)
    del row["token"]  # Only writers of the row need it, to compare writes.
    return row


def configuration_document(
    configuration: configurations.Configuration,
) -> dict[str, Any]:
    """Builds the document of a configuration with all its contracts."""
    contracts: dict[str, Any] = dict(configuration.services_by_name)
    if configurations.SITE_DOCUMENT in configuration.manifest.entries:
        contracts[configurations.SITE_DOCUMENT] = configuration.site
    return {
        "generation": configuration.generation,
        "documents": [
            {
                "name": name,
                **documents.encode(entry),
                "document": documents.encode(contracts.get(name)),
            }
            for name, entry in sorted(configuration.manifest.entries.items())
        ],
    }


def plan(snapshot: sites.SiteSnapshot) -> list[dict[str, Any]]:
    """Builds the maintenance plan of each configured pool.

    It contains the buffer cost, the roll-out time and the host moves.
    """
    rows = []
    for counts in pool_counts(snapshot):
        service = snapshot.configuration.services_by_name.get(counts.pool)
        if service is None:
            continue
        pool_hosts = snapshot.hosts_by_pool.get(counts.pool, ())
        away_at_once = max(counts.hosts - counts.hosts_always_usable, 0)
        rounds = -(-counts.hosts // away_at_once) if away_at_once else None
        minutes = service.pool.maintenance_minutes
        rows.append(
            {
                "pool": counts.pool,
                "hosts": counts.hosts,
                "hosts_away_at_once": away_at_once,
                "buffer_hosts": away_at_once,
                "roll_out_minutes": rounds and rounds * minutes,
                "host_moves": sum(bool(host.next_pool) for host in pool_hosts),
                "maintenance_every_days": service.pool.maintenance_every_days,
                "last_maintained_at": min(
                    (host.maintained_at for host in pool_hosts), default=0.0
                ),
            }
        )
    return rows
