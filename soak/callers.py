"""Callers of the soak: they submit jobs, read their state, cancel some."""

from __future__ import annotations

import json
import random
import threading
import time
from typing import NamedTuple

from returns import result

from soak import ports
from soak import site as sites
from wisteriasill.links import http_client

CALL_TIMEOUT_SECONDS = 3.0
ATTEMPTS = 4
ATTEMPT_PAUSE_SECONDS = 0.2


class SubmittedJob(NamedTuple):
    """A submitted job and the outcome of each attempt.

    Attributes:
        statuses: HTTP status of each attempt; 0 for no response.
        cancelled: Whether its cancellation was sent, with or without a
            response.
    """

    job_id: str
    tasks: int
    statuses: tuple[int, ...]
    cancelled: bool

    @property
    def accepted(self) -> bool:
        """Whether any attempt succeeded."""
        return 200 in self.statuses

    @property
    def refused(self) -> bool:
        """Whether every response stated that the job never runs."""
        return all(status in (429, 503) for status in self.statuses)


class Callers:
    """Submits jobs to random nodes until it is closed."""

    def __init__(self, site: sites.Site, seed: int, per_second: float) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._pause_seconds = 1.0 / per_second
        self._client = http_client.HttpClient()
        self._closing = threading.Event()
        self.jobs: list[SubmittedJob] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to submit jobs."""
        self._thread.start()

    def close(self) -> None:
        """Stops submitting jobs."""
        self._closing.set()
        self._thread.join(30.0)

    def _run(self) -> None:
        while not self._closing.wait(self._pause_seconds):
            self.jobs.append(self._submit())

    def _submit(self) -> SubmittedJob:
        job_id = f"{self._rng.getrandbits(64):016x}"
        tasks = self._rng.randint(1, 4)
        body = {
            "spec": str(self._rng.randint(50, 900)),
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
        cancelled = statuses[-1] == 200 and self._rng.random() < 0.1
        if cancelled:
            self.call("DELETE", job_id)
        return SubmittedJob(job_id, tasks + 1, tuple(statuses), cancelled)

    def call(
        self, method: str, job_id: str, body: object = None
    ) -> tuple[int, dict[str, str]]:
        """Calls a random node; status 0 if there is no complete response."""
        node = self._rng.choice(self._site.nodes)
        called = self._client.call(
            http_client.HttpCall(
                method,
                f"http://{ports.ADDRESS}:{node.caller_port}{sites.PREFIX}{job_id}",
                CALL_TIMEOUT_SECONDS,
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
