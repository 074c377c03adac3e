"""Requests with idempotency keys sent by several callers concurrently."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from concurrent import futures
import random
import time
from typing import NamedTuple

from standins import backend_records
from standins import balancer as balancers
from wisteriasill import clock as clocks

_THREADS = 96
# Probability that another caller sends the same key too, applied repeatedly.
_DUPLICATED_SHARE = 0.4
_MAX_DUPLICATE_DELAY_SECONDS = 0.2
_RETRY_DELAY_SECONDS = 0.4
_MAX_RETRIES = 5


class ScheduledCall(NamedTuple):
    """A request that a caller repeats until it is answered.

    Attributes:
        at_seconds: Start time, relative to the start of the load.
        call: The request.
    """

    at_seconds: float
    call: balancers.Call


class Attempt(NamedTuple):
    """One request that was sent.

    Attributes:
        key: Idempotency key.
        sent_at: Monotonic seconds.
        answered_at: Monotonic seconds.
        outcome: Outcome of the request.
        port: Caller port of the entry host; 0 if none was ready.
    """

    key: str
    sent_at: float
    answered_at: float
    outcome: balancers.Outcome
    port: int


class Kill(NamedTuple):
    """An entry host that was killed.

    Attributes:
        port: Caller port of the entry host.
        at: Monotonic seconds.
    """

    port: int
    at: float


class KeyCounts(NamedTuple):
    """Outcomes of all keys.

    Attributes:
        keys: Keys that were sent.
        attempts: Requests that were sent.
        executed_twice: Keys that back ends executed more than once.
        false_no: Executions that only a request answered `executed: no` can
            have caused.
        no_after_run: Answers `executed: no` to retries of keys that an
            earlier request had executed; the caller could send them as new.
        wrong_replies: Replies that were incomplete or of another request.
        answered_keys: Keys that got the complete reply.
        unknown_keys: Keys whose last answer was `executed: unknown`.
        refused_keys: Keys whose last answer was `executed: no`.
        replays_checked: Answered keys that were sent again after the faults.
        replays_unknown: Replays whose reply was not recorded, because the
            entry host was killed while its record waited for the store.
        replays_incomplete: Other replays without the complete reply.
    """

    keys: int
    attempts: int
    executed_twice: int
    false_no: int
    no_after_run: int
    wrong_replies: int
    answered_keys: int
    unknown_keys: int
    refused_keys: int
    replays_checked: int
    replays_unknown: int
    replays_incomplete: int


def plan(
    calls: Sequence[balancers.Call], seconds: float, seed: int
) -> list[ScheduledCall]:
    """Spreads calls evenly over time and adds duplicates with the same keys.

    Args:
        calls: One call for each key.
        seconds: Duration of the load.
        seed: Seed of the random numbers.

    Returns:
        Calls ordered by start time.
    """
    rng = random.Random(seed)
    scheduled_calls: list[ScheduledCall] = []
    for index, call in enumerate(calls):
        at = seconds * index / len(calls)
        scheduled_calls.append(ScheduledCall(at, call))
        while rng.random() < _DUPLICATED_SHARE:
            delay = rng.uniform(0, _MAX_DUPLICATE_DELAY_SECONDS)
            scheduled_calls.append(ScheduledCall(at + delay, call))
    return sorted(
        scheduled_calls, key=lambda scheduled_call: scheduled_call.at_seconds
    )


class KeyLoad:
    """Sends scheduled calls at their times."""

    def __init__(self, balancer: balancers.Balancer) -> None:
        self._balancer = balancer
        self._clock = clocks.SystemClock()
        self._pool = futures.ThreadPoolExecutor(_THREADS, "key-caller")
        self._tasks: list[futures.Future[list[Attempt]]] = []

    def run(self, scheduled_calls: Iterable[ScheduledCall]) -> None:
        """Sends calls; returns when the last one has started."""
        started_at = time.monotonic()
        for scheduled_call in scheduled_calls:
            time.sleep(
                max(
                    0.0,
                    started_at + scheduled_call.at_seconds - time.monotonic(),
                )
            )
            self._tasks.append(
                self._pool.submit(
                    self._send_until_answered, scheduled_call.call
                )
            )

    def join(self) -> list[Attempt]:
        """Waits for all calls and returns their attempts."""
        tasks, self._tasks = self._tasks, []
        return [attempt for task in tasks for attempt in task.result()]

    def replay(
        self, calls: Sequence[balancers.Call], per_second: float
    ) -> list[Attempt]:
        """Sends each call once more at a constant rate."""
        started_at = time.monotonic()
        tasks: list[futures.Future[Attempt]] = []
        for index, call in enumerate(calls):
            due_at = started_at + index / per_second
            time.sleep(max(0.0, due_at - time.monotonic()))
            tasks.append(self._pool.submit(self.send, call))
        return [task.result() for task in tasks]

    def close(self) -> None:
        """Stops the threads."""
        self._pool.shutdown()

    def _send_until_answered(self, call: balancers.Call) -> list[Attempt]:
        attempts: list[Attempt] = []
        for number in range(_MAX_RETRIES + 1):
            if number:
                time.sleep(_RETRY_DELAY_SECONDS * number)
            attempts.append(self.send(call))
            if attempts[-1].outcome.whole:
                break
        return attempts

    def send(self, call: balancers.Call) -> Attempt:
        """Sends one request to the next ready entry host."""
        sent_at = time.monotonic()
        try:
            port = self._balancer.next_port()
        except LookupError as error:
            port = 0
            outcome = balancers.Outcome(0, False, "", "no", 0.0, str(error))
        else:
            outcome = balancers.send(port, call, self._clock)
        return Attempt(
            call.idempotency_key, sent_at, time.monotonic(), outcome, port
        )


def _is_false_no(run_at: float, attempts: Iterable[Attempt]) -> bool:
    """Whether only requests answered `executed: no` can explain a run."""
    return not any(
        attempt.sent_at <= run_at
        and attempt.outcome.executed != "no"
        and (attempt.answered_at >= run_at or not attempt.outcome.whole)
        for attempt in attempts
    )


def _is_lost_by_kill(
    replay: Attempt, attempts: Iterable[Attempt], kills: Sequence[Kill]
) -> bool:
    """Whether a replay is unknown because the host that replied was killed."""
    return replay.outcome.executed == "unknown" and any(
        attempt.outcome.whole
        and any(
            kill.port == attempt.port and kill.at >= attempt.answered_at
            for kill in kills
        )
        for attempt in attempts
    )


def count(
    attempts: Sequence[Attempt],
    replays: Sequence[Attempt],
    kills: Sequence[Kill],
    reports: Iterable[backend_records.BackendReport],
) -> KeyCounts:
    """Compares the answers of callers with the executions of back ends.

    Args:
        attempts: Requests sent during the faults.
        replays: One more request per key, sent after the faults.
        kills: Entry hosts killed during the load.
        reports: Final reports of the back ends.

    Returns:
        The counts.
    """
    runs: dict[str, list[float]] = {}
    for report in reports:
        for run in report.executions:
            runs.setdefault(run.idempotency_key, []).append(run.started_at)
    by_key: dict[str, list[Attempt]] = {}
    for attempt in (*attempts, *replays):
        by_key.setdefault(attempt.key, []).append(attempt)
    answered = {attempt.key for attempt in attempts if attempt.outcome.whole}
    checked = [replay for replay in replays if replay.key in answered]
    incomplete = [replay for replay in checked if not replay.outcome.whole]
    lost = sum(
        _is_lost_by_kill(replay, by_key[replay.key], kills)
        for replay in incomplete
    )
    last_executed = [
        key_attempts[-1].outcome.executed for key_attempts in by_key.values()
    ]
    return KeyCounts(
        keys=len(by_key),
        attempts=len(attempts),
        executed_twice=sum(len(runs.get(key, ())) > 1 for key in by_key),
        false_no=sum(
            _is_false_no(run_at, key_attempts)
            for key, key_attempts in by_key.items()
            for run_at in runs.get(key, ())
        ),
        no_after_run=sum(
            attempt.outcome.executed == "no"
            and any(at < attempt.sent_at for at in runs.get(attempt.key, ()))
            for attempt in attempts
        ),
        wrong_replies=sum(
            attempt.outcome.status != 0
            and not attempt.outcome.kind
            and not attempt.outcome.whole
            for attempt in (*attempts, *replays)
        ),
        answered_keys=len(answered),
        unknown_keys=last_executed.count("unknown"),
        refused_keys=last_executed.count("no"),
        replays_checked=len(checked),
        replays_unknown=lost,
        replays_incomplete=len(incomplete) - lost,
    )
