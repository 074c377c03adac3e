"""Policy of orders to workers: their timeouts and their repeats.

Load pattern: for seconds, half of the orders get no answer and are carried out
later. A worker answers a start of a run that is there already as it answered
the first one, so a repeat tells what became of the order much sooner than a
stop, which costs the run. A worker that is slow must not get more calls by it,
and one that is cut off must not hold up the orders behind.
"""

from __future__ import annotations

import enum
import math
import random
import threading
import time
from typing import NamedTuple, Protocol

# Weights of the newest response time and of its deviation, and the deviations
# added to the mean, as for retransmissions of TCP (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


class OrderSettings(NamedTuple):
    """Settings of the policy.

    Attributes:
        min_timeout_seconds: Shortest wait for an answer.
        max_timeout_seconds: Longest wait for an answer.
        max_stop_timeout_seconds: Longest wait for the answer to a stop of a
            worker that is not known to be slow. Stops are repeated, so that an
            unanswered one holds up the others only briefly.
        backoff_factor: Factor of the timeout after each call without an answer.
        max_start_calls: Most calls for one start.
        max_start_seconds: Longest time for the calls for one start.
        max_poll_calls: Most calls until a worker that answered the last poll
            counts as silent.
        poll_slack_seconds: Shortest time that a long poll waits for an answer
            beyond the wait that it asked for.
        repeat_delay_seconds: Mean pause before a repeat.
        repeat_spread: Largest share by which a pause differs from the mean.
        worker_repeats: Most repeats that a worker's budget holds.
        worker_repeats_per_second: Refill of a worker's budget.
        node_repeats: Most repeats that the budget of a node holds.
        node_repeats_per_second: Refill of the node's budget.
        repeats_per_answer: Repeats added to both budgets by each answer.
        worker_calls: Most orders that are sent to a worker side by side.
        pool_calls: Most orders of a pool beside the first one to each worker.
        max_silent_calls: Calls without an answer in a row up to which orders go
            side by side; a worker that leaves more of them may be cut off.
    """

    min_timeout_seconds: float = 0.15
    max_timeout_seconds: float = 1.0
    max_stop_timeout_seconds: float = 0.4
    backoff_factor: float = 1.5
    max_start_calls: int = 5
    max_start_seconds: float = 1.0
    max_poll_calls: int = 4
    poll_slack_seconds: float = 0.3
    repeat_delay_seconds: float = 0.02
    repeat_spread: float = 0.5
    worker_repeats: float = 10.0
    worker_repeats_per_second: float = 1.0
    node_repeats: float = 200.0
    node_repeats_per_second: float = 50.0
    repeats_per_answer: float = 2.0
    worker_calls: int = 4
    pool_calls: int = 32
    max_silent_calls: int = 2


DEFAULT_SETTINGS = OrderSettings()


def check(settings: OrderSettings) -> None:
    """Checks settings.

    Args:
        settings: The settings.

    Raises:
        ValueError: If a setting can't be used; the message names it.
    """
    for name, value in settings._asdict().items():
        if not math.isfinite(value) or value < 0:
            raise ValueError(f"orders: {name} is {value}, not 0 or more")
    for name, least in (
        ("min_timeout_seconds", 0.001),
        ("max_timeout_seconds", settings.min_timeout_seconds),
        ("max_stop_timeout_seconds", settings.min_timeout_seconds),
        ("max_start_seconds", settings.min_timeout_seconds),
        ("backoff_factor", 1.0),
        ("max_start_calls", 1),
        ("max_poll_calls", 1),
        ("worker_calls", 1),
        ("pool_calls", 1),
        ("poll_slack_seconds", settings.min_timeout_seconds),
    ):
        value = getattr(settings, name)
        if value < least:
            raise ValueError(f"orders: {name} is {value}, less than {least}")
    if settings.repeat_spread > 1:
        raise ValueError(
            f"orders: repeat_spread is {settings.repeat_spread}, more than 1"
        )


