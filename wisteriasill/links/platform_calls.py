"""Calls of the platform's HTTP/JSON interface and their failure kinds."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import json
from typing import Any, TypeVar
from urllib import parse

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import settings as settings_types
from wisteriasill.links import answer_cache
from wisteriasill.links import http_client

T = TypeVar("T")

_FAILURE_KIND_BY_STATUS = {
    404: errors.ErrorKind.NOT_FOUND,
    409: errors.ErrorKind.CONFLICT,
    429: errors.ErrorKind.PLATFORM_REFUSED,
    503: errors.ErrorKind.STORE_UNAVAILABLE,
}


def path_of(*parts: str) -> str:
    """Joins percent-encoded path segments; slashes in them are kept."""
    return "/" + "/".join(parse.quote(part, safe="/") for part in parts)


class PlatformCalls:
    """Client of the platform that maps HTTP faults to failures."""

    def __init__(
        self,
        settings: settings_types.EntrySettings,
        on_traffic: Callable[[int, int], None],
    ) -> None:
        self._settings = settings
        self._client = http_client.HttpClient(
            http_client.ClientSettings(settings.idle_connection_seconds),
            on_traffic,
        )
        self._cache = answer_cache.ResponseCache()

    def read(
        self, path: str
    ) -> result.Result[http_client.HttpResponse, errors.Failure]:
        """Sends a GET; without a response, fails with STORE_UNAVAILABLE."""
        for headers in (self._cache.validators(path), ()):
            outcome = self._call("GET", path, None, headers)
            if not isinstance(outcome, result.Success):
                return outcome
            resolved = self._cache.resolve(path, outcome.unwrap())
            if resolved is not None:
                return result.Success(resolved)
        return result.Failure(
            errors.failure(
                errors.ErrorKind.STORE_UNAVAILABLE,
                f"GET {path}: 304 without If-None-Match",
            )
        )

    def write(
        self, path: str, body: Mapping[str, Any]
    ) -> result.Result[http_client.HttpResponse, errors.Failure]:
        """Sends a POST with JSON.

        Returns:
            The response. Without one, a failure of kind STORE_OUTCOME_UNKNOWN,
            or STORE_UNAVAILABLE if the request was not sent.
        """
        return self._call("POST", path, json.dumps(body).encode())

    def put(
        self, path: str, body: bytes
    ) -> result.Result[http_client.HttpResponse, errors.Failure]:
        """Sends a PUT with raw bytes; failures are those of `write`."""
        return self._call("PUT", path, body)

    def write_without_reply(
        self, path: str, body: Mapping[str, Any]
    ) -> result.Result[None, errors.Failure]:
        """Sends a POST with JSON whose response has no content."""
        return self.write(path, body).bind(expect_success)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: http_client.Headers = (),
    ) -> result.Result[http_client.HttpResponse, errors.Failure]:
        timeout_seconds = self._settings.platform_timeout_seconds
        outcome = self._client.call(
            http_client.HttpCall(
                method,
                self._settings.platform_url.rstrip("/") + path,
                timeout_seconds,
                headers,
                body=body,
                fresh_connection=body is not None,
                connect_timeout_seconds=timeout_seconds / 2,
                accept_gzip=True,
            )
        )
        if isinstance(outcome, result.Failure):
            fault = outcome.failure()
            return result.Failure(
                errors.failure(
                    _no_response_kind(body is not None and fault.sent),
                    f"{method} {path}: {fault.kind}: {fault.detail}",
                )
            )
        return _check_status(outcome.unwrap(), body is not None)


def _check_status(
    response: http_client.HttpResponse, written: bool
) -> result.Result[http_client.HttpResponse, errors.Failure]:
    if response.status == 503:  # The platform guarantees that nothing happened.
        return result.Failure(_refusal(response))
    if response.status >= 500:
        return result.Failure(
            errors.failure(
                _no_response_kind(written), f"status {response.status}"
            )
        )
    return result.Success(response)


def _no_response_kind(written: bool) -> errors.ErrorKind:
    if written:
        return errors.ErrorKind.STORE_OUTCOME_UNKNOWN
    return errors.ErrorKind.STORE_UNAVAILABLE


def _refusal(response: http_client.HttpResponse) -> errors.Failure:
    kind = _FAILURE_KIND_BY_STATUS.get(
        response.status, errors.ErrorKind.PLATFORM_REFUSED
    )
    text = response.body.decode("utf-8", "replace")
    return errors.failure(kind, f"status {response.status}: {text}")


def expect_success(
    response: http_client.HttpResponse,
) -> result.Result[None, errors.Failure]:
    """Maps a status other than success to a failure."""
    if response.status >= 300:
        return result.Failure(_refusal(response))
    return result.Success(None)


def decode(
    kind: type[T], response: http_client.HttpResponse, written: bool = False
) -> result.Result[T, errors.Failure]:
    """Decodes the body of a successful response.

    Args:
        kind: Type of the body.
        response: The response.
        written: Whether the request was a write, whose outcome is unknown
            if the body cannot be decoded.

    Returns:
        The decoded body, or a failure.
    """
    rejection = expect_success(response)
    if isinstance(rejection, result.Failure):
        return rejection
    try:
        document = json.loads(response.body)
    except ValueError:
        document = None
    return documents.decode(kind, document).alt(
        lambda failure: errors.failure(
            _no_response_kind(written), failure.detail
        )
    )
