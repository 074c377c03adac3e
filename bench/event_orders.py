"""Experiment: random orders of events at a pool, on the product's own code.

Each sequence draws events of callers, holders, workers and the network from a
seed: holders in turn that may still act after a successor, lost, late and
refused calls, crashes, expired leases, rounds that fail before or after their
transaction, and cancellations at any point. Then the faults end, and within a
time that the rules allow no task may run twice, no cancelled task may be at
work, none may have started after its last allowed failure, and each accepted
task has run or is at work. A sequence that breaks this is shortened and
printed.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator, Sequence
import itertools
import random
import time
from typing import NamedTuple

import loguru

from bench import event_kinds
from bench import event_world
from bench import report
from wisteriasill.contracts import job_spec
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job

SEQUENCE_EVENTS = 60
SECONDS = 600.0  # Real time for which sequences are drawn.
WEIGHT_FACTORS = (0.1, 1.0, 4.0)
SETTLE_STEP_SECONDS = 0.2
# A cancelled task is gone 3 s + 0.9 s after the acknowledgement, and a lasting
# one is back 6 s + 3 s after its run.
CANCELLED_GONE_SECONDS = 3.9
SETTLE_SECONDS = 24.0


class Event(NamedTuple):
    """An event of a sequence.

    Attributes:
        name: Key of `event_kinds.ALL_BY_NAME`.
        seed: Seed of its choices, so that a shorter sequence makes the same.
    """

    name: str
    seed: int


def draw_sequence(
    seed: int, length: int, with_failures: bool = False
) -> list[Event]:
    """Draws the events of a sequence.

    Each sequence has more of some kinds and less of others, so that chains of
    rare events come up.

    Args:
        seed: Seed of the sequence.
        length: Number of its events.
        with_failures: Whether many runs fail, and connections are closed.
    """
    rng = random.Random(seed)
    kind_by_name = (
        event_kinds.ALL_BY_NAME if with_failures else event_kinds.EVENT_BY_NAME
    )
    names = rng.choices(
        [*kind_by_name],
        [
            kind.weight * rng.choice(WEIGHT_FACTORS)
            for kind in kind_by_name.values()
        ],
        k=length,
    )
    return [Event(name, rng.getrandbits(32)) for name in names]


def violations(seed: int, sequence: Sequence[Event]) -> list[str]:
    """Plays a sequence and returns what it broke."""
    world = event_world.World(seed)
    with world.clock.used():
        for number, spec in enumerate(event_kinds.SPECS):
            world.submit(f"{number:016x}", spec)
        event_kinds.run_calmly(world)
        event_kinds.run_calmly(world)
        for event in sequence:
            event_kinds.ALL_BY_NAME[event.name].apply(
                world, random.Random(event.seed)
            )
            if found := world.violations():
                return found
        return [*itertools.islice(_settle(world), 3)]


def _settle(world: event_world.World) -> Iterator[str]:
    """Ends all faults, and yields what is not as it should be in time."""
    for worker in world.worker_by_id.values():
        if worker.is_down:
            world.register(worker)
    world.late_calls.clear()
    del world.holders[:-1]
    settled_at = world.clock.now
    while world.clock.now < settled_at + SETTLE_SECONDS:
        world.clock.advance(SETTLE_STEP_SECONDS)
        for link in world.holders[-1].links if world.holders else ():
            link.is_cut = False
        event_kinds.run_calmly(world)
        _end_finite_runs(world)
        yield from world.violations()
        if world.clock.now <= settled_at + CANCELLED_GONE_SECONDS:
            continue
        yield from (
            f"{task} is at work on {worker.worker_id}, "
            "and its job was cancelled"
            for worker in world.worker_by_id.values()
            for task in worker.running
            if task.job_id in world.cancelled_ids
        )
        if not [*_unfinished(world)]:
            return
    yield from _unfinished(world)


def _end_finite_runs(world: event_world.World) -> None:
    for worker in world.worker_by_id.values():
        for task in worker.running:
            if not world.accepted[task.job_id].lasting:
                worker.finish(task, cluster.RunEndKind.DONE)


def _unfinished(world: event_world.World) -> Iterator[str]:
    """Yields the accepted jobs that don't have the state that they should."""
    running = {
        task
        for worker in world.worker_by_id.values()
        for task in worker.running
    }
    for job_id, spec in world.accepted.items():
        state = world.state(job_id)
        if job_id in world.cancelled_ids:
            if state not in batch_job.FINAL_STATES:
                yield f"{job_id} was cancelled and is {state}"
        elif state is batch_job.JobState.FAILED:
            if _most_failed_runs(world, job_id) < event_world.MAX_ATTEMPTS:
                yield f"{job_id} is failed, and too few of its runs have failed"
        elif spec.lasting:
            at_work = sum(task.job_id == job_id for task in running)
            if at_work < spec.steps[0].tasks:
                yield f"{job_id} has {at_work} tasks at work"
        elif state is not batch_job.JobState.COMPLETED:
            yield f"{job_id} is {state}"


