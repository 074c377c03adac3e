"""Tests of the decisions on failing hosts and jobs, and on job sizes."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from wisteriasill.contracts import job_health
from wisteriasill.contracts import job_sizes
from wisteriasill.contracts import jobs
from wisteriasill.contracts import placement
from wisteriasill.contracts import preemption
from wisteriasill.contracts import quota
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts


class FailureCase(NamedTuple):
    """A job's failures, and hosts that ran other jobs before and after."""

    name: str
    failed_hosts: tuple[str, ...]
    proven_before: tuple[str, ...]
    proven_after: tuple[str, ...]
    broken: bool


FAILURE_CASES = (
    FailureCase("one host", ("a",), ("a", "b"), ("a",), False),
    FailureCase("proven before", ("a", "b", "c"), ("a", "b", "c"), (), False),
    FailureCase("proven after", ("a", "b", "c"), (), ("a", "b"), True),
    FailureCase("one proven after", ("a", "b", "c"), ("a", "b"), ("b",), False),
    FailureCase("unknown hosts", ("a", "b", "c"), (), (), False),
    FailureCase("many unknown hosts", ("a", "b", "c", "d"), (), (), True),
)


@pytest.mark.parametrize("case", FAILURE_CASES, ids=lambda case: case.name)
def test_quarantine_depends_on_proven_hosts(case: FailureCase) -> None:
    """A job must not be quarantined for the failures of its hosts."""
    health = job_health.FailureHistory()
    for host_id in case.proven_before:
        health.record_success(host_id, 1.0)
    for host_id in case.failed_hosts:
        health.record_failure("job", host_id, (), 6, 2.0)
    for host_id in case.proven_after:
        health.record_success(host_id, 3.0)
    broken = job_health.is_broken(
        "job", case.failed_hosts, health.records_by_host, 6
    )
    assert broken is case.broken


def test_quarantine_readmits_hosts() -> None:
    """A host must not stay ejected because of a broken job's failures."""
    health = job_health.FailureHistory()
    ejected = [
        health.record_failure(name, "a", (), 6, 1.0) for name in ("x", "y", "z")
    ]
    assert ejected == [False, False, True]
    assert health.is_ejected("a", 2.0)
    health.discard_job_failures("x")
    assert not health.is_ejected("a", 2.0)


def test_ejections_are_bounded_and_end_with_a_trial() -> None:
    """A common cause of failures must not eject all hosts of a pool."""
    health = job_health.FailureHistory()
    for host_id in "abcdef":
        for name in ("x", "y", "z"):
            health.record_failure(name, host_id, (), 6, 1.0)
    assert [health.is_ejected(host_id, 2.0) for host_id in "abcdef"] == [
        True,
        True,
        False,
        False,
        False,
        False,
    ]
    assert health.is_on_trial("a", 62.0)
    health.record_failure("x", "a", (), 6, 62.0)
    assert health.is_ejected("a", 180.0)
    health.record_success("a", 190.0)
    assert not health.is_on_trial("a", 190.0)


def _host(host_id: str = "a") -> hosts.Host:
    return hosts.Host(
        host_id,
        "pool",
        hosts.HostState.SERVING,
        "r",
        "z",
        "k",
        "127.0.0.1:1",
        64.0,
        256.0,
        0,
        8,
        64,
    )


def _placed(
    name: str, cores: float, proven: bool = True, **changes: bool
) -> placement.PlacedJob:
    job = jobs.Job(
        f"pool.{name}.1",
        "pool",
        "team",
        jobs.JobState.RUNNING,
        cores,
        1.0,
        host_id="a",
        can_checkpoint=True,
    )._replace(**changes)  # type: ignore[arg-type]
    return placement.PlacedJob(job, quota.Size(cores, 1.0), proven)


def test_unproven_jobs_are_limited() -> None:
    """Jobs of understated size must not overload a host when they start."""
    capacity = placement.PoolCapacity(
        [_host()], [_placed("x", 1, False), _placed("y", 1, False)], {}, 2
    )
    assert not capacity.admits("a", _placed("z", 1, False))
    assert capacity.admits("a", _placed("z", 1, True))
    assert capacity.admits("a", _placed("z", 1, False, urgent=True))


def test_preemption_stops_no_more_than_needed() -> None:
    placed = [
        _placed("small", 10),
        _placed("large", 30),
        _placed("fixed", 20, can_checkpoint=False),
    ]
    capacity = placement.PoolCapacity([_host()], placed, {}, 2)
    policy = placement.SpreadPlacement()
    for cores, names in (
        (4, []),
        (12, ["small"]),
        (20, ["large"]),
        (44, ["large", "small"]),
    ):
        choice = preemption.choose_by_preemption(
            capacity, policy, _placed("now", cores, urgent=True)
        )
        assert choice is not None
        victim_names = [
            victim.job.job_id.split(".")[1] for victim in choice.victims
        ]
        assert victim_names == names
    assert (
        preemption.choose_by_preemption(
            capacity, policy, _placed("now", 45, urgent=True)
        )
        is None
    )


class Correction(NamedTuple):
    """Reported use of a job of 20 cores and 40 GiB, and its new size."""

    name: str
    cores: float
    memory_gib: float
    corrected: tuple[float, float]


CORRECTIONS = (
    Correction("lower in steps", 2.0, 4.0, (11.15, 22.3)),
    Correction("higher at once", 40.0, 100.0, (46.0, 115.0)),
    Correction("no margin within the size", 19.5, 39.0, (20.0, 40.0)),
    Correction("no more than a host", 63.0, 250.0, (64.0, 256.0)),
)


@pytest.mark.parametrize("case", CORRECTIONS, ids=lambda case: case.name)
def test_corrections(case: Correction) -> None:
    """A size must not drop in one step or grow beyond its host."""
    sizes = job_sizes.JobSizes()
    job = _placed("x", 20.0).job._replace(memory_gib=40.0)
    for now in (0.0, 5.0):
        assert sizes.correction(job, quota.Size(64, 256), now) is None
        report = platform.TaskReport(
            "t",
            job.job_id,
            1,
            platform.TaskState.RUNNING,
            case.cores,
            case.memory_gib,
            "",
            0.0,
        )
        sizes.observe(report, now)
    corrected = sizes.correction(job, quota.Size(64, 256), 5.0)
    assert corrected is not None
    assert corrected[:2] == pytest.approx(case.corrected)


def test_headroom_doubles_and_decays() -> None:
    headroom = job_sizes.HostHeadroom()
    for now in (0.0, 1.0, 20.0):
        headroom.record_overload("a", now)
    assert headroom.share("a", 21.0) == pytest.approx(0.2)
    assert headroom.share("a", 81.0) == pytest.approx(0.1)
    assert headroom.share("a", 1000.0) == 0
