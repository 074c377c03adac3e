"""Numbered log events and the logging configuration."""

from __future__ import annotations

import collections
from collections.abc import Callable
import enum
import sys
import threading
import time
from typing import Any, NamedTuple

import loguru


class Event(enum.IntEnum):
    """All log events; docs/user-guide/events.md describes them.

    1xx process, 2xx members and peers, 3xx requests and targets,
    4xx configuration, 5xx control of pools and hosts, 6xx jobs,
    7xx platform, 8xx operators.
    """

    STARTED = 100
    STOPPING = 101
    STOPPED = 102
    TASK_FAILED = 103
    RELOADED = 104
    PEER_CONNECTED = 200
    PEER_LOST = 201
    MEMBER_JOINED = 202
    MEMBER_LEFT = 203
    PEER_MESSAGE_INVALID = 204
    REQUEST_FAILED = 300
    TARGET_EJECTED = 301
    TARGET_READMITTED = 302
    ANSWER_DISCARDED = 303
    CONFIGURATION_ADOPTED = 400
    CONFIGURATION_STALE = 401
    CONFIGURATION_INVALID = 402
    CONFIGURATION_PUBLISHED = 403
    QUEUES_READ = 404
    SHARD_ACQUIRED = 500
    SHARD_LOST = 501
    HOST_REGISTERED = 502
    HOST_STATE_CHANGED = 503
    HOST_MOVED = 504
    WAVE_STARTED = 505
    WAVE_STOPPED = 506
    WAVE_FINISHED = 507
    ORDER_REJECTED = 508
    WORKER_JOINED = 510
    WORKER_LOST = 511
    WORKER_DOUBTED = 512
    WORKER_TRUSTED = 513
    WORKER_SILENT = 514
    HOST_RELEASED = 515
    HOST_ORDERED = 516
    POOLS_COUNTED = 517
    SHARD_HANDED_ON = 518
    JOB_STARTED = 600
    JOB_CHECKPOINTED = 601
    JOB_STOPPED = 602
    JOB_WAITING = 603
    JOB_FAILED = 604
    PROCESSORS_LENT = 605
    JOB_ACCEPTED = 610
    JOB_REFUSED = 611
    TASKS_PLACED = 612
    TASKS_NOT_PLACED = 613
    START_REJECTED = 614
    START_UNKNOWN = 615
    RUN_ENDED = 616
    RUN_LOST = 617
    JOB_ENDED = 618
    JOB_CANCELLED = 619
    TASKS_PACED = 620
    TASK_STRAGGLES = 621
    JOB_RELAYED = 622
    RELAY_FAILED = 623
    JOB_UNREADABLE = 624
    JOB_TURNED_AWAY = 625
    TASK_SUSPECTED = 626
    RUN_STOPPED = 627
    STOP_REFUSED = 628
    RUN_UNKNOWN = 629
    RUNS_RESTORED = 630
    TASK_JUDGED = 631
    RUN_ADOPTED = 632
    ADVICE_ANSWERED = 633
    JOB_BAR_REPLACED = 634
    STORE_FAILED = 700
    STORE_RECOVERED = 701
    HOST_LIST_FAILED = 702
    ROW_REFUSED = 703
    OPERATOR_ORDER = 800
    OPERATOR_REJECTED = 801


class Occurrence(NamedTuple):
    """An event that happened in this process.

    Attributes:
        sequence: Incremented with each event of the process.
        event: Number of the event.
        name: Name of the event.
        level: Log level.
        message: Log message.
        at: Unix time in seconds, for display.
        fields: Values specific to this occurrence, as text.
    """

    sequence: int
    event: int
    name: str
    level: str
    message: str
    at: float
    fields: dict[str, str]


class EventBuffer:
    """Bounded buffer of the most recent events of this process."""

    def __init__(self, size: int = 1000) -> None:
        self._occurrences: collections.deque[Occurrence] = collections.deque(
            maxlen=size
        )
        self._changed = threading.Condition()
        self._sequence = 0

    def add(
        self, event: Event, message: str, level: str, fields: dict[str, Any]
    ) -> None:
        """Appends an event and wakes waiting readers."""
        with self._changed:
            self._sequence += 1
            self._occurrences.append(
                Occurrence(
                    self._sequence,
                    int(event),
                    event.name,
                    level,
                    message,
                    time.time(),
                    {key: str(value) for key, value in fields.items()},
                )
            )
            self._changed.notify_all()

    def after(
        self, sequence: int, wait_seconds: float = 0.0
    ) -> tuple[Occurrence, ...]:
        """Returns the events after a sequence number.

        Args:
            sequence: Last sequence number that the reader has seen. A number
                above the current one belongs to an earlier process and
                counts as 0.
            wait_seconds: Maximum wait for an event if there is none.

        Returns:
            The events still in the buffer; empty if the wait timed out.
        """
        with self._changed:
            last_read = sequence if sequence <= self._sequence else 0
            if self._sequence <= last_read and wait_seconds > 0:
                self._changed.wait(wait_seconds)
            return tuple(
                occurrence
                for occurrence in self._occurrences
                if occurrence.sequence > last_read
            )

    def wake(self) -> None:
        """Wakes all waiting readers, for a shutdown."""
        with self._changed:
            self._changed.notify_all()


RECENT = EventBuffer()

_IMPORTANT_LEVEL = 30  # WARNING; lines of this level or above are dropped last.

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} "
    "{extra[event]:>3} {message} {extra[fields]}"
)


def _write(line: str) -> None:
    # sys.stderr is looked up on each call because it can be redirected.
    sys.stderr.write(line)


def configure(level: str = "INFO", as_json: bool = False) -> None:
    """Configures logging to standard error.

    Args:
        level: Minimum level that is logged.
        as_json: Whether to log each event as one JSON object.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"event": 0, "fields": ""})
    loguru.logger.add(
        _write,
        level=level,
        serialize=as_json,
        format=_TEXT_FORMAT,
        enqueue=False,
    )


def configure_writer(put: Callable[[bool, dict[str, Any]], None]) -> None:
    """Configures logging to a non-blocking writer.

    Args:
        put: Called with whether a line is important and its fields.
    """

    def write(message: Any) -> None:
        record = message.record
        extra = {
            key: value
            for key, value in record["extra"].items()
            if key not in ("fields", "event")
        }
        number = record["extra"]["event"]
        put(
            record["level"].no >= _IMPORTANT_LEVEL,
            {
                "at": round(record["time"].timestamp(), 3),
                "steady": round(time.monotonic(), 3),
                "level": record["level"].name,
                "event": number,
                "name": Event(number).name if number else "",
                "message": record["message"],
                **extra,
            },
        )

    loguru.logger.remove()
    loguru.logger.configure(extra={"event": 0, "fields": ""})
    loguru.logger.add(write, level="INFO", format="{message}", catch=True)


def log(event: Event, message: str, level: str = "INFO", **fields: Any) -> None:
    """Logs one numbered event.

    Args:
        event: Number of the event.
        message: Short sentence, the same for all occurrences of the event.
        level: Log level.
        **fields: Values specific to this occurrence.
    """
    RECENT.add(event, message, level, fields)
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    loguru.logger.bind(event=int(event), fields=text, **fields).log(
        level, message
    )
