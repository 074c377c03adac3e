"""Writes the measured part of docs/CAPACITY.md."""

from __future__ import annotations

from collections.abc import Sequence
import pathlib
import re
from typing import NamedTuple

from bench import report

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- measured by python -m bench capacity: begin -->"
END = "<!-- measured by python -m bench capacity: end -->"


class Line(NamedTuple):
    """Linear fit of one cost.

    Attributes:
        driver: Quantity that varies.
        cost: Name of the cost.
        slope: Cost of each additional unit.
        intercept: Cost at zero units.
        correlation: Correlation coefficient of the fit.
    """

    driver: str
    cost: str
    slope: float
    intercept: float
    correlation: float


def _markdown(
    columns: Sequence[str], rows: Sequence[Sequence[report.Figure]]
) -> str:
    def cell(value: report.Figure) -> str:
        return f"{value:.4g}" if isinstance(value, float) else str(value)

    lines = [
        "| " + " | ".join(columns) + " |",
        "|" + "---|" * len(columns),
        *("| " + " | ".join(map(cell, row)) + " |" for row in rows),
    ]
    return "\n".join(lines)


def write(
    outcome: report.BenchResult,
    lines: Sequence[Line],
    predicted: Sequence[Sequence[report.Figure]],
) -> None:
    """Replaces the measured part of the page.

    Args:
        outcome: Costs by size.
        lines: Fitted lines.
        predicted: Costs at the design size, with limits and verdicts.
    """
    measured = "\n\n".join(
        (
            BEGIN,
            "Costs of one entry host without callers, by size:",
            _markdown(outcome.columns, outcome.rows),
            "Slopes:",
            _markdown(Line._fields, lines),
            "At the size to design for:",
            _markdown(
                ("cost", "from slopes", "measured", "limit", "verdict"),
                predicted,
            ),
            END,
        )
    )
    text = PAGE.read_text(encoding="utf-8")
    pattern = re.escape(BEGIN) + ".*?" + re.escape(END)
    replaced = re.sub(pattern, lambda _: measured, text, flags=re.DOTALL)
    PAGE.write_text(replaced, encoding="utf-8")
