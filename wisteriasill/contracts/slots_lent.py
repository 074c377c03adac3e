"""Slots lent by one entry host for each target."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import math
import random
import threading
from typing import Any

from wisteriasill import clock as clocks
from wisteriasill import settings as setting_types
from wisteriasill.contracts import credit_ledger
from wisteriasill.contracts import slot_credit
from wisteriasill.contracts import slot_lender
from wisteriasill.contracts import slots
from wisteriasill.links import peer_messages
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

TICK_SECONDS = 0.05
# An idle credit goes back after this; a used one above the member's share at
# its next release after the term, so that no entry host keeps more than its
# share while others wait.
IDLE_SECONDS = 0.15
TERM_SECONDS = 0.3
CREDITS_PER_REQUEST = 2
# A request that the lender did not answer by then was lost.
ANSWER_SECONDS = 0.2
# The lender remembers a request that it denied, so asking again is only for
# the case that the answer was lost.
DENIED_SECONDS = 1.0
# A credit granted more recently than this may still be meant for use.
FRESH_SECONDS = 0.02


Outgoing = slot_credit.Outgoing


class LentSlots:
    """Borrows slots from each target's lender, and lends as one.

    Args:
        settings: Settings of this entry host.
        site: What is known of the site, for the targets' slots.
        mesh: Links to the peers.
        chooser: Source of random choices between equals.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        settings: setting_types.EntrySettings,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        chooser: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self._member_id = settings.member_id
        self._mesh = mesh
        self._chooser = chooser
        self._clock = clock
        self._lock = threading.RLock()
        self._lender = slot_lender.SlotLender(site)
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
        """Uses a credit; asks for more if there is none."""
        with self._lock:
            chosen = self._take(groups)
        if chosen is None:
            return self._borrow(groups, wanted)
        if chosen not in groups[0]:
            # A credit held far away must not keep requests there for ever.
            with self._lock:
                outgoing = self._ask(groups[:1], 1)
            self._deliver(outgoing)
        return chosen

    def _borrow(self, groups: slots.Groups, wanted: int) -> hosts.Host | None:
        """Asks for credits; only own loans come at once.

        Each round asks targets that were not asked before, so it ends.
        """
        chosen = None
        while chosen is None:
            with self._lock:
                outgoing = self._ask(groups, wanted)
            if not outgoing:
                return None
            self._deliver(outgoing)
            with self._lock:
                chosen = self._take(groups)
        return chosen

    def release(self, host_id: str) -> None:
        """Ends the use of a credit; returns it if its term is over."""
        with self._lock:
            credit = self._credits[host_id]
            credit = credit._replace(in_flight=credit.in_flight - 1)
            now = self._clock.monotonic()
            over = (
                now - credit.granted_at > TERM_SECONDS
                and credit.held > self._share(host_id)
            )
            outgoing = self._give_back(host_id, credit, int(over))
        self._deliver(outgoing)

    def in_flight(self, host_id: str) -> int:
        """Returns this entry host's own reservations of a target."""
        return self._credit(host_id).in_flight

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls a function when a target may have room again."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Starts the task that returns idle credits."""
        self._task = self._executor.submit(self._tick_until_stopped)

    def stop(self) -> None:
        """Ends and joins the task."""
        self._stopping.set()
        if self._task is not None:
            self._task.result(timeout=5.0)
        self._executor.shutdown()

    def return_idle(self) -> None:
        """Returns credits that were not used lately."""
        now = self._clock.monotonic()
        outgoing: Outgoing = []
        with self._lock:
            for host_id, credit in tuple(self._credits.items()):
                if now - credit.used_at > IDLE_SECONDS:
                    idle = credit.idle
                    outgoing += self._give_back(host_id, credit, idle)
            outgoing += self._lender.lapse(now)
        if self._deliver(outgoing):
            self._notify()

    def _take(self, groups: slots.Groups) -> hosts.Host | None:
        for group in groups:
            free = [
                item
                for item in group
                if self._credit(item.host_id).idle > 0
                and self._credits[item.host_id].in_flight < item.slots
            ]
            if free:
                chosen = self._chooser.choice(free)
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

        Passing these on as well would leave a member short of slots while
        it waits in the lenders' lines.
        """
        return self._lender.slots_of(host_id) // len(self._members)

    def _ask(self, groups: slots.Groups, wanted: int) -> Outgoing:
        """Asks for the credits that are wanted and not asked for yet."""
        now = self._clock.monotonic()
        outgoing: Outgoing = []
        for group in groups:
            for item in self._chooser.sample(list(group), len(group)):
                credit = self._credit(item.host_id)
                if credit.denied_until > now:
                    continue
                if now - credit.asked_at <= ANSWER_SECONDS:
                    wanted -= CREDITS_PER_REQUEST
                elif wanted > 0:
                    count = min(wanted, CREDITS_PER_REQUEST)
                    outgoing.append(self._request(item.host_id, count, now))
                    wanted -= count
            if wanted <= 0:
                break
        return outgoing

    def _request(
        self, host_id: str, count: int, now: float
    ) -> tuple[str, peer_messages.CreditMessage]:
        credit = self._credit(host_id)
        self._credits[host_id] = credit._replace(asked_at=now)
        lender = credit_ledger.lender_of(host_id, self._members)
        return lender, slot_credit.message("credit_request", host_id, count)

    def _give_back(
        self, host_id: str, credit: slot_credit.Credit, count: int
    ) -> Outgoing:
        """Stores a credit less some slots, and builds the message."""
        count = min(count, credit.idle)
        self._credits[host_id] = credit._replace(held=credit.held - count)
        if count <= 0 or not credit.lender:
            return []
        message = slot_credit.message(
            "credit_return", host_id, count, credit.incarnation
        )
        return [(credit.lender, message)]

    def _deliver(self, outgoing: Outgoing) -> bool:
        """Sends messages; those to itself are handled at once.

        Returns:
            Whether a grant to this entry host was among them.
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
                self._granted(member_id, message)
                return []
            now = self._clock.monotonic()
            if message["type"] == "credit_return":
                return self._lender.returned(member_id, message, now)
            if message["incarnation"]:
                return self._recalled(message["target_id"], now)
            return self._lender.requested(member_id, message, now)

    def _recalled(self, target_id: str, now: float) -> Outgoing:
        """Returns what idles; credits just granted may be meant for use."""
        credit = self._credit(target_id)
        if now - credit.granted_at < FRESH_SECONDS:
            return []
        idle = credit.idle
        return self._give_back(target_id, credit, idle)

    def _granted(
        self, member_id: str, message: peer_messages.CreditMessage
    ) -> None:
        target_id = message["target_id"]
        credit = self._credit(target_id)
        now = self._clock.monotonic()
        if not message["count"]:
            self._credits[target_id] = credit._replace(
                asked_at=-math.inf, denied_until=now + DENIED_SECONDS
            )
            return
        same = credit.incarnation == message["incarnation"]
        kept = credit.held if same else credit.in_flight
        self._credits[target_id] = credit._replace(
            held=kept + message["count"],
            lender=member_id,
            incarnation=message["incarnation"],
            granted_at=now,
            used_at=now,
            asked_at=-math.inf,
            denied_until=0.0,
        )

    def _receive(self, member_id: str, message: Any) -> None:
        granted = message["type"] == "credit_grant"
        if self._deliver(self._handle(member_id, message)) or granted:
            self._notify()

    def _members_changed(self) -> None:
        """Takes back what lost members held; drops what they lent."""
        members = self._mesh.connected_peers() | {self._member_id}
        outgoing: Outgoing = []
        with self._lock:
            self._members = members
            for target_id, credit in tuple(self._credits.items()):
                if credit.lender not in members:
                    self._credits[target_id] = slot_credit.Credit(
                        held=credit.in_flight, in_flight=credit.in_flight
                    )
            outgoing += self._lender.keep_only(members)
        self._deliver(outgoing)
        self._notify()

    def _tick_until_stopped(self) -> None:
        while not self._clock.wait(self._stopping, TICK_SECONDS):
            self.return_idle()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
