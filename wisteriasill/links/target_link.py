"""Requests to targets, over a bounded pool of reusable connections."""

from __future__ import annotations

import collections
import threading
import time
from typing import Any, NamedTuple
import urllib.parse

import pycurl
from returns import result

from wisteriasill import errors
from wisteriasill import settings as setting_types
from wisteriasill.contracts import exchange
from wisteriasill.links import http_headers
from wisteriasill.links import target_response
from wisteriasill.machines import host as hosts

# Round trips between zones take a few milliseconds, so a host that takes
# longer than this to accept a connection is down.
CONNECT_SECONDS = 1.0
SAFE_PATH_CHARACTERS = "/:@!$&'()*+,;=-._~"
METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))


class _IdleConnection(NamedTuple):
    """An open connection and the time of its last use."""

    curl: Any
    used_at: float


class TargetLink:
    """Connections of this entry host to all targets; thread safe.

    Each request runs on the calling thread, which has exclusive use of its
    connection.

    Args:
        settings: Settings of this entry host.
    """

    def __init__(self, settings: setting_types.EntrySettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, collections.deque[_IdleConnection]] = (
            collections.defaultdict(collections.deque)
        )
        self._open_by_address: collections.Counter[str] = collections.Counter()

    def send(
        self,
        target: hosts.Host,
        request: exchange.CallerRequest,
        attempt: target_response.Attempt,
    ) -> target_response.Outcome:
        """Sends a request and waits for the complete response.

        Args:
            target: Host that receives the request.
            request: The caller's request.
            attempt: Id, deadline and connection limits of this attempt.

        Returns:
            The reply, or a failure that says whether the target may have
            executed the request.
        """
        curl = self._acquire(target.address, attempt)
        if curl is None:
            return target_response.failed(
                errors.ErrorKind.TARGET_REFUSED,
                f"{target.host_id}: all connections are in use",
                errors.Executed.NO,
            )
        reusable = False
        try:
            outcome, reusable = self._perform(curl, target, request, attempt)
        finally:
            self._release(
                target.address, curl, reusable and not attempt.fresh_connection
            )
        return outcome

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        with self._lock:
            idle = self._idle_by_address.pop(address, ())
            self._open_by_address[address] -= len(idle)
        for connection in idle:
            connection.curl.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in tuple(self._idle_by_address):
            self.close_idle(address)

    def open_connections(self, address: str) -> int:
        """Returns the number of open connections, including idle ones."""
        return self._open_by_address[address]

    def _acquire(
        self, address: str, attempt: target_response.Attempt
    ) -> Any | None:
        self._close_expired(address)
        with self._lock:
            idle = self._idle_by_address[address]
            if idle and not attempt.fresh_connection:
                return idle.pop().curl
            evicted = None
            if self._open_by_address[address] >= attempt.connection_limit:
                if not idle:
                    return None
                evicted = idle.popleft()
            else:
                self._open_by_address[address] += 1
        if evicted is not None:
            evicted.curl.close()
        return pycurl.Curl()

    def _close_expired(self, address: str) -> None:
        oldest_used_at = (
            time.monotonic() - self._settings.idle_connection_seconds
        )
        expired = []
        with self._lock:
            idle = self._idle_by_address[address]
            while idle and idle[0].used_at < oldest_used_at:
                expired.append(idle.popleft())
            self._open_by_address[address] -= len(expired)
        for connection in expired:
            connection.curl.close()

    def _release(self, address: str, curl: Any, reusable: bool) -> None:
        if not reusable:
            curl.close()
        with self._lock:
            if reusable:
                idle = self._idle_by_address[address]
                idle.append(_IdleConnection(curl, time.monotonic()))
            else:
                self._open_by_address[address] -= 1

    def _perform(
        self,
        curl: Any,
        target: hosts.Host,
        request: exchange.CallerRequest,
        attempt: target_response.Attempt,
    ) -> tuple[target_response.Outcome, bool]:
        remaining = attempt.deadline_at - time.monotonic()
        if remaining <= 0:
            detail = f"{target.host_id}: the deadline passed before sending"
            kind = errors.ErrorKind.DEADLINE_EXCEEDED
            return target_response.failed(
                kind, detail, errors.Executed.NO
            ), False
        response = target_response.Response(self._settings.max_body_bytes)
        _set_options(curl, target, request, attempt, remaining)
        curl.setopt(pycurl.HEADERFUNCTION, response.add_header)
        curl.setopt(pycurl.WRITEFUNCTION, response.add_body)
        try:
            curl.perform()
        except pycurl.error as error:
            failure = _curl_failure(curl, target, response, error)
            if failure.kind is errors.ErrorKind.DEADLINE_EXCEEDED:
                # The other connections to an unresponsive target are most
                # likely unresponsive as well.
                self.close_idle(target.address)
            return result.Failure(failure), False
        outcome = target_response.check_response(
            target, request, attempt, response
        )
        keep_alive = (
            "close"
            not in http_headers.first(response.headers, "Connection").lower()
        )
        return outcome, keep_alive and isinstance(outcome, result.Success)


