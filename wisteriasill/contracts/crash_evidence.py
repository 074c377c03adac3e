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

A crash proves nothing if other workers crash at about the same time, here or in
other pools, unless a task on trial accounts for theirs. Some of them become
known later, so a verdict waits for them.

Workers crash in spells, after which nothing may crash for long. The first crash
of a spell comes out of a calm, and a trial right after it runs in the same
spell. So crashes within a few seconds of each other are one observation, and
only a crash at a later moment can prove something.

The observations are weighed against the crashes of other workers of the pool in
the same time: a task is convicted once as many in a row would be very unlikely
for a task that does nothing. Where others crash often, that takes more of them,
so its next trial waits for a time at which one more crash would be proof.

A conviction explains the crashes that the convicted task shared with others.
One of these may crash its workers as well, and the platform counts the shared
crash under it. So explained crashes are no evidence, but they leave fewer
starts until a task is given up.
"""

from __future__ import annotations

import bisect
from collections.abc import Hashable, Iterable, Sequence
import itertools
import math
from typing import NamedTuple, Protocol

# A run that its worker showed alive for this long did not crash it by starting.
PROBATION_SECONDS = 0.25
# Number of crashes before a job may fail for them: a worker may crash by itself
# under any task once.
MIN_CRASHES = 2
# Crashes at any age of the run from which on a task needs a trial.
MAX_UNTRIED_CRASHES = 3
# Crashes within this time may be of one spell. The first trial does not wait
# for its end, so that a sound task goes on at once.
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
# Crashes of workers within this time may have a common cause, whichever of them
# becomes known first.
COMMON_CAUSE_SECONDS = 1.0
# The crash of a worker under a run that it showed alive for this long is no
# evidence: under a long-running task, many workers crash over days.
ACQUITTAL_SECONDS = 2.0


class CrashRecord(NamedTuple):
    """What crashes tell about a task.

    Attributes:
        crashes: Workers that crashed while a run of the task was on them, and
            for which no other task was convicted.
        suspicions: Those that crashed right after the start of the run.
        convicted: Whether the task crashes its workers.
        early: Crashes in a row right after a start, whatever else crashed.
            It is not stored; `early_crashes` allows for that.
        moments: Independent observations among these. It is not stored;
            `observations` allows for that.
        explained: Crashes for which another task was convicted. It is not
            stored.
    """

    crashes: int = 0
    suspicions: int = 0
    convicted: bool = False
    early: int = 0
    moments: int = 0
    explained: int = 0

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

    @property
    def needs_proof(self) -> bool:
        """Whether its next trial waits until a crash would prove something.

        One crash beside a convicted task counts: the task may have caused it
        as well, and few more starts may follow.
        """
        early = self.early_crashes
        return early > 0 and early + self.explained >= MIN_CRASHES

    @property
    def may_share_trial(self) -> bool:
        """Whether its trial may run beside others of this kind.

        A trial that was to prove something has not, so the task is likely to
        reach the number of crashes at which it is given up unproven.
        """
        early = self.early_crashes
        return early > 0 and early + self.explained > MIN_CRASHES

    @property
    def crashes_allowed(self) -> int:
        """Unexplained crashes at which the task may be given up unproven.

        Explained ones lower the number, as they count as crashes under the
        task, though not as evidence: the trials after them wait for it.
        """
        return max(MAX_UNTRIED_CRASHES, MAX_CRASHES - self.explained)

    def needs_verdict(self, former: CrashRecord) -> bool:
        """Whether the crash after a former record may help to convict."""
        return self.convicted or self.moments > max(1, former.observations)


NO_CRASHES = CrashRecord()


class Suspect(Protocol):
    """A task that had just started on a worker that crashed."""

    crash_record: CrashRecord
    done: bool


class WorkerCrash(NamedTuple):
    """A crash of a worker of the pool.

    Attributes:
        at: Monotonic time at which it became known.
        is_explained: Whether a start or a drain may have caused it.
        is_settled: Whether the worker may have left as it was to, or a
            convicted task crashed it.
        tasks: Tasks that were on the worker.
        suspects: Those of them that had just started.
        tried: Those of the suspects that had been suspected before.
        is_shared: Whether trials of others may have run beside one of theirs.
    """

    at: float
    is_explained: bool = False
    is_settled: bool = False
    tasks: frozenset[Hashable] = frozenset()
    suspects: frozenset[Suspect] = frozenset()
    tried: frozenset[Suspect] = frozenset()
    is_shared: bool = False

    @property
    def has_suspect(self) -> bool:
        """Whether a task is still suspected of it."""
        return any(map(_is_suspected, self.suspects))

    @property
    def is_accounted_for(self) -> bool:
        """Whether it is put down to a drain or to a suspected task."""
        return self.is_settled or any(map(_is_suspected, self.tried))


def _is_suspected(task: Suspect) -> bool:
    return task.crash_record.needs_trial and not task.done


class Circumstances(NamedTuple):
    """What a crash of a worker means for the tasks on it.

    Attributes:
        suspects: Number of tasks there that had just started.
        has_outside_cause: Whether another worker of the pool crashed at about
            the time and neither a start nor a drain explains it.
        has_common_cause: Whether another worker, also of another pool, crashed
            at about the time and is not accounted for.
        is_beside_trial: Whether a worker crashed at about the time under a
            trial that this one may have run beside.
        background_rate: Crashes per second and worker of the pool that the
            task is not among the possible causes of.
        isolated_rate: The same of isolated crashes only.
        is_confirmed: Whether the worker had confirmed the start of the run.
        seconds_since_last: Time from the crash after the former start of the
            task until the worker was last known to be up.
    """

    suspects: int
    has_outside_cause: bool = False
    has_common_cause: bool = False
    is_beside_trial: bool = False
    background_rate: float = 0.0
    isolated_rate: float = 0.0
    is_confirmed: bool = True
    seconds_since_last: float = math.inf


def background_rate(
    crashes: Iterable[WorkerCrash],
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
        and not crash.is_settled
        and not crash.has_suspect
        for crash in crashes
    )
    unseen = now - watched_since < BACKGROUND_SECONDS
    return (others + unseen) / (max(1, workers) * BACKGROUND_SECONDS)


def isolated_crashes(
    crashes: Iterable[WorkerCrash], elsewhere_at: Iterable[float]
) -> list[WorkerCrash]:
    """Returns the crashes beside which no other worker crashed.

    The others prove nothing, so they tell nothing either about how often a
    crash looks like proof by chance.

    Args:
        crashes: Crashes of workers of the pool.
        elsewhere_at: Monotonic times of crashes in other pools.
    """
    crashes = [*crashes]
    times = sorted(
        itertools.chain(
            (crash.at for crash in crashes if not crash.is_accounted_for),
            elsewhere_at,
        )
    )
    return [
        crash
        for crash in crashes
        # One that is not accounted for is among the times itself.
        if _count_beside(times, crash.at) <= (not crash.is_accounted_for)
    ]


def _count_beside(times: Sequence[float], at: float) -> int:
    """Counts the sorted times that may share a cause with a crash."""
    return bisect.bisect_left(
        times, at + COMMON_CAUSE_SECONDS
    ) - bisect.bisect_right(times, at - COMMON_CAUSE_SECONDS)


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


def quiet_seconds(
    crashes: Iterable[WorkerCrash],
    task: Hashable,
    elsewhere_at: Iterable[float],
    now: float,
) -> float:
    """Returns for how long no crash has weakened the evidence against a task.

    Args:
        crashes: Past crashes of workers of the pool.
        task: The task.
        elsewhere_at: Monotonic times of crashes in other pools.
        now: Monotonic time.
    """
    others_at = (
        crash.at
        for crash in crashes
        if task not in crash.tasks and not crash.is_accounted_for
    )
    last_at = max(itertools.chain(others_at, elsewhere_at), default=-math.inf)
    return now - last_at


class TrialConditions(NamedTuple):
    """What a crash of a worker at present would be weighed against.

    Attributes:
        background_rate: As in `Circumstances`.
        isolated_rate: As in `Circumstances`.
        waited_seconds: Time since the last run of the task.
        quiet_seconds: Time as of `quiet_seconds`.
    """

    background_rate: float
    isolated_rate: float
    waited_seconds: float
    quiet_seconds: float


def may_try(record: CrashRecord, conditions: TrialConditions) -> bool:
    """Whether a finite suspected task may be started now.

    Args:
        record: What crashes told.
        conditions: Conditions of its trial.
    """
    if conditions.waited_seconds >= MAX_PROOF_WAIT_SECONDS:
        return True
    if record.needs_proof:
        # Leaves a margin, as others may crash at the same time.
        needed = crashes_needed(
            conditions.isolated_rate, 2 * COMMON_CAUSE_SECONDS
        )
        return (
            conditions.waited_seconds >= SPELL_SECONDS
            and conditions.quiet_seconds >= SPELL_SECONDS
            and needed <= record.observations + 1
        )
    return (
        record.crashes < MAX_UNTRIED_CRASHES
        or crashes_needed(conditions.background_rate, ACQUITTAL_SECONDS)
        <= MAX_CRASHES
    )


def may_try_beside(record: CrashRecord, others: Iterable[CrashRecord]) -> bool:
    """Whether a trial may run while others may be proof.

    Two that crash together excuse each other, as a burst may have caused both
    crashes. So only those may that need no proof to be given up.

    Args:
        record: What crashes told of the task.
        others: The same of the tasks whose trials may be proof, as of before
            their crashes.
    """
    records = [*others]
    return not records or all(one.may_share_trial for one in (record, *records))


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


class CrashTime(NamedTuple):
    """When a worker crashed, as far as it is known.

    Attributes:
        alive_at: Monotonic time at which the worker was last known to be up.
        at: Monotonic time at which the crash became known.
    """

    alive_at: float
    at: float

    def may_share_cause(self, other_at: float) -> bool:
        """Whether a crash that became known at another time may be of it."""
        return (
            self.alive_at - COMMON_CAUSE_SECONDS
            < other_at
            < self.at + COMMON_CAUSE_SECONDS
        )


def circumstances(
    suspects: int,
    time: CrashTime,
    others: Iterable[WorkerCrash],
    elsewhere_at: Iterable[float] = (),
) -> Circumstances:
    """Returns the circumstances of a crash.

    Args:
        suspects: Number of tasks on the worker that had just started.
        time: When it happened.
        others: Crashes of other workers of the pool.
        elsewhere_at: Monotonic times of crashes in other pools.
    """
    beside = [other for other in others if time.may_share_cause(other.at)]
    return Circumstances(
        suspects,
        any(not crash.is_explained for crash in beside),
        any(not crash.is_accounted_for for crash in beside)
        or any(map(time.may_share_cause, elsewhere_at)),
        any(crash.is_shared and not crash.is_settled for crash in beside),
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
    is_explained = bool(crash.suspects) or crash.has_common_cause
    if survived_seconds >= ACQUITTAL_SECONDS or (is_explained and not is_new):
        return record
    # A task that always crashes its worker may do so beside other crashes.
    suspected = is_new and not crash.has_outside_cause
    crashes = record.crashes + 1
    suspicions = record.suspicions + suspected
    early = record.early_crashes + 1 if is_new else 0
    is_observation = is_new and (
        not record.observations
        or (
            crash.is_confirmed
            and crash.seconds_since_last >= SPELL_SECONDS
            and not crash.has_common_cause
            and not (record.may_share_trial and crash.is_beside_trial)
        )
    )
    moments = record.observations + is_observation if is_new else 0
    was_on_trial = crash.suspects == 1 and (
        suspicions >= MIN_CRASHES or early >= MAX_UNTRIED_CRASHES
    )
    least = MIN_CRASHES if was_on_trial else MAX_UNTRIED_CRASHES
    needed = crashes_needed(crash.isolated_rate, PROBATION_SECONDS)
    is_isolated = is_new and not crash.has_common_cause
    rate = crash.isolated_rate if is_isolated else crash.background_rate
    convicted = (
        is_observation and moments >= max(least, needed)
    ) or crashes >= max(
        record.crashes_allowed, crashes_needed(rate, ACQUITTAL_SECONDS)
    )
    return CrashRecord(
        crashes, suspicions, convicted, early, moments, record.explained
    )


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
        return CrashRecord(record.crashes, explained=record.explained)
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
        explained=record.explained + 1,
    )
