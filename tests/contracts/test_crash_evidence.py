"""Tests of the decision which tasks crash their workers."""

from __future__ import annotations

import pytest

from wisteriasill.contracts import crash_evidence

ALIVE = 2 * crash_evidence.PROBATION_SECONDS

Crash = tuple[float, crash_evidence.Circumstances]

ALONE: Crash = (0.0, crash_evidence.Circumstances(1))
ALONE_IN_SPELL: Crash = (
    0.0,
    crash_evidence.Circumstances(1, seconds_since_last=0.5),
)
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
        ([ALONE, ALONE_IN_SPELL], False),
        ([ALONE, ALONE_IN_SPELL, ALONE], True),
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


def test_a_crash_with_an_outside_cause_is_no_suspicion() -> None:
    assert record_of(*[(ALIVE, FROM_OUTSIDE)] * 9) == crash_evidence.NO_CRASHES
    record = record_of((0.0, FROM_OUTSIDE))
    assert not record.needs_trial
    assert not crash_evidence.record_crash(record, *ALONE).convicted
    # Two in a row call for a trial, and prove nothing with those around them.
    record = crash_evidence.record_crash(record, 0.0, FROM_OUTSIDE)
    assert record.suspicions == 0
    assert record.needs_trial
    in_spell = crash_evidence.Circumstances(1, background_rate=0.1)
    assert not crash_evidence.record_crash(record, 0.0, in_spell).convicted


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


def test_an_unconfirmed_start_calls_for_a_trial_and_proves_nothing() -> None:
    """Its order may have been sent to a worker that had crashed before."""
    unconfirmed = (0.0, crash_evidence.Circumstances(1, is_confirmed=False))
    record = record_of(*[unconfirmed] * 4)
    assert record.needs_trial
    assert not record.convicted
    # A confirmed start that ends in a crash is proof after it.
    assert record_of(unconfirmed, ALONE).convicted


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
    beside_others = (0.0, FROM_OUTSIDE)
    for crash in (
        ALONE,
        AMONG_OTHERS,
        WITH_RACK,
        LONG_AFTER_START,
        beside_others,
        ALONE_IN_SPELL,
        (0.0, crash_evidence.Circumstances(1, is_confirmed=False)),
    ):
        assert record_of(*[crash] * 5).convicted


@pytest.mark.parametrize(
    ("others", "needed"),
    [(0, 2), (1, 2), (2, 3), (8, 3), (10, 4), (24, 5), (50, 6)],
)
def test_crashes_of_other_workers_weaken_the_evidence(
    others: int, needed: int
) -> None:
    """A job was given up for two crashes in a spell of crashes.

    Found by soak seed 9104 and review case 2.
    """
    rate = crash_evidence.background_rate(
        [crash_evidence.PastCrash(15.0, frozenset())] * others,
        "task",
        10,
        16.0,
        0.0,
    )
    crash = (0.0, crash_evidence.Circumstances(1, background_rate=rate))
    assert not record_of(*[crash] * (needed - 1)).convicted
    assert record_of(*[crash] * needed).convicted


def test_only_recent_crashes_without_the_task_are_weighed() -> None:
    crashes = [
        crash_evidence.PastCrash(0.0, frozenset()),
        crash_evidence.PastCrash(15.0, frozenset({"task", "other"})),
        crash_evidence.PastCrash(15.0, frozenset({"other"})),
    ]
    rate = crash_evidence.background_rate(crashes, "task", 1, 16.0, 0.0)
    assert rate == 1 / crash_evidence.BACKGROUND_SECONDS


def test_a_holder_that_has_just_begun_to_watch_needs_more_evidence() -> None:
    """The workers that had crashed before were known to its predecessor only.

    Found by soak seed 9104.
    """
    rate = crash_evidence.background_rate([], "task", 5, 16.0, 10.0)
    crash = (0.0, crash_evidence.Circumstances(1, background_rate=rate))
    assert not record_of(crash, crash).convicted
    assert record_of(crash, crash, crash).convicted


def test_late_crashes_in_a_spell_of_crashes_are_no_proof() -> None:
    late = crash_evidence.Circumstances(0, background_rate=0.2)
    assert not record_of(*[(ALIVE, late)] * 9).convicted


def test_a_trial_waits_until_its_crash_would_be_proof() -> None:
    spell, calm = 0.1, 0.0
    first = crash_evidence.Circumstances(1, background_rate=spell)
    record = record_of((0.0, first))
    assert crash_evidence.may_try(record, spell, 0.0)
    record = record_of((0.0, first), (0.0, first))
    assert not crash_evidence.may_try(record, spell, 0.0)
    assert not crash_evidence.may_try(record, calm, 0.0)
    assert crash_evidence.may_try(record, calm, crash_evidence.SPELL_SECONDS)
    assert not crash_evidence.may_try(
        record, spell, crash_evidence.SPELL_SECONDS
    )
    longest = crash_evidence.MAX_PROOF_WAIT_SECONDS
    assert crash_evidence.may_try(record, spell, longest)
    assert record_of((0.0, first), (0.0, first), ALONE).convicted


def test_a_long_running_task_waits_longer_each_time_up_to_a_limit() -> None:
    delays = [
        crash_evidence.restart_delay_seconds(
            record_of(*[ALONE_IN_SPELL] * crashes), 0.0
        )
        for crashes in range(2, 9)
    ]
    assert delays == sorted(delays)
    assert delays[0] == crash_evidence.FIRST_DELAY_SECONDS
    assert delays[-1] == crash_evidence.MAX_DELAY_SECONDS
