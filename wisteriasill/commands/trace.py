"""`wisteriasill trace`: the story of one request from the logs of all nodes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
import json
import pathlib
import sys
from typing import Any, NamedTuple

from wisteriasill.commands import console

# Fields that every line has; the rest tells what decided.
COMMON_FIELDS = frozenset(
    ("at", "steady", "level", "event", "name", "message", "node", "job", "task")
)
# A job that waited this long for its first start was late for want of room.
LONG_WAIT_SECONDS = 1.0


class Line(NamedTuple):
    """One line of a log.

    Attributes:
        at: Unix time; clocks of nodes differ, by seconds when one jumped.
    """

    at: float
    node: str
    name: str
    message: str
    fields: dict[str, Any]


class Story(NamedTuple):
    """What the logs tell of a request.

    Attributes:
        cause: One sentence on why it ended as it did.
        unreadable: Lines that looked like log lines and could not be read.
    """

    lines: tuple[Line, ...]
    cause: str
    unreadable: int


def run(request_id: str, files: Sequence[str], as_json: bool) -> int:
    """Prints the story of a request.

    Args:
        request_id: The id that its caller chose.
        files: Log files; `-` or none for standard input.
        as_json: Whether to print JSON.

    Returns:
        Exit status: 1 if no line names the request.
    """
    try:
        story = tell(request_id, _read(files))
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return console.USAGE
    if as_json:
        print(
            json.dumps(
                {
                    "request": request_id,
                    "cause": story.cause,
                    "unreadable_lines": story.unreadable,
                    "lines": [line._asdict() for line in story.lines],
                }
            )
        )
    else:
        for line in story.lines:
            print(_sentence(line))
        print(f"cause: {story.cause}")
        if story.unreadable:
            print(f"{story.unreadable} lines could not be read")
    return console.DONE if story.lines else console.FAILED


def tell(request_id: str, texts: Iterable[str]) -> Story:
    """Collects the lines that name a request and names the cause.

    Args:
        request_id: The id that its caller chose.
        texts: Lines of logs in any order, with or without a prefix.

    Returns:
        Its story.
    """
    lines: list[Line] = []
    unreadable = 0
    for text in texts:
        if request_id not in text:
            continue
        line = read_line(text)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    lines.sort(key=lambda line: (line.at, line.node))
    return Story(tuple(lines), _cause(lines), unreadable)


def read_line(text: str) -> Line | None:
    """Reads a line; None if it is torn or no log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(text[start:])
    except json.JSONDecodeError:
        return None
    if not isinstance(data, dict) or "name" not in data:
        return None
    return Line(
        float(data.get("at", 0.0)),
        str(data.get("node", "")),
        str(data["name"]),
        str(data.get("message", "")),
        {key: one for key, one in data.items() if key not in COMMON_FIELDS},
    )


def _read(files: Sequence[str]) -> Iterator[str]:
    for name in files or ["-"]:
        if name == "-":
            yield from sys.stdin
        else:
            with pathlib.Path(name).open(encoding="utf-8") as file:
                yield from file


def _sentence(line: Line) -> str:
    fields = ", ".join(f"{key} {value}" for key, value in line.fields.items())
    return f"{line.at:.3f} {line.node}: {line.message} ({fields})"


def _cause(lines: list[Line]) -> str:
    """Names why a request ended as it did, by its last decisive line."""
    if not lines:
        return "no line names this request"
    by_name = {line.name: line for line in lines}
    ended = by_name.get("JOB_ENDED")
    if "JOB_ACCEPTED" not in by_name and "JOB_REFUSED" in by_name:
        refused = by_name["JOB_REFUSED"].fields
        return f"not accepted: {refused.get('kind')}, {refused.get('detail')}"
    failed = by_name.get("REQUEST_FAILED")
    if "JOB_ACCEPTED" not in by_name and ended is None and failed:
        return (
            f"{failed.fields.get('method')} not served: "
            f"{failed.fields.get('kind')}, {failed.fields.get('detail')}"
        )
    if ended is None:
        return _open_cause(lines)
    state = ended.fields.get("state")
    if state != "completed":
        return f"{state}: {ended.fields.get('reason')}"
    return _slow_cause(lines, by_name, ended)


def _open_cause(lines: list[Line]) -> str:
    last = lines[-1]
    if last.name == "TASKS_NOT_PLACED":
        return (
            f"still waits: no worker for want of {last.fields.get('binding')}"
        )
    return f"no end is logged; the last is: {last.message}"


def _slow_cause(
    lines: list[Line], by_name: dict[str, Line], ended: Line
) -> str:
    age = float(ended.fields.get("age_seconds", 0.0))
    accepted = by_name.get("JOB_ACCEPTED")
    objective = float(
        accepted.fields.get("objective_seconds", 0.0) if accepted else 0.0
    )
    if age <= objective:
        return f"completed in {age} s, within its declared {objective} s"
    reasons = [
        f"{count} {text}"
        for name, text in (
            ("RUN_LOST", "runs lost with their workers"),
            ("START_UNKNOWN", "starts without an answer"),
            ("START_REJECTED", "starts rejected"),
            ("RUN_ENDED", "runs ended before they were done"),
        )
        if (count := sum(line.name == name for line in lines))
    ]
    waits = [line for line in lines if line.name == "TASKS_NOT_PLACED"]
    if waits:
        reasons.insert(
            0,
            f"waited for {waits[-1].fields.get('binding')} "
            f"in {len(waits)} seconds",
        )
    first = next((one for one in lines if one.name == "TASKS_PLACED"), None)
    wait = float(first.fields.get("age_seconds", 0.0)) if first else 0.0
    if wait > LONG_WAIT_SECONDS:
        reasons.insert(0, f"first task placed after {wait} s")
    detail = "; ".join(reasons) or "its tasks took longer than declared"
    return f"completed late, {age} s of {objective} s: {detail}"
