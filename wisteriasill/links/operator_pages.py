"""Resources of the operator interface, one method for each resource."""

from __future__ import annotations

from collections.abc import Mapping
import json
import threading
import time
from typing import Annotated, Any, NamedTuple, TypeVar

import pydantic
from returns import result
from werkzeug import wrappers

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill import settings as setting_types
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import configuration_store
from wisteriasill.contracts import jobs
from wisteriasill.contracts import maintenance
from wisteriasill.contracts import service_checks
from wisteriasill.links import operator_orders
from wisteriasill.links import operator_views
from wisteriasill.links import peer_messages
from wisteriasill.links import platform
from wisteriasill.zones import site as sites

T = TypeVar("T")
Document = result.Result[dict[str, Any], errors.Failure]

MAX_BODY_BYTES = 1024 * 1024
MAX_EVENT_WAIT_SECONDS = 20.0
# Limits the threads that wait for events, so that others keep serving.
MAX_EVENT_WAITERS = 4


class _Query(NamedTuple):
    """Query parameters of all resources."""

    pool: str = ""
    state: str = ""
    after: Annotated[int, pydantic.Field(ge=0)] = 0
    wait_seconds: Annotated[float, pydantic.Field(ge=0)] = 0.0


class _CachedScan(NamedTuple):
    """Rows and monotonic time of the last successful scan of a table."""

    rows: tuple[platform.Row, ...]
    scanned_at: float


