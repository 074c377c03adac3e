"""Results of experiments and how they are printed."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import json
from typing import Literal, NamedTuple

Figure = float | int | str | bool | None


class Limit(NamedTuple):
    """A bound that a figure must keep; it comes from the stated target.

    Attributes:
        figure: Name of the figure.
        relation: How the figure relates to the bound.
        bound: The bound.
    """

    figure: str
    relation: Literal["<=", ">=", "=="]
    bound: float

    def holds(self, figures: Mapping[str, Figure]) -> bool:
        """Returns whether the figure was measured and keeps the bound."""
        value = figures.get(self.figure)
        if not isinstance(value, int | float):
            return False
        if self.relation == "<=":
            return value <= self.bound
        if self.relation == ">=":
            return value >= self.bound
        return value == self.bound


class BenchResult(NamedTuple):
    """What one experiment measured.

    Attributes:
        name: Name of the experiment.
        site: Site that it ran for.
        seed: Seed of its random numbers.
        columns: Headings of the table.
        rows: One row a variant, the kept one marked in its name.
        figures: Figures of the kept variant by name, units in the names.
        limits: Bounds on figures.
    """

    name: str
    site: str
    seed: int
    columns: Sequence[str]
    rows: Sequence[Sequence[Figure]]
    figures: Mapping[str, Figure]
    limits: Sequence[Limit]

    @property
    def passed(self) -> bool:
        """Whether there are limits and all hold."""
        return bool(self.limits) and all(
            limit.holds(self.figures) for limit in self.limits
        )


def _cell(value: Figure) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def format_table(
    columns: Sequence[str], rows: Sequence[Sequence[Figure]]
) -> str:
    """Lays out rows in aligned columns.

    Args:
        columns: Headings.
        rows: Cells.

    Returns:
        Lines without a final newline.
    """
    cells = [list(columns), *([_cell(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def to_json(outcome: BenchResult) -> str:
    """Returns the experiment's last line: one JSON object."""
    return json.dumps(
        {
            "bench": outcome.name,
            "site": outcome.site,
            "seed": outcome.seed,
            "figures": dict(outcome.figures),
            "limits": {
                f"{limit.figure} {limit.relation} {limit.bound:g}": limit.holds(
                    outcome.figures
                )
                for limit in outcome.limits
            },
            "pass": outcome.passed,
        }
    )
