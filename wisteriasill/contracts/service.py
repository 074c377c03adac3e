"""What operators promise in a service file: service, pool, requests, jobs."""

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
    """Whether a request may be run more than once."""

    SAFE = "safe"
    NEVER = "never"


class RequestClass(NamedTuple):
    """Requests of a service that are treated alike.

    Attributes:
        name: Name of the class in metrics and reports.
        path: Path prefix below the service's own prefix.
        methods: HTTP methods of the class.
        repeat: Whether a request may be run more than once.
        deadline_ms: Longest time to an answer unless the caller asks for
            less.
        urgent: Whether requests go before those of other classes.
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
        hosts_always_usable: Availability budget: planned acts never leave
            fewer usable hosts than this.
        cores_per_host: Processors of each host.
        memory_gib_per_host: Memory of each host.
        slots_per_host: Requests that each worker runs at once.
        connections_per_host: Connections that each worker accepts.
        accelerators_per_host: Accelerators of each host.
        maintenance_every_days: Period in which every host is maintained once.
        maintenance_minutes: Expected time that one host is away.
        spare: Whether hosts that no pool needs rest here.
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
        cores: Declared processors.
        memory_gib: Declared memory.
        accelerators: Declared accelerators.
        expected_hours: Declared run time.
        checkpoint_minutes: Period of checkpoints; 0 for a job that can't.
        urgent: Whether the job starts before others, by pre-emption.
        copies: Number of tasks that run at the same time.
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
        requests: Classes of its requests, the longest path matches first.
        jobs: Its long-running jobs.
    """

    name: Name
    team: Name
    pool: PoolContract
    path_prefix: str = ""
    requests: tuple[RequestClass, ...] = ()
    jobs: tuple[JobContract, ...] = ()


class Preference(enum.StrEnum):
    """Which measure a site weighs most."""

    ROLL_OUT_TIME = "roll-out-time"
    BUFFER_COST = "buffer-cost"


class TeamQuota(NamedTuple):
    """The most that a team's jobs may hold at a time."""

    team: Name
    cores: PositiveAmount
    memory_gib: PositiveAmount
    accelerators: Count = 0


class SiteContract(NamedTuple):
    """What holds for the whole site.

    Attributes:
        name: Name of the site.
        prefer: Which measure the site weighs most.
        quotas: Quotas of the teams.
    """

    name: Name
    prefer: Preference
    quotas: tuple[TeamQuota, ...] = ()
