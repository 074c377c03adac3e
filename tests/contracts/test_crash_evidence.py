"""Tests of the decision which tasks crash their workers."""

from __future__ import annotations

import dataclasses

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
BESIDE_OTHERS: Crash = (
    0.0,
    crash_evidence.Circumstances(1, has_common_cause=True),
)
LONG_AFTER_START: Crash = (ALIVE, crash_evidence.Circumstances(0))
BESIDE_A_START: Crash = (ALIVE, crash_evidence.Circumstances(1))
FROM_OUTSIDE = crash_evidence.Circumstances(
    1, has_outside_cause=True, has_common_cause=True
)


AT_TEN = crash_evidence.CrashTime(10.0, 10.0)


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
        ([AMONG_OTHERS, BESIDE_OTHERS], False),
        ([AMONG_OTHERS, BESIDE_OTHERS, BESIDE_OTHERS], False),
        ([AMONG_OTHERS, BESIDE_OTHERS, ALONE], True),
        ([AMONG_OTHERS, *[BESIDE_OTHERS] * 4], True),
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
    in_spell = crash_evidence.Circumstances(1, isolated_rate=0.1)
    assert not crash_evidence.record_crash(record, 0.0, in_spell).convicted


@pytest.mark.parametrize(
    ("other", "expected"),
    [
        (
            crash_evidence.WorkerCrash(10.5, is_explained=True),
            crash_evidence.Circumstances(1, has_common_cause=True),
        ),
        (crash_evidence.WorkerCrash(9.5), FROM_OUTSIDE),
        (
            crash_evidence.WorkerCrash(
                10.5, is_explained=True, is_settled=True
            ),
            crash_evidence.Circumstances(1),
        ),
        (crash_evidence.WorkerCrash(11.0), crash_evidence.Circumstances(1)),
        (crash_evidence.WorkerCrash(9.0), crash_evidence.Circumstances(1)),
    ],
)
def test_crashes_at_about_the_same_time_may_have_a_common_cause(
    other: crash_evidence.WorkerCrash,
    expected: crash_evidence.Circumstances,
) -> None:
    assert crash_evidence.circumstances(1, AT_TEN, [other]) == expected


def test_crashes_in_other_pools_may_have_a_common_cause() -> None:
    """Workers of three pools crashed at the same moments.

    Run crash-bursts-dark at Mandacaru, seed 602.
    """
    for at, common in ((9.5, True), (10.5, True), (9.0, False), (11.0, False)):
        crash = crash_evidence.circumstances(1, AT_TEN, [], [at])
        assert crash.has_common_cause is common
        assert not crash.has_outside_cause


def test_a_crash_that_became_known_late_may_have_an_earlier_cause() -> None:
    """Its worker was never listed as down; its leases lapsed 5 s later."""
    late = crash_evidence.CrashTime(5.0, 10.0)
    for at, common in ((3.5, False), (4.5, True), (7.5, True), (11.5, False)):
        crash = crash_evidence.circumstances(1, late, [], [at])
        assert crash.has_common_cause is common


@dataclasses.dataclass(frozen=True)
class TriedTask(crash_evidence.Suspect):
    """A task on trial."""

    crash_record: crash_evidence.CrashRecord
    done: bool


@pytest.mark.parametrize("done", [False, True])
def test_a_crash_under_a_task_on_trial_is_no_common_cause(done: bool) -> None:
    """Several tasks that crash workers are found at the same time."""
    tried = frozenset({TriedTask(record_of(ALONE), done)})
    other = crash_evidence.WorkerCrash(
        10.5, is_explained=True, suspects=tried, tried=tried
    )
    crash = crash_evidence.circumstances(1, AT_TEN, [other])
    assert crash.has_common_cause is done


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


def explained_record(count: int) -> crash_evidence.CrashRecord:
    """Returns the record of a task after crashes beside convicted ones."""
    record = crash_evidence.NO_CRASHES
    for _ in range(count):
        record = crash_evidence.record_explanation(
            crash_evidence.record_crash(record, *AMONG_OTHERS)
        )
    return record


@pytest.mark.parametrize("explained", [1, 2])
@pytest.mark.parametrize(
    "crash",
    [
        (0.0, crash_evidence.Circumstances(1, is_confirmed=False)),
        BESIDE_OTHERS,
        LONG_AFTER_START,
    ],
)
def test_explained_crashes_leave_no_third_start_after_three_crashes(
    explained: int, crash: Crash
) -> None:
    record = explained_record(explained)
    starts = explained
    while not record.convicted and starts < 10:
        record = crash_evidence.record_crash(record, *crash)
        starts += 1
    assert starts == crash_evidence.MAX_CRASHES


def test_explained_crashes_are_no_evidence() -> None:
    """Many convicted tasks may have been beside a sound one."""
    record = explained_record(10)
    assert not record.needs_trial
    unconfirmed = crash_evidence.Circumstances(1, is_confirmed=False)
    for _ in range(crash_evidence.MAX_UNTRIED_CRASHES - 1):
        record = crash_evidence.record_crash(record, 0.0, unconfirmed)
        assert not record.convicted
        # No two trials meet the same burst.
        in_burst = CALM._replace(quiet_seconds=1.0)
        assert not crash_evidence.may_try(record, in_burst)
    alive = crash_evidence.record_survival(record, ALIVE)
    assert not alive.needs_trial
    assert (
        crash_evidence.record_survival(alive, crash_evidence.ACQUITTAL_SECONDS)
        == crash_evidence.NO_CRASHES
    )


