"""Formatting of command-line usage errors."""

from __future__ import annotations

from collections.abc import Callable, Iterable
import difflib
import re
from typing import Any

import cappa

from wisteriasill.commands import console


class OneLineOutput(cappa.Output):
    """Prints each error on one line and suggests the closest known name.

    Attributes:
        find_known_words: Returns the names of commands and options.
    """

    find_known_words: Callable[[], Iterable[str]] = tuple

    def exit(
        self,
        e: cappa.Exit,
        help: list[Any] | None = None,
        short_help: Any = None,
    ) -> None:
        """Prints the message of an exit."""
        if e.code in (0, None):
            super().exit(e, help=help, short_help=short_help)
        elif e.message is not None:
            text = str(e.message)
            console.print_error(text + _suggestion(text, self.find_known_words))


def _suggestion(
    text: str, find_known_words: Callable[[], Iterable[str]]
) -> str:
    unknown_name = re.search(
        r"Invalid command '([^']+)'|arguments: (\S+)", text
    )
    if unknown_name is None:
        return ""
    word = (unknown_name.group(1) or unknown_name.group(2)).rstrip(",")
    match = difflib.get_close_matches(word, list(find_known_words()), n=1)
    return f"; did you mean {match[0]}?" if match else ""


def build(find_known_words: Callable[[], Iterable[str]]) -> OneLineOutput:
    """Builds the output of the command line.

    Args:
        find_known_words: Returns the names of commands and options; only
            called for an unknown name.
    """
    output = OneLineOutput()
    output.find_known_words = find_known_words
    return output
