"""Bounded queue of the messages to one peer."""

from __future__ import annotations

import collections
import threading
from typing import NamedTuple


class _Lane(NamedTuple):
    length: int
    message_types: frozenset[str]


# The first lane that has messages is sent first. Each lane drops its own
# oldest message when it is full, so a flood of counts or credits displaces no
# departure. A lost departure is repeated by the table poll; a departure of a
# whole zone of 1,400 hosts fits. A configuration message may hold 1 MiB, hence
# the short lane.
_LANES = (
    _Lane(8, frozenset({"configuration", "goodbye"})),
    _Lane(2048, frozenset({"departure"})),
    _Lane(256, frozenset()),
)


def _lane_of(message_type: str) -> int:
    return next(
        (
            index
            for index, lane in enumerate(_LANES)
            if message_type in lane.message_types
        ),
        len(_LANES) - 1,
    )


class Outbox:
    """Messages that wait for the task that writes to one peer."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._closed = False
        self._lanes: tuple[collections.deque[bytes], ...] = tuple(
            collections.deque(maxlen=lane.length) for lane in _LANES
        )

    @property
    def closed(self) -> bool:
        """Whether `close` was called and all messages were taken."""
        with self._changed:
            return self._closed and not any(self._lanes)

    def put(self, message_type: str, body: bytes) -> bool:
        """Adds a message; never blocks.

        Args:
            message_type: Chooses the lane.
            body: The encoded message.

        Returns:
            False if a message was dropped: the oldest of a full lane, or
            this one after `close`.
        """
        with self._changed:
            if self._closed:
                return False
            lane = self._lanes[_lane_of(message_type)]
            has_room = len(lane) != lane.maxlen
            lane.append(body)
            self._changed.notify()
            return has_room

    def take(self, timeout_seconds: float) -> bytes | None:
        """Waits for the next message.

        Args:
            timeout_seconds: The longest wait.

        Returns:
            The message, or None after the timeout or `close`.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._closed or any(self._lanes), timeout_seconds
            )
            lane = next(filter(None, self._lanes), None)
            return lane.popleft() if lane else None

    def close(self, discard: bool) -> None:
        """Takes no more messages.

        Args:
            discard: Whether waiting messages are dropped instead of sent.
        """
        with self._changed:
            self._closed = True
            if discard:
                for lane in self._lanes:
                    lane.clear()
            self._changed.notify_all()
