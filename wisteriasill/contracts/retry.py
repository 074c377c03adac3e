"""Retry policy: which failed attempts are retried, and the retry budget."""

from __future__ import annotations

import threading
from typing import Protocol

from wisteriasill import clock as clocks
from wisteriasill import errors

TOKENS_PER_REQUEST = 0.1
TOKENS_PER_SECOND = 1.0
MAX_TOKENS = 20.0
FAILURE_COST = 1.0
# A refusal takes no slot time of the worker, so its retry costs a tenth of that
# of an executed attempt.
REFUSAL_COST = 0.1
MAX_ATTEMPTS = 4
# Share of the remaining time for an attempt that may be retried, which leaves
# time for one more.
ATTEMPT_SHARE = 0.5
# A timeout is evidence against the target only if the attempt lasted at least
# this many typical response times.
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
    """Returns whether a failed attempt may be retried.

    Args:
        failure: How the attempt failed.
        repeatable: Whether the request may be executed more than once.

    Returns:
        Whether a retry is safe. A request that must not be repeated is
        retried only if it was certainly not executed.
    """
    if failure.kind not in REPEATABLE_KINDS:
        return False
    return repeatable or failure.executed is errors.Executed.NO


def attempt_deadline(
    now: float, deadline_at: float, typical_seconds: float, may_retry: bool
) -> float:
    """Returns the deadline of one attempt.

    Args:
        now: Monotonic seconds.
        deadline_at: Deadline of the request.
        typical_seconds: Typical response time.
        may_retry: Whether a retry may follow.

    Returns:
        Monotonic seconds: half of the remaining time, so that a silent target
        leaves time for another one, or all of it if half is too short to
        distinguish a silent target from a busy one.
    """
    half = (deadline_at - now) * ATTEMPT_SHARE
    if not may_retry or half < SLOW_FACTOR * typical_seconds:
        return deadline_at
    return now + half


class RetryPolicy(Protocol):
    """Decides for one pool whether failed attempts are retried."""

    def deposit(self) -> None:
        """Records a new request."""

    def withdraw(self, failure: errors.Failure) -> bool:
        """Returns whether a retry after this failure is allowed."""

    def delay_seconds(self, runs: int) -> float:
        """Returns the backoff after `runs` executed attempts."""


class RetryBudget:
    """Limits a pool's retries to a share of its requests; thread safe.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = MAX_TOKENS / 2
        self._refilled_at = clock.monotonic()

    def deposit(self) -> None:
        """Records a new request, which adds a share of a retry."""
        with self._lock:
            now = self._clock.monotonic()
            self._tokens = min(
                MAX_TOKENS,
                self._tokens
                + TOKENS_PER_REQUEST
                + (now - self._refilled_at) * TOKENS_PER_SECOND,
            )
            self._refilled_at = now

    def withdraw(self, failure: errors.Failure) -> bool:
        """Withdraws a retry from the budget.

        Args:
            failure: How the last attempt failed.

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
        """Returns 0: retries go to another target and the budget limits them.

        Args:
            runs: Attempts so far that weren't refused.

        Returns:
            0 seconds.
        """
        del runs
        return 0.0
