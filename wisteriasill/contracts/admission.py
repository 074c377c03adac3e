"""Admission control: a bounded, fair queue for each service."""

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

# A waiting request polls for a free slot at least this often. One that a worker
# refused polls more often, because the end of a refusal triggers no event. All
# of them together poll at most once in MIN_POLL_SECONDS.
POLL_SECONDS = 0.25
REFUSED_POLL_SECONDS = 0.02
MIN_POLL_SECONDS = 0.01
# The typical service time is a mean, so about half of the answers take longer.
MARGIN_FACTOR = 1.25
INITIAL_SERVICE_SECONDS = 0.05
SERVICE_TIME_WEIGHT = 0.05
MAX_RETRY_AFTER_SECONDS = 10


Ticket = fair_shares.Ticket
Reserve = Callable[[int], hosts.Host | None]
Admitted = result.Result[hosts.Host, errors.Failure]


class _Waiter:
    """A ticket in the queue, with its slot or the reason of its eviction."""

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
        self._queue: fair_shares.FairQueue[_Waiter] = fair_shares.FairQueue()
        self._in_use = 0
        self._polled_at = -math.inf
        self._seconds_by_class: dict[str, float] = {}
        self._grant_times: collections.deque[float] = collections.deque(
            maxlen=32
        )

    def acquire(self, ticket: Ticket, reserve: Reserve) -> Admitted:
        """Waits for a slot.

        Args:
            ticket: The request that needs a slot.
            reserve: Reserves a slot of a suitable target, given the number
                of waiting requests; called with the queue's lock held.

        Returns:
            The target whose slot was reserved, or OVERLOADED or
            DEADLINE_EXCEEDED, both not executed.
        """
        waiter = _Waiter(ticket, reserve, self._clock.monotonic())
        with self._lock:
            if ticket.repeated or not self._queue:
                self._offer(waiter)
            if waiter.target is not None:
                return result.Success(waiter.target)
            if rejection := self._reject_early(waiter):
                return result.Failure(rejection)
            self._queue.add(ticket, waiter)
        poll_seconds = REFUSED_POLL_SECONDS if ticket.repeated else POLL_SECONDS
        while waiter.target is None and not waiter.evicted:
            remaining_seconds = ticket.deadline_at - self._clock.monotonic()
            if remaining_seconds <= 0:
                break
            self._clock.wait(waiter.event, min(remaining_seconds, poll_seconds))
            if not waiter.event.is_set():
                self.poll()
        return self._finish(waiter)

    def check(self, ticket: Ticket) -> result.Result[None, errors.Failure]:
        """Returns the failure if a ticket would be rejected immediately."""
        waiter = _Waiter(ticket, lambda _: None, self._clock.monotonic())
        with self._lock:
            rejection = self._reject_early(waiter) if self._queue else None
        return result.Failure(rejection) if rejection else result.Success(None)

    def release(self, ticket: Ticket, service_seconds: float | None) -> None:
        """Records that a slot was released and grants it to the next request.

        Args:
            ticket: The request that held the slot.
            service_seconds: How long an answered attempt took; None for an
                attempt without an answer.
        """
        with self._lock:
            self._in_use -= 1
            if service_seconds is not None:
                typical_seconds = self.service_seconds(ticket)
                self._seconds_by_class[ticket.class_name] = (
                    typical_seconds
                    + SERVICE_TIME_WEIGHT * (service_seconds - typical_seconds)
                )
            self._grant()

    def wake(self) -> None:
        """Grants free slots to waiting requests."""
        with self._lock:
            self._grant()

    def poll(self) -> None:
        """Grants free slots unless another thread does so or just did.

        Never blocks on the lock: its holder grants free slots anyway, and a
        queue of polling threads would delay the release of slots.
        """
        now = self._clock.monotonic()
        if now - self._polled_at < MIN_POLL_SECONDS:
            return
        if self._lock.acquire(blocking=False):
            try:
                self._polled_at = now
                self._grant()
            finally:
                self._lock.release()

    def service_seconds(self, ticket: Ticket) -> float:
        """Returns the typical service time of the ticket's class."""
        return self._seconds_by_class.get(
            ticket.class_name, INITIAL_SERVICE_SECONDS
        )

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    def _finish(self, waiter: _Waiter) -> Admitted:
        if waiter.target is not None:
            return result.Success(waiter.target)
        with self._lock:
            if waiter.target is not None:
                return result.Success(waiter.target)
            self._queue.remove(waiter.ticket, waiter)
            if waiter.evicted:
                return result.Failure(self._overloaded(waiter.evicted))
        return result.Failure(
            errors.failure(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "no slot became free before the deadline",
                errors.Executed.NO,
            )
        )

    def _grant(self) -> None:
        """Grants slots to waiting requests in fair order while any is free."""
        while self._queue:
            waiter = self._queue.first()
            if self._misses_deadline(waiter, self._clock.monotonic()):
                self._evict(waiter, "the deadline is too near")
                continue
            if not self._offer(waiter):
                return

    def _misses_deadline(self, waiter: _Waiter, now: float) -> bool:
        """Returns whether the answer would probably miss the deadline.

        Always false during the first half of the allowed time. Otherwise a
        typical time that is estimated too long would reject all requests
        whose answers could correct it.
        """
        remaining_seconds = waiter.ticket.deadline_at - now
        needed = MARGIN_FACTOR * self.service_seconds(waiter.ticket)
        return remaining_seconds < min(needed, waiter.allowed_seconds / 2)

    def _evict(self, waiter: _Waiter, reason: str) -> None:
        self._queue.remove(waiter.ticket, waiter)
        waiter.evicted = reason
        waiter.event.set()

    def _offer(self, waiter: _Waiter) -> bool:
        """Reserves a slot for a request; returns whether one was free."""
        target = waiter.reserve(max(1, len(self._queue)))
        if target is None:
            return False
        waiter.target = target
        self._queue.remove(waiter.ticket, waiter)
        self._queue.count_grant(waiter.ticket)
        self._in_use += 1
        self._grant_times.append(self._clock.monotonic())
        waiter.event.set()
        return True

    def _reject_early(self, waiter: _Waiter) -> errors.Failure | None:
        """Rejects a request that can't be served in time.

        If the queue is full, evicts a request of the caller with the most of
        them.
        """
        ticket = waiter.ticket
        if ticket.repeated:
            return None
        wait_seconds = self._queue.position(ticket) / self._grants_per_second()
        if self._misses_deadline(
            waiter, self._clock.monotonic() + wait_seconds
        ):
            return self._overloaded("the queue is too long", wait_seconds)
        if len(self._queue) < self._settings.queue_length:
            return None
        if not self._evict_for(ticket):
            return self._overloaded("the queue is full", wait_seconds)
        return None

    def _grants_per_second(self) -> float:
        """Estimates the grant rate: the higher of two estimates.

        One is based on the slots in use, the other on recent grants.
        """
        seconds = self._seconds_by_class.values()
        typical_seconds = max(seconds, default=INITIAL_SERVICE_SECONDS)
        rate_by_slots = max(1, self._in_use) / typical_seconds
        if len(self._grant_times) < 2:
            return rate_by_slots
        span_seconds = self._clock.monotonic() - self._grant_times[0]
        return max(
            rate_by_slots, len(self._grant_times) / max(span_seconds, 0.001)
        )

    def _evict_for(self, ticket: Ticket) -> bool:
        """Evicts the newest request of the caller with the longest queue."""
        newest = self._queue.newest_of_busiest_caller(ticket)
        if newest is None:
            return False
        self._evict(newest, "the queue is full")
        return True

    def _overloaded(
        self, reason: str, wait_seconds: float = 1.0
    ) -> errors.Failure:
        seconds = min(max(1, math.ceil(wait_seconds)), MAX_RETRY_AFTER_SECONDS)
        return errors.failure(
            errors.ErrorKind.OVERLOADED, reason, errors.Executed.NO, seconds
        )
