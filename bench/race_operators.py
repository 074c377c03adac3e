"""Operators that concurrently change the same services."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading
import time
from typing import Any, NamedTuple

from returns import result

from bench import race_entry
from wisteriasill import errors
from wisteriasill.links import operator_client

ATTEMPTS = 400
MAX_UNCONFIRMED = 20
MAX_CHANGES = 1000  # Per operator.
PAUSE_SECONDS = 0.05


class ChangeOutcome(NamedTuple):
    """Outcome of one change.

    Attributes:
        author: Unique name of the change.
        service: Changed service.
        accepted: Whether an entry host confirmed it.
        generation: Generation that contains the change.
        at: Monotonic seconds of the confirmation.
        conflicts: Number of conflicts with other operators.
        uncertain: Whether an attempt ended with an unknown outcome.
    """

    author: str
    service: str
    accepted: bool
    generation: int
    at: float
    conflicts: int
    uncertain: bool


class Operator:
    """Reads a service, adds a minute to its maintenance and publishes it.

    After a conflict the service is read and changed again, so each accepted
    change adds exactly one minute. Each change also sets a unique number of
    days, because two equal documents are no conflict.

    Args:
        name: Name of the operator.
        number: Unique number of the operator.
        seed: Seed of the choices.
        pick_url: Returns the URL of a random entry host.
    """

    def __init__(
        self,
        name: str,
        number: int,
        seed: int,
        pick_url: Callable[[random.Random], str],
    ) -> None:
        self._name = name
        self._days = MAX_CHANGES * number
        self._random = random.Random(seed)
        self._pick_url = pick_url
        self._pause = threading.Event()

    def run(self, services: list[str], changes: int) -> list[ChangeOutcome]:
        """Makes changes until the given number of them is accepted.

        A change whose answer was lost, and whose service another operator
        changed afterwards, is neither accepted nor refused. It is followed by
        another change.
        """
        outcomes: list[ChangeOutcome] = []
        for number in range(changes + MAX_UNCONFIRMED):
            service = self._random.choice(services)
            outcomes.append(self._change(f"{self._name}.{number}", service))
            if sum(outcome.accepted for outcome in outcomes) == changes:
                break
        return outcomes

    def _change(self, author: str, service: str) -> ChangeOutcome:
        conflicts = 0
        uncertain = False
        self._days += 1
        pending: dict[str, Any] | None = None
        for _ in range(ATTEMPTS):
            client = operator_client.OperatorClient(
                self._pick_url(self._random), race_entry.TOKEN
            )
            pending = pending or self._prepare(client, author, service)
            if pending is None:
                self._pause.wait(PAUSE_SECONDS)
                continue
            match client.post("/v1/configuration", pending):
                case result.Success(manifest):
                    return ChangeOutcome(
                        author,
                        service,
                        True,
                        int(manifest["entries"][service]["generation"]),
                        time.monotonic(),
                        conflicts,
                        uncertain,
                    )
                case result.Failure(failure):
                    pass
            if failure.kind is errors.ErrorKind.CONFIGURATION_CONFLICT:
                if uncertain:
                    break  # The stored records show whether it took effect.
                conflicts += 1
                pending = None
            elif failure.executed is not errors.Executed.NO:
                uncertain = True  # Retries the same document, as the CLI does.
            self._pause.wait(self._random.uniform(0.2, 1) * PAUSE_SECONDS)
        return ChangeOutcome(
            author, service, False, 0, time.monotonic(), conflicts, uncertain
        )

    def _prepare(
        self, client: operator_client.OperatorClient, author: str, service: str
    ) -> dict[str, Any] | None:
        match client.get("/v1/configuration"):
            case result.Success(answer):
                pass
            case _:
                return None
        matching = [
            row["document"]
            for row in answer["documents"]
            if row["name"] == service
        ]
        if not matching:
            return None
        matching[0]["pool"]["maintenance_minutes"] += 1
        matching[0]["pool"]["maintenance_every_days"] = self._days
        return {
            "documents": {service: matching[0]},
            "author": author,
            "base_generation": answer["generation"],
        }
