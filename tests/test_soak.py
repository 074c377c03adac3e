"""Short soak runs of seeds that failed before."""

from __future__ import annotations

import pathlib

import pytest

from soak import __main__ as soak
from soak import known_seeds


@pytest.mark.parametrize(("fault_set", "seed"), known_seeds.CI_SEEDS)
def test_no_promise_is_broken(
    fault_set: str, seed: int, tmp_path: pathlib.Path
) -> None:
    plan = soak.RunPlan(seed, fault_set, seconds=6.0, nodes=3, workers=4)
    violations, figures = soak.run(plan, tmp_path)
    assert not violations
    assert figures["accepted"]