class Verb(enum.Enum):
    """What a call to a worker asks for.

    LONG_POLL waits for news, POLL asks for the present state.
    """

    START = "start"
    STOP = "stop"
    PACE = "pace"
    POLL = "poll"
    LONG_POLL = "long-poll"


class CallTimes(NamedTuple):
    """Measured response times.

    Attributes:
        mean_seconds: Smoothed response time; 0 before the first answer.
        deviation_seconds: Smoothed deviation from it.
        timeouts: Calls without an answer since the last answer.
    """

    mean_seconds: float = 0.0
    deviation_seconds: float = 0.0
    timeouts: int = 0

    @property
    def expected_seconds(self) -> float:
        """Time within which nearly all answers come; 0 if unknown."""
        return self.mean_seconds + DEVIATIONS * self.deviation_seconds


class Attempts(NamedTuple):
    """Calls for one order that got no answer.

    Attributes:
        verb: What it asks for.
        calls: Number of calls.
        seconds: Time since the first of them.
    """

    verb: Verb
    calls: int
    seconds: float


class OrderPolicy(Protocol):
    """Decides how long to wait for an answer and whether to repeat a call."""

    def timeout_seconds(self, verb: Verb, times: CallTimes) -> float:
        """Returns how long to wait for the answer to an order."""

    def after_answer(self, times: CallTimes, seconds: float) -> CallTimes:
        """Returns the response times with an answer after `seconds`."""

    def after_timeout(self, times: CallTimes) -> CallTimes:
        """Returns the response times with a call that got no answer."""

    def repeat_delay(self, attempts: Attempts, draw: float) -> float | None:
        """Returns the pause before a repeat; None to give up.

        Args:
            attempts: The calls so far.
            draw: Random number from 0 to 1.
        """


class MeasuredPolicy:
    """Waits by measured response times; implements `OrderPolicy`.

    Args:
        settings: Settings of the policy.

    Raises:
        ValueError: If a setting can't be used.
    """

    def __init__(self, settings: OrderSettings = DEFAULT_SETTINGS) -> None:
        check(settings)
        self.settings = settings

    def timeout_seconds(self, verb: Verb, times: CallTimes) -> float:
        """Returns how long to wait for the answer to an order."""
        settings = self.settings
        expected_seconds = min(
            max(settings.min_timeout_seconds, times.expected_seconds),
            settings.max_timeout_seconds,
        )
        if verb is Verb.LONG_POLL:
            return max(settings.poll_slack_seconds, expected_seconds)
        if verb is Verb.STOP:
            longest_seconds = max(
                settings.max_stop_timeout_seconds, expected_seconds
            )
        else:
            longest_seconds = settings.max_timeout_seconds
        seconds = expected_seconds
        for _ in range(times.timeouts):
            seconds *= settings.backoff_factor
            if seconds >= longest_seconds:
                return longest_seconds
        return seconds

    def after_answer(self, times: CallTimes, seconds: float) -> CallTimes:
        """Returns the response times with an answer after `seconds`."""
        if not times.mean_seconds:
            return CallTimes(seconds, seconds / 2)
        error = seconds - times.mean_seconds
        return CallTimes(
            times.mean_seconds + MEAN_WEIGHT * error,
            times.deviation_seconds
            + DEVIATION_WEIGHT * (abs(error) - times.deviation_seconds),
        )

    def after_timeout(self, times: CallTimes) -> CallTimes:
        """Returns the response times with a call that got no answer."""
        return times._replace(timeouts=times.timeouts + 1)

    def repeat_delay(self, attempts: Attempts, draw: float) -> float | None:
        """Returns the pause before a repeat; None to give up."""
        settings = self.settings
        most_calls = (
            settings.max_start_calls
            if attempts.verb is Verb.START
            else settings.max_poll_calls
        )
        if (
            attempts.calls >= most_calls
            or attempts.seconds >= settings.max_start_seconds
        ):
            return None
        spread = settings.repeat_spread * (2 * draw - 1)
        return settings.repeat_delay_seconds * (1 + spread)


