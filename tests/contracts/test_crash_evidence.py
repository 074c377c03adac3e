"""Tests of the decision which tasks crash their workers."""

from __future__ import annotations

import pytest

from wisteriasill.contracts import crash_evidence

ALIVE = 2 * crash_evidence.PROBATION_SECONDS

Crash = tuple[float, crash_evidence.Circumstances]

ALONE: Crash = (0.0, crash_evidence.Circumstances(1))
AMONG_OTHERS: Crash = (0.0, crash_evidence.Circumstances(2))
WITH_RACK: Crash = (
    0.0,
    crash_evidence.Circumstances(1, lost_with_rack=True),
)
LONG_AFTER_START: Crash = (ALIVE, crash_evidence.Circumstances(0))
BESIDE_A_START: Crash = (ALIVE, crash_evidence.Circumstances(1))
FROM_OUTSIDE = crash_evidence.Circumstances(1, has_outside_cause=True)


def record_of(*crashes: Crash) -> crash_evidence.CrashRecord:
    record = crash_evidence.NO_CRASHES
    for crash in crashes:
        record = crash_evidence.record_crash(record, *crash)
    return record


@pytest.mark.parametrize(
    ("crashes", "convicted"),
    [
        ([ALONE], False),
        ([ALONE, ALONE], True),
        ([AMONG_OTHERS, ALONE], True),
        ([AMONG_OTHERS, AMONG_OTHERS], False),
        ([AMONG_OTHERS, WITH_RACK], False),
        ([AMONG_OTHERS, WITH_RACK, WITH_RACK], True),
        ([LONG_AFTER_START, ALONE], False),
        ([LONG_AFTER_START] * 4, False),
        ([LONG_AFTER_START] * 5, True),
    ],
)
def test_a_task_is_convicted_by_crashes_that_its_start_explains(
    crashes: list[Crash], convicted: bool
) -> None:
    assert record_of(*crashes).convicted is convicted


@pytest.mark.parametrize(
    ("crashes", "needs_trial"),
    [
        ([], False),
        ([LONG_AFTER_START], False),
        ([AMONG_OTHERS], True),
        ([LONG_AFTER_START, LONG_AFTER_START], False),
        ([LONG_AFTER_START] * 3, True),
    ],
)
def test_a_suspected_task_needs_a_trial(
    crashes: list[Crash], needs_trial: bool
) -> None:
    assert record_of(*crashes).needs_trial is needs_trial


def test_survival_of_the_start_clears_a_task() -> None:
    suspected = record_of(AMONG_OTHERS)
    cleared = crash_evidence.record_survival(suspected, ALIVE)
    assert not cleared.needs_trial
    assert cleared.crashes == 1
    assert not crash_evidence.record_crash(cleared, *ALONE).convicted


def test_work_before_a_crash_clears_a_task() -> None:
    """A long-running task lost several workers on which it had worked."""
    worked = (
        crash_evidence.ACQUITTAL_SECONDS,
        crash_evidence.Circumstances(0),
    )
    assert record_of(*[worked] * 9) == crash_evidence.NO_CRASHES
    record = record_of(*[LONG_AFTER_START] * 4)
    assert (
        crash_evidence.record_survival(record, crash_evidence.ACQUITTAL_SECONDS)
        == crash_evidence.NO_CRASHES
    )


def test_a_crash_that_a_start_explains_is_no_evidence_against_others() -> None:
    """A long-running job was stopped after crashes that another job caused.

    Run deadly at Kochi, seed 12: five workers of one of its tasks crashed.
    """
    assert record_of(*[BESIDE_A_START] * 9) == crash_evidence.NO_CRASHES


@pytest.mark.parametrize("survived_seconds", [0.0, ALIVE])
def test_a_crash_with_an_outside_cause_is_no_evidence(
    survived_seconds: float,
) -> None:
    crashes = [(survived_seconds, FROM_OUTSIDE)] * 9
    assert record_of(*crashes) == crash_evidence.NO_CRASHES


@pytest.mark.parametrize(
    ("other_rack", "other_is_explained", "expected"),
    [
        ("r1", True, crash_evidence.Circumstances(1, lost_with_rack=True)),
        ("r2", True, crash_evidence.Circumstances(1)),
        ("r2", False, FROM_OUTSIDE),
    ],
)
def test_a_crash_that_no_start_explains_is_the_cause_of_others(
    other_rack: str,
    other_is_explained: bool,
    expected: crash_evidence.Circumstances,
) -> None:
    crash = crash_evidence.WorkerCrash(1.0, other_rack, other_is_explained)
    assert crash_evidence.circumstances(1, "r1", [crash]) == expected


def test_only_recent_crashes_have_a_common_cause() -> None:
    crash = crash_evidence.WorkerCrash(10.0, "r1", False)
    soon = 10.0 + crash_evidence.RACK_LOSS_SECONDS / 2
    later = 10.0 + crash_evidence.RACK_LOSS_SECONDS
    assert crash_evidence.recent_crashes({"w1": crash}, soon) == {"w1": crash}
    assert crash_evidence.recent_crashes({"w1": crash}, later) == {}


def test_an_explained_crash_is_no_suspicion() -> None:
    cleared = crash_evidence.record_explanation(record_of(AMONG_OTHERS))
    assert not cleared.needs_trial
    twice = record_of(AMONG_OTHERS, AMONG_OTHERS)
    assert crash_evidence.record_explanation(twice).needs_trial


def test_no_task_outlives_the_platforms_limit() -> None:
    """The third start after three crashes must not happen.

    Whatever the age of its runs, a finite task that loses worker after worker
    ends before its sixth start.
    """
    for crash in (ALONE, AMONG_OTHERS, WITH_RACK, LONG_AFTER_START):
        assert record_of(*[crash] * 5).convicted


def test_a_crash_that_nobody_watched_is_no_suspicion() -> None:
    """A worker crashed while its holder changed, and the next one by itself.

    The job was given up after these two crashes. Found by soak seed 705.
    """
    record = crash_evidence.record_unwatched_crash(crash_evidence.NO_CRASHES)
    assert not record.needs_trial
    assert not crash_evidence.record_crash(record, *ALONE).convicted
    for _ in range(4):
        record = crash_evidence.record_unwatched_crash(record)
    assert record.convicted
