"""HTTP server of the platform stand-in.

`python -m standins.platform --port N --site malabar|mandacaru` serves one
site's platform.
"""

from __future__ import annotations

import argparse
from concurrent import futures
import signal
import threading

from cheroot import wsgi

from standins import platform_application
from standins import platform_state
from standins import sites
from wisteriasill import clock as clocks

THREADS = 96
SETTLE_SECONDS = 0.05  # Interval at which finished reboots are detected.
SIGNAL_CHECK_SECONDS = 1.0


class PlatformServer:
    """Serves a platform state on a port; `stop` joins its threads."""

    def __init__(
        self,
        state: platform_state.PlatformState,
        address: str = "127.0.0.1",
        port: int = 0,
        seed: int = 1,
    ) -> None:
        self._state = state
        self._application = platform_application.Application(state, seed)
        self._server = wsgi.Server(
            (address, port),
            self._application,
            numthreads=THREADS,
            request_queue_size=128,
            timeout=30,
            shutdown_timeout=1,
        )
        self._server.gateway = platform_application.Gateway
        # Longest time until the server notices `stop`.
        self._server.expiration_interval = SETTLE_SECONDS
        self._clock = clocks.SystemClock()
        self._executor = futures.ThreadPoolExecutor(2, "platform-standin")
        self._tasks: list[futures.Future[None]] = []

    @property
    def url(self) -> str:
        """Base URL, valid after the start."""
        address, port = self._server.bind_addr
        return f"http://{address}:{port}"

    def start(self) -> None:
        """Binds the port and serves until `stop`."""
        self._server.prepare()
        self._tasks = [
            self._executor.submit(self._server.serve),
            self._executor.submit(self._settle),
        ]

    def stop(self) -> None:
        """Closes all connections and joins the threads."""
        self._application.stopping.set()
        self._server.stop()
        for task in self._tasks:
            task.result(timeout=10)
        self._executor.shutdown()

    def _settle(self) -> None:
        while not self._clock.wait(self._application.stopping, SETTLE_SECONDS):
            self._state.settle()


def main() -> None:
    """Serves the stand-in until interrupted."""
    parser = argparse.ArgumentParser(prog="python -m standins.platform")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--site", choices=list(sites.SIZES_BY_SITE))
    parser.add_argument("--worker-base-port", type=int, default=21000)
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args()
    state = platform_state.PlatformState(
        clocks.SystemClock(),
        sites.build_hosts(
            parsed.site or "malabar",
            sites.address_from(parsed.worker_base_port),
        ),
    )
    server = PlatformServer(state, port=parsed.port, seed=parsed.seed)
    server.start()
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    while not stopping.wait(SIGNAL_CHECK_SECONDS):
        pass
    server.stop()


if __name__ == "__main__":
    main()
