"""Stand-in of the service that tells which workers may run a step."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time

import http_service

MAX_WORKERS = 100
MAX_WAITING = 32


class Advice:
    """Allows all workers that are named, after the time that this takes.

    It handles one call at a time for each calling machine. All nodes share one
    address here, but only the holder of a pool asks for its steps.

    Attributes:
        decision_seconds: Time for each call.
        per_worker_seconds: Time for each worker named in a call.
        valid_ms: Time for which tickets are valid.
    """

    def __init__(self, record: Callable[[str], None]) -> None:
        self.decision_seconds = 0.0
        self.per_worker_seconds = 0.0
        self.valid_ms = 3000
        self._record = record
        self._turn = threading.Lock()
        self._waiting = 0

    def answer(self, request: http_service.Request) -> http_service.Answer:
        """Answers one call."""
        step, workers = request.body["step"], request.body["workers"]
        if len(workers) > MAX_WORKERS:
            return 400, {}
        if self._waiting >= MAX_WAITING:
            return 429, {}
        self._waiting += 1
        with self._turn:
            self._waiting -= 1
            seconds = (
                self.decision_seconds + len(workers) * self.per_worker_seconds
            )
            time.sleep(seconds)
        self._record(
            f"advice: {step} for {len(workers)} workers took {seconds:.2f} s"
        )
        issued_ms = int(time.monotonic() * 1000)
        return 200, {
            "allowed": [
                [worker, f"{step}/{worker}/{issued_ms + self.valid_ms}"]
                for worker in workers
            ],
            "valid_ms": self.valid_ms,
        }


def is_valid(ticket: str, task: str, worker_id: str) -> bool:
    """Whether a ticket allows a task of a step on a worker now."""
    step, _, rest = ticket.partition("/")
    ticket_worker, _, until_ms = rest.partition("/")
    return (
        step == task.rpartition(".")[0]
        and ticket_worker == worker_id
        and time.monotonic() * 1000 < int(until_ms or 0)
    )
