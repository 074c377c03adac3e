"""How the command line's own errors look."""

from __future__ import annotations

from collections.abc import Callable, Iterable
import difflib
import re
from typing import Any

import cappa

from wisteriasill.commands import console


class OneLineOutput(cappa.Output):
    """Prints each error in one line and names the nearest known word.

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
        """Prints what an exit has to say."""
        if e.code in (0, None):
            super().exit(e, help=help, short_help=short_help)
        elif e.message is not None:
            text = str(e.message)
            console.say_error(text + _advice(text, self.find_known_words))


def _advice(text: str, find_known_words: Callable[[], Iterable[str]]) -> str:
    wrong = re.search(r"Invalid command '([^']+)'|arguments: (\S+)", text)
    if wrong is None:
        return ""
    word = (wrong.group(1) or wrong.group(2)).rstrip(",")
    match = difflib.get_close_matches(word, list(find_known_words()), n=1)
    return f"; did you mean {match[0]}?" if match else ""


def build(find_known_words: Callable[[], Iterable[str]]) -> OneLineOutput:
    """Returns the output of the command line.

    Args:
        find_known_words: Returns the names of commands and options; called
            only for a word that is not known.
    """
    output = OneLineOutput()
    output.find_known_words = find_known_words
    return output
