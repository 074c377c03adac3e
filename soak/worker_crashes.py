"""Bursts of crashes of workers, chosen by a seeded generator."""

from __future__ import annotations

from concurrent import futures
import enum
import random
import threading
import time
from typing import NamedTuple

from soak import site as sites
from standins import timed_worker
from wisteriasill.contracts import job_spec

# Shares of the workers that crash in a series, and in each wave of several.
SERIES_SHARES = (0.2, 0.5)
WAVE_SHARES = (0.1, 0.3)
WAVES = (4, 10)
GAP_SECONDS = (0.1, 0.5)
SILENT_SHARE = 0.7
QUIET_SECONDS = (5.0, 12.0)
DOWN_SECONDS = (0.1, 1.0)
# A silent worker is on the list of hosts first, or its registry entry lapses.
LISTED_SHARE = 0.7
UNLISTED_SECONDS = (0.2, 0.6)
LAPSING_SECONDS = (1.6, 2.5)
START_WAIT_SECONDS = 0.3
CONFIRMED_SECONDS = (0.005, 0.2)
# Longest wait for the next start of a task after the crash of its worker.
RESTARTED_SECONDS = 4.0
# Held while workers wait for the start of a task; there is only one such task.
_silencing_lock = threading.Lock()


class Moment(enum.StrEnum):
    """When a worker crashes, as seen from the starts on it."""

    ANY = "at any time"
    UNCONFIRMED = "before it confirms a start"
    CONFIRMED = "after it confirmed a start"


class Crash(NamedTuple):
    """A crash of a worker.

    Attributes:
        seconds: Time from the reset of its connections to its return.
        silent_seconds: Time before, in which they stay open without responses.
        unlisted_seconds: Time until the list of hosts shows the crash.
    """

    moment: Moment
    seconds: float
    silent_seconds: float
    unlisted_seconds: float


def crash_in_series(site: sites.Site, rng: random.Random) -> str:
    """Crashes some workers one after the other, after a calm spell."""
    time.sleep(rng.uniform(*QUIET_SECONDS))
    count = _count(site, rng.uniform(*SERIES_SHARES))
    return _crash_waves(site, rng, [1] * max(2, count))


def crash_in_waves(site: sites.Site, rng: random.Random) -> str:
    """Crashes some workers at a time, again and again, after a calm spell."""
    time.sleep(rng.uniform(*QUIET_SECONDS))
    count = _count(site, rng.uniform(*WAVE_SHARES))
    return _crash_waves(site, rng, [count] * rng.randint(*WAVES))


def crash_twice_under_a_task(site: sites.Site, rng: random.Random) -> str:
    """Crashes workers at two starts of a task, and others meanwhile.

    The first run has started; the second one has, or its worker falls silent
    before it gets the order.
    """
    time.sleep(rng.uniform(*QUIET_SECONDS))
    count = _count(site, rng.uniform(*SERIES_SHARES))
    is_silent = rng.random() < SILENT_SHARE
    draws = [
        (_draw(rng, is_silent), rng.uniform(*CONFIRMED_SECONDS))
        for _ in range(2)
    ]
    first, task = len(site.log.run_events), None
    with futures.ThreadPoolExecutor(3) as executor:
        crashes = [
            executor.submit(_crash_waves, site, rng, [1] * max(1, count - 2))
        ]
        for crash, delay_seconds in draws:
            if task and crash.moment is Moment.UNCONFIRMED:
                workers = _silence_before_start(site, task)
            else:
                started = _next_start(site, first, task)
                if started is None:
                    break
                first, task = len(site.log.run_events), started.task
                time.sleep(delay_seconds)
                workers = [
                    worker
                    for worker in site.workers
                    if worker.worker_id == started.worker_id
                ]
            crashes.append(
                executor.submit(
                    _crash, site, workers, crash._replace(moment=Moment.ANY)
                )
            )
        descriptions = [crash.result() for crash in crashes]
    return f"under {task}: " + "; ".join(filter(None, descriptions))


