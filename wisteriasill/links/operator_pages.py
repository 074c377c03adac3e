"""Answers of the operators' interface, one method for each resource."""

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
# The others keep answering while these wait for events.
MAX_EVENT_WAITERS = 4


class _Query(NamedTuple):
    """Query parameters of all resources."""

    pool: str = ""
    state: str = ""
    after: Annotated[int, pydantic.Field(ge=0)] = 0
    wait_seconds: Annotated[float, pydantic.Field(ge=0)] = 0.0


class _Scan(NamedTuple):
    """The last rows of a table that were read."""

    rows: tuple[platform.Row, ...]
    at: float


class OperatorPages:
    """Answers operators from this entry host's view and the platform.

    Args:
        settings: Settings of this entry host.
        platform_: The platform.
        site: What this entry host knows.
        mesh: Links to peers, which hear of a publish at once.
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
        self._last_scans: dict[str, _Scan] = {}
        self._event_waiters = threading.BoundedSemaphore(MAX_EVENT_WAITERS)
        self.generations_by_member: dict[str, int] = {}
        self.stopping = threading.Event()

    def status(self, request: wrappers.Request) -> Document:
        """Overview of the site; tells whether the store answers."""
        match _query(request, ()):
            case result.Failure(wrong):
                return result.Failure(wrong)
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
            case result.Failure(wrong):
                store = {"reachable": False, "detail": wrong.detail}
        return self._known(
            {**operator_views.status(snapshot, generations), "store": store}
        )

    def hosts(self, request: wrappers.Request) -> Document:
        """Hosts, of one pool or in one state if asked."""
        return _query(request, ("pool", "state")).bind(
            lambda query: self._known(
                {
                    "hosts": operator_views.host_rows(
                        self._site.snapshot, query.pool, query.state
                    )
                }
            )
        )

    def waves(self, request: wrappers.Request) -> Document:
        """Maintenance waves."""
        return _query(request, ("pool", "state")).bind(
            lambda query: self._rows(maintenance.TABLE, "waves", query)
        )

    def jobs(self, request: wrappers.Request) -> Document:
        """Jobs and why they wait."""
        return _query(request, ("pool", "state")).bind(
            lambda query: self._rows(jobs.TABLE, "jobs", query)
        )

    def configuration(self, request: wrappers.Request) -> Document:
        """The configuration in force with its documents."""
        return _query(request, ()).bind(
            lambda _: self._known(
                operator_views.configuration_document(
                    self._site.snapshot.configuration
                )
            )
        )

    def plan(self, request: wrappers.Request) -> Document:
        """Maintenance outlook of each pool."""
        return _query(request, ()).bind(
            lambda _: self._known(
                {"pools": operator_views.plan(self._site.snapshot)}
            )
        )

    def events(self, request: wrappers.Request) -> Document:
        """Recent events; waits for the next one if asked."""
        return _query(request, ("after", "wait_seconds")).map(self._events)

    def _events(self, query: _Query) -> dict[str, Any]:
        wait_seconds = min(query.wait_seconds, MAX_EVENT_WAIT_SECONDS)
        if self.stopping.is_set():
            wait_seconds = 0.0
        may_wait = wait_seconds > 0 and self._event_waiters.acquire(
            blocking=False
        )
        try:
            found = events.RECENT.after(
                query.after, wait_seconds if may_wait else 0.0
            )
        finally:
            if may_wait:
                self._event_waiters.release()
        return {
            "member_id": self._settings.member_id,
            "events": [documents.encode(item) for item in found],
        }

    def publish(self, request: wrappers.Request) -> Document:
        """Publishes a change of the configuration."""
        return _body(request, configuration_store.Change).bind(self._publish)

    def _publish(self, change: configuration_store.Change) -> Document:
        outcome = configuration_store.publish(
            self._platform, change, lambda: self._site.snapshot.configuration
        )
        match outcome:
            case result.Success(manifest):
                events.log(
                    events.Event.CONFIGURATION_PUBLISHED,
                    "configuration published",
                    generation=manifest.generation,
                    author=change.author,
                )
                self._spread(manifest)
        return outcome.map(documents.encode)

    def _spread(self, manifest: configurations.Manifest) -> None:
        """Puts a published generation in force ahead of the polls."""
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
        """Writes an order; a repeat returns the same order."""
        return _body(request, operator_orders.OrderRequest).bind(
            self._submit_order
        )

    def _submit_order(self, order: operator_orders.OrderRequest) -> Document:
        submitted = operator_orders.submit(
            self._platform, self._site.snapshot, order
        )
        events.log(
            events.Event.OPERATOR_ORDER,
            "order submitted",
            order_id=order.order_id,
            kind=order.kind.value,
            subject=order.subject,
            author=order.author,
        )
        return submitted.map(documents.encode)

    def order(self, request: wrappers.Request, order_id: str) -> Document:
        """One order and whether it has been carried out."""
        return operator_orders.find(self._platform, order_id).map(
            documents.encode
        )

    def _rows(self, table: str, member: str, query: _Query) -> Document:
        """Rows of a table; the last known ones when the store is down."""
        store = {"reachable": True, "detail": ""}
        match self._platform.table.scan(table):
            case result.Success(rows):
                self._last_scans[table] = _Scan(rows, time.monotonic())
            case result.Failure(wrong) if table in self._last_scans:
                store = {"reachable": False, "detail": wrong.detail}
            case result.Failure(wrong):
                return result.Failure(wrong)
        scan = self._last_scans[table]
        return self._known(
            {
                member: [
                    row.value
                    for row in scan.rows
                    if query.pool in ("", row.value.get("pool"))
                    and query.state in ("", row.value.get("state"))
                ],
                f"{member}_age_seconds": round(time.monotonic() - scan.at, 3),
                "store": store,
            }
        )

    def _known(self, document: Mapping[str, Any]) -> Document:
        return result.Success(
            {
                "member_id": self._settings.member_id,
                "age_seconds": operator_views.ages(self._site),
                **document,
            }
        )


def _query(
    request: wrappers.Request, allowed: tuple[str, ...]
) -> result.Result[_Query, errors.Failure]:
    given = request.args.to_dict()
    for key in given:
        if key not in allowed:
            return _malformed(
                f'unknown query parameter "{key}"'
                + service_checks.nearest(key, allowed)
            )
    return documents.decode(_Query, given)


def _body(
    request: wrappers.Request, kind: type[T]
) -> result.Result[T, errors.Failure]:
    # A larger body is read all the same, up to the server's own bound: an
    # answer to an unread body may be lost when the connection closes.
    body = request.get_data(cache=False)
    if len(body) > MAX_BODY_BYTES:
        return result.Failure(
            errors.failure(
                errors.ErrorKind.BODY_TOO_LARGE,
                f"the body has {len(body)} bytes; {MAX_BODY_BYTES} are allowed",
            )
        )
    try:
        plain = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _malformed(f"the body is not JSON: {error}")
    if not isinstance(plain, dict):
        return _malformed("the body is not a JSON object")
    return documents.decode(kind, plain)


def _malformed(detail: str) -> result.Result[Any, errors.Failure]:
    return result.Failure(errors.failure(errors.ErrorKind.BAD_REQUEST, detail))
