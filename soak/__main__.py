"""`python -m soak --seed N`: runs seeds and prints what was broken."""

from __future__ import annotations

import argparse
import collections
import json
import pathlib
import random
import tempfile
import threading
import time

from soak import callers as soak_callers
from soak import faults
from soak import known_seeds
from soak import site as sites

# Time after the last fault in which every accepted job has to end: the longest
# job takes 2 s, a lost shard 3 s, an unreachable worker's leases 11 s.
SETTLE_SECONDS = 30.0
FAULT_TASKS = 2  # Faults overlap.
READY_SECONDS = 20.0
FINAL = ("completed", "cancelled")


def main() -> int:
    """Runs one seed, or all that failed before.

    Returns:
        0 if no promise was broken.
    """
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--known", action="store_true", help="run all seeds that failed before"
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--workers", type=int, default=5)
    parser.add_argument("--logs", type=pathlib.Path, default=None)
    options = parser.parse_args()
    directory = options.logs or pathlib.Path(tempfile.mkdtemp())
    seeds = known_seeds.CAUSE_BY_SEED if options.known else (options.seed,)
    passed = [
        play(
            seed,
            options.seconds,
            options.nodes,
            options.workers,
            directory / str(seed) if options.known else directory,
        )
        for seed in seeds
    ]
    return 0 if all(passed) else 1


def play(
    seed: int,
    seconds: float,
    nodes: int,
    workers: int,
    directory: pathlib.Path,
) -> bool:
    """Runs a seed and prints its figures; returns whether it passed."""
    directory.mkdir(parents=True, exist_ok=True)
    broken, figures = run(seed, seconds, nodes, workers, directory)
    for fault in broken:
        print(f"broken: {fault}")
    print(json.dumps(figures | {"logs": str(directory), "pass": not broken}))
    return not broken


def run(
    seed: int,
    seconds: float,
    nodes: int,
    workers: int,
    directory: pathlib.Path,
) -> tuple[list[str], dict[str, object]]:
    """Plays one seed.

    Returns:
        The broken promises, and figures of the run.
    """
    site = sites.Site(directory, nodes, workers)
    callers = soak_callers.Callers(site, seed, 5.0)
    try:
        for node in site.nodes:
            node.start()
        _wait_until_served(callers)
        callers.start()
        acts = _inject(site, seed, seconds)
        callers.close()
        left = _settle(callers)
        broken = [*site.log.faults, *_check(site, callers, left)]
        return broken, {
            "seed": seed,
            "jobs": len(callers.jobs),
            "accepted": sum(job.accepted for job in callers.jobs),
            "statuses": collections.Counter(
                str(status) for job in callers.jobs for status in job.statuses
            ),
            "starts": sum(one.event == "start" for one in site.log.sightings),
            "acts": acts,
        }
    finally:
        site.close()


def _wait_until_served(callers: soak_callers.Callers) -> None:
    deadline = time.monotonic() + READY_SECONDS
    while callers.call("GET", "")[0] != 200:
        if time.monotonic() > deadline:
            raise TimeoutError("no node answers")
        time.sleep(0.2)


def _inject(site: sites.Site, seed: int, seconds: float) -> list[str]:
    """Injects faults in overlapping series until the time is over."""
    deadline = time.monotonic() + seconds
    acts: list[str] = []

    def series(number: int) -> None:
        draw = random.Random(f"{seed}/{number}")
        while time.monotonic() < deadline:
            time.sleep(draw.random())
            acts.append(draw.choice(faults.ACTS)(site, draw))

    tasks = [
        threading.Thread(target=series, args=(number,))
        for number in range(FAULT_TASKS)
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    return acts


def _settle(callers: soak_callers.Callers) -> dict[str, str]:
    """Waits until every accepted job has ended.

    Returns:
        The last state of those that have not.
    """
    deadline = time.monotonic() + SETTLE_SECONDS
    left = {job.job_id: "not asked" for job in callers.jobs if job.accepted}
    while left and time.monotonic() < deadline:
        for job_id in [*left]:
            status, body = callers.call("GET", job_id)
            state = body.get("state", "")
            left[job_id] = f"{status} {state}"
            if status == 200 and state in FINAL:
                del left[job_id]
        time.sleep(0.2)
    return left


def _check(
    site: sites.Site, callers: soak_callers.Callers, left: dict[str, str]
) -> list[str]:
    """Checks what callers and workers saw against the promises."""
    broken = [f"job {key} is {state}" for key, state in left.items()]
    done: dict[str, set[object]] = collections.defaultdict(set)
    started: set[str] = set()
    for one in site.log.sightings:
        if one.event == "start":
            started.add(one.task.job_id)
        elif one.event == "done":
            done[one.task.job_id].add(one.task)
    for job in callers.jobs:
        if job.refused and job.job_id in started:
            broken.append(f"job {job.job_id} was refused and ran")
        if (
            job.accepted
            and not job.cancelled
            and job.job_id not in left
            and len(done[job.job_id]) != job.tasks
        ):
            broken.append(
                f"job {job.job_id} ended with {len(done[job.job_id])} of "
                f"{job.tasks} tasks done"
            )
    return broken


if __name__ == "__main__":
    raise SystemExit(main())
