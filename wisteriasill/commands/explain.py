"""`wisteriasill explain`: explains how the fleet runs one service."""

from __future__ import annotations

import pathlib
import textwrap

from wisteriasill import documents
from wisteriasill.commands import console
from wisteriasill.contracts import explanation
from wisteriasill.contracts import service as services
from wisteriasill.contracts import service_file

WIDTH = 78


def run(file: str, as_json: bool) -> int:
    """Explains a service file.

    Args:
        file: The service file, or the directory that holds it.
        as_json: Whether to print JSON.

    Returns:
        Exit status: 1 if the file has errors.
    """
    path = pathlib.Path(file)
    if path.is_dir():
        path = path / service_file.SERVICE_FILE
    parsed = service_file.combine([service_file.read_file(path)])
    for problem in parsed.errors:
        console.print_error(problem.text)
    if parsed.errors or not parsed.services_by_name:
        return console.EXIT_FAILURE
    service = next(iter(parsed.services_by_name.values()))
    site = _read_site(path)
    sections = explanation.explain(service, site)
    if as_json:
        console.print_json(documents.encode(sections))
        return console.EXIT_SUCCESS
    for section in sections:
        print(section.heading)
        for sentence in section.sentences:
            print(
                textwrap.fill(
                    sentence,
                    WIDTH,
                    initial_indent="  - ",
                    subsequent_indent="    ",
                )
            )
    return console.EXIT_SUCCESS


def _read_site(path: pathlib.Path) -> services.SiteContract:
    """Reads the site file from the nearest of four parent directories."""
    for folder in path.resolve().parents[:4]:
        site_path = folder / service_file.SITE_FILE
        if site_path.is_file():
            site = service_file.read_file(site_path).contract
            if isinstance(site, services.SiteContract):
                return site
            break
    default_site = services.SiteContract(
        "unnamed", services.Preference.ROLL_OUT_TIME
    )
    console.print_error(
        f"no readable {service_file.SITE_FILE} above {path}; assuming "
        f'prefer = "{default_site.prefer.value}" and no quotas'
    )
    return default_site
