"""Drain requests and orders of the fleet controller, from plan to effect."""

from __future__ import annotations

from collections.abc import Iterable
import itertools
from typing import NamedTuple

from wisteriasill.contracts import host_moves
from wisteriasill.contracts import host_record
from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import fleet_hosts
from wisteriasill.machines import fleet_rows

# `lease_ms` of the platform's documentation plus a margin. Two holders must not
# send orders to the same host within it, so the request of a host stays stored
# for this long after its order, and a new holder sends no order to it before.
HOST_ORDER_LEASE_SECONDS = 3.2
# A drain request that its pool can't satisfy is withdrawn after this time, so
# that other hosts can be chosen.
REQUEST_TIMEOUT_SECONDS = 8.0
# Time in which the host list shows the effect of an order that was carried out.
# A host in standby has no worker whose change could show it.
SETTLE_SECONDS = 1.0
# An order whose effect does not show within this time counts as failed.
ORDER_TIMEOUT_SECONDS = 12.0
# The registry lists a worker for three heartbeats of 1.5 s after its end.
REGISTRATION_SECONDS = 6.0

CHANGING_STATES = frozenset(
    (host_record.HostState.MOVING, host_record.HostState.UPKEEP)
)
REJECTED = frozenset(
    (
        cluster.HostOrderOutcome.BUSY,
        cluster.HostOrderOutcome.INVALID,
        cluster.HostOrderOutcome.NOT_OF_WAVE,
    )
)


class SentOrder(NamedTuple):
    """A host to which an order was sent.

    Attributes:
        sent_at: Monotonic time of the order, or the latest possible time.
        inherited: Whether a former holder sent it, or was about to.
        answered: Whether the platform confirmed it.
    """

    request: host_moves.DrainRequest
    sent_at: float
    inherited: bool = False
    answered: bool = True

    def ended_worker(self, fleet: fleet_hosts.FleetHosts) -> bool:
        """Whether the host list shows that the order ended a worker.

        The platform's word on the order does not: it also confirms one that
        was carried out before, which leaves the worker and its runs alone.
        """
        host = fleet.host_by_id.get(self.request.host_id)
        return (
            host is not None
            and bool(self.request.worker_id)
            and fleet.listed_at > self.sent_at
            and (
                host.worker_id != self.request.worker_id
                or host.state in CHANGING_STATES
            )
        )

    def took_effect(self, fleet: fleet_hosts.FleetHosts, now: float) -> bool:
        """Whether the host list shows the effect."""
        host = fleet.host_by_id.get(self.request.host_id)
        if (
            host is None
            or fleet.listed_at <= self.sent_at
            or host.state is not host_record.HostState.UP
        ):
            return False
        # A host in standby has no worker, before or after the order.
        return host.worker_id != self.request.worker_id or (
            not host.worker_id and now - self.sent_at > SETTLE_SECONDS
        )

    def did_not_run(self, fleet: fleet_hosts.FleetHosts) -> bool:
        """Whether the host list shows that an unanswered order did not run."""
        host = fleet.host_by_id.get(self.request.host_id)
        return (
            not self.answered
            and host is not None
            and fleet.listed_at - self.sent_at > SETTLE_SECONDS
            and host.state is host_record.HostState.UP
            and host.worker_id == self.request.worker_id
        )


class EndedWorker(NamedTuple):
    """A worker that an order to its host ended, and when that showed."""

    worker: fleet_rows.DownWorker
    ended_at: float


