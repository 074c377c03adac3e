"""Evaluation of a race: lost changes, reverts, time until in force."""

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
        accepted: Changes confirmed to an operator.
        unconfirmed: Changes reported to the operator as unconfirmed, because
            the answer was lost.
        lost: Confirmed changes that had no effect, or that another operator
            unknowingly overwrote.
        doubled: Changes that took effect more than once.
        reverts: Number of times that an entry host reverted a document.
        in_force_p100_seconds: Longest time from a confirmation until all
            entry hosts had adopted the generation.
    """

    accepted: int
    unconfirmed: int
    lost: int
    doubled: int
    reverts: int
    in_force_p100_seconds: float


def evaluate(
    outcomes: Sequence[race_operators.ChangeOutcome],
    history: Sequence[publication.Publication],
    minutes_added: Mapping[str, int],
    incarnations: Iterable[race_entry.RaceEntry],
) -> Verdict:
    """Compares the answers to operators with the actual effects.

    Args:
        outcomes: Outcomes as reported to operators.
        history: Records of all generations.
        minutes_added: Minutes added to each service in total.
        incarnations: All incarnations of all entry hosts.

    Returns:
        The figures.
    """
    effects = collections.Counter(record.author for record in history)
    accepted = [outcome for outcome in outcomes if outcome.accepted]
    effective = collections.Counter(
        outcome.service for outcome in outcomes if effects[outcome.author]
    )
    # Each change adds one minute to the value that its author read, so a minute
    # missing at the end was overwritten unnoticed.
    overwritten = sum(
        effective[service] - minutes_added[service] for service in minutes_added
    )
    incarnations = tuple(incarnations)
    return Verdict(
        accepted=len(accepted),
        unconfirmed=len(outcomes) - len(accepted),
        lost=overwritten
        + sum(not effects[outcome.author] for outcome in accepted),
        doubled=sum(count > 1 for count in effects.values()),
        reverts=sum(_reverts(incarnation) for incarnation in incarnations),
        in_force_p100_seconds=max(
            (
                _max_adoption_seconds(incarnation, accepted)
                for incarnation in incarnations
            ),
            default=math.inf,
        ),
    )


def _reverts(incarnation: race_entry.RaceEntry) -> int:
    pairs = itertools.pairwise(incarnation.adoptions)
    return sum(
        after.generation <= before.generation
        or any(
            after.document_generations.get(name, 0) < generation
            for name, generation in before.document_generations.items()
        )
        for before, after in pairs
    )


def _max_adoption_seconds(
    incarnation: race_entry.RaceEntry,
    accepted: Sequence[race_operators.ChangeOutcome],
) -> float:
    """Returns the longest time until a change was adopted; inf if never.

    Only the changes confirmed before the stop of the incarnation count. An
    entry host that is not ready yet answers no requests, so changes contained
    in its first configuration are in force from the start.
    """
    if not incarnation.adoptions:
        return 0.0
    stopped_at = (
        math.inf if incarnation.stopped_at is None else incarnation.stopped_at
    )
    generations = [adoption.generation for adoption in incarnation.adoptions]
    longest_seconds = 0.0
    for change in accepted:
        if generations[0] >= change.generation:
            continue
        reached_at = next(
            (
                adoption.at
                for adoption in incarnation.adoptions
                if adoption.generation >= change.generation
            ),
            math.inf,
        )
        if reached_at is math.inf and stopped_at < math.inf:
            reached_at = stopped_at  # The stopped entry host no longer counts.
        longest_seconds = max(longest_seconds, reached_at - change.at)
    return longest_seconds
