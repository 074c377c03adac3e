"""The control loop of a shard that this process holds."""

from __future__ import annotations

import threading

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.machines import shard_context
from wisteriasill.machines import shard_lease

STEP_SECONDS = 1.0


class ShardTask:
    """Renews a shard's lease and runs its controller once a second."""

    def __init__(
        self,
        lease: shard_lease.HeldLease,
        controller: shard_context.ShardController,
        clock: clocks.Clock,
        stopping: threading.Event,
    ) -> None:
        self._lease = lease
        self._controller = controller
        self._clock = clock
        self._stopping = stopping
        self._last_failure_kind: errors.ErrorKind | None = None

    def run(self) -> None:
        """Runs steps until the task is stopped or the shard is lost."""
        while not self._stopping.is_set() and not self._lease.lost:
            self.step()
            self._clock.wait(self._stopping, STEP_SECONDS)
        self._lease.release()

    def step(self) -> None:
        """Runs one step; a failure is logged and doesn't end the loop."""
        try:
            self._log_first_failure(
                self._lease.ensure_held().bind(
                    lambda _: self._controller.step()
                )
            )
        except Exception as error:  # Control must survive any fault.
            events.log(
                events.Event.TASK_FAILED,
                "Control step of a shard failed; retrying",
                level="ERROR",
                shard=self._lease.shard,
                error=repr(error),
            )

    def _log_first_failure(
        self, outcome: result.Result[None, errors.Failure]
    ) -> None:
        """Logs the first of consecutive failures of the same kind."""
        if isinstance(outcome, result.Success):
            self._last_failure_kind = None
            return
        failure = outcome.failure()
        if failure.kind is not self._last_failure_kind:
            events.log(
                events.Event.STORE_FAILED,
                "Control step of a shard can't complete; retrying",
                level="WARNING",
                shard=self._lease.shard,
                kind=failure.kind.value,
                detail=repr(failure.detail),
            )
        self._last_failure_kind = failure.kind
