"""Which failed attempts are repeated, and how many."""

from __future__ import annotations

import threading
from typing import Protocol

from wisteriasill import clock as clocks
from wisteriasill import errors

TOKENS_PER_REQUEST = 0.1
TOKENS_PER_SECOND = 1.0
MOST_TOKENS = 20.0
FAILURE_COST = 1.0
# A refusal costs the worker no slot time, so it is charged a tenth of an
# attempt that the worker ran.
REFUSAL_COST = 0.1
MOST_ATTEMPTS = 4
# The first attempt of a request that may be repeated leaves time for one
# more.
ATTEMPT_SHARE = 0.5
# An attempt that had less than this many typical times says nothing about
# its target when it times out.
SLOW_FACTOR = 4.0

REPEATABLE_KINDS = frozenset(
    (
        errors.ErrorKind.TARGET_REFUSED,
        errors.ErrorKind.TARGET_UNREACHABLE,
        errors.ErrorKind.TARGET_FAILED,
        errors.ErrorKind.ANSWER_TRUNCATED,
        errors.ErrorKind.ANSWER_MISMATCHED,
        errors.ErrorKind.DEADLINE_EXCEEDED,
    )
)


def may_repeat(failure: errors.Failure, repeatable: bool) -> bool:
    """Decides whether a failed attempt allows another one.

    Args:
        failure: How the attempt failed.
        repeatable: Whether the request may be run more than once.

    Returns:
        Whether another attempt is safe; a request that must not be repeated
        is sent again only when it was surely not executed.
    """
    if failure.kind not in REPEATABLE_KINDS:
        return False
    return repeatable or failure.executed is errors.Executed.NO


def attempt_deadline(
    now: float, deadline_at: float, typical_seconds: float, may_retry: bool
) -> float:
    """Sets the end of one attempt.

    Args:
        now: Monotonic seconds.
        deadline_at: Deadline of the request.
        typical_seconds: Typical time of an answer.
        may_retry: Whether another attempt may follow.

    Returns:
        Monotonic seconds. Half of what remains, so that a silent target
        leaves time for another; all of it when half is too short to tell a
        silent target from a busy one.
    """
    half = (deadline_at - now) * ATTEMPT_SHARE
    if not may_retry or half < SLOW_FACTOR * typical_seconds:
        return deadline_at
    return now + half


class RetryPolicy(Protocol):
    """Decides for one pool whether failed attempts are repeated."""

    def deposit(self) -> None:
        """Notes a new request."""

    def withdraw(self, failure: errors.Failure) -> bool:
        """Returns whether a retry after this failure is allowed."""

    def delay_seconds(self, runs: int) -> float:
        """Returns the wait before the attempt after `runs` runs."""


class RetryBudget:
    """Limits a pool's retries to a share of its requests; thread safe.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = MOST_TOKENS / 2
        self._refilled_at = clock.monotonic()

    def deposit(self) -> None:
        """Notes a new request, which pays for a share of a retry."""
        with self._lock:
            now = self._clock.monotonic()
            self._tokens = min(
                MOST_TOKENS,
                self._tokens
                + TOKENS_PER_REQUEST
                + (now - self._refilled_at) * TOKENS_PER_SECOND,
            )
            self._refilled_at = now

    def withdraw(self, failure: errors.Failure) -> bool:
        """Pays for a retry.

        Args:
            failure: How the attempt before failed.

        Returns:
            Whether the budget allows the retry.
        """
        refused = failure.kind is errors.ErrorKind.TARGET_REFUSED
        cost = REFUSAL_COST if refused else FAILURE_COST
        with self._lock:
            if self._tokens < cost:
                return False
            self._tokens -= cost
            return True

    def delay_seconds(self, runs: int) -> float:
        """Returns no delay: another target is tried, and the budget limits.

        Args:
            runs: Attempts so far that were not refused.

        Returns:
            0 seconds.
        """
        del runs
        return 0.0
