"""Runs the commands of the tutorial page and compares their output."""

from __future__ import annotations

import pathlib
import re
import shlex
from typing import NamedTuple

import pytest

from tests import operator_site
from tests.commands import conftest
from wisteriasill.contracts import service_file

run = conftest.run
folder = conftest.folder
PAGE = pathlib.Path(__file__).parents[2] / (
    "docs/user-guide/first-service-file.md"
)


class Step(NamedTuple):
    """A block of the page: an edit, a command and its output."""

    edit: str
    command: str
    output: str


def steps() -> list[Step]:
    blocks = re.findall(
        r'^```console(?: edit="([^"]*)")?\n\$ wisteriasill (.*?)\n(.*?)^```',
        PAGE.read_text(encoding="utf-8"),
        re.MULTILINE | re.DOTALL,
    )
    return [Step(*block) for block in blocks]


def matches(expected: str, printed: str) -> bool:
    """Compares output; an expected line `...` matches any lines."""
    pattern = "".join(
        "(.*\n)*" if line == "..." else re.escape(line) + "\n"
        for line in expected.splitlines()
    )
    return re.fullmatch(pattern, printed) is not None


def apply_edit(folder: pathlib.Path, edit: str) -> None:
    service, _, change = edit.partition(": ")
    old, _, new = change.partition(" -> ")
    path = folder / service / service_file.SERVICE_FILE
    text = path.read_text(encoding="utf-8")
    assert old in text
    path.write_text(text.replace(old, new), encoding="utf-8")


def test_tutorial(
    run: conftest.Run,
    folder: pathlib.Path,
    operators: operator_site.OperatorSite,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The commands on the page must print the output shown there."""
    monkeypatch.setenv("WISTERIASILL_ENTRY", operators.url)
    assert len(steps()) == 8
    for step in steps():
        if step.edit:
            apply_edit(folder, step.edit)
        arguments = [
            word.replace("my-site", str(folder))
            for word in shlex.split(step.command)
        ]
        outcome = run(*arguments)
        assert matches(step.output, outcome.output), (step, outcome)
        operators.adopt_configuration()
