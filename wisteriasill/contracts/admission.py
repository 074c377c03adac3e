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

# A waiting request looks for room at least this often; one that was refused
# looks sooner, because the end of a refusal notifies nobody. All of them
# together look at most once in LOOK_SECONDS.
LONGEST_WAIT_SECONDS = 0.25
REFUSED_WAIT_SECONDS = 0.02
LOOK_SECONDS = 0.01
# The typical time is a mean, so about half of the answers take longer.
MARGIN_FACTOR = 1.25
FIRST_SERVICE_SECONDS = 0.05
SERVICE_TIME_WEIGHT = 0.05
LONGEST_RETRY_AFTER_SECONDS = 10


Ticket = fair_shares.Ticket
Reserve = Callable[[int], hosts.Host | None]
Admitted = result.Result[hosts.Host, errors.Failure]


class _Waiter:
    """A ticket in the queue and what has become of it."""

    def __init__(
        self, ticket: Ticket, reserve: Reserve, queued_at: float
    ) -> None:
        self.ticket = ticket
        self.allowed_seconds = ticket.deadline_at - queued_at
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
        self._line: fair_shares.FairLine[_Waiter] = fair_shares.FairLine()
        self._in_use = 0
        self._looked_at = -math.inf
        self._seconds_by_class: dict[str, float] = {}
        self._grants: collections.deque[float] = collections.deque(maxlen=32)

    def acquire(self, ticket: Ticket, reserve: Reserve) -> Admitted:
        """Waits for a slot.

        Args:
            ticket: Who asks.
            reserve: Reserves a slot of a suitable target, given the number
                of waiting requests; called under the queue's lock.

        Returns:
            The target whose slot was reserved, or OVERLOADED or
            DEADLINE_EXCEEDED, both not executed.
        """
        waiter = _Waiter(ticket, reserve, self._clock.monotonic())
        with self._lock:
            if ticket.repeated or not self._line:
                self._offer(waiter)
            if waiter.target is not None:
                return result.Success(waiter.target)
            if rejection := self._reject_early(waiter):
                return result.Failure(rejection)
            self._line.add(ticket, waiter)
        longest = (
            REFUSED_WAIT_SECONDS if ticket.repeated else LONGEST_WAIT_SECONDS
        )
        while waiter.target is None and not waiter.evicted:
            remaining = ticket.deadline_at - self._clock.monotonic()
            if remaining <= 0:
                break
            self._clock.wait(waiter.event, min(remaining, longest))
            if not waiter.event.is_set():
                self.look()
        return self._leave(waiter)

    def check(self, ticket: Ticket) -> result.Result[None, errors.Failure]:
        """Tells whether a ticket would be rejected at once."""
        waiter = _Waiter(ticket, lambda _: None, self._clock.monotonic())
        with self._lock:
            rejection = self._reject_early(waiter) if self._line else None
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
        """Grants free slots unless another thread does so or just did.

        Never waits for the lock: its holder grants what is free anyway, and
        a queue of looking threads would delay the release of slots.
        """
        now = self._clock.monotonic()
        if now - self._looked_at < LOOK_SECONDS:
            return
        if self._lock.acquire(blocking=False):
            try:
                self._looked_at = now
                self._grant()
            finally:
                self._lock.release()

    def service_seconds(self, ticket: Ticket) -> float:
        """Returns the typical time of an answer in the ticket's class."""
        return self._seconds_by_class.get(
            ticket.class_name, FIRST_SERVICE_SECONDS
        )

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._line)

    def _leave(self, waiter: _Waiter) -> Admitted:
        if waiter.target is not None:
            return result.Success(waiter.target)
        with self._lock:
            if waiter.target is not None:
                return result.Success(waiter.target)
            self._line.remove(waiter.ticket, waiter)
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
        while self._line:
            waiter = self._line.first()
            if self._is_hopeless(waiter, self._clock.monotonic()):
                self._evict(waiter, "the deadline is too near")
                continue
            if not self._offer(waiter):
                return

    def _is_hopeless(self, waiter: _Waiter, now: float) -> bool:
        """Whether an answer would probably come after the deadline.

        Never before half of the time is over: a typical time that is
        estimated too long must not keep every request from correcting it.
        """
        remaining = waiter.ticket.deadline_at - now
        needed = MARGIN_FACTOR * self.service_seconds(waiter.ticket)
        return remaining < min(needed, waiter.allowed_seconds / 2)

    def _evict(self, waiter: _Waiter, reason: str) -> None:
        self._line.remove(waiter.ticket, waiter)
        waiter.evicted = reason
        waiter.event.set()

    def _offer(self, waiter: _Waiter) -> bool:
        """Reserves a slot for a request; returns whether there was one."""
        target = waiter.reserve(max(1, len(self._line)))
        if target is None:
            return False
        waiter.target = target
        self._line.remove(waiter.ticket, waiter)
        self._line.count_grant(waiter.ticket)
        self._in_use += 1
        self._grants.append(self._clock.monotonic())
        waiter.event.set()
        return True

    def _reject_early(self, waiter: _Waiter) -> errors.Failure | None:
        """Rejects what can't be answered in time; makes room if it can."""
        ticket = waiter.ticket
        if ticket.repeated:
            return None
        wait_seconds = self._line.position(ticket) / self._grants_per_second()
        if self._is_hopeless(waiter, self._clock.monotonic() + wait_seconds):
            return self._overloaded("the queue is too long", wait_seconds)
        if len(self._line) < self._settings.queue_length:
            return None
        if not self._evict_for(ticket):
            return self._overloaded("its queue is full", wait_seconds)
        return None

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
        """Makes room at the cost of the caller that waits most."""
        newest = self._line.newest_of_longest(ticket)
        if newest is None:
            return False
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
