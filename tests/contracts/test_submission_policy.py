"""Tests of how jobs are handed to a store that is slow, away or lossy."""

from __future__ import annotations

import itertools

import pytest

from wisteriasill.contracts import submission_policy

HEALTHY = submission_policy.StoreView(0.01, 0.1)
SLOW = submission_policy.StoreView(0.18, 0.3)
CUT_OFF = submission_policy.StoreView(0.01, 2.0)
REFUSED = submission_policy.Outcome.REFUSED
UNKNOWN = submission_policy.Outcome.UNKNOWN
DIRECT = submission_policy.Route.DIRECT
RELAY = submission_policy.Route.RELAY


@pytest.mark.parametrize(
    ("view", "previous", "relayed", "route"),
    [
        (HEALTHY, None, False, DIRECT),
        (HEALTHY, UNKNOWN, False, RELAY),
        (HEALTHY, REFUSED, False, RELAY),
        (HEALTHY, UNKNOWN, True, DIRECT),
        (SLOW, None, False, DIRECT),
        (SLOW, UNKNOWN, False, DIRECT),
        (SLOW, REFUSED, False, RELAY),
        (CUT_OFF, None, False, RELAY),
        (CUT_OFF, UNKNOWN, True, DIRECT),
    ],
)
def test_route(
    view: submission_policy.StoreView,
    previous: submission_policy.Outcome | None,
    relayed: bool,
    route: submission_policy.Route,
) -> None:
    assert submission_policy.next_route(view, previous, relayed) is route


def test_a_slow_store_at_a_peak_gets_each_job_once() -> None:
    """Repeats of inserts that only wait must not fill the store's queues.

    Day trouble-2 of the large Kochi site: the store took 0.26 s for a
    transaction in a partition, and of 343 jobs handed in within four seconds
    156 were never stored, as each one was sent two to four times.
    """
    transaction_seconds, response_seconds, partitions = 0.26, 0.18, 32
    free_at = [0.0] * partitions
    attempts = 0
    for number in range(4 * 85):
        sent_at = number / 85
        partition = number % partitions
        until = sent_at + 2.85  # The caller's deadline, less a margin.
        while sent_at < until:
            attempts += 1
            begins_at = max(sent_at, free_at[partition])
            free_at[partition] = begins_at + transaction_seconds
            answered_at = free_at[partition] + response_seconds
            timeout_seconds = submission_policy.insert_timeout_seconds(SLOW)
            if answered_at - sent_at <= min(timeout_seconds, until - sent_at):
                break
            sent_at += timeout_seconds
        else:
            pytest.fail(f"job {number} is not stored before its deadline")
    assert attempts == 340


@pytest.mark.parametrize("view", [HEALTHY, CUT_OFF])
def test_a_lost_answer_is_noticed_soon(
    view: submission_policy.StoreView,
) -> None:
    assert submission_policy.insert_timeout_seconds(view) <= 0.4


def test_pauses_grow_to_a_bound() -> None:
    pauses = [submission_policy.pause_seconds(n) for n in range(1, 9)]
    assert all(a <= b for a, b in itertools.pairwise(pauses))
    assert pauses[-1] == submission_policy.MAX_PAUSE_SECONDS
