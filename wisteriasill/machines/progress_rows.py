"""Rows that hold a job's progress, each within the store's limit.

The progress of most jobs is one row. A job whose row would become too long
has one more row for each group of its units; the units of a group stay the
same, so only rows of units that changed are written again.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
import itertools
from typing import NamedTuple

import cbor2

from wisteriasill.contracts import crash_evidence
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job

PART_SEPARATOR = "/"  # Between the id of the job and the number of the row.
# The state, the opened occurrences and the headers of the lists.
_ROW_OVERHEAD = 64
_UNIT_OVERHEAD = 16  # Headers of the lists of a unit.
# The key, the last run, the failures, the last failed run and whether the unit
# is done.
_UNIT_NUMBERS = len(batch_job.UnitKey._fields) + 4
_LONGEST_NUMBER = len(cbor2.dumps(2**64 - 1))
_TEXT_HEADER = 3
# Runs of a task of a step with copies, former holders' runs included.
_RUNS_WITH_COPIES = 4
_UNKNOWN_VALUE = b""  # Differs from the value of any row.


class ProgressRow(NamedTuple):
    """A row of a job's progress to write; None deletes it."""

    key: str
    value: bytes | None


def longest_unit(step: job_spec.StepSpec) -> int:
    """Returns the largest number of bytes that a unit of a step takes."""
    run = (
        _LONGEST_NUMBER * 4  # With the registered version.
        + _TEXT_HEADER
        + cluster.MAX_KEY_BYTES
        + 1
    )
    runs_per_task = _RUNS_WITH_COPIES if step.copies else 1
    runs = step.tasks if step.gang else runs_per_task
    numbers = _UNIT_NUMBERS + len(crash_evidence.CrashRecord._fields)
    return (
        _UNIT_OVERHEAD
        + numbers * _LONGEST_NUMBER
        + _TEXT_HEADER
        + batch_job.MAX_CHECKPOINT_BYTES
        + runs * run
    )


def units_per_row(spec: job_spec.JobSpec, row_bytes: int) -> int:
    """Returns how many units fit into a row in any case; 0 for none."""
    return (row_bytes - _ROW_OVERHEAD) // max(map(longest_unit, spec.steps))


def refusal_reason(
    record: job_spec.JobRecord, limits: cluster.StoreLimits
) -> str:
    """Returns why a job can't be stored; empty if it can."""
    length = len(cbor2.dumps(job_spec.encode(record)))
    if length > limits.row_bytes:
        return (
            f"the job takes {length} bytes, more than the {limits.row_bytes} "
            "that the store accepts"
        )
    if units_per_row(record.spec, limits.row_bytes) < 1:
        number, step = max(
            enumerate(record.spec.steps), key=lambda item: longest_unit(item[1])
        )
        return (
            f"step {number}: the progress of a gang of {step.tasks} tasks "
            f"takes up to {longest_unit(step)} bytes, more than the "
            f"{limits.row_bytes} that the store accepts"
        )
    return ""


def encode(
    job: batch_job.Job, limits: cluster.StoreLimits
) -> list[ProgressRow]:
    """Encodes what has changed of a job's progress since the last call.

    The row of the job itself comes after the rows of its units. Where it is
    stored, so is all that the job starts. Rows of units are in the order of
    the steps, so the end of a step is stored no later than what depends on it.
    """
    if not job.units_per_row:
        value = batch_job.encode_progress(job)
        if len(value) <= limits.row_bytes:
            return [ProgressRow(job.job_id, value), *_replace_parts(job, {})]
        job.units_per_row = max(
            1, units_per_row(job.record.spec, limits.row_bytes)
        )
    if job.finished:
        value = batch_job.encode_progress(job)
        return [ProgressRow(job.job_id, value), *_replace_parts(job, {})]
    value = cbor2.dumps(
        [job.state.value, job.opened_occurrences, [], job.units_per_row]
    )
    return [
        *_replace_parts(job, _encode_parts(job)),
        ProgressRow(job.job_id, value),
    ]


def _encode_parts(job: batch_job.Job) -> dict[str, bytes]:
    units = [*job.unit_by_key.values()]
    started_by_number = {
        number: [
            unit
            for unit in units[first : first + job.units_per_row]
            if unit.last_run
        ]
        for number, first in enumerate(range(0, len(units), job.units_per_row))
    }
    return {
        f"{job.job_id}{PART_SEPARATOR}{number}": batch_job.encode_units(started)
        for number, started in started_by_number.items()
        if started
    }


def _replace_parts(
    job: batch_job.Job, value_by_key: Mapping[str, bytes]
) -> list[ProgressRow]:
    """Records the rows of a job's units; returns those that differ."""
    former = job.part_value_by_key
    job.part_value_by_key = {
        **value_by_key,
        **{key: None for key in former if key not in value_by_key},
    }
    return [
        ProgressRow(key, value)
        for key, value in job.part_value_by_key.items()
        if former.get(key) != value
    ]


def rewrite_parts(job: batch_job.Job) -> None:
    """Has all rows of a job's units written or deleted again.

    After a failed round, any of the rows encoded for it may be stored.
    """
    job.part_value_by_key = dict.fromkeys(job.part_value_by_key, _UNKNOWN_VALUE)


def job_id_of(key: str) -> str:
    """Returns the id of the job whose progress a row holds."""
    return key.partition(PART_SEPARATOR)[0]


def is_part(key: str) -> bool:
    """Whether a row holds units only."""
    return PART_SEPARATOR in key


def group_by_job(
    rows: Iterable[cluster.StoredRow],
) -> Iterator[tuple[str, list[cluster.StoredRow]]]:
    """Groups the rows of progress by the ids of their jobs."""
    present = (row for row in rows if row.value is not None)
    by_id = sorted(present, key=lambda row: (job_id_of(row.key), row.key))
    for job_id, group in itertools.groupby(
        by_id, key=lambda row: job_id_of(row.key)
    ):
        yield job_id, [*group]


def decode(rows: Sequence[cluster.StoredRow]) -> batch_job.Progress | None:
    """Decodes the rows of a job; None if the job's own row is missing.

    Raises:
        ValueError: A row can't be read.
    """
    value_by_key = {row.key: row.value or b"" for row in rows}
    own_value = next(
        (value for key, value in value_by_key.items() if not is_part(key)), None
    )
    if own_value is None:
        return None
    progress = batch_job.decode_progress(own_value)
    if not progress.units_per_row:
        # Rows of units without their job's are those of an unfinished write.
        return progress
    units = tuple(
        itertools.chain.from_iterable(
            batch_job.decode_progress(value).units
            for key, value in value_by_key.items()
            if is_part(key)
        )
    )
    return progress._replace(
        # A unit's row may be newer than that of its job.
        opened_occurrences=max(
            progress.opened_occurrences,
            *(unit.key.occurrence + 1 for unit in units),
            0,
        ),
        units=units,
    )
