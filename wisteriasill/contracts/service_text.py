"""Parses the text of a service file or site file."""

from __future__ import annotations

from collections.abc import Mapping
import json
import math
import re
import tomllib
from typing import Any, NamedTuple

import pydantic

from wisteriasill.contracts import service as services
from wisteriasill.contracts import service_checks as checks
from wisteriasill.contracts import toml_lines

_SERVICE_ADAPTER = pydantic.TypeAdapter(services.Service)
_SITE_ADAPTER = pydantic.TypeAdapter(services.SiteContract)
_TABLE_BY_FIELD = {"requests": "request", "jobs": "job", "quotas": "quota"}
_TYPE_BY_TABLE: dict[str, Any] = {
    "service": services.Service,
    "pool": services.PoolContract,
    "request": services.RequestClass,
    "job": services.JobContract,
    "site": services.SiteContract,
    "quota": services.TeamQuota,
}
_OWN_TABLES = frozenset({"pool", "requests", "jobs", "quotas"})
_MESSAGE_BY_TYPE = {
    "missing": "this key is required",
    "int_type": "must be a whole number",
    "float_type": "must be a number",
    "string_type": "must be a string",
    "bool_type": "must be true or false",
    "tuple_type": "must be a list",
    "named_tuple_type": "must be a table",
}


class Problem(NamedTuple):
    """A finding with its file and line."""

    file: str
    line: int
    finding: checks.Finding

    @property
    def is_error(self) -> bool:
        """False for a warning."""
        return self.finding.is_error

    @property
    def text(self) -> str:
        """The problem as one line of text."""
        level = "error" if self.is_error else "warning"
        return f"{self.file}:{self.line}: {level}: {self.finding.text}"


class ParsedFile(NamedTuple):
    """The result of parsing a file.

    Attributes:
        file: Path as shown in problems.
        contract: The decoded contract; None if the file has errors.
        lines: Line numbers by path.
        problems: Problems within the file.
    """

    file: str
    contract: services.Service | services.SiteContract | None
    lines: Mapping[toml_lines.Path, int]
    problems: tuple[Problem, ...]


def _json_value(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _json_value(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_json_value(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)  # JSON has no infinity, and no limit may be infinite.
    if isinstance(value, str | int | float):
        return value
    return str(value)


def _allowed_keys(table: str) -> list[str]:
    fields: tuple[str, ...] = _TYPE_BY_TABLE[table]._fields
    return [field for field in fields if field not in _OWN_TABLES]


def _file_path(loc: tuple[int | str, ...], main_table: str) -> toml_lines.Path:
    first = str(loc[0])
    if first == "pool":
        return loc
    if first in _TABLE_BY_FIELD:
        return (_TABLE_BY_FIELD[first], *loc[1:])
    return (main_table, *loc)


def _message(error: Mapping[str, Any], path: toml_lines.Path) -> str:
    kind = error["type"]
    if kind == "extra_forbidden":
        known = _allowed_keys(str(path[0]))
        return "unknown key" + checks.suggest(str(path[-1]), known)
    if kind == "enum":
        expected = error["ctx"]["expected"]
        words = re.findall(r"'([^']+)'", expected)
        return f"must be {expected}" + checks.suggest(
            str(error["input"]), words
        )
    if kind == "string_pattern_mismatch":
        return "must be small letters, digits and hyphens, a letter first"
    if kind in ("greater_than", "greater_than_equal"):
        bound = error["ctx"].get("ge", error["ctx"].get("gt"))
        relation = "at least" if kind.endswith("equal") else "more than"
        return f"must be {relation} {bound:g}"
    return _MESSAGE_BY_TYPE.get(kind, str(error["msg"]))


def _structure_findings(
    name: str, raw: Mapping[str, Any], tables: tuple[str, ...]
) -> list[checks.Finding]:
    findings = [
        checks.Finding(
            name,
            (key,),
            None,
            "unknown table" + checks.suggest(key, tables),
        )
        for key in raw
        if key not in tables
    ]
    for table in tables[:1] + (("pool",) if "pool" in tables else ()):
        if not isinstance(raw.get(table), dict):
            findings.append(
                checks.Finding(
                    name, (table,), None, f"a [{table}] table is required"
                )
            )
    main_table = raw.get(tables[0])
    if isinstance(main_table, dict):
        findings.extend(
            checks.Finding(name, (tables[0], key), None, "unknown key")
            for key in main_table
            if key in _OWN_TABLES
        )
    return findings


def _type_findings(
    name: str, error: pydantic.ValidationError, main_table: str
) -> list[checks.Finding]:
    findings = []
    for details in error.errors(include_url=False):
        path = _file_path(details["loc"], main_table)
        value = None if details["type"] == "missing" else details["input"]
        findings.append(
            checks.Finding(name, path, value, _message(details, path))
        )
    return findings


def _syntax_problem(file: str, error: tomllib.TOMLDecodeError) -> ParsedFile:
    match = re.search(r"at line (\d+)", str(error))
    line = int(match.group(1)) if match else 1
    finding = checks.Finding("", ("TOML",), None, str(error))
    return ParsedFile(file, None, {}, (Problem(file, line, finding),))


def parse(file: str, text: str, is_site: bool = False) -> ParsedFile:
    """Parses one file.

    Args:
        file: Its path to show in problems.
        text: Its content.
        is_site: Whether it is the site file.

    Returns:
        The contract, or all problems of the file.
    """
    try:
        raw = _json_value(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return _syntax_problem(file, error)
    lines = toml_lines.find_lines(text)
    tables = (
        ("site", "quota") if is_site else ("service", "pool", "request", "job")
    )
    findings = _structure_findings("", raw, tables)
    contract = None
    if not any(finding.message.startswith("a [") for finding in findings):
        contract, type_findings = _validate(raw, is_site)
        findings.extend(type_findings)
    problems = tuple(
        Problem(file, toml_lines.line_of(lines, finding.path), finding)
        for finding in findings
    )
    return ParsedFile(file, None if problems else contract, lines, problems)


def _validate(
    raw: Mapping[str, Any], is_site: bool
) -> tuple[
    services.Service | services.SiteContract | None, list[checks.Finding]
]:
    main_table = "site" if is_site else "service"
    plain = {
        key: value
        for key, value in raw[main_table].items()
        if key not in _OWN_TABLES
    }
    for field, table in _TABLE_BY_FIELD.items():
        if table in raw:
            plain[field] = raw[table]
    if "pool" in raw:
        plain["pool"] = raw["pool"]
    adapter: pydantic.TypeAdapter[Any] = (
        _SITE_ADAPTER if is_site else _SERVICE_ADAPTER
    )
    try:
        # In strict mode, JSON strings are valid enumeration members and JSON
        # lists are valid tuples, but quoted numbers are rejected.
        return adapter.validate_json(json.dumps(plain), strict=True), []
    except pydantic.ValidationError as error:
        return None, _type_findings("", error, main_table)
