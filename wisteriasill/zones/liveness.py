"""Which members are live, by their rows and by their links."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wisteriasill.links import platform as platforms
from wisteriasill.machines import member as members

BEAT_SECONDS = 5.0
# Polls and beats in a row that a live member may miss.
_MISSED_TURNS = 3
# A link that breaks is dialled again after 0.1 s; a member is not lost in
# between. With 2 s of silence this keeps below the 3 s in which a crash or a
# pause has to be noticed.
_REDIAL_GRACE_SECONDS = 0.5
# A row may appear before its member's first link, and after a pause of this
# process all links are made anew.
_FIRST_LINK_GRACE_SECONDS = 2.5
REMOVE_AFTER_SECONDS = 60.0


class Sighting(NamedTuple):
    """What this process knows of another member.

    Attributes:
        member: The last row.
        version: Version of that row.
        still_seconds: Time for which the beat has stood still, counting only
            time in which polls succeeded.
        written_after: A time on this process's clock after which the last
            beat was certainly written; None if it may be older than the
            first poll.
        missing_since: When its link was missed first; None while it is heard.
        grace_seconds: How long a missing link is overlooked.
        left: Whether it said goodbye.
    """

    member: members.Member
    version: int
    still_seconds: float = 0.0
    written_after: float | None = None
    missing_since: float | None = None
    grace_seconds: float = _FIRST_LINK_GRACE_SECONDS
    left: bool = False


class Poll(NamedTuple):
    """A successful poll of the members table.

    Attributes:
        rows: The rows with their members.
        began_at: When the poll was sent.
        previous_began_at: The same of the last successful poll before; None
            for the first one.
        longest_seconds: Most that is counted between two polls, so that an
            outage of the store or a pause of this process makes nobody dead.
    """

    rows: tuple[tuple[platforms.Row, members.Member], ...]
    began_at: float
    previous_began_at: float | None
    longest_seconds: float


def _seen_again(known: Sighting, poll: Poll, row: platforms.Row) -> Sighting:
    if row.version > known.version:
        return known
    elapsed_seconds = poll.began_at - (poll.previous_began_at or poll.began_at)
    return known._replace(
        still_seconds=known.still_seconds
        + min(elapsed_seconds, poll.longest_seconds)
    )


def _sighted(
    known: Sighting | None,
    poll: Poll,
    row: platforms.Row,
    member: members.Member,
) -> Sighting:
    restarted = known and known.member.incarnation != member.incarnation
    if known is None or restarted:
        return Sighting(member, row.version, missing_since=poll.began_at)
    if row.version <= known.version:
        return _seen_again(known, poll, row)
    return known._replace(
        member=member,
        version=row.version,
        still_seconds=0.0,
        written_after=poll.previous_began_at,
    )


def note_poll(
    sightings: Mapping[str, Sighting], poll: Poll
) -> dict[str, Sighting]:
    """Takes over the rows of a poll.

    Args:
        sightings: What is known, by member id.
        poll: The poll.

    Returns:
        What is known now. A member without a row is forgotten unless it is
        heard: an old read of the table may lack a new row.
    """
    heard = {
        member_id: known
        for member_id, known in sightings.items()
        if known.missing_since is None
    }
    return heard | {
        member.member_id: _sighted(
            sightings.get(member.member_id), poll, row, member
        )
        for row, member in poll.rows
    }


def note_links(
    sightings: Mapping[str, Sighting],
    heard: frozenset[str],
    now: float,
    paused: bool,
) -> dict[str, Sighting]:
    """Takes over which peers are heard.

    Args:
        sightings: What is known, by member id.
        heard: Peers whose link is heard.
        now: Time on this process's clock.
        paused: Whether this process was paused, so that its links broke
            without a fault of the peers.

    Returns:
        What is known now.
    """

    def note(known: Sighting) -> Sighting:
        if known.member.member_id in heard:
            return known._replace(
                missing_since=None, grace_seconds=_REDIAL_GRACE_SECONDS
            )
        if paused:
            return known._replace(
                missing_since=now, grace_seconds=_FIRST_LINK_GRACE_SECONDS
            )
        if known.missing_since is None:
            return known._replace(missing_since=now)
        return known

    return {key: note(known) for key, known in sightings.items()}


def is_live(
    known: Sighting, linked: bool, now: float, stale_seconds: float
) -> bool:
    """Decides whether a member counts as live.

    Args:
        known: What is known of the member.
        linked: Whether the topology has a link to it.
        now: Time on this process's clock.
        stale_seconds: A beat that stands still for longer proves nothing.

    Returns:
        True if its link is heard or was lost just now, or if its beat moved
        since then; without a link in the topology, if its beat moves.
    """
    if known.left:
        return False
    if known.missing_since is None:
        return True
    beats = known.still_seconds < stale_seconds
    if not linked:
        return beats
    if now - known.missing_since < known.grace_seconds:
        return True
    written_after = known.written_after
    return (
        beats
        and written_after is not None
        and written_after > known.missing_since
    )


def stale_seconds(poll_seconds: float) -> float:
    """Returns after how much stillness a beat proves nothing."""
    return _MISSED_TURNS * max(BEAT_SECONDS, poll_seconds)


def rows_to_remove(
    sightings: Mapping[str, Sighting], live: Iterable[str], own_id: str
) -> tuple[Sighting, ...]:
    """Chooses the rows of dead members that this member removes.

    Args:
        sightings: What is known, by member id.
        live: Ids of live members.
        own_id: This member.

    Returns:
        Rows that stood still for `REMOVE_AFTER_SECONDS`, if this is the
        live member with the lowest id; after twice that time, for any one.
    """
    living = frozenset(live)
    first = own_id == min(living, default=own_id)
    limit_seconds = REMOVE_AFTER_SECONDS * (1 if first else 2)
    return tuple(
        known
        for member_id, known in sightings.items()
        if member_id not in living
        and member_id != own_id
        and known.still_seconds >= limit_seconds
    )
