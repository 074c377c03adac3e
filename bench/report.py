"""Results of experiments and their output."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import json
from typing import Literal, NamedTuple

Figure = float | int | str | bool | None


class Limit(NamedTuple):
    """Bound of a figure, derived from the stated target.

    Attributes:
        figure: Name of the figure.
        relation: Required relation of the figure to the bound.
        bound: The bound.
    """

    figure: str
    relation: Literal["<=", ">=", "=="]
    bound: float

    def holds(self, figures: Mapping[str, Figure]) -> bool:
        """Returns whether the figure was measured and is within the bound."""
        value = figures.get(self.figure)
        if not isinstance(value, int | float):
            return False
        if self.relation == "<=":
            return value <= self.bound
        if self.relation == ">=":
            return value >= self.bound
        return value == self.bound


class BenchResult(NamedTuple):
    """Result of one experiment.

    Attributes:
        name: Name of the experiment.
        site: Site of the run.
        seed: Seed of the random numbers.
        columns: Column headings.
        rows: One row per variant; the product's own variant is marked with
            `(kept)`, `*` or `chosen`.
        figures: Figures of that variant by name; names contain units.
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
        """Whether there are limits and all of them hold."""
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
    """Formats rows in aligned columns.

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
    """Returns the last line of the output: one JSON object."""
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
