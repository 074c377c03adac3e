"""Tests of the checks that the soak makes."""

from __future__ import annotations

import math

import pytest

from soak import cancellations
from soak import disturbances
from soak import holders
from soak import job_states
from soak import ports
from standins import row_store
from standins import timed_worker
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.zones import shard_writer

TASK = job_spec.TaskKey("j1", 0, 0, 0)
SHARD = "bench"
CANCELLED_AT = 100.0


@pytest.fixture
def observed() -> holders.Holders:
    return holders.Holders()


def span(start: float, end: float) -> disturbances.Span:
    return disturbances.Span(start, end)


def claim(node: str, version: int) -> row_store.Commit:
    return row_store.Commit(
        SHARD,
        version,
        (),
        (
            cluster.RowWrite(
                shard_writer.TABLE, shard_writer.OWNER, node.encode()
            ),
        ),
    )


def check(
    started_at: float,
    ended_at: float | None,
    disturbed: list[disturbances.Span],
    late: bool = False,
) -> list[str]:
    started = timed_worker.RunEvent(started_at, TASK, 1, "w1", "start", 5, late)
    run_events = [started]
    if ended_at is not None:
        run_events.append(
            timed_worker.RunEvent(ended_at, TASK, 1, "w1", "stopped")
        )
    runs = cancellations.cancelled_runs(run_events, {"j1": CANCELLED_AT})
    near = cancellations.Surroundings(
        lambda started: disturbed, lambda started, span: disturbed
    )
    return cancellations.violations(runs, 130.0, near)


@pytest.mark.parametrize(
    ("disturbed", "calm"),
    [
        ([], [span(0, 10)]),
        ([span(2, 3)], [span(0, 2), span(6, 10)]),
        ([span(2, 3), span(2.5, 8)], [span(0, 2)]),
        ([span(-5, -1), span(12, 20)], [span(2, 10)]),
        ([span(4, math.inf)], [span(0, 4)]),
    ],
    ids=["no fault", "one", "overlapping", "before and after", "endless"],
)
def test_a_span_is_calm_from_some_time_after_a_fault(
    disturbed: list[disturbances.Span], calm: list[disturbances.Span]
) -> None:
    assert disturbances.calm_spans(span(0, 10), disturbed, 3.0) == calm


def test_a_fault_in_progress_has_no_end() -> None:
    disturbance = disturbances.Disturbance()
    with disturbance:
        disturbance.note()
        assert disturbance.ended_at == math.inf
        assert disturbance.spans[-1].end == math.inf
    assert all(fault.end < math.inf for fault in disturbance.spans)


@pytest.mark.parametrize(
    ("started_at", "ended_at", "disturbed", "late", "violations"),
    [
        (99.0, 103.8, [], False, 0),
        (99.0, 104.0, [], False, 1),
        (99.0, None, [], False, 1),
        (99.0, 110.0, [span(100.5, 107.0)], False, 0),
        (99.0, 114.0, [span(100.5, 107.0)], False, 1),
        (110.0, 116.8, [], True, 0),
        (110.0, 117.0, [], True, 1),
        (102.9, 103.5, [], False, 0),
        (103.1, 103.5, [], False, 1),
        (103.1, 103.5, [span(100.0, 101.0)], False, 0),
    ],
    ids=[
        "stopped in time",
        "stopped too late",
        "not stopped",
        "stopped soon after a fault",
        "stopped long after a fault",
        "late start stopped in time",
        "late start stopped too late",
        "started in time",
        "started too late",
        "started too late by a disturbed node",
    ],
)
def test_runs_of_a_cancelled_job(
    started_at: float,
    ended_at: float | None,
    disturbed: list[disturbances.Span],
    late: bool,
    violations: int,
) -> None:
    assert len(check(started_at, ended_at, disturbed, late)) == violations


@pytest.mark.parametrize(
    ("ends", "violations"),
    [
        ([], 1),
        (["crash"] * 5, 1),
        (["lapsed", "stopped", "crash"], 1),
        (["failed"] * 2, 1),
        (["failed", "crash", "failed", "failed"], 0),
    ],
    ids=["no run", "crashes", "other ends", "too few failures", "failures"],
)
def test_only_failures_of_one_task_fail_a_job(
    ends: list[str], violations: int
) -> None:
    other = TASK._replace(position=1)
    run_events = [
        timed_worker.RunEvent(float(run), task, run, "w1", event)
        for run, end in enumerate(ends)
        for task, event in ((TASK, "start"), (TASK, end))
    ]
    run_events.append(timed_worker.RunEvent(9.0, other, 1, "w1", "failed"))
    assert (
        len(job_states.unfounded_failures(["j1"], run_events, 3)) == violations
    )


def test_holders_follow_from_transactions(observed: holders.Holders) -> None:
    for node, version in (("node-0", 3), ("", 5), ("node-1", 8)):
        observed.record(claim(node, version))
    assert observed.sender(3) == "node-0"
    assert observed.holder(SHARD) == "node-1"
    assert observed.holders_between(SHARD, 0.0, math.inf) == {
        "node-0",
        "node-1",
    }
    assert observed.holders_between(SHARD, 0.0, 1e-9) == frozenset()


def test_transactions_name_their_node(observed: holders.Holders) -> None:
    seen: list[str] = []
    observed.record(claim("node-0", 3))

    def observe(node: str, commit: row_store.Commit) -> None:
        seen.append(node)

    observed.observe(observe)
    commit = row_store.Commit(
        SHARD,
        4,
        (cluster.RowVersion(shard_writer.TABLE, shard_writer.OWNER, 3),),
        (cluster.RowWrite("progress.bench", "j1", b""),),
    )
    observed.record(commit)
    observed.forget(observe)
    observed.record(commit)
    assert seen == ["node-0"]


def test_each_port_is_used_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """In soak seed 4113, two nodes had the same port."""
    monkeypatch.setattr(ports, "PORTS", range(20_000, 20_060))
    pairs = ports.free_ports(5, consecutive=2)
    singles = ports.free_ports(5)
    used = [*pairs, *(port + 1 for port in pairs), *singles]
    assert len(set(used)) == len(used)
