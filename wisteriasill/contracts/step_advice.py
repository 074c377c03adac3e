"""Advice on the workers of a step: whom to ask about, and when to ask again.

Load pattern: workers are added to the pool of a queue with advice at a peak. A
call takes longer for each worker that it names, and one that is given up is
worked on all the same, so the calls behind it wait for it as well.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
import itertools
import random
from typing import NamedTuple

from wisteriasill.contracts import queue as queues


class AdviceSettings(NamedTuple):
    """Settings of the calls for advice.

    Attributes:
        workers_per_call: Most workers that one call names. The platform accepts
            100; the objective of a job allows for one call on 30 a step.
        slack_seconds: Time beyond the declared one that a call may take.
        max_slack_seconds: The same after calls that got no answer.
        backoff_factor: Factor of the slack after each call without an answer,
            and of the pause after each call that failed.
        first_pause_seconds: Mean pause after the first failure.
        max_pause_seconds: Longest mean pause.
        pause_spread: Largest share by which a pause differs from the mean.
    """

    workers_per_call: int = 30
    slack_seconds: float = 2.0
    max_slack_seconds: float = 8.0
    backoff_factor: float = 2.0
    first_pause_seconds: float = 0.1
    max_pause_seconds: float = 2.0
    pause_spread: float = 0.5


DEFAULT_SETTINGS = AdviceSettings()


def declared_seconds(rule: queues.AdviceRule, workers: int) -> float:
    """Returns how long a call that names some workers takes by its queue."""
    return rule.decision_seconds + workers * rule.per_worker_seconds


class CallPacing:
    """Timeouts and pauses of the calls of one pool.

    Args:
        settings: The settings.
        draw: Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        settings: AdviceSettings = DEFAULT_SETTINGS,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._settings = settings
        self._draw = draw
        self._failures = 0
        self._unanswered = 0

    def timeout_seconds(self, expected_seconds: float) -> float:
        """Returns how long to wait for an answer.

        Args:
            expected_seconds: Declared time of the call.
        """
        settings = self._settings
        slack_seconds = settings.slack_seconds * (
            settings.backoff_factor**self._unanswered
        )
        return expected_seconds + min(slack_seconds, settings.max_slack_seconds)

    def record_answer(self) -> None:
        """Ends the growth of timeouts and pauses."""
        self._failures = self._unanswered = 0

    def record_failure(self, answered: bool) -> float:
        """Returns the pause before the next call.

        Args:
            answered: Whether the service answered at all.
        """
        settings = self._settings
        # A float power would overflow after a day without the service.
        if not answered and self.timeout_seconds(0.0) < (
            settings.max_slack_seconds
        ):
            self._unanswered += 1
        mean_seconds = min(
            settings.first_pause_seconds
            * settings.backoff_factor ** min(self._failures, 16),
            settings.max_pause_seconds,
        )
        self._failures += 1
        spread = settings.pause_spread * (2 * self._draw() - 1)
        return mean_seconds * (1 + spread)


class Permit(NamedTuple):
    """What the service said about a worker.

    Attributes:
        ticket: Its ticket; empty if the step may not run there.
        until: Monotonic time at which the ticket expires.
    """

    ticket: str
    until: float


class StepAdvice:
    """The advice on one step that a holder has received.

    Attributes:
        is_wanted: Whether a task of the step found no worker among those that
            have a valid ticket.
        failed_calls: Calls that failed since the last answer.
    """

    def __init__(self) -> None:
        self._permit_by_worker: dict[str, Permit] = {}
        self.is_wanted = False
        self.failed_calls = 0

    def permitted(self, now: float) -> Collection[str]:
        """Returns the ids of the workers that may run the step now."""
        return {
            worker_id
            for worker_id, permit in self._permit_by_worker.items()
            if permit.ticket and now < permit.until
        }

    def ticket(self, worker_id: str) -> str:
        """Returns the ticket for a worker; empty if there is none."""
        permit = self._permit_by_worker.get(worker_id)
        return permit.ticket if permit else ""

    def record(
        self,
        named: Iterable[str],
        ticket_by_worker: Mapping[str, str],
        until: float,
        now: float,
    ) -> None:
        """Records an answer.

        Args:
            named: Ids of the workers that the call named.
            ticket_by_worker: Tickets of those that may run the step.
            until: Monotonic time at which the tickets expire.
            now: Monotonic time.
        """
        self.failed_calls = 0
        for worker_id in itertools.chain(named, ticket_by_worker):
            self._permit_by_worker[worker_id] = Permit(
                ticket_by_worker.get(worker_id, ""), until
            )
        # Else the next planning round tells whether the tickets are enough.
        self.is_wanted = not self.permitted(now)

    def expire(self) -> None:
        """Has all tickets renewed, as a worker has refused one of them."""
        self._permit_by_worker = {
            worker_id: permit._replace(until=0.0)
            for worker_id, permit in self._permit_by_worker.items()
        }

    def forget(self, worker_id: str) -> None:
        """Forgets a worker whose incarnation has ended."""
        self._permit_by_worker.pop(worker_id, None)

    def workers_to_name(
        self, worker_ids: Iterable[str], most: int, now: float
    ) -> list[str]:
        """Returns the workers that the next call names.

        The workers that may run a step do not change. So those that may come
        first, then those that no call has named; those that may not are named
        again only where none may.

        Args:
            worker_ids: Workers that could run the step, the best first.
            most: Most workers to name.
            now: Monotonic time.

        Returns:
            Their ids; empty if a call would tell nothing new.
        """
        allowed: list[str] = []
        unknown: list[str] = []
        refused: list[str] = []
        for worker_id in worker_ids:
            permit = self._permit_by_worker.get(worker_id)
            if permit is None:
                unknown.append(worker_id)
            elif now >= permit.until:
                (allowed if permit.ticket else refused).append(worker_id)
        may_run_nowhere = not any(
            permit.ticket for permit in self._permit_by_worker.values()
        )
        names = [*allowed, *unknown] or (refused if may_run_nowhere else [])
        return names[:most]
