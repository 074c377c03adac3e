"""Fixtures of the contract tests."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import pathlib
from typing import Any

import pytest

from tests import example_host
from tests import scripted_platform
from wisteriasill import documents
from wisteriasill.contracts import service_file
from wisteriasill.machines import host as hosts

HostFactory = Callable[..., hosts.Host]
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.fixture
def scripted() -> scripted_platform.ScriptedPlatform:
    """An in-memory platform with scripted faults."""
    return scripted_platform.ScriptedPlatform()


@pytest.fixture
def mandacaru() -> dict[str, Mapping[str, Any]]:
    """The documents of the example site."""
    directory = service_file.read_directory(EXAMPLES / "mandacaru")
    assert directory.problems == ()
    return {
        "site": documents.encode(directory.site),
        **documents.encode(directory.services_by_name),
    }


@pytest.fixture
def make_host() -> HostFactory:
    """Builds a serving host of 16 cores; arguments override its fields."""
    base = example_host.SERVING._replace(boot_count=1)
    return lambda **changes: base._replace(**changes)
