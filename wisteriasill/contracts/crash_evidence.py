"""Decides from crashes of workers which tasks cause them.

Load pattern: jobs arrive of which one task crashes every worker that starts it.
Several tasks run on each worker that goes down, and workers also crash by
themselves, alone or with their rack.

A task that crashes its worker does so soon after its start. So a crash is
evidence against the runs that had just started, the last one most of all, and
none against runs that the worker showed alive for a while. A suspected task
runs as the only new run of its worker: a crash then convicts it and explains
the crashes before, and survival acquits it.

A worker that crashes while none of its runs is new has most likely crashed by
itself. Others of the pool that crash at the same time share that cause.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# A run that its worker showed alive for this long did not crash it by starting.
PROBATION_SECONDS = 0.25
# Number of crashes before a job may fail for them: a worker may crash by itself
# under any task once.
MIN_CRASHES = 2
# Crashes right after a start that convict a task whatever else happened.
MAX_SUSPICIONS = 3
# Crashes at any age of the run that convict a task: the platform bars the third
# start after three crashes.
MAX_CRASHES = 5
# Crashes of workers of one rack within this time have a common cause, and so
# have crashes of workers of one pool if one of them had no new run.
RACK_LOSS_SECONDS = 1.0
# The crash of a worker under a run that it showed alive for this long is no
# evidence: under a long-running task, many workers crash over days.
ACQUITTAL_SECONDS = 2.0


class CrashRecord(NamedTuple):
    """What crashes tell about a task.

    Attributes:
        crashes: Workers that crashed while a run of the task was on them.
        suspicions: Those that crashed right after the start of the run.
        convicted: Whether the task crashes its workers.
    """

    crashes: int = 0
    suspicions: int = 0
    convicted: bool = False

    @property
    def needs_trial(self) -> bool:
        """Whether the task must be the only new run of its worker."""
        return self.suspicions > 0 or self.crashes >= MAX_SUSPICIONS


NO_CRASHES = CrashRecord()


class WorkerCrash(NamedTuple):
    """A crash of a worker of the pool.

    Attributes:
        at: Monotonic time at which it became known.
        rack: Rack of the worker's host.
        is_explained: Whether a start or a drain may have caused it.
    """

    at: float
    rack: str
    is_explained: bool


class Circumstances(NamedTuple):
    """What a crash of a worker means for the tasks on it.

    Attributes:
        suspects: Number of tasks there that had just started.
        lost_with_rack: Whether another worker of the rack crashed at the time.
        has_outside_cause: Whether another worker of the pool crashed at the
            time and neither a start nor a drain explains it.
    """

    suspects: int
    lost_with_rack: bool = False
    has_outside_cause: bool = False


_NOTHING_KNOWN = Circumstances(0)


def recent_crashes(
    crash_by_worker: Mapping[str, WorkerCrash], now: float
) -> dict[str, WorkerCrash]:
    """Returns the crashes that may have the same cause as one now."""
    return {
        worker_id: crash
        for worker_id, crash in crash_by_worker.items()
        if now - crash.at < RACK_LOSS_SECONDS
    }


def circumstances(
    suspects: int, rack: str, others: Iterable[WorkerCrash]
) -> Circumstances:
    """Returns the circumstances of a crash.

    Args:
        suspects: Number of tasks on the worker that had just started.
        rack: Rack of the worker's host.
        others: Crashes of other workers of the pool at about the same time.
    """
    others = [*others]
    return Circumstances(
        suspects,
        any(crash.rack == rack for crash in others),
        any(not crash.is_explained for crash in others),
    )


def record_crash(
    record: CrashRecord, survived_seconds: float, crash: Circumstances
) -> CrashRecord:
    """Adds the crash of a worker to the record of a task that ran there.

    Args:
        record: What earlier crashes told.
        survived_seconds: Time for which the worker showed the run alive.
        crash: Circumstances of the crash.

    Returns:
        The new record.
    """
    suspected = survived_seconds < PROBATION_SECONDS
    if (
        survived_seconds >= ACQUITTAL_SECONDS
        or crash.has_outside_cause
        or (crash.suspects and not suspected)
    ):
        return record
    crashes = record.crashes + 1
    suspicions = record.suspicions + suspected
    proved = (
        suspected
        and crash.suspects == 1
        and not crash.lost_with_rack
        and record.suspicions > 0
        and crashes >= MIN_CRASHES
    )
    return CrashRecord(
        crashes,
        suspicions,
        proved
        or (suspected and suspicions >= MAX_SUSPICIONS)
        or crashes >= MAX_CRASHES,
    )


def record_unwatched_crash(
    record: CrashRecord, crash: Circumstances = _NOTHING_KNOWN
) -> CrashRecord:
    """Adds the crash of a worker that nobody watched, as its holder changed.

    It tells nothing about the time between the start and the crash, so it is no
    suspicion.

    Args:
        record: What earlier crashes told.
        crash: Circumstances of the crash.

    Returns:
        The new record.
    """
    if crash.has_outside_cause:
        return record
    crashes = record.crashes + 1
    return CrashRecord(crashes, record.suspicions, crashes >= MAX_CRASHES)


def record_survival(
    record: CrashRecord, survived_seconds: float
) -> CrashRecord:
    """Clears what the survival of a run disproves.

    Args:
        record: What crashes told.
        survived_seconds: Time for which the worker showed the run alive.

    Returns:
        The new record.
    """
    if survived_seconds >= ACQUITTAL_SECONDS:
        return NO_CRASHES
    if survived_seconds >= PROBATION_SECONDS:
        return record._replace(suspicions=0)
    return record


def record_explanation(record: CrashRecord) -> CrashRecord:
    """Takes back a suspicion, as the crash has been explained by another task.

    Args:
        record: What crashes told.

    Returns:
        The new record.
    """
    return record._replace(suspicions=max(0, record.suspicions - 1))
