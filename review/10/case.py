"""Workers are added to a queue with advice: none of its jobs starts any more.

A node names all workers of the pool in each call for advice, and the service
takes a while for each of them. With the added workers its answers come later
than the node waits, however often it asks.
"""

from __future__ import annotations

import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness_2"))

import case_2
import site_2

SERVICE = "balcao"
WORKERS = 32  # As many as the grown deployment has.
# `scale_out` of the grown deployment adds a quarter, and comes twice here.
ADDED = (8, 8)
ADD_GAP_SECONDS = 0.25  # Each time all within its `gap_s` of 2 s.
ADVICE = {"decision_ms": 200, "per_worker_ms": 45, "valid_ms": 3000}
TASKS = 4
JOBS = 3
FINISH_SECONDS = site_2.BOUNDS["finish_s"]
IDLE_SECONDS = 3.0


def play(site: site_2.Site) -> str:
    """Plays the case."""
    site.advice.decision_seconds = ADVICE["decision_ms"] / 1000
    site.advice.per_worker_seconds = ADVICE["per_worker_ms"] / 1000
    site.advice.valid_ms = ADVICE["valid_ms"]
    site.publish(3, {"/quotes/": SERVICE}, [SERVICE], advice=ADVICE)
    for _ in range(WORKERS):
        site.add_worker(SERVICE, "--tickets")
    for _ in range(3):
        site.add_node()
    for node in site.nodes:
        node.start()
    case_2.require(site.wait_ready(), "the nodes are not ready")
    time.sleep(5.0)
    case_2.require(site.holder(SERVICE), "nobody holds the pool")

    before = _hand_in(site, 1)
    time.sleep(5.0)
    case_2.require(
        _states(site, before) == {"completed"}, "no job runs before the change"
    )
    if case_2.trouble():
        for added in ADDED:
            for _ in range(added):
                site.add_worker(SERVICE, "--tickets")
                time.sleep(ADD_GAP_SECONDS)
            time.sleep(2.0)
    time.sleep(3.0)
    paths = _hand_in(site, JOBS)

    # The traffic has ended; jobs are asked for `finish_s` later.
    time.sleep(FINISH_SECONDS)
    _states(site, paths)
    time.sleep(IDLE_SECONDS)
    states = _states(site, paths)
    started = {run[4].partition(".")[0] for run in site.runs()}
    never_run = [
        path for path in paths if path.rpartition("/")[2] not in started
    ]
    if not never_run:
        return ""
    return (
        f"LOST: {len(never_run)} of {len(paths)} accepted jobs have nothing "
        f"running {FINISH_SECONDS + IDLE_SECONDS:.0f} s after the end of the "
        f"traffic, with all workers idle; shown as {sorted(states)}"
    )


def _hand_in(site: site_2.Site, jobs: int) -> list[str]:
    paths = [f"/quotes/{random.getrandbits(64):016x}" for _ in range(jobs)]
    for number, path in enumerate(paths):
        status, _ = case_2.call(
            site,
            site.nodes[number % 3],
            "POST",
            path,
            case_2.new_job(500, TASKS),
        )
        case_2.require(status == 200, f"{path} was not accepted")
    return paths


def _states(site: site_2.Site, paths: list[str]) -> set[str]:
    return {
        str(case_2.call(site, site.nodes[0], "GET", path)[1].get("state"))
        for path in paths
    }


case_2.run(play)
