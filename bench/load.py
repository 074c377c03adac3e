"""Plans of open-loop load, their request records and the evaluation."""

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
        rate: Mean requests per second, with Poisson arrivals.
        begin_seconds: Begin, relative to the start of the plan.
        end_seconds: End, relative to the start of the plan.
        deadline_ms: Deadline of each request.
        addresses: Destinations, used in turn.
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
    """All streams, and which share one generator process sends."""

    seed: int
    process: int
    processes: int
    start_at: float
    streams: tuple[Stream, ...]


class Record(NamedTuple):
    """One request and its outcome.

    Attributes:
        stream: Index of its stream.
        key: Unique key, which the back ends record.
        at_seconds: Intended send time, relative to the start of the plan.
        seconds: Time from the intended send time to the complete answer.
        late_seconds: Delay of the generator behind the intended time.
        outcome: `answered` for a complete and correct answer, else the error.
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

    def select(self, is_wanted: Callable[[Stream, Record], bool]) -> Outcome:
        """Keeps the records for which a predicate holds."""
        kept = tuple(
            record
            for record in self.records
            if is_wanted(self.streams[record.stream], record)
        )
        return self._replace(records=kept)

    def between(self, begin_seconds: float, end_seconds: float) -> Outcome:
        """Keeps the records whose intended time is in an interval."""
        return self.select(
            lambda _, record: begin_seconds <= record.at_seconds < end_seconds
        )

    def of_stream(self, prefix: str) -> Outcome:
        """Keeps the records of streams whose name has a prefix."""
        return self.select(lambda stream, _: stream.name.startswith(prefix))

    @property
    def answered(self) -> tuple[Record, ...]:
        """Requests with a complete answer before the deadline."""
        return tuple(
            record
            for record in self.records
            if record.outcome == "answered"
            and record.seconds * 1000 <= self.streams[record.stream].deadline_ms
        )

    @property
    def counts(self) -> collections.Counter[str]:
        """Requests by outcome."""
        return collections.Counter(record.outcome for record in self.records)

    def percentile_ms(self, percentile: float) -> float:
        """Returns a latency percentile of the answered requests."""
        return percentile_ms(
            (record.seconds for record in self.answered), percentile
        )

    @property
    def late_p99_ms(self) -> float:
        """99th percentile of the generator's delay."""
        return percentile_ms(
            (record.late_seconds for record in self.records), 99.0
        )


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
        streams: Streams to send.
        seed: Seed of the arrivals.

    Returns:
        Monotonic seconds at which the plan starts.
    """
    start_at = time.monotonic() + START_DELAY_SECONDS
    for number, child in enumerate(generators):
        plan = Plan(seed, number, len(generators), start_at, tuple(streams))
        child.send("run", plan=documents.encode(plan))
    return start_at


def collect(
    generators: Sequence[processes.Child],
    streams: Sequence[Stream],
    start_at: float,
) -> Outcome:
    """Waits for a started plan and collects its records."""
    records = tuple(
        Record(*values) for child in generators for values in child.receive()
    )
    return Outcome(tuple(streams), start_at, records)
