"""`wisteriasill entry`: checks the flags and becomes the daemon."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import os
import sys

from returns import result

from wisteriasill import entry_settings
from wisteriasill import errors
from wisteriasill import settings as setting_types
from wisteriasill.commands import console


def split_flags(
    flags: Mapping[str, str], others: Sequence[str]
) -> result.Result[dict[str, str], errors.Failure]:
    """Joins named flags and `--set NAME=VALUE` flags.

    Args:
        flags: Values by setting name; empty ones were not given.
        others: Texts of the form `NAME=VALUE`.

    Returns:
        Values by setting name, or INVALID_SETTING.
    """
    given = {name: value for name, value in flags.items() if value}
    for text in others:
        name, equals, value = text.partition("=")
        if not equals:
            return console.invalid_setting(f'--set "{text}" is not NAME=VALUE')
        given[name.strip().replace("-", "_")] = value
    return result.Success(given)


def run(flags: Mapping[str, str], others: Sequence[str], log_json: bool) -> int:
    """Runs an entry host until SIGTERM or SIGINT.

    Args:
        flags: Values by setting name; empty ones were not given.
        others: Further settings as `NAME=VALUE`.
        log_json: Whether to log JSON.

    Returns:
        Exit status: 0 after an orderly stop.
    """
    built = split_flags(flags, others).bind(
        lambda given: entry_settings.build_settings(given, os.environ)
    )
    match built:
        case result.Failure(wrong):
            return console.report(wrong)
        case result.Success(settings):
            return _become_daemon(settings, log_json)
    raise AssertionError(flags)


def _become_daemon(
    settings: setting_types.EntrySettings, log_json: bool
) -> int:
    """Replaces this process by the daemon, which has the same process id.

    The daemon does without the command line's libraries, which took 11 MB of
    the 64 MB that a node may spend on control.
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
