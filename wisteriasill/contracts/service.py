"""Contracts of service files: service, pool, request classes and jobs."""

from __future__ import annotations

import enum
from typing import Annotated, NamedTuple

import pydantic

Name = Annotated[
    str, pydantic.Field(pattern=r"^[a-z][a-z0-9-]{0,62}$", strict=True)
]
Count = Annotated[int, pydantic.Field(ge=0, strict=True)]
PositiveCount = Annotated[int, pydantic.Field(ge=1, strict=True)]
PositiveAmount = Annotated[float, pydantic.Field(gt=0)]


class Repeat(enum.StrEnum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"
    NEVER = "never"


class RequestClass(NamedTuple):
    """A class of requests with the same treatment.

    Attributes:
        name: Name of the class in metrics and reports.
        path: Path prefix below the service's own prefix.
        methods: HTTP methods of the class.
        repeat: Whether a request may be executed more than once.
        deadline_ms: Maximum time to an answer; a caller may set a shorter
            one.
        urgent: Whether its requests precede those of other classes.
    """

    name: Name
    path: str = "/"
    methods: tuple[str, ...] = ("GET",)
    repeat: Repeat = Repeat.SAFE
    deadline_ms: PositiveCount = 2000
    urgent: bool = False


class PoolContract(NamedTuple):
    """The capacity that a pool promises.

    Attributes:
        hosts: Hosts that the pool holds.
        hosts_always_usable: Minimum of usable hosts during planned operations;
            the availability budget is what exceeds it.
        cores_per_host: Cores of each host.
        memory_gib_per_host: Memory of each host.
        slots_per_host: Requests that each worker runs concurrently.
        connections_per_host: Connections that each worker accepts.
        accelerators_per_host: Accelerators of each host.
        maintenance_every_days: Period in which each host is maintained once.
        maintenance_minutes: Expected time that one host is away.
        spare: Whether it is the spare pool, for hosts that no pool needs.
    """

    hosts: Count
    hosts_always_usable: Count
    cores_per_host: PositiveAmount
    memory_gib_per_host: PositiveAmount
    slots_per_host: PositiveCount
    connections_per_host: PositiveCount
    accelerators_per_host: Count = 0
    maintenance_every_days: PositiveCount = 28
    maintenance_minutes: PositiveCount = 30
    spare: bool = False


class JobContract(NamedTuple):
    """A long-running job that a service owns.

    Attributes:
        name: Name of the job within its service.
        cores: Declared cores.
        memory_gib: Declared memory.
        accelerators: Declared accelerators.
        expected_hours: Declared run time.
        checkpoint_minutes: Interval of checkpoints; 0 for a job without
            checkpoints.
        urgent: Whether the job starts before others and may preempt them.
        copies: Number of tasks that run concurrently.
    """

    name: Name
    cores: PositiveAmount
    memory_gib: PositiveAmount
    expected_hours: PositiveAmount
    accelerators: Count = 0
    checkpoint_minutes: Count = 0
    urgent: bool = False
    copies: PositiveCount = 1


class Service(NamedTuple):
    """A service and its pool, which has the service's name.

    Attributes:
        name: Name of the service and of its pool.
        team: Team that owns the service.
        path_prefix: Path prefix of its requests; empty for none.
        pool: The capacity that its pool promises.
        requests: Classes of its requests; the longest matching path wins.
        jobs: Its long-running jobs.
    """

    name: Name
    team: Name
    pool: PoolContract
    path_prefix: str = ""
    requests: tuple[RequestClass, ...] = ()
    jobs: tuple[JobContract, ...] = ()


class Preference(enum.StrEnum):
    """Which measure a site prefers."""

    ROLL_OUT_TIME = "roll-out-time"
    BUFFER_COST = "buffer-cost"


class TeamQuota(NamedTuple):
    """Maximum resources that the jobs of a team may reserve at a time."""

    team: Name
    cores: PositiveAmount
    memory_gib: PositiveAmount
    accelerators: Count = 0


class SiteContract(NamedTuple):
    """The contract of a whole site.

    Attributes:
        name: Name of the site.
        prefer: Which measure the site prefers.
        quotas: Quotas of the teams.
    """

    name: Name
    prefer: Preference
    quotas: tuple[TeamQuota, ...] = ()
