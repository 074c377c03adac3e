"""Lock file with the generation last published from or compared with."""

from __future__ import annotations

import json
import os
import pathlib
from typing import NamedTuple

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.commands import console

NAME = ".wisteriasill.lock"


class Lock(NamedTuple):
    """Content of the lock file.

    Attributes:
        site: Site that the generation belongs to.
        generation: Generation of the last publish or comparison.
        names: Documents in force in that generation.
    """

    site: str
    generation: int
    names: tuple[str, ...] = ()


def read(folder: pathlib.Path) -> result.Result[Lock | None, errors.Failure]:
    """Reads the lock file of a directory; None if there is none."""
    path = folder / NAME
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return result.Success(None)
    except (OSError, ValueError) as error:
        return console.invalid_setting(
            f'"{path}" is unreadable ({error}); delete it and pass '
            "the generation with --base"
        )
    return documents.decode(Lock, document).lash(
        lambda failure: console.invalid_setting(
            f'"{path}": {failure.detail}; delete it and pass the generation '
            "with --base"
        )
    )


def write(
    folder: pathlib.Path, lock: Lock
) -> result.Result[None, errors.Failure]:
    """Replaces the lock file of a directory atomically."""
    path = folder / NAME
    text = json.dumps(documents.encode(lock), indent=2) + "\n"
    try:
        temporary = path.with_suffix(".new")
        temporary.write_text(text, encoding="utf-8")
        os.replace(temporary, path)
    except OSError as error:
        return console.invalid_setting(
            f'"{path}" can\'t be written: {error.strerror}'
        )
    return result.Success(None)
