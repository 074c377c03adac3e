"""Credit-based slot policy: one granter for each target's slots."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import math
import random
import threading
from typing import Any

from wisteriasill import clock as clocks
from wisteriasill import settings as setting_types
from wisteriasill.contracts import credit_granter
from wisteriasill.contracts import credit_ledger
from wisteriasill.contracts import slot_credit
from wisteriasill.contracts import slots
from wisteriasill.links import peer_messages
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

TICK_SECONDS = 0.05
# Credits are returned after `IDLE_SECONDS` without use. A credit in use beyond
# the member's share is returned at its first release after the term, so that no
# entry host keeps more than its share while others wait.
IDLE_SECONDS = 0.15
CREDIT_TERM_SECONDS = 0.3
CREDITS_PER_REQUEST = 2
# A request without an answer after this time counts as lost.
ANSWER_TIMEOUT_SECONDS = 0.2
# The granter queues a request that it denied. It is repeated after this time
# only in case the answer was lost.
DENIAL_BACKOFF_SECONDS = 1.0
# A credit younger than this is probably about to be used and isn't recalled.
NEW_CREDIT_SECONDS = 0.02


Outgoing = slot_credit.Outgoing


class CreditBasedSlots:
    """Requests credits from each target's granter; grants credits itself.

    Args:
        settings: Settings of this entry host.
        site: View of the site, with the targets' slots.
        mesh: Links to peers.
        rng: Source of random choices among equivalent targets.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        settings: setting_types.EntrySettings,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        rng: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._member_id = settings.member_id
        self._mesh = mesh
        self._rng = rng
        self._clock = clock
        self._lock = threading.RLock()
        self._granter = credit_granter.CreditGranter(site)
        self._credits: dict[str, slot_credit.Credit] = {}
        self._members = frozenset((self._member_id,))
        self._listeners: list[Callable[[], None]] = []
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            1, thread_name_prefix="slots"
        )
        self._task: futures.Future[None] | None = None
        for name in ("credit_request", "credit_grant", "credit_return"):
            mesh.on_message(name, self._receive)
        mesh.on_members_changed(self._members_changed)

    def reserve(
        self, groups: slots.Groups, wanted: int = 1
    ) -> hosts.Host | None:
        """Uses an idle credit; requests credits if there is none."""
        with self._lock:
            chosen = self._use_credit(groups)
        if chosen is None:
            return self._request_and_use(groups, wanted)
        if chosen not in groups[0]:
            # Requests a credit of the preferred group, so that requests don't
            # stay with remote targets permanently.
            with self._lock:
                outgoing = self._request_credits(groups[:1], 1)
            self._deliver(outgoing)
        return chosen

    def _request_and_use(
        self, groups: slots.Groups, wanted: int
    ) -> hosts.Host | None:
        """Requests credits; only grants by this member arrive at once.

        Each iteration requests credits only of targets without an earlier
        request, so the loop ends.
        """
        chosen = None
        while chosen is None:
            with self._lock:
                outgoing = self._request_credits(groups, wanted)
            if not outgoing:
                return None
            self._deliver(outgoing)
            with self._lock:
                chosen = self._use_credit(groups)
        return chosen

    def release(self, host_id: str) -> None:
        """Frees a credit; returns it if its term has expired."""
        with self._lock:
            credit = self._credits[host_id]
            credit = credit._replace(in_flight=credit.in_flight - 1)
            now = self._clock.monotonic()
            term_expired = (
                now - credit.granted_at > CREDIT_TERM_SECONDS
                and credit.held > self._share(host_id)
            )
            outgoing = self._return_credits(host_id, credit, int(term_expired))
        self._deliver(outgoing)

    def in_flight(self, host_id: str) -> int:
        """Returns this entry host's own reservations of a target."""
        return self._credit(host_id).in_flight

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to call when a slot may be free again."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Starts the task that returns idle credits."""
        self._task = self._executor.submit(self._tick_until_stopped)

    def stop(self) -> None:
        """Stops and joins the task."""
        self._stopping.set()
        if self._task is not None:
            self._task.result(timeout=5.0)
        self._executor.shutdown()

    def return_idle(self) -> None:
        """Returns credits that have been idle for `IDLE_SECONDS`."""
        now = self._clock.monotonic()
        outgoing: Outgoing = []
        with self._lock:
            for host_id, credit in tuple(self._credits.items()):
                if now - credit.used_at > IDLE_SECONDS:
                    idle = credit.idle
                    outgoing += self._return_credits(host_id, credit, idle)
            outgoing += self._granter.expire_grants(now)
        if self._deliver(outgoing):
            self._notify()

    def _use_credit(self, groups: slots.Groups) -> hosts.Host | None:
        for group in groups:
            free = [
                host
                for host in group
                if self._credit(host.host_id).idle > 0
                and self._credits[host.host_id].in_flight < host.slots
            ]
            if free:
                chosen = self._rng.choice(free)
                credit = self._credits[chosen.host_id]
                self._credits[chosen.host_id] = credit._replace(
                    in_flight=credit.in_flight + 1,
                    used_at=self._clock.monotonic(),
                )
                return chosen
        return None

    def _credit(self, host_id: str) -> slot_credit.Credit:
        return self._credits.get(host_id, slot_credit.Credit())

    def _share(self, host_id: str) -> int:
        """Returns the slots of a target that each member may always keep.

        A member that returned these as well would lack slots while it waits
        in the queues of the granters.
        """
        return self._granter.slots_of(host_id) // len(self._members)

    def _request_credits(self, groups: slots.Groups, wanted: int) -> Outgoing:
        """Requests the wanted credits that no request is in flight for."""
        now = self._clock.monotonic()
        outgoing: Outgoing = []
        for group in groups:
            for host in self._rng.sample(list(group), len(group)):
                credit = self._credit(host.host_id)
                if credit.denied_until > now:
                    continue
                if now - credit.requested_at <= ANSWER_TIMEOUT_SECONDS:
                    wanted -= CREDITS_PER_REQUEST
                elif wanted > 0:
                    count = min(wanted, CREDITS_PER_REQUEST)
                    outgoing.append(
                        self._request_message(host.host_id, count, now)
                    )
                    wanted -= count
            if wanted <= 0:
                break
        return outgoing

    def _request_message(
        self, host_id: str, count: int, now: float
    ) -> tuple[str, peer_messages.CreditMessage]:
        credit = self._credit(host_id)
        self._credits[host_id] = credit._replace(requested_at=now)
        granter = credit_ledger.granter_of(host_id, self._members)
        return granter, slot_credit.message("credit_request", host_id, count)

    def _return_credits(
        self, host_id: str, credit: slot_credit.Credit, count: int
    ) -> Outgoing:
        """Reduces a credit by some idle slots and builds the return message."""
        count = min(count, credit.idle)
        self._credits[host_id] = credit._replace(held=credit.held - count)
        if count <= 0 or not credit.granter:
            return []
        message = slot_credit.message(
            "credit_return", host_id, count, credit.incarnation
        )
        return [(credit.granter, message)]

    def _deliver(self, outgoing: Outgoing) -> bool:
        """Sends messages; handles those to this member at once.

        Returns:
            Whether this member received a grant among them.
        """
        granted = False
        while outgoing:
            member_id, message = outgoing.pop(0)
            if member_id != self._member_id:
                self._mesh.send(member_id, message)
                continue
            granted |= message["type"] == "credit_grant"
            outgoing += self._handle(member_id, message)
        return granted

    def _handle(
        self, member_id: str, message: peer_messages.CreditMessage
    ) -> Outgoing:
        with self._lock:
            if message["type"] == "credit_grant":
                self._handle_grant(member_id, message)
                return []
            now = self._clock.monotonic()
            if message["type"] == "credit_return":
                return self._granter.handle_return(member_id, message, now)
            if message["incarnation"]:
                return self._handle_recall(message["target_id"], now)
            return self._granter.handle_request(member_id, message, now)

    def _handle_recall(self, target_id: str, now: float) -> Outgoing:
        """Returns idle credits, unless they were granted very recently."""
        credit = self._credit(target_id)
        if now - credit.granted_at < NEW_CREDIT_SECONDS:
            return []
        idle = credit.idle
        return self._return_credits(target_id, credit, idle)

    def _handle_grant(
        self, member_id: str, message: peer_messages.CreditMessage
    ) -> None:
        target_id = message["target_id"]
        credit = self._credit(target_id)
        now = self._clock.monotonic()
        if not message["count"]:
            self._credits[target_id] = credit._replace(
                requested_at=-math.inf,
                denied_until=now + DENIAL_BACKOFF_SECONDS,
            )
            return
        same_incarnation = credit.incarnation == message["incarnation"]
        kept = credit.held if same_incarnation else credit.in_flight
        self._credits[target_id] = credit._replace(
            held=kept + message["count"],
            granter=member_id,
            incarnation=message["incarnation"],
            granted_at=now,
            used_at=now,
            requested_at=-math.inf,
            denied_until=0.0,
        )

    def _receive(self, member_id: str, message: Any) -> None:
        granted = message["type"] == "credit_grant"
        if self._deliver(self._handle(member_id, message)) or granted:
            self._notify()

    def _members_changed(self) -> None:
        """Reclaims credits of lost members; drops credits that they granted."""
        members = self._mesh.connected_peers() | {self._member_id}
        outgoing: Outgoing = []
        with self._lock:
            self._members = members
            for target_id, credit in tuple(self._credits.items()):
                if credit.granter not in members:
                    self._credits[target_id] = slot_credit.Credit(
                        held=credit.in_flight, in_flight=credit.in_flight
                    )
            outgoing += self._granter.keep_only(members)
        self._deliver(outgoing)
        self._notify()

    def _tick_until_stopped(self) -> None:
        while not self._clock.wait(self._stopping, TICK_SECONDS):
            self.return_idle()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
