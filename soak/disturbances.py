"""Faults in progress at a node, at a worker or at the store."""

from __future__ import annotations

from collections.abc import Iterable
import math
import threading
import time
from typing import NamedTuple


class Span(NamedTuple):
    """A span of monotonic time."""

    start: float
    end: float


class Disturbance:
    """Context of the faults of one part of a site; they may overlap."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._started_at: list[float] = []
        self._ended_at = 0.0
        self._spans: list[Span] = []

    @property
    def ended_at(self) -> float:
        """Monotonic time of the end of the last fault; infinite during one."""
        return math.inf if self._started_at else self._ended_at

    @property
    def spans(self) -> list[Span]:
        """Spans of all faults so far; those in progress have no end."""
        with self._lock:
            return [
                *self._spans,
                *(Span(start, math.inf) for start in self._started_at),
            ]

    def note(self) -> None:
        """Records a fault that takes no time."""
        with self:
            pass

    def __enter__(self) -> None:
        with self._lock:
            self._started_at.append(time.monotonic())

    def __exit__(self, *_: object) -> None:
        with self._lock:
            # Which of several faults ends matters only for their union.
            start = self._started_at.pop()
            self._ended_at = time.monotonic()
            self._spans.append(Span(start, self._ended_at))


def calm_spans(
    span: Span, disturbed: Iterable[Span], contact_seconds: float
) -> list[Span]:
    """Returns the parts of a span without a fault.

    Args:
        span: The span.
        disturbed: Spans of faults.
        contact_seconds: Time after a fault that counts as disturbed as well.
    """
    calm = []
    start = span.start
    for fault in sorted(disturbed):
        if fault.start >= span.end:
            break
        if fault.start > start:
            calm.append(Span(start, fault.start))
        start = max(start, fault.end + contact_seconds)
    if start < span.end:
        calm.append(Span(start, span.end))
    return calm
