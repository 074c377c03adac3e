"""Stand-in of a worker, a process of its own that a signal can crash.

It follows the page on running tasks: fencing tokens, one lease for all that
runs, numbered ends, orders for one incarnation. The `spec` of a job tells how
long each task runs: a number of milliseconds; a text behind it, such as in
`2000 failed`, tells how the run ends.
"""

from __future__ import annotations

import argparse
import http.client
import json
import os
import threading
import time
from typing import Any

import advice
import http_service

STOP_SECONDS = 0.02
MAX_HOLD_MS = 10_000
MAX_ENDS = 500
HEARTBEAT_SECONDS = 1.5


class Run:
    """A run at work."""

    def __init__(self, number: int, spec: str, cpu: int, memory_mb: int):
        milliseconds, _, how = spec.partition(" ")
        self.number = number
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.ends_at = time.monotonic() + int(milliseconds) / 1000
        self.how = how or "done"


class Worker:
    """Runs tasks, reports them, and holds their lease."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self._fence = 0
        self._lease_until_ms = 0
        self._run_by_task: dict[str, Run] = {}
        self._highest_by_task: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._last_end = 0
        self._changed = threading.Condition()
        self._sequence = 0
        self._log = open(arguments.log, "a", encoding="utf-8")  # noqa: SIM115

    def serve(self) -> None:
        """Serves until the process ends."""
        server = http_service.serve(self._answer, self._arguments.port)
        self._address = f"{http_service.ADDRESS}:{server.server_address[1]}"
        threading.Thread(target=self._watch_time, daemon=True).start()
        parent = os.getppid()
        # It does not outlive the case that started it.
        while os.getppid() == parent:
            self._send_heartbeat()
            time.sleep(HEARTBEAT_SECONDS)

    def _send_heartbeat(self) -> None:
        self._sequence += 1
        entry = {
            "service": self._arguments.service,
            "address": self._address,
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": self._sequence,
            "born": self._born,
            "capacity": {
                "cpu": self._arguments.cpu,
                "mem_mb": self._arguments.memory_mb,
            },
            "labels": [self._arguments.kind, self._arguments.rack],
            "machine": self._arguments.machine,
        }
        body = json.dumps({"id": self._arguments.id, "entry": entry})
        connection = http.client.HTTPConnection(
            self._arguments.registry, timeout=1.0
        )
        try:
            connection.request("POST", "/registry", body)
            connection.getresponse().read()
        except OSError:
            pass  # The next heartbeat follows.
        finally:
            connection.close()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started_at) * 1000) + 1

    def _record(self, event: str, task: str, run: int, detail: str) -> None:
        self._log.write(
            f"{time.monotonic():.3f} {self._arguments.id} "
            f"{self._arguments.service} {event} {task} {run} {detail}\n"
        )
        self._log.flush()

    def _answer(
        self, request: http_service.Request
    ) -> http_service.Answer | None:
        expected = request.headers.get("Wisteriasill-Expect-Instance")
        if expected not in (None, self._arguments.id):
            return 421, {}
        body = request.body
        with self._changed:
            if body["fencing_token"] < self._fence:
                return self._conflict("fence")
            self._fence = body["fencing_token"]
            self._end_due_runs()
            if request.path == "/api/hold":
                return self._hold(body)
            if request.path == "/api/run-start":
                return self._start(body)
            if request.path == "/api/run-stop":
                return self._stop(body)
            if request.path == "/api/pace":
                return 200, {"clock_ms": self._clock_ms()}
        return 400, {}

    def _conflict(self, reason: str) -> http_service.Answer:
        return 409, {"clock_ms": self._clock_ms(), "reason": reason}

    def _extend_lease(self, deadline_ms: int | None) -> None:
        if deadline_ms:
            longest_ms = self._clock_ms() + MAX_HOLD_MS
            self._lease_until_ms = max(
                self._lease_until_ms, min(deadline_ms, longest_ms)
            )

    def _hold(self, body: dict[str, Any]) -> http_service.Answer:
        self._extend_lease(body.get("deadline_ms"))
        last_seen = body.get("last_seen", 0)
        for end in self._ends:
            if end[0] <= last_seen:
                self._record("noted", end[1], end[2], end[3])
        self._ends = [end for end in self._ends if end[0] > last_seen]
        wait_until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ends and time.monotonic() < wait_until:
            self._changed.wait(wait_until - time.monotonic())
        return 200, {
            "clock_ms": self._clock_ms(),
            "born": self._born,
            "running": [
                [task, run.number, "", 100, run.cpu]
                for task, run in self._run_by_task.items()
            ],
            "finished": self._ends[:MAX_ENDS],
        }

    def _start(self, body: dict[str, Any]) -> http_service.Answer:
        task, number = body["task"], body["run_id"]
        present = self._run_by_task.get(task)
        if present and present.number == number:
            return 200, {"clock_ms": self._clock_ms()}
        if number <= self._highest_by_task.get(task, 0):
            self._extend_lease(body["deadline_ms"])
            return self._conflict("old")
        if body["deadline_ms"] <= self._clock_ms():
            return self._conflict("late")
        if self._arguments.tickets and not advice.is_valid(
            body.get("ticket", ""), task, self._arguments.id
        ):
            return self._conflict("ticket")
        cpu = self._arguments.task_cpu
        memory_mb = self._arguments.task_memory_mb
        used = len(self._run_by_task)
        if (used + 1) * cpu > self._arguments.cpu or (
            (used + 1) * memory_mb > self._arguments.memory_mb
        ):
            self._extend_lease(body["deadline_ms"])
            return self._conflict("room")
        self._extend_lease(body["deadline_ms"])
        self._highest_by_task[task] = number
        self._run_by_task[task] = Run(number, body["spec"], cpu, memory_mb)
        self._record("start", task, number, f"fence={body['fencing_token']}")
        self._changed.notify_all()
        return 200, {"clock_ms": self._clock_ms()}

    def _stop(self, body: dict[str, Any]) -> http_service.Answer:
        task, number = body["task"], body["run_id"]
        run = self._run_by_task.get(task)
        self._highest_by_task[task] = max(
            number, self._highest_by_task.get(task, 0)
        )
        if run and run.number == number:
            run.ends_at = min(run.ends_at, time.monotonic() + STOP_SECONDS)
            run.how = "stopped"
            self._changed.notify_all()
        return 200, {"clock_ms": self._clock_ms()}

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        lapsed = self._clock_ms() >= self._lease_until_ms
        for task, run in [*self._run_by_task.items()]:
            if lapsed or run.ends_at <= now:
                how = "lapsed" if lapsed else run.how
                del self._run_by_task[task]
                self._last_end += 1
                self._ends.append([self._last_end, task, run.number, how, ""])
                self._record("end", task, run.number, how)
                self._changed.notify_all()

    def _watch_time(self) -> None:
        while True:
            time.sleep(0.01)
            with self._changed:
                self._end_due_runs()


def main() -> None:
    """Runs a worker."""
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "machine", "rack", "registry", "log"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--kind", default="a")
    parser.add_argument("--tickets", action="store_true")
    parser.add_argument("--cpu", type=int, default=16_000)
    parser.add_argument("--memory-mb", type=int, default=65_536)
    parser.add_argument("--task-cpu", type=int, default=1_000)
    parser.add_argument("--task-memory-mb", type=int, default=1_000)
    Worker(parser.parse_args()).serve()


if __name__ == "__main__":
    main()
