"""At most one execution of each request that must not be repeated.

A key is claimed in the table before its request is sent to a worker, and the
record is never claimed anew unless the request was surely not executed. An
entry host that ends between claim and reply leaves the key unknown.
"""

from __future__ import annotations

from concurrent import futures
import secrets
import threading

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import settings as settings_module
from wisteriasill import turns
from wisteriasill.contracts import claiming
from wisteriasill.contracts import exchange
from wisteriasill.contracts import record_expiry
from wisteriasill.contracts import request_record
from wisteriasill.contracts import settlement as settlements
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

    `executed: no` in a failure speaks of the request that it answers. While
    the store is down nobody can tell a new key from one that another entry
    host has executed before, so a caller that repeats a key keeps an earlier
    `unknown` in mind.
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
            incarnation: Incarnation of this process, as in its member row;
                without it, only a missing member row shows that a holder is
                gone.
        """
        self._platform = platform
        self._settings = settings
        self._clock = clock
        self._incarnation = incarnation
        self._settlements = settlements.Settlements(
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
        """Outcomes that wait for the store."""
        return self._settlements.waiting

    def start(self) -> None:
        """Starts the tasks that retry writes and read the age counter."""
        for name, turn, wake in (
            ("outcomes", self._settlements.turn, self._settlements.changed),
            ("age counter", self._age.turn, self._age_wake),
        ):
            task = self._executor.submit(
                turns.run_turns, name, turn, wake, self._stopping, self._clock
            )
            self._tasks.append(task)

    def stop(self) -> None:
        """Joins the tasks and writes what still waits, if the store answers."""
        self._stopping.set()
        self._settlements.changed.set()
        self._age_wake.set()
        for task in self._tasks:
            task.result()
        self._executor.shutdown()
        self._settlements.flush(self._clock.monotonic() + _FLUSH_SECONDS)

    def claim(
        self,
        service: str,
        caller: str,
        key: str,
        body_digest: str,
        deadline_at: float,
    ) -> Claimed:
        """Claims a key, or returns the recorded reply.

        Args:
            service: Name of the service.
            caller: Name of the caller.
            key: The caller's idempotency key.
            body_digest: Digest of what must be equal in a repeat.
            deadline_at: Monotonic seconds until which a claim that is in
                progress elsewhere is waited for.

        Returns:
            A claim, which has to be finished, released or marked unknown; the
            recorded reply; or a failure.
        """
        ask = claiming.Ask(
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
        unrecorded = self._answer_unrecorded(ask)
        if unrecorded is not None:
            return unrecorded
        outcome = self._claimer.claim(ask)
        if isinstance(outcome, claiming.Claim):
            with self._lock:
                self._active.add(ask.row_key)
            return result.Success(outcome)
        if isinstance(outcome, claiming.Refused):
            return self._refuse(ask, outcome)
        return self._answer(outcome.verdict, outcome.record)

    def finish(self, claim: Claim, reply: exchange.Reply) -> None:
        """Records the reply; if the store fails, it is retried from memory."""
        self._settle(
            settlements.Settlement(
                claim.row_key,
                claim.version,
                request_record.with_reply(claim.record, reply),
                reply,
            )
        )

    def release(self, claim: Claim) -> None:
        """Frees the key of a request that was surely not executed."""
        self._settle_as(claim, request_record.RecordState.RELEASED)

    def mark_unknown(self, claim: Claim) -> None:
        """Records that nobody knows whether the request was executed."""
        self._settle_as(claim, request_record.RecordState.UNKNOWN)

    def _settle_as(
        self, claim: Claim, state: request_record.RecordState
    ) -> None:
        self._settle(
            settlements.Settlement(
                claim.row_key,
                claim.version,
                claim.record._replace(state=state),
            )
        )

    def _settle(self, settlement: settlements.Settlement) -> None:
        try:
            self._settlements.settle(settlement)
        finally:
            with self._lock:
                self._active.discard(settlement.row_key)

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

    def _answer_unrecorded(self, ask: claiming.Ask) -> Claimed | None:
        """Answers from an outcome that still waits for the store."""
        waiting = self._settlements.find(ask.row_key)
        if waiting is None:
            return None
        verdict = request_record.judge(
            waiting.record, ask.record.token, ask.record.body_digest
        )
        if verdict is request_record.Verdict.FREE:
            return None  # Until it is recorded, the table has the claim.
        if verdict is request_record.Verdict.REPLAY and waiting.reply:
            return result.Success(waiting.reply)
        return self._answer(verdict, waiting.record)

    def _refuse(self, ask: claiming.Ask, refused: claiming.Refused) -> Claimed:
        """Answers a request whose key could not be claimed.

        A claim that may have been written is released from memory later. An
        earlier attempt with the key may have been executed, and only the
        store could tell, so the answer never says `no`.
        """
        if refused.uncertain:
            released = ask.record._replace(
                state=request_record.RecordState.RELEASED
            )
            self._settlements.keep(
                settlements.Settlement(ask.row_key, refused.version, released)
            )
        with self._lock:
            active = ask.row_key in self._active
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
