"""Decides from crashes of workers which tasks cause them.

Load pattern: jobs arrive of which one task crashes every worker that starts it.
Several tasks run on each worker that goes down, and workers also crash by
themselves, alone or with their rack.

A task that crashes its worker does so soon after its start. So a crash is
evidence against the runs that had just started, the last one most of all, and
none against runs that the worker showed alive for a while. A suspected task
runs as the only new run of its worker: a crash then convicts it and explains
the crashes before, and survival acquits it.

A start that the worker did not confirm may not have reached it: a worker that
crashed silently does not answer, and is listed as down later. So such a start
is a reason for a trial, and no proof.

A worker that crashes while none of its runs is new has most likely crashed by
itself. Others of the pool that crash at the same time share that cause, so no
task is suspected for them. They still count for runs that were new there, as a
task that crashes each worker may do so beside other crashes.

Workers crash in spells, after which nothing may crash for long. The first crash
of a spell comes out of a calm, and a trial right after it runs in the same
spell. So crashes within a few seconds of each other are one observation, and
only a crash at a later moment can prove something.

The observations are weighed against the crashes of other workers of the pool in
the same time: a task is convicted once as many in a row would be very unlikely
for a task that does nothing. Where others crash often, that takes more of them,
so its next trial waits for a time at which one more crash would be proof.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
import math
from typing import NamedTuple, Protocol

# A run that its worker showed alive for this long did not crash it by starting.
PROBATION_SECONDS = 0.25
# Number of crashes before a job may fail for them: a worker may crash by itself
# under any task once.
MIN_CRASHES = 2
# Crashes at any age of the run from which on a task needs a trial.
MAX_UNTRIED_CRASHES = 3
# Crashes within this time may be of one spell. The first trial does not wait for
# its end, so that a sound task goes on at once.
SPELL_SECONDS = 5.0
# Most crashes to weigh: the platform bars the third start after three crashes.
MAX_CRASHES = 5
# Chance at which crashes in a row are not put down to coincidence any more.
MAX_CHANCE = 1e-5
# Time for which crashes of other workers are weighed against those of a task.
BACKGROUND_SECONDS = 10.0
# Longest wait for a trial whose crash would be proof.
MAX_PROOF_WAIT_SECONDS = 30.0
# Delays of a long-running task that crashes its workers. It must have a run
# within 9 s, which includes the detection of the crash and the start.
FIRST_DELAY_SECONDS = 0.5
MAX_DELAY_SECONDS = 4.0
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
        early: Crashes in a row right after a start, whatever else crashed.
            It is not stored.
        moments: Independent observations among these. It is not stored.
    """

    crashes: int = 0
    suspicions: int = 0
    convicted: bool = False
    early: int = 0
    moments: int = 0

    @property
    def needs_trial(self) -> bool:
        """Whether the task must be the only new run of its worker."""
        return (
            self.suspicions > 0
            or self.crashes >= MAX_UNTRIED_CRASHES
            or self.early >= MIN_CRASHES
        )

    @property
    def early_crashes(self) -> int:
        """Crashes in a row right after a start, with a former holder's."""
        return max(self.early, self.suspicions)

    @property
    def observations(self) -> int:
        """Independent observations, with one of a former holder's crashes."""
        return max(self.moments, min(1, self.suspicions))


NO_CRASHES = CrashRecord()


class Suspect(Protocol):
    """A task that had just started on a worker that crashed."""

    crash_record: CrashRecord
    done: bool


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


class PastCrash(NamedTuple):
    """A crash of a worker of the pool, as background of later ones.

    Attributes:
        at: Monotonic time at which it became known.
        tasks: Tasks that were on the worker.
        suspects: Those of them that had just started.
    """

    at: float
    tasks: frozenset[Hashable]
    suspects: frozenset[Suspect] = frozenset()

    @property
    def has_suspect(self) -> bool:
        """Whether a task is still suspected of it."""
        return any(
            suspect.crash_record.needs_trial and not suspect.done
            for suspect in self.suspects
        )


class Circumstances(NamedTuple):
    """What a crash of a worker means for the tasks on it.

    Attributes:
        suspects: Number of tasks there that had just started.
        lost_with_rack: Whether another worker of the rack crashed at the time.
        has_outside_cause: Whether another worker of the pool crashed at the
            time and neither a start nor a drain explains it.
        background_rate: Crashes per second and worker of the pool that the
            task is not among the possible causes of.
        is_confirmed: Whether the worker had confirmed the start of the run.
        seconds_since_last: Time since a worker crashed right after the former
            start of the task.
    """

    suspects: int
    lost_with_rack: bool = False
    has_outside_cause: bool = False
    background_rate: float = 0.0
    is_confirmed: bool = True
    seconds_since_last: float = math.inf


