"""The route of a failing job is removed, then the nodes restart in turn."""

from __future__ import annotations

import collections
import pathlib
import sys
import time
from typing import TextIO

from review.harness import callers
from review.harness import site as sites
from wisteriasill.contracts import job_spec

FOLDER = pathlib.Path(__file__).parent
ROOM = job_spec.Resources(16_000, 64_000, 0)
FAILING_ID = "00000000000000a1"
MAX_ATTEMPTS = 3
RUN_MS = 5001  # Odd: each run fails at its end.
# With them the hopeless job is a share of 0.025 of its class.
SOUND_JOBS = 39
SOUND_RUN_MS = 200
CONFIG_APPLY_SECONDS = 2.0
GAP_SECONDS = 2.0  # As on the standard day trouble-2.
WATCH_SECONDS = 40.0


def run(folder: pathlib.Path, record: TextIO) -> int:
    """Returns 1 if a task starts after `max_attempts` noted failures."""
    site = sites.Site(folder, record, {"bench": 3}, ROOM)
    removed = sites.route("first", "/first/", "bench", MAX_ATTEMPTS)
    kept = sites.route("second", "/second/", "bench", MAX_ATTEMPTS)
    try:
        site.publish(3, [removed, kept])
        if not site.start_nodes():
            return 2
        if not site.submit(
            f"/first/{FAILING_ID}", str(RUN_MS), [callers.step(1, RUN_MS)]
        ):
            return 2
        for number in range(SOUND_JOBS):
            if not site.submit(
                f"/first/{0xB0000 + number:016x}",
                str(SOUND_RUN_MS),
                [callers.step(1, SOUND_RUN_MS)],
            ):
                return 2
        task = job_spec.TaskKey(FAILING_ID, 0, 0, 0)
        if not site.wait(lambda: task in site.log.open_tasks()):
            return 2
        site.publish(7, [kept] if sites.trouble() else [removed, kept])
        time.sleep(CONFIG_APPLY_SECONDS)
        site.restart_in_turn(GAP_SECONDS)
        site.note("all nodes are back; no disruption from here on")
        time.sleep(WATCH_SECONDS)
        site.note_runs(120)
        noted_at = sorted(
            failure.at
            for worker in site.workers
            for failure in worker.noted_failures
            if failure.task == task
        )
        with site.log.lock:
            starts = sorted(
                event.at
                for event in site.log.run_events
                if event.task == task and event.event == "start"
            )
        ends = collections.Counter(
            event.event for event in site.log.run_events if event.task == task
        )
        late = (
            [at for at in starts if at > noted_at[MAX_ATTEMPTS - 1] + 1.0]
            if len(noted_at) >= MAX_ATTEMPTS
            else []
        )
        site.note(
            f"{len(starts)} starts, {dict(ends)}, {len(noted_at)} failures "
            f"noted; {len(late)} starts more than 1 s after failure "
            f"{MAX_ATTEMPTS} was noted"
        )
        return 1 if late else 0
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(sites.run_case(run, FOLDER))
