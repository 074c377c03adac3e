"""Tasks of one pool's jobs on the workers, and what is certain about them.

A task runs at most until its lease lapses. The lease is counted from the
return of the last call that may have extended it, so the time on this
process's clock is never earlier than the worker's.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import math
from typing import Any, NamedTuple, TypeVar

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.contracts import jobs
from wisteriasill.links import platform

# Long-running jobs bear a minute's wait after a host is lost, and a third of
# it between renewals keeps 4,100 tasks at about 200 calls a second.
LEASE_SECONDS = 60.0
RENEWAL_SECONDS = 20.0
FIRST_RENEWAL_SECONDS = 0.9  # In the step after that of the start.
# A call that was given up may still reach the worker within this time.
DELIVERY_SECONDS = 5.0

# A host whose calls time out must not use up the time of every step.
SLOW_CALL_SECONDS = 0.5
AVOIDANCE_SECONDS = 3.0

T = TypeVar("T")

_KIND = errors.ErrorKind


class Standing(enum.StrEnum):
    """What is certain about a task."""

    RUNNING = "running"  # The worker confirmed it just now.
    UNCERTAIN = "uncertain"  # It may run.
    REFUSED = "refused"  # It was never started.
    ENDED = "ended"  # The worker says that it runs no more.
    LAPSED = "lapsed"  # Its lease has run out.


class Watch(NamedTuple):
    """What this process knows about a task.

    Attributes:
        confirmed: Whether the worker is known to have had the task.
        started_at: When this process started or adopted the task.
        renewed_at: Last renewal that was confirmed.
        may_run_until: No later than this without another renewal.
        ended_at: When the worker said that it runs no more.
        checkpointed_at: Last checkpoint by this process.
        proven: Whether it ran long enough to prove its host.
    """

    confirmed: bool
    started_at: float
    renewed_at: float
    may_run_until: float
    ended_at: float = math.inf
    checkpointed_at: float = -math.inf
    proven: bool = False


class JobTasks:
    """Calls to the workers, and the watches of the tasks."""

    def __init__(
        self, platform_: platform.Platform, clock: clocks.Clock
    ) -> None:
        self._tasks = platform_.tasks
        self._clock = clock
        self._watches: dict[str, Watch] = {}
        self._avoided_until: dict[str, float] = {}

    def watch_of(self, job: jobs.Job) -> Watch:
        """Returns the watch of a job's task, adopting it if it is unknown.

        A former holder may have renewed the task's lease once after this
        process took over, by a call that was under way; hence twice the
        lease.
        """
        watch = self._watches.get(job.task_id)
        if watch is None:
            now = self._clock.monotonic()
            until = now + 2 * LEASE_SECONDS + DELIVERY_SECONDS
            watch = Watch(False, now, -math.inf, until, checkpointed_at=now)
            self._watches[job.task_id] = watch
        return watch

    def set_proven(self, job: jobs.Job) -> None:
        """Notes that a task ran long enough to prove its host."""
        self._update(job, proven=True)

    def forget(self, job: jobs.Job) -> None:
        """Drops the watch of a task that certainly runs no more."""
        self._watches.pop(job.task_id, None)

    def adopt_again(self) -> None:
        """Treats all tasks as unknown, after a change of holder."""
        self._watches.clear()

    def expect(self, job: jobs.Job) -> None:
        """Notes that no call has yet been made for a new task."""
        now = self._clock.monotonic()
        self._watches[job.task_id] = Watch(
            False, now, -math.inf, -math.inf, checkpointed_at=now
        )

    def start(self, job: jobs.Job) -> Standing:
        """Starts a job's task, or the same task once more.

        A worker refuses a task that it has or had, so a repeat is harmless
        and makes an uncertain start certain.
        """
        order = platform.TaskOrder(
            job.task_id,
            job.job_id,
            job.epoch,
            job.cores,
            job.memory_gib,
            job.accelerators,
            LEASE_SECONDS,
            job.checkpoint,
        )
        outcome = self._call(
            job, lambda: self._tasks.start_task(job.host_id, order)
        )
        if isinstance(outcome, result.Success):
            return self._confirm(job)
        kind = outcome.failure().kind
        if kind is _KIND.CONFLICT:
            self._update(job, confirmed=True)
            return self.renew(job)
        if kind is _KIND.STORE_OUTCOME_UNKNOWN:
            self._extend(job)
            return Standing.UNCERTAIN
        if self._clock.monotonic() >= self.watch_of(job).may_run_until:
            return Standing.REFUSED
        return Standing.UNCERTAIN

    def renew(self, job: jobs.Job) -> Standing:
        """Renews the lease of a job's task, and learns whether it runs.

        A task that this process hasn't yet seen is started again if the
        worker doesn't know it: a former holder's start may still arrive, and
        is refused after that.
        """
        outcome = self._call(
            job,
            lambda: self._tasks.renew_task(
                job.task_id, job.epoch, LEASE_SECONDS
            ),
        )
        if isinstance(outcome, result.Success):
            return self._confirm(job)
        kind = outcome.failure().kind
        if kind in (_KIND.NOT_FOUND, _KIND.CONFLICT):
            if not self.watch_of(job).confirmed:
                return self.start(job)
            self._note_end(job)
            return Standing.ENDED
        if kind is _KIND.STORE_OUTCOME_UNKNOWN:
            self._extend(job)
            return Standing.UNCERTAIN
        return self._lapsed_or_uncertain(job)

    def stop(self, job: jobs.Job) -> Standing:
        """Stops a job's task; ENDED once the worker confirms it."""
        outcome = self._call(
            job, lambda: self._tasks.stop_task(job.task_id, job.epoch)
        )
        if isinstance(outcome, result.Success):
            return Standing.ENDED
        if outcome.failure().kind not in (_KIND.NOT_FOUND, _KIND.CONFLICT):
            return self._lapsed_or_uncertain(job)
        if self.watch_of(job).confirmed:
            return Standing.ENDED
        if self.watch_of(job).may_run_until == -math.inf:
            return Standing.REFUSED
        # The start may still arrive. The worker refuses it once the task has
        # been started and stopped.
        if self.start(job) is Standing.RUNNING:
            return self.stop(job)
        return self._lapsed_or_uncertain(job)

    def checkpoint(self, job: jobs.Job) -> str:
        """Makes a checkpoint; empty if there is none."""
        outcome = self._call(
            job, lambda: self._tasks.checkpoint_task(job.task_id, job.epoch)
        )
        self._update(job, checkpointed_at=self._clock.monotonic())
        return outcome.value_or("")

    def is_due(self, job: jobs.Job) -> bool:
        """Returns whether a task's lease is to be renewed.

        A young task is renewed more often, since many failures come at once
        after a start.
        """
        watch = self.watch_of(job)
        now = self._clock.monotonic()
        age = watch.renewed_at - watch.started_at
        period = min(max(age, FIRST_RENEWAL_SECONDS), RENEWAL_SECONDS)
        return now - watch.renewed_at >= period

    def _call(
        self,
        job: jobs.Job,
        call: Callable[[], result.Result[T, errors.Failure]],
    ) -> result.Result[T, errors.Failure]:
        """Makes a call, unless a call to its host was slow just now."""
        began_at = self._clock.monotonic()
        if self._avoided_until.get(job.host_id, -math.inf) > began_at:
            return result.Failure(
                errors.failure(
                    _KIND.STORE_UNAVAILABLE,
                    f"host {job.host_id} did not answer a moment ago",
                )
            )
        outcome = call()
        ended_at = self._clock.monotonic()
        if ended_at - began_at > SLOW_CALL_SECONDS:
            self._avoided_until[job.host_id] = ended_at + AVOIDANCE_SECONDS
        return outcome

    def _lapsed_or_uncertain(self, job: jobs.Job) -> Standing:
        if self._clock.monotonic() > self.watch_of(job).may_run_until:
            return Standing.LAPSED
        return Standing.UNCERTAIN

    def _confirm(self, job: jobs.Job) -> Standing:
        now = self._clock.monotonic()
        self._update(job, confirmed=True, renewed_at=now)
        self._extend(job)
        return Standing.RUNNING

    def _extend(self, job: jobs.Job) -> None:
        now = self._clock.monotonic()
        until = now + LEASE_SECONDS + DELIVERY_SECONDS
        until = max(until, self.watch_of(job).may_run_until)
        self._update(job, may_run_until=until)

    def _note_end(self, job: jobs.Job) -> None:
        now = self._clock.monotonic()
        ended_at = min(now, self.watch_of(job).ended_at)
        self._update(job, ended_at=ended_at)

    def _update(self, job: jobs.Job, **changes: Any) -> None:
        watch = self.watch_of(job)
        self._watches[job.task_id] = watch._replace(**changes)
