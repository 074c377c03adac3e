"""Tests of following a request through the logs of all nodes."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from wisteriasill.commands import trace

JOB = "5c0e7a21d94b36f8"


def log_line(at: float, name: str, **fields: Any) -> str:
    return json.dumps(
        {"node": "n1", "at": at, "name": name, "message": name, "job": JOB}
        | fields
    )


ACCEPTED = log_line(1.0, "JOB_ACCEPTED", objective_seconds=2.0)
ENDED = log_line(9.0, "JOB_ENDED", state="completed", age_seconds=8.0)


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        ([], "no log line"),
        (
            [
                log_line(
                    1.0, "JOB_REFUSED", kind="store-unavailable", detail="x"
                )
            ],
            "not accepted: store-unavailable",
        ),
        (
            [
                log_line(
                    1.0,
                    "JOB_TURNED_AWAY",
                    retry_after_seconds=4,
                    useful_seconds=19.5,
                ),
                log_line(1.0, "JOB_REFUSED", kind="overloaded", detail="x"),
            ],
            "turned away for 4 s: work of 19.5 s",
        ),
        (
            [log_line(1.0, "REQUEST_FAILED", method="GET", kind="no-such-job")],
            "GET not served: no-such-job",
        ),
        ([ACCEPTED, log_line(2.0, "TASKS_NOT_PLACED", binding="room")], "room"),
        (
            [
                ACCEPTED,
                log_line(7.0, "TASKS_PLACED", age_seconds=6.0),
                log_line(3.0, "TASKS_NOT_PLACED", binding="workers"),
                ENDED,
            ],
            "first task placed after 6.0 s; waited for workers",
        ),
        (
            [ACCEPTED, log_line(2.0, "RUN_LOST"), ENDED],
            "1 runs lost with their workers",
        ),
        (
            [
                ACCEPTED,
                log_line(3.0, "JOB_ENDED", state="failed", reason="why"),
            ],
            "failed: why",
        ),
        (
            [
                ACCEPTED,
                log_line(2.0, "JOB_ENDED", state="completed", age_seconds=1.0),
            ],
            "within",
        ),
    ],
)
def test_the_cause(lines: list[str], cause: str) -> None:
    assert cause in trace.trace_request(JOB, lines).cause


def test_shuffled_and_truncated_lines_with_a_prefix() -> None:
    texts = [f"  12.5 front-a-1 {text}" for text in (ACCEPTED, ENDED)]
    texts += [ACCEPTED[:40] + JOB, "no log line at all", ""]
    random.Random(7).shuffle(texts)
    request_trace = trace.trace_request(JOB, texts)
    assert [line.name for line in request_trace.lines] == [
        "JOB_ACCEPTED",
        "JOB_ENDED",
    ]
    assert request_trace.unreadable == 1


def test_the_command_reads_files(
    tmp_path: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "node.log"
    log.write_text(f"{ENDED}\n{ACCEPTED}\n")
    assert trace.run(JOB, [str(log)], as_json=True) == 0
    printed = json.loads(capsys.readouterr().out)
    assert printed["request"] == JOB
    assert trace.run("0000000000000000", [str(log)], as_json=False) == 1
    assert trace.run(JOB, [str(tmp_path / "none")], as_json=False) == 2
