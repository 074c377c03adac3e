"""Dispatch of callers' requests to targets, with idempotency records."""

from __future__ import annotations

from collections.abc import Callable
import hashlib
import threading
from typing import Any, Protocol
import uuid

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import metrics as metric_types
from wisteriasill import settings as setting_types
from wisteriasill.contracts import admission
from wisteriasill.contracts import exchange
from wisteriasill.contracts import fair_shares
from wisteriasill.contracts import retry
from wisteriasill.contracts import routing
from wisteriasill.contracts import slot_policies
from wisteriasill.links import forwarding
from wisteriasill.links import peer_messages
from wisteriasill.zones import site as sites

Outcome = result.Result[exchange.Reply, errors.Failure]


class IdempotencyRecords(Protocol):
    """Store of idempotency records, as the dispatcher uses it."""

    def claim(
        self,
        service: str,
        caller: str,
        key: str,
        body_digest: str,
        deadline_at: float,
    ) -> result.Result[Any, errors.Failure]:
        """Claims a key, or returns the recorded `Reply`."""

    def finish(self, claim: Any, reply: exchange.Reply) -> Any:
        """Records the reply."""

    def release(self, claim: Any) -> Any:
        """Deletes the claim of a request that was certainly not executed."""

    def mark_unknown(self, claim: Any) -> Any:
        """Records that the outcome of the request is unknown."""


class Dispatcher:
    """Forwards callers' requests to targets; thread safe.

    Args:
        settings: Settings of this entry host.
        site: This entry host's view of the site.
        mesh: Links to the peers.
        idempotency: Records of requests that must run at most once.
        metrics: Metrics of this process.
        clock: Source of monotonic time.
        retry_policy: Factory for the retry policy of each pool.
    """

    def __init__(
        self,
        settings: setting_types.EntrySettings,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        idempotency: IdempotencyRecords,
        metrics: metric_types.Metrics,
        clock: clocks.Clock,
        retry_policy: Callable[
            [clocks.Clock], retry.RetryPolicy
        ] = retry.RetryBudget,
    ) -> None:
        self._retry_policy = retry_policy
        self._settings = settings
        self._site = site
        self._idempotency = idempotency
        self._metrics = metrics
        self._clock = clock
        self._slots = slot_policies.build(settings, site, mesh, clock)
        self._forwarder = forwarding.Forwarder(
            settings, site, self._slots, metrics, clock
        )
        self._pools_lock = threading.Lock()
        self._pools_by_service: dict[str, forwarding.PoolState] = {}
        self._slots.add_listener(self._wake)
        site.add_listener(self._site_changed)

    def start(self) -> None:
        """Starts the background task of the slot policy."""
        self._slots.start()

    def stop(self) -> None:
        """Stops the background task and closes idle connections."""
        self._slots.stop()
        self._forwarder.close()

    def handle(self, request: exchange.CallerRequest) -> Outcome:
        """Handles one request.

        Args:
            request: The request with its complete body.

        Returns:
            The complete reply of a target, or a failure.
        """
        configuration = self._site.snapshot.configuration
        routing_result = routing.find_route(
            configuration.services_by_name, request
        )
        if not isinstance(routing_result, result.Success):
            return result.Failure(routing_result.failure())
        route = routing_result.unwrap()
        routed = self._route_request(request, route)
        if route.repeatable:
            outcome = self._forwarder.forward(routed)
        else:
            outcome = self._forward_once(routed)
        self._count_request(routed, outcome)
        return outcome

    def _route_request(
        self, request: exchange.CallerRequest, route: routing.Route
    ) -> forwarding.RoutedRequest:
        limit_ms = route.request_class.deadline_ms
        if request.deadline_ms > 0:
            limit_ms = min(limit_ms, request.deadline_ms)
        ticket = fair_shares.Ticket(
            request.caller,
            route.request_class.name,
            route.request_class.urgent,
            request.received_at + limit_ms / 1000,
        )
        pool = self._pool_state(route.service.name)
        pool.budget.deposit()
        return forwarding.RoutedRequest(
            request, route, ticket, pool, uuid.uuid4().hex[:16]
        )

    def _pool_state(self, name: str) -> forwarding.PoolState:
        with self._pools_lock:
            if name not in self._pools_by_service:
                self._pools_by_service[name] = forwarding.PoolState(
                    admission.ServiceQueue(self._settings, self._clock),
                    self._retry_policy(self._clock),
                )
            return self._pools_by_service[name]

    def _forward_once(self, routed: forwarding.RoutedRequest) -> Outcome:
        """Handles a request that must run at most once."""
        request = routed.request
        if not request.idempotency_key:
            detail = f"{routed.route.service.name} requires an Idempotency-Key"
            return result.Failure(
                errors.failure(errors.ErrorKind.KEY_MISSING, detail)
            )
        admission_check = routed.pool.queue.check(routed.ticket)
        if isinstance(admission_check, result.Failure):
            # The request is rejected before its idempotency record is read;
            # an earlier request with the same key may have been executed.
            rejection = admission_check.failure()
            return result.Failure(
                rejection._replace(executed=errors.Executed.UNKNOWN)
            )
        claim_result = self._idempotency.claim(
            routed.route.service.name,
            request.caller,
            request.idempotency_key,
            body_digest(request),
            routed.ticket.deadline_at,
        )
        if not isinstance(claim_result, result.Success):
            return result.Failure(claim_result.failure())
        claim = claim_result.unwrap()
        if isinstance(claim, exchange.Reply):
            return result.Success(claim)
        outcome = self._forwarder.forward(routed)
        self._record_outcome(claim, outcome)
        return outcome

    def _record_outcome(self, claim: Any, outcome: Outcome) -> None:
        if isinstance(outcome, result.Success):
            self._idempotency.finish(claim, outcome.unwrap())
        elif outcome.failure().executed is errors.Executed.NO:
            self._idempotency.release(claim)
        else:
            self._idempotency.mark_unknown(claim)

    def _count_request(
        self, routed: forwarding.RoutedRequest, outcome: Outcome
    ) -> None:
        kind = "answered"
        if isinstance(outcome, result.Failure):
            kind = str(outcome.failure().kind)
        self._metrics.observe_request(
            {
                "service": routed.route.service.name,
                "class": routed.route.request_class.name,
                "caller": routed.request.caller,
            },
            kind,
            self._clock.monotonic() - routed.request.received_at,
        )

    def _site_changed(self, snapshot: sites.SiteSnapshot) -> None:
        self._forwarder.retain_hosts(frozenset(snapshot.hosts_by_id))
        self._wake()

    def _wake(self) -> None:
        for pool in tuple(self._pools_by_service.values()):
            pool.queue.wake()


def body_digest(request: exchange.CallerRequest) -> str:
    """Returns a digest that differs if a key is reused for another request."""
    head = f"{request.method} {request.path}?{request.query}\n".encode()
    return hashlib.sha256(head + request.body).hexdigest()
