"""Callers of the soak: they submit jobs, read their state, cancel some."""

from __future__ import annotations

from concurrent import futures
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
CANCELLING_THREADS = 32
CANCELLING_SECONDS = 30.0
CANCELLED_STATUSES = (200, 410)
MAX_REPEAT_SECONDS = 6.0
LASTING_MS = 3_600_000
OCCURRENCES = 6
OCCURRENCE_INTERVAL_MS = 700


class Habits(NamedTuple):
    """How callers behave.

    Attributes:
        cancelled_share: Share of the jobs that are cancelled.
        min_cancel_seconds: Shortest time from acceptance to cancellation.
        max_cancel_seconds: Longest time from acceptance to cancellation.
        lasting_share: Share of the jobs whose tasks last until they are
            cancelled, as they all are.
        repeated_share: Share of the cancelled jobs that are submitted again
            after their cancellation.
        max_task_ms: Longest run time of a task.
        max_tasks: Most tasks of a step.
        gang_share: Share of the other jobs that are gangs, which last until
            they are cancelled.
        scheduled_share: Share of the other jobs that run several times and are
            cancelled in between.
        early_jobs: Number of jobs that are submitted before the first fault
            and last until they are cancelled.
        max_early_cancel_seconds: Longest time after which they are cancelled.
    """

    cancelled_share: float
    min_cancel_seconds: float = 0.0
    max_cancel_seconds: float = 0.0
    lasting_share: float = 0.0
    repeated_share: float = 0.0
    max_task_ms: int = 900
    max_tasks: int = 4
    gang_share: float = 0.0
    scheduled_share: float = 0.0
    early_jobs: int = 0
    max_early_cancel_seconds: float = 0.0


# Callers that cancel many jobs and submit some of them again.
CANCELLING = Habits(0.5, 0.3, 2.5, 0.15, 0.4, 2500)
# The same with jobs that several holders have taken over, gangs and schedules.
LATE_CANCELLING = CANCELLING._replace(
    repeated_share=0.6,
    gang_share=0.15,
    scheduled_share=0.2,
    early_jobs=3,
    max_early_cancel_seconds=20.0,
)
# Callers with many short tasks beside lasting ones, some of which stay longer.
SHORT_TASKS = Habits(
    0.1,
    0.3,
    4.0,
    0.1,
    max_task_ms=600,
    max_tasks=12,
    early_jobs=3,
    max_early_cancel_seconds=20.0,
)


