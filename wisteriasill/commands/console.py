"""Output of commands and their connection to an entry host."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import json
import pathlib
import sys
from typing import Any, NamedTuple

from returns import result

from wisteriasill import errors
from wisteriasill.links import operator_client

DONE = 0
FAILED = 1
USAGE = 2

_USAGE_KINDS = frozenset(
    {errors.ErrorKind.BAD_REQUEST, errors.ErrorKind.INVALID_SETTING}
)


class Connection(NamedTuple):
    """How a command reaches an entry host.

    Attributes:
        entry: Base URL of the operator port.
        token_file: File that holds the bearer token; empty for none.
        token: Bearer token from the environment; the file goes first.
    """

    entry: str
    token_file: str = ""
    token: str = ""


Client = result.Result[operator_client.OperatorClient, errors.Failure]


def connect(connection: Connection) -> Client:
    """Builds the client of a connection; does not dial yet.

    Args:
        connection: How to reach the entry host.

    Returns:
        The client, or INVALID_SETTING.
    """
    if not connection.entry:
        return invalid_setting(
            "name an entry host with --entry URL or WISTERIASILL_ENTRY"
        )
    if not connection.entry.startswith(("http://", "https://")):
        return invalid_setting(
            f'--entry "{connection.entry}" is not an http:// or https:// URL'
        )
    return read_token(connection.token_file, connection.token).map(
        lambda token: operator_client.OperatorClient(connection.entry, token)
    )


def read_token(
    token_file: str, token: str
) -> result.Result[str, errors.Failure]:
    """Reads a bearer token.

    Args:
        token_file: File that holds it; empty for none.
        token: The token if there is no file.

    Returns:
        The token, or INVALID_SETTING. No message shows the token.
    """
    if not token_file:
        return result.Success(token)
    try:
        found = pathlib.Path(token_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8"
        return invalid_setting(f'--token-file "{token_file}": {reason}')
    if not found or not found.isprintable() or not found.isascii():
        return invalid_setting(
            f'--token-file "{token_file}" must hold one line of ASCII text'
        )
    return result.Success(found)


def invalid_setting(detail: str) -> result.Result[Any, errors.Failure]:
    """Returns a failure of usage."""
    return result.Failure(
        errors.failure(errors.ErrorKind.INVALID_SETTING, detail)
    )


def report(failure: errors.Failure) -> int:
    """Prints a failure in one line.

    Args:
        failure: The failure.

    Returns:
        The exit status: 2 for wrong usage, 1 for anything else.
    """
    uncertain = (
        " (it may have taken effect)"
        if failure.executed is errors.Executed.UNKNOWN
        else ""
    )
    say_error(f"{failure.detail}{uncertain}")
    return USAGE if failure.kind in _USAGE_KINDS else FAILED


def say_error(text: str) -> None:
    """Prints one line of error text."""
    print(f"wisteriasill: {' '.join(text.split())}", file=sys.stderr)


def print_json(document: Any) -> None:
    """Prints a document for scripts."""
    print(json.dumps(document, indent=2))


def print_table(
    rows: Sequence[Mapping[str, Any]], columns: Mapping[str, str]
) -> None:
    """Prints rows for people.

    Args:
        rows: Plain data.
        columns: Headings by key, in order; those without a value in any row
            are left out.
    """
    columns = {
        key: heading
        for key, heading in columns.items()
        if not rows or any(key in row for row in rows)
    }
    cells = [
        list(columns.values()),
        *([_cell(row.get(key)) for key in columns] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        line = "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print(line.rstrip())


def _cell(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Mapping):
        return " ".join(f"{key}={item}" for key, item in value.items()) or "-"
    if isinstance(value, list):
        return " ".join(map(str, value)) or "-"
    return f"{value:g}" if isinstance(value, float) else str(value)


def age_line(document: Mapping[str, Any]) -> str:
    """Says how old the answer of an entry host is."""
    ages: Mapping[str, float | None] = document.get("age_seconds", {})
    known = [age for age in ages.values() if age is not None]
    unknown = [topic for topic, age in ages.items() if age is None]
    text = f"as known to {document.get('member_id', '?')}"
    if known:
        text += f", {max(known):.1f} s ago at most"
    if unknown:
        text += f"; not yet known: {', '.join(unknown)}"
    store = document.get("store", {})
    if store.get("reachable") is False:
        text += f"; the store does not answer: {store.get('detail')}"
    return text
