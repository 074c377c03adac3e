"""Tests of the daemon of an entry host."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent import futures
import os
import signal
import socket
import threading
import time

import pytest

from standins import platform as platform_server
from standins import platform_state
from tests.commands import conftest
from wisteriasill import clock as clocks
from wisteriasill.links import operator_client


@pytest.fixture
def platform_url() -> Iterator[str]:
    """A platform without hosts."""
    state = platform_state.PlatformState(clocks.SystemClock(), ())
    server = platform_server.PlatformServer(state)
    server.start()
    try:
        yield server.url
    finally:
        server.stop()


@pytest.fixture(autouse=True)
def handlers() -> Iterator[None]:
    """Puts the signal handlers back that the daemon replaces."""
    before = {
        number: signal.getsignal(number)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


def flags(platform_url: str, operator_port: int) -> list[str]:
    return [
        *("entry", "--member-id", "entry-1", "--availability-zone", "zone-a"),
        *("--platform-url", platform_url),
        *("--operator-port", str(operator_port)),
        *("--set", "drain_notice_seconds=0", "--set", "caller_threads=2"),
    ]


def test_port_in_use_is_one_line_and_ends(
    run: conftest.Run, platform_url: str
) -> None:
    """Threads of the ports that were bound must not keep the process up."""
    before = threading.active_count()
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        outcome = run(*flags(platform_url, port))
    assert outcome.status == 1
    assert str(port) in outcome.errors.splitlines()[-1]
    assert "Traceback" not in outcome.errors
    assert threading.active_count() <= before


def test_sigterm_ends_the_daemon_in_order(
    run: conftest.Run, platform_url: str
) -> None:
    """A replaced entry host must leave by itself with status 0."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    client = operator_client.OperatorClient(f"http://127.0.0.1:{port}", "t")

    def terminate() -> bool:
        give_up_at = time.monotonic() + 8
        answered = False
        while not answered and time.monotonic() < give_up_at:
            time.sleep(0.05)
            answered = client.get("/v1/status").value_or(None) is not None
        os.kill(os.getpid(), signal.SIGTERM)
        return answered

    with futures.ThreadPoolExecutor(1) as executor:
        terminating = executor.submit(terminate)
        outcome = run(*flags(platform_url, port), "--set", "operator_token=t")
    assert terminating.result()
    assert outcome.status == 0
    assert "entry host stopped" in outcome.errors
