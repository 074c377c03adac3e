"""Relays a job to a peer node when this node cannot reach the store.

This covers partial store outages: a third of the nodes lose the store for
seconds, while callers still reach these nodes and may not retry a job that
was answered with 504.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
import random
import threading
import time
from typing import NamedTuple, Protocol

import cbor2
from websockets import exceptions
from websockets.sync import client
from websockets.sync import server

from wisteriasill import events
from wisteriasill.contracts import submission_policy

# A healthy peer accepts a connection within 20 ms.
OPEN_TIMEOUT_SECONDS = 0.3
ANSWER_TIMEOUT_SECONDS = 0.8  # A slow store takes 0.4 s per transaction.
# If a third of the nodes lack the store, 1 job in 27 picks three such nodes.
MAX_PEERS = 3
# Time for which a peer that failed to store a job is skipped; about one poll
# of the store by that peer.
PEER_BACKOFF_SECONDS = 1.0
# Fits a job with the largest payload and the most steps.
MAX_MESSAGE_BYTES = 200_000
CLOSE_TIMEOUT_SECONDS = 0.1


class Submission(NamedTuple):
    """A job to store.

    Attributes:
        service: Service of the queue that the job belongs to.
        job_id: Id of the job.
        value: The encoded job record.
    """

    service: str
    job_id: str
    value: bytes


Outcome = submission_policy.Outcome


class SubmissionRelay(Protocol):
    """Stores jobs through a peer node."""

    def store(self, submission: Submission, deadline: float) -> Outcome:
        """Stores a job before the monotonic time `deadline`."""


class PeerRelay:
    """Stores jobs through peer nodes, which it tries in random order.

    Args:
        peers: Returns the addresses (`IP:port`) of the peer nodes.
    """

    def __init__(self, peers: Callable[[], Collection[str]]) -> None:
        self._peers = peers
        self._skip_until_by_address: dict[str, float] = {}

    def store(self, submission: Submission, deadline: float) -> Outcome:
        """Stores a job through one of the peer nodes."""
        now = time.monotonic()
        candidates = [
            address
            for address in self._peers()
            if self._skip_until_by_address.get(address, 0.0) <= now
        ]
        outcome = Outcome.REFUSED
        for address in random.sample(
            candidates, min(MAX_PEERS, len(candidates))
        ):
            if time.monotonic() + OPEN_TIMEOUT_SECONDS > deadline:
                break
            peer_outcome = self._relay_to(address, submission, deadline)
            if peer_outcome is Outcome.STORED:
                return peer_outcome
            self._skip_until_by_address[address] = (
                time.monotonic() + PEER_BACKOFF_SECONDS
            )
            if peer_outcome is Outcome.UNKNOWN:
                outcome = peer_outcome
        return outcome

    def _relay_to(
        self, address: str, submission: Submission, deadline: float
    ) -> Outcome:
        sent = False
        try:
            with client.connect(
                f"ws://{address}",
                open_timeout=OPEN_TIMEOUT_SECONDS,
                close_timeout=CLOSE_TIMEOUT_SECONDS,
                compression=None,
                proxy=None,
            ) as connection:
                remaining_seconds = min(
                    ANSWER_TIMEOUT_SECONDS, deadline - time.monotonic()
                )
                sent = True
                connection.send(cbor2.dumps([*submission, remaining_seconds]))
                outcome = Outcome(
                    cbor2.loads(
                        connection.recv(
                            max(remaining_seconds, 0.0), decode=False
                        )
                    )
                )
        except (
            OSError,
            ValueError,
            cbor2.CBORDecodeError,
            exceptions.WebSocketException,
        ) as error:
            outcome = Outcome.UNKNOWN if sent else Outcome.REFUSED
            events.log(
                events.Event.RELAY_FAILED,
                "Relaying a job to another node failed",
                level="WARNING",
                job=submission.job_id,
                peer=address,
                outcome=outcome.value,
                error=repr(error),
            )
            return outcome
        events.log(
            events.Event.JOB_RELAYED,
            "Another node answered a relayed job",
            job=submission.job_id,
            peer=address,
            outcome=outcome.value,
        )
        return outcome


class RelayServer:
    """Stores jobs for nodes that cannot reach the store.

    Args:
        address: Address to listen on.
        store: Stores a job before a monotonic deadline; must not relay it.
    """

    def __init__(
        self,
        address: tuple[str, int],
        store: Callable[[Submission, float], Outcome],
    ) -> None:
        self._store = store
        self._server = server.serve(
            self._serve_connection,
            *address,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            open_timeout=OPEN_TIMEOUT_SECONDS,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
        )
        self._serving = threading.Thread(
            target=self._server.serve_forever, daemon=True
        )

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._server.socket.getsockname()[1])

    def start(self) -> None:
        """Starts to serve."""
        self._serving.start()

    def stop(self) -> None:
        """Stops accepting connections."""
        self._server.shutdown()

    def _serve_connection(self, connection: server.ServerConnection) -> None:
        try:
            message = connection.recv(ANSWER_TIMEOUT_SECONDS, decode=False)
            service, job_id, value, remaining_seconds = cbor2.loads(message)
            submission = Submission(str(service), str(job_id), bytes(value))
            deadline = time.monotonic() + min(
                float(remaining_seconds), ANSWER_TIMEOUT_SECONDS
            )
        except (
            TimeoutError,
            TypeError,
            ValueError,
            cbor2.CBORDecodeError,
            exceptions.ConnectionClosed,
        ) as error:
            events.log(
                events.Event.PEER_MESSAGE_INVALID,
                "A node sent an invalid relay message",
                level="WARNING",
                error=repr(error),
            )
            return
        outcome = self._store(submission, deadline)
        try:
            connection.send(cbor2.dumps(outcome.value))
        except exceptions.ConnectionClosed as error:
            events.log(
                events.Event.RELAY_FAILED,
                "A node disconnected before its relayed job was answered",
                level="WARNING",
                job=submission.job_id,
                outcome=outcome.value,
                error=repr(error),
            )
