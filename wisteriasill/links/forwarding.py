"""Forwarding of requests to the targets of a pool, with retries."""

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
from wisteriasill.links import attempts
from wisteriasill.links import target_link
from wisteriasill.links import target_response
from wisteriasill.machines import host as hosts
from wisteriasill.machines import target as targets
from wisteriasill.zones import locality
from wisteriasill.zones import site as sites


class PoolState(NamedTuple):
    """State of one service's pool at this entry host.

    Attributes:
        queue: Admission queue of the service.
        budget: Retry policy with its retry budget.
    """

    queue: admission.ServiceQueue
    budget: retry.RetryPolicy


class RoutedRequest(NamedTuple):
    """A request with its routing decision.

    Attributes:
        request: The caller's request.
        route: Service and request class.
        ticket: Position of the request in the fair queue.
        pool: State of the service's pool.
        trace_id: Prefix of the ids of its attempts.
    """

    request: exchange.CallerRequest
    route: routing.Route
    ticket: fair_shares.Ticket
    pool: PoolState
    trace_id: str


class Forwarder:
    """Sends requests to targets within slot limits and retry budgets.

    Args:
        settings: Settings of this entry host.
        site: This entry host's view of the site.
        policy: Slot policy, which divides slots among the entry hosts.
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

    def retain_hosts(self, known_host_ids: frozenset[str]) -> None:
        """Deletes the health state of all targets but the known hosts."""
        self._targets.forget(known_host_ids)

    def forward(self, routed: RoutedRequest) -> attempts.Outcome:
        """Sends a request to targets until one replies or retries end.

        Args:
            routed: The request and its routing decision.

        Returns:
            The complete reply of a target, or a failure.
        """
        history = attempts.AttemptHistory()
        while True:
            admitted = self._admit(routed, history)
            if not isinstance(admitted, result.Success):
                return history.combine(result.Failure(admitted.failure()))
            target = admitted.unwrap()
            outcome = self._attempt(routed, target, history)
            if outcome is None:
                continue
            outcome = history.combine(outcome)
            history = history.with_attempt(target, outcome)
            if not self._may_repeat(routed, outcome, history):
                return outcome
            self._metrics.count("retries")
            self._pause(routed, history)

    def _pause(
        self, routed: RoutedRequest, history: attempts.AttemptHistory
    ) -> None:
        """Waits for the backoff of the retry policy, capped at the deadline."""
        seconds = routed.pool.budget.delay_seconds(history.not_refused)
        remaining = routed.ticket.deadline_at - self._clock.monotonic()
        if min(seconds, remaining) > 0:
            self._clock.wait(threading.Event(), min(seconds, remaining))

    def _may_repeat(
        self,
        routed: RoutedRequest,
        outcome: attempts.Outcome,
        history: attempts.AttemptHistory,
    ) -> bool:
        failure = attempts.failure_of(outcome)
        return (
            failure is not None
            and history.not_refused < retry.MAX_ATTEMPTS
            and self._clock.monotonic() < routed.ticket.deadline_at
            and retry.may_repeat(failure, routed.route.repeatable)
            and routed.pool.budget.withdraw(failure)
        )

    def _admit(
        self, routed: RoutedRequest, history: attempts.AttemptHistory
    ) -> admission.Admitted:
        if not self._has_available_target(routed):
            detail = f"{routed.route.service.name} has no usable worker"
            return result.Failure(
                errors.failure(errors.ErrorKind.NO_CAPACITY, detail)
            )
        ticket = routed.ticket._replace(repeated=bool(history.targets_tried))
        return routed.pool.queue.acquire(
            ticket,
            lambda waiting_requests: self._reserve(
                routed, history, waiting_requests
            ),
        )

    def _serving_hosts(self, pool: str) -> list[hosts.Host]:
        return [
            host
            for host in self._site.snapshot.hosts_by_pool.get(pool, ())
            if host.state is hosts.HostState.SERVING
        ]

    def _has_available_target(self, routed: RoutedRequest) -> bool:
        may_be_trial = routed.route.repeatable
        return any(
            self._targets.is_available(host.host_id, may_be_trial)
            for host in self._serving_hosts(routed.route.service.name)
        )

    def _reserve(
        self,
        routed: RoutedRequest,
        history: attempts.AttemptHistory,
        waiting_requests: int,
    ) -> hosts.Host | None:
        may_be_trial = routed.route.repeatable
        offered = [
            host
            for host in self._serving_hosts(routed.route.service.name)
            if self._targets.is_offered(host.host_id, may_be_trial)
        ]
        # A retry prefers untried targets, even if the target that has just
        # failed has a free slot.
        untried = [
            host for host in offered if host not in history.targets_tried
        ]
        groups = locality.groups(
            self._settings, untried or offered, history.targets_tried
        )
        return self._slots.reserve(groups, waiting_requests)

    def _attempt(
        self,
        routed: RoutedRequest,
        target: hosts.Host,
        history: attempts.AttemptHistory,
    ) -> attempts.Outcome | None:
        """Makes one attempt; None if the target is no longer usable."""
        started_at = self._clock.monotonic()
        attempt = self._build_attempt(routed, target, history, started_at)
        answered = False
        try:
            if not self._still_serving(target) or not self._targets.begin(
                target.host_id
            ):
                return None
            outcome = self._link.send(target, routed.request, attempt)
            answered = isinstance(outcome, result.Success)
        except BaseException:
            self._targets.end_trial(target.host_id)
            raise
        finally:
            # Releases the slot before the outcome is evaluated, so that the
            # next request does not wait.
            self._slots.release(target.host_id)
            elapsed = self._clock.monotonic() - started_at
            routed.pool.queue.release(
                routed.ticket, elapsed if answered else None
            )
        allowed_seconds = attempt.deadline_at - started_at
        self._update_health(routed, target, outcome, history, allowed_seconds)
        return outcome

    def _build_attempt(
        self,
        routed: RoutedRequest,
        target: hosts.Host,
        history: attempts.AttemptHistory,
        now: float,
    ) -> target_response.Attempt:
        repeatable = routed.route.repeatable
        members = max(1, len(self._site.snapshot.members_by_id))
        return target_response.Attempt(
            f"{routed.trace_id}-{len(history.targets_tried) + 1}",
            retry.attempt_deadline(
                now,
                routed.ticket.deadline_at,
                routed.pool.queue.service_seconds(routed.ticket),
                repeatable and history.not_refused + 1 < retry.MAX_ATTEMPTS,
            ),
            not repeatable,
            max(1, target.connections // (members + 1)),
        )

    def _still_serving(self, target: hosts.Host) -> bool:
        known_host = self._site.snapshot.hosts_by_id.get(target.host_id)
        return (
            known_host is not None
            and known_host.host.state is hosts.HostState.SERVING
            and known_host.host.pool == target.pool
        )

    def _update_health(
        self,
        routed: RoutedRequest,
        target: hosts.Host,
        outcome: attempts.Outcome,
        history: attempts.AttemptHistory,
        allowed_seconds: float,
    ) -> None:
        """Updates the health of targets after an attempt.

        A 5xx reply counts against its worker only if another worker then
        answers the same request without an error.
        """
        pool_host_ids = [
            host.host_id for host in self._serving_hosts(target.pool)
        ]
        failure = attempts.failure_of(outcome)
        if failure is None:
            self._targets.end(
                target.host_id, targets.AttemptOutcome.SUCCESS, pool_host_ids
            )
            for failed_target in history.targets_failed:
                self._targets.end(
                    failed_target.host_id,
                    targets.AttemptOutcome.FAILURE,
                    pool_host_ids,
                )
            return
        if failure.kind is errors.ErrorKind.TARGET_REFUSED:
            self._metrics.count("refusals")
            self._targets.refused(target.host_id, failure.retry_after_seconds)
            return
        events.log(
            events.Event.REQUEST_FAILED,
            "Attempt to forward a request failed",
            level="DEBUG",
            target=target.host_id,
            service=routed.route.service.name,
            kind=failure.kind,
            detail=failure.detail,
        )
        if isinstance(outcome, result.Success) or self._started_late(
            routed, failure, allowed_seconds
        ):
            self._targets.end_trial(target.host_id)
            return
        unreachable = failure.kind is errors.ErrorKind.TARGET_UNREACHABLE
        attempt_outcome = (
            targets.AttemptOutcome.CONNECT_FAILED
            if unreachable
            else targets.AttemptOutcome.FAILURE
        )
        self._targets.end(target.host_id, attempt_outcome, pool_host_ids)

    def _started_late(
        self,
        routed: RoutedRequest,
        failure: errors.Failure,
        allowed_seconds: float,
    ) -> bool:
        """Returns whether an attempt timed out because it started late.

        Under overload, many requests get a slot shortly before their
        deadline; their timeouts must not eject healthy targets.
        """
        if failure.kind is not errors.ErrorKind.DEADLINE_EXCEEDED:
            return False
        if failure.executed is errors.Executed.NO:
            return True
        typical_seconds = routed.pool.queue.service_seconds(routed.ticket)
        return allowed_seconds < retry.SLOW_FACTOR * typical_seconds
