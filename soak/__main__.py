"""`python -m soak --seed N`: runs seeds and prints violated guarantees."""

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
from soak import configurations
from soak import faults
from soak import known_seeds
from soak import site as sites

# Time after the last fault in which every accepted job has to end. The longest
# job takes 2 s, the takeover of a shard 3 s, and the expiry of the leases on an
# unreachable worker 11 s.
SETTLE_TIMEOUT_SECONDS = 30.0
FAULT_SERIES = 2  # Concurrent series, so that faults overlap.
READY_TIMEOUT_SECONDS = 20.0
# Changes of the configuration come in quick succession or some seconds apart.
CHANGE_PAUSES_SECONDS = (0.2, 1.0, 3.0, 6.0)
FINAL_STATES = ("completed", "cancelled")


def main() -> int:
    """Runs one seed, or all that failed before.

    Returns:
        0 if no guarantee was violated.
    """
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--known", action="store_true", help="run all seeds that failed before"
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--workers", type=int, default=5)
    parser.add_argument(
        "--loss", type=float, default=0.0, help="share of lost packets"
    )
    parser.add_argument("--logs", type=pathlib.Path, default=None)
    options = parser.parse_args()
    directory = options.logs or pathlib.Path(tempfile.mkdtemp())
    seeds = known_seeds.CAUSE_BY_SEED if options.known else (options.seed,)
    passed = [
        run_and_print(
            seed,
            options.seconds,
            options.nodes,
            options.workers,
            options.loss,
            directory / str(seed) if options.known else directory,
        )
        for seed in seeds
    ]
    return 0 if all(passed) else 1


def run_and_print(
    seed: int,
    seconds: float,
    nodes: int,
    workers: int,
    loss_share: float,
    directory: pathlib.Path,
) -> bool:
    """Runs a seed and prints its figures; returns whether it passed."""
    directory.mkdir(parents=True, exist_ok=True)
    violations, figures = run(
        seed, seconds, nodes, workers, directory, loss_share
    )
    for violation in violations:
        print(f"broken: {violation}")
    print(
        json.dumps(figures | {"logs": str(directory), "pass": not violations})
    )
    return not violations


def run(
    seed: int,
    seconds: float,
    nodes: int,
    workers: int,
    directory: pathlib.Path,
    loss_share: float = 0.0,
) -> tuple[list[str], dict[str, object]]:
    """Runs one seed.

    Returns:
        The violated guarantees, and figures of the run.
    """
    site = sites.Site(directory, nodes, workers, loss_share)
    callers = soak_callers.Callers(site, seed, 5.0)
    probe = configurations.ConfigurationProbe(site)
    try:
        for node in site.nodes:
            node.start()
        _wait_until_served(callers)
        callers.start()
        probe.start()
        injected = _inject_faults(site, seed, seconds)
        callers.close()
        probe.close()
        unfinished = _wait_until_ended(callers)
        violations = [
            *site.log.violations,
            *probe.violations,
            *_check(site, callers, unfinished),
        ]
        return violations, {
            "seed": seed,
            "jobs": len(callers.jobs),
            "accepted": sum(job.accepted for job in callers.jobs),
            "statuses": collections.Counter(
                str(status) for job in callers.jobs for status in job.statuses
            ),
            "starts": sum(
                run_event.event == "start" for run_event in site.log.run_events
            ),
            "probes": probe.probes,
            "acts": injected,
        }
    finally:
        site.close()


def _wait_until_served(callers: soak_callers.Callers) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while callers.call("GET", "")[0] != 200:
        if time.monotonic() > deadline:
            raise TimeoutError("no node served a caller in time")
        time.sleep(0.2)


def _inject_faults(site: sites.Site, seed: int, seconds: float) -> list[str]:
    """Injects faults in overlapping series for some seconds.

    Returns:
        A description of each injected fault.
    """
    deadline = time.monotonic() + seconds
    injected: list[str] = []

    def inject_series(number: int) -> None:
        rng = random.Random(f"{seed}/{number}")
        while time.monotonic() < deadline:
            time.sleep(rng.random())
            injected.append(rng.choice(faults.FAULTS)(site, rng))

    def publish_series() -> None:
        rng = random.Random(f"{seed}/configurations")
        while time.monotonic() < deadline:
            time.sleep(rng.choice(CHANGE_PAUSES_SECONDS))
            injected.append(configurations.publish(site, rng))

    threads = [
        threading.Thread(target=publish_series),
        *(
            threading.Thread(target=inject_series, args=(number,))
            for number in range(FAULT_SERIES)
        ),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return injected


def _wait_until_ended(callers: soak_callers.Callers) -> dict[str, str]:
    """Waits until every accepted job has ended.

    Returns:
        The last state of those that have not.
    """
    deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
    unfinished = {
        job.job_id: "not read" for job in callers.jobs if job.accepted
    }
    while unfinished and time.monotonic() < deadline:
        for job_id in [*unfinished]:
            status, body = callers.call("GET", job_id)
            state = body.get("state", "")
            unfinished[job_id] = f"{status} {state}"
            if status == 200 and state in FINAL_STATES:
                del unfinished[job_id]
        time.sleep(0.2)
    return unfinished


def _check(
    site: sites.Site, callers: soak_callers.Callers, unfinished: dict[str, str]
) -> list[str]:
    """Checks the guarantees by the observations of callers and workers.

    A refused job never runs, and an accepted job ends with all tasks done.
    """
    violations = [f"job {key} is {state}" for key, state in unfinished.items()]
    done_tasks_by_job: dict[str, set[object]] = collections.defaultdict(set)
    started_jobs: set[str] = set()
    for run_event in site.log.run_events:
        if run_event.event == "start":
            started_jobs.add(run_event.task.job_id)
        elif run_event.event == "done":
            done_tasks_by_job[run_event.task.job_id].add(run_event.task)
    for job in callers.jobs:
        if job.refused and job.job_id in started_jobs:
            violations.append(f"job {job.job_id} was refused but ran")
        if (
            job.accepted
            and not job.cancelled
            and job.job_id not in unfinished
            and len(done_tasks_by_job[job.job_id]) != job.tasks
        ):
            violations.append(
                f"job {job.job_id} ended with "
                f"{len(done_tasks_by_job[job.job_id])} of "
                f"{job.tasks} tasks done"
            )
    return violations


if __name__ == "__main__":
    raise SystemExit(main())
