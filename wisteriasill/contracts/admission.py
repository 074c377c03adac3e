"""Admission: a bounded, fair queue for each service."""

from __future__ import annotations

import collections
from collections.abc import Callable
import math
import threading

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import settings as setting_types
from wisteriasill.contracts import fair_shares
from wisteriasill.machines import host as hosts

# Of five grants in a row at least one goes to requests that are not urgent.
URGENT_GRANTS_IN_A_ROW = 4
# A waiting request looks for room at least this often, because the end of a
# target's refusal or ejection notifies nobody; all of them together look at
# most once in LOOK_SECONDS.
LONGEST_WAIT_SECONDS = 0.05
LOOK_SECONDS = 0.01
MAX_FLOWS = 1024
FIRST_SERVICE_SECONDS = 0.05
SERVICE_TIME_WEIGHT = 0.05
LONGEST_RETRY_AFTER_SECONDS = 10


Ticket = fair_shares.Ticket
Reserve = Callable[[], hosts.Host | None]
Admitted = result.Result[hosts.Host, errors.Failure]


class _Waiter:
    """A ticket in the queue and what has become of it."""

    def __init__(self, ticket: Ticket, sequence: int, reserve: Reserve) -> None:
        self.ticket = ticket
        self.sequence = sequence
        self.reserve = reserve
        self.event = threading.Event()
        self.target: hosts.Host | None = None
        self.evicted = ""


