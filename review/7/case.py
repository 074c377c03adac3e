"""A node that the store turned away skips a version: a task runs twice.

Versions come in quick succession. One replaces a route by one of another
service, the next one takes that back. Jobs that are handed in between run at
the other service. The node that the store turned away for a moment applies
only the last version. It has read the stored queues again before the other
nodes have stored that of the other service, and does not read them once more.
So it knows nothing of these jobs: it says that they don't exist, and starts
those that arrive again a second time.
"""

from __future__ import annotations

import itertools
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness_2"))

import case_2
import site_2

SERVICES = ["balcao", "corte"]
ROUTES = {"/quotes/": "balcao", "/cuts/": "corte"}
WITH_ANOTHER = ROUTES | {"/samples/": "corte"}
# The further route shows which node has this version.
REPLACED = WITH_ANOTHER | {"/quotes/": "corte", "/trials/": "corte"}
WORKERS = 5
JOBS = 4
RUN_MS = 30_000
# Gap of the configurations that come in quick succession (`config_storm`).
GAP_SECONDS = 0.25
# The store turns the node away until just after the last of them.
BUSY_SECONDS = 2 * GAP_SECONDS + 0.05
VISIBLE_SECONDS = site_2.BOUNDS["visible_ms"] / 1000
CONTACT_SECONDS = site_2.BOUNDS["contact_ms"] / 1000


def play(site: site_2.Site) -> str:
    """Plays the case."""
    site.publish(3, ROUTES, SERVICES)
    for service in SERVICES:
        for _ in range(WORKERS):
            site.add_worker(service)
    for _ in range(3):
        site.add_node()
    for node in site.nodes:
        node.start()
    case_2.require(site.wait_ready(), "the nodes are not ready")
    time.sleep(4.0)
    for service in SERVICES:
        case_2.require(site.holder(service), f"nobody holds pool {service}")

    site.last_writer_by_table.clear()
    began_at = time.monotonic()
    site.publish(5, WITH_ANOTHER, SERVICES)
    while "queues" not in site.last_writer_by_table:
        case_2.require(
            time.monotonic() < began_at + GAP_SECONDS, "no queue was stored"
        )
        time.sleep(0.002)
    # The one that wrote last to the store under a condition.
    refused = next(
        node
        for node in site.nodes
        if node.link is site.last_writer_by_table["queues"]
    )
    other = next(node for node in site.nodes if node is not refused)
    if case_2.trouble():
        refused.link.is_busy = True
        site.record.write(f"the store turns {refused.name} away")
    time.sleep(began_at + GAP_SECONDS - time.monotonic())
    site.publish(6, REPLACED, SERVICES)
    paths = [f"/quotes/{random.getrandbits(64):016x}" for _ in range(JOBS)]
    accepted = []
    while site_2.ask(other.front_port, "GET", "/trials/")[0] != 200:
        case_2.require(
            time.monotonic() < began_at + 2 * GAP_SECONDS - 0.1,
            "no node applied the second version in time",
        )
        time.sleep(0.005)
    for path in paths:
        status, _ = case_2.call(
            site, other, "POST", path, case_2.new_job(RUN_MS)
        )
        if status == 200:
            accepted.append(path)
    time.sleep(max(0.0, began_at + 2 * GAP_SECONDS - time.monotonic()))
    site.publish(8, WITH_ANOTHER, SERVICES)
    time.sleep(max(0.0, began_at + BUSY_SECONDS - time.monotonic()))
    refused.link.is_busy = False
    site.record.write(f"the store serves {refused.name} again")
    healed_at = time.monotonic()
    case_2.require(accepted, "no job was accepted")

    time.sleep(max(VISIBLE_SECONDS, CONTACT_SECONDS) + 2.0)
    for path in accepted:
        case_2.call(site, other, "GET", path)
    unknown = [
        path
        for path in accepted
        if case_2.call(site, refused, "GET", path)[0] == 410
    ]
    # Each job arrives once more, seconds after its 2xx.
    for path in accepted:
        case_2.call(site, refused, "POST", path, case_2.new_job(RUN_MS))
    time.sleep(3.0)
    twice = _running_twice(site)
    site.record.write(f"{time.monotonic() - healed_at:.1f} s after the trouble")
    broken = []
    if twice:
        broken.append(
            f"TWICE: {len(twice)} of {len(accepted)} tasks run twice at the "
            f"same time: {'; '.join(twice)}"
        )
    if unknown:
        broken.append(
            f"LOST: {refused.name} answers 410 for {len(unknown)} of "
            f"{len(accepted)} accepted jobs"
        )
    return "; ".join(broken)


def _running_twice(site: site_2.Site) -> list[str]:
    """Returns the pairs of runs of a task at work at the same time."""
    events_by_task: dict[str, list[tuple[float, str, str, str, int]]] = {}
    for at, worker_id, service, event, task, run, _ in site.runs():
        if event in ("start", "end"):
            events_by_task.setdefault(task, []).append(
                (at, worker_id, service, event, run)
            )
    found = []
    for task, events in events_by_task.items():
        at_work: dict[tuple[str, int], str] = {}
        for _, worker_id, service, event, run in events:
            if event == "end":
                at_work.pop((worker_id, run), None)
                continue
            at_work[worker_id, run] = f"run {run} on {worker_id} of {service}"
            if len(at_work) > 1:
                pair = itertools.islice(at_work.values(), 2)
                found.append(f"{task}: {' beside '.join(pair)}")
                break
    return found


case_2.run(play)
