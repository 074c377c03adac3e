"""At-most-once execution of requests that must not be repeated.

A key is claimed in the table before its request is sent to a worker. It can be
claimed again only if the request is known not to have been executed. If an
entry host ends between claim and reply, the outcome of the key is unknown.
"""

from __future__ import annotations

from concurrent import futures
import secrets
import threading

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import periodic_task
from wisteriasill import settings as settings_module
from wisteriasill.contracts import claiming
from wisteriasill.contracts import exchange
from wisteriasill.contracts import outcome_writer
from wisteriasill.contracts import record_expiry
from wisteriasill.contracts import request_record
from wisteriasill.links import platform as platforms

_FLUSH_SECONDS = 5.0
_KIND_BY_VERDICT = {
    request_record.Verdict.REUSED: errors.ErrorKind.KEY_REUSED,
    request_record.Verdict.UNKNOWN: errors.ErrorKind.OUTCOME_UNKNOWN,
    request_record.Verdict.IN_PROGRESS: errors.ErrorKind.KEY_IN_PROGRESS,
}

Claim = claiming.Claim
Claimed = result.Result[Claim | exchange.Reply, errors.Failure]


class IdempotencyRegistry:
    """Claims keys and records outcomes; thread safe.

    `executed: no` in a failure refers to this attempt only. While the store
    is down, a new key can't be distinguished from one that another entry host
    has executed before. A caller that repeats a key therefore has to remember
    an earlier `unknown`.
    """

    def __init__(
        self,
        platform: platforms.Platform,
        settings: settings_module.EntrySettings,
        clock: clocks.Clock,
        incarnation: str = "",
    ) -> None:
        """Builds the registry.

        Args:
            platform: The platform.
            settings: Settings of this entry host.
            clock: The clock.
            incarnation: Incarnation of this process, as in its member row.
                Without it, only a missing member row shows that a holder has
                ended.
        """
        self._platform = platform
        self._settings = settings
        self._clock = clock
        self._incarnation = incarnation
        self._outcomes = outcome_writer.OutcomeWriter(
            platform, clock, settings.member_id
        )
        self._age = record_expiry.AgeReader(platform, clock)
        self._lock = threading.Lock()
        self._active: set[str] = set()
        self._stopping = threading.Event()
        self._claimer = claiming.Claimer(platform, clock, self._stopping)
        self._age_wake = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            2, thread_name_prefix="idempotency"
        )
        self._tasks: list[futures.Future[None]] = []

    @property
    def unrecorded(self) -> int:
        """Number of outcomes that wait for the store."""
        return self._outcomes.waiting

    def start(self) -> None:
        """Starts the tasks that retry writes and read the age counter."""
        for name, run_once, wake in (
            ("outcomes", self._outcomes.run_once, self._outcomes.changed),
            ("age counter", self._age.run_once, self._age_wake),
        ):
            task = self._executor.submit(
                periodic_task.run_periodically,
                name,
                run_once,
                wake,
                self._stopping,
                self._clock,
            )
            self._tasks.append(task)

    def stop(self) -> None:
        """Joins the tasks and writes pending outcomes if the store answers."""
        self._stopping.set()
        self._outcomes.changed.set()
        self._age_wake.set()
        for task in self._tasks:
            task.result()
        self._executor.shutdown()
        self._outcomes.flush(self._clock.monotonic() + _FLUSH_SECONDS)

    def claim(
        self,
        service: str,
        caller: str,
        key: str,
        body_digest: str,
        deadline_at: float,
    ) -> Claimed:
        """Claims a key or returns the recorded reply.

        Args:
            service: Name of the service.
            caller: Name of the caller.
            key: The caller's idempotency key.
            body_digest: Digest of the request; that of a repeat must be equal.
            deadline_at: Monotonic time until which to wait for a claim that
                is in progress elsewhere.

        Returns:
            A claim, which the caller has to finish, release or mark unknown;
            the recorded reply; or a failure.
        """
        request = claiming.ClaimRequest(
            request_record.row_key(service, caller, key),
            request_record.RequestRecord(
                state=request_record.RecordState.CLAIMED,
                body_digest=body_digest,
                token=secrets.token_hex(16),
                holder=self._settings.member_id,
                incarnation=self._incarnation,
                age_minutes=self._age.minutes,
            ),
            deadline_at,
        )
        unrecorded = self._answer_unrecorded(request)
        if unrecorded is not None:
            return unrecorded
        outcome = self._claimer.claim(request)
        if isinstance(outcome, claiming.Claim):
            with self._lock:
                self._active.add(request.row_key)
            return result.Success(outcome)
        if isinstance(outcome, claiming.ClaimFailed):
            return self._claim_failure(request, outcome)
        return self._answer(outcome.verdict, outcome.record)

    def finish(self, claim: Claim, reply: exchange.Reply) -> None:
        """Records the reply; if the store fails, retries it from memory."""
        self._record(
            outcome_writer.PendingOutcome(
                claim.row_key,
                claim.version,
                request_record.with_reply(claim.record, reply),
                reply,
            )
        )

    def release(self, claim: Claim) -> None:
        """Releases the key of a request that is known not to be executed."""
        self._record_state(claim, request_record.RecordState.RELEASED)

    def mark_unknown(self, claim: Claim) -> None:
        """Records that it is unknown whether the request was executed."""
        self._record_state(claim, request_record.RecordState.UNKNOWN)

    def _record_state(
        self, claim: Claim, state: request_record.RecordState
    ) -> None:
        self._record(
            outcome_writer.PendingOutcome(
                claim.row_key,
                claim.version,
                claim.record._replace(state=state),
            )
        )

    def _record(self, pending: outcome_writer.PendingOutcome) -> None:
        try:
            self._outcomes.write_or_queue(pending)
        finally:
            with self._lock:
                self._active.discard(pending.row_key)

    def _answer(
        self,
        verdict: request_record.Verdict,
        record: request_record.RequestRecord | None,
    ) -> Claimed:
        if verdict is request_record.Verdict.REPLAY and record is not None:
            return request_record.reply_of(record, self._platform.objects)
        return _failed(
            _KIND_BY_VERDICT[verdict],
            "the record of the Idempotency-Key is "
            + (record.state.value if record else "missing"),
        )

    def _answer_unrecorded(
        self, request: claiming.ClaimRequest
    ) -> Claimed | None:
        """Answers from an outcome that is not written yet, if there is one."""
        waiting = self._outcomes.find(request.row_key)
        if waiting is None:
            return None
        verdict = request_record.judge(
            waiting.record, request.record.token, request.record.body_digest
        )
        if verdict is request_record.Verdict.FREE:
            # Until the release is written, the table has the claim.
            return None
        if verdict is request_record.Verdict.REPLAY and waiting.reply:
            return result.Success(waiting.reply)
        return self._answer(verdict, waiting.record)

    def _claim_failure(
        self, request: claiming.ClaimRequest, failed_claim: claiming.ClaimFailed
    ) -> Claimed:
        """Answers a request whose key could not be claimed.

        A claim that may have been written is released later, from memory. An
        earlier attempt with the key may have been executed, which only the
        store records, so the answer never says `no`.
        """
        if failed_claim.uncertain:
            released = request.record._replace(
                state=request_record.RecordState.RELEASED
            )
            self._outcomes.enqueue(
                outcome_writer.PendingOutcome(
                    request.row_key, failed_claim.version, released
                )
            )
        with self._lock:
            active = request.row_key in self._active
        if active:
            return _failed(
                errors.ErrorKind.KEY_IN_PROGRESS,
                "the request is in progress at this entry host",
            )
        return _failed(
            errors.ErrorKind.STORE_UNAVAILABLE,
            "the Idempotency-Key cannot be claimed; this attempt was not sent",
            errors.Executed.UNKNOWN,
        )


def _failed(
    kind: errors.ErrorKind,
    detail: str,
    executed: errors.Executed | None = None,
) -> Claimed:
    return result.Failure(errors.failure(kind, detail, executed))
