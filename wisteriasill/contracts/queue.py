"""Queues and services of a site's configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class AdviceRule(NamedTuple):
    """A queue whose workers an outside policy restricts."""

    decision_seconds: float
    per_worker_seconds: float
    valid_seconds: float


class Queue(NamedTuple):
    """Where callers hand in jobs of one kind.

    Attributes:
        host: Host name that selects the queue, with the prefix.
        priority: 0 comes first.
        most_attempts: Failed runs of a task after which its job has failed.
        stretch: Objective as a multiple of the longest chain of work.
        target_latency_seconds: Time added to the objective.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    most_attempts: int
    stretch: float
    target_latency_seconds: float
    timeout_seconds: float
    advice: AdviceRule | None = None


class ServicePool(NamedTuple):
    """A service whose workers run jobs.

    Attributes:
        standby: Whether its hosts are off and cost nothing.
    """

    name: str
    guarded: bool
    standby: bool


class SiteConfiguration(NamedTuple):
    """A configuration in full; `version` grows with each change."""

    version: int
    queue_by_name: Mapping[str, Queue]
    service_by_name: Mapping[str, ServicePool]
    most_body_bytes: int
    queue_by_address: Mapping[tuple[str, str], Queue]

    def select(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix.

        Prefixes end with a slash, so only as many are looked up as the path
        has segments, however many queues there are.
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
    most_body_bytes: int,
) -> SiteConfiguration:
    """Builds a configuration with its indexes."""
    queue_by_name = {queue.name: queue for queue in queues}
    return SiteConfiguration(
        version,
        queue_by_name,
        {service.name: service for service in services},
        most_body_bytes,
        {(one.host, one.prefix): one for one in queue_by_name.values()},
    )


class WaveOrder(NamedTuple):
    """An operator's request to maintain hosts.

    Attributes:
        most_at_once: Hosts that may be in upkeep at a time.
    """

    number: int
    host_ids: tuple[str, ...]
    duration_seconds: float
    most_at_once: int
