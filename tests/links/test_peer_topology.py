"""Tests of which peers are linked."""

from __future__ import annotations

import itertools

import pytest

from tests.links import conftest
from wisteriasill.links import peer_topology
from wisteriasill.machines import member as members


def fleet(regions: int, zones: int, per_zone: int) -> list[members.Member]:
    return [
        conftest.member_of(f"e{r}-{z}-{n}", zone=f"z{z}", region=f"r{r}")
        for r, z, n in itertools.product(
            range(regions), range(zones), range(per_zone)
        )
    ]


@pytest.mark.parametrize(
    ("regions", "zones", "per_zone", "most_links"),
    [
        (1, 1, 1, 0),
        (1, 3, 4, 11),  # 12 members: full mesh.
        (1, 1, 13, 12),
        (1, 3, 10, 9 + 2),
        (4, 3, 20, 19 + 2 + 3),
    ],
)
def test_mesh_is_symmetric_connected_and_small(
    regions: int, zones: int, per_zone: int, most_links: int
) -> None:
    """The links must be symmetric, connect all members and stay few.

    With an asymmetric choice, both members of a pair wait for the other one
    to dial.
    """
    all_members = fleet(regions, zones, per_zone)
    peers = {
        member.member_id: peer_topology.peers_to_connect(member, all_members)
        for member in all_members
    }
    assert all(
        member_id in peers[peer]
        for member_id, chosen in peers.items()
        for peer in chosen
    )
    reached = {all_members[0].member_id}
    for _ in all_members:
        reached |= set().union(*(peers[member_id] for member_id in reached))
    assert reached == set(peers)
    assert max(len(chosen) for chosen in peers.values()) <= most_links


def test_lost_relay_is_replaced() -> None:
    """A zone whose relay is lost or leaving must get a new relay."""
    all_members = fleet(1, 2, 10)
    zone = all_members[:10]
    relay = peer_topology.choose_relay(zone, "r0/z0")
    assert relay is not None
    leaving = [member._replace(leaving=member == relay) for member in zone]
    successor = peer_topology.choose_relay(leaving, "r0/z0")
    assert successor is not None
    assert successor.member_id != relay.member_id
    remaining_members = [member for member in all_members if member != relay]
    peers = peer_topology.peers_to_connect(successor, remaining_members)
    assert any(peer.startswith("e0-1-") for peer in peers)
