"""Tests that packages depend on each other in one direction.

Checked for the modules of a node on the platform; the product's own request
path still has arrows against the order (issue 9).
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
import pathlib
import sys
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parents[1]
# Each package may use those before it.
ORDER = ("contracts", "links", "zones", "machines", "commands")


class Arrow(NamedTuple):
    """A module that imports another one of the product."""

    user: str
    used: str

    @property
    def is_upward(self) -> bool:
        """Whether it goes from a package to a later one."""
        user, used = (name.split(".")[0] for name in self)
        return (
            user in ORDER
            and used in ORDER
            and ORDER.index(user) < ORDER.index(used)
        )


def imports_of(path: pathlib.Path) -> Iterator[str]:
    """Lists the product's modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(
            "wisteriasill"
        ):
            package = (node.module or "").partition(".")[2]
            for name in node.names:
                yield f"{package}.{name.name}" if package else name.name


def arrows() -> set[Arrow]:
    """Lists all imports between modules of the product."""
    source = ROOT / "wisteriasill"
    return {
        Arrow(
            str(path.relative_to(source).with_suffix("")).replace("/", "."),
            used,
        )
        for path in source.rglob("*.py")
        for used in imports_of(path)
    }


def reached_from_the_platform(known: set[Arrow]) -> set[str]:
    """Lists the modules that a node on the platform loads."""
    found: set[str] = set()
    waiting = [
        used
        for path in (ROOT / "platform").glob("*.py")
        for used in imports_of(path)
    ]
    while waiting:
        module = waiting.pop()
        if module not in found:
            found.add(module)
            waiting += [arrow.used for arrow in known if arrow.user == module]
    return found


def test_modules_of_a_node_on_the_platform_depend_one_way() -> None:
    known = arrows()
    loaded = reached_from_the_platform(known)
    assert "machines.site_node" in loaded
    assert [
        arrow
        for arrow in sorted(known)
        if arrow.user in loaded and arrow.is_upward
    ] == []


def outside_imports_of(path: pathlib.Path) -> Iterator[str]:
    """Lists the packages from elsewhere that a file imports."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        names = (
            [name.name for name in node.names]
            if isinstance(node, ast.Import)
            else [node.module or ""]
            if isinstance(node, ast.ImportFrom) and not node.level
            else []
        )
        yield from (name.partition(".")[0] for name in names)


def test_what_a_node_imports_is_installed_on_the_platform() -> None:
    """The platform installs the requirements only, not the development's."""
    source = ROOT / "wisteriasill"
    files = [*(ROOT / "platform").glob("*.py")]
    own = {path.stem for path in files} | {"wisteriasill"}
    files += [
        path
        for module in reached_from_the_platform(arrows())
        if (path := source / f"{module.replace('.', '/')}.py").exists()
    ]
    needed = {
        name
        for path in files
        for name in outside_imports_of(path)
        if name not in sys.stdlib_module_names and name not in own
    }
    lines = (ROOT / "requirements.txt").read_text(encoding="utf-8").split()
    declared = {line.partition("==")[0].lower() for line in lines}
    assert needed - declared == set()
