"""Changes of the configuration and the record of each publication."""

from __future__ import annotations

from collections.abc import Mapping
import datetime
from typing import Annotated, Any, NamedTuple

import pydantic

from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import service as services

# At 1,400 changes a day the records cover more than a day, longer than an
# operator works on an old directory or an unanswered publish is resolved.
KEPT_RECORDS = 2000
MAX_CHANGE_LINES = 12
_KEY_PREFIX = "generation/"

Author = Annotated[str, pydantic.Field(min_length=1, max_length=200)]


class Change(NamedTuple):
    """A change that an operator submits.

    Attributes:
        documents: Plain data of each document by name; those that are
            already in force change nothing.
        author: Operator who submits it.
        base_generation: Generation on which the change is based.
        base_by_name: Overrides base_generation for single documents.
        base_names: Documents that were in force in the base generation, to
            detect that someone else has removed one.
        removed: Services to remove.
    """

    documents: Mapping[str, Mapping[str, Any]]
    author: Author
    base_generation: services.Count
    base_by_name: Mapping[str, services.Count] | None = None
    base_names: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()

    def base_of(self, name: str) -> int:
        """Returns the generation on which the change of a document is based."""
        return (self.base_by_name or {}).get(name, self.base_generation)


class Publication(NamedTuple):
    """The record of one generation, written together with it.

    Attributes:
        generation: The generation.
        token: Random value of the publisher; shows whose write took effect
            if the answer was lost.
        author: Operator who submitted it.
        changed_at: Unix time, for operators to read.
        changes: Descriptions of the changes by document, one per line.
    """

    generation: int
    token: str
    author: str
    changed_at: float
    changes: Mapping[str, tuple[str, ...]]


def record_key(generation: int) -> str:
    """Returns the key of a generation's record in the table."""
    return f"{_KEY_PREFIX}{generation:012d}"


def format_time(seconds: float) -> str:
    """Formats a Unix time for messages."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")


def conflict_detail(
    name: str,
    entry: configurations.ManifestEntry,
    other_changes: tuple[str, ...],
    base: int,
    current: int,
) -> str:
    """Describes who changed a document, when and how, and what to do next.

    Args:
        name: The document.
        entry: Its entry in force.
        other_changes: What that change did, or how it differs from the
            submitted one.
        base: Generation on which the submitted document is based.
        current: Generation in force.

    Returns:
        The text for the operator.
    """
    change_text = (
        "; ".join(other_changes[:MAX_CHANGE_LINES]) or "details no longer kept"
    )
    return (
        f'"{name}" was changed by {entry.author} at '
        f"{format_time(entry.changed_at)} in generation {entry.generation} "
        f"({change_text}); this change started from generation {base}. "
        "Compare with `wisteriasill plan DIR`, take over what you want to "
        f"keep, then publish with --base {current}"
    )
