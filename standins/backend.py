"""A guarded back end: a worker that enforces its own limits.

All back ends of a process share one event loop thread; one task serves each
connection. Started with `python -m standins.backend --port N`.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import threading
import time
import urllib.parse

from standins import backend_records as records
from standins import event_loop
from standins import http_wire
from wisteriasill.contracts import exchange

WORK_MS_HEADER = "X-Work-Ms"
WORK_MS_QUERY = "work_ms"
HANG_POLL_SECONDS = 0.1


class _Connection:
    """A connection and its task; if `silent`, it gets no responses."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.task = asyncio.current_task()
        self.silent = False
        self.busy = False


class Backend:
    """A worker that runs requests in a bounded number of slots.

    Args:
        address: IP address to listen on.
        port: Port to listen on; 0 picks a free one.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of concurrent connections.
        work_seconds: Default time of a request; the header `X-Work-Ms` or
            the query parameter `work_ms` overrides it.
    """

    def __init__(
        self,
        address: str = "127.0.0.1",
        port: int = 0,
        slots: int = 8,
        connections: int = 64,
        work_seconds: float = 0.05,
    ) -> None:
        self.address = address
        self.port = port
        self.slots = slots
        self.connections = connections
        self.work_seconds = work_seconds
        self.faults = records.NO_FAULTS
        self.draining = False
        self._server: asyncio.Server | None = None
        self._open_connections: set[_Connection] = set()
        self._in_slots = 0
        self._previous_request = http_wire.WireRequest("GET", "/", "", {}, b"")
        self._executions: list[records.Execution] = []
        self._refused = 0
        self._max_slots = 0
        self._max_connections = 0
        self._refused_connections = 0
        self._interrupted = 0
        self._last_new_request_at = 0.0

    def start(self) -> None:
        """Starts to listen; `port` is set afterwards."""
        event_loop.call(self._listen())

    def stop(self) -> None:
        """Closes the port and all connections."""
        event_loop.call(self._close())

    def begin_drain(self) -> None:
        """Refuses new requests; requests in progress finish."""
        self.draining = True

    def reboot(self, away_seconds: float = 0.0) -> None:
        """Closes all connections, then listens again without faults.

        Args:
            away_seconds: Time until the port is open again.
        """
        event_loop.call(self._close())
        asyncio.run_coroutine_threadsafe(
            self._return_after(away_seconds), event_loop.event_loop()
        )

    def silence_connections(self, share: float = 1.0) -> int:
        """Stops all responses on open connections; new connections work.

        Args:
            share: Share of the open connections to silence.

        Returns:
            Number of silenced connections.
        """
        return event_loop.call(self._silence(share))

    def report(self) -> records.BackendReport:
        """Returns the counts and executions so far."""
        return event_loop.call(self._report())

    @property
    def in_slots(self) -> int:
        """Number of requests in progress."""
        return self._in_slots

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in tuple(self._open_connections):
            self._interrupted += connection.busy
            connection.writer.transport.abort()
            if connection.task is not None:
                connection.task.cancel()

    async def _return_after(self, away_seconds: float) -> None:
        await asyncio.sleep(away_seconds)
        self.faults = records.NO_FAULTS
        self.draining = False
        await self._listen()

    async def _silence(self, share: float) -> int:
        chosen = tuple(self._open_connections)[
            : round(len(self._open_connections) * share)
        ]
        for connection in chosen:
            connection.silent = True
        return len(chosen)

    async def _report(self) -> records.BackendReport:
        return records.BackendReport(
            tuple(self._executions),
            self._refused,
            self._max_slots,
            self._max_connections,
            self._refused_connections,
            self._interrupted,
            self._last_new_request_at,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(reader, writer)
        admitted = len(self._open_connections) < self.connections
        if admitted:
            self._open_connections.add(connection)
            self._max_connections = max(
                self._max_connections, len(self._open_connections)
            )
        else:
            self._refused_connections += 1
        try:
            while request := await http_wire.read_request(reader):
                if not await self._answer(connection, request, admitted):
                    break
        except (OSError, asyncio.CancelledError):
            # The client disconnected, or the back end is stopping.
            pass
        finally:
            self._open_connections.discard(connection)
            writer.close()

    async def _answer(
        self,
        connection: _Connection,
        request: http_wire.WireRequest,
        admitted: bool,
    ) -> bool:
        """Handles one request; returns whether the connection stays open."""
        if connection.silent:
            await connection.reader.read()
            return False
        self._last_new_request_at = time.monotonic()
        all_slots_busy = self._in_slots >= self.slots
        if (
            self.faults.refuse
            or self.draining
            or all_slots_busy
            or not admitted
        ):
            self._refused += 1
            headers = {
                exchange.REQUEST_ID_HEADER: request.request_id,
                exchange.EXECUTED_HEADER: "no",
            }
            connection.writer.write(
                http_wire.encode_answer(503, headers, b"", admitted)
            )
            await connection.writer.drain()
            return admitted
        connection.busy = True
        try:
            await self._run(request)
            if connection.silent:
                await connection.reader.read()
                return False
            return await self._send(connection.writer, request)
        finally:
            connection.busy = False

    async def _run(self, request: http_wire.WireRequest) -> None:
        self._in_slots += 1
        self._max_slots = max(self._max_slots, self._in_slots)
        self._executions.append(
            records.Execution(
                request.request_id, request.idempotency_key, time.monotonic()
            )
        )
        try:
            while self.faults.hang:
                await asyncio.sleep(HANG_POLL_SECONDS)
            await asyncio.sleep(
                self._work_seconds(request) + self.faults.late_seconds
            )
        finally:
            self._in_slots -= 1

    def _work_seconds(self, request: http_wire.WireRequest) -> float:
        query = dict(urllib.parse.parse_qsl(request.query))
        text = request.headers.get(
            WORK_MS_HEADER.lower(), query.get(WORK_MS_QUERY, "")
        )
        return float(text) / 1000 if text else self.work_seconds

    async def _send(
        self, writer: asyncio.StreamWriter, request: http_wire.WireRequest
    ) -> bool:
        source = self._previous_request if self.faults.mixed else request
        self._previous_request = request
        body = http_wire.answer_body(
            source.method, source.path, source.caller, source.body
        )
        headers = {exchange.REQUEST_ID_HEADER: source.request_id or "another"}
        status = 500 if self.faults.fail else 200
        writer.write(
            http_wire.encode_truncated(
                status, headers, body, self.faults.truncate == "chunk"
            )
            if self.faults.truncate
            else http_wire.encode_answer(
                status, headers, body, with_body=request.method != "HEAD"
            )
        )
        await writer.drain()
        return not self.faults.truncate


def main() -> None:
    """Runs one back end until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="python -m standins.backend")
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--work-ms", type=float, default=50.0)
    parsed = parser.parse_args()
    backend = Backend(
        parsed.address,
        parsed.port,
        parsed.slots,
        parsed.connections,
        parsed.work_ms / 1000,
    )
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    backend.start()
    print(f"listening on {backend.address}:{backend.port}", flush=True)
    while not stopped.wait(1.0):
        pass
    backend.stop()


if __name__ == "__main__":
    main()
