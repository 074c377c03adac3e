"""Child process that runs the request path of one entry host.

The bench sets a fixed site, so that request experiments don't also measure
the platform's store. Peer links are the real ones. `entry_processes` runs the
whole `wisteriasill entry` command instead.
"""

from __future__ import annotations

from collections.abc import Callable
import secrets
import threading
from typing import Any

import psutil
from returns import result

from bench import processes
from bench import retry_variants
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill import metrics as metric_types
from wisteriasill import settings as settings_module
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import exchange
from wisteriasill.contracts import service as services
from wisteriasill.links import caller_link
from wisteriasill.links import dispatch
from wisteriasill.links import peer_link
from wisteriasill.links import peer_messages
from wisteriasill.machines import host as hosts
from wisteriasill.machines import member as members
from wisteriasill.zones import site as sites

COUNTER_NAMES = ("retries", "refusals")


class CountingMesh:
    """Peer links that count the messages of the slot policy."""

    def __init__(self, links: peer_link.PeerLinks) -> None:
        self._links = links
        self.sent = 0

    def broadcast(self, message: peer_messages.Message) -> None:
        """Sends to all peers."""
        self.sent += len(self._links.connected_peers())
        self._links.broadcast(message)

    def send(self, member_id: str, message: peer_messages.Message) -> bool:
        """Sends to one peer."""
        self.sent += 1
        return self._links.send(member_id, message)

    def on_message(
        self, message_type: str, handler: peer_messages.Handler
    ) -> None:
        """Registers a handler."""
        self._links.on_message(message_type, handler)

    def on_members_changed(self, handler: Callable[[], None]) -> None:
        """Registers a handler."""
        self._links.on_members_changed(handler)

    def connected_peers(self) -> frozenset[str]:
        """Returns the connected peers."""
        return self._links.connected_peers()


class NoRecords:
    """Rejects all keys, as the experiments send only repeatable requests."""

    def claim(self, *_: Any) -> result.Result[Any, errors.Failure]:
        """Rejects the claim."""
        return result.Failure(
            errors.failure(errors.ErrorKind.STORE_UNAVAILABLE, "no store")
        )

    def finish(self, claim: Any, reply: exchange.Reply) -> None:
        """Never called, as no claim succeeds."""

    def release(self, claim: Any) -> None:
        """Never called, as no claim succeeds."""

    def mark_unknown(self, claim: Any) -> None:
        """Never called, as no claim succeeds."""


class EntryProcess:
    """Request path of one entry host on a fixed site."""

    def __init__(self) -> None:
        self._metrics = metric_types.Metrics()
        self._site = sites.Site(clocks.SystemClock())

    def not_ready_reason(self) -> str:
        """Returns no reason why the entry host is not ready."""
        return ""

    def start(
        self,
        settings: dict[str, Any],
        service_documents: list[Any],
        host_rows: list[Any],
        retry_policy: str,
    ) -> dict[str, int]:
        """Starts all parts and returns the ports."""
        events.configure("ERROR")
        entry = settings_module.EntrySettings(**settings)
        decoded = [
            documents.decode(services.Service, document).unwrap()
            for document in service_documents
        ]
        self._site.adopt_configuration(
            configurations.NO_CONFIGURATION._replace(
                generation=1,
                services_by_name={service.name: service for service in decoded},
            )
        )
        self.update_hosts(host_rows, 1)
        clock = clocks.SystemClock()
        self._links = peer_link.PeerLinks(
            entry, self._site, secrets.token_hex(8), self._metrics, clock
        )
        self._mesh = CountingMesh(self._links)
        self._dispatcher = dispatch.Dispatcher(
            entry,
            self._site,
            self._mesh,
            NoRecords(),
            self._metrics,
            clock,
            retry_variants.BUILDERS_BY_NAME[retry_policy],
        )
        self._callers = caller_link.CallerLink(
            entry, self._dispatcher, self, self._metrics
        )
        self._links.start()
        self._dispatcher.start()
        self._callers.start()
        return {"caller": self._callers.port, "peer": self._links.port}

    def update_hosts(self, rows: list[Any], version: int) -> None:
        """Replaces the known host rows."""
        self._site.update_hosts(
            sites.KnownHost(documents.decode(hosts.Host, row).unwrap(), version)
            for row in rows
        )

    def set_members(self, rows: list[Any]) -> None:
        """Replaces the known members."""
        self._site.set_members(
            documents.decode(members.Member, row).unwrap() for row in rows
        )

    def figures(self) -> dict[str, float]:
        """Returns counters, number of threads and processor time."""
        process = psutil.Process()
        counters = {name: self._counter(name) for name in COUNTER_NAMES}
        return {
            **counters,
            "peers": len(self._links.connected_peers()),
            "peer_messages": self._mesh.sent,
            "threads": threading.active_count(),
            "cpu_seconds": sum(process.cpu_times()[:2]),
        }

    def stop(self) -> None:
        """Stops all parts."""
        self._callers.stop(4.0)
        self._dispatcher.stop()
        self._links.stop()

    def _counter(self, name: str) -> float:
        body, _ = self._metrics.render([])
        prefix = f'wisteriasill_events_total{{name="{name}"}} '
        return sum(
            float(line.removeprefix(prefix))
            for line in body.decode().splitlines()
            if line.startswith(prefix)
        )


def main() -> None:
    """Handles commands of the bench until it closes the pipe."""
    entry = EntryProcess()
    processes.serve(
        {
            "start": entry.start,
            "update_hosts": entry.update_hosts,
            "set_members": entry.set_members,
            "figures": entry.figures,
            "stop": entry.stop,
        }
    )


if __name__ == "__main__":
    main()
