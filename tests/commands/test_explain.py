"""Snapshots of the output of `explain` for the example sites."""

from __future__ import annotations

import pytest
from syrupy import assertion

from tests import operator_site
from tests.commands import conftest
from wisteriasill.contracts import consequences
from wisteriasill.contracts import service as services

FILES = sorted(
    str(path.parent.relative_to(operator_site.EXAMPLES))
    for path in operator_site.EXAMPLES.glob("*/*/*.toml")
)


@pytest.mark.parametrize("name", FILES)
def test_explain(
    run: conftest.Run, snapshot: assertion.SnapshotAssertion, name: str
) -> None:
    """A changed rule must show up in the explanation for operators."""
    outcome = run("explain", str(operator_site.EXAMPLES / name))
    assert outcome.errors == ""
    assert outcome.output == snapshot


@pytest.mark.parametrize(
    ("hosts", "usable", "prefer", "batch", "rounds"),
    [
        (6, 4, "roll-out-time", 2, 4),  # 1 + 2 + 2 + 1
        (6, 0, "roll-out-time", 6, 3),  # 1 + 2 + 3, the rest of 4
        (6, 5, "buffer-cost", 1, 6),
        (6, 4, "buffer-cost", 1, 6),
        (6, 6, "roll-out-time", 0, 0),
    ],
)
def test_rounds_of_maintenance(
    hosts: int, usable: int, prefer: str, batch: int, rounds: int
) -> None:
    """The roll-out time shown to operators must match the wave's batches."""
    pool = services.PoolContract(hosts, usable, 16, 64, 8, 64)
    figures = consequences.compute_figures(
        services.Service("cutting", "workroom", pool),
        services.Preference(prefer),
    )
    assert (figures.batch_hosts, figures.rounds) == (batch, rounds)
