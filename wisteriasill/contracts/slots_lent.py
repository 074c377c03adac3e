"""Slots lent by one entry host for each target."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import random
import threading
from typing import Any, NamedTuple
import uuid

from wisteriasill import clock as clocks
from wisteriasill import settings as setting_types
from wisteriasill.contracts import credit_ledger
from wisteriasill.contracts import slots
from wisteriasill.links import peer_messages
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

TICK_SECONDS = 0.05
# An idle credit goes back after this; a used one at its next release after
# the term, so that no entry host keeps a slot while others wait.
IDLE_SECONDS = 0.15
TERM_SECONDS = 0.3
CREDITS_PER_REQUEST = 2
# A request that the lender did not answer by then was lost.
ANSWER_SECONDS = 0.2
DENIED_SECONDS = 0.05


class Credit(NamedTuple):
    """What this entry host holds of one target.

    Attributes:
        held: Slots held, those in use included.
        in_flight: Slots in use.
        lender: Member that lent them.
        incarnation: Its incarnation.
        granted_at: Monotonic time of the last grant.
        used_at: Monotonic time of the last use.
        asked_at: Monotonic time of a request without an answer; 0 for none.
        denied_until: Monotonic time before which asking is no use.
    """

    held: int = 0
    in_flight: int = 0
    lender: str = ""
    incarnation: str = ""
    granted_at: float = 0.0
    used_at: float = 0.0
    asked_at: float = 0.0
    denied_until: float = 0.0


Outgoing = list[tuple[str, peer_messages.CreditMessage]]


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
        self._site = site
        self._mesh = mesh
        self._chooser = chooser
        self._clock = clock
        self._incarnation = uuid.uuid4().hex
        self._lock = threading.RLock()
        self._ledger = credit_ledger.CreditLedger()
        self._credits: dict[str, Credit] = {}
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

    def reserve(self, groups: slots.Groups) -> hosts.Host | None:
        """Uses a credit; asks for more if there is none."""
        with self._lock:
            chosen = self._take(groups)
            if chosen is not None:
                return chosen
            outgoing = self._ask(groups)
        self._deliver(outgoing)
        with self._lock:
            return self._take(groups)

    def release(self, host_id: str) -> None:
        """Ends the use of a credit; returns it if its term is over."""
        with self._lock:
            credit = self._credits[host_id]
            credit = credit._replace(in_flight=credit.in_flight - 1)
            now = self._clock.monotonic()
            over = now - credit.granted_at > TERM_SECONDS
            outgoing = self._give_back(host_id, credit, int(over))
        self._deliver(outgoing)

    def in_flight(self, host_id: str) -> int:
        """Returns this entry host's own reservations of a target."""
        return self._credits.get(host_id, Credit()).in_flight

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
                    idle = credit.held - credit.in_flight
                    outgoing += self._give_back(host_id, credit, idle)
            outgoing += self._lend(self._ledger.lapse(now))
        if self._deliver(outgoing):
            self._notify()

    def _take(self, groups: slots.Groups) -> hosts.Host | None:
        for group in groups:
            free = [
                item
                for item in group
                if self._free(item.host_id) > 0
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

    def _free(self, host_id: str) -> int:
        credit = self._credits.get(host_id, Credit())
        return credit.held - credit.in_flight

    def _ask(self, groups: slots.Groups) -> Outgoing:
        """Asks the nearest group that has not said no just now."""
        now = self._clock.monotonic()
        for group in groups:
            hopeful = [
                item.host_id
                for item in group
                if self._credits.get(item.host_id, Credit()).denied_until <= now
            ]
            if hopeful:
                return [
                    self._request(host_id, now)
                    for host_id in hopeful
                    if self._may_ask(host_id, now)
                ]
        return []

    def _may_ask(self, host_id: str, now: float) -> bool:
        asked_at = self._credits.get(host_id, Credit()).asked_at
        return not asked_at or now - asked_at > ANSWER_SECONDS

    def _request(
        self, host_id: str, now: float
    ) -> tuple[str, peer_messages.CreditMessage]:
        credit = self._credits.get(host_id, Credit())
        self._credits[host_id] = credit._replace(asked_at=now)
        lender = credit_ledger.lender_of(host_id, self._members)
        return lender, {
            "type": "credit_request",
            "target_id": host_id,
            "count": CREDITS_PER_REQUEST,
            "incarnation": "",
        }

    def _give_back(self, host_id: str, credit: Credit, count: int) -> Outgoing:
        """Stores a credit less some slots, and builds the message."""
        count = min(count, credit.held - credit.in_flight)
        self._credits[host_id] = credit._replace(held=credit.held - count)
        if count <= 0 or not credit.lender:
            return []
        message: peer_messages.CreditMessage = {
            "type": "credit_return",
            "target_id": host_id,
            "count": count,
            "incarnation": credit.incarnation,
        }
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
        target_id, count = message["target_id"], message["count"]
        with self._lock:
            if message["type"] == "credit_grant":
                self._granted(member_id, message)
                return []
            self._ledger.note(member_id, target_id, self._clock.monotonic())
            total = self._slots_of(target_id)
            if message["type"] == "credit_request":
                grants = [
                    self._ledger.request(member_id, target_id, count, total)
                ]
            else:
                if message["incarnation"] == self._incarnation:
                    self._ledger.give_back(member_id, target_id, count)
                grants = self._ledger.lend_to_waiting(target_id, total)
        return [self._grant_message(grant) for grant in grants]

    def _granted(
        self, member_id: str, message: peer_messages.CreditMessage
    ) -> None:
        target_id = message["target_id"]
        credit = self._credits.get(target_id, Credit())
        now = self._clock.monotonic()
        if not message["count"]:
            self._credits[target_id] = credit._replace(
                asked_at=0.0, denied_until=now + DENIED_SECONDS
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
            asked_at=0.0,
            denied_until=0.0,
        )

    def _grant_message(
        self, grant: credit_ledger.Grant
    ) -> tuple[str, peer_messages.CreditMessage]:
        return grant.member_id, {
            "type": "credit_grant",
            "target_id": grant.target_id,
            "count": grant.slots,
            "incarnation": self._incarnation,
        }

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
                    self._credits[target_id] = Credit(
                        held=credit.in_flight, in_flight=credit.in_flight
                    )
            outgoing += self._lend(self._ledger.keep_only(members))
        self._deliver(outgoing)
        self._notify()

    def _lend(self, target_ids: list[str]) -> Outgoing:
        return [
            self._grant_message(grant)
            for target_id in target_ids
            for grant in self._ledger.lend_to_waiting(
                target_id, self._slots_of(target_id)
            )
        ]

    def _slots_of(self, target_id: str) -> int:
        known = self._site.snapshot.hosts_by_id.get(target_id)
        return known.host.slots if known is not None else 0

    def _tick_until_stopped(self) -> None:
        while not self._clock.wait(self._stopping, TICK_SECONDS):
            self.return_idle()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
