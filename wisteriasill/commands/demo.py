"""`wisteriasill demo`: runs an example site in one process."""

from __future__ import annotations

import json
import pathlib
import sys

from wisteriasill import events


def run(site: str, as_json: bool) -> int:
    """Runs the demo and prints its report.

    Args:
        site: `malabar` or `mandacaru`.
        as_json: Whether to print one JSON object instead of a table.

    Returns:
        Exit status: 0 if all invariants held, else 1.
    """
    # The stand-ins are not installed; they are next to the package.
    sys.path.insert(0, str(pathlib.Path(__file__).parents[2]))
    try:
        from standins import demo
        from standins import demo_site
    except ModuleNotFoundError as error:
        print(
            f"wisteriasill demo: module {error.name!r} is missing; run the "
            "demo from a checkout of the repository",
            file=sys.stderr,
        )
        return 1
    events.configure("ERROR")
    try:
        report = demo.Demo(site, _show_progress).run()
    except demo_site.DemoError as error:
        print(f"wisteriasill demo: {error}", file=sys.stderr)
        return 1
    if as_json:
        print(json.dumps(report))
    else:
        for name, value in report.items():
            print(f"{name.replace('_', ' '):<32} {value}")
    return 0 if report["ok"] else 1


def _show_progress(line: str) -> None:
    print(f"  {line} ...", file=sys.stderr, flush=True)
