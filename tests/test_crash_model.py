"""Tests of the simulated pool of the experiment on crashes of workers."""

from __future__ import annotations

import pytest

from bench import crash_evidence
from bench import crash_patterns
from bench import crash_pool

SEEDS = range(10, 14)
BURSTS = crash_patterns.CrashBursts("bursts", 5, 0.3, 0.25, 10.0)


def test_no_sound_task_is_given_up_for_bursts_of_silent_crashes() -> None:
    variant = crash_pool.Variant(6, BURSTS, 0, load=0.8)

    outcome = crash_evidence.play(variant, SEEDS)

    assert outcome.sound_crashed > 0
    assert outcome.sound_given_up == 0


@pytest.mark.parametrize("kind", crash_evidence.BAD_KINDS)
def test_each_bad_task_is_found_beside_bursts(kind: crash_pool.BadKind) -> None:
    variant = crash_pool.Variant(6, BURSTS, 4, kind, load=0.8)

    outcome = crash_evidence.play(variant, SEEDS)

    assert outcome.bad_found == outcome.bad > 0


def test_crashes_in_other_pools_become_known_within_the_spell() -> None:
    run = crash_pool.PoolRun(crash_pool.Variant(6, BURSTS, 0), seed=10)
    assert not run.other_pool_crashes

    run.run()

    # Two other pools, five crashes of two workers, three bursts.
    known = run.other_pool_crashes
    assert len(known) == 2 * 5 * 2 * 3
    assert known == sorted(known)
