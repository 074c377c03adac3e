"""Argument declarations shared by the commands."""

from __future__ import annotations

import getpass
import os
from typing import Annotated

import cappa

from wisteriasill.commands import console

Entry = Annotated[
    str,
    cappa.Arg(
        long="--entry",
        value_name="URL",
        default=cappa.Env("WISTERIASILL_ENTRY", default=""),
        show_default=False,
        help="URL of any entry host's operator port; default "
        "WISTERIASILL_ENTRY.",
    ),
]
TokenFile = Annotated[
    str,
    cappa.Arg(
        long="--token-file",
        value_name="FILE",
        default="",
        show_default=False,
        help="File with the bearer token; default WISTERIASILL_TOKEN.",
    ),
]
Json = Annotated[
    bool,
    cappa.Arg(
        long="--json",
        default=False,
        show_default=False,
        help="Print JSON with stable field names.",
    ),
]
NoWait = Annotated[
    bool,
    cappa.Arg(
        long="--no-wait",
        default=False,
        show_default=False,
        help="Don't wait for the outcome.",
    ),
]
Pool = Annotated[
    str,
    cappa.Arg(
        long="--pool", default="", show_default=False, help="Only this pool."
    ),
]
State = Annotated[
    str,
    cappa.Arg(
        long="--state",
        default="",
        show_default=False,
        help="Only this state.",
    ),
]
Directory = Annotated[
    str,
    cappa.Arg(
        value_name="DIR", help="Directory with site.toml and service files."
    ),
]
Setting = Annotated[
    str, cappa.Arg(long=True, value_name="VALUE", show_default=False)
]
Host = Annotated[str, cappa.Arg(value_name="HOST", help="Host id.")]


def connection(entry: str, token_file: str) -> console.Connection:
    """Returns the connection settings of an operator command."""
    return console.Connection(
        entry, token_file, os.environ.get("WISTERIASILL_TOKEN", "")
    )


def author() -> str:
    """Returns the operator's name: WISTERIASILL_AUTHOR or the login name."""
    try:
        return os.environ.get("WISTERIASILL_AUTHOR") or getpass.getuser()
    except (KeyError, OSError):  # No login name for this user id.
        return f"uid-{os.getuid()}"


def example(text: str) -> str:
    """Returns the example line of a command's help."""
    return f"Example: `wisteriasill {text}`"
