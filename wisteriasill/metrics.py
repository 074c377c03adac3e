"""Metrics of one process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
import threading

from aioprometheus import collectors
from aioprometheus import renderer

LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Metrics:
    """Counters, gauges and histograms with their registry.

    aioprometheus collectors assume a single event loop thread, so a lock
    guards updates and rendering.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Each peer message is counted, and adding to a collector takes 4.6 us,
        # so counts are summed here and added to the collector on rendering.
        self._pending_counts: Counter[str] = Counter()
        self._registry = collectors.Registry()
        self._requests = collectors.Counter(
            "wisteriasill_requests_total",
            "Callers' requests by service, class, outcome kind.",
            registry=self._registry,
        )
        self._latency = collectors.Histogram(
            "wisteriasill_request_seconds",
            "Time to the answer by service, class and caller.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._counters = collectors.Counter(
            "wisteriasill_events_total",
            "Numbered log events and internal counters by name.",
            registry=self._registry,
        )
        self._gauges = collectors.Gauge(
            "wisteriasill_state",
            "State of this entry host by name.",
            registry=self._registry,
        )

    def observe_request(
        self, labels: Mapping[str, str], kind: str, seconds: float
    ) -> None:
        """Records a finished request.

        Args:
            labels: `service`, `class` and `caller`.
            kind: Error kind, or `answered`.
            seconds: Time from the first byte of the request to its answer.
        """
        with self._lock:
            self._requests.inc(
                {
                    "service": labels["service"],
                    "class": labels["class"],
                    "kind": kind,
                }
            )
            self._latency.observe(dict(labels), seconds)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a named counter."""
        with self._lock:
            self._pending_counts[name] += amount

    def count_control_traffic(self, sent: int, received: int) -> None:
        """Adds bytes exchanged with peers and the platform.

        Args:
            sent: Bytes sent, without TCP and IP headers.
            received: Bytes received, without TCP and IP headers.
        """
        with self._lock:
            self._pending_counts["control_bytes_sent"] += sent
            self._pending_counts["control_bytes_received"] += received

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a named gauge."""
        with self._lock:
            self._gauges.set({"name": name}, value)

    def render(self, accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Renders all metrics.

        Args:
            accepts: Values of the Accept header.

        Returns:
            The body and its headers.
        """
        with self._lock:
            for name, amount in self._pending_counts.items():
                self._counters.add({"name": name}, amount)
            self._pending_counts.clear()
            return renderer.render(self._registry, accepts)
