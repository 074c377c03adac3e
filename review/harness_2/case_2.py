"""Runs a case: exit status 1 if its rule was broken, 0 if not, 2 if it failed.

With `TROUBLE=0` in the environment a case leaves its disruption out.
"""

from __future__ import annotations

from collections.abc import Callable
import os
import pathlib
import signal
import sys
import time
import traceback
import types

import site_2

LONGEST_SECONDS = 112  # A case may take 120 s.


class NotRunError(Exception):
    """The case could not be run."""


def trouble() -> bool:
    """Whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def require(condition: object, reason: str) -> None:
    """Ends the case with status 2 unless a condition holds."""
    if not condition:
        raise NotRunError(reason)


def new_job(
    milliseconds: int | str, count: int = 1, **fields: object
) -> dict[str, object]:
    """Returns the body of a job of one step.

    Args:
        milliseconds: Run time of each task.
        count: Number of tasks.
        **fields: Further fields of the step.
    """
    return {
        "spec": str(milliseconds),
        "steps": [
            {
                "count": count,
                "cpu": 1000,
                "mem_mb": 1000,
                "est_runtime_ms": int(str(milliseconds).split()[0]),
                **fields,
            }
        ],
    }


def call(
    site: site_2.Site,
    node: site_2.Node,
    method: str,
    path: str,
    body: dict[str, object] | None = None,
) -> tuple[int, dict[str, object]]:
    """Sends a client's request and records it with its answer.

    Returns:
        Status and body; status 0 where there was no answer.
    """
    sent_at = time.monotonic()
    try:
        status, data = site_2.ask(node.front_port, method, path, body)
    except OSError as error:
        status, data = 0, {"error": repr(error)}
    site.record.write(f"{method} {path} at {node.name}", sent_at)
    shown = {
        key: value
        for key, value in data.items()
        if key in ("state", "pending", "title", "error")
    }
    site.record.write(f"  {method} {path} answered {status} {shown}")
    return status, data


def run(play: Callable[[site_2.Site], str]) -> None:
    """Plays a case and exits.

    Args:
        play: Plays it; returns what broke the rule, empty for nothing.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    signal.signal(signal.SIGALRM, _stop)
    signal.signal(signal.SIGTERM, _stop)
    signal.alarm(LONGEST_SECONDS)
    site = site_2.Site(folder)
    status = 2
    try:
        site.record.write(f"TROUBLE={int(trouble())}")
        broken = play(site)
        site.record.write(f"rule broken: {broken}" if broken else "rule held")
        print(broken or "the rule held")
        status = 1 if broken else 0
    except NotRunError as error:
        site.record.write(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception:
        site.record.write(traceback.format_exc())
        traceback.print_exc()
    finally:
        signal.alarm(0)
        site.close()
    sys.stdout.flush()
    os._exit(status)


def _stop(number: int, _: types.FrameType | None) -> None:
    raise NotRunError(f"signal {number}")
