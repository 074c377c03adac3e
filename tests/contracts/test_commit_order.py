"""Tests of what a holder stores first, by a replay of a slow store."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from wisteriasill.contracts import commit_order

ROWS = 46  # Rows of jobs that fit into a transaction.
SLOW_SECONDS = 0.26
JOB = commit_order.ChangedJob("a", False, False, 10.0)


def ids_to_store(
    *changed: commit_order.ChangedJob, response_seconds: float = SLOW_SECONDS
) -> list[str]:
    return commit_order.rows_to_store(changed, response_seconds, 1, 10.5)


@pytest.mark.parametrize(
    ("changed", "stored"),
    [
        (JOB, []),
        (JOB._replace(starts_tasks=True), ["a"]),
        (JOB._replace(has_ended=True), ["a"]),
        (JOB._replace(delayed_since=9.0), ["a"]),
    ],
    ids=["progress", "start", "end", "delayed for long"],
)
def test_a_slow_store_gets_what_somebody_waits_for(
    changed: commit_order.ChangedJob, stored: list[str]
) -> None:
    starts = JOB._replace(job_id="b", starts_tasks=True)
    assert {*ids_to_store(starts, changed)} == {*stored, "b"}


def test_a_fast_store_gets_all_and_starts_first() -> None:
    changed = (
        JOB,
        JOB._replace(job_id="ended", has_ended=True),
        JOB._replace(job_id="starts", starts_tasks=True),
    )
    assert ids_to_store(*changed, response_seconds=0.01) == [
        "starts",
        "ended",
        "a",
    ]


def test_an_unfilled_transaction_takes_progress_along() -> None:
    changed = [JOB._replace(job_id=str(number)) for number in range(100)]
    starts = JOB._replace(job_id="starts", starts_tasks=True)
    stored = commit_order.rows_to_store(
        [*changed, starts], SLOW_SECONDS, ROWS, 10.5
    )
    assert len(stored) == ROWS
    assert stored[0] == "starts"


class Peak(NamedTuple):
    """A load of jobs at a store that is slow.

    Attributes:
        starts_per_second: Steps that become ready.
        changes_per_second: Other rows that change.
    """

    starts_per_second: float = 110.0
    changes_per_second: float = 280.0


def test_starts_do_not_wait_behind_progress_on_a_slow_store() -> None:
    """Replays the peak of run trouble-2 at the large site.

    A round of planning then had four transactions of 0.26 s, and each step of
    a job began more than a second late.
    """
    peak = Peak()
    now, starts_left, changes_left = 0.0, 0.0, 0.0
    waits: list[float] = []
    elapsed_seconds = SLOW_SECONDS
    while now < 4.0:
        starts_left += peak.starts_per_second * elapsed_seconds
        changes_left += peak.changes_per_second * elapsed_seconds
        starts = [
            JOB._replace(
                job_id=f"s{number}", starts_tasks=True, delayed_since=now
            )
            for number in range(int(starts_left))
        ]
        changes = [
            JOB._replace(job_id=f"c{number}", delayed_since=now)
            for number in range(int(changes_left))
        ]
        stored = commit_order.rows_to_store(
            [*changes, *starts], SLOW_SECONDS, ROWS, now
        )
        first_starts = [
            index for index, key in enumerate(stored) if key.startswith("s")
        ]
        waits += [(index // ROWS + 1) * SLOW_SECONDS for index in first_starts]
        starts_left -= len(first_starts)
        changes_left -= len(stored) - len(first_starts)
        elapsed_seconds = -(-len(stored) // ROWS) * SLOW_SECONDS
        now += elapsed_seconds
    assert max(waits) < 0.6