class RepeatBudget:
    """Limits repeats to what answers and time have added; safe for threads.

    Args:
        most: Repeats that it holds at most, and at first.
        per_second: Refill.
        per_answer: Repeats that each answer adds.
    """

    def __init__(
        self, most: float, per_second: float, per_answer: float
    ) -> None:
        self._most = most
        self._per_second = per_second
        self._per_answer = per_answer
        self._repeats = most
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def on_answer(self) -> None:
        """Adds what an answer is worth."""
        with self._lock:
            self._add(self._per_answer)

    def withdraw(self) -> bool:
        """Takes one repeat.

        Returns:
            Whether there was one.
        """
        with self._lock:
            now = time.monotonic()
            self._add((now - self._refilled_at) * self._per_second)
            self._refilled_at = now
            if self._repeats < 1:
                return False
            self._repeats -= 1
            return True

    def _add(self, repeats: float) -> None:
        self._repeats = min(self._most, self._repeats + repeats)


class NodeOrders:
    """What all orders of a node share: the policy and a budget of repeats.

    Args:
        settings: Settings of the policy.

    Raises:
        ValueError: If a setting can't be used.
    """

    def __init__(self, settings: OrderSettings = DEFAULT_SETTINGS) -> None:
        self.policy: OrderPolicy = MeasuredPolicy(settings)
        self.settings = settings
        self.budget = RepeatBudget(
            settings.node_repeats,
            settings.node_repeats_per_second,
            settings.repeats_per_answer,
        )


class PoolOrders:
    """Response times of all workers of a pool; safe for threads.

    Args:
        node: What the orders of the node share.
    """

    def __init__(self, node: NodeOrders) -> None:
        self.node = node
        self._times = CallTimes()
        self._lock = threading.Lock()

    @property
    def times(self) -> CallTimes:
        """Response times, for workers that have not answered yet."""
        return self._times

    def record_answer(self, seconds: float) -> None:
        """Records an answer."""
        self.node.budget.on_answer()
        with self._lock:
            self._times = self.node.policy.after_answer(self._times, seconds)


class WorkerOrders:
    """Response times and budget of the orders to a worker, or of its polls.

    Args:
        pool: What the orders of its pool share.
    """

    def __init__(self, pool: PoolOrders) -> None:
        self._pool = pool
        self._policy = pool.node.policy
        settings = pool.node.settings
        self._times = CallTimes()
        self._budget = RepeatBudget(
            settings.worker_repeats,
            settings.worker_repeats_per_second,
            settings.repeats_per_answer,
        )

    def timeout_seconds(self, verb: Verb) -> float:
        """Returns how long to wait for the answer to a call.

        For a long poll, beyond the time for which it asks the worker to wait.
        """
        times = self._times
        if not times.mean_seconds:
            times = self._pool.times._replace(timeouts=times.timeouts)
        return self._policy.timeout_seconds(verb, times)

    def record_answer(self, seconds: float) -> None:
        """Records an answer."""
        self._times = self._policy.after_answer(self._times, seconds)
        self._budget.on_answer()
        self._pool.record_answer(seconds)

    def may_go_side_by_side(self, calls: int) -> bool:
        """Whether one more order may be sent beside others.

        Args:
            calls: Orders that are being sent to the worker.
        """
        settings = self._pool.node.settings
        return (
            calls < settings.worker_calls
            and self._times.timeouts <= settings.max_silent_calls
        )

    def record_timeout(self) -> None:
        """Records a call that got no answer in time."""
        self._times = self._policy.after_timeout(self._times)

    def repeat_delay(self, attempts: Attempts) -> float | None:
        """Returns the pause before a repeat; None to give up."""
        delay_seconds = self._policy.repeat_delay(attempts, random.random())
        if delay_seconds is None or not self.withdraw_repeat():
            return None
        return delay_seconds

    def withdraw_repeat(self) -> bool:
        """Takes a repeat from the budgets of the worker and of the node."""
        return self._budget.withdraw() and self._pool.node.budget.withdraw()
