"""Platform and back ends of a whole site in one process.

`python -m standins.fleet --port N --site malabar|mandacaru` serves them.
"""

from __future__ import annotations

import argparse
from collections.abc import Mapping
import signal
import threading
import types
from typing import NamedTuple

from standins import backend as backends
from standins import backend_records
from standins import platform as platform_server
from standins import platform_state
from standins import sites
from wisteriasill import clock as clocks
from wisteriasill.links import platform

SIGNAL_CHECK_SECONDS = 1.0


class FleetSettings(NamedTuple):
    """Settings of a site's stand-ins.

    Attributes:
        site: `malabar` or `mandacaru`.
        port: Port of the platform; 0 selects a free one.
        work_seconds: Time that a back end takes per request.
        timing: Delays of the platform.
        seed: Seed of the platform's faults.
    """

    site: str
    port: int = 0
    work_seconds: float = 0.05
    timing: platform_state.Timing = platform_state.Timing()
    seed: int = 1


class Fleet:
    """Platform server with one back end for each host.

    Attributes:
        state: The platform's state.
        backends_by_host: Back ends by host id.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self._backends = [
            backends.Backend(work_seconds=settings.work_seconds)
            for _ in range(sites.POOLS * sites.HOSTS_PER_POOL)
        ]
        for backend in self._backends:
            backend.start()
        hosts = sites.build_hosts(
            settings.site,
            lambda index: f"127.0.0.1:{self._backends[index].port}",
        )
        self.backends_by_host: Mapping[str, backends.Backend] = (
            types.MappingProxyType(
                {
                    host.host_id: backend
                    for host, backend in zip(hosts, self._backends, strict=True)
                }
            )
        )
        self.state = platform_state.PlatformState(
            clocks.SystemClock(), hosts, settings.timing
        )
        self.state.add_listener(self._apply_host_state)
        self._server = platform_server.PlatformServer(
            self.state, port=settings.port, seed=settings.seed
        )

    @property
    def url(self) -> str:
        """Base URL of the platform, valid after the start."""
        return self._server.url

    def start(self) -> None:
        """Starts the platform; the back ends are already listening."""
        self._server.start()

    def stop(self) -> None:
        """Stops the platform and the back ends."""
        self._server.stop()
        for backend in self._backends:
            backend.stop()

    def reports_by_host(self) -> dict[str, backend_records.BackendReport]:
        """Returns the reports of all back ends by host id."""
        return {
            host_id: backend.report()
            for host_id, backend in self.backends_by_host.items()
        }

    def _apply_host_state(
        self, host_id: str, state: platform.ListedState
    ) -> None:
        """Applies a state change of a host to its back end."""
        backend = self.backends_by_host[host_id]
        if state is platform.ListedState.LEAVING:
            backend.begin_drain()
        elif state is platform.ListedState.LIVE:
            backend.reboot()
        else:
            backend.stop()


def main() -> None:
    """Serves a site's stand-ins until interrupted."""
    parser = argparse.ArgumentParser(prog="python -m standins.fleet")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument(
        "--site", choices=list(sites.SIZES_BY_SITE), default="malabar"
    )
    parser.add_argument("--work-ms", type=float, default=50.0)
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args()
    fleet = Fleet(
        FleetSettings(
            parsed.site,
            parsed.port,
            work_seconds=parsed.work_ms / 1000,
            seed=parsed.seed,
        )
    )
    fleet.start()
    print(f"platform of {parsed.site} on {fleet.url}", flush=True)
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    while not stopping.wait(SIGNAL_CHECK_SECONDS):
        pass
    fleet.stop()


if __name__ == "__main__":
    main()
