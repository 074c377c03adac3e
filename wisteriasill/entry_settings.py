"""Builds the settings of an entry host from flags and the environment."""

from __future__ import annotations

from collections.abc import Mapping
import ipaddress
from typing import Any

import pydantic
from returns import result

from wisteriasill import errors
from wisteriasill import settings as settings_module
from wisteriasill.commands import console
from wisteriasill.contracts import service_checks

PREFIX = "WISTERIASILL_"
_TOKEN_FILE = "operator_token_file"
_ADAPTER = pydantic.TypeAdapter(settings_module.EntrySettings)
# Environment variables of the command line that share the prefix of the
# daemon's settings.
_COMMAND_LINE_NAMES = frozenset(
    {"entry", "token", "token_file", "log_json", "author"}
)


def setting_names() -> tuple[str, ...]:
    """Returns the names of all settings."""
    return (*settings_module.EntrySettings._fields, _TOKEN_FILE)


def build_settings(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> result.Result[settings_module.EntrySettings, errors.Failure]:
    """Builds the settings; a flag overrides an environment variable.

    Args:
        flags: Values by setting name.
        environment: Environment variables.

    Returns:
        The settings, or INVALID_SETTING that names the setting.
    """
    values: dict[str, Any] = {}
    for variable, value in environment.items():
        name = variable.removeprefix(PREFIX).lower()
        if not variable.startswith(PREFIX) or name in _COMMAND_LINE_NAMES:
            continue
        if name not in setting_names():
            return _unknown(variable, name.upper(), PREFIX)
        values[name] = value
    for name, value in flags.items():
        if name not in setting_names():
            return _unknown(f"--set {name}", name, "")
        values[name] = value
    token = console.read_token(
        values.pop(_TOKEN_FILE, ""), values.get("operator_token", "")
    )
    return token.bind(
        lambda content: _validate({**values, "operator_token": content})
    )


def _unknown(
    displayed_name: str, name: str, prefix: str
) -> result.Result[settings_module.EntrySettings, errors.Failure]:
    known = [
        prefix + (known_name.upper() if prefix else known_name)
        for known_name in setting_names()
    ]
    return console.invalid_setting(
        f"unknown setting {displayed_name}"
        + service_checks.suggest(prefix + name, known)
    )


def _validate(
    values: Mapping[str, Any],
) -> result.Result[settings_module.EntrySettings, errors.Failure]:
    try:
        settings = _ADAPTER.validate_python(dict(values))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        name = str(first["loc"][0])
        if first["type"] == "missing":
            return console.invalid_setting(
                f"setting {name} is required: --set {name}=VALUE or "
                f"{PREFIX}{name.upper()}"
            )
        return console.invalid_setting(
            f"setting {name} = {first['input']!r}: {first['msg']}"
        )
    problem = _find_problem(settings)
    if problem:
        return console.invalid_setting(problem)
    return result.Success(settings)


def _find_problem(settings: settings_module.EntrySettings) -> str:
    for name in ("caller_port", "operator_port", "peer_port"):
        if not 0 <= getattr(settings, name) <= 65535:
            return f"setting {name} must be between 0 and 65535"
    for name in ("listen_address", "advertised_address"):
        try:
            ipaddress.ip_address(getattr(settings, name))
        except ValueError:
            return (
                f"setting {name} = {getattr(settings, name)!r} is not an "
                "IP address"
            )
    for name, value in settings._asdict().items():
        is_amount = isinstance(value, int | float) and not name.endswith("port")
        may_be_zero = name in ("control", "drain_notice_seconds")
        if is_amount and not may_be_zero and not value > 0:
            return f"setting {name} = {value} must be more than 0"
    if not settings.platform_url.startswith(("http://", "https://")):
        return (
            f"setting platform_url = {settings.platform_url!r} is not an "
            "http:// or https:// URL"
        )
    return ""


def to_environment(settings: settings_module.EntrySettings) -> dict[str, str]:
    """Returns the environment variables that reproduce the settings.

    Args:
        settings: The settings.
    """
    return {
        PREFIX + name.upper(): str(value)
        for name, value in settings._asdict().items()
    }
