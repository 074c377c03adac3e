"""How the command line's own errors look."""

from __future__ import annotations

from collections.abc import Iterable
import difflib
import re
from typing import Any

import cappa

from wisteriasill.commands import console


class OneLineOutput(cappa.Output):
    """Prints each error in one line and names the nearest known word.

    Attributes:
        known_words: Names of commands and options.
    """

    known_words: tuple[str, ...] = ()

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
            console.say_error(text + _advice(text, self.known_words))


def _advice(text: str, known: Iterable[str]) -> str:
    wrong = re.search(r"Invalid command '([^']+)'|arguments: (\S+)", text)
    if wrong is None:
        return ""
    word = (wrong.group(1) or wrong.group(2)).rstrip(",")
    match = difflib.get_close_matches(word, list(known), n=1)
    return f"; did you mean {match[0]}?" if match else ""


def build(known_words: Iterable[str]) -> OneLineOutput:
    """Returns the output of the command line.

    Args:
        known_words: Names of commands and options.
    """
    output = OneLineOutput()
    output.known_words = tuple(known_words)
    return output