def _next_start(
    site: sites.Site, first: int, task: job_spec.TaskKey | None
) -> timed_worker.RunEvent | None:
    """Waits for a start, of a certain task if there is one.

    Args:
        site: The site.
        first: Number of the first event in the log to consider.
        task: The task; None for any.
    """
    deadline = time.monotonic() + RESTARTED_SECONDS
    while time.monotonic() < deadline:
        with site.log.lock:
            for run_event in site.log.run_events[first:]:
                if run_event.event == "start" and task in (
                    None,
                    run_event.task,
                ):
                    return run_event
        time.sleep(timed_worker.POLL_SECONDS)
    return None


def _silence_before_start(
    site: sites.Site, task: job_spec.TaskKey
) -> list[timed_worker.TimedWorker]:
    """Silences the worker that gets the next start order of a task.

    Returns:
        That worker, if there was an order in time.
    """
    with _silencing_lock:
        for worker in site.workers:
            worker.silent_at_task = task
        deadline = time.monotonic() + RESTARTED_SECONDS
        while (
            all(worker.silent_at_task for worker in site.workers)
            and time.monotonic() < deadline
        ):
            time.sleep(timed_worker.POLL_SECONDS)
        silent = []
        for worker in site.workers:
            with worker.lock:
                if worker.silent_at_task is None:
                    silent.append(worker)
                worker.silent_at_task = None
    return silent


def _count(site: sites.Site, share: float) -> int:
    return max(1, round(share * len(site.workers)))


def _crash_waves(
    site: sites.Site, rng: random.Random, counts: list[int]
) -> str:
    gap_seconds = rng.uniform(*GAP_SECONDS)
    is_silent = rng.random() < SILENT_SHARE
    with futures.ThreadPoolExecutor(sum(counts)) as executor:
        crashes = []
        for count in counts:
            for _ in range(count):
                workers = rng.sample(site.workers, len(site.workers) // 2)
                crash = _draw(rng, is_silent)
                crashes.append(executor.submit(_crash, site, workers, crash))
            time.sleep(gap_seconds)
        descriptions = [crash.result() for crash in crashes]
    return "; ".join(filter(None, descriptions))


def _draw(rng: random.Random, is_silent: bool) -> Crash:
    moment = rng.choice([*Moment])
    down_seconds = rng.uniform(*DOWN_SECONDS)
    if not is_silent:
        return Crash(moment, down_seconds, 0.0, 0.0)
    unlisted_seconds = rng.uniform(*UNLISTED_SECONDS)
    if rng.random() < LISTED_SHARE:
        return Crash(moment, down_seconds, unlisted_seconds, unlisted_seconds)
    silent_seconds = rng.uniform(*LAPSING_SECONDS)
    return Crash(
        moment, down_seconds, silent_seconds, silent_seconds + down_seconds
    )


def _crash(
    site: sites.Site, workers: list[timed_worker.TimedWorker], crash: Crash
) -> str:
    """Crashes the first of some workers that is up and gets a start in time.

    Returns:
        A description; empty if all workers are down.
    """
    workers = [worker for worker in workers if not worker.down]
    if not workers:
        return ""
    worker = _wait_for_start(workers, crash.moment)
    with site.worker_disturbances[worker.worker_id]:
        crashed_at = time.monotonic()
        worker.crash(
            crash.seconds, crash.silent_seconds, crash.unlisted_seconds
        )
    return (
        f"{crashed_at:.2f} crashed {worker.worker_id} {crash.moment}, silent "
        f"for {crash.silent_seconds:.1f} s, unlisted for "
        f"{crash.unlisted_seconds:.1f} s, back at {time.monotonic():.2f}"
    )


def _wait_for_start(
    workers: list[timed_worker.TimedWorker], moment: Moment
) -> timed_worker.TimedWorker:
    since = time.monotonic()
    if moment is Moment.ANY:
        return workers[0]
    if moment is Moment.UNCONFIRMED:
        workers = workers[:1]
        workers[0].silent_at_start = True
    started = None
    while started is None and time.monotonic() < since + START_WAIT_SECONDS:
        time.sleep(timed_worker.POLL_SECONDS)
        started = next(
            (worker for worker in workers if worker.last_start_at >= since),
            None,
        )
    workers[0].silent_at_start = False
    if started and moment is Moment.CONFIRMED:
        time.sleep(random.uniform(*CONFIRMED_SECONDS))
    return started or workers[0]


FAULTS = (crash_in_series, crash_in_waves, crash_twice_under_a_task)
