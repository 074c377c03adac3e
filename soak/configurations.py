"""Configuration changes of the soak, and the check that nodes follow them."""

from __future__ import annotations

import http.client
import random
import threading
import time
from typing import NamedTuple

from soak import ports
from soak import site as sites

# The bound that the users' sites state (`config_apply_ms`).
APPLY_SECONDS = 2.0
# A disturbed node has to follow again after this time (`contact_ms`).
CONTACT_SECONDS = 3.0
PROBE_SECONDS = 0.1  # Pause between two probes of a node.
CALL_TIMEOUT_SECONDS = 2.0


class Change(NamedTuple):
    """An acknowledged configuration that added a route.

    Attributes:
        acked_at: Monotonic time of the acknowledgement.
    """

    version: int
    acked_at: float


class ConfigurationProbe:
    """Asks every node for a route that was just added.

    Each node is probed over one connection, which stays open until the node's
    process is gone, so also while the node shuts down.
    """

    def __init__(self, site: sites.Site) -> None:
        self._site = site
        self._closing = threading.Event()
        self.violations: list[str] = []
        self.probes = 0
        self._threads = [
            threading.Thread(target=self._probe, args=(node,), daemon=True)
            for node in site.nodes
        ]

    def start(self) -> None:
        """Starts a thread for each node."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stops the threads."""
        self._closing.set()
        for thread in self._threads:
            thread.join(2 * CALL_TIMEOUT_SECONDS)

    def _probe(self, node: sites.Node) -> None:
        connection = _connect(node)
        while not self._closing.wait(PROBE_SECONDS):
            change = self._site.last_change
            if change is None:
                continue
            sent_at = time.monotonic()
            try:
                status = _count_jobs(connection, change.version)
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = _connect(node)
                continue
            self.probes += 1
            undisturbed_since = max(
                node.disturbance.ended_at,
                self._site.store_disturbance.ended_at,
            )
            if (
                status == 404
                and self._site.last_change is change
                and sent_at > change.acked_at + APPLY_SECONDS
                and sent_at > undisturbed_since + CONTACT_SECONDS
            ):
                self.violations.append(
                    f"{node.name} did not serve the route of version "
                    f"{change.version} {sent_at - change.acked_at:.2f} s after "
                    "its acknowledgement"
                )


def publish(site: sites.Site, rng: random.Random) -> str:
    """Replaces the route that the version before added."""
    with site.configuration_lock:
        version = site.version + rng.randint(1, 9)
        # Whether the write takes effect is not known until it is acknowledged.
        site.last_change = None
        if site.publish(version):
            site.last_change = Change(version, time.monotonic())
    return f"published {version}"


def _connect(node: sites.Node) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(
        ports.ADDRESS, node.caller_port, timeout=CALL_TIMEOUT_SECONDS
    )


def _count_jobs(connection: http.client.HTTPConnection, version: int) -> int:
    """Asks for the number of waiting jobs of the route of a version."""
    connection.request(
        "GET", sites.added_prefix(version), headers={"Host": sites.HOST}
    )
    response = connection.getresponse()
    response.read()
    return response.status
