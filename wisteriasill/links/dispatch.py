"""The way of a caller's request to a target and back."""

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


class Idempotency(Protocol):
    """What the dispatcher needs of the idempotency records."""

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
        """Frees the key of a request that was surely not executed."""

    def mark_unknown(self, claim: Any) -> Any:
        """Records that the outcome is not known."""


class Dispatcher:
    """Answers callers' requests through targets; thread safe.

    Args:
        settings: Settings of this entry host.
        site: What is known of the site.
        mesh: Links to the peers.
        idempotency: Records of requests that must not be repeated.
        metrics: Metrics of this process.
        clock: Source of monotonic time.
        retry_policy: Builds the retry policy of each pool.
    """

    def __init__(
        self,
        settings: setting_types.EntrySettings,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        idempotency: Idempotency,
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
        """Starts the task of the slot policy."""
        self._slots.start()

    def stop(self) -> None:
        """Ends the task and closes idle connections."""
        self._slots.stop()
        self._forwarder.close()

    def handle(self, request: exchange.CallerRequest) -> Outcome:
        """Answers one request.

        Args:
            request: The request, read whole.

        Returns:
            The whole reply of a target, or a failure.
        """
        configuration = self._site.snapshot.configuration
        found = routing.find_route(configuration.services_by_name, request)
        if not isinstance(found, result.Success):
            return result.Failure(found.failure())
        route = found.unwrap()
        order = self._order(request, route)
        if route.repeatable:
            outcome = self._forwarder.forward(order)
        else:
            outcome = self._forward_once(order)
        self._observe(order, outcome)
        return outcome

    def _order(
        self, request: exchange.CallerRequest, route: routing.Route
    ) -> forwarding.Order:
        limit_ms = route.request_class.deadline_ms
        if request.deadline_ms > 0:
            limit_ms = min(limit_ms, request.deadline_ms)
        ticket = fair_shares.Ticket(
            request.caller,
            route.request_class.name,
            route.request_class.urgent,
            request.received_at + limit_ms / 1000,
        )
        pool = self._pool(route.service.name)
        pool.budget.deposit()
        return forwarding.Order(
            request, route, ticket, pool, uuid.uuid4().hex[:16]
        )

    def _pool(self, name: str) -> forwarding.PoolState:
        with self._pools_lock:
            if name not in self._pools_by_service:
                self._pools_by_service[name] = forwarding.PoolState(
                    admission.ServiceQueue(self._settings, self._clock),
                    self._retry_policy(self._clock),
                )
            return self._pools_by_service[name]

    def _forward_once(self, order: forwarding.Order) -> Outcome:
        """Answers a request that must not be repeated."""
        request = order.request
        if not request.idempotency_key:
            detail = f"{order.route.service.name} requires an Idempotency-Key"
            return result.Failure(
                errors.failure(errors.ErrorKind.KEY_MISSING, detail)
            )
        room = order.pool.queue.check(order.ticket)
        if isinstance(room, result.Failure):
            # The record was not read: an earlier attempt with the key may
            # have been executed.
            early = room.failure()
            return result.Failure(
                early._replace(executed=errors.Executed.UNKNOWN)
            )
        claimed = self._idempotency.claim(
            order.route.service.name,
            request.caller,
            request.idempotency_key,
            body_digest(request),
            order.ticket.deadline_at,
        )
        if not isinstance(claimed, result.Success):
            return result.Failure(claimed.failure())
        claim = claimed.unwrap()
        if isinstance(claim, exchange.Reply):
            return result.Success(claim)
        outcome = self._forwarder.forward(order)
        self._settle(claim, outcome)
        return outcome

    def _settle(self, claim: Any, outcome: Outcome) -> None:
        if isinstance(outcome, result.Success):
            self._idempotency.finish(claim, outcome.unwrap())
        elif outcome.failure().executed is errors.Executed.NO:
            self._idempotency.release(claim)
        else:
            self._idempotency.mark_unknown(claim)

    def _observe(self, order: forwarding.Order, outcome: Outcome) -> None:
        kind = "answered"
        if isinstance(outcome, result.Failure):
            kind = str(outcome.failure().kind)
        self._metrics.observe_request(
            {
                "service": order.route.service.name,
                "class": order.route.request_class.name,
                "caller": order.request.caller,
            },
            kind,
            self._clock.monotonic() - order.request.received_at,
        )

    def _site_changed(self, snapshot: sites.SiteSnapshot) -> None:
        self._forwarder.forget_hosts(frozenset(snapshot.hosts_by_id))
        self._wake()

    def _wake(self) -> None:
        for pool in tuple(self._pools_by_service.values()):
            pool.queue.wake()


def body_digest(request: exchange.CallerRequest) -> str:
    """Returns the digest by which a reused key is told from a repeat."""
    head = f"{request.method} {request.path}?{request.query}\n".encode()
    return hashlib.sha256(head + request.body).hexdigest()