class OperatorPages:
    """Builds documents from this entry host's view and the platform.

    Args:
        settings: Settings of this entry host.
        platform_: The platform.
        site: This entry host's view of the site.
        mesh: Links to peers, which are notified of a publish.
    """

    def __init__(
        self,
        settings: setting_types.EntrySettings,
        platform_: platform.Platform,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
    ) -> None:
        self._settings = settings
        self._platform = platform_
        self._site = site
        self._mesh = mesh
        self._last_scan_by_table: dict[str, _CachedScan] = {}
        self._event_waiters = threading.BoundedSemaphore(MAX_EVENT_WAITERS)
        self.generations_by_member: dict[str, int] = {}
        self.stopping = threading.Event()

    def status(self, request: wrappers.Request) -> Document:
        """Returns an overview of the site and whether the store responds."""
        match _parse_query(request, ()):
            case result.Failure(fault):
                return result.Failure(fault)
        snapshot = self._site.snapshot
        generations = {
            **self.generations_by_member,
            self._settings.member_id: snapshot.configuration.generation,
        }
        probe = self._platform.table.read(
            configurations.TABLE, configurations.CURRENT_KEY
        )
        store = {"reachable": True, "detail": ""}
        match probe:
            case result.Failure(fault):
                store = {"reachable": False, "detail": fault.detail}
        return self._with_ages(
            {**operator_views.status(snapshot, generations), "store": store}
        )

    def hosts(self, request: wrappers.Request) -> Document:
        """Lists hosts, optionally of one pool or in one state."""
        return _parse_query(request, ("pool", "state")).bind(
            lambda query: self._with_ages(
                {
                    "hosts": operator_views.host_rows(
                        self._site.snapshot, query.pool, query.state
                    )
                }
            )
        )

    def waves(self, request: wrappers.Request) -> Document:
        """Lists maintenance waves."""
        return _parse_query(request, ("pool", "state")).bind(
            lambda query: self._rows(maintenance.TABLE, "waves", query)
        )

    def jobs(self, request: wrappers.Request) -> Document:
        """Lists jobs and the reasons why they wait."""
        return _parse_query(request, ("pool", "state")).bind(
            lambda query: self._rows(jobs.TABLE, "jobs", query)
        )

    def configuration(self, request: wrappers.Request) -> Document:
        """Returns the configuration in force with its documents."""
        return _parse_query(request, ()).bind(
            lambda _: self._with_ages(
                operator_views.configuration_document(
                    self._site.snapshot.configuration
                )
            )
        )

    def plan(self, request: wrappers.Request) -> Document:
        """Returns the maintenance plan of each pool."""
        return _parse_query(request, ()).bind(
            lambda _: self._with_ages(
                {"pools": operator_views.plan(self._site.snapshot)}
            )
        )

    def events(self, request: wrappers.Request) -> Document:
        """Lists recent events, or waits for the next one on request."""
        return _parse_query(request, ("after", "wait_seconds")).map(
            self._events
        )

    def _events(self, query: _Query) -> dict[str, Any]:
        wait_seconds = min(query.wait_seconds, MAX_EVENT_WAIT_SECONDS)
        if self.stopping.is_set():
            wait_seconds = 0.0
        is_waiter = wait_seconds > 0 and self._event_waiters.acquire(
            blocking=False
        )
        try:
            recent_events = events.RECENT.after(
                query.after, wait_seconds if is_waiter else 0.0
            )
        finally:
            if is_waiter:
                self._event_waiters.release()
        return {
            "member_id": self._settings.member_id,
            "events": [documents.encode(event) for event in recent_events],
        }

    def publish(self, request: wrappers.Request) -> Document:
        """Publishes a change of the configuration."""
        return _parse_body(request, configuration_store.Change).bind(
            self._publish
        )

    def _publish(self, change: configuration_store.Change) -> Document:
        outcome = configuration_store.publish(
            self._platform, change, lambda: self._site.snapshot.configuration
        )
        match outcome:
            case result.Success(manifest):
                events.log(
                    events.Event.CONFIGURATION_PUBLISHED,
                    "Configuration published",
                    generation=manifest.generation,
                    author=change.author,
                )
                self._announce(manifest)
        return outcome.map(documents.encode)

    def _announce(self, manifest: configurations.Manifest) -> None:
        """Adopts a new generation here and announces it to the peers.

        Entry hosts would otherwise adopt it with their next poll.
        """
        in_force = self._site.snapshot.configuration
        if manifest.generation <= in_force.generation:
            return
        loaded = configuration_store.load(self._platform, manifest, in_force)
        match loaded:
            case result.Success(configuration):
                self._site.adopt_configuration(configuration)
        self._mesh.broadcast(
            {
                "type": "configuration",
                "manifest": documents.encode(manifest),
            }
        )

    def submit_order(self, request: wrappers.Request) -> Document:
        """Writes an order; a repeated order returns the existing one."""
        return _parse_body(request, operator_orders.OrderRequest).bind(
            self._submit_order
        )

    def _submit_order(self, order: operator_orders.OrderRequest) -> Document:
        submitted = operator_orders.submit(
            self._platform, self._site.snapshot, order
        )
        events.log(
            events.Event.OPERATOR_ORDER,
            "Order submitted",
            order_id=order.order_id,
            kind=order.kind.value,
            subject=order.subject,
            author=order.author,
        )
        return submitted.map(documents.encode)

    def order(self, request: wrappers.Request, order_id: str) -> Document:
        """Returns an order with its state."""
        return operator_orders.find(self._platform, order_id).map(
            documents.encode
        )

    def _rows(self, table: str, field: str, query: _Query) -> Document:
        """Returns the rows of a table, cached ones during a store outage."""
        store = {"reachable": True, "detail": ""}
        match self._platform.table.scan(table):
            case result.Success(rows):
                self._last_scan_by_table[table] = _CachedScan(
                    rows, time.monotonic()
                )
            case result.Failure(fault) if table in self._last_scan_by_table:
                store = {"reachable": False, "detail": fault.detail}
            case result.Failure(fault):
                return result.Failure(fault)
        scan = self._last_scan_by_table[table]
        return self._with_ages(
            {
                field: [
                    row.value
                    for row in scan.rows
                    if query.pool in ("", row.value.get("pool"))
                    and query.state in ("", row.value.get("state"))
                ],
                f"{field}_age_seconds": round(
                    time.monotonic() - scan.scanned_at, 3
                ),
                "store": store,
            }
        )

    def _with_ages(self, document: Mapping[str, Any]) -> Document:
        return result.Success(
            {
                "member_id": self._settings.member_id,
                "age_seconds": operator_views.ages(self._site),
                **document,
            }
        )


def _parse_query(
    request: wrappers.Request, allowed: tuple[str, ...]
) -> result.Result[_Query, errors.Failure]:
    parameters = request.args.to_dict()
    for key in parameters:
        if key not in allowed:
            return _malformed(
                f'unknown query parameter "{key}"'
                + service_checks.suggest(key, allowed)
            )
    return documents.decode(_Query, parameters)


def _parse_body(
    request: wrappers.Request, body_type: type[T]
) -> result.Result[T, errors.Failure]:
    # A larger body is read as well, up to the limit of the server: the response
    # to an unread body may be lost when the connection is closed.
    body = request.get_data(cache=False)
    if len(body) > MAX_BODY_BYTES:
        return result.Failure(
            errors.failure(
                errors.ErrorKind.BODY_TOO_LARGE,
                f"the body has {len(body)} bytes; {MAX_BODY_BYTES} are allowed",
            )
        )
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _malformed(f"the body is not JSON: {error}")
    if not isinstance(document, dict):
        return _malformed("the body is not a JSON object")
    return documents.decode(body_type, document)


def _malformed(detail: str) -> result.Result[Any, errors.Failure]:
    return result.Failure(errors.failure(errors.ErrorKind.BAD_REQUEST, detail))
