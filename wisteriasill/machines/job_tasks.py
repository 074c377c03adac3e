"""Task calls to the workers, and the observed state of one pool's tasks.

A task runs at most until its lease expires. The lease is counted from the
return of the last call that may have extended it, so the expiry on this
process's clock is never earlier than on the worker's.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
import enum
import math
from typing import Any, NamedTuple, TypeVar

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill.contracts import jobs
from wisteriasill.links import platform

# Long-running jobs tolerate a minute's wait after the loss of a host. Renewals
# at a third of it take about 200 calls a second for 4,100 tasks.
LEASE_SECONDS = 60.0
RENEWAL_PERIOD_SECONDS = 20.0
FIRST_RENEWAL_SECONDS = 0.9  # Due in the step after the start.
# A call that timed out may still reach the worker within this time.
DELIVERY_SECONDS = 5.0

# Calls to a slow host are skipped for a while, so that its timeouts don't use
# up the time of every step.
SLOW_CALL_SECONDS = 0.5
SLOW_HOST_BACKOFF_SECONDS = 3.0

T = TypeVar("T")

_ErrorKind = errors.ErrorKind


class TaskStatus(enum.StrEnum):
    """Status of a task, as far as this process knows it."""

    RUNNING = "running"  # The worker has just confirmed it.
    UNCERTAIN = "uncertain"  # It may be running.
    REFUSED = "refused"  # It was never started.
    ENDED = "ended"  # The worker reports that it has ended.
    LAPSED = "lapsed"  # Its lease has expired.


class TaskObservation(NamedTuple):
    """A task's state as observed by this process.

    Attributes:
        confirmed: Whether the worker is known to have had the task.
        started_at: Time at which this process started or adopted the task.
        renewed_at: Time of the last confirmed renewal.
        may_run_until: Latest time at which the task can still be running
            without another renewal.
        ended_at: Time at which the worker reported the end.
        checkpointed_at: Time of the last checkpoint by this process.
        healthy: Whether it ran long enough to show that its host works.
    """

    confirmed: bool
    started_at: float
    renewed_at: float
    may_run_until: float
    ended_at: float = math.inf
    checkpointed_at: float = -math.inf
    healthy: bool = False


class JobTasks:
    """Calls to the workers, with an observation of each task."""

    def __init__(
        self, platform_: platform.Platform, clock: clocks.Clock
    ) -> None:
        self._tasks = platform_.tasks
        self._clock = clock
        self._observation_by_task: dict[str, TaskObservation] = {}
        self._backoff_until_by_host: dict[str, float] = {}

    def observation_of(self, job: jobs.Job) -> TaskObservation:
        """Returns the observation of a job's task; adopts an unknown task.

        A call in flight of the former holder may renew the task's lease once
        after this process took over. An adopted task may therefore run for
        two lease periods.
        """
        observation = self._observation_by_task.get(job.task_id)
        if observation is None:
            now = self._clock.monotonic()
            until = now + 2 * LEASE_SECONDS + DELIVERY_SECONDS
            observation = TaskObservation(
                False, now, -math.inf, until, checkpointed_at=now
            )
            self._observation_by_task[job.task_id] = observation
        return observation

    def mark_healthy(self, job: jobs.Job) -> None:
        """Records that a task ran long enough to show that its host works."""
        self._update(job, healthy=True)

    def keep_only(self, stored_jobs: Iterable[jobs.Job]) -> None:
        """Drops the observations of tasks that no stored row names.

        An end that is not stored yet must not be forgotten, as a task that is
        unknown here may be started again.
        """
        named = {job.task_id for job in stored_jobs}
        self._observation_by_task = {
            task_id: observation
            for task_id, observation in self._observation_by_task.items()
            if task_id in named
        }

    def forget_all(self) -> None:
        """Drops all observations, after a change of holder."""
        self._observation_by_task.clear()

    def track_new(self, job: jobs.Job) -> None:
        """Tracks a new task for which no call has been made yet."""
        now = self._clock.monotonic()
        self._observation_by_task[job.task_id] = TaskObservation(
            False, now, -math.inf, -math.inf, checkpointed_at=now
        )

    def start(self, job: jobs.Job) -> TaskStatus:
        """Starts a job's task; safe to retry.

        A worker refuses a task that runs or has run there, so a retry is
        idempotent and resolves a start of unknown outcome.
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
            return self._record_running(job)
        kind = outcome.failure().kind
        if kind is _ErrorKind.CONFLICT:
            self._update(job, confirmed=True)
            return self.renew(job)
        if kind is _ErrorKind.STORE_OUTCOME_UNKNOWN:
            self._extend_may_run_until(job)
            return TaskStatus.UNCERTAIN
        if self._clock.monotonic() >= self.observation_of(job).may_run_until:
            return TaskStatus.REFUSED
        return TaskStatus.UNCERTAIN

    def renew(self, job: jobs.Job) -> TaskStatus:
        """Renews the lease of a job's task and returns its status.

        A task that was never confirmed is started if the worker doesn't know
        it. A start by a former holder that is still in flight is then refused
        when it arrives.
        """
        outcome = self._call(
            job,
            lambda: self._tasks.renew_task(
                job.task_id, job.epoch, LEASE_SECONDS
            ),
        )
        if isinstance(outcome, result.Success):
            return self._record_running(job)
        kind = outcome.failure().kind
        if kind in (_ErrorKind.NOT_FOUND, _ErrorKind.CONFLICT):
            if not self.observation_of(job).confirmed:
                return self.start(job)
            self._record_end(job)
            return TaskStatus.ENDED
        if kind is _ErrorKind.STORE_OUTCOME_UNKNOWN:
            self._extend_may_run_until(job)
            return TaskStatus.UNCERTAIN
        return self._expired_or_uncertain(job)

    def stop(self, job: jobs.Job) -> TaskStatus:
        """Stops a job's task; returns ENDED if the worker has confirmed it.

        A task that has certainly ended is not stopped again.
        """
        if self.observation_of(job).ended_at < math.inf:
            return TaskStatus.ENDED
        status = self._stop(job)
        if status is not TaskStatus.UNCERTAIN:
            self._record_end(job)
        return status

    def _stop(self, job: jobs.Job) -> TaskStatus:
        outcome = self._call(
            job, lambda: self._tasks.stop_task(job.task_id, job.epoch)
        )
        if isinstance(outcome, result.Success):
            return TaskStatus.ENDED
        if outcome.failure().kind not in (
            _ErrorKind.NOT_FOUND,
            _ErrorKind.CONFLICT,
        ):
            return self._expired_or_uncertain(job)
        if self.observation_of(job).confirmed:
            return TaskStatus.ENDED
        if self.observation_of(job).may_run_until == -math.inf:
            return TaskStatus.REFUSED
        # A start may still be in flight. Starting and stopping the task makes
        # the worker refuse it when it arrives.
        if self.start(job) is TaskStatus.RUNNING:
            return self._stop(job)
        return self._expired_or_uncertain(job)

    def checkpoint(self, job: jobs.Job) -> str:
        """Takes a checkpoint and returns its name; empty if that failed."""
        outcome = self._call(
            job, lambda: self._tasks.checkpoint_task(job.task_id, job.epoch)
        )
        self._update(job, checkpointed_at=self._clock.monotonic())
        return outcome.value_or("")

    def is_renewal_due(self, job: jobs.Job) -> bool:
        """Returns whether the renewal of a task's lease is due.

        New tasks are renewed more often, since many fail right after the
        start.
        """
        observation = self.observation_of(job)
        now = self._clock.monotonic()
        age = observation.renewed_at - observation.started_at
        period_seconds = min(
            max(age, FIRST_RENEWAL_SECONDS), RENEWAL_PERIOD_SECONDS
        )
        return now - observation.renewed_at >= period_seconds

    def _call(
        self,
        job: jobs.Job,
        call: Callable[[], result.Result[T, errors.Failure]],
    ) -> result.Result[T, errors.Failure]:
        """Makes a call, unless a recent call to its host was slow."""
        began_at = self._clock.monotonic()
        if self._backoff_until_by_host.get(job.host_id, -math.inf) > began_at:
            return result.Failure(
                errors.failure(
                    _ErrorKind.STORE_UNAVAILABLE,
                    f"host {job.host_id} was slow to respond; call skipped",
                )
            )
        outcome = call()
        ended_at = self._clock.monotonic()
        if ended_at - began_at > SLOW_CALL_SECONDS:
            self._backoff_until_by_host[job.host_id] = (
                ended_at + SLOW_HOST_BACKOFF_SECONDS
            )
        return outcome

    def _expired_or_uncertain(self, job: jobs.Job) -> TaskStatus:
        if self._clock.monotonic() > self.observation_of(job).may_run_until:
            return TaskStatus.LAPSED
        return TaskStatus.UNCERTAIN

    def _record_running(self, job: jobs.Job) -> TaskStatus:
        now = self._clock.monotonic()
        self._update(job, confirmed=True, renewed_at=now)
        self._extend_may_run_until(job)
        return TaskStatus.RUNNING

    def _extend_may_run_until(self, job: jobs.Job) -> None:
        now = self._clock.monotonic()
        until = now + LEASE_SECONDS + DELIVERY_SECONDS
        until = max(until, self.observation_of(job).may_run_until)
        self._update(job, may_run_until=until)

    def _record_end(self, job: jobs.Job) -> None:
        now = self._clock.monotonic()
        ended_at = min(now, self.observation_of(job).ended_at)
        self._update(job, ended_at=ended_at)

    def _update(self, job: jobs.Job, **changes: Any) -> None:
        observation = self.observation_of(job)
        self._observation_by_task[job.task_id] = observation._replace(**changes)
