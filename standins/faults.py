"""Fault switches of the platform stand-in, and views that lag."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class Faults(NamedTuple):
    """Active fault switches.

    Attributes:
        down: Every call gets a 503 and has no effect.
        slow_seconds: Delay of every call.
        lose_answers: Share of writes that take effect but get no response.
        old_reads_seconds: Age of the state that reads of the table return.
        silent: Connections that are open when the switch is set get no more
            responses; new connections work.
        failing_hosts: Hosts on which every task fails soon after its start.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: float = 0.0
    old_reads_seconds: float = 0.0
    silent: bool = False
    failing_hosts: tuple[str, ...] = ()


class AnswerLoss:
    """Selects lost responses at random, from a seed."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def is_lost(self, share: float) -> bool:
        """Returns whether the next response is lost.

        Args:
            share: Share of responses to lose; 0 draws no random number.
        """
        return share > 0 and self._random.random() < share


class LaggingView(Generic[T]):
    """View that takes a snapshot once per lag and shows the one before it."""

    def __init__(
        self, lag_seconds: float, take_snapshot: Callable[[], T]
    ) -> None:
        self._lag_seconds = lag_seconds
        self._take_snapshot = take_snapshot
        self._previous: tuple[float, T] | None = None
        self._current: tuple[float, T] | None = None

    def observe(self, now: float) -> None:
        """Takes a new snapshot if the last one is older than the lag."""
        if self._current is None:
            self._previous = self._current = (now, self._take_snapshot())
        elif now - self._current[0] >= self._lag_seconds:
            self._previous = self._current
            self._current = (now, self._take_snapshot())

    def read(self, now: float) -> tuple[float, T]:
        """Returns the age in seconds and content of the visible snapshot."""
        if self._lag_seconds <= 0:
            return 0.0, self._take_snapshot()
        self.observe(now)
        assert self._previous is not None
        taken_at, view = self._previous
        return now - taken_at, view
