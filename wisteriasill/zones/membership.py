"""Heartbeats of this entry host and liveness of its peers."""

from __future__ import annotations

from concurrent import futures
import threading
from typing import Any

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import events
from wisteriasill import periodic_task
from wisteriasill import settings as settings_module
from wisteriasill.links import peer_messages
from wisteriasill.links import peer_topology
from wisteriasill.links import platform as platforms
from wisteriasill.machines import member as members
from wisteriasill.zones import liveness
from wisteriasill.zones import member_row
from wisteriasill.zones import site as sites

# Each member reads all rows. With more members than this the poll period grows
# in proportion, which keeps the traffic of a node within its limit.
_MEMBERS_PER_POLL_PERIOD = 12
# Period of liveness checks while a link is missing, so that the loss of a
# member is detected in under 3 s.
_LIVENESS_CHECK_SECONDS = 0.25
# An iteration makes at most three platform calls. One that takes longer than
# they can was interrupted by a pause of the process.
_MAX_CALLS_PER_ITERATION = 3


class Membership:
    """Renews this member's row and tracks the site's live members.

    `settings` must have the bound ports, not 0.
    """

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        platform: platforms.Platform,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        incarnation: str,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._site = site
        self._mesh = mesh
        self._clock = clock
        self._member_row = member_row.MemberRow(
            platform, _own_member(settings, incarnation)
        )
        self._pause_detector = clocks.PauseDetector(
            clock,
            settings.poll_seconds
            + _MAX_CALLS_PER_ITERATION * settings.platform_timeout_seconds,
        )
        self._lock = threading.Lock()
        self._observations: dict[str, liveness.PeerObservation] = {}
        self._poll_began_at: float | None = None
        self._next_heartbeat_at = self._next_poll_at = clock.monotonic()
        self._leaving = False
        self._changed = threading.Event()
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            1, thread_name_prefix="membership"
        )
        self._task: futures.Future[None] | None = None

    @property
    def displaced(self) -> bool:
        """Whether a newer process has this member id; this one must exit."""
        return self._member_row.displaced

    def start(self) -> None:
        """Joins the site and starts to track its members."""
        self._mesh.on_members_changed(self._changed.set)
        self._mesh.on_message("goodbye", self._handle_goodbye)
        self._site.set_members([self._member_row.member])
        self._task = self._executor.submit(self._run)

    def announce_leaving(self) -> None:
        """Makes the task write `leaving` to the row at once."""
        self._leaving = True
        self._next_heartbeat_at = self._clock.monotonic()
        self._changed.set()

    def stop(self) -> None:
        """Removes this member and joins the task."""
        self._stopping.set()
        self._changed.set()
        if self._task is not None:
            self._task.result()
        self._executor.shutdown()

    def run_once(self) -> float:
        """Renews the row and polls when due; updates the live members.

        Returns:
            Seconds until the next iteration.
        """
        paused = self._pause_detector.paused()
        if self._clock.monotonic() >= self._next_heartbeat_at:
            self._send_heartbeat()
        if self._clock.monotonic() >= self._next_poll_at:
            self._poll()
        link_missing = self._update_live_members(paused)
        now = self._clock.monotonic()
        due_seconds = max(
            0.0, min(self._next_heartbeat_at, self._next_poll_at) - now
        )
        return (
            min(due_seconds, _LIVENESS_CHECK_SECONDS)
            if link_missing
            else due_seconds
        )

    def _run(self) -> None:
        periodic_task.run_periodically(
            "membership",
            self.run_once,
            self._changed,
            self._stopping,
            self._clock,
        )
        self._member_row.remove()

    def _send_heartbeat(self) -> None:
        period_seconds = (
            liveness.HEARTBEAT_SECONDS
            if self._member_row.renew(self._leaving)
            else self._settings.poll_seconds
        )
        self._next_heartbeat_at = self._clock.monotonic() + period_seconds

    def _poll(self) -> None:
        began_at = self._clock.monotonic()
        period_seconds = self._period_seconds()
        self._next_poll_at = began_at + period_seconds
        scanned = self._platform.table.scan(members.TABLE)
        if not isinstance(scanned, result.Success):
            return
        rows: tuple[platforms.Row, ...] = scanned.unwrap()
        decoded = [(row, _decode(row)) for row in rows]
        poll = liveness.Poll(
            tuple(
                (row, member)
                for row, member in decoded
                if member and row.key != self._settings.member_id
            ),
            began_at,
            self._poll_began_at,
            2 * period_seconds,
        )
        with self._lock:
            self._observations = liveness.apply_poll(self._observations, poll)
        self._poll_began_at = began_at
        self._site.confirm("members")
        self._remove_dead_rows()

    def _period_seconds(self) -> float:
        periods = len(self._observations) / _MEMBERS_PER_POLL_PERIOD
        return self._settings.poll_seconds * max(1.0, periods)

    def _update_live_members(self, paused: bool) -> bool:
        """Updates the live members; returns whether a link is missing."""
        now = self._clock.monotonic()
        connected = self._mesh.connected_peers()
        with self._lock:
            self._observations = liveness.apply_links(
                self._observations, connected, now, paused
            )
            observations = self._observations
        stale_seconds = liveness.stale_seconds(self._period_seconds())
        linked = peer_topology.peers_to_connect(
            self._member_row.member,
            (
                known.member
                for known in observations.values()
                if known.unchanged_seconds < stale_seconds
                and not known.said_goodbye
            ),
        )
        live = {
            member_id: known.member
            for member_id, known in observations.items()
            if liveness.is_live(known, member_id in linked, now, stale_seconds)
        }
        self._publish(live)
        return any(
            observations[key].link_lost_since is not None
            for key in live.keys() & linked
        )

    def _publish(self, live: dict[str, members.Member]) -> None:
        before = self._site.snapshot.members_by_id.keys()
        own_id = self._settings.member_id
        for member_id in sorted(live.keys() - before):
            events.log(
                events.Event.MEMBER_JOINED, "Member joined", member=member_id
            )
        for member_id in sorted(before - live.keys() - {own_id}):
            events.log(
                events.Event.MEMBER_LEFT, "Member left", member=member_id
            )
        # Without the heartbeat counter, since each renewal would be a change.
        self._site.set_members(
            member._replace(beat=0)
            for member in (*live.values(), self._member_row.member)
        )

    def _handle_goodbye(self, peer_id: str, _: Any) -> None:
        with self._lock:
            known = self._observations.get(peer_id)
            if known is not None:
                self._observations[peer_id] = known._replace(said_goodbye=True)
        self._changed.set()

    def _remove_dead_rows(self) -> None:
        for known in liveness.rows_to_remove(
            self._observations,
            self._site.snapshot.members_by_id,
            self._settings.member_id,
        ):
            key = known.member.member_id
            self._platform.table.transact(
                [platforms.Condition(members.TABLE, key, known.version)],
                [platforms.Write(members.TABLE, key, None)],
            )


def _own_member(
    settings: settings_module.EntrySettings, incarnation: str
) -> members.Member:
    return members.Member(
        member_id=settings.member_id,
        incarnation=incarnation,
        region=settings.region,
        availability_zone=settings.availability_zone,
        address=settings.advertised_address,
        caller_port=settings.caller_port,
        operator_port=settings.operator_port,
        peer_port=settings.peer_port,
    )


def _decode(row: platforms.Row) -> members.Member | None:
    decoded = documents.decode(members.Member, row.value)
    return decoded.value_or(None)
