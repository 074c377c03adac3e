"""Daemon of an entry host, started by `wisteriasill entry`.

The daemon reads its settings from the environment only.
"""

from __future__ import annotations

import os
import signal
import sys
import threading

from returns import result

from wisteriasill import entry_settings
from wisteriasill import events
from wisteriasill.commands import console
from wisteriasill.machines import entry_host

WAIT_SECONDS = 3600.0


def main(arguments: list[str]) -> int:
    """Runs an entry host until SIGTERM or SIGINT.

    Args:
        arguments: `--log-json`, or empty.

    Returns:
        Exit status: 0 after a graceful shutdown.
    """
    events.configure(as_json="--log-json" in arguments)
    stopping = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopping.set())
    settings_result = entry_settings.build_settings({}, os.environ)
    if not isinstance(settings_result, result.Success):
        return console.report(settings_result.failure())
    settings = settings_result.unwrap()
    host = entry_host.EntryHost(settings)
    try:
        host.start()
    except OSError as error:
        console.print_error(f"{settings.listen_address}: {error}")
        return console.EXIT_FAILURE
    while not stopping.wait(WAIT_SECONDS):
        pass
    host.stop()
    return console.EXIT_SUCCESS


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
