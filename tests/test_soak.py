"""Short soak runs of seeds that failed before."""

from __future__ import annotations

import pathlib

import pytest

from soak import __main__ as soak
from soak import known_seeds
from soak import plans


@pytest.mark.parametrize(
    "plan",
    known_seeds.CI_PLANS,
    ids=[f"{plan.fault_set}-{plan.seed}" for plan in known_seeds.CI_PLANS],
)
def test_no_promise_is_broken(
    plan: plans.RunPlan, tmp_path: pathlib.Path
) -> None:
    violations, figures = soak.run(plan, tmp_path)
    assert not violations
    assert figures["accepted"]
