"""Changes of the configuration and the record that each one leaves."""

from __future__ import annotations

from collections.abc import Mapping
import datetime
from typing import Annotated, Any, NamedTuple

import pydantic

from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import service as services

# At 1,400 changes a day the records cover more than a day, which is longer
# than a stale directory or an unanswered publish needs.
KEPT_RECORDS = 2000
MAX_CHANGE_LINES = 12
_KEY_PREFIX = "generation/"

Author = Annotated[str, pydantic.Field(min_length=1, max_length=200)]


class Change(NamedTuple):
    """A change that an operator submits.

    Attributes:
        documents: Plain data of each document by name; the ones that are in
            force already change nothing.
        author: Operator who submits it.
        base_generation: Generation that the author started from.
        base_by_name: Overrides base_generation for single documents.
        base_names: Documents that were in force in the base generation, so
            that a removal by someone else is noticed.
        removed: Services to remove.
    """

    documents: Mapping[str, Mapping[str, Any]]
    author: Author
    base_generation: services.Count
    base_by_name: Mapping[str, services.Count] | None = None
    base_names: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()

    def base_of(self, name: str) -> int:
        """Returns the generation that a document was started from."""
        return (self.base_by_name or {}).get(name, self.base_generation)


class Publication(NamedTuple):
    """The record of one generation, written together with it.

    Attributes:
        generation: The generation.
        token: Random value of the publisher; tells whose write took effect
            when its answer was lost.
        author: Operator who submitted it.
        changed_at: Seconds since the epoch, for people to read.
        changes: What changed by document, as lines.
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
    """Returns a time since the epoch in the form that messages show."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")


def conflict_detail(
    name: str,
    entry: configurations.ManifestEntry,
    what: tuple[str, ...],
    base: int,
    current: int,
) -> str:
    """Says who changed a document, when and what, and how to go on.

    Args:
        name: The document.
        entry: Its entry in force.
        what: What that change did, or how it differs from the submitted one.
        base: Generation that the submitted document was started from.
        current: Generation in force.

    Returns:
        The text for the operator.
    """
    did = "; ".join(what[:MAX_CHANGE_LINES]) or "details no longer kept"
    return (
        f'"{name}" was changed by {entry.author} at '
        f"{format_time(entry.changed_at)} in generation {entry.generation} "
        f"({did}); this change started from generation {base}. Compare with "
        "`wisteriasill plan DIR`, take over what you want to keep, then "
        f"publish with --base {current}"
    )
