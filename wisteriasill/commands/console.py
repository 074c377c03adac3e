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

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2

_USAGE_KINDS = frozenset(
    {errors.ErrorKind.BAD_REQUEST, errors.ErrorKind.INVALID_SETTING}
)


class Connection(NamedTuple):
    """Address and credentials of an entry host's operator port.

    Attributes:
        entry: Base URL of the operator port.
        token_file: File that holds the bearer token; empty for none.
        token: Bearer token from the environment; the file takes precedence.
    """

    entry: str
    token_file: str = ""
    token: str = ""


ClientResult = result.Result[operator_client.OperatorClient, errors.Failure]


def connect(connection: Connection) -> ClientResult:
    """Builds the client of a connection without connecting yet.

    Args:
        connection: Address and credentials of an entry host.

    Returns:
        The client, or INVALID_SETTING.
    """
    if not connection.entry:
        return invalid_setting(
            "no entry host is given; set --entry URL or WISTERIASILL_ENTRY"
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
        token: Token to use if no file is given.

    Returns:
        The token, or INVALID_SETTING. Error messages never contain the token.
    """
    if not token_file:
        return result.Success(token)
    try:
        content = pathlib.Path(token_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8"
        return invalid_setting(f'--token-file "{token_file}": {reason}')
    if not content or not content.isprintable() or not content.isascii():
        return invalid_setting(
            f'--token-file "{token_file}" must hold one line of ASCII text'
        )
    return result.Success(content)


def invalid_setting(detail: str) -> result.Result[Any, errors.Failure]:
    """Returns an INVALID_SETTING failure."""
    return result.Failure(
        errors.failure(errors.ErrorKind.INVALID_SETTING, detail)
    )


def report(failure: errors.Failure) -> int:
    """Prints a failure on one line of standard error.

    Args:
        failure: The failure.

    Returns:
        The exit status: 2 for invalid usage, 1 for any other failure.
    """
    uncertain = (
        " (it may have taken effect)"
        if failure.executed is errors.Executed.UNKNOWN
        else ""
    )
    print_error(f"{failure.detail}{uncertain}")
    return EXIT_USAGE if failure.kind in _USAGE_KINDS else EXIT_FAILURE


def print_error(text: str) -> None:
    """Prints text as one line on standard error."""
    print(f"wisteriasill: {' '.join(text.split())}", file=sys.stderr)


def print_json(document: Any) -> None:
    """Prints a document as indented JSON."""
    print(json.dumps(document, indent=2))


def print_table(
    rows: Sequence[Mapping[str, Any]], columns: Mapping[str, str]
) -> None:
    """Prints rows as a table with aligned columns.

    Args:
        rows: Values by key.
        columns: Headings by key, in order; columns whose key is in no row
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


def describe_age(document: Mapping[str, Any]) -> str:
    """Describes how old the data in an entry host's answer is."""
    ages: Mapping[str, float | None] = document.get("age_seconds", {})
    known_ages = [age for age in ages.values() if age is not None]
    unknown_topics = [topic for topic, age in ages.items() if age is None]
    text = f"as known to {document.get('member_id', '?')}"
    if known_ages:
        text += f", {max(known_ages):.1f} s ago at most"
    if unknown_topics:
        text += f"; not yet known: {', '.join(unknown_topics)}"
    store = document.get("store", {})
    if store.get("reachable") is False:
        text += f"; the store does not answer: {store.get('detail')}"
    return text
