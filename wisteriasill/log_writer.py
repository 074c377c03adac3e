"""Bounded, non-blocking log writer with its own thread.

Nodes on the platform use it; entry hosts log with `events.configure`.
"""

from __future__ import annotations

import collections
import sys
import threading
import time
from typing import Any, NamedTuple, TextIO

import orjson

# Queue limit while the reader stalls; 2000 lines take about 1 MB.
MAX_ROUTINE_LINES = 2000
MAX_IMPORTANT_LINES = 2000  # Additional lines, for warnings and errors only.
# The peak of a pool is about 150 decisions per second.
MAX_ROUTINE_LINES_PER_SECOND = 400
FLUSH_SECONDS = 0.1


class LogLine(NamedTuple):
    """A queued log line."""

    important: bool
    fields: dict[str, Any]


class LogWriter:
    """A bounded queue of log lines with a writer thread.

    Args:
        node: Name of this node, added to each line.
        stream: Output stream.
    """

    def __init__(self, node: str, stream: TextIO = sys.stdout) -> None:
        self._node = node
        self._stream = stream
        self._queue: collections.deque[LogLine] = collections.deque()
        self._ready = threading.Event()
        self._closing = threading.Event()
        self._lock = threading.Lock()
        self._current_second = 0
        self._lines_in_second = 0
        self.dropped = 0
        self._thread = threading.Thread(target=self._write_all, daemon=True)

    def open(self) -> None:
        """Starts the writer thread."""
        self._thread.start()

    def close(self, timeout_seconds: float = 0.5) -> None:
        """Writes the queued lines, for a bounded time."""
        self._closing.set()
        self._ready.set()
        self._thread.join(timeout_seconds)

    def put(self, important: bool, fields: dict[str, Any]) -> None:
        """Queues a line or counts it as dropped, without blocking."""
        with self._lock:
            if not important and not self._accepts_routine_line():
                self.dropped += 1
                return
            if len(self._queue) >= MAX_ROUTINE_LINES + MAX_IMPORTANT_LINES:
                self.dropped += 1
                return
            self._queue.append(LogLine(important, fields))
        self._ready.set()

    def _accepts_routine_line(self) -> bool:
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return (
            self._lines_in_second <= MAX_ROUTINE_LINES_PER_SECOND
            and len(self._queue) < MAX_ROUTINE_LINES
        )

    def _write_all(self) -> None:
        while True:
            self._ready.wait()
            closing = self._closing.is_set()
            self._ready.clear()
            with self._lock:
                lines = [*self._queue]
                self._queue.clear()
                dropped, self.dropped = self.dropped, 0
            if dropped:
                lines.append(
                    LogLine(
                        True,
                        {"message": "Lines were dropped", "lines": dropped},
                    )
                )
            if lines:
                self._stream.write(
                    "".join(self._encode(line.fields) for line in lines)
                )
                self._stream.flush()
            if closing:
                return
            self._closing.wait(FLUSH_SECONDS)

    def _encode(self, fields: dict[str, Any]) -> str:
        return (
            orjson.dumps({"node": self._node, **fields}, default=str).decode()
            + "\n"
        )
