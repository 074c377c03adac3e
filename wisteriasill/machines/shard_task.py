"""The task of one shard that this process holds."""

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
    """Renews a shard's lease and does its work once a second."""

    def __init__(
        self,
        lease: shard_lease.HeldLease,
        keeper: shard_context.ShardKeeper,
        clock: clocks.Clock,
        stopping: threading.Event,
    ) -> None:
        self._lease = lease
        self._keeper = keeper
        self._clock = clock
        self._stopping = stopping
        self._failed: errors.ErrorKind | None = None

    def run(self) -> None:
        """Works until the task is stopped or the shard is lost."""
        while not self._stopping.is_set() and not self._lease.lost:
            self.step()
            self._clock.wait(self._stopping, STEP_SECONDS)
        self._lease.release()

    def step(self) -> None:
        """Does one round; a failure is logged and the next round follows."""
        try:
            self._note(self._lease.ensure().bind(lambda _: self._keeper.step()))
        except Exception as error:  # A fault must not end control of a pool.
            events.log(
                events.Event.TASK_FAILED,
                "round of a shard failed",
                level="ERROR",
                shard=self._lease.shard,
                error=repr(error),
            )

    def _note(self, outcome: result.Result[None, errors.Failure]) -> None:
        """Logs the first of a row of failures of the same kind."""
        if isinstance(outcome, result.Success):
            self._failed = None
            return
        failure = outcome.failure()
        if failure.kind is not self._failed:
            events.log(
                events.Event.STORE_FAILED,
                "control of a shard waits",
                level="WARNING",
                shard=self._lease.shard,
                kind=failure.kind.value,
                detail=repr(failure.detail),
            )
        self._failed = failure.kind
