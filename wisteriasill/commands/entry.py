"""`wisteriasill entry`: validates the settings and runs the daemon."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import os
import sys

from returns import result

from wisteriasill import entry_settings
from wisteriasill import errors
from wisteriasill import settings as settings_module
from wisteriasill.commands import console


def split_flags(
    flags: Mapping[str, str], others: Sequence[str]
) -> result.Result[dict[str, str], errors.Failure]:
    """Merges named flags and `--set NAME=VALUE` flags.

    Args:
        flags: Values by setting name; empty values are not set.
        others: Settings of the form `NAME=VALUE`.

    Returns:
        Values by setting name, or INVALID_SETTING.
    """
    values = {name: value for name, value in flags.items() if value}
    for text in others:
        name, equals, value = text.partition("=")
        if not equals:
            return console.invalid_setting(f'--set "{text}" is not NAME=VALUE')
        values[name.strip().replace("-", "_")] = value
    return result.Success(values)


def run(flags: Mapping[str, str], others: Sequence[str], log_json: bool) -> int:
    """Runs an entry host until SIGTERM or SIGINT.

    Args:
        flags: Values by setting name; empty values are not set.
        others: Further settings as `NAME=VALUE`.
        log_json: Whether to log one JSON object per line.

    Returns:
        Exit status: 0 after a graceful shutdown.
    """
    settings_result = split_flags(flags, others).bind(
        lambda values: entry_settings.build_settings(values, os.environ)
    )
    match settings_result:
        case result.Failure(failure):
            return console.report(failure)
        case result.Success(settings):
            return _exec_daemon(settings, log_json)
    raise AssertionError(flags)


def _exec_daemon(
    settings: settings_module.EntrySettings, log_json: bool
) -> int:
    """Replaces this process with the daemon, keeping the process id.

    The daemon doesn't load the libraries of the command line, which use 11 MB
    of the 64 MB that a node may spend on control.
    """
    environment = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(entry_settings.PREFIX)
    }
    sys.stdout.flush()
    sys.stderr.flush()
    os.execve(
        sys.executable,
        [
            sys.executable,
            "-m",
            "wisteriasill.daemon",
            *(["--log-json"] if log_json else []),
        ],
        {**environment, **entry_settings.to_environment(settings)},
    )
