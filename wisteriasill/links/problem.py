"""RFC 9457 problem documents for failures that this product reports."""

from __future__ import annotations

import json
from typing import Any

from werkzeug import wrappers

from wisteriasill import errors
from wisteriasill.contracts import exchange

MEDIA_TYPE = "application/problem+json"


def document(failure: errors.Failure) -> dict[str, Any]:
    """Builds the members of a problem document.

    Args:
        failure: The failure.

    Returns:
        The standard members, and the extension members `kind` and `executed`.
    """
    return {
        "type": f"urn:wisteriasill:problem:{failure.kind}",
        "title": failure.answer.title,
        "status": failure.answer.status,
        "detail": failure.detail,
        "kind": str(failure.kind),
        "executed": str(failure.executed),
    }


def response(failure: errors.Failure) -> wrappers.Response:
    """Renders a failure as an HTTP response.

    Args:
        failure: The failure.

    Returns:
        The response with status, `X-Executed` and any `Retry-After`.
    """
    http_response = wrappers.Response(
        json.dumps(document(failure)) + "\n",
        status=failure.answer.status,
        content_type=MEDIA_TYPE,
    )
    http_response.headers[exchange.EXECUTED_HEADER] = str(failure.executed)
    if failure.retry_after_seconds is not None:
        http_response.headers["Retry-After"] = str(failure.retry_after_seconds)
    if failure.kind is errors.ErrorKind.UNAUTHORIZED:
        http_response.headers["WWW-Authenticate"] = "Bearer"
    return http_response
