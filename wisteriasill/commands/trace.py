"""`wisteriasill trace`: follows one request through the logs of all nodes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
import json
import pathlib
import sys
from typing import Any, NamedTuple

from wisteriasill.commands import console

# Fields common to all events; the others are specific to the event.
COMMON_FIELDS = frozenset(
    ("at", "steady", "level", "event", "name", "message", "node", "job", "task")
)
# A job that waited longer than this for its first start is reported as delayed
# by a lack of capacity.
LONG_WAIT_SECONDS = 1.0


class Line(NamedTuple):
    """One log line.

    Attributes:
        at: Unix time. Clocks of nodes differ, by seconds after a clock jump.
        job: Id of the job that it is about; empty for none.
    """

    at: float
    node: str
    name: str
    message: str
    fields: dict[str, Any]
    job: str = ""


class RequestTrace(NamedTuple):
    """Log lines of a request and the cause of its outcome.

    Attributes:
        cause: One sentence that explains the outcome.
        unreadable: Lines that name the request but could not be parsed.
    """

    lines: tuple[Line, ...]
    cause: str
    unreadable: int


def run(request_id: str, files: Sequence[str], as_json: bool) -> int:
    """Prints the log lines of a request and the cause of its outcome.

    Args:
        request_id: Id of the request, chosen by its caller.
        files: Log files; `-` or none for standard input.
        as_json: Whether to print JSON.

    Returns:
        Exit status: 1 if no log line names the request.
    """
    try:
        request_trace = trace_request(request_id, read_texts(files))
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return console.EXIT_USAGE
    if as_json:
        print(
            json.dumps(
                {
                    "request": request_id,
                    "cause": request_trace.cause,
                    "unreadable_lines": request_trace.unreadable,
                    "lines": [line._asdict() for line in request_trace.lines],
                }
            )
        )
    else:
        for line in request_trace.lines:
            print(_format_line(line))
        print(f"cause: {request_trace.cause}")
        if request_trace.unreadable:
            print(f"{request_trace.unreadable} lines could not be read")
    return console.EXIT_SUCCESS if request_trace.lines else console.EXIT_FAILURE


def trace_request(request_id: str, texts: Iterable[str]) -> RequestTrace:
    """Collects the log lines of a request and finds the cause.

    Args:
        request_id: Id of the request, chosen by its caller.
        texts: Log lines in any order, with or without a prefix.

    Returns:
        The log lines by time and the cause.
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
    return RequestTrace(tuple(lines), _explain_outcome(lines), unreadable)


def read_line(text: str) -> Line | None:
    """Parses a line; returns None if it is truncated or not a log line."""
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
        {key: value for key, value in data.items() if key not in COMMON_FIELDS},
        str(data.get("job", "")),
    )


def read_texts(files: Sequence[str]) -> Iterator[str]:
    """Returns the lines of files; `-` or no file for standard input."""
    for name in files or ["-"]:
        if name == "-":
            yield from sys.stdin
        else:
            with pathlib.Path(name).open(encoding="utf-8") as file:
                yield from file


def _format_line(line: Line) -> str:
    fields = ", ".join(f"{key} {value}" for key, value in line.fields.items())
    return f"{line.at:.3f} {line.node}: {line.message} ({fields})"


def _explain_outcome(lines: list[Line]) -> str:
    """Explains the outcome of a request from its last relevant line."""
    if not lines:
        return "no log line names this request"
    by_name = {line.name: line for line in lines}
    ended = by_name.get("JOB_ENDED")
    turned_away = by_name.get("JOB_TURNED_AWAY")
    if "JOB_ACCEPTED" not in by_name and turned_away:
        fields = turned_away.fields
        return (
            f"turned away for {fields.get('retry_after_seconds')} s: work of "
            f"{fields.get('useful_seconds')} s of the whole pool was ahead of "
            "it, so it would have ended when it is of no use"
        )
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
        return _explain_unfinished(lines)
    state = ended.fields.get("state")
    if state != "completed":
        return f"{state}: {ended.fields.get('reason')}"
    return _explain_completed(lines, by_name, ended)


def _explain_unfinished(lines: list[Line]) -> str:
    last = lines[-1]
    if last.name == "TASKS_NOT_PLACED":
        return f"still waiting: not placed, lacks {last.fields.get('binding')}"
    return f"no final event in the logs; the last event is: {last.message}"


def _explain_completed(
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
    first = next((line for line in lines if line.name == "TASKS_PLACED"), None)
    wait = float(first.fields.get("age_seconds", 0.0)) if first else 0.0
    if wait > LONG_WAIT_SECONDS:
        reasons.insert(0, f"first task placed after {wait} s")
    detail = "; ".join(reasons) or "its tasks took longer than declared"
    return f"completed late, {age} s of {objective} s: {detail}"
