"""Fixtures shared by all tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests import operator_site
from wisteriasill import clock as clocks


@pytest.fixture
def manual_clock() -> clocks.ManualClock:
    """A clock that the test advances manually."""
    return clocks.ManualClock()


@pytest.fixture
def operators() -> Iterator[operator_site.OperatorSite]:
    """An entry host's operator port for the example site mandacaru."""
    with operator_site.running() as site:
        yield site
