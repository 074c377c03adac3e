"""A short seeded run of the soak, and seeds that have failed before."""

from __future__ import annotations

import pathlib

import pytest

from soak import __main__ as soak

# Each seed that ever failed stays here, with its cause.
# 1: a look that waited through its worker's crash acknowledged ends of the
#    next life; the stand-in now ends calls with the life that they reached.
# 6, 30, 42, 45: a start reached the next life of a crashed worker and counted
#    as ended with the life before; an old number acknowledged new ends.
SEEDS = (1, 6, 45)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken(seed: int, tmp_path: pathlib.Path) -> None:
    broken, figures = soak.run(seed, 6.0, 3, 4, tmp_path)
    assert not broken
    assert figures["accepted"]
