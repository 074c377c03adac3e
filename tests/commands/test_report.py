"""Tests of the history of a site, and of the page that shows it."""

from __future__ import annotations

import builtins
import importlib
import json
import pathlib
from typing import Any

import pytest

from wisteriasill.commands import report
from wisteriasill.commands import site_history


def log_line(at: float, name: str, **fields: Any) -> str:
    return json.dumps(
        {"node": "n1", "at": at, "name": name, "message": name} | fields
    )


def job_lines(job: str, objective: float, age: float, state: str) -> list[str]:
    return [
        log_line(1000.2, "JOB_ACCEPTED", job=job, objective_seconds=objective),
        log_line(1002.9, "JOB_ENDED", job=job, state=state, age_seconds=age),
    ]


LINES = [
    *job_lines("a", 2.0, 1.5, "completed"),
    *job_lines("b", 2.0, 5.0, "completed"),
    *job_lines("c", 2.0, 9.0, "completed"),
    *job_lines("d", 2.0, 1.0, "failed"),
    *job_lines("e", 2.0, 1.0, "cancelled"),
    log_line(1001.0, "JOB_TURNED_AWAY", job="f", retry_after_seconds=4),
    log_line(1001.0, "JOB_REFUSED", job="f", kind="overloaded"),
    log_line(1001.0, "JOB_REFUSED", job="g", kind="acceptance-unknown"),
    log_line(1001.5, "POOLS_COUNTED", hosts={"bench": 3}, needed={"bench": 5}),
    log_line(1001.7, "SHARD_ACQUIRED", shard="bench", silent_seconds=2.1),
    "a line of another program",
    '{"node": "n1", "at": 1000.0, "na',
    "",
]


@pytest.fixture
def log_file(tmp_path: pathlib.Path) -> str:
    path = tmp_path / "nodes.log"
    path.write_text("\n".join(LINES), encoding="utf-8")
    return str(path)


def test_each_job_counts_once_by_its_outcome() -> None:
    history = site_history.read(reversed(LINES))
    totals = {
        name: counter.total()
        for name, counter in history.jobs._asdict().items()
    }
    assert totals == {
        "accepted": 5,
        "turned_away": 1,
        "not_accepted": 1,
        "in_time": 1,
        "late": 1,
        "of_no_use": 2,
    }
    assert history.pools == [site_history.PoolCount(1001, "bench", 3, 5)]
    assert history.hand_overs[0].silent_seconds == 2.1
    assert (history.first_second, history.last_second) == (1000, 1002)
    assert history.unreadable == 2


@pytest.mark.parametrize("ending", ["png", "svg"])
def test_a_page_is_drawn(
    log_file: str,
    tmp_path: pathlib.Path,
    ending: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    page = tmp_path / f"page.{ending}"
    assert report.run([log_file], str(page), as_json=True) == 0
    assert page.stat().st_size > 1000
    assert json.loads(capsys.readouterr().out)["in_time"] == 1


@pytest.mark.parametrize(
    ("name", "expected"),
    [("page.exe", "page.exe"), ("none/page.png", "none/page.png")],
)
def test_a_page_that_cannot_be_written_is_an_error(
    log_file: str,
    tmp_path: pathlib.Path,
    name: str,
    expected: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert report.run([log_file], str(tmp_path / name), as_json=False) == 2
    assert expected in capsys.readouterr().err


def test_without_the_plotting_library_the_command_says_what_to_install(
    log_file: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    def import_none(name: str) -> builtins.object:
        raise ModuleNotFoundError(name)

    monkeypatch.setattr(importlib, "import_module", import_none)
    assert report.run([log_file], "page.png", as_json=False) == 2
    assert "wisteriasill[report]" in capsys.readouterr().err


def test_logs_without_a_line_are_an_error(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "empty.log"
    path.touch()
    assert report.run([str(path)], "", as_json=False) == 1
    assert report.run(["/nowhere.log"], "", as_json=False) == 2
    assert "/nowhere.log" in capsys.readouterr().err
