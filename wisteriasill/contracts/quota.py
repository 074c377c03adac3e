"""Quotas of teams, with one row for each team.

A team's jobs may run in several pools, each controlled by another holder. The
row lists the resources held in each pool. Every transaction that starts a job
also writes this row conditionally on its version, so concurrent holders can't
exceed the quota together.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import functools
from typing import NamedTuple

from wisteriasill.contracts import service as services

TABLE = "quotas"


class Size(NamedTuple):
    """An amount of processors, memory and accelerators.

    Attributes:
        cores: Processors.
        memory_gib: Memory.
        accelerators: Accelerators.
    """

    cores: float = 0.0
    memory_gib: float = 0.0
    accelerators: int = 0

    def plus(self, other: Size) -> Size:
        """Returns the sum."""
        return Size(
            self.cores + other.cores,
            self.memory_gib + other.memory_gib,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Size) -> Size:
        """Returns the difference, which may be negative."""
        return Size(
            self.cores - other.cores,
            self.memory_gib - other.memory_gib,
            self.accelerators - other.accelerators,
        )

    def within(self, other: Size) -> bool:
        """Returns whether no resource exceeds that of the other size."""
        tolerance = 1e-6  # For rounding errors of floating-point sums.
        return (
            self.cores <= other.cores + tolerance
            and self.memory_gib <= other.memory_gib + tolerance
            and self.accelerators <= other.accelerators
        )


NOTHING = Size()


def total(sizes: Iterable[Size]) -> Size:
    """Returns the sum of sizes."""
    return functools.reduce(Size.plus, sizes, NOTHING)


class TeamUse(NamedTuple):
    """A row of the quotas table; the team is the key.

    Attributes:
        team: Name of the team.
        held_by_pool: Resources that the team's jobs hold in each pool.
        token: Random value of the last writer.
    """

    team: str
    held_by_pool: Mapping[str, Size]
    token: str = ""

    def with_pool(self, pool: str, held: Size, token: str) -> TeamUse:
        """Returns the row with the resources held in one pool replaced."""
        others = {
            key: size for key, size in self.held_by_pool.items() if key != pool
        }
        if held != NOTHING:
            others[pool] = held
        return TeamUse(self.team, others, token)


def limit_of(quota: services.TeamQuota) -> Size:
    """Returns a quota as a size."""
    return Size(quota.cores, quota.memory_gib, quota.accelerators)


def refusal(
    quota: services.TeamQuota | None, held: Size, wanted: Size
) -> str | None:
    """Explains why a job exceeds its team's quota.

    Args:
        quota: Quota of the team; None for no limit.
        held: Resources that the team's jobs hold in all pools.
        wanted: Size of the job.

    Returns:
        A sentence; None if the job is within the quota.
    """
    if quota is None or held.plus(wanted).within(limit_of(quota)):
        return None
    parts = zip(
        ("cores", "GiB", "accelerators"),
        held,
        wanted,
        limit_of(quota),
        strict=True,
    )
    name, held_amount, wanted_amount, limit = next(
        part for part in parts if part[1] + part[2] > part[3] + 1e-6
    )
    return (
        f"team {quota.team} holds {held_amount:g} of {limit:g} {name}"
        f" and the job needs {wanted_amount:g}"
    )
