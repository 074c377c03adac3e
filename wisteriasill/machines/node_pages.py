"""HTTP pages of a node for operators: metrics and data of the commands.

`links.operator_pages` is the counterpart on entry hosts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
import json
from typing import Any

from werkzeug import wrappers

from wisteriasill import errors
from wisteriasill import events
from wisteriasill import metrics
from wisteriasill.links import problem
from wisteriasill.machines import node_views

# Each waiting request for events occupies one of few server threads.
MAX_WAIT_SECONDS = 5.0

StartResponse = Callable[..., Any]
Page = Callable[[wrappers.Request], dict[str, Any]]


class NodePages:
    """WSGI application for operators and metrics.

    Args:
        views: Builds the content of the pages.
        node_metrics: The node's metrics.
    """

    def __init__(
        self, views: node_views.NodeViews, node_metrics: metrics.Metrics
    ) -> None:
        self._metrics = node_metrics
        self._page_by_path: dict[str, Page] = {
            "/v1/status": lambda request: views.status(),
            "/v1/jobs": lambda request: views.jobs(
                request.args.get("pool", ""), request.args.get("state", "")
            ),
            "/v1/waves": lambda request: views.waves(
                request.args.get("state", "")
            ),
            "/v1/events": _events,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        request = wrappers.Request(environ)
        return self._answer(request)(environ, start_response)

    def _answer(self, request: wrappers.Request) -> wrappers.Response:
        page = self._page_by_path.get(request.path)
        if page is None and request.path.startswith("/v1/"):
            return problem.response(
                errors.failure(
                    errors.ErrorKind.NOT_FOUND,
                    f"no page {request.path}; there are "
                    f"{', '.join(self._page_by_path)}",
                )
            )
        if page is None:
            body, headers = self._metrics.render(
                request.headers.getlist("Accept") or ("*/*",)
            )
            return wrappers.Response(body, headers=headers)
        try:
            return wrappers.Response(
                json.dumps(page(request)), content_type="application/json"
            )
        except ValueError as error:
            return problem.response(
                errors.failure(errors.ErrorKind.BAD_REQUEST, str(error))
            )


def _events(request: wrappers.Request) -> dict[str, Any]:
    after = request.args.get("after", "0")
    wait_seconds = request.args.get("wait_seconds", "0")
    try:
        occurrences = events.RECENT.after(
            int(after), min(float(wait_seconds), MAX_WAIT_SECONDS)
        )
    except ValueError as error:
        raise ValueError(
            f"after={after!r} and wait_seconds={wait_seconds!r} must be numbers"
        ) from error
    return {"events": [occurrence._asdict() for occurrence in occurrences]}
