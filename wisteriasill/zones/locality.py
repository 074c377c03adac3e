"""Groups targets by locality, as seen from an entry host."""

from __future__ import annotations

from collections.abc import Sequence
import itertools

from wisteriasill import settings as settings_module
from wisteriasill.machines import host as hosts


def groups(
    settings: settings_module.EntrySettings,
    candidates: Sequence[hosts.Host],
    tried: Sequence[hosts.Host],
) -> list[list[hosts.Host]]:
    """Groups targets in order of preference.

    Args:
        settings: Settings of this entry host, with its zone and region.
        candidates: Targets that may be used.
        tried: Targets that this request was already sent to.

    Returns:
        Groups of equal preference: first by whether the zone is untried, then
        by whether the target is in this region, then in this zone.
    """
    tried_zones = {host.availability_zone for host in tried}

    def distance(host: hosts.Host) -> tuple[bool, bool, bool]:
        return (
            host.availability_zone in tried_zones,
            host.region != settings.region,
            host.availability_zone != settings.availability_zone,
        )

    ordered = sorted(candidates, key=distance)
    return [list(group) for _, group in itertools.groupby(ordered, distance)]
