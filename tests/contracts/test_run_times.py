"""Tests of the prediction of run times from declared ones."""

from __future__ import annotations

import math
import random

import pytest

from wisteriasill.contracts import run_times


@pytest.mark.parametrize("declared_seconds", [0.0, 0.3, 5.0])
def test_a_new_queue_is_believed(declared_seconds: float) -> None:
    model = run_times.RunTimeModel()
    assert model.predict(declared_seconds) == declared_seconds


@pytest.mark.parametrize("factor", [0.4, 1.0, 3.0])
def test_a_constant_factor_is_corrected(factor: float) -> None:
    model = run_times.RunTimeModel()
    for number in range(40):
        declared = 0.5 + number % 5
        model.record(declared, factor * declared)
    assert model.predict(2.0) == pytest.approx(2.0 * factor, rel=0.05)


def test_arbitrary_declarations_give_the_usual_time() -> None:
    """Wide jobs of Shila Hire declare times that are off by a factor of 2.7."""
    rng = random.Random(7)
    model = run_times.RunTimeModel()
    for _ in range(150):
        measured = math.exp(rng.gauss(math.log(2.0), 0.2))
        model.record(measured * math.exp(rng.gauss(0.0, 1.0)), measured)
    for declared in (0.3, 2.0, 15.0):
        assert 1.4 < model.predict(declared) < 2.9


def test_predictions_stay_within_bounds() -> None:
    model = run_times.RunTimeModel()
    for _ in range(50):
        model.record(0.0, 1e9)
    assert model.predict(1.0) <= run_times.MAX_FACTOR + 1e-9
