"""Faults of the calls to a worker, on top of its HTTP interface."""

from __future__ import annotations

from collections.abc import Callable
import json
import random
import threading
import time
from typing import NamedTuple

from werkzeug import wrappers

from standins import platform_http

REFUSAL_STATUSES = (429, 503)
# Longer than clients wait for the response of any call.
UNANSWERED_SECONDS = 2.5


class OrderFaults(NamedTuple):
    """Faults of the calls to a worker.

    Attributes:
        late_share: Share of calls that get no response and are executed later.
        min_late_seconds: Shortest delay of such a call.
        max_late_seconds: Longest delay of such a call.
        refused_share: Share of calls that are refused without any effect.
        cut_nodes: Names of nodes whose calls are not delivered.
    """

    late_share: float = 0.0
    min_late_seconds: float = 0.3
    max_late_seconds: float = 12.0
    refused_share: float = 0.0
    cut_nodes: tuple[str, ...] = ()


NO_FAULTS = OrderFaults()


class FaultyWorkerService:
    """Passes calls to a worker's interface with the active faults.

    Args:
        service: The interface.
        find_sender: Returns the node that holds a fencing token.

    Attributes:
        faults: The active faults.
        closing: Ends the waits of unanswered calls.
        late_calls: Number of calls that are to be executed later.
    """

    def __init__(
        self,
        service: platform_http.WorkerService,
        find_sender: Callable[[int], str],
    ) -> None:
        self.service = service
        self.faults = NO_FAULTS
        self.closing = threading.Event()
        self.late_calls = 0
        self._lock = threading.Lock()
        self._find_sender = find_sender
        # Not seeded, as the order of concurrent calls is not reproducible.
        self._rng = random.Random()

    def answer(self, request: wrappers.Request) -> platform_http.JsonResponse:
        """Handles one call."""
        faults = self.faults
        if faults == NO_FAULTS:
            return self.service.answer(request)
        sender = self._find_sender(
            json.loads(request.get_data())["fencing_token"]
        )
        if sender in faults.cut_nodes:
            self.closing.wait(UNANSWERED_SECONDS)
            return 500, {}  # Represents a reset connection.
        draw = self._rng.random()
        if draw < faults.refused_share:
            return self._rng.choice(REFUSAL_STATUSES), {}
        if draw < faults.refused_share + faults.late_share:
            self._execute_later(request, faults)
            # Some connections break at once, others stay silent.
            if self._rng.random() < 0.5:
                self.closing.wait(UNANSWERED_SECONDS)
            return 500, {}
        return self.service.answer(request)

    def _execute_later(
        self, request: wrappers.Request, faults: OrderFaults
    ) -> None:
        delay_seconds = self._rng.uniform(
            faults.min_late_seconds, faults.max_late_seconds
        )
        incarnation = self.service.worker.started_ms
        execute_at = time.monotonic() + delay_seconds

        def execute() -> None:
            self.closing.wait(execute_at - time.monotonic())
            if not self.closing.is_set():
                self.service.execute(request, incarnation, late=True)
            with self._lock:
                self.late_calls -= 1

        with self._lock:
            self.late_calls += 1
        threading.Thread(target=execute, daemon=True).start()
