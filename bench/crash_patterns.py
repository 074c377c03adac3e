"""When workers of simulated pools crash by themselves."""

from __future__ import annotations

from collections.abc import Iterator
import math
import random
from typing import NamedTuple, Protocol

STEP_SECONDS = 0.05
# Bursts start in this range; the gaps between them are the quiet.
FIRST_BURST_SECONDS = (1.0, 3.0)


class CrashTime(NamedTuple):
    """A moment at which workers crash, whatever runs there.

    Attributes:
        at: Seconds since the start.
        share: Share of the pool's workers that crashes.
        silent: Whether connections stay open, so that calls get no answer.
        other_pools: Number of other pools that it hits as well.
    """

    at: float
    share: float
    silent: bool = False
    other_pools: int = 0


class CrashPattern(Protocol):
    """Crashes over the spell in which workers crash by themselves."""

    @property
    def name(self) -> str:
        """Name of the pattern, part of the seed."""

    @property
    def spell_seconds(self) -> float:
        """Time after which there are none."""

    def times(self, numbers: random.Random) -> Iterator[CrashTime]:
        """Draws the crashes in order of time."""


class SteadyCrashes(NamedTuple):
    """Crashes at a fixed period of 0.6 to 2.5 s; calls fail at once."""

    share: float
    spell_seconds: float = 20.0

    @property
    def name(self) -> str:
        """Name of the pattern, part of the seed."""
        return str(self.share)

    def times(self, numbers: random.Random) -> Iterator[CrashTime]:
        """Draws the crashes in order of time."""
        period = numbers.uniform(0.6, 2.5)
        at = _next_step(period)
        while at < self.spell_seconds:
            yield CrashTime(at, self.share)
            at = _next_step(at + period)


def _next_step(at: float) -> float:
    return math.ceil(at / STEP_SECONDS) * STEP_SECONDS


class CrashBursts(NamedTuple):
    """Equal bursts of silent crashes, each after a time of quiet."""

    name: str
    crashes: int
    share: float
    gap_seconds: float
    quiet_seconds: float
    spell_seconds: float = 30.0

    def times(self, numbers: random.Random) -> Iterator[CrashTime]:
        """Draws the crashes in order of time."""
        at = numbers.uniform(*FIRST_BURST_SECONDS)
        while at < self.spell_seconds:
            for number in range(self.crashes):
                yield CrashTime(
                    at + number * self.gap_seconds, self.share, True, 2
                )
            at += (self.crashes - 1) * self.gap_seconds + self.quiet_seconds


class RandomBursts(NamedTuple):
    """Bursts of which each has its own size, gap and reach."""

    name: str = "random"
    spell_seconds: float = 30.0

    def times(self, numbers: random.Random) -> Iterator[CrashTime]:
        """Draws the crashes in order of time."""
        at = numbers.uniform(*FIRST_BURST_SECONDS)
        while at < self.spell_seconds:
            share = numbers.uniform(0.1, 0.5)
            gap_seconds = numbers.uniform(0.1, 1.0)
            other_pools = numbers.randint(0, 3)
            for _ in range(numbers.randint(2, 10)):
                silent = numbers.random() < 0.7
                yield CrashTime(at, share, silent, other_pools)
                at += gap_seconds
            at += numbers.uniform(5.0, 12.0)
