"""Holds the catalogue of events and the code together."""

from __future__ import annotations

import pathlib
import re

from wisteriasill import events

PAGE = pathlib.Path(__file__).parents[2] / "docs/user-guide/events.md"


def test_catalogue_lists_every_event() -> None:
    """An operator must find each number of a log line on the page."""
    rows = re.findall(
        r"^\| (\d+) \| `([A-Z_]+)` \| [^|]+\. \| [^|]+\. \|$",
        PAGE.read_text(encoding="utf-8"),
        re.MULTILINE,
    )
    assert [(int(number), name) for number, name in rows] == [
        (int(event), event.name) for event in events.Event
    ]
