"""`python -m soak --seed N`: runs seeds and prints violated guarantees."""

from __future__ import annotations

import argparse
import collections
from collections.abc import Iterable
import json
import math
import pathlib
import random
import tempfile
import threading
import time

from soak import callers as soak_callers
from soak import cancellations
from soak import configurations
from soak import disturbances
from soak import faults
from soak import job_states
from soak import known_seeds
from soak import plans
from soak import site as sites
from standins import order_faults
from standins import timed_worker
from wisteriasill.machines import fleet_rows

# Time after the last fault in which every accepted job has to end. The longest
# job takes 2 s, the takeover of a shard 3 s, and the expiry of the leases on an
# unreachable worker 11 s.
SETTLE_TIMEOUT_SECONDS = 30.0
# Longest time after the last fault in which runs of cancelled jobs may end: a
# late start, the time from which it counts, and the time to stop it.
CANCELLED_TIMEOUT_SECONDS = (
    order_faults.OrderFaults().max_late_seconds
    + cancellations.CONTACT_SECONDS
    + cancellations.CANCEL_SECONDS
    + cancellations.STOP_SECONDS
    + 1.0
)
READY_TIMEOUT_SECONDS = 20.0
# Changes of the configuration come in quick succession or some seconds apart.
CHANGE_PAUSES_SECONDS = (0.2, 1.0, 3.0, 6.0)


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
    parser.add_argument("--per-second", type=float, default=5.0)
    parser.add_argument("--series", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--workers", type=int, default=5)
    parser.add_argument(
        "--loss", type=float, default=0.0, help="share of lost packets"
    )
    parser.add_argument(
        "--faults", choices=[*faults.FAULT_SETS], default="general"
    )
    parser.add_argument("--logs", type=pathlib.Path, default=None)
    options = parser.parse_args()
    directory = options.logs or pathlib.Path(tempfile.mkdtemp())
    run_plans: Iterable[plans.RunPlan] = known_seeds.CAUSE_BY_PLAN
    if not options.known:
        run_plans = [
            plans.RunPlan(
                options.seed,
                options.faults,
                options.seconds,
                options.nodes,
                options.workers,
                options.loss,
                options.per_second,
                options.series,
            )
        ]
    passed = [
        run_and_print(
            plan,
            directory / f"{plan.fault_set}-{plan.seed}"
            if options.known
            else directory,
        )
        for plan in run_plans
    ]
    return 0 if all(passed) else 1


def run_and_print(plan: plans.RunPlan, directory: pathlib.Path) -> bool:
    """Runs a seed and prints its figures; returns whether it passed."""
    directory.mkdir(parents=True, exist_ok=True)
    violations, figures = run(plan, directory)
    for violation in violations:
        print(f"broken: {violation}")
    print(
        json.dumps(figures | {"logs": str(directory), "pass": not violations})
    )
    return not violations


def run(
    plan: plans.RunPlan, directory: pathlib.Path
) -> tuple[list[str], dict[str, object]]:
    """Runs one seed.

    Returns:
        The violated guarantees, and figures of the run.
    """
    fault_set = faults.FAULT_SETS[plan.fault_set]
    site = sites.Site(
        directory,
        plan.nodes,
        plan.workers,
        plan.loss_share,
        fault_set.max_stop_seconds,
    )
    callers = soak_callers.Callers(
        site, plan.seed, plan.per_second, fault_set.habits
    )
    probe = configurations.ConfigurationProbe(site)
    states = job_states.JobStates(callers)
    try:
        for node in site.nodes:
            node.start()
        _wait_until_served(callers)
        if fault_set.waits_for_holders:
            _wait_until_held(site)
        callers.start()
        probe.start()
        states.start()
        injected = _inject_faults(site, plan)
        callers.close()
        probe.close()
        states.close()
        _wait_until_ended(states)
        _wait_until_cancelled(site, callers)
        with site.log.lock:
            violations = [
                *site.log.violations,
                *probe.violations,
                *_check(site, callers, states),
                *_check_cancelled(site, callers, plan),
            ]
        _write_run_events(site, directory / "runs.jsonl")
        return violations, {
            "seed": plan.seed,
            "faults": plan.fault_set,
            "cancelled": len(callers.cancelled_at_by_job),
            "jobs": len(callers.jobs),
            "accepted": sum(job.accepted for job in callers.jobs),
            "statuses": collections.Counter(
                str(status) for job in callers.jobs for status in job.statuses
            ),
            "starts": sum(
                run_event.event == "start" for run_event in site.log.run_events
            ),
            "late_starts": sum(
                run_event.late for run_event in site.log.run_events
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


def _wait_until_held(site: sites.Site) -> None:
    """Waits until all shards have holders and the hosts have been read."""
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while not (
        site.holders.holder(sites.SERVICE)
        and site.holders.holder(fleet_rows.SHARD)
        and site.host_list.reads
    ):
        if time.monotonic() > deadline:
            raise TimeoutError("a shard has no holder")
        time.sleep(0.2)


def _inject_faults(site: sites.Site, plan: plans.RunPlan) -> list[str]:
    """Injects faults in overlapping series for some seconds.

    Returns:
        A description of each injected fault.
    """
    deadline = time.monotonic() + plan.seconds
    injected: list[str] = []

    def inject_series(number: int) -> None:
        rng = random.Random(f"{plan.seed}/{number}")
        while time.monotonic() < deadline:
            time.sleep(rng.random())
            fault = rng.choice(faults.FAULT_SETS[plan.fault_set].faults)
            started_at = time.monotonic()
            description = fault(site, rng)
            injected.append(
                f"{started_at:.2f}-{time.monotonic():.2f} {description}"
            )

    def publish_series() -> None:
        rng = random.Random(f"{plan.seed}/configurations")
        while time.monotonic() < deadline:
            time.sleep(rng.choice(CHANGE_PAUSES_SECONDS))
            published = configurations.publish(site, rng)
            injected.append(f"{time.monotonic():.2f} {published}")

    threads = [
        threading.Thread(target=publish_series),
        *(
            threading.Thread(target=inject_series, args=(number,))
            for number in range(plan.series)
        ),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return injected


def _wait_until_ended(states: job_states.JobStates) -> None:
    """Waits until every accepted job has ended."""
    deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
    states.read()
    while states.unfinished and time.monotonic() < deadline:
        time.sleep(0.2)
        states.read()


def _wait_until_cancelled(
    site: sites.Site, callers: soak_callers.Callers
) -> None:
    """Waits until all orders are executed and no cancelled job has a run."""
    deadline = time.monotonic() + CANCELLED_TIMEOUT_SECONDS
    while time.monotonic() < deadline and (
        any(service.late_calls for service in site.services)
        or any(
            task.job_id in callers.cancelled_at_by_job
            for task in site.log.open_tasks()
        )
    ):
        time.sleep(0.2)


def _check(
    site: sites.Site,
    callers: soak_callers.Callers,
    states: job_states.JobStates,
) -> list[str]:
    """Checks the guarantees by the observations of callers and workers.

    No job runs that nobody submitted or that was refused, and an accepted job
    ends with all tasks done.
    """
    violations = [
        *(f"job {key} is {state}" for key, state in states.unfinished.items()),
        *job_states.unfounded_failures(
            states.failed, site.log.run_events, sites.MAX_ATTEMPTS
        ),
    ]
    done_tasks_by_job: dict[str, set[object]] = collections.defaultdict(set)
    started_jobs: set[str] = set()
    for run_event in site.log.run_events:
        if run_event.event == "start":
            started_jobs.add(run_event.task.job_id)
        elif run_event.event == "done":
            done_tasks_by_job[run_event.task.job_id].add(run_event.task)
    violations += [
        f"job {job_id} was never submitted but ran"
        for job_id in started_jobs - {job.job_id for job in callers.jobs}
    ]
    for job in callers.jobs:
        if job.refused and job.job_id in started_jobs:
            violations.append(f"job {job.job_id} was refused but ran")
        if (
            job.accepted
            and not job.cancelled
            and job.job_id not in states.unfinished
            and job.job_id not in states.failed
            and len(done_tasks_by_job[job.job_id]) != job.tasks
        ):
            violations.append(
                f"job {job.job_id} ended with "
                f"{len(done_tasks_by_job[job.job_id])} of "
                f"{job.tasks} tasks done"
            )
    return violations


def _check_cancelled(
    site: sites.Site, callers: soak_callers.Callers, plan: plans.RunPlan
) -> list[str]:
    """Checks the tasks of jobs whose cancellation was acknowledged."""
    lossy = [disturbances.Span(0.0, math.inf)] if plan.loss_share else []

    def node_spans(names: Iterable[str]) -> list[disturbances.Span]:
        return [
            *lossy,
            *site.store_disturbance.spans,
            *site.lost_answers.spans,
            *(
                span
                for node in site.nodes
                if node.name in names
                for span in (*node.disturbance.spans, *node.restarts.spans)
            ),
        ]

    def spans_of_run(
        started: timed_worker.RunEvent, span: disturbances.Span
    ) -> list[disturbances.Span]:
        return [
            *site.worker_disturbances[started.worker_id].spans,
            *node_spans(site.holders.holders_between(sites.SERVICE, *span)),
        ]

    near = cancellations.Surroundings(
        lambda started: node_spans(
            {site.holders.sender(started.fencing_epoch)}
        ),
        spans_of_run,
    )
    return cancellations.violations(
        cancellations.cancelled_runs(
            site.log.run_events, callers.cancelled_at_by_job
        ),
        time.monotonic(),
        near,
    )


def _write_run_events(site: sites.Site, path: pathlib.Path) -> None:
    """Writes the starts and ends that workers observed, for later analysis."""
    path.write_text(
        "".join(
            json.dumps(run_event) + "\n" for run_event in site.log.run_events
        )
    )


if __name__ == "__main__":
    raise SystemExit(main())
