"""One connection with a peer, from hello to goodbye."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import contextlib
import socket
import threading
from typing import Any, NamedTuple

from returns import result
from websockets import exceptions
from websockets.sync import connection as connections

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import events
from wisteriasill import metrics as metrics_module
from wisteriasill import settings as settings_module
from wisteriasill.links import peer_codec
from wisteriasill.links import peer_messages
from wisteriasill.links import peer_outbox

# Newer versions only add message types and keys, which older members ignore.
LOWEST_PROTOCOL_VERSION = 1
# Every invalid message is counted, but only the first ones of a session are
# logged, so that a faulty peer cannot fill the log.
_LOGGED_INVALID_MESSAGES = 5


class SessionContext(NamedTuple):
    """State that all sessions of a process share.

    Attributes:
        settings: Settings of this entry host.
        hello: First message to each peer.
        generation: Returns the configuration generation in force.
        deliver: Called with the sender and each validated message.
        metrics: Metrics of this process.
        clock: Source of monotonic time.
        executor: Executor of the writer tasks.
    """

    settings: settings_module.EntrySettings
    hello: peer_messages.Hello
    generation: Callable[[], int]
    deliver: Callable[[peer_messages.Hello, peer_codec.Received], None]
    metrics: metrics_module.Metrics
    clock: clocks.Clock
    executor: futures.Executor


class PeerSession:
    """A connection with one peer, with a reader and a writer task."""

    def __init__(
        self, context: SessionContext, connection: connections.Connection
    ) -> None:
        self._context = context
        self._connection = connection
        self._invalid_messages = 0
        self._peer: peer_messages.Hello | None = None
        self.outbox = peer_outbox.Outbox()
        self.ended = threading.Event()

    def exchange_hello(self) -> peer_messages.Hello | None:
        """Exchanges hello messages.

        Returns:
            The peer's hello; None if it sent no valid one in time.
        """
        silence_seconds = self._context.settings.peer_silence_seconds
        try:
            self._send(self._context.hello)
            body = self._connection.recv(silence_seconds)
        except (exceptions.ConnectionClosed, TimeoutError):
            return None
        decoded = peer_codec.decode(body)
        if not isinstance(decoded, result.Success):
            self._report_invalid(decoded.failure())
            return None
        received: peer_codec.Received = decoded.unwrap()
        if received.message_type != "hello":
            return None
        hello: peer_messages.Hello = received.message
        if hello["protocol_version"] < LOWEST_PROTOCOL_VERSION:
            self._context.metrics.count("peer_version_refused")
            return None
        self._peer = hello
        return hello

    def run(self, is_wanted: Callable[[], bool]) -> str:
        """Reads messages until the link ends.

        Args:
            is_wanted: Called after each message; the link ends if it returns
                False.

        Returns:
            The reason for the end of the link.
        """
        writer = self._context.executor.submit(self._write)
        try:
            return self._read(is_wanted)
        finally:
            self.abort()
            writer.result()

    def send_goodbye(self) -> None:
        """Ends the link after sending all queued messages and a goodbye."""
        goodbye: peer_messages.Goodbye = {
            "type": "goodbye",
            "member_id": self._context.settings.member_id,
        }
        self.outbox.put("goodbye", peer_codec.encode(goodbye).unwrap())
        self.outbox.close(discard=False)

    def abort(self) -> None:
        """Ends the connection at once.

        The closing handshake would wait for a peer that may not respond, and
        a write that blocks on a full socket holds the lock of the connection.
        Shutting down the socket ends both.
        """
        self.outbox.close(discard=True)
        with contextlib.suppress(OSError):
            self._connection.socket.shutdown(socket.SHUT_RDWR)

    def _read(self, is_wanted: Callable[[], bool]) -> str:
        silence_seconds = self._context.settings.peer_silence_seconds
        while True:
            try:
                body = self._connection.recv(silence_seconds)
            except TimeoutError:
                self._context.metrics.count("peer_silent")
                return "silent"
            except exceptions.ConnectionClosed as error:
                if error.sent is not None and error.sent.code == 1009:
                    self._context.metrics.count("peer_message_too_large")
                    return "message too large"
                return "closed"
            if self._handle(body):
                return "goodbye"
            if not is_wanted():
                return "not wanted"

    def _handle(self, body: bytes | str) -> bool:
        self._context.metrics.count_control_traffic(0, len(body))
        decoded = peer_codec.decode(body)
        if not isinstance(decoded, result.Success):
            self._report_invalid(decoded.failure())
            return False
        received: peer_codec.Received = decoded.unwrap()
        if received.message is None:
            self._context.metrics.count("peer_message_unknown")
            return False
        if self._peer is not None:
            self._context.deliver(self._peer, received)
        return received.message_type == "goodbye"

    def _write(self) -> None:
        interval_seconds = self._context.settings.heartbeat_seconds
        sequence = 0
        next_heartbeat_at = self._context.clock.monotonic()
        with contextlib.suppress(exceptions.ConnectionClosed):
            while not self.outbox.closed:
                now = self._context.clock.monotonic()
                if now >= next_heartbeat_at:
                    sequence += 1
                    self._send(self._heartbeat(sequence))
                    next_heartbeat_at = now + interval_seconds
                body = self.outbox.get(max(0.0, next_heartbeat_at - now))
                if body is not None:
                    self._send_encoded(body)
        with contextlib.suppress(OSError):
            self._connection.socket.shutdown(socket.SHUT_WR)

    def _heartbeat(self, sequence: int) -> peer_messages.Heartbeat:
        return {
            "type": "heartbeat",
            "sequence": sequence,
            "generation": self._context.generation(),
        }

    def _send(self, message: peer_messages.Message) -> None:
        self._send_encoded(peer_codec.encode(message).unwrap())

    def _send_encoded(self, body: bytes) -> None:
        self._connection.send(body)
        self._context.metrics.count_control_traffic(len(body), 0)

    def _report_invalid(self, failure: errors.Failure) -> None:
        self._invalid_messages += 1
        self._context.metrics.count("peer_message_invalid")
        if self._invalid_messages <= _LOGGED_INVALID_MESSAGES:
            events.log(
                events.Event.PEER_MESSAGE_INVALID,
                "A peer sent an invalid message",
                level="WARNING",
                peer=self._peer["member_id"] if self._peer else "unknown",
                detail=failure.detail,
            )


def log_task_failure(task: str, error: BaseException, **fields: Any) -> None:
    """Logs an unexpected error of a task or handler.

    Args:
        task: Name of the task or handler.
        error: The error.
        **fields: Further fields of the log line.
    """
    events.log(
        events.Event.TASK_FAILED,
        "A task failed unexpectedly",
        level="ERROR",
        task=task,
        error=repr(error),
        **fields,
    )
