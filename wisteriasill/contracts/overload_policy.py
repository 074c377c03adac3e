"""Decides which jobs a node turns away at an overload, and until when.

Load pattern: a queue asks for three times what its pool can run, for longer
than hosts take to arrive. Nearly all of the jobs that are accepted then would
end when they are of no use any more, and their callers would learn it last.

A pool's holder publishes its backlog; each node decides by it without a call.
In doubt a job is accepted.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import math
from typing import Any, NamedTuple

from wisteriasill.contracts import work_order

# Time from the decision to move hosts to their first tasks, with a margin.
# Until then a backlog says nothing about the room of the coming seconds.
HOST_ARRIVAL_SECONDS = 2.5
# A holder publishes twice a second and nodes read as often; an older backlog
# may have been served since.
MAX_BACKLOG_AGE_SECONDS = 1.5
# Backlogs below are not published: no queue has a shorter objective.
MIN_PUBLISHED_SECONDS = 1.0
# Accepted work as a multiple of what a pool can run, as predictions are rough.
ADMISSION_FACTOR = 1.25
# Waiting work as a multiple of what the pool could run while a new job is of
# use. Jobs ahead of it may be given up meanwhile, so at 1 it might be served.
SURPLUS_FACTOR = 2.0
MIN_RETRY_SECONDS = 1
MAX_RETRY_SECONDS = 10
# Callers that were turned away return over this share of the time, added to
# it, so that they don't come back together.
RETRY_SPREAD = 0.5
# A caller that returns this much before its time is turned away again.
EARLY_SHARE = 0.5


class QueueNorm(NamedTuple):
    """What a pool's holder has learned of the jobs of a queue.

    Attributes:
        mean_core_seconds: Mean processor time of its jobs.
        time_factor: Measured as a multiple of declared run times.
    """

    mean_core_seconds: float
    time_factor: float


class PublishedBacklog(NamedTuple):
    """Work ahead of a new job, as the holder of its pool publishes it.

    Attributes:
        backlog: The least of the time in which hosts arrive.
        admitted_share: Share of the arriving work to accept while the backlog
            is too long.
        norm_by_queue: What is known of each queue's jobs.
    """

    backlog: work_order.Backlog
    admitted_share: float
    norm_by_queue: Mapping[str, QueueNorm]


class ObservedBacklog(NamedTuple):
    """A published backlog as a node has read it.

    Attributes:
        published: The backlog.
        age_seconds: Time since this node read it.
    """

    published: PublishedBacklog
    age_seconds: float


class NewJob(NamedTuple):
    """Properties of a job that decide whether it is accepted.

    Attributes:
        queue: Name of its queue.
        rank: Constant number of the job from 0 to 1, spread evenly.
        critical_path_seconds: Declared time of its critical path.
        core_seconds: Declared processor time.
        stretch: Its objective as a multiple of the critical path.
        target_latency_seconds: Time added to the objective.
    """

    queue: str
    rank: float
    critical_path_seconds: float
    core_seconds: float
    stretch: float
    target_latency_seconds: float


class BacklogWindow:
    """The least backlog of the time in which hosts arrive.

    A new window knows nothing, so a new holder turns no job away before it has
    met its workers.
    """

    def __init__(self, now: float) -> None:
        self._samples: collections.deque[tuple[float, work_order.Backlog]] = (
            collections.deque([(now, work_order.NO_BACKLOG)])
        )

    def add(self, backlog: work_order.Backlog, now: float) -> None:
        """Adds the current backlog.

        Args:
            backlog: The backlog.
            now: Monotonic time.
        """
        self._samples.append((now, backlog))
        while now - self._samples[0][0] > HOST_ARRIVAL_SECONDS:
            self._samples.popleft()

    @property
    def least(self) -> work_order.Backlog:
        """The least value of each field."""
        return work_order.Backlog(
            *(
                min(values)
                for values in zip(
                    *(backlog for _, backlog in self._samples), strict=True
                )
            )
        )


def encode(published: PublishedBacklog) -> list[Any]:
    """Turns a backlog into plain data."""
    return [
        [round(value, 3) for value in published.backlog],
        round(published.admitted_share, 3),
        {
            queue: [round(value, 3) for value in norm]
            for queue, norm in published.norm_by_queue.items()
        },
    ]


def decode(data: Any) -> PublishedBacklog | None:
    """Decodes a backlog; None for one that can't be read."""
    try:
        backlog, admitted_share, norms, *_ = data
        in_time, deferred, useful, costliest, *_ = map(float, backlog)
        return PublishedBacklog(
            work_order.Backlog(in_time, deferred, useful, costliest),
            float(admitted_share),
            {
                str(queue): QueueNorm(float(mean), float(factor))
                for queue, (mean, factor) in norms.items()
            },
        )
    except (AttributeError, TypeError, ValueError):
        return None


