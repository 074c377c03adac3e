"""`wisteriasill check`: reads the files of a site and lists problems."""

from __future__ import annotations

import pathlib

from wisteriasill import documents
from wisteriasill.commands import console
from wisteriasill.contracts import service_file


def run(directory: str, as_json: bool) -> int:
    """Checks the files of a site.

    Args:
        directory: Directory with `site.toml` and service files.
        as_json: Whether to print JSON.

    Returns:
        Exit status: 1 if any file has errors.
    """
    if not pathlib.Path(directory).is_dir():
        console.print_error(f'"{directory}" is not a directory')
        return console.EXIT_USAGE
    parsed = service_file.read_directory(pathlib.Path(directory))
    if as_json:
        console.print_json(
            {
                "site": None if parsed.site is None else parsed.site.name,
                "services": sorted(parsed.services_by_name),
                "problems": [
                    {
                        "file": problem.file,
                        "line": problem.line,
                        "key": problem.finding.key,
                        "value": documents.encode(problem.finding.value),
                        "message": problem.finding.message,
                        "is_error": problem.is_error,
                    }
                    for problem in parsed.problems
                ],
            }
        )
    else:
        for problem in parsed.problems:
            print(problem.text)
        print(
            f"{len(parsed.services_by_name)} services, "
            f"{len(parsed.errors)} errors, "
            f"{len(parsed.problems) - len(parsed.errors)} warnings"
        )
    return console.EXIT_FAILURE if parsed.errors else console.EXIT_SUCCESS
