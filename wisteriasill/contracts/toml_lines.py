"""Finds the line numbers of TOML keys, which tomllib does not return."""

from __future__ import annotations

from collections.abc import Mapping
import re

Path = tuple[str | int, ...]

_HEADER = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-.\"' ]+?)\s*=")


def _parts(dotted: str) -> list[str]:
    return [part.strip().strip("\"'") for part in dotted.split(".")]


def find_lines(text: str) -> Mapping[Path, int]:
    """Finds the line of each table and key.

    Args:
        text: Content that tomllib accepts.

    Returns:
        Line numbers from 1, by path; entries of a list of tables are
        numbered from 0.
    """
    lines: dict[Path, int] = {}
    counts: dict[str, int] = {}
    table: Path = ()
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        if header:
            parts = _parts(header.group(2))
            table = tuple(parts)
            lines.setdefault(table, number)
            if header.group(1) == "[[":
                name = ".".join(parts)
                counts[name] = counts.get(name, -1) + 1
                table = (*parts, counts[name])
            lines.setdefault(table, number)
            continue
        key = _KEY.match(line)
        if key:
            lines.setdefault((*table, *_parts(key.group(1))), number)
    return lines


def line_of(lines: Mapping[Path, int], path: Path) -> int:
    """Returns the line of a path, else of its nearest enclosing table."""
    while path:
        if path in lines:
            return lines[path]
        path = path[:-1]
    return 1