def _most_failed_runs(world: event_world.World, job_id: str) -> int:
    """Returns how many runs of a task, or of a whole gang, have failed."""
    gang = any(step.gang for step in world.accepted[job_id].steps)
    failed_by_unit: collections.Counter[job_spec.TaskKey] = (
        collections.Counter()
    )
    for worker in world.worker_by_id.values():
        for task, failed in worker.failed_by_task.items():
            if task.job_id == job_id:
                unit = task._replace(position=0) if gang else task
                failed_by_unit[unit] += failed
    return max(failed_by_unit.values(), default=0)


def shortened(seed: int, sequence: Sequence[Event]) -> list[Event]:
    """Drops the events of a failing sequence that it fails without."""
    kept = [*sequence]
    for size in (16, 4, 1):
        first = 0
        while first < len(kept):
            shorter = kept[:first] + kept[first + size :]
            if violations(seed, shorter):
                kept = shorter
            else:
                first += size
    return kept


def explore(
    first_seed: int, seconds: float, length: int = SEQUENCE_EVENTS
) -> Iterator[tuple[int, list[str]]]:
    """Plays sequences for a time, and yields the seed and faults of each."""
    give_up_at = time.monotonic() + seconds
    for seed in itertools.count(first_seed):
        if time.monotonic() > give_up_at:
            return
        yield seed, violations(seed, draw_sequence(seed, length))


def run(site: str, seed: int) -> report.BenchResult:
    """Plays sequences for ten minutes and prints the shortest failure.

    Args:
        site: Not used, as the sequences are the same for all sites.
        seed: Seed of the first sequence; the others follow it.

    Returns:
        The number of sequences, and of those that broke something.
    """
    loguru.logger.remove()
    began_at = time.monotonic()
    faults_by_seed = dict(explore(seed * 1_000_000, SECONDS))
    failed = {
        number: found for number, found in faults_by_seed.items() if found
    }
    rows: list[tuple[report.Figure, ...]] = []
    for number, found in itertools.islice(failed.items(), 1):
        sequence = shortened(number, draw_sequence(number, SEQUENCE_EVENTS))
        rows = [
            (number, position, event.name)
            for position, event in enumerate(sequence, 1)
        ]
        rows.append((number, "seen", found[0]))
    figures: dict[str, report.Figure] = {
        "sequences": len(faults_by_seed),
        "events": len(faults_by_seed) * SEQUENCE_EVENTS,
        "seconds": round(time.monotonic() - began_at, 1),
        "failed_sequences": len(failed),
    }
    return report.BenchResult(
        "event-orders",
        site,
        seed,
        ("sequence", "event", "kind"),
        rows,
        figures,
        (report.Limit("failed_sequences", "==", 0),),
    )
