"""Queues and services in the configuration that nodes read.

`configuration` and `service` have the contracts that entry hosts read.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class AdviceRule(NamedTuple):
    """Declares that an external policy restricts the workers of a queue."""

    decision_seconds: float
    per_worker_seconds: float
    valid_seconds: float


class Queue(NamedTuple):
    """A queue to which callers submit jobs of one kind.

    Attributes:
        host: Host name that selects the queue, together with the prefix.
        prefix: Path prefix that selects it; ends with a slash.
        service: Service whose workers run its jobs.
        priority: Priority of its jobs; 0 comes first.
        max_attempts: Failed runs of a task after which its job fails.
        stretch: Objective as a multiple of a job's critical path.
        target_latency_seconds: Time added to the objective.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_seconds: float
    timeout_seconds: float
    advice: AdviceRule | None = None

    def objective_seconds(self, critical_path_seconds: float) -> float:
        """Returns the age by which a job should end."""
        return (
            critical_path_seconds * self.stretch + self.target_latency_seconds
        )


class ServicePool(NamedTuple):
    """A service whose workers run jobs.

    Attributes:
        standby: Whether its hosts are off and cost nothing.
    """

    name: str
    guarded: bool
    standby: bool


class SiteConfiguration(NamedTuple):
    """The whole configuration; `version` grows with each change."""

    version: int
    queue_by_name: Mapping[str, Queue]
    service_by_name: Mapping[str, ServicePool]
    max_body_bytes: int
    queue_by_address: Mapping[tuple[str, str], Queue]

    def select(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix.

        Prefixes end with a slash, so the number of lookups is the number of
        segments of the path, regardless of the number of queues.
        """
        for end in range(len(path), 0, -1):
            if path[end - 1] == "/":
                queue = self.queue_by_address.get((host, path[:end]))
                if queue is not None:
                    return queue
        return None


def configuration(
    version: int,
    queues: Iterable[Queue],
    services: Iterable[ServicePool],
    max_body_bytes: int,
) -> SiteConfiguration:
    """Builds a configuration with its indexes."""
    queue_by_name = {queue.name: queue for queue in queues}
    return SiteConfiguration(
        version,
        queue_by_name,
        {service.name: service for service in services},
        max_body_bytes,
        {(queue.host, queue.prefix): queue for queue in queue_by_name.values()},
    )


class WaveOrder(NamedTuple):
    """An operator's request to maintain hosts.

    Attributes:
        number: Number of the wave.
        host_ids: Hosts to maintain.
        duration_seconds: Duration that the operator requested.
        most_at_once: Maximum number of hosts in maintenance at a time.
        seen_at: Monotonic time at which this node first read the order.
    """

    number: int
    host_ids: tuple[str, ...]
    duration_seconds: float
    most_at_once: int
    seen_at: float = 0.0
