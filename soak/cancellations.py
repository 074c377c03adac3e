"""The check that tasks of cancelled jobs neither start nor go on."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
import math
from typing import NamedTuple

from soak import disturbances
from standins import timed_worker

# Bounds that the users' sites state (`cancel_ms`, `stop_timeout_ms`,
# `contact_ms`).
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.9
CONTACT_SECONDS = 3.0


class CancelledRun(NamedTuple):
    """A run of a task of a cancelled job.

    Attributes:
        started: Its start.
        ended_at: Monotonic time of its end; infinite if it still runs.
        ended_as: How it ended; empty if it still runs.
        cancelled_at: Monotonic time at which the cancellation was acknowledged.
    """

    started: timed_worker.RunEvent
    ended_at: float
    ended_as: str
    cancelled_at: float


class Surroundings(NamedTuple):
    """Faults near a run.

    Attributes:
        of_sender: Returns the faults of the node that sent a start order, and
            of the store.
        of_run: Returns the faults, in a span, of all that takes part in the
            stop of a run: its worker, the holders of its pool and the store.
    """

    of_sender: Callable[[timed_worker.RunEvent], list[disturbances.Span]]
    of_run: Callable[
        [timed_worker.RunEvent, disturbances.Span], list[disturbances.Span]
    ]


def cancelled_runs(
    run_events: Iterable[timed_worker.RunEvent],
    cancelled_at_by_job: Mapping[str, float],
) -> list[CancelledRun]:
    """Returns the runs of cancelled jobs, in the order of their starts."""
    started_by_run: dict[tuple[object, int, str], timed_worker.RunEvent] = {}
    ended_by_run: dict[tuple[object, int, str], timed_worker.RunEvent] = {}
    for run_event in run_events:
        if run_event.task.job_id not in cancelled_at_by_job:
            continue
        key = run_event.task, run_event.run, run_event.worker_id
        if run_event.event == "start":
            started_by_run[key] = run_event
        else:
            ended_by_run[key] = run_event
    return [
        CancelledRun(
            started,
            ended.at if (ended := ended_by_run.get(key)) else math.inf,
            ended.event if ended else "",
            cancelled_at_by_job[started.task.job_id],
        )
        for key, started in sorted(
            started_by_run.items(), key=lambda item: item[1].at
        )
    ]


def violations(
    runs: Iterable[CancelledRun], checked_at: float, near: Surroundings
) -> list[str]:
    """Returns the violations of the bounds on cancelled jobs.

    Args:
        runs: Runs of cancelled jobs.
        checked_at: Monotonic time of the check, until which a run without an
            end has run.
        near: Faults near each run.
    """
    return [
        violation
        for run in runs
        for violation in (
            _late_start(run, near),
            _long_run(run, checked_at, near),
        )
        if violation
    ]


def _late_start(run: CancelledRun, near: Surroundings) -> str:
    """Checks that a task does not start long after the cancellation.

    RULES.md, UNASKED: this holds for a machine in touch. An order that the
    worker executed late says nothing about the machine that sent it.
    """
    started = run.started
    seconds = started.at - run.cancelled_at
    in_touch = disturbances.calm_spans(
        disturbances.Span(started.at - 1e-6, started.at),
        near.of_sender(started),
        CONTACT_SECONDS,
    )
    if seconds <= CANCEL_SECONDS or started.late or not in_touch:
        return ""
    return (
        f"run {started.run} of {started.task} started on {started.worker_id} "
        f"{seconds:.2f} s after its job was cancelled"
    )


def _long_run(run: CancelledRun, checked_at: float, near: Surroundings) -> str:
    """Checks that a run does not outlast a calm span of sufficient length.

    RULES.md, UNASKED: a run has to end `stop_timeout_ms` after `cancel_ms`
    with no disruption near, counted from `contact_ms` after its start if the
    worker executed the start late. A fault may keep the stop from the worker;
    its lease is renewed no more then, or its holder changes.
    """
    start = run.cancelled_at
    if run.started.late:
        start = max(start, run.started.at + CONTACT_SECONDS)
    span = disturbances.Span(start, min(run.ended_at, checked_at))
    longest_seconds = max(
        (
            calm.end - calm.start
            for calm in disturbances.calm_spans(
                span, near.of_run(run.started, span), CONTACT_SECONDS
            )
            if calm.end > run.started.at
        ),
        default=0.0,
    )
    if longest_seconds <= CANCEL_SECONDS + STOP_SECONDS:
        return ""
    return (
        f"run {run.started.run} of {run.started.task} on "
        f"{run.started.worker_id} (late start: {run.started.late}) went on for "
        f"{span.end - run.cancelled_at:.2f} s after its job was cancelled, "
        f"{longest_seconds:.2f} s of them without a fault near"
        + (f"; it ended as {run.ended_as}" if run.ended_as else "")
    )
