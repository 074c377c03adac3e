"""Reads the service files and the site file and checks them together."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import pathlib
from typing import NamedTuple

from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import service as services
from wisteriasill.contracts import service_checks as checks
from wisteriasill.contracts import service_text
from wisteriasill.contracts import site_checks
from wisteriasill.contracts import toml_lines

SERVICE_FILE = "wisteriasill.toml"
SITE_FILE = "site.toml"
MAX_FILE_BYTES = 64 * 1024


class SiteDirectory(NamedTuple):
    """The files of a site.

    Attributes:
        site: The site's contract; None if its file is missing or invalid.
        services_by_name: All services with valid files.
        files_by_name: Path of each document's file.
        problems: Errors and warnings of all files.
    """

    site: services.SiteContract | None
    services_by_name: Mapping[str, services.Service]
    files_by_name: Mapping[str, str]
    problems: tuple[service_text.Problem, ...]

    @property
    def errors(self) -> tuple[service_text.Problem, ...]:
        """The problems that are errors."""
        return tuple(problem for problem in self.problems if problem.is_error)


def read_file(path: pathlib.Path, shown: str = "") -> service_text.ParsedFile:
    """Reads a file from disk; reports an unreadable file as a problem.

    Args:
        path: The file; its name distinguishes the site file.
        shown: Path to show in problems; the path itself by default.
    """
    file = shown or str(path)
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise OSError(f"larger than {MAX_FILE_BYTES} bytes")
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        finding = checks.Finding("", ("file",), None, f"unreadable: {reason}")
        return service_text.ParsedFile(
            file, None, {}, (service_text.Problem(file, 1, finding),)
        )
    return service_text.parse(file, text, is_site=path.name == SITE_FILE)


def read_directory(folder: pathlib.Path) -> SiteDirectory:
    """Reads `site.toml` and every service file below a directory.

    Args:
        folder: The directory.

    Returns:
        All contracts, errors and warnings.
    """
    paths = [folder / SITE_FILE, *sorted(folder.glob(f"*/**/{SERVICE_FILE}"))]
    return combine(
        [read_file(path, str(path.relative_to(folder))) for path in paths]
    )


def combine(parsed: Iterable[service_text.ParsedFile]) -> SiteDirectory:
    """Checks files against each other.

    Args:
        parsed: The site file and the service files.

    Returns:
        All contracts, errors and warnings.
    """
    site = None
    services_by_name: dict[str, services.Service] = {}
    files: dict[str, service_text.ParsedFile] = {}
    problems: list[service_text.Problem] = []
    for parsed_file in parsed:
        problems.extend(parsed_file.problems)
        contract = parsed_file.contract
        if isinstance(contract, services.SiteContract):
            site = contract
            files[configurations.SITE_DOCUMENT] = parsed_file
        elif contract is not None and contract.name in services_by_name:
            problems.append(
                _duplicate(contract.name, parsed_file, files[contract.name])
            )
        elif contract is not None:
            services_by_name[contract.name] = contract
            files[contract.name] = parsed_file
    complete = not problems
    for finding in site_checks.check_all(
        site if complete else None, services_by_name
    ):
        parsed_file = files[finding.document]
        line = toml_lines.line_of(parsed_file.lines, finding.path)
        problems.append(service_text.Problem(parsed_file.file, line, finding))
    return SiteDirectory(
        site,
        services_by_name,
        {name: parsed_file.file for name, parsed_file in files.items()},
        tuple(
            sorted(problems, key=lambda problem: (problem.file, problem.line))
        ),
    )


def _duplicate(
    name: str, second: service_text.ParsedFile, first: service_text.ParsedFile
) -> service_text.Problem:
    path = ("service", "name")
    finding = checks.Finding(
        name,
        path,
        name,
        f"{first.file} describes a service of this name already",
    )
    return service_text.Problem(
        second.file, toml_lines.line_of(second.lines, path), finding
    )
