"""Tasks of connections that outlive unexpected errors."""

from __future__ import annotations

from collections.abc import Callable
import threading

from wisteriasill import events

# Pause after an error, so that one that repeats doesn't fill the log.
RESTART_SECONDS = 0.25


def start(
    name: str,
    run: Callable[[], None],
    closing: threading.Event,
    **fields: str,
) -> threading.Thread:
    """Runs a task in a thread of its own until it returns.

    After an unexpected error, such as a message that nothing could decode, the
    task starts again, so that one bad message never ends a connection for good.

    Args:
        name: Name of the task in logs.
        run: The task; it returns soon after `closing` is set.
        closing: Ends the task.
        **fields: Further fields of the log line of an error.

    Returns:
        The started thread.
    """

    def run_until_closed() -> None:
        while True:
            try:
                run()
            except Exception as error:
                events.log(
                    events.Event.TASK_FAILED,
                    "A task failed unexpectedly and starts again",
                    level="ERROR",
                    task=name,
                    error=repr(error),
                    **fields,
                )
            else:
                return
            if closing.wait(RESTART_SECONDS):
                return

    thread = threading.Thread(target=run_until_closed, name=name, daemon=True)
    thread.start()
    return thread
