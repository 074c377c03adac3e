"""Bounded priority queues of the messages to one peer."""

from __future__ import annotations

import collections
import threading
from typing import NamedTuple


class _Priority(NamedTuple):
    """A priority class; the last class holds all other message types."""

    length: int
    message_types: frozenset[str]


# Highest priority first. Each class has its own queue, which drops its oldest
# message when it is full, so a burst of in-flight counts or credits does not
# displace departures. The poll of the table makes up for a lost departure. The
# departures of a whole zone of 1,400 hosts fit into their queue. A
# configuration message may have 1 MiB, so its queue is short.
_PRIORITIES = (
    _Priority(8, frozenset({"configuration", "goodbye"})),
    _Priority(2048, frozenset({"departure"})),
    _Priority(256, frozenset()),
)


def _priority_of(message_type: str) -> int:
    return next(
        (
            index
            for index, priority in enumerate(_PRIORITIES)
            if message_type in priority.message_types
        ),
        len(_PRIORITIES) - 1,
    )


class Outbox:
    """Queued messages for the writer task of one peer; thread safe."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._closed = False
        self._queues: tuple[collections.deque[bytes], ...] = tuple(
            collections.deque(maxlen=priority.length)
            for priority in _PRIORITIES
        )

    @property
    def closed(self) -> bool:
        """Whether `close` was called and the queues are empty."""
        with self._changed:
            return self._closed and not any(self._queues)

    def put(self, message_type: str, body: bytes) -> bool:
        """Adds a message; never blocks.

        Args:
            message_type: Type of the message, which determines its priority.
            body: The encoded message.

        Returns:
            False if a message was dropped: the oldest one of a full queue,
            or this one after `close`.
        """
        with self._changed:
            if self._closed:
                return False
            queue = self._queues[_priority_of(message_type)]
            has_room = len(queue) != queue.maxlen
            queue.append(body)
            self._changed.notify()
            return has_room

    def get(self, timeout_seconds: float) -> bytes | None:
        """Waits for the next message.

        Args:
            timeout_seconds: The longest wait.

        Returns:
            The message, or None after the timeout or `close`.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._closed or any(self._queues), timeout_seconds
            )
            queue = next(filter(None, self._queues), None)
            return queue.popleft() if queue else None

    def close(self, discard: bool) -> None:
        """Stops accepting messages.

        Args:
            discard: Whether queued messages are dropped instead of sent.
        """
        with self._changed:
            self._closed = True
            if discard:
                for queue in self._queues:
                    queue.clear()
            self._changed.notify_all()
