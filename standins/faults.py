"""Fault switches of the platform stand-in and lagging views."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class Faults(NamedTuple):
    """Faults that are in force.

    Attributes:
        down: Every call is answered with 503 and has no effect.
        slow_seconds: Every call is delayed by this.
        lose_answers: Share of writes that take effect but get no answer.
        old_reads_seconds: Reads of the table show it as it was this long ago.
        silent: Connections that were open when the switch was set get no
            answer any more; new connections work.
        failing_hosts: Hosts on which every task fails soon after its start.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: float = 0.0
    old_reads_seconds: float = 0.0
    silent: bool = False
    failing_hosts: tuple[str, ...] = ()


class AnswerLottery:
    """Decides, with a seed, which answers get lost."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def loses(self, share: float) -> bool:
        """Returns whether the next answer is lost.

        Args:
            share: Share of answers to lose; no number is drawn for 0.
        """
        return share > 0 and self._random.random() < share


class Lagging(Generic[T]):
    """A view that is renewed once per lag and shows the previous state."""

    def __init__(self, lag_seconds: float, take: Callable[[], T]) -> None:
        self._lag_seconds = lag_seconds
        self._take = take
        self._previous: tuple[float, T] | None = None
        self._current: tuple[float, T] | None = None

    def observe(self, now: float) -> None:
        """Takes a new view if the last one is older than the lag."""
        if self._current is None:
            self._previous = self._current = (now, self._take())
        elif now - self._current[0] >= self._lag_seconds:
            self._previous = self._current
            self._current = (now, self._take())

    def read(self, now: float) -> tuple[float, T]:
        """Returns the age in seconds of the shown view, and the view."""
        if self._lag_seconds <= 0:
            return 0.0, self._take()
        self.observe(now)
        assert self._previous is not None
        taken_at, view = self._previous
        return now - taken_at, view
