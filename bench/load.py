"""Plans of open-loop load, their records, and what they say."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable, Sequence
import time
from typing import NamedTuple

from hdrh import histogram

from bench import processes
from wisteriasill import documents

PROCESSES = 3
START_DELAY_SECONDS = 0.3
LONGEST_MS = 60_000


class Stream(NamedTuple):
    """Requests of one caller to one service.

    Attributes:
        name: Name for the analysis.
        path: Path of the requests.
        caller: Name of the caller.
        rate: Mean requests a second, Poisson arrivals.
        begin_seconds: Begin, from the start of the plan.
        end_seconds: End.
        deadline_ms: Deadline of each request.
        addresses: Where they go, in turn.
    """

    name: str
    path: str
    caller: str
    rate: float
    begin_seconds: float
    end_seconds: float
    deadline_ms: int
    addresses: Sequence[str]


class Plan(NamedTuple):
    """All streams, and the part of one generator process in them."""

    seed: int
    process: int
    processes: int
    start_at: float
    streams: tuple[Stream, ...]


class Record(NamedTuple):
    """One request and what became of it.

    Attributes:
        stream: Index of its stream.
        key: Its unique key, which the back ends record.
        at_seconds: Intended time, from the start of the plan.
        seconds: Time from the intended time to the whole answer.
        late_seconds: How late the generator itself was.
        outcome: `answered` for the whole and own answer, else what came.
        executed: Value of `X-Executed`; empty for none.
    """

    stream: int
    key: str
    at_seconds: float
    seconds: float
    late_seconds: float
    outcome: str
    executed: str


class Outcome(NamedTuple):
    """The records of one plan."""

    streams: tuple[Stream, ...]
    started_at: float
    records: tuple[Record, ...]

    def select(self, wanted: Callable[[Stream, Record], bool]) -> Outcome:
        """Keeps the records that a function wants."""
        kept = tuple(
            item
            for item in self.records
            if wanted(self.streams[item.stream], item)
        )
        return self._replace(records=kept)

    def between(self, begin_seconds: float, end_seconds: float) -> Outcome:
        """Keeps the records whose intended time is in an interval."""
        return self.select(
            lambda _, item: begin_seconds <= item.at_seconds < end_seconds
        )

    def of_stream(self, prefix: str) -> Outcome:
        """Keeps the records of streams whose name has a prefix."""
        return self.select(lambda stream, _: stream.name.startswith(prefix))

    @property
    def answered(self) -> tuple[Record, ...]:
        """Requests with a whole answer before the deadline."""
        return tuple(
            item
            for item in self.records
            if item.outcome == "answered"
            and item.seconds * 1000 <= self.streams[item.stream].deadline_ms
        )

    @property
    def counts(self) -> collections.Counter[str]:
        """Requests by outcome."""
        return collections.Counter(item.outcome for item in self.records)

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the answered requests' latency."""
        return percentile_ms(
            (item.seconds for item in self.answered), percentile
        )

    @property
    def worst_late_ms(self) -> float:
        """How late the generator was at the 99th percentile."""
        return percentile_ms((item.late_seconds for item in self.records), 99.0)


def percentile_ms(seconds: Iterable[float], percentile: float) -> float:
    """Computes a percentile with a high dynamic range histogram."""
    recorded = histogram.HdrHistogram(1, LONGEST_MS * 1000, 3)
    for value in seconds:
        recorded.record_value(max(1, int(value * 1_000_000)))
    return float(recorded.get_value_at_percentile(percentile)) / 1000


def start(
    generators: Sequence[processes.Child],
    streams: Sequence[Stream],
    seed: int,
) -> float:
    """Starts the streams on all generator processes.

    Args:
        generators: Processes that run `bench.load_process`.
        streams: What to send.
        seed: Seed of the arrivals.

    Returns:
        Monotonic seconds at which the plan starts.
    """
    start_at = time.monotonic() + START_DELAY_SECONDS
    for number, child in enumerate(generators):
        plan = Plan(seed, number, len(generators), start_at, tuple(streams))
        child.send("run", plan=documents.encode(plan))
    return start_at


def finish(
    generators: Sequence[processes.Child],
    streams: Sequence[Stream],
    start_at: float,
) -> Outcome:
    """Waits for the records of a started plan."""
    records = tuple(
        Record(*item) for child in generators for item in child.receive()
    )
    return Outcome(tuple(streams), start_at, records)
