"""Writes log lines in a task of its own, bounded and without blocking."""

from __future__ import annotations

import collections
import sys
import threading
import time
from typing import Any, NamedTuple, TextIO

import orjson

# Lines that wait for a reader that stalls; about 1 MB.
ROUTINE_LINES = 2000
IMPORTANT_LINES = 2000  # Further room for warnings and errors alone.
# Routine lines a second; the peak of a pool is about 150 decisions a second.
ROUTINE_LINES_PER_SECOND = 400
FLUSH_SECONDS = 0.1


class LogLine(NamedTuple):
    """A line that waits to be written."""

    important: bool
    fields: dict[str, Any]


class LogWriter:
    """A bounded queue of log lines with a writing task.

    Args:
        node: Name of this node, on each line.
        stream: Where lines go.
    """

    def __init__(self, node: str, stream: TextIO = sys.stdout) -> None:
        self._node = node
        self._stream = stream
        self._waiting: collections.deque[LogLine] = collections.deque()
        self._ready = threading.Event()
        self._closing = threading.Event()
        self._lock = threading.Lock()
        self._second = 0
        self._in_second = 0
        self.dropped = 0
        self._thread = threading.Thread(target=self._write_all, daemon=True)

    def open(self) -> None:
        """Starts the writing task."""
        self._thread.start()

    def close(self, timeout_seconds: float = 0.5) -> None:
        """Writes what waits, for a bounded time."""
        self._closing.set()
        self._ready.set()
        self._thread.join(timeout_seconds)

    def put(self, important: bool, fields: dict[str, Any]) -> None:
        """Queues a line, or counts it as dropped; never waits for a reader."""
        with self._lock:
            if not important and not self._has_room():
                self.dropped += 1
                return
            if len(self._waiting) >= ROUTINE_LINES + IMPORTANT_LINES:
                self.dropped += 1
                return
            self._waiting.append(LogLine(important, fields))
        self._ready.set()

    def _has_room(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._in_second = 0
        self._in_second += 1
        return (
            self._in_second <= ROUTINE_LINES_PER_SECOND
            and len(self._waiting) < ROUTINE_LINES
        )

    def _write_all(self) -> None:
        while True:
            self._ready.wait()
            closing = self._closing.is_set()
            self._ready.clear()
            with self._lock:
                lines = [*self._waiting]
                self._waiting.clear()
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
