"""History of a site, second by second, from the logs of all its nodes."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import math
from typing import Any, NamedTuple

from wisteriasill.commands import trace

# A job that ends later than this multiple of its objective is of no use.
USEFUL_FACTOR = 3.0


class PoolCount(NamedTuple):
    """Hosts of a pool at a moment.

    Attributes:
        second: Unix time.
        hosts: Hosts of the pool.
        needed: Hosts that its work needs.
    """

    second: int
    pool: str
    hosts: int
    needed: int


class HandOver(NamedTuple):
    """A node that took a shard over.

    Attributes:
        at: Unix time.
        silent_seconds: How long the former holder was silent.
    """

    at: float
    shard: str
    node: str
    silent_seconds: float


class JobCounts(NamedTuple):
    """Jobs by what became of them, each by Unix second.

    Attributes:
        accepted: Jobs that were accepted.
        turned_away: Jobs that were refused for an overload.
        not_accepted: Jobs whose acceptance failed for another reason.
        in_time: Jobs that ended within their declared objective.
        late: Jobs that ended later, but while they were of use.
        of_no_use: Jobs that ended later than that, or failed.
    """

    accepted: collections.Counter[int]
    turned_away: collections.Counter[int]
    not_accepted: collections.Counter[int]
    in_time: collections.Counter[int]
    late: collections.Counter[int]
    of_no_use: collections.Counter[int]


class SiteHistory(NamedTuple):
    """What happened at a site.

    Attributes:
        first_second: Unix time of the first event.
        last_second: Unix time of the last event.
        unreadable: Lines that could not be parsed.
    """

    first_second: int
    last_second: int
    jobs: JobCounts
    pools: list[PoolCount]
    hand_overs: list[HandOver]
    unreadable: int


def read(texts: Iterable[str]) -> SiteHistory:
    """Builds the history from log lines in any order.

    Args:
        texts: Lines of all nodes; clocks of nodes may differ by seconds.
    """
    jobs = JobCounts(*(collections.Counter() for _ in JobCounts._fields))
    objective_by_job: dict[str, float] = {}
    ended: list[tuple[int, str, dict[str, Any]]] = []
    pools: list[PoolCount] = []
    hand_overs: list[HandOver] = []
    seconds: set[int] = set()
    unreadable = 0
    for text in texts:
        line = trace.read_line(text)
        if line is None:
            unreadable += bool(text.strip())
            continue
        second, fields = math.floor(line.at), line.fields
        seconds.add(second)
        if line.name == "JOB_ACCEPTED":
            jobs.accepted[second] += 1
            objective_by_job[line.job] = float(fields["objective_seconds"])
        elif line.name == "JOB_TURNED_AWAY":
            jobs.turned_away[second] += 1
        elif line.name == "JOB_REFUSED" and fields.get("kind") != "overloaded":
            jobs.not_accepted[second] += 1
        elif line.name == "JOB_ENDED":
            ended.append((second, line.job, fields))
        elif line.name == "POOLS_COUNTED":
            pools += [
                PoolCount(second, pool, count, fields["needed"].get(pool, 0))
                for pool, count in fields["hosts"].items()
            ]
        elif line.name == "SHARD_ACQUIRED":
            hand_overs.append(
                HandOver(
                    line.at,
                    str(fields.get("shard")),
                    line.node,
                    float(fields.get("silent_seconds", 0.0)),
                )
            )
    for second, job_id, fields in ended:
        if fields.get("state") != "cancelled":
            _count_end(jobs, second, objective_by_job.get(job_id), fields)
    return SiteHistory(
        min(seconds, default=0),
        max(seconds, default=0),
        jobs,
        sorted(pools),
        sorted(hand_overs),
        unreadable,
    )


def _count_end(
    jobs: JobCounts,
    second: int,
    objective_seconds: float | None,
    fields: dict[str, Any],
) -> None:
    """Counts the end of a job; one without an objective is left out."""
    if objective_seconds is None:
        return
    age_seconds = float(fields.get("age_seconds", math.inf))
    if fields.get("state") != "completed":
        jobs.of_no_use[second] += 1
    elif age_seconds <= objective_seconds:
        jobs.in_time[second] += 1
    elif age_seconds <= USEFUL_FACTOR * objective_seconds:
        jobs.late[second] += 1
    else:
        jobs.of_no_use[second] += 1
