"""The attempts to have a request answered by the targets of its pool."""

from __future__ import annotations

import threading
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import events
from wisteriasill import metrics as metric_types
from wisteriasill import settings as setting_types
from wisteriasill.contracts import admission
from wisteriasill.contracts import exchange
from wisteriasill.contracts import fair_shares
from wisteriasill.contracts import retry
from wisteriasill.contracts import routing
from wisteriasill.contracts import slots
from wisteriasill.links import progress as attempts
from wisteriasill.links import target_link
from wisteriasill.links import target_response
from wisteriasill.machines import host as hosts
from wisteriasill.machines import target as targets
from wisteriasill.zones import nearness
from wisteriasill.zones import site as sites


class PoolState(NamedTuple):
    """What this entry host holds for one service."""

    queue: admission.ServiceQueue
    budget: retry.RetryPolicy


class Order(NamedTuple):
    """A request on its way, with what was decided about it."""

    request: exchange.CallerRequest
    route: routing.Route
    ticket: fair_shares.Ticket
    pool: PoolState
    trace_id: str


class Forwarder:
    """Sends requests to targets, within slots and retry budget.

    Args:
        settings: Settings of this entry host.
        site: What is known of the site.
        policy: Shares slots with the other entry hosts.
        metrics: Metrics of this process.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        settings: setting_types.EntrySettings,
        site: sites.Site,
        policy: slots.SlotPolicy,
        metrics: metric_types.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._site = site
        self._slots = policy
        self._metrics = metrics
        self._clock = clock
        self._link = target_link.TargetLink(settings)
        self._targets = targets.Targets(clock)

    def close(self) -> None:
        """Closes idle connections."""
        self._link.close()

    def forget_hosts(self, known: frozenset[str]) -> None:
        """Drops what is remembered of hosts that are gone."""
        self._targets.forget(known)

    def forward(self, order: Order) -> attempts.Outcome:
        """Has targets try a request until one answers or none may.

        Args:
            order: The request and what was decided about it.

        Returns:
            The whole reply of a target, or a failure.
        """
        progress = attempts.Progress()
        while True:
            admitted = self._admit(order, progress)
            if not isinstance(admitted, result.Success):
                return progress.combine(result.Failure(admitted.failure()))
            target = admitted.unwrap()
            outcome = self._attempt(order, target, progress)
            if outcome is None:
                continue
            outcome = progress.combine(outcome)
            progress = progress.after(target, outcome)
            if not self._may_repeat(order, outcome, progress):
                return outcome
            self._metrics.count("retries")
            self._pause(order, progress)

    def _pause(self, order: Order, progress: attempts.Progress) -> None:
        """Waits as the retry policy says, at most until the deadline."""
        seconds = order.pool.budget.delay_seconds(progress.runs)
        remaining = order.ticket.deadline_at - self._clock.monotonic()
        if min(seconds, remaining) > 0:
            self._clock.wait(threading.Event(), min(seconds, remaining))

    def _may_repeat(
        self,
        order: Order,
        outcome: attempts.Outcome,
        progress: attempts.Progress,
    ) -> bool:
        failure = attempts.failure_of(outcome)
        return (
            failure is not None
            and progress.runs < retry.MOST_ATTEMPTS
            and self._clock.monotonic() < order.ticket.deadline_at
            and retry.may_repeat(failure, order.route.repeatable)
            and order.pool.budget.withdraw(failure)
        )

    def _admit(
        self, order: Order, progress: attempts.Progress
    ) -> admission.Admitted:
        if not self._available(order):
            detail = f"{order.route.service.name} has no usable worker"
            return result.Failure(
                errors.failure(errors.ErrorKind.NO_CAPACITY, detail)
            )
        ticket = order.ticket._replace(repeated=bool(progress.tried))
        return order.pool.queue.acquire(
            ticket, lambda wanted: self._reserve(order, progress, wanted)
        )

    def _serving(self, pool: str) -> list[hosts.Host]:
        return [
            item
            for item in self._site.snapshot.hosts_by_pool.get(pool, ())
            if item.state is hosts.HostState.SERVING
        ]

    def _available(self, order: Order) -> bool:
        trial = order.route.repeatable
        return any(
            self._targets.is_available(item.host_id, trial)
            for item in self._serving(order.route.service.name)
        )

    def _reserve(
        self, order: Order, progress: attempts.Progress, wanted: int
    ) -> hosts.Host | None:
        trial = order.route.repeatable
        offered = [
            item
            for item in self._serving(order.route.service.name)
            if self._targets.is_offered(item.host_id, trial)
        ]
        # A slot that is free at once must not draw a retry to the target
        # that has just failed.
        untried = [item for item in offered if item not in progress.tried]
        groups = nearness.groups(
            self._settings, untried or offered, progress.tried
        )
        return self._slots.reserve(groups, wanted)

    def _attempt(
        self,
        order: Order,
        target: hosts.Host,
        progress: attempts.Progress,
    ) -> attempts.Outcome | None:
        """Makes one attempt; None if the target may not be used any more."""
        started_at = self._clock.monotonic()
        details = self._details(order, target, progress, started_at)
        answered = False
        try:
            if not self._still_serving(target) or not self._targets.begin(
                target.host_id
            ):
                return None
            outcome = self._link.send(target, order.request, details)
            answered = isinstance(outcome, result.Success)
        except BaseException:
            self._targets.end_trial(target.host_id)
            raise
        finally:
            # The next request gets the slot before this one is looked at.
            self._slots.release(target.host_id)
            elapsed = self._clock.monotonic() - started_at
            order.pool.queue.release(
                order.ticket, elapsed if answered else None
            )
        allowed_seconds = details.deadline_at - started_at
        self._judge(order, target, outcome, progress, allowed_seconds)
        return outcome

    def _details(
        self,
        order: Order,
        target: hosts.Host,
        progress: attempts.Progress,
        now: float,
    ) -> target_response.Attempt:
        repeatable = order.route.repeatable
        members = max(1, len(self._site.snapshot.members_by_id))
        return target_response.Attempt(
            f"{order.trace_id}-{len(progress.tried) + 1}",
            retry.attempt_deadline(
                now,
                order.ticket.deadline_at,
                order.pool.queue.service_seconds(order.ticket),
                repeatable and progress.runs + 1 < retry.MOST_ATTEMPTS,
            ),
            not repeatable,
            max(1, target.connections // (members + 1)),
        )

    def _still_serving(self, target: hosts.Host) -> bool:
        known = self._site.snapshot.hosts_by_id.get(target.host_id)
        return (
            known is not None
            and known.host.state is hosts.HostState.SERVING
            and known.host.pool == target.pool
        )

    def _judge(
        self,
        order: Order,
        target: hosts.Host,
        outcome: attempts.Outcome,
        progress: attempts.Progress,
        allowed_seconds: float,
    ) -> None:
        """Notes what an attempt says about its target.

        An error that the worker answered itself counts against it only when
        another worker then answered the same request well.
        """
        pool = [item.host_id for item in self._serving(target.pool)]
        failure = attempts.failure_of(outcome)
        if failure is None:
            self._targets.end(target.host_id, targets.Verdict.GOOD, pool)
            for item in progress.failed_at:
                self._targets.end(item.host_id, targets.Verdict.BROKEN, pool)
            return
        if failure.kind is errors.ErrorKind.TARGET_REFUSED:
            self._metrics.count("refusals")
            self._targets.refused(target.host_id, failure.retry_after_seconds)
            return
        events.log(
            events.Event.REQUEST_FAILED,
            "attempt failed",
            level="DEBUG",
            target=target.host_id,
            service=order.route.service.name,
            kind=failure.kind,
            detail=failure.detail,
        )
        if isinstance(outcome, result.Success) or self._too_short(
            order, failure, allowed_seconds
        ):
            self._targets.end_trial(target.host_id)
            return
        gone = failure.kind is errors.ErrorKind.TARGET_UNREACHABLE
        verdict = targets.Verdict.GONE if gone else targets.Verdict.BROKEN
        self._targets.end(target.host_id, verdict, pool)

    def _too_short(
        self, order: Order, failure: errors.Failure, allowed_seconds: float
    ) -> bool:
        """Whether an attempt timed out that had little time from the start.

        Under overload many requests get their slot late; their time-outs
        must not eject healthy targets.
        """
        if failure.kind is not errors.ErrorKind.DEADLINE_EXCEEDED:
            return False
        if failure.executed is errors.Executed.NO:
            return True
        typical = order.pool.queue.service_seconds(order.ticket)
        return allowed_seconds < retry.SLOW_FACTOR * typical
