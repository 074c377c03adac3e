"""Outcomes of the attempts to forward one request."""

from __future__ import annotations

from typing import NamedTuple

from returns import result

from wisteriasill import errors
from wisteriasill.contracts import exchange
from wisteriasill.machines import host as hosts

Outcome = result.Result[exchange.Reply, errors.Failure]


class AttemptHistory(NamedTuple):
    """Attempts made so far for one request.

    Attributes:
        targets_tried: Targets of the attempts, in order.
        targets_failed: Targets that replied with a 5xx status.
        not_refused: Number of attempts that the target did not refuse.
        previous: Combined outcome so far; None before the first attempt.
    """

    targets_tried: tuple[hosts.Host, ...] = ()
    targets_failed: tuple[hosts.Host, ...] = ()
    not_refused: int = 0
    previous: Outcome | None = None

    def with_attempt(
        self, target: hosts.Host, outcome: Outcome
    ) -> AttemptHistory:
        """Returns the history with one more attempt."""
        failure = failure_of(outcome)
        refused = (
            failure is not None
            and failure.kind is errors.ErrorKind.TARGET_REFUSED
        )
        replied_with_error = failure is not None and isinstance(
            outcome, result.Success
        )
        return AttemptHistory(
            (*self.targets_tried, target),
            (*self.targets_failed, target)
            if replied_with_error
            else self.targets_failed,
            self.not_refused + (not refused),
            outcome,
        )

    def combine(self, outcome: Outcome) -> Outcome:
        """Combines the outcome of the last attempt with the earlier ones.

        The result is `executed: no` only if no attempt was executed.
        """
        if self.previous is None or isinstance(outcome, result.Success):
            return outcome
        if isinstance(self.previous, result.Success):
            return self.previous
        failure = outcome.failure()
        if self.previous.failure().executed is errors.Executed.NO:
            return outcome
        return result.Failure(
            failure._replace(executed=errors.Executed.UNKNOWN)
        )


def failure_of(outcome: Outcome) -> errors.Failure | None:
    """Returns the failure of an attempt; None for a reply below 500.

    Args:
        outcome: Outcome of an attempt. A worker's own 5xx reply counts as a
            failure, because another worker may succeed.

    Returns:
        The failure, or None.
    """
    if not isinstance(outcome, result.Success):
        return outcome.failure()
    status = outcome.unwrap().status
    if status < 500:
        return None
    return errors.failure(
        errors.ErrorKind.TARGET_FAILED, f"the worker answered {status}"
    )