def _set_options(
    curl: Any,
    target: hosts.Host,
    request: exchange.CallerRequest,
    attempt: target_response.Attempt,
    remaining_seconds: float,
) -> None:
    curl.reset()
    path = urllib.parse.quote(request.path, safe=SAFE_PATH_CHARACTERS)
    query = f"?{request.query}" if request.query else ""
    headers = http_headers.end_to_end(request.headers)
    lines = [f"{name}: {value}" for name, value in headers]
    lines.append(f"{exchange.REQUEST_ID_HEADER}: {attempt.attempt_id}")
    lines.append(
        f"{exchange.DEADLINE_HEADER}: {max(1, int(remaining_seconds * 1000))}"
    )
    # curl adds these headers by default unless they are set or suppressed.
    lines.extend(
        f"{name}:"
        for name in ("Expect", "Content-Type", "User-Agent", "Accept")
        if not http_headers.first(headers, name)
    )
    milliseconds = max(1, int(remaining_seconds * 1000))
    options = {
        pycurl.URL: f"http://{target.address}{path}{query}",
        pycurl.HTTPHEADER: lines,
        pycurl.NOSIGNAL: 1,
        pycurl.PROXY: "",
        pycurl.PATH_AS_IS: 1,
        pycurl.HTTP_VERSION: pycurl.CURL_HTTP_VERSION_1_1,
        pycurl.MAXCONNECTS: 1,
        pycurl.TIMEOUT_MS: milliseconds,
        pycurl.CONNECTTIMEOUT_MS: min(
            milliseconds, int(CONNECT_SECONDS * 1000)
        ),
        pycurl.FRESH_CONNECT: int(attempt.fresh_connection),
        pycurl.FORBID_REUSE: int(attempt.fresh_connection),
    }
    for option, value in options.items():
        curl.setopt(option, value)
    _set_method(curl, request)


def _set_method(curl: Any, request: exchange.CallerRequest) -> None:
    if request.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
        return
    if request.body or request.method in METHODS_WITH_BODY:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, request.body)
    curl.setopt(pycurl.CUSTOMREQUEST, request.method)


def _curl_failure(
    curl: Any,
    target: hosts.Host,
    response: target_response.Response,
    error: pycurl.error,
) -> errors.Failure:
    code, message = error.args[0], error.args[1]
    detail = f"{target.host_id}: {message}"
    if not _may_have_been_sent(curl, code):
        return errors.failure(
            errors.ErrorKind.TARGET_UNREACHABLE, detail, errors.Executed.NO
        )
    if code == pycurl.E_OPERATION_TIMEDOUT:
        kind = errors.ErrorKind.DEADLINE_EXCEEDED
    elif response.head_complete:
        kind = errors.ErrorKind.ANSWER_TRUNCATED
    else:
        kind = errors.ErrorKind.TARGET_FAILED
    return errors.failure(kind, detail, errors.Executed.UNKNOWN)


def _may_have_been_sent(curl: Any, code: int) -> bool:
    """Returns whether the target may have received any byte of the request."""
    if code in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST):
        return False
    not_connected = (
        curl.getinfo(pycurl.CONNECT_TIME) == 0
        and curl.getinfo(pycurl.REQUEST_SIZE) == 0
    )
    return not (code == pycurl.E_OPERATION_TIMEDOUT and not_connected)
