"""Calls to a worker that are measured and, without an answer, repeated."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import threading
import time
from typing import Protocol

from wisteriasill.contracts import order_policy
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job

# A call that fails after a smaller share of its timeout did not time out: its
# connection was lost.
TIMED_OUT_SHARE = 0.9
# A connection that could not be opened for longer was not refused: a packet may
# have been lost.
REFUSED_SECONDS = 0.05
UNANSWERED = (
    cluster.OrderOutcome.UNKNOWN,
    cluster.OrderOutcome.UNREACHABLE,
)
# Answers to a repeated start that hold for the first one too: the run is there,
# or it was there or stopped, and no start of it is carried out any more.
_CONCLUSIVE_REPEATS = (
    cluster.OrderOutcome.DONE,
    cluster.OrderOutcome.RUN_TOO_OLD,
)


class StartPermit(Protocol):
    """Tells whether a planned run should still be started."""

    def may_start(self, run: batch_job.Run) -> bool:
        """Whether a planned run should still be started."""


class OrderCalls(order_policy.WorkerOrders):
    """Sends orders with timeouts by the response times of earlier ones.

    Args:
        pool: What the orders of the pool share.
        closing: Ends the pauses before repeats.
        on_timeout: Called when an order got no answer in time.
    """

    def __init__(
        self,
        pool: order_policy.PoolOrders,
        closing: threading.Event,
        on_timeout: Callable[[], None],
    ) -> None:
        super().__init__(pool)
        self._closing = closing
        self._on_timeout = on_timeout

    def send(
        self,
        verb: order_policy.Verb,
        call: Callable[[float], cluster.OrderAnswer],
    ) -> cluster.OrderAnswer:
        """Sends an order.

        Args:
            verb: What it asks for.
            call: Sends it with a timeout in seconds.
        """
        timeout_seconds = self.timeout_seconds(verb)
        sent_at = time.monotonic()
        answer = call(timeout_seconds)
        seconds = time.monotonic() - sent_at
        if answer.outcome not in UNANSWERED:
            self.record_answer(seconds)
        elif seconds >= TIMED_OUT_SHARE * timeout_seconds:
            self.record_timeout()
            self._on_timeout()
        return answer

    def start_once(
        self, link: cluster.WorkerLink, order: cluster.StartOrder
    ) -> cluster.OrderAnswer:
        """Sends a start."""
        return self.send(
            order_policy.Verb.START,
            lambda timeout_seconds: link.start(order, timeout_seconds),
        )

    def start(
        self,
        link: cluster.WorkerLink,
        order: cluster.StartOrder,
        run: batch_job.Run,
        permit: StartPermit,
    ) -> cluster.OrderAnswer:
        """Sends a start, and repeats it while it gets no answer.

        The worker answers a repeated start of the same run as the first, so a
        run whose answer was lost goes on.

        Args:
            link: The worker.
            order: The start.
            run: Its run.
            permit: Asked before each repeat.
        """
        # Until a call is answered, an error leaves the order uncertain.
        run.has_unanswered_start = True
        is_sent = False
        first_sent_at = time.monotonic()
        for calls in itertools.count(1):
            sent_at = run.ordered_at = time.monotonic()
            answer = self.start_once(link, order)
            if answer.outcome not in UNANSWERED:
                break
            is_sent |= answer.outcome is cluster.OrderOutcome.UNKNOWN
            now = time.monotonic()
            if not is_sent and now - sent_at < REFUSED_SECONDS:
                break
            delay_seconds = self.repeat_delay(
                order_policy.Attempts(
                    order_policy.Verb.START, calls, now - first_sent_at
                )
            )
            if delay_seconds is None or self._closing.wait(delay_seconds):
                break
            if run.state is batch_job.RunState.RUNNING:
                # A report has shown it in the meantime.
                return cluster.OrderAnswer(cluster.OrderOutcome.DONE)
            if run.state is batch_job.RunState.ENDED or not permit.may_start(
                run
            ):
                break
        if not is_sent:
            run.has_unanswered_start = False
            return answer
        if answer.outcome in _CONCLUSIVE_REPEATS:
            return answer
        # A refusal of a repeat says nothing about the first call, which may
        # have started the run.
        return answer._replace(outcome=cluster.OrderOutcome.UNKNOWN)


class PollCalls(order_policy.WorkerOrders):
    """Polls with timeouts by the response times of earlier polls.

    Args:
        pool: What the orders of the pool share.
        closing: Ends the pauses before repeats.
    """

    def __init__(
        self, pool: order_policy.PoolOrders, closing: threading.Event
    ) -> None:
        super().__init__(pool)
        self._closing = closing

    def poll_at_once(
        self, link: cluster.WorkerLink, fencing_epoch: int, acknowledged: int
    ) -> cluster.WorkerReport | cluster.OrderOutcome:
        """Polls without a wait or a renewal of the lease."""
        timeout_seconds = self.timeout_seconds(order_policy.Verb.POLL)
        sent_at = time.monotonic()
        answer = link.poll(
            fencing_epoch, acknowledged, None, 0.0, timeout_seconds
        )
        seconds = time.monotonic() - sent_at
        if answer is not cluster.OrderOutcome.UNKNOWN:
            self.record_answer(seconds)
        elif seconds >= TIMED_OUT_SHARE * timeout_seconds:
            self.record_timeout()
        return answer

    def repeat(
        self, link: cluster.WorkerLink, fencing_epoch: int
    ) -> tuple[float, cluster.WorkerReport | cluster.OrderOutcome]:
        """Repeats a poll without an answer, as only that may have been lost.

        The worker may be cut off, so its lease is not renewed meanwhile.

        Returns:
            When the last poll was sent, and its answer.
        """
        failed_at = sent_at = time.monotonic()
        answer: cluster.WorkerReport | cluster.OrderOutcome
        answer = cluster.OrderOutcome.UNKNOWN
        for calls in itertools.count(1):
            delay_seconds = self.repeat_delay(
                order_policy.Attempts(
                    order_policy.Verb.POLL, calls, time.monotonic() - failed_at
                )
            )
            if delay_seconds is None or self._closing.wait(delay_seconds):
                break
            sent_at = time.monotonic()
            answer = self.poll_at_once(link, fencing_epoch, 0)
            if answer is not cluster.OrderOutcome.UNKNOWN:
                break
        return sent_at, answer
