"""Queues and services of a site's configuration."""

from __future__ import annotations

from collections.abc import Mapping
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

    def select(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix."""
        return max(
            (
                queue
                for queue in self.queue_by_name.values()
                if queue.host == host and path.startswith(queue.prefix)
            ),
            key=lambda queue: len(queue.prefix),
            default=None,
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