class Draft(NamedTuple):
    """A job before its submission.

    Attributes:
        tasks: Number of its tasks.
        body: Body of the request.
        is_cancelled: Whether it is cancelled in any case.
    """

    tasks: int
    body: dict[str, object]
    is_cancelled: bool


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
    """Submits jobs to random nodes until it is closed.

    Attributes:
        jobs: All submitted jobs.
        cancelled_at_by_job: Monotonic time of the acknowledgement of each
            cancellation.
    """

    def __init__(
        self, site: sites.Site, seed: int, per_second: float, habits: Habits
    ) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._habits = habits
        self._pause_seconds = 1.0 / per_second
        self._client = http_client.HttpClient()
        # Reads come at times of their own, so they must not take numbers from
        # the generator of the jobs.
        self._reading_rng = random.Random(seed)
        self._closing = threading.Event()
        self.jobs: list[SubmittedJob] = []
        self.cancelled_at_by_job: dict[str, float] = {}
        self._executor = futures.ThreadPoolExecutor(CANCELLING_THREADS)
        self._cancellations: list[futures.Future[None]] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Submits the early jobs, then starts to submit others."""
        for _ in range(self._habits.early_jobs):
            self.jobs.append(
                self._submit(
                    self._new_id(),
                    _lasting(self._rng.randint(1, self._habits.max_tasks)),
                    self._habits.max_early_cancel_seconds,
                )
            )
        self._thread.start()

    def close(self) -> None:
        """Stops submitting jobs and waits for the cancellations."""
        self._closing.set()
        self._thread.join(30.0)
        for cancellation in self._cancellations:
            cancellation.result()
        self._executor.shutdown()

    def _run(self) -> None:
        while not self._closing.wait(self._pause_seconds):
            self.jobs.append(
                self._submit(
                    self._new_id(),
                    self._draft(),
                    self._habits.max_cancel_seconds,
                )
            )

    def _draft(self) -> Draft:
        habits = self._habits
        tasks = self._rng.randint(1, habits.max_tasks)
        if self._rng.random() < habits.lasting_share:
            return _lasting(tasks)
        # A share of 0 draws no number, so that known seeds submit the same.
        if habits.gang_share and self._rng.random() < habits.gang_share:
            return _lasting_gang(tasks)
        task_ms = self._rng.randint(50, habits.max_task_ms)
        if (
            habits.scheduled_share
            and self._rng.random() < habits.scheduled_share
        ):
            return _scheduled(tasks, task_ms)
        return _finite(tasks, task_ms)

    def _new_id(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    def _submit(
        self, job_id: str, draft: Draft, max_cancel_seconds: float
    ) -> SubmittedJob:
        statuses: list[int] = []
        for _ in range(ATTEMPTS):
            statuses.append(self.call("POST", job_id, draft.body)[0])
            if statuses[-1] == 200:
                break
            time.sleep(ATTEMPT_PAUSE_SECONDS)
        cancelled = statuses[-1] == 200 and (
            draft.is_cancelled
            or self._rng.random() < self._habits.cancelled_share
        )
        if cancelled:
            delay_seconds = self._rng.uniform(
                self._habits.min_cancel_seconds, max_cancel_seconds
            )
            is_repeated = self._rng.random() < self._habits.repeated_share
            self._cancellations.append(
                self._executor.submit(
                    self._cancel,
                    job_id,
                    time.monotonic() + delay_seconds,
                    draft.body if is_repeated else None,
                )
            )
        return SubmittedJob(job_id, draft.tasks, tuple(statuses), cancelled)

    def _cancel(self, job_id: str, at: float, repeated_body: object) -> None:
        """Cancels a job and may submit it again after the acknowledgement."""
        time.sleep(max(0.0, at - time.monotonic()))
        give_up_at = time.monotonic() + CANCELLING_SECONDS
        while self.call("DELETE", job_id)[0] not in CANCELLED_STATUSES:
            if time.monotonic() > give_up_at:
                return
            time.sleep(ATTEMPT_PAUSE_SECONDS)
        self.cancelled_at_by_job[job_id] = time.monotonic()
        if repeated_body:
            time.sleep(self._rng.uniform(0.0, MAX_REPEAT_SECONDS))
            self.call("POST", job_id, repeated_body)

    def call(
        self, method: str, job_id: str, body: object = None
    ) -> tuple[int, dict[str, str]]:
        """Calls a random node; status 0 if there is no complete response."""
        node = self._rng.choice(self._site.nodes)
        return self._call(node, method, job_id, body)

    def read(self, job_id: str) -> tuple[int, dict[str, str]]:
        """Reads a job's state from a random node, as `call` does."""
        node = self._reading_rng.choice(self._site.nodes)
        return self._call(node, "GET", job_id, None)

    def _call(
        self, node: sites.Node, method: str, job_id: str, body: object
    ) -> tuple[int, dict[str, str]]:
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


def _step(tasks: int, **fields: object) -> dict[str, object]:
    return {"cpu": 1000, "est_runtime_ms": 500, "count": tasks, **fields}


def _lasting(tasks: int) -> Draft:
    steps = [_step(tasks, long_running=True)]
    return Draft(tasks, {"spec": str(LASTING_MS), "steps": steps}, True)


def _lasting_gang(tasks: int) -> Draft:
    steps = [_step(tasks, gang=True)]
    return Draft(tasks, {"spec": str(LASTING_MS), "steps": steps}, True)


def _finite(tasks: int, task_ms: int) -> Draft:
    steps = [_step(tasks), _step(1, after=[0])]
    return Draft(tasks + 1, {"spec": str(task_ms), "steps": steps}, False)


def _scheduled(tasks: int, task_ms: int) -> Draft:
    body = _finite(tasks, task_ms).body | {
        "start_at_ms": int(time.time() * 1000),
        "interval_ms": OCCURRENCE_INTERVAL_MS,
        "repeat_count": OCCURRENCES,
    }
    return Draft(OCCURRENCES * (tasks + 1), body, True)
