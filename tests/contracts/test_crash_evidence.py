"""Tests of the decision which tasks crash their workers."""

from __future__ import annotations

import pytest

from wisteriasill.contracts import crash_evidence

ALIVE = 2 * crash_evidence.PROBATION_SECONDS

Crash = tuple[float, bool, bool]

ALONE: Crash = (0.0, True, False)
AMONG_OTHERS: Crash = (0.0, False, False)
WITH_RACK: Crash = (0.0, True, True)
LONG_AFTER_START: Crash = (ALIVE, False, False)


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
    worked = (crash_evidence.ACQUITTAL_SECONDS, True, False)
    assert record_of(*[worked] * 9) == crash_evidence.NO_CRASHES
    record = record_of(*[LONG_AFTER_START] * 4)
    assert (
        crash_evidence.record_survival(record, crash_evidence.ACQUITTAL_SECONDS)
        == crash_evidence.NO_CRASHES
    )


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
