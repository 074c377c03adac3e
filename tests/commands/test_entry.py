"""Tests of the daemon of an entry host."""

from __future__ import annotations

from collections.abc import Callable, Iterator
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
from wisteriasill import daemon
from wisteriasill import entry_settings
from wisteriasill.links import operator_client


@pytest.fixture
def platform_url() -> Iterator[str]:
    """URL of a platform without hosts."""
    state = platform_state.PlatformState(clocks.SystemClock(), ())
    server = platform_server.PlatformServer(state)
    server.start()
    try:
        yield server.url
    finally:
        server.stop()


@pytest.fixture(autouse=True)
def restore_handlers() -> Iterator[None]:
    """Restores the signal handlers that the daemon replaces."""
    handlers = {
        number: signal.getsignal(number)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


@pytest.fixture
def start(
    platform_url: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> Callable[[int], tuple[int, str]]:
    """Runs the daemon in this process; returns its exit status and log."""

    def call(operator_port: int) -> tuple[int, str]:
        for name, value in {
            "MEMBER_ID": "entry-1",
            "AVAILABILITY_ZONE": "zone-a",
            "PLATFORM_URL": platform_url,
            "OPERATOR_PORT": str(operator_port),
            "OPERATOR_TOKEN": "t",
            "DRAIN_NOTICE_SECONDS": "0",
            "CALLER_THREADS": "2",
        }.items():
            monkeypatch.setenv(entry_settings.PREFIX + name, value)
        status = daemon.main([])
        return status, capsys.readouterr().err

    return call


def test_port_in_use_is_one_line_error_and_exit(
    start: Callable[[int], tuple[int, str]],
) -> None:
    """Threads of already bound ports must not keep the process running."""
    threads_before = threading.active_count()
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        status, log = start(port)
    assert status == 1
    assert str(port) in log.splitlines()[-1]
    assert "Traceback" not in log
    assert threading.active_count() <= threads_before


def test_sigterm_stops_the_daemon_gracefully(
    start: Callable[[int], tuple[int, str]],
) -> None:
    """A replaced entry host must stop by itself with exit status 0."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    client = operator_client.OperatorClient(f"http://127.0.0.1:{port}", "t")

    def terminate() -> bool:
        wait_until = time.monotonic() + 8
        answered = False
        while not answered and time.monotonic() < wait_until:
            time.sleep(0.05)
            answered = client.get("/v1/status").value_or(None) is not None
        os.kill(os.getpid(), signal.SIGTERM)
        return answered

    with futures.ThreadPoolExecutor(1) as executor:
        terminating = executor.submit(terminate)
        status, log = start(port)
    assert terminating.result()
    assert status == 0
    assert "Entry host stopped" in log


def test_entry_executes_the_daemon_with_its_settings(
    run: conftest.Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The daemon must get exactly the settings; flags override variables."""
    calls: list[tuple[list[str], dict[str, str]]] = []

    def fake_execve(
        path: str, argv: list[str], variables: dict[str, str]
    ) -> None:
        calls.append((argv, variables))
        raise SystemExit(0)

    monkeypatch.setattr(os, "execve", fake_execve)
    monkeypatch.setenv("WISTERIASILL_MEMBER_ID", "from-variable")
    run(
        *("entry", "--member-id", "entry-1", "--availability-zone", "zone-a"),
        *("--platform-url", "http://127.0.0.1:1", "--set", "lease_seconds=5"),
    )
    argv, variables = calls[0]
    assert argv[1:] == ["-m", "wisteriasill.daemon"]
    settings = entry_settings.build_settings({}, variables).unwrap()
    assert settings.member_id == "entry-1"
    assert settings.lease_seconds == 5
