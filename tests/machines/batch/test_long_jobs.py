"""Tests of jobs whose progress takes more than one row."""

from __future__ import annotations

from collections.abc import Sequence
import random

import cbor2
import hypothesis
from hypothesis import strategies as st
import pytest

from tests.machines import batch_site
from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import progress_rows

LARGEST = 2**64 - 1
# As in the site files in force; these have up to 1,280 tasks.
WIDEST_STEPS = [batch_site.step(32)] * 5
LONG = job_spec.JobSpec(
    "text", (batch_site.step(32), batch_site.step(32, after=(0,))), 0, 1, 90
)


def make_job(spec: job_spec.JobSpec, occurrences: int) -> batch_job.Job:
    job = batch_job.Job("j1", job_spec.JobRecord("r-1", 0, False, spec), 0.0)
    for occurrence in range(occurrences):
        job.open_occurrence(occurrence)
    return job


def stored_rows(
    rows: Sequence[progress_rows.ProgressRow],
) -> list[cluster.StoredRow]:
    return [
        cluster.StoredRow("progress.bench", "bench", row.key, row.value, 9)
        for row in rows
    ]


def start_units(job: batch_job.Job, seed: int) -> None:
    """Gives units any stored state, often with the longest values."""
    choices = random.Random(seed)
    for unit in job.unit_by_key.values():
        if choices.random() < 0.1:
            continue
        longest = choices.random() < 0.5
        unit.last_run = LARGEST if longest else 1
        unit.failures = unit.failed_run = LARGEST if longest else 0
        unit.done = choices.random() < 0.5
        unit.checkpoint = "é" * (choices.choice((0, 8, 100, 150)))
        unit.crash_record = crash_evidence.CrashRecord(
            *([LARGEST] * len(crash_evidence.CrashRecord._fields))
            if longest
            else crash_evidence.NO_CRASHES
        )
        runs = len(unit.indexes) if unit.step.gang else 1
        if unit.step.copies and not unit.step.gang:
            runs = choices.randint(0, 4)
        unit.restored = [
            batch_job.StoredRun(
                index,
                LARGEST,
                "w" * (cluster.MAX_KEY_BYTES if longest else 12),
                LARGEST,
                LARGEST,
            )
            for index in range(runs)
        ]


steps = st.builds(
    batch_site.step,
    st.integers(1, 20),
    gang=st.booleans(),
    copies=st.booleans(),
)


@hypothesis.settings(deadline=None, max_examples=60)
@hypothesis.given(
    st.lists(steps, min_size=1, max_size=4),
    st.integers(1, 12),
    st.integers(0, 2**32),
    st.sampled_from([8_000, 20_000, 65_536]),
)
def test_no_row_is_longer_than_the_store_accepts(
    spec_steps: list[job_spec.StepSpec],
    occurrences: int,
    seed: int,
    row_bytes: int,
) -> None:
    spec = job_spec.JobSpec("text", tuple(spec_steps), 0, 1, occurrences)
    limits = cluster.StoreLimits(row_bytes)
    job = make_job(spec, occurrences)
    start_units(job, seed)
    encoded = {
        step: max(
            len(batch_job.encode_units([unit]))
            for unit in job.unit_by_key.values()
            if unit.step == step
        )
        for step in spec.steps
    }
    for step, length in encoded.items():
        empty_row = len(batch_job.encode_units([]))
        assert length - empty_row <= progress_rows.longest_unit(step)
    assert not progress_rows.refusal_reason(job.record, limits)
    rows = progress_rows.encode(job, limits)
    assert max(len(row.value or b"") for row in rows) <= row_bytes
    progress = progress_rows.decode(stored_rows(rows))
    assert progress is not None
    expected = batch_job.decode_progress(batch_job.encode_progress(job))
    assert sorted(progress.units) == sorted(expected.units)
    assert progress.opened_occurrences == occurrences


