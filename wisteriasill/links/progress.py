"""What has become of a request's attempts."""

from __future__ import annotations

from typing import NamedTuple

from returns import result

from wisteriasill import errors
from wisteriasill.contracts import exchange
from wisteriasill.machines import host as hosts

Outcome = result.Result[exchange.Reply, errors.Failure]


class Progress(NamedTuple):
    """What has become of a request's attempts so far.

    Attributes:
        tried: Targets that it was sent to.
        failed_at: Those that answered it with an error of their own.
        runs: Attempts that were not refused.
        previous: Outcome so far.
    """

    tried: tuple[hosts.Host, ...] = ()
    failed_at: tuple[hosts.Host, ...] = ()
    runs: int = 0
    previous: Outcome | None = None

    def after(self, target: hosts.Host, outcome: Outcome) -> Progress:
        """Returns the progress after one more attempt."""
        failure = failure_of(outcome)
        refused = (
            failure is not None
            and failure.kind is errors.ErrorKind.TARGET_REFUSED
        )
        erred = failure is not None and isinstance(outcome, result.Success)
        return Progress(
            (*self.tried, target),
            (*self.failed_at, target) if erred else self.failed_at,
            self.runs + (not refused),
            outcome,
        )

    def combine(self, outcome: Outcome) -> Outcome:
        """Returns the outcome of all attempts, given that of the last.

        A last attempt that was not executed does not make an earlier one
        unexecuted.
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
    """Returns why an outcome is not a good answer; None if it is one.

    Args:
        outcome: Outcome of an attempt. A worker's own 5xx answer is whole,
            and yet another worker may do better.

    Returns:
        The failure.
    """
    if not isinstance(outcome, result.Success):
        return outcome.failure()
    status = outcome.unwrap().status
    if status < 500:
        return None
    return errors.failure(
        errors.ErrorKind.TARGET_FAILED, f"the worker answered {status}"
    )