class ServiceQueue:
    """The queue of one service in one entry host; thread safe.

    Args:
        settings: Settings of this entry host.
        clock: Source of monotonic time.
    """

    def __init__(
        self, settings: setting_types.EntrySettings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._waiters: list[_Waiter] = []
        self._shares = fair_shares.FairShares()
        self._sequence = 0
        self._urgent_in_a_row = 0
        self._in_use = 0
        self._looked_at = -math.inf
        self._seconds_by_class: dict[str, float] = {}
        self._grants: collections.deque[float] = collections.deque(maxlen=32)

    def acquire(self, ticket: Ticket, reserve: Reserve) -> Admitted:
        """Waits for a slot.

        Args:
            ticket: Who asks.
            reserve: Reserves a slot of a suitable target; called under the
                queue's lock.

        Returns:
            The target whose slot was reserved, or OVERLOADED or
            DEADLINE_EXCEEDED, both not executed.
        """
        with self._lock:
            if rejection := self._reject_early(ticket):
                return result.Failure(rejection)
            waiter = self._enqueue(ticket, reserve)
            self._grant()
        while waiter.target is None and not waiter.evicted:
            remaining = ticket.deadline_at - self._clock.monotonic()
            if remaining <= 0:
                break
            self._clock.wait(waiter.event, min(remaining, LONGEST_WAIT_SECONDS))
            if not waiter.event.is_set():
                self.look()
        return self._leave(waiter)

    def check(self, ticket: Ticket) -> result.Result[None, errors.Failure]:
        """Tells whether a ticket would be rejected at once."""
        with self._lock:
            rejection = self._reject_early(ticket)
        return result.Failure(rejection) if rejection else result.Success(None)

    def release(self, ticket: Ticket, service_seconds: float | None) -> None:
        """Notes that a slot was given back and passes it on.

        Args:
            ticket: Whose slot it was.
            service_seconds: How long an answered attempt took; None for one
                that was not answered.
        """
        with self._lock:
            self._in_use -= 1
            if service_seconds is not None:
                typical = self.service_seconds(ticket)
                self._seconds_by_class[ticket.class_name] = (
                    typical + SERVICE_TIME_WEIGHT * (service_seconds - typical)
                )
            self._grant()

    def wake(self) -> None:
        """Grants slots that have become free."""
        with self._lock:
            self._grant()

    def look(self) -> None:
        """Grants free slots unless another waiting request just looked."""
        with self._lock:
            now = self._clock.monotonic()
            if now - self._looked_at >= LOOK_SECONDS:
                self._looked_at = now
                self._grant()

    def service_seconds(self, ticket: Ticket) -> float:
        """Returns the typical time of an answer in the ticket's class."""
        return self._seconds_by_class.get(
            ticket.class_name, FIRST_SERVICE_SECONDS
        )

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiters)

    def _enqueue(self, ticket: Ticket, reserve: Reserve) -> _Waiter:
        tickets = [item.ticket for item in self._waiters]
        self._shares.join(ticket, tickets)
        self._sequence += 1
        waiter = _Waiter(ticket, self._sequence, reserve)
        self._waiters.append(waiter)
        return waiter

    def _leave(self, waiter: _Waiter) -> Admitted:
        with self._lock:
            if waiter.target is not None:
                return result.Success(waiter.target)
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            if waiter.evicted:
                return result.Failure(self._overloaded(waiter.evicted))
        return result.Failure(
            errors.failure(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "no worker had room before the deadline",
                errors.Executed.NO,
            )
        )

    def _grant(self) -> None:
        """Gives slots to waiting requests, in fair order, while there are."""
        while self._waiters:
            waiter = self._next()
            if self._is_hopeless(waiter.ticket, self._clock.monotonic()):
                self._evict(waiter, "the deadline is too near")
                continue
            target = waiter.reserve()
            if target is None:
                return
            self._hand_over(waiter, target)

    def _is_hopeless(self, ticket: Ticket, now: float) -> bool:
        """Whether an answer would come after the deadline."""
        return now + self.service_seconds(ticket) > ticket.deadline_at

    def _evict(self, waiter: _Waiter, reason: str) -> None:
        self._waiters.remove(waiter)
        waiter.evicted = reason
        waiter.event.set()

    def _hand_over(self, waiter: _Waiter, target: hosts.Host) -> None:
        waiter.target = target
        self._waiters.remove(waiter)
        self._shares.grant(waiter.ticket)
        self._urgent_in_a_row = (
            self._urgent_in_a_row + 1 if waiter.ticket.urgent else 0
        )
        self._in_use += 1
        self._grants.append(self._clock.monotonic())
        if self._shares.flows > MAX_FLOWS:
            self._shares.forget([item.ticket for item in self._waiters])
        waiter.event.set()

    def _next(self) -> _Waiter:
        urgent_first = self._urgent_in_a_row < URGENT_GRANTS_IN_A_ROW
        return min(
            self._waiters,
            key=lambda item: (
                not item.ticket.repeated,
                item.ticket.urgent is not urgent_first,
                self._shares.order(item.ticket),
                item.sequence,
            ),
        )

    def _reject_early(self, ticket: Ticket) -> errors.Failure | None:
        """Rejects what can't be answered in time; makes room if it can."""
        now = self._clock.monotonic()
        if self._is_hopeless(ticket, now):
            return self._overloaded("the deadline is too near")
        if ticket.repeated or not self._waiters:
            return None
        wait_seconds = self._expected_wait_seconds(ticket)
        if self._is_hopeless(ticket, now + wait_seconds):
            return self._overloaded("the queue is too long", wait_seconds)
        if len(self._waiters) < self._settings.queue_length:
            return None
        if not self._evict_for(ticket):
            return self._overloaded("its queue is full", wait_seconds)
        return None

    def _expected_wait_seconds(self, ticket: Ticket) -> float:
        flow = (ticket.class_name, ticket.caller)
        ahead = [
            (item.ticket.class_name, item.ticket.caller)
            for item in self._waiters
            if item.ticket.urgent or not ticket.urgent
        ]
        flows = len({*ahead, flow})
        position = min(len(ahead) + 1, (ahead.count(flow) + 1) * flows)
        return position / self._grants_per_second()

    def _grants_per_second(self) -> float:
        """Estimates the rate from slots in use, or from recent grants."""
        seconds = self._seconds_by_class.values()
        typical = max(seconds, default=FIRST_SERVICE_SECONDS)
        by_slots = max(1, self._in_use) / typical
        if len(self._grants) < 2:
            return by_slots
        span = self._clock.monotonic() - self._grants[0]
        return max(by_slots, len(self._grants) / max(span, 0.001))

    def _evict_for(self, ticket: Ticket) -> bool:
        """Evicts the newest request of the caller that waits most."""
        counts = collections.Counter(
            item.ticket.caller for item in self._waiters
        )
        caller, most = counts.most_common(1)[0]
        if counts[ticket.caller] + 1 >= most:
            return False
        newest = max(
            (item for item in self._waiters if item.ticket.caller == caller),
            key=lambda item: item.sequence,
        )
        self._evict(newest, "its queue is full")
        return True

    def _overloaded(
        self, reason: str, wait_seconds: float = 1.0
    ) -> errors.Failure:
        seconds = min(
            max(1, math.ceil(wait_seconds)), LONGEST_RETRY_AFTER_SECONDS
        )
        return errors.failure(
            errors.ErrorKind.OVERLOADED, reason, errors.Executed.NO, seconds
        )
