"""Client of the operator interface of an entry host."""

from __future__ import annotations

from collections.abc import Mapping
import json
from typing import Any
from urllib import parse

from returns import result

from wisteriasill import errors
from wisteriasill.links import http_client

Document = result.Result[dict[str, Any], errors.Failure]

# A publish retries its transaction for some time, see configuration_store.
TIMEOUT_SECONDS = 30.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class OperatorClient:
    """Client of one entry host, which serves requests for its whole site.

    Args:
        url: Base URL of the entry host's operator port.
        token: Bearer token; empty for none.
    """

    def __init__(self, url: str, token: str = "") -> None:
        self.url = url.rstrip("/")
        self._token = token
        self._client = http_client.HttpClient()

    def get(self, path: str, **query: str | int | float) -> Document:
        """Reads a resource.

        Args:
            path: Path of the resource.
            **query: Query parameters; empty ones are omitted.

        Returns:
            The document, or the failure that the entry host reported.
        """
        parameters = {key: value for key, value in query.items() if value != ""}
        suffix = f"?{parse.urlencode(parameters)}" if parameters else ""
        return self._call("GET", path + suffix, None)

    def post(self, path: str, document: Mapping[str, Any]) -> Document:
        """Submits a document.

        Args:
            path: Path of the resource.
            document: JSON-serializable data.

        Returns:
            The response, or the failure that the entry host reported.
        """
        return self._call("POST", path, json.dumps(document).encode())

    def _call(self, method: str, path: str, body: bytes | None) -> Document:
        headers = [("Accept", "application/json")]
        if body is not None:
            headers.append(("Content-Type", "application/json"))
        if self._token:
            headers.append(("Authorization", f"Bearer {self._token}"))
        outcome = self._client.call(
            http_client.HttpCall(
                method=method,
                url=self.url + path,
                timeout_seconds=TIMEOUT_SECONDS,
                headers=tuple(headers),
                body=body,
                fresh_connection=body is not None,
                max_body_bytes=MAX_RESPONSE_BYTES,
            )
        )
        if isinstance(outcome, result.Failure):
            return self._unreachable(outcome.failure())
        return self._read(outcome.unwrap())

    def _read(self, response: http_client.HttpAnswer) -> Document:
        try:
            document = json.loads(response.body)
        except ValueError:
            document = None
        if not isinstance(document, dict):
            return self._invalid_response(
                f"status {response.status} and no JSON object"
            )
        if response.status < 400:
            return result.Success(document)
        try:
            kind = errors.ErrorKind(document.get("kind", ""))
            executed = errors.Executed(document.get("executed", ""))
        except ValueError:
            return self._invalid_response(f"status {response.status}")
        detail = str(document.get("detail", kind.value))
        return result.Failure(errors.failure(kind, detail, executed))

    def _invalid_response(self, problem: str) -> Document:
        return result.Failure(
            errors.failure(
                errors.ErrorKind.NOT_FOUND,
                f"{self.url} does not respond like an entry host: {problem}",
            )
        )

    def _unreachable(self, fault: http_client.HttpFault) -> Document:
        return result.Failure(
            errors.failure(
                errors.ErrorKind.NOT_READY,
                f"entry host {self.url}: {fault.detail}",
                errors.Executed.UNKNOWN if fault.sent else errors.Executed.NO,
            )
        )
