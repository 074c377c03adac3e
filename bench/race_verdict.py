"""What a race of operators shows: lost changes, reverts, time in force."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Sequence
import itertools
import math
from typing import NamedTuple

from bench import race_entry
from bench import race_operators
from wisteriasill.contracts import publication


class Verdict(NamedTuple):
    """Figures of one race.

    Attributes:
        accepted: Changes that were confirmed to an operator.
        unconfirmed: Changes whose answer was lost; the operator was told so.
        lost: Confirmed changes without effect, or whose effect a colleague
            who did not know of it has undone.
        doubled: Changes that took effect more than once.
        reverts: Times that a document in force went back at an entry host.
        in_force_p100_seconds: Longest time from a confirmation until all
            entry hosts had the generation in force.
    """

    accepted: int
    unconfirmed: int
    lost: int
    doubled: int
    reverts: int
    in_force_p100_seconds: float


def judge(
    outcomes: Sequence[race_operators.ChangeOutcome],
    history: Sequence[publication.Publication],
    minutes_added: Mapping[str, int],
    lives: Iterable[race_entry.RaceEntry],
) -> Verdict:
    """Compares what operators were told with what happened.

    Args:
        outcomes: What operators were told.
        history: Records of all generations.
        minutes_added: Minutes by service at the end, less those at the start.
        lives: All lives of all entry hosts.

    Returns:
        The figures.
    """
    effects = collections.Counter(record.author for record in history)
    accepted = [item for item in outcomes if item.accepted]
    effective = collections.Counter(
        item.service for item in outcomes if effects[item.author]
    )
    # Each change adds one minute to what its author read; a minute that is
    # missing at the end was undone unnoticed.
    undone = sum(
        effective[service] - minutes_added[service] for service in minutes_added
    )
    lives = tuple(lives)
    return Verdict(
        accepted=len(accepted),
        unconfirmed=len(outcomes) - len(accepted),
        lost=undone + sum(not effects[item.author] for item in accepted),
        doubled=sum(count > 1 for count in effects.values()),
        reverts=sum(_reverts(life) for life in lives),
        in_force_p100_seconds=max(
            (_slowest(life, accepted) for life in lives), default=math.inf
        ),
    )


def _reverts(life: race_entry.RaceEntry) -> int:
    pairs = itertools.pairwise(life.adoptions)
    return sum(
        after.generation <= before.generation
        or any(
            after.document_generations.get(name, 0) < generation
            for name, generation in before.document_generations.items()
        )
        for before, after in pairs
    )


def _slowest(
    life: race_entry.RaceEntry,
    accepted: Sequence[race_operators.ChangeOutcome],
) -> float:
    """Returns the longest time to force of a life, infinite if never.

    A life is judged by the changes confirmed before its stop. An entry host
    that is not ready yet answers nobody, so a change that its first
    configuration contains was in force at once.
    """
    if not life.adoptions:
        return 0.0
    stopped_at = math.inf if life.stopped_at is None else life.stopped_at
    generations = [item.generation for item in life.adoptions]
    slowest = 0.0
    for change in accepted:
        if generations[0] >= change.generation:
            continue
        reached_at = next(
            (
                item.at
                for item in life.adoptions
                if item.generation >= change.generation
            ),
            math.inf,
        )
        if reached_at is math.inf and stopped_at < math.inf:
            reached_at = stopped_at  # In force nowhere else from then on.
        slowest = max(slowest, reached_at - change.at)
    return slowest
