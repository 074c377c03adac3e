"""Fixtures that all tests share."""

from __future__ import annotations

import pytest

from wisteriasill import clock as clocks


@pytest.fixture
def manual_clock() -> clocks.ManualClock:
    """A clock that the test advances by hand."""
    return clocks.ManualClock()
