"""Contract tests of all platform implementations, and of link faults."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import threading

import pytest

from standins import faults
from standins import local_platform
from standins import platform as platform_standin
from standins import platform_state
from standins import sites
from tests.links import platform_cases
from wisteriasill import clock as clocks
from wisteriasill import settings as settings_types
from wisteriasill.links import platform
from wisteriasill.links import platform_link


@pytest.fixture
def state(manual_clock: clocks.ManualClock) -> platform_state.PlatformState:
    hosts = sites.build_hosts("malabar", sites.address_from(21000))
    return platform_state.PlatformState(manual_clock, hosts)


@pytest.fixture
def link(
    state: platform_state.PlatformState,
) -> Iterator[platform_link.PlatformLink]:
    server = platform_standin.PlatformServer(state)
    server.start()
    yield platform_link.PlatformLink(
        settings_types.EntrySettings(
            "entry-1",
            "kochi-a",
            server.url,
            platform_timeout_seconds=0.3,
        )
    )
    server.stop()


@pytest.fixture(params=["link", "local"])
def setup(
    request: pytest.FixtureRequest,
    state: platform_state.PlatformState,
    manual_clock: clocks.ManualClock,
) -> platform_cases.PlatformSetup:
    if request.param == "link":
        served: platform.Platform = request.getfixturevalue("link")
        return platform_cases.PlatformSetup(served, state, manual_clock)
    return platform_cases.PlatformSetup(
        local_platform.LocalPlatform(state), state, manual_clock
    )


@pytest.mark.parametrize(
    "case", platform_cases.CASES, ids=lambda case: case.__name__
)
def test_contract(
    setup: platform_cases.PlatformSetup,
    case: Callable[[platform_cases.PlatformSetup], None],
) -> None:
    case(setup)


def test_silent_connections_are_replaced(
    link: platform_link.PlatformLink, state: platform_state.PlatformState
) -> None:
    """After one timeout, calls must use new connections."""
    barrier = threading.Barrier(3)

    def read_at_once() -> None:
        barrier.wait(timeout=5)
        link.table.scan("jobs").unwrap()

    threads = [threading.Thread(target=read_at_once) for _ in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(timeout=5)
    _set_silent(link)
    assert (
        platform_cases.kind_of(link.table.scan("jobs"))
        is platform_cases.KIND.STORE_UNAVAILABLE
    )
    assert platform_cases.kind_of(link.table.scan("jobs")) is None


def _set_silent(link: platform_link.PlatformLink) -> None:
    calls = link._calls
    switches = faults.Faults(silent=True)._asdict()
    assert calls.write("/faults", switches).unwrap().status == 200
