"""Liveness of members, from heartbeats in their rows and from peer links."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wisteriasill.links import platform as platforms
from wisteriasill.machines import member as members

HEARTBEAT_SECONDS = 5.0
# Consecutive polls or heartbeats that a live member may miss.
_MISSED_HEARTBEATS = 3
# A broken link is redialled after 0.1 s; its member counts as live meanwhile.
# With the 2 s of silence after which a link is closed, this stays below the 3 s
# in which a crash or a pause must be detected.
_REDIAL_GRACE_SECONDS = 0.5
# A row may appear before the first link to its member, and after a pause of
# this process all links are dialled again.
_FIRST_LINK_GRACE_SECONDS = 2.5
REMOVE_AFTER_SECONDS = 60.0


class PeerObservation(NamedTuple):
    """State of another member as observed by this process.

    Attributes:
        member: The last row.
        version: Version of that row.
        unchanged_seconds: Time without a new heartbeat, counting only time in
            which polls succeeded.
        written_after: Lower bound on this process's clock of the time at
            which the last heartbeat was written; None if it may be older than
            the first poll.
        link_lost_since: Time since when its link is missing; None while the
            link is up.
        grace_seconds: Time for which a missing link is tolerated.
        said_goodbye: Whether it announced its shutdown by a goodbye message.
    """

    member: members.Member
    version: int
    unchanged_seconds: float = 0.0
    written_after: float | None = None
    link_lost_since: float | None = None
    grace_seconds: float = _FIRST_LINK_GRACE_SECONDS
    said_goodbye: bool = False


class Poll(NamedTuple):
    """A successful poll of the members table.

    Attributes:
        rows: The rows with their members.
        began_at: Time at which the poll was sent.
        previous_began_at: Time at which the previous successful poll was sent;
            None for the first one.
        longest_seconds: Longest time that is counted between two polls, so that
            an outage of the store or a pause of this process doesn't make
            members seem dead.
    """

    rows: tuple[tuple[platforms.Row, members.Member], ...]
    began_at: float
    previous_began_at: float | None
    longest_seconds: float


def _observed_unchanged(
    known: PeerObservation, poll: Poll, row: platforms.Row
) -> PeerObservation:
    if row.version > known.version:
        return known
    elapsed_seconds = poll.began_at - (poll.previous_began_at or poll.began_at)
    return known._replace(
        unchanged_seconds=known.unchanged_seconds
        + min(elapsed_seconds, poll.longest_seconds)
    )


def _observed(
    known: PeerObservation | None,
    poll: Poll,
    row: platforms.Row,
    member: members.Member,
) -> PeerObservation:
    restarted = known and known.member.incarnation != member.incarnation
    if known is None or restarted:
        return PeerObservation(
            member, row.version, link_lost_since=poll.began_at
        )
    if row.version <= known.version:
        return _observed_unchanged(known, poll, row)
    return known._replace(
        member=member,
        version=row.version,
        unchanged_seconds=0.0,
        written_after=poll.previous_began_at,
    )


def apply_poll(
    observations: Mapping[str, PeerObservation], poll: Poll
) -> dict[str, PeerObservation]:
    """Applies the rows of a poll.

    Args:
        observations: Observations by member id.
        poll: The poll.

    Returns:
        The updated observations. A member without a row is dropped unless it is
        connected, because a stale read of the table may lack a new row.
    """
    connected = {
        member_id: known
        for member_id, known in observations.items()
        if known.link_lost_since is None
    }
    return connected | {
        member.member_id: _observed(
            observations.get(member.member_id), poll, row, member
        )
        for row, member in poll.rows
    }


def apply_links(
    observations: Mapping[str, PeerObservation],
    connected: frozenset[str],
    now: float,
    paused: bool,
) -> dict[str, PeerObservation]:
    """Applies the state of the links to peers.

    Args:
        observations: Observations by member id.
        connected: Peers whose link is up.
        now: Time on this process's clock.
        paused: Whether this process was paused, which breaks its links
            without a fault of the peers.

    Returns:
        The updated observations.
    """

    def updated(known: PeerObservation) -> PeerObservation:
        if known.member.member_id in connected:
            return known._replace(
                link_lost_since=None, grace_seconds=_REDIAL_GRACE_SECONDS
            )
        if paused:
            return known._replace(
                link_lost_since=now, grace_seconds=_FIRST_LINK_GRACE_SECONDS
            )
        if known.link_lost_since is None:
            return known._replace(link_lost_since=now)
        return known

    return {key: updated(known) for key, known in observations.items()}


def is_live(
    known: PeerObservation, linked: bool, now: float, stale_seconds: float
) -> bool:
    """Returns whether a member counts as live.

    Args:
        known: Observation of the member.
        linked: Whether the topology includes a link to it.
        now: Time on this process's clock.
        stale_seconds: Age above which a heartbeat is stale.

    Returns:
        True if its link is up or within its grace period, or if a heartbeat
        was written after the link was lost. Without a link in the topology,
        whether its heartbeat is fresh.
    """
    if known.said_goodbye:
        return False
    if known.link_lost_since is None:
        return True
    heartbeat_fresh = known.unchanged_seconds < stale_seconds
    if not linked:
        return heartbeat_fresh
    if now - known.link_lost_since < known.grace_seconds:
        return True
    written_after = known.written_after
    return (
        heartbeat_fresh
        and written_after is not None
        and written_after > known.link_lost_since
    )


def stale_seconds(poll_seconds: float) -> float:
    """Returns the age above which a heartbeat is stale."""
    return _MISSED_HEARTBEATS * max(HEARTBEAT_SECONDS, poll_seconds)


def rows_to_remove(
    observations: Mapping[str, PeerObservation],
    live: Iterable[str],
    own_id: str,
) -> tuple[PeerObservation, ...]:
    """Selects the rows of dead members that this member removes.

    Args:
        observations: Observations by member id.
        live: Ids of live members.
        own_id: This member.

    Returns:
        Rows without a heartbeat for `REMOVE_AFTER_SECONDS` if this is the live
        member with the lowest id; for twice that time if it isn't.
    """
    live_ids = frozenset(live)
    is_lowest = own_id == min(live_ids, default=own_id)
    limit_seconds = REMOVE_AFTER_SECONDS * (1 if is_lowest else 2)
    return tuple(
        known
        for member_id, known in observations.items()
        if member_id not in live_ids
        and member_id != own_id
        and known.unchanged_seconds >= limit_seconds
    )
