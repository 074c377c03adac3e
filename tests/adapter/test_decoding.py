"""Tests of what the adapter decodes."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
from typing import Any, cast

import pytest
from returns import result
import settings_file
import wire_callers
import wire_operators
import wire_store
import wire_workers

from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.links import http_client

ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768},
    "labels": ["a", "r1-3"],
    "born": 17,
}
JOB: dict[str, Any] = {
    "spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "est_runtime_ms": 900, "affinity": "r1-3"},
        {"count": 2, "after": [0], "checkpointing": True, "may_miss": 1},
    ],
}
SETTINGS: dict[str, Any] = {
    "node_name": "front-1",
    "ip": "10.1.0.9",
    "zone": "z",
    "listen": {"front": "10.1.0.9:8624", "ready": "10.1.0.9:8622"},
    "port_range": [7060, 7075],
    "platform": {"address": "10.200.1.7:8621"},
}


def row(value: object) -> cluster.StoredRow:
    content = value if isinstance(value, bytes) else json.dumps(value).encode()
    return cluster.StoredRow("servers", "", "i-1", content, 3)


def test_the_standard_library_keeps_its_platform_module() -> None:
    root = pathlib.Path(__file__).parents[2]
    code = "import platform; print(platform.python_implementation())"
    completed = subprocess.run(
        [sys.executable, "-c", code],
        cwd=root,
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "CPython"


def test_a_registry_entry() -> None:
    entry = wire_workers._entry(row(ENTRY))
    assert entry == cluster.WorkerEntry(
        "i-1",
        17,
        "s",
        "10.0.0.1:80",
        "z",
        cluster.WorkerState.READY,
        job_spec.Resources(16000, 32768, 0),
        ("a", "r1-3"),
        3,
    )


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b"{}",
        ENTRY | {"state": "resting"},
        ENTRY | {"service": 7},
        ENTRY | {"capacity": {"cpu": "many"}},
        {key: value for key, value in ENTRY.items() if key != "address"},
        {key: value for key, value in ENTRY.items() if key != "born"},
        ENTRY | {"born": "17"},
        ENTRY | {"born": 17.0},
        ENTRY | {"born": None},
        ENTRY | {"born": True},
    ],
)
def test_an_invalid_registry_entry_is_ignored(value: object) -> None:
    assert wire_workers._entry(row(value)) is None


def test_a_job() -> None:
    spec = wire_callers.decode_job(json.dumps(JOB).encode())
    first, second = spec.steps
    assert (first.tasks, first.need.cpu, first.data_rack) == (4, 500, "r1-3")
    assert (second.after, second.saves, second.may_be_away) == ((0,), True, 1)
    assert (
        job_spec.decode(
            job_spec.encode(job_spec.JobRecord("q", 1, False, spec))
        ).spec
        == spec
    )


@pytest.mark.parametrize(
    ("body", "named"),
    [
        (b"{", "JSON"),
        (b"[]", "object"),
        (json.dumps(JOB | {"steps": []}).encode(), "steps"),
        (json.dumps(JOB | {"spec": 5}).encode(), "spec"),
        (json.dumps(JOB | {"spec": "x" * 4001}).encode(), "4000"),
        (json.dumps(JOB | {"steps": [{"after": [0]}]}).encode(), "after"),
        (json.dumps(JOB | {"steps": [{"count": -1}]}).encode(), "count"),
        (json.dumps(JOB | {"steps": [{"cpu": "x"}]}).encode(), "cpu"),
        (json.dumps(JOB | {"repeat_count": 10_000}).encode(), "10000"),
    ],
)
def test_the_error_of_an_invalid_job_names_the_field(
    body: bytes, named: str
) -> None:
    with pytest.raises(ValueError, match=named):
        wire_callers.decode_job(body)


class OperatorRows:
    """Implements the reads of `wire_store.WireStore` with fixed rows."""

    def __init__(self, value_by_key: dict[str, object]) -> None:
        self._rows = tuple(
            cluster.StoredRow("op", "", key, json.dumps(value).encode(), 3)
            for key, value in value_by_key.items()
        )

    def read(
        self, table: str, partition_key: str
    ) -> result.Result[cluster.RowPage, cluster.StoreFault]:
        """Reads all rows."""
        return result.Success(cluster.RowPage(self._rows, True, 3))


@pytest.mark.parametrize(
    "configuration",
    [
        [1],
        "text",
        7,
        {"version": 2, "limits": "text"},
        {"version": 2, "routes": [7]},
    ],
)
def test_a_row_of_operators_that_cannot_be_read_hides_no_other(
    configuration: object,
) -> None:
    """A row of another shape made each read fail, so nothing was followed."""
    wave = {"wave": 4, "machines": ["m-1"], "duration_s": 20, "max_count": 2}
    operators = wire_operators.WireOperators(
        cast(
            wire_store.WireStore,
            OperatorRows({"config": configuration, "wave/4": wave}),
        )
    )
    page = operators.read().unwrap()
    assert page.configuration is None
    assert [order.number for order in page.waves] == [4]


def test_a_configuration() -> None:
    configuration = wire_operators.decode_configuration(
        {
            "version": 7,
            "routes": [
                {
                    "name": "r",
                    "host": "a.example",
                    "prefix": "/q/",
                    "service": "s",
                    "max_attempts": 3,
                    "stretch": 1.6,
                    "target_latency_ms": 600,
                },
                {
                    "name": "longer",
                    "host": "a.example",
                    "prefix": "/q/r/",
                    "service": "s",
                },
            ],
            "services": [{"name": "s", "standby": True}],
        }
    )
    selected = configuration.select("a.example", "/q/r/1")
    assert selected is not None
    assert selected.name == "longer"
    assert configuration.select("b.example", "/q/1") is None
    assert configuration.queue_by_name["r"].target_latency_seconds == 0.6
    assert configuration.service_by_name["s"].standby


def test_task_keys_round_trip() -> None:
    key = job_spec.TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
    assert (
        wire_workers.decode_task_key(wire_workers.encode_task_key(key)) == key
    )
    assert wire_workers.decode_task_key("no.task") is None


def test_settings() -> None:
    settings = settings_file.decode(SETTINGS)
    assert settings.callers_address == ("10.1.0.9", 8624)
    assert settings.store_address == "10.200.1.7:8621"


@pytest.mark.parametrize("key", ["node_name", "listen", "platform", "zone"])
def test_the_error_of_a_missing_setting_names_it(key: str) -> None:
    data = {name: value for name, value in SETTINGS.items() if name != key}
    with pytest.raises(ValueError, match=key):
        settings_file.decode(data)


def test_one_error_names_all_invalid_settings() -> None:
    data = {
        **SETTINGS,
        "node_name": 7,
        "port_range": [9, 8],
        "listen": {"front": "10.1.0.9", "ready": "10.1.0.9:1"},
        "limits": {"link_mbps": -1},
        "platform": "10.0.0.1",
    }
    with pytest.raises(ValueError) as error:
        settings_file.decode(data)
    message = str(error.value)
    for part in (
        "'node_name' is 7, expected a text",
        "'port_range' is [9, 8]",
        "'listen.front' is '10.1.0.9', expected IP:PORT",
        "'limits.link_mbps' is -1",
        "'platform' is '10.0.0.1', expected an object",
    ):
        assert part in message


RUN = ["5c0e7a21d94b36f8.0.0.1", 1, "", 100, 3.5]
END = [1, "5c0e7a21d94b36f8.0.0.1", 1, "done", ""]


def report(runs: object, ends: object) -> http_client.HttpResponse:
    body = {"clock_ms": 7, "born": 1, "running": runs, "finished": ends}
    return http_client.HttpResponse(200, (), json.dumps(body).encode())


def test_a_report() -> None:
    decoded = wire_workers._poll_outcome(result.Success(report([RUN], [END])))
    assert isinstance(decoded, cluster.WorkerReport)
    assert decoded.runs[0].percent == 100
    assert decoded.ends[0].kind is cluster.RunEndKind.DONE


@pytest.mark.parametrize(
    ("runs", "ends"),
    [
        (7, []),
        ([7], []),
        ([RUN[:2]], []),
        ([[17, *RUN[1:]]], []),
        ([[RUN[0], "1", *RUN[2:]]], []),
        ([[*RUN[:3], "full", 3.5]], []),
        ([[*RUN[:4], "much"]], []),
        ([], [END[:3]]),
        ([], [["1", *END[1:]]]),
        ([], [[*END[:3], "vanished", ""]]),
        ([], [[*END[:4], None]]),
    ],
)
def test_a_report_that_is_malformed_is_no_report(
    runs: object, ends: object
) -> None:
    """Part of a report must not show that the other runs have gone."""
    decoded = wire_workers._poll_outcome(result.Success(report(runs, ends)))
    assert decoded is cluster.OrderOutcome.UNKNOWN


@pytest.mark.parametrize("fields", [{}, {"born": None}, {"born": "1"}])
def test_a_report_of_an_unknown_incarnation_is_no_report(
    fields: dict[str, object],
) -> None:
    """Its runs may be those of another incarnation."""
    body = {"clock_ms": 7, "running": [], "finished": [], **fields}
    response = http_client.HttpResponse(200, (), json.dumps(body).encode())
    decoded = wire_workers._poll_outcome(result.Success(response))
    assert decoded is cluster.OrderOutcome.UNKNOWN