def background_rate(
    crashes: Iterable[PastCrash],
    task: Hashable,
    workers: int,
    now: float,
    watched_since: float,
) -> float:
    """Returns the crashes per second and worker that a task did not cause.

    Those that other suspected tasks may have caused do not count. A holder that
    has not watched the pool for long allows for one that it did not see.

    Args:
        crashes: Past crashes of workers of the pool.
        task: The task.
        workers: Number of workers of the pool.
        now: Monotonic time.
        watched_since: Monotonic time from which on crashes are known.
    """
    others = sum(
        now - crash.at < BACKGROUND_SECONDS
        and task not in crash.tasks
        and not crash.has_suspect
        for crash in crashes
    )
    unseen = now - watched_since < BACKGROUND_SECONDS
    return (others + unseen) / (max(1, workers) * BACKGROUND_SECONDS)


def crashes_needed(rate: float, seconds: float) -> float:
    """Returns how many crashes in a row are proof against a task.

    Args:
        rate: Crashes per second and worker that the task did not cause.
        seconds: Age that none of the crashed runs had reached.

    Returns:
        The number; infinity if none is.
    """
    chance = rate * seconds
    if chance >= 1.0:
        return math.inf
    if chance <= 0.0:
        return MIN_CRASHES
    return max(MIN_CRASHES, math.ceil(math.log(MAX_CHANCE) / math.log(chance)))


def may_try(record: CrashRecord, rate: float, waited_seconds: float) -> bool:
    """Whether a finite suspected task may be started now.

    Args:
        record: What crashes told.
        rate: Crashes per second and worker that the task did not cause.
        waited_seconds: Time since its last run.
    """
    if waited_seconds >= MAX_PROOF_WAIT_SECONDS:
        return True
    if record.early_crashes >= MIN_CRASHES:
        # Leaves a margin, as others may crash at the same time.
        needed = crashes_needed(rate, 2 * RACK_LOSS_SECONDS)
        return (
            waited_seconds >= SPELL_SECONDS
            and needed <= record.observations + 1
        )
    return (
        record.crashes < MAX_UNTRIED_CRASHES
        or crashes_needed(rate, ACQUITTAL_SECONDS) <= MAX_CRASHES
    )


def restart_delay_seconds(record: CrashRecord, rate: float) -> float:
    """Returns how long a long-running task waits after a crash.

    It waits if its crashes are unlikely for a task that does nothing. Unlike a
    conviction, that needs no independent observations, as it ends no job.

    Args:
        record: What crashes told.
        rate: Crashes per second and worker that the task did not cause.
    """
    needed = crashes_needed(rate, PROBATION_SECONDS)
    if not record.convicted and record.early_crashes < needed:
        return 0.0
    doublings = max(0, record.crashes - MIN_CRASHES)
    return float(min(MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * 2.0**doublings))


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
    is_new = survived_seconds < PROBATION_SECONDS
    is_explained = bool(crash.suspects) or crash.has_outside_cause
    if survived_seconds >= ACQUITTAL_SECONDS or (is_explained and not is_new):
        return record
    # A task that always crashes its worker may do so beside other crashes.
    suspected = is_new and not crash.has_outside_cause
    crashes = record.crashes + 1
    suspicions = record.suspicions + suspected
    early = record.early_crashes + 1 if is_new else 0
    is_observation = is_new and (
        not record.observations
        or (crash.is_confirmed and crash.seconds_since_last >= SPELL_SECONDS)
    )
    moments = record.observations + is_observation if is_new else 0
    was_alone = is_new and crash.suspects == 1
    has_common_cause = crash.has_outside_cause or crash.lost_with_rack
    if was_alone and not crash.lost_with_rack and suspicions >= MIN_CRASHES:
        least = MIN_CRASHES
    elif was_alone or suspicions >= MAX_UNTRIED_CRASHES:
        least = MAX_UNTRIED_CRASHES
    else:
        least = MAX_CRASHES
    rate = crash.background_rate
    seconds = RACK_LOSS_SECONDS if has_common_cause else PROBATION_SECONDS
    convicted = (
        is_observation and moments >= max(least, crashes_needed(rate, seconds))
    ) or crashes >= max(MAX_CRASHES, crashes_needed(rate, ACQUITTAL_SECONDS))
    return CrashRecord(crashes, suspicions, convicted, early, moments)


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
        return CrashRecord(record.crashes)
    return record


def record_explanation(record: CrashRecord) -> CrashRecord:
    """Takes back a crash, as it has been explained by another task.

    Args:
        record: What crashes told.

    Returns:
        The new record.
    """
    early = max(0, record.early - 1)
    return CrashRecord(
        max(0, record.crashes - 1),
        max(0, record.suspicions - 1),
        early=early,
        moments=min(record.moments, early),
    )