def test_no_task_outlives_the_platforms_limit() -> None:
    """The third start after three crashes must not happen.

    Whatever the age of its runs, a finite task that loses worker after worker
    ends before its sixth start.
    """
    from_outside = (0.0, FROM_OUTSIDE)
    for crash in (
        ALONE,
        AMONG_OTHERS,
        BESIDE_OTHERS,
        LONG_AFTER_START,
        from_outside,
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
        [crash_evidence.WorkerCrash(15.0)] * others,
        "task",
        10,
        16.0,
        0.0,
    )
    crash = (
        0.0,
        crash_evidence.Circumstances(
            1, background_rate=rate, isolated_rate=rate
        ),
    )
    assert not record_of(*[crash] * (needed - 1)).convicted
    assert record_of(*[crash] * needed).convicted


def test_only_recent_crashes_without_the_task_are_weighed() -> None:
    crashes = [
        crash_evidence.WorkerCrash(0.0),
        crash_evidence.WorkerCrash(15.0, tasks=frozenset({"task", "other"})),
        crash_evidence.WorkerCrash(15.0, tasks=frozenset({"other"})),
    ]
    rate = crash_evidence.background_rate(crashes, "task", 1, 16.0, 0.0)
    assert rate == 1 / crash_evidence.BACKGROUND_SECONDS


def test_a_holder_that_has_just_begun_to_watch_needs_more_evidence() -> None:
    """The workers that had crashed before were known to its predecessor only.

    Found by soak seed 9104.
    """
    rate = crash_evidence.background_rate([], "task", 5, 16.0, 10.0)
    crash = (0.0, crash_evidence.Circumstances(1, isolated_rate=rate))
    assert not record_of(crash, crash).convicted
    assert record_of(crash, crash, crash).convicted


def test_late_crashes_in_a_spell_of_crashes_are_no_proof() -> None:
    late = crash_evidence.Circumstances(0, background_rate=0.2)
    assert not record_of(*[(ALIVE, late)] * 9).convicted


CALM = crash_evidence.TrialConditions(
    background_rate=0.0,
    isolated_rate=0.0,
    waited_seconds=crash_evidence.SPELL_SECONDS,
    quiet_seconds=crash_evidence.SPELL_SECONDS,
)
SPELL_OF_CRASHES = CALM._replace(background_rate=0.1, isolated_rate=0.1)


@pytest.mark.parametrize(
    ("conditions", "may_try"),
    [
        (CALM, True),
        (CALM._replace(background_rate=0.1), True),
        (SPELL_OF_CRASHES, False),
        (CALM._replace(waited_seconds=1.0), False),
        (CALM._replace(quiet_seconds=1.0), False),
        (
            SPELL_OF_CRASHES._replace(
                waited_seconds=crash_evidence.MAX_PROOF_WAIT_SECONDS
            ),
            True,
        ),
    ],
)
def test_a_trial_waits_until_its_crash_would_be_proof(
    conditions: crash_evidence.TrialConditions, may_try: bool
) -> None:
    in_spell = crash_evidence.Circumstances(
        1, background_rate=0.1, isolated_rate=0.1
    )
    record = record_of((0.0, in_spell))
    at_once = SPELL_OF_CRASHES._replace(waited_seconds=0.0)
    assert crash_evidence.may_try(record, at_once)
    record = record_of((0.0, in_spell), (0.0, in_spell))
    assert crash_evidence.may_try(record, conditions) is may_try
    assert crash_evidence.record_crash(record, *ALONE).convicted


PROVABLE = record_of(ALONE, ALONE_IN_SPELL)
UNPROVEN = record_of(ALONE, ALONE_IN_SPELL, BESIDE_OTHERS)


@pytest.mark.parametrize(
    ("record", "others", "may_try"),
    [
        (PROVABLE, [], True),
        (PROVABLE, [PROVABLE], False),
        (PROVABLE, [UNPROVEN], False),
        (UNPROVEN, [], True),
        (UNPROVEN, [UNPROVEN, UNPROVEN], True),
        (UNPROVEN, [UNPROVEN, PROVABLE], False),
    ],
)
def test_only_trials_that_have_proved_nothing_run_beside_each_other(
    record: crash_evidence.CrashRecord,
    others: list[crash_evidence.CrashRecord],
    may_try: bool,
) -> None:
    """Otherwise a bad task would cost more workers beside another one."""
    assert crash_evidence.may_try_beside(record, others) is may_try


@pytest.mark.parametrize("is_settled", [False, True])
def test_trials_that_crash_together_prove_nothing(is_settled: bool) -> None:
    """Nor does either excuse a task that is tried alone."""
    tried = frozenset({TriedTask(UNPROVEN, done=False)})
    other = crash_evidence.WorkerCrash(
        10.5, True, is_settled, tried=tried, is_shared=True
    )
    beside = crash_evidence.circumstances(1, AT_TEN, [other])
    assert not beside.has_common_cause
    record = crash_evidence.record_crash(UNPROVEN, 0.0, beside)
    assert record.convicted is is_settled
    assert crash_evidence.record_crash(PROVABLE, 0.0, beside).convicted


def test_crashes_beside_each_other_are_not_isolated() -> None:
    """After a burst, a crash in a calm need not be weighed against it."""
    times = (0.0, 5.0, 5.5, 9.0)
    crashes = [crash_evidence.WorkerCrash(at) for at in times]
    assert crash_evidence.isolated_crashes(crashes, [9.5]) == crashes[:1]


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
