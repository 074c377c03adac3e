"""Callers of the soak: they hand in jobs, ask for them, and cancel some."""

from __future__ import annotations

import json
import random
import threading
import time
from typing import NamedTuple

from returns import result

from soak import site as sites
from wisteriasill.links import http_client

CALL_SECONDS = 3.0
ATTEMPTS = 4
ATTEMPT_PAUSE_SECONDS = 0.2


class Submitted(NamedTuple):
    """A job and how its last attempt ended.

    Attributes:
        statuses: Status of each attempt; 0 for none.
        cancelled: Whether its cancellation was sent, answered or not.
    """

    job_id: str
    tasks: int
    statuses: tuple[int, ...]
    cancelled: bool

    @property
    def accepted(self) -> bool:
        """Whether some attempt was answered with success."""
        return 200 in self.statuses

    @property
    def refused(self) -> bool:
        """Whether every attempt said that the job never runs."""
        return all(status in (429, 503) for status in self.statuses)


class Callers:
    """Hands jobs in, at any node, until it is closed."""

    def __init__(self, site: sites.Site, seed: int, per_second: float) -> None:
        self._site = site
        self._draw = random.Random(seed)
        self._pause_seconds = 1.0 / per_second
        self._client = http_client.HttpClient()
        self._closing = threading.Event()
        self.jobs: list[Submitted] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to hand jobs in."""
        self._thread.start()

    def close(self) -> None:
        """Stops to hand jobs in."""
        self._closing.set()
        self._thread.join(30.0)

    def _run(self) -> None:
        while not self._closing.wait(self._pause_seconds):
            self.jobs.append(self._submit())

    def _submit(self) -> Submitted:
        job_id = f"{self._draw.getrandbits(64):016x}"
        tasks = self._draw.randint(1, 4)
        body = {
            "spec": str(self._draw.randint(50, 900)),
            "steps": [
                {"count": tasks, "cpu": 1000, "est_runtime_ms": 500},
                {"count": 1, "cpu": 1000, "est_runtime_ms": 500, "after": [0]},
            ],
        }
        statuses: list[int] = []
        for _ in range(ATTEMPTS):
            statuses.append(self.call("POST", job_id, body)[0])
            if statuses[-1] == 200:
                break
            time.sleep(ATTEMPT_PAUSE_SECONDS)
        cancelled = statuses[-1] == 200 and self._draw.random() < 0.1
        if cancelled:
            self.call("DELETE", job_id)
        return Submitted(job_id, tasks + 1, tuple(statuses), cancelled)

    def call(
        self, method: str, job_id: str, body: object = None
    ) -> tuple[int, dict[str, str]]:
        """Makes one call at any node; status 0 for no whole answer."""
        node = self._draw.choice(self._site.nodes)
        called = self._client.call(
            http_client.HttpCall(
                method,
                f"http://127.0.0.1:{node.caller_port}{sites.PREFIX}{job_id}",
                CALL_SECONDS,
                headers=(("Host", sites.HOST),),
                body=json.dumps(body).encode() if body else None,
            )
        )
        if not isinstance(called, result.Success):
            return 0, {}
        answer = called.unwrap()
        try:
            return answer.status, json.loads(answer.body)
        except json.JSONDecodeError:
            return answer.status, {}
