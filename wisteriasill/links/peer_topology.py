"""Topology of the peer mesh: which members are linked."""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import operator

import xxhash

from wisteriasill.machines import member as members

FULL_MESH_MEMBERS = 12


def choose_relay(
    candidates: Iterable[members.Member], area: str
) -> members.Member | None:
    """Chooses the member that links an area with other areas.

    The choice uses rendezvous hashing: members with the same candidates make
    the same choice, and the loss of a member affects only its own areas.

    Args:
        candidates: Members of the area.
        area: Name of the zone or region.

    Returns:
        The member, or None without candidates. A leaving member is chosen
        only if all candidates are leaving.
    """
    return max(
        candidates,
        key=lambda member: (
            not member.leaving,
            xxhash.xxh3_64_intdigest(f"{area}\0{member.member_id}".encode()),
            member.member_id,
        ),
        default=None,
    )


def _relays_by_zone(
    live_members: Iterable[members.Member],
) -> dict[tuple[str, str], members.Member]:
    area = operator.attrgetter("region", "availability_zone")
    groups = itertools.groupby(sorted(live_members, key=area), key=area)
    relays = {key: choose_relay(group, "/".join(key)) for key, group in groups}
    return {key: relay for key, relay in relays.items() if relay is not None}


def _relays_by_region(
    zone_relays: Iterable[members.Member],
) -> dict[str, members.Member]:
    region = operator.attrgetter("region")
    groups = itertools.groupby(sorted(zone_relays, key=region), key=region)
    relays = {name: choose_relay(group, name) for name, group in groups}
    return {name: relay for name, relay in relays.items() if relay is not None}


def peers_to_connect(
    self_member: members.Member, live_members: Iterable[members.Member]
) -> frozenset[str]:
    """Chooses the peers that a member is linked with.

    The relation is symmetric for members with the same view. A site of up to
    `FULL_MESH_MEMBERS` members is a full mesh. In a larger site, each member
    is linked with the members of its zone. In addition, the relay of a zone
    is linked with the relays of the other zones in its region, and the relay
    of a region, which is one of its zone relays, with the relays of the other
    regions.

    Args:
        self_member: The member that chooses.
        live_members: Live members, with or without `self_member`.

    Returns:
        Ids of the peers.
    """
    members_by_id = {member.member_id: member for member in live_members}
    members_by_id[self_member.member_id] = self_member
    others = [
        member for member in members_by_id.values() if member != self_member
    ]
    if len(members_by_id) <= FULL_MESH_MEMBERS:
        return frozenset(member.member_id for member in others)
    own_area = (self_member.region, self_member.availability_zone)
    by_zone = _relays_by_zone(members_by_id.values())
    by_region = _relays_by_region(by_zone.values())
    peer_ids = {
        member.member_id
        for member in others
        if (member.region, member.availability_zone) == own_area
    }
    if by_zone[own_area] == self_member:
        peer_ids |= {
            relay.member_id
            for (region, _), relay in by_zone.items()
            if region == self_member.region
        }
    if by_region[self_member.region] == self_member:
        peer_ids |= {relay.member_id for relay in by_region.values()}
    return frozenset(peer_ids - {self_member.member_id})
