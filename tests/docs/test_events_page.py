"""Tests that the events page lists the events of the code."""

from __future__ import annotations

import pathlib
import re

from wisteriasill import events

PAGE = pathlib.Path(__file__).parents[2] / "docs/user-guide/events.md"


def test_catalogue_lists_every_event() -> None:
    """The page must list the number of every logged event."""
    rows = re.findall(
        r"^\| (\d+) \| `([A-Z_]+)` \| [^|]+\. \| [^|]+\. \|$",
        PAGE.read_text(encoding="utf-8"),
        re.MULTILINE,
    )
    assert [(int(number), name) for number, name in rows] == [
        (int(event), event.name) for event in events.Event
    ]
