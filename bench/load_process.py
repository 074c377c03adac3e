"""Child process that generates open-loop load.

Requests start at their intended times, independent of earlier requests, and
latencies are measured from the intended time.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import random
import time
from typing import Any, NamedTuple

from bench import load
from bench import processes
from standins import http_wire

READ_LIMIT = 256 * 1024
TIMEOUT_MARGIN_SECONDS = 1.0
START_LATE_SECONDS = 0.05


class _Connection(NamedTuple):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class _Response(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


class Generator:
    """Sends the requests of one plan over persistent connections."""

    def __init__(self, plan: load.Plan) -> None:
        self._plan = plan
        self._random = random.Random(f"{plan.seed}-{plan.process}")
        self._idle: dict[str, list[_Connection]] = collections.defaultdict(list)
        self._address_cycles = [
            itertools.cycle(
                self._random.sample(
                    list(stream.addresses), len(stream.addresses)
                )
            )
            for stream in plan.streams
        ]
        self._records: list[load.Record] = []

    async def run(self) -> list[load.Record]:
        """Sends all requests and waits for the responses."""
        arrivals = self._arrivals()
        started_at = self._plan.start_at
        tasks = []
        for number, (at, index) in enumerate(arrivals):
            delay = started_at + at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(
                asyncio.create_task(
                    self._request(number, index, at, started_at + at)
                )
            )
        await asyncio.gather(*tasks)
        for connection in itertools.chain(*self._idle.values()):
            connection.writer.close()
        return self._records

    def _arrivals(self) -> list[tuple[float, int]]:
        arrivals = []
        for index, stream in enumerate(self._plan.streams):
            at = stream.begin_seconds
            rate = stream.rate / self._plan.processes
            while rate > 0:
                at += self._random.expovariate(rate)
                if at >= stream.end_seconds:
                    break
                arrivals.append((at, index))
        return sorted(arrivals)

    async def _request(
        self, number: int, index: int, at: float, intended_at: float
    ) -> None:
        stream = self._plan.streams[index]
        key = f"{self._plan.seed}-{self._plan.process}-{number}"
        address = next(self._address_cycles[index])
        late = time.monotonic() - intended_at
        try:
            async with asyncio.timeout(
                stream.deadline_ms / 1000 + TIMEOUT_MARGIN_SECONDS
            ):
                response = await self._exchange(stream, address, key)
        except TimeoutError:
            response = _Response(0, {"error": "no answer"}, b"")
        except (OSError, EOFError, ValueError) as error:
            response = _Response(0, {"error": type(error).__name__}, b"")
        seconds = time.monotonic() - intended_at
        self._records.append(
            self._build_record(stream, index, key, at, seconds, late, response)
        )

    def _build_record(
        self,
        stream: load.Stream,
        index: int,
        key: str,
        at: float,
        seconds: float,
        late: float,
        response: _Response,
    ) -> load.Record:
        outcome = response.headers.get("error", "")
        executed = ""
        if response.status == 200:
            expected = http_wire.answer_body(
                "GET", stream.path, stream.caller, b""
            )
            outcome = "answered" if response.body == expected else "wrong"
        elif response.status:
            executed = response.headers.get("x-executed", "")
            outcome = f"status {response.status}"
            if "problem+json" in response.headers.get("content-type", ""):
                outcome = json.loads(response.body)["kind"]
        return load.Record(index, key, at, seconds, late, outcome, executed)

    async def _exchange(
        self, stream: load.Stream, address: str, key: str
    ) -> _Response:
        connection = await self._connect(address)
        finished = False
        try:
            connection.writer.write(
                f"GET {stream.path} HTTP/1.1\r\nHost: {address}\r\n"
                f"X-Caller: {stream.caller}\r\n"
                f"X-Deadline-Ms: {stream.deadline_ms}\r\n"
                f"X-Request-Id: {key}\r\n"
                f"Idempotency-Key: {key}\r\n\r\n".encode()
            )
            response = await self._read(connection.reader)
            finished = response.headers.get("connection", "").lower() != "close"
            return response
        finally:
            if finished:
                self._idle[address].append(connection)
            else:
                connection.writer.close()

    async def _connect(self, address: str) -> _Connection:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        host, _, port = address.partition(":")
        return _Connection(
            *await asyncio.open_connection(host, int(port), limit=READ_LIMIT)
        )

    async def _read(self, reader: asyncio.StreamReader) -> _Response:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")[:-2]
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        body = await reader.readexactly(int(headers["content-length"]))
        return _Response(int(first.split(" ")[1]), headers, body)


def run(plan: dict[str, Any]) -> list[Any]:
    """Runs one plan.

    Args:
        plan: A `load.Plan` as plain data.

    Returns:
        The records as plain lists.
    """
    streams = tuple(load.Stream(**fields) for fields in plan.pop("streams"))
    generator = Generator(load.Plan(streams=streams, **plan))
    return [list(record) for record in asyncio.run(generator.run())]


def main() -> None:
    """Handles commands of the bench until it closes the pipe."""
    processes.serve({"run": run})


if __name__ == "__main__":
    main()
