"""A worker refuses one start: then it gets one task at a time, however long.

A worker that answers a start with 503 is tried with a single run later. While
that run lasts it gets no other, although it is well and has room. Jobs that
only this worker may run wait until the end of that run.
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
WORKERS = 10
UNHEALTHY_SECONDS = 3.0
LONG_MS = 75_000
JOBS = 4
FINISH_SECONDS = site_2.BOUNDS["finish_s"]
IDLE_SECONDS = 3.0


def play(site: site_2.Site) -> str:
    """Plays the case."""
    site.publish(3, {"/quotes/": SERVICE}, [SERVICE])
    special = site.add_worker(SERVICE, "--kind", "b")
    for _ in range(WORKERS - 1):
        site.add_worker(SERVICE)
    for _ in range(3):
        site.add_node()
    for node in site.nodes:
        node.start()
    case_2.require(site.wait_ready(), "the nodes are not ready")
    time.sleep(4.0)
    case_2.require(site.holder(SERVICE), "nobody holds the pool")

    if case_2.trouble():
        site.set_unhealthy(special, True)
    _hand_in(site, LONG_MS)
    time.sleep(UNHEALTHY_SECONDS)
    if case_2.trouble():
        site.set_unhealthy(special, False)
    time.sleep(5.0)
    case_2.require(
        any(run[3] == "start" for run in site.runs()), "nothing has started"
    )
    paths = [_hand_in(site, 1000) for _ in range(JOBS)]

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
        f"traffic, with 15 of 16 cores of their worker free; shown as "
        f"{sorted(states)}"
    )


def _hand_in(site: site_2.Site, milliseconds: int) -> str:
    path = f"/quotes/{random.getrandbits(64):016x}"
    status, _ = case_2.call(
        site,
        site.nodes[0],
        "POST",
        path,
        case_2.new_job(milliseconds, requires="b"),
    )
    case_2.require(status == 200, f"{path} was not accepted")
    return path


def _states(site: site_2.Site, paths: list[str]) -> set[str]:
    return {
        str(case_2.call(site, site.nodes[0], "GET", path)[1].get("state"))
        for path in paths
    }


case_2.run(play)