class FleetOrders:
    """Requests that wait for their hosts to drain, and orders that were sent.

    Attributes:
        request_by_host: Requests without an order yet.
        order_by_host: Orders whose effect does not show yet.
    """

    def __init__(self) -> None:
        self.request_by_host: dict[str, host_moves.DrainRequest] = {}
        self.order_by_host: dict[str, SentOrder] = {}
        self._requested_at: dict[str, float] = {}
        # When the last call for a request ended, if it may have been carried
        # out although no answer came.
        self._unanswered_at: dict[str, float] = {}
        # Orders that are over. They stay stored for a successor, which must not
        # send orders to their hosts at once; this holder may.
        self._settled_order_by_host: dict[str, SentOrder] = {}
        self._ended_by_worker: dict[str, EndedWorker] = {}

    def inherit(
        self,
        stored_requests: Iterable[fleet_rows.StoredDrainRequest],
        claimed_at: float,
    ) -> None:
        """Takes over what a former holder stored; it may have sent orders."""
        self.order_by_host = {
            request.host_id: SentOrder(
                request, claimed_at - age_seconds, inherited=True
            )
            for request, age_seconds in stored_requests
        }

    def inherit_ended(
        self, ended: Iterable[fleet_rows.DownWorker], claimed_at: float
    ) -> None:
        """Takes over which workers ended with an order to their hosts."""
        self._ended_by_worker = {
            worker.worker_id: EndedWorker(worker, claimed_at)
            for worker in ended
        }

    def request(
        self, requests: Iterable[host_moves.DrainRequest], now: float
    ) -> None:
        """Adds requests."""
        for request in requests:
            self.request_by_host[request.host_id] = request
            self._requested_at[request.host_id] = now

    def requested_before(self, host_id: str, at: float) -> bool:
        """Whether a host's request was made before a monotonic time."""
        return self._requested_at[host_id] < at

    def in_doubt(self, host: host_record.HostRecord) -> bool:
        """Whether the listed maintenance of a host may be an order's effect.

        The platform confirms an order that was carried out before, so repeating
        it tells whose effect it is. No worker is left that it could disturb.
        """
        return (
            host.state is host_record.HostState.UPKEEP
            and host.host_id in self._unanswered_at
            and self.request_by_host[host.host_id].wave > 0
        )

    def refresh(self, fleet: fleet_hosts.FleetHosts, now: float) -> None:
        """Removes what took effect, timed out or is outdated."""
        for host_id, order in [*self.order_by_host.items()]:
            if order.ended_worker(fleet):
                worker_id = order.request.worker_id
                self._ended_by_worker.setdefault(
                    worker_id,
                    EndedWorker(
                        fleet_rows.DownWorker(worker_id, fleet.listed_version),
                        now,
                    ),
                )
            # The former holder may not have sent an inherited order.
            timeout_seconds = (
                HOST_ORDER_LEASE_SECONDS
                if order.inherited
                else ORDER_TIMEOUT_SECONDS
            )
            if now - order.sent_at > timeout_seconds:
                del self.order_by_host[host_id]
            elif not order.inherited and (
                order.took_effect(fleet, now) or order.did_not_run(fleet)
            ):
                del self.order_by_host[host_id]
                self._settled_order_by_host[host_id] = order
        self._settled_order_by_host = {
            host_id: order
            for host_id, order in self._settled_order_by_host.items()
            if now - order.sent_at <= HOST_ORDER_LEASE_SECONDS
        }
        for host_id, request in [*self.request_by_host.items()]:
            host = fleet.host_by_id.get(host_id)
            if (
                host is None
                or (
                    host.worker_id != request.worker_id
                    and not self.in_doubt(host)
                )
                or now - self._requested_at[host_id] > REQUEST_TIMEOUT_SECONDS
            ):
                self._withdraw(request)

    def record(
        self,
        request: host_moves.DrainRequest,
        outcome: cluster.HostOrderOutcome,
        now: float,
    ) -> None:
        """Records the outcome of an order; others than these are repeated."""
        if outcome is cluster.HostOrderOutcome.DONE:
            self.order_by_host[request.host_id] = SentOrder(request, now)
            del self.request_by_host[request.host_id]
            self._unanswered_at.pop(request.host_id, None)
        elif outcome is cluster.HostOrderOutcome.UNKNOWN:
            self._unanswered_at[request.host_id] = now
        elif outcome in REJECTED:
            self._withdraw(request)

    def _withdraw(self, request: host_moves.DrainRequest) -> None:
        """Removes a request; an order that may have run for it remains."""
        del self.request_by_host[request.host_id]
        sent_at = self._unanswered_at.pop(request.host_id, None)
        if sent_at is not None:
            self.order_by_host[request.host_id] = SentOrder(
                request, sent_at, answered=False
            )

    def in_maintenance(
        self,
        wave: queues.WaveOrder,
        hosts: Iterable[host_record.HostRecord],
    ) -> int:
        """Returns how many hosts of a wave may be in maintenance.

        The list of hosts may lag, so settled orders count as well. Hosts with a
        request are not counted.
        """
        ordered = {
            order.request.host_id
            for order in itertools.chain(
                self.order_by_host.values(),
                self._settled_order_by_host.values(),
            )
            if order.request.wave == wave.number
        }
        without_order = {*wave.host_ids}.difference(
            self.order_by_host,
            self._settled_order_by_host,
            self.request_by_host,
        )
        listed = {
            host.host_id
            for host in hosts
            if host.state is host_record.HostState.UPKEEP
            and host.host_id in without_order
        }
        return len(ordered | listed)

    def arriving_by_service(self) -> dict[str, int]:
        """Returns how many hosts are about to move to each pool."""
        arriving: dict[str, int] = {}
        for request in itertools.chain(
            self.request_by_host.values(),
            (order.request for order in self.order_by_host.values()),
        ):
            if request.service:
                arriving[request.service] = arriving.get(request.service, 0) + 1
        return arriving

    def to_store(self, now: float) -> list[fleet_rows.StoredDrainRequest]:
        """Returns what a successor and the pools have to know.

        Requests of ordered hosts stay stored, so that their workers get no
        tasks until they are gone.
        """
        order_by_host = {**self._settled_order_by_host, **self.order_by_host}
        return [
            *(
                fleet_rows.StoredDrainRequest(
                    order.request, now - order.sent_at
                )
                for host_id, order in order_by_host.items()
                if host_id not in self.request_by_host
            ),
            *(
                fleet_rows.StoredDrainRequest(request, 0.0)
                for request in self.request_by_host.values()
            ),
        ]

    def ended_workers(self, now: float) -> dict[str, fleet_rows.DownWorker]:
        """Returns workers that ended, but that the registry may still list.

        Args:
            now: Monotonic time.

        Returns:
            The workers by their ids.
        """
        self._ended_by_worker = {
            worker_id: ended
            for worker_id, ended in self._ended_by_worker.items()
            if now - ended.ended_at < REGISTRATION_SECONDS
        }
        return {
            worker_id: ended.worker
            for worker_id, ended in self._ended_by_worker.items()
        }