def test_a_successor_goes_on_with_a_job_of_many_rows() -> None:
    """Its pool could store nothing any more after some 4,500 tasks."""
    job = make_job(LONG, 90)
    for unit in job.unit_by_key.values():
        unit.last_run = 1
        if unit.occurrence < 89:
            job.mark_done(unit)
    rows = progress_rows.encode(job, cluster.DOCUMENTED_LIMITS)
    assert max(len(row.value or b"") for row in rows) <= 65_536
    assert rows[-1].key == "j1"  # Starts are sent once this row is stored.
    record = cluster.StoredRow(
        "jobs.bench",
        "bench",
        "j1",
        cbor2.dumps(job_spec.encode(job.record)),
        1,
    )
    successor = batch_site.SteppedPool(2, [record], stored_rows(rows))
    restored = successor.pool.job_by_id["j1"]
    assert {
        unit.key for unit in restored.unit_by_key.values() if not unit.done
    } == {unit.key for unit in job.unit_by_key.values() if not unit.done}
    assert restored.unit_by_key[batch_job.UnitKey(0, 0, 0)].done
    unit = restored.unit_by_key[batch_job.UnitKey(89, 0, 3)]
    assert unit.last_run == 1
    unit.failures = 1
    changed = progress_rows.encode(restored, cluster.DOCUMENTED_LIMITS)
    assert len(changed) == 2  # Only the row of that unit, and the job's own.
    restored.state = batch_job.JobState.CANCELLED
    ended = progress_rows.encode(restored, cluster.DOCUMENTED_LIMITS)
    assert ended[0].key == "j1"
    assert {row.key for row in ended if row.value is None} == {
        row.key for row in rows if row.key != "j1"
    }


def test_an_unfinished_split_of_a_row_changes_nothing() -> None:
    job = make_job(LONG, 90)
    former = progress_rows.encode(job, cluster.DOCUMENTED_LIMITS)
    assert [row.key for row in former] == ["j1"]
    for unit in job.unit_by_key.values():
        unit.last_run = 1
        job.mark_done(unit)
    *parts, _ = progress_rows.encode(job, cluster.DOCUMENTED_LIMITS)
    rows = stored_rows([*former, *parts])
    progress = progress_rows.decode(rows)
    assert progress == batch_job.Progress(batch_job.JobState.QUEUED, 90, ())


def test_rows_that_an_ended_job_left_are_deleted() -> None:
    rows = stored_rows(
        [
            progress_rows.ProgressRow("j1", cbor2.dumps(["completed", 0, []])),
            progress_rows.ProgressRow("j1/0", batch_job.encode_units([])),
        ]
    )
    record = batch_site.job_row("j1", [batch_site.step()])
    successor = batch_site.SteppedPool(2, [record], rows)
    assert not successor.pool.job_by_id
    assert successor.pool.unused_progress_keys == ["j1/0"]


@pytest.mark.parametrize(
    ("spec_steps", "occurrences"),
    [
        (WIDEST_STEPS, 8),
        ([batch_site.step(10_000, copies=True)], 0),
        ([batch_site.step(10_000, lasting=True)], 0),
        ([batch_site.step(1)], 10_000),
        ([batch_site.step(32, gang=True)] * 5, 62),
    ],
)
def test_jobs_of_many_tasks_can_be_stored(
    spec_steps: list[job_spec.StepSpec], occurrences: int
) -> None:
    spec = job_spec.JobSpec("text", tuple(spec_steps), 0, 1, occurrences)
    record = job_spec.JobRecord("r-1", 0, False, spec)
    limits = cluster.DOCUMENTED_LIMITS
    assert not progress_rows.refusal_reason(record, limits)


def test_the_reason_names_what_can_not_be_stored() -> None:
    limits = cluster.DOCUMENTED_LIMITS
    gang = job_spec.JobSpec("text", (batch_site.step(1000, gang=True),))
    record = job_spec.JobRecord("r-1", 0, False, gang)
    assert "a gang of 1000 tasks" in progress_rows.refusal_reason(
        record, limits
    )
    many_steps = job_spec.JobSpec("text", (batch_site.step(),) * 3000)
    record = job_spec.JobRecord("r-1", 0, False, many_steps)
    assert "the job takes" in progress_rows.refusal_reason(record, limits)
