"""Tests of invalid usage: a one-line error, never a traceback."""

from __future__ import annotations

import json
import pathlib
import socket
import subprocess
import sys

import pytest

from tests.commands import conftest
from wisteriasill import entry_settings
from wisteriasill.contracts import service_file

ENTRY = "entry --member-id e --availability-zone z --platform-url http://127.0.0.1:1"


@pytest.mark.parametrize(
    ("line", "status", "expected"),
    [
        ("chekc x", 2, "did you mean check?"),
        ("check", 2, "DIR"),
        ("check /nowhere", 2, '"/nowhere" is not a directory'),
        ("check . --jsn", 2, "--jsn"),
        ("explain /nowhere.toml", 1, "/nowhere.toml:1: error: file"),
        ("publish . --base x", 2, "--base"),
        ("publish /nowhere --entry http://127.0.0.1:1", 2, "/nowhere"),
        ("status", 2, "WISTERIASILL_ENTRY"),
        ("status --entry here", 2, '"here"'),
        ("status --entry http://127.0.0.1:1", 1, "http://127.0.0.1:1"),
        ("status --entry http://x --token-file /no", 2, '"/no"'),
        ("move h1", 2, "POOL"),
        ("demo --site kochi", 2, "kochi"),
        ("entry", 2, "member_id"),
        (f"{ENTRY} --set caller_threds=1", 2, '"caller_threads"'),
        (f"{ENTRY} --set caller_threads", 2, "NAME=VALUE"),
        (f"{ENTRY} --set caller_threads=many", 2, "caller_threads = 'many'"),
        (f"{ENTRY} --set caller_threads=0", 2, "caller_threads"),
        (f"{ENTRY} --caller-port 70000", 2, "caller_port"),
        (f"{ENTRY} --listen-address here", 2, "listen_address"),
        (f"{ENTRY} --operator-token-file /no", 2, '"/no"'),
    ],
)
def test_wrong_usage(
    run: conftest.Run, line: str, status: int, expected: str
) -> None:
    """One line must tell an operator what to change."""
    outcome = run(*line.split())
    assert outcome.status == status
    assert expected in outcome.errors
    assert outcome.errors.count("\n") == 1
    assert outcome.errors.startswith("wisteriasill: ")


def test_flags_override_variables() -> None:
    """A flag must override the environment set by a unit file."""
    environment = {
        "WISTERIASILL_MEMBER_ID": "from-variable",
        "WISTERIASILL_AVAILABILITY_ZONE": "zone-a",
        "WISTERIASILL_PLATFORM_URL": "http://127.0.0.1:9",
        "WISTERIASILL_CONTROL": "false",
        "WISTERIASILL_ENTRY": "http://127.0.0.1:8",
        "HOME": "/",
    }
    settings = entry_settings.build_settings(
        {"member_id": "from-flag", "poll_seconds": "0.5"}, environment
    ).unwrap()
    assert settings.member_id == "from-flag"
    assert settings.poll_seconds == 0.5
    assert settings.control is False
    misspelt = {**environment, "WISTERIASILL_PEER_PROT": "1"}
    assert "WISTERIASILL_PEER_PORT" in (
        entry_settings.build_settings({}, misspelt).failure().detail
    )


def test_token_file_hides_its_content(
    run: conftest.Run, tmp_path: pathlib.Path
) -> None:
    """A file with two lines can be a private key; it must not be printed."""
    path = tmp_path / "token"
    path.write_text("first-secret\nsecond\n", encoding="utf-8")
    outcome = run(
        "status", "--entry", "http://127.0.0.1:1", "--token-file", str(path)
    )
    assert outcome.status == 2
    assert "secret" not in outcome.errors


def test_check_lists_problems_as_json(
    run: conftest.Run, folder: pathlib.Path
) -> None:
    """Scripts rely on the field names of `check --json`."""
    path = folder / "billing" / service_file.SERVICE_FILE
    text = path.read_text(encoding="utf-8")
    path.write_text(text.replace("hosts = 6", "hosts = 4"), encoding="utf-8")
    outcome = run("check", str(folder), "--json")
    assert outcome.status == 1
    problem = json.loads(outcome.output)["problems"][0]
    assert problem["file"] == "billing/wisteriasill.toml"
    assert (problem["line"], problem["value"]) == (10, 5)
    assert problem["key"] == "pool.hosts_always_usable"


def test_unresponsive_server_is_an_error_without_traceback(
    run: conftest.Run,
) -> None:
    """The error must name the port, which may be the wrong one."""
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        other.settimeout(0.01)
    outcome = run("status", "--entry", f"http://127.0.0.1:{port}")
    assert outcome.status == 1
    assert str(port) in outcome.errors


def test_every_help_text_has_an_example(run: conftest.Run) -> None:
    """Each command's help must contain an example."""
    commands = run("--help").output.partition("{")[2].partition("}")[0]
    for name in commands.replace("\n", "").split(","):
        outcome = run(name, "--help")
        assert outcome.status == 0
        assert f"Example: wisteriasill {name}" in outcome.output


def test_completion_script(
    run: conftest.Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shell completion must list the commands."""
    monkeypatch.setenv("SHELL", "/bin/bash")
    assert "complete" in run("--completion", "generate").output
    monkeypatch.setenv("COMPLETION_LINE", "wisteriasill pu")
    monkeypatch.setenv("COMPLETION_LOCATION", "2")
    assert "publish" in run("--completion", "complete").output


def test_closed_pipe_causes_no_traceback() -> None:
    """`wisteriasill check ... | head` closes the pipe early."""
    with subprocess.Popen(
        [sys.executable, "-m", "wisteriasill", "check", "examples/malabar"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as command:
        assert command.stdout is not None
        assert command.stderr is not None
        command.stdout.close()
        errors = command.stderr.read()
    assert errors == b""
