"""Fixtures of the command tests."""

from __future__ import annotations

from collections.abc import Callable
import pathlib
from typing import NamedTuple

import pytest

from tests import operator_site
from wisteriasill import __main__ as command_line


class Outcome(NamedTuple):
    """Exit status and output of a command."""

    status: int
    output: str
    errors: str


Run = Callable[..., Outcome]


@pytest.fixture
def run(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> Run:
    """Runs a command line in this process."""
    monkeypatch.setenv("WISTERIASILL_AUTHOR", "bia")
    monkeypatch.setenv("WISTERIASILL_TOKEN", operator_site.TOKEN)
    monkeypatch.setenv("COLUMNS", "80")
    # cappa parses the source file of each command to find docstrings of
    # attributes. There are none, and parsing takes most of the run time.
    monkeypatch.setattr(
        "cappa.docstring.get_attribute_docstrings", lambda command: {}
    )

    def call(*arguments: str) -> Outcome:
        capsys.readouterr()
        with pytest.raises(SystemExit) as exited:
            command_line.main(list(arguments))
        printed = capsys.readouterr()
        return Outcome(int(exited.value.code or 0), printed.out, printed.err)

    return call


@pytest.fixture
def folder(tmp_path: pathlib.Path) -> pathlib.Path:
    """A copy of the example site mandacaru."""
    source = operator_site.EXAMPLES / "mandacaru"
    for path in source.rglob("*.toml"):
        target = tmp_path / path.relative_to(source)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(path.read_text(encoding="utf-8"), encoding="utf-8")
    return tmp_path
