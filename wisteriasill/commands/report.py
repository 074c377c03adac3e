"""`wisteriasill report`: plots what happened at a site, from its logs."""

from __future__ import annotations

from collections.abc import Sequence
import importlib
import json
import pathlib
import sys
from typing import Any

from wisteriasill.commands import console
from wisteriasill.commands import site_history
from wisteriasill.commands import trace

PAGE_INCHES = (11.0, 11.0)
COLOR_BY_OUTCOME = {
    "in_time": "tab:green",
    "late": "tab:orange",
    "of_no_use": "tab:red",
    "turned_away": "tab:purple",
    "not_accepted": "tab:gray",
}


def run(files: Sequence[str], output: str, as_json: bool) -> int:
    """Writes a page with jobs, hosts and hand-overs over time.

    Args:
        files: Log files of all nodes; `-` or none for standard input.
        output: File of the page; its ending is the format: png, svg or pdf.
        as_json: Whether to print the totals as JSON.

    Returns:
        Exit status: 1 if no line could be read, 2 for wrong usage.
    """
    try:
        history = site_history.read(trace.read_texts(files))
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return console.EXIT_USAGE
    if not history.last_second:
        print("no log line could be read", file=sys.stderr)
        return console.EXIT_FAILURE
    if output:
        try:
            _plot(history, pathlib.Path(output))
        except ModuleNotFoundError:
            print(
                "plots need matplotlib: pip install 'wisteriasill[report]'",
                file=sys.stderr,
            )
            return console.EXIT_USAGE
        except (OSError, ValueError) as error:
            print(f"{output}: {error}", file=sys.stderr)
            return console.EXIT_USAGE
    totals = _totals(history)
    if as_json:
        print(json.dumps(totals))
    else:
        for name, value in totals.items():
            print(f"{name.replace('_', ' ')}: {value}")
    return console.EXIT_SUCCESS


def _totals(history: site_history.SiteHistory) -> dict[str, Any]:
    return {
        "seconds": history.last_second - history.first_second + 1,
        **{
            name: counter.total()
            for name, counter in history.jobs._asdict().items()
        },
        "hand_overs": len(history.hand_overs),
        "unreadable_lines": history.unreadable,
    }


def _plot(history: site_history.SiteHistory, output: pathlib.Path) -> None:
    """Draws the page.

    Raises:
        ModuleNotFoundError: The plotting library is not installed.
        OSError: The file can't be written.
        ValueError: The format of the file is unknown.
    """
    # Loaded here, as only this command needs it.
    figures = importlib.import_module("matplotlib.figure")
    figure = figures.Figure(figsize=PAGE_INCHES, layout="constrained")
    job_axes, host_axes, shard_axes = figure.subplots(
        3, 1, sharex=True, height_ratios=(3, 3, 1)
    )
    _draw_jobs(job_axes, history)
    _draw_hosts(host_axes, history)
    _draw_hand_overs(shard_axes, history)
    figure.savefig(output)


def _draw_jobs(axes: Any, history: site_history.SiteHistory) -> None:
    first = history.first_second
    seconds = range(first, history.last_second + 1)
    times = [second - first for second in seconds]
    below = [0] * len(times)
    for name, color in COLOR_BY_OUTCOME.items():
        counter = getattr(history.jobs, name)
        counts = [counter[second] for second in seconds]
        axes.bar(times, counts, 1.0, below, color=color, label=name)
        below = [sum(pair) for pair in zip(below, counts, strict=True)]
    accepted = [history.jobs.accepted[second] for second in seconds]
    axes.step(times, accepted, color="black", where="mid", label="accepted")
    axes.set_ylabel("jobs a second")
    axes.legend(loc="upper right")


def _draw_hosts(axes: Any, history: site_history.SiteHistory) -> None:
    for pool in sorted({count.pool for count in history.pools}):
        counts = [count for count in history.pools if count.pool == pool]
        times = [count.second - history.first_second for count in counts]
        (line,) = axes.plot(
            times, [count.hosts for count in counts], label=pool
        )
        axes.plot(
            times,
            [count.needed for count in counts],
            linestyle=":",
            color=line.get_color(),
        )
    axes.set_ylabel("hosts (dotted: needed)")
    if history.pools:
        axes.legend(loc="upper right")


def _draw_hand_overs(axes: Any, history: site_history.SiteHistory) -> None:
    axes.scatter(
        [
            hand_over.at - history.first_second
            for hand_over in history.hand_overs
        ],
        [hand_over.shard for hand_over in history.hand_overs],
        marker="x",
    )
    axes.set_ylabel("hand-overs")
    axes.set_xlabel("seconds since the first line")
