"""Tests of the bounded log writer."""

from __future__ import annotations

import io
import json
import threading
import time

import pytest

from wisteriasill import log_writer


class StalledStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        """Blocks until the stream is released."""
        self.released.wait(5.0)
        return super().write(text)


@pytest.fixture
def stalled() -> StalledStream:
    return StalledStream()


def test_put_does_not_block_on_a_stalled_reader(stalled: StalledStream) -> None:
    writer = log_writer.LogWriter("n1", stalled)
    writer.open()
    started_at = time.monotonic()
    for number in range(10_000):
        writer.put(number % 10 == 0, {"number": number})
    assert time.monotonic() - started_at < 2.0
    stalled.released.set()
    writer.close(5.0)
    lines = [json.loads(line) for line in stalled.getvalue().splitlines()]
    bound = log_writer.MAX_ROUTINE_LINES + log_writer.MAX_IMPORTANT_LINES
    assert len(lines) <= bound + 10
    assert sum(line.get("lines", 0) for line in lines) >= 10_000 - bound


def test_routine_lines_are_dropped_before_important_ones() -> None:
    stream = io.StringIO()
    writer = log_writer.LogWriter("n1", stream)
    for number in range(log_writer.MAX_ROUTINE_LINES_PER_SECOND * 2):
        writer.put(False, {"routine": number})
    writer.put(True, {"important": 1})
    writer.open()
    writer.close(2.0)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert any("important" in line for line in lines)
    routine = sum("routine" in line for line in lines)
    assert routine <= 2 * log_writer.MAX_ROUTINE_LINES_PER_SECOND
