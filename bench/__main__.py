"""Command line of the bench: `python -m bench NAME --site SITE --seed N`.

Each experiment is a module of this package, named with underscores, whose
function `run(site, seed)` returns a `report.BenchResult`.
"""

from __future__ import annotations

import argparse
import importlib
import pathlib
import sys

from bench import report

SITES = ("malabar", "mandacaru")


def experiment_names() -> list[str]:
    """Returns the names of all modules that define `run(site, seed)`."""
    folder = pathlib.Path(__file__).parent
    return sorted(
        path.stem.replace("_", "-")
        for path in folder.glob("*.py")
        if "\ndef run(" in path.read_text(encoding="utf-8")
    )


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("name", nargs="?", choices=experiment_names())
    parser.add_argument("--list", action="store_true", help="list the names")
    parser.add_argument("--site", choices=SITES, default="malabar")
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args(arguments)
    if not parsed.list and parsed.name is None:
        parser.error("an experiment name or --list is required")
    return parsed


def main(arguments: list[str]) -> int:
    """Runs one experiment.

    Args:
        arguments: Command line without the program's name.

    Returns:
        0 if all limits hold, else 1.
    """
    parsed = _parse(arguments)
    if parsed.list:
        print("\n".join(experiment_names()))
        return 0
    module = importlib.import_module("bench." + parsed.name.replace("-", "_"))
    outcome: report.BenchResult = module.run(parsed.site, parsed.seed)
    print(report.format_table(outcome.columns, outcome.rows))
    print(report.to_json(outcome))
    return 0 if outcome.passed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
