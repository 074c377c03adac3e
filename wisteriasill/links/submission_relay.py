"""Hands a job to another node when this one can't reach the store.

The load pattern it answers: a third of the nodes lose the store for seconds,
while callers go on reaching them and may not repeat a job that got 504.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
import enum
import random
import threading
import time
from typing import NamedTuple, Protocol

import cbor2
from websockets import exceptions
from websockets.sync import client
from websockets.sync import server

from wisteriasill import events

# A peer answers in 20 ms; one that does not is gone or cut off.
OPEN_SECONDS = 0.3
ANSWER_SECONDS = 0.8  # A slow store takes 0.4 s a transaction.
# Of three random nodes, one of a third without the store is no use to 1 in 27.
MOST_PEERS = 3
# Time for which a peer that was no use is left out; about a look of its own.
AVOID_SECONDS = 1.0
MOST_MESSAGE_BYTES = 200_000  # A job of the largest payload and most steps.
CLOSE_SECONDS = 0.1


class Submission(NamedTuple):
    """A job's row that is to be stored.

    Attributes:
        value: The encoded record.
    """

    service: str
    job_id: str
    value: bytes


class Outcome(enum.StrEnum):
    """What became of a submission.

    REFUSED ones are certainly not stored by this attempt; UNKNOWN ones may be
    stored, even later.
    """

    STORED = "stored"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class SubmissionRelay(Protocol):
    """Another way to the store than this node's own."""

    def store(self, submission: Submission, deadline: float) -> Outcome:
        """Stores a job's row by the steady time `deadline`."""


class PeerRelay:
    """Asks other nodes to store a job.

    Args:
        peers: Returns the addresses (`IP:port`) of the other nodes.
    """

    def __init__(self, peers: Callable[[], Collection[str]]) -> None:
        self._peers = peers
        self._useless_until: dict[str, float] = {}

    def store(self, submission: Submission, deadline: float) -> Outcome:
        """Stores a job's row through some other node."""
        now = time.monotonic()
        useful = [
            address
            for address in self._peers()
            if self._useless_until.get(address, 0.0) <= now
        ]
        outcome = Outcome.REFUSED
        for address in random.sample(useful, min(MOST_PEERS, len(useful))):
            if time.monotonic() + OPEN_SECONDS > deadline:
                break
            answer = self._ask(address, submission, deadline)
            if answer is Outcome.STORED:
                return answer
            self._useless_until[address] = time.monotonic() + AVOID_SECONDS
            if answer is Outcome.UNKNOWN:
                outcome = answer
        return outcome

    def _ask(
        self, address: str, submission: Submission, deadline: float
    ) -> Outcome:
        sent = False
        try:
            with client.connect(
                f"ws://{address}",
                open_timeout=OPEN_SECONDS,
                close_timeout=CLOSE_SECONDS,
                compression=None,
                proxy=None,
            ) as connection:
                left = min(ANSWER_SECONDS, deadline - time.monotonic())
                sent = True
                connection.send(cbor2.dumps([*submission, left]))
                answer = Outcome(
                    cbor2.loads(connection.recv(max(left, 0.0), decode=False))
                )
        except (
            OSError,
            ValueError,
            cbor2.CBORDecodeError,
            exceptions.WebSocketException,
        ) as error:
            answer = Outcome.UNKNOWN if sent else Outcome.REFUSED
            events.log(
                events.Event.RELAY_FAILED,
                "A node did not take a job for the store",
                level="WARNING",
                job=submission.job_id,
                peer=address,
                outcome=answer.value,
                error=repr(error),
            )
            return answer
        events.log(
            events.Event.JOB_RELAYED,
            "Another node was asked to store a job",
            job=submission.job_id,
            peer=address,
            outcome=answer.value,
        )
        return answer


class RelayServer:
    """Stores jobs for nodes that can't reach the store.

    Args:
        address: Where to listen.
        store: Stores a job's row by a steady time, without relaying it again.
    """

    def __init__(
        self,
        address: tuple[str, int],
        store: Callable[[Submission, float], Outcome],
    ) -> None:
        self._store = store
        self._server = server.serve(
            self._converse,
            *address,
            max_size=MOST_MESSAGE_BYTES,
            compression=None,
            open_timeout=OPEN_SECONDS,
            close_timeout=CLOSE_SECONDS,
        )
        self._serving = threading.Thread(
            target=self._server.serve_forever, daemon=True
        )

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return int(self._server.socket.getsockname()[1])

    def start(self) -> None:
        """Begins to serve."""
        self._serving.start()

    def stop(self) -> None:
        """Takes no more connections."""
        self._server.shutdown()

    def _converse(self, connection: server.ServerConnection) -> None:
        try:
            message = connection.recv(ANSWER_SECONDS, decode=False)
            service, job_id, value, left = cbor2.loads(message)
            submission = Submission(str(service), str(job_id), bytes(value))
            deadline = time.monotonic() + min(float(left), ANSWER_SECONDS)
        except (
            TimeoutError,
            TypeError,
            ValueError,
            cbor2.CBORDecodeError,
            exceptions.ConnectionClosed,
        ) as error:
            events.log(
                events.Event.PEER_MESSAGE_INVALID,
                "A node sent no job to store",
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
                "A node left before it was told what became of its job",
                level="WARNING",
                job=submission.job_id,
                outcome=outcome.value,
                error=repr(error),
            )
