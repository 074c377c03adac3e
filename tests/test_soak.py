"""Short soak runs of seeds that failed before."""

from __future__ import annotations

import pathlib

import pytest

from soak import __main__ as soak
from soak import known_seeds


@pytest.mark.parametrize("seed", known_seeds.CI_SEEDS)
def test_no_promise_is_broken(seed: int, tmp_path: pathlib.Path) -> None:
    violations, figures = soak.run(seed, 6.0, 3, 4, tmp_path)
    assert not violations
    assert figures["accepted"]
