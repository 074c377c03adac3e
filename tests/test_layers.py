"""Tests that packages depend on each other in one direction.

Only the modules that a node on the platform loads are checked; the request
path of the entry host still has imports against the order (issue 9).
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
import pathlib
import sys
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parents[1]
# Each package may import those before it.
ORDER = ("contracts", "links", "zones", "machines", "commands")


class Import(NamedTuple):
    """An import of one wisteriasill module by another."""

    importer: str
    imported: str

    @property
    def is_against_order(self) -> bool:
        """Whether a package imports a later one."""
        importer, imported = (name.split(".")[0] for name in self)
        return (
            importer in ORDER
            and imported in ORDER
            and ORDER.index(importer) < ORDER.index(imported)
        )


def imports_of(path: pathlib.Path) -> Iterator[str]:
    """Lists the wisteriasill modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(
            "wisteriasill"
        ):
            package = (node.module or "").partition(".")[2]
            for name in node.names:
                yield f"{package}.{name.name}" if package else name.name


def all_imports() -> set[Import]:
    """Lists all imports between wisteriasill modules."""
    source = ROOT / "wisteriasill"
    return {
        Import(
            str(path.relative_to(source).with_suffix("")).replace("/", "."),
            imported,
        )
        for path in source.rglob("*.py")
        for imported in imports_of(path)
    }


def modules_loaded_by_a_node(imports: set[Import]) -> set[str]:
    """Lists the modules that a node on the platform loads."""
    loaded: set[str] = set()
    pending = [
        imported
        for path in (ROOT / "platform").glob("*.py")
        for imported in imports_of(path)
    ]
    while pending:
        module = pending.pop()
        if module not in loaded:
            loaded.add(module)
            pending += [
                dependency.imported
                for dependency in imports
                if dependency.importer == module
            ]
    return loaded


def test_modules_of_a_node_on_the_platform_depend_one_way() -> None:
    imports = all_imports()
    loaded = modules_loaded_by_a_node(imports)
    assert "machines.site_node" in loaded
    assert [
        dependency
        for dependency in sorted(imports)
        if dependency.importer in loaded and dependency.is_against_order
    ] == []


def external_imports_of(path: pathlib.Path) -> Iterator[str]:
    """Lists the top-level packages that a file imports."""
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
    """The platform installs requirements.txt only, no development tools."""
    source = ROOT / "wisteriasill"
    files = [*(ROOT / "platform").glob("*.py")]
    own_packages = {path.stem for path in files} | {"wisteriasill"}
    files += [
        path
        for module in modules_loaded_by_a_node(all_imports())
        if (path := source / f"{module.replace('.', '/')}.py").exists()
    ]
    required = {
        name
        for path in files
        for name in external_imports_of(path)
        if name not in sys.stdlib_module_names and name not in own_packages
    }
    lines = (ROOT / "requirements.txt").read_text(encoding="utf-8").split()
    declared = {line.partition("==")[0].lower() for line in lines}
    assert required - declared == set()