def admitted_share(cores: float, offered_cores: float) -> float:
    """Returns the share of the arriving work that a pool can run.

    Args:
        cores: Cores of the pool that are not used by long-running tasks.
        offered_cores: Work that arrives in core-seconds a second, also that of
            jobs that are turned away.
    """
    return min(1.0, ADMISSION_FACTOR * cores / max(offered_cores, 0.001))


def seconds_until_useful(
    job: NewJob, observed: ObservedBacklog | None
) -> float | None:
    """Returns when a job that would be of no use now should come again.

    While the backlog is too long, as much work is accepted as the pool can run.
    It then never lacks jobs that can be in time when the peak ends, although
    nodes learn of the backlog late. Any other job is turned away if it can
    neither meet its objective, without taking the place of one that needs less
    room for its value, nor end before the last of its value is gone.

    Args:
        job: The job.
        observed: Backlog of its pool; None for none or an unknown one.

    Returns:
        Seconds until the queue has drained enough; None to accept the job.
    """
    if (
        observed is None
        or observed.age_seconds > MAX_BACKLOG_AGE_SECONDS
        or job.rank < observed.published.admitted_share
    ):
        return None
    backlog = observed.published.backlog
    norm = observed.published.norm_by_queue.get(job.queue)
    if norm is None or not math.isfinite(backlog.useful_seconds):
        return None
    # The longer time of the two gives the longer objective.
    path_seconds = job.critical_path_seconds * max(1.0, norm.time_factor)
    objective_seconds = path_seconds * job.stretch + job.target_latency_seconds
    cost = work_order.cost_by_value(
        job.core_seconds * norm.time_factor,
        work_order.value_of(
            job.core_seconds * norm.time_factor, norm.mean_core_seconds
        ),
    )
    fits_in_time = not backlog.deferred_seconds or cost < backlog.costliest
    last_start_seconds = (
        work_order.USEFUL_FACTOR * objective_seconds - path_seconds
    )
    if fits_in_time or (
        backlog.useful_seconds <= SURPLUS_FACTOR * last_start_seconds
    ):
        return None
    # It should meet its objective when it comes again.
    slack_seconds = objective_seconds - path_seconds
    return max(0.0, backlog.useful_seconds - slack_seconds)


def retry_after_seconds(wait_seconds: float, spread: float) -> int:
    """Returns the value of Retry-After in whole seconds.

    Args:
        wait_seconds: Time until the queue has drained.
        spread: Random number from 0 to 1 for each caller.
    """
    spread_seconds = wait_seconds * (1 + RETRY_SPREAD * spread)
    return min(
        MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, math.ceil(spread_seconds))
    )


def returns_on_time(waited_seconds: float, told_seconds: float) -> bool:
    """Whether a caller comes again about when it was told to.

    Args:
        waited_seconds: Time since it was turned away, by the clocks of two
            nodes; one below zero shows that they differ.
        told_seconds: Retry-After that it was given.
    """
    return not 0 <= waited_seconds < EARLY_SHARE * told_seconds
