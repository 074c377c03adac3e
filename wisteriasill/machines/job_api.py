"""Submission, state and cancellation of jobs for callers of a node.

The `batch_*` modules run these jobs. `job_controller` runs the jobs that
services declare.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
import itertools
import time
from typing import Any, NamedTuple

import cbor2
from returns import result

from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue as queues
from wisteriasill.contracts import submission_policy
from wisteriasill.links import cluster
from wisteriasill.links import submission_relay
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_tables
from wisteriasill.machines import job_admission
from wisteriasill.machines import job_moves
from wisteriasill.machines import progress_rows
from wisteriasill.machines import queue_records
from wisteriasill.zones import shard_writer

Outcome = result.Result[batch_job.JobState, errors.Failure]

# Timeout of one call to the store; a slow store takes 0.4 s a transaction.
CALL_TIMEOUT_SECONDS = 1.2
# Part of a caller's deadline that is reserved to transmit the response.
RESPONSE_MARGIN_SECONDS = 0.15
RETRY_SECONDS = 0.05
# Time for which a refused call to the store is retried; an overloaded store
# accepts every second call. It is a quarter of the shortest objective at the
# users' sites.
BUSY_SECONDS = 0.5
HEALTHY_STORE = submission_policy.StoreView(0.0, 0.0)
# Time for which a refused read of the queues is retried beside a caller.
CALLER_REFRESH_SECONDS = 0.3
PENDING_CACHE_SECONDS = 1.0  # The platform allows 2 s.


class JobAddress(NamedTuple):
    """Where a caller asks for a job.

    Attributes:
        host: Host name.
        prefix: The path up to the job's id.
        queue: Queue with this host and prefix in the configuration in force;
            None if there is none.
    """

    host: str
    prefix: str
    job_id: str
    queue: queues.Queue | None


class Move(NamedTuple):
    """Where a job is to be stored, and what that was decided by.

    Attributes:
        service: The service whose pool runs the job.
        configuration: Version that sends the job there; 0 if it is not known.
        known_version: Store version as of which all queues were known.
    """

    service: str
    configuration: int
    known_version: int


class JobApi:
    """Accepts, shows and cancels jobs; keeps all durable state in the store.

    Args:
        store: The platform's store.
        relay: Stores jobs through other nodes; None for no relay.
        view_store: Returns what the node knows of its connection to the store.
        view_backlog: Returns what the node knows of a pool's backlog.
        known_queues: The queues of all configurations; None for none.
        limits: Limits of the store.
    """

    def __init__(
        self,
        store: cluster.RowStore,
        relay: submission_relay.SubmissionRelay | None = None,
        view_store: Callable[[], submission_policy.StoreView] = lambda: (
            HEALTHY_STORE
        ),
        view_backlog: job_admission.BacklogView = lambda service: None,
        known_queues: queue_records.QueueRecords | None = None,
        limits: cluster.StoreLimits = cluster.DOCUMENTED_LIMITS,
    ) -> None:
        self._store = store
        self._known_queues = known_queues or queue_records.QueueRecords(
            store, loaded=True
        )
        self._moves = job_moves.JobMoves(
            store, self._known_queues, self._read_record
        )
        self._limits = limits
        self._admission = job_admission.JobAdmission(store, view_backlog)
        self._relay = relay
        self._view_store = view_store
        self._pending_by_service: dict[str, tuple[float, dict[str, Any]]] = {}

    def submit(
        self,
        queue: queues.Queue,
        job_id: str,
        spec: job_spec.JobSpec,
        deadline: float,
    ) -> Outcome:
        """Accepts a job or turns it away; a repeated one is the same job.

        Args:
            queue: The queue.
            job_id: The caller's id for the job.
            spec: The job.
            deadline: Monotonic time until which the caller waits.

        Returns:
            The job's state, or why it is not accepted or that is not known.
        """
        record = job_spec.JobRecord(
            queue.name,
            int(time.time() * 1000),
            False,
            spec,
            queue.max_attempts,
        )
        if reason := progress_rows.refusal_reason(record, self._limits):
            return result.Failure(
                errors.failure(errors.ErrorKind.BAD_REQUEST, reason)
            )
        give_up_at = deadline - RESPONSE_MARGIN_SECONDS
        move = self._locate(queue, job_id, give_up_at)
        if move is None:
            return result.Failure(_location_unknown(job_id))
        retry_after_seconds = self._admission.turn_away(
            queue._replace(service=move.service),
            job_id,
            spec,
            submission_policy.insert_timeout_seconds(self._view_store()),
        )
        if retry_after_seconds is not None:
            return result.Failure(
                errors.failure(
                    errors.ErrorKind.OVERLOADED,
                    f"job {job_id}: the pool of queue {queue.name} can't run "
                    "it while it is of use",
                    retry_after_seconds=retry_after_seconds,
                )
            )
        submission = submission_relay.Submission(
            move.service, job_id, cbor2.dumps(job_spec.encode(record))
        )
        outcome: submission_policy.Outcome | None = None
        outcome_unknown = False
        refused_until = time.monotonic() + BUSY_SECONDS
        relayed = self._relay is None
        for attempts in itertools.count(1):
            if time.monotonic() >= give_up_at:
                break
            route = submission_policy.next_route(
                self._view_store(), outcome, relayed
            )
            if route is submission_policy.Route.RELAY and self._relay:
                relayed = True
                outcome = self._relay.store(submission, give_up_at)
            else:
                outcome, bar_version = self._store_unless_barred(
                    submission, give_up_at, move
                )
                if bar_version > move.known_version:
                    # The job may be at a service that was not known before.
                    self._known_queues.refresh(CALLER_REFRESH_SECONDS)
                    move = self._locate(queue, job_id, give_up_at)
                    if move is None:
                        return result.Failure(_location_unknown(job_id))
                    submission = submission._replace(service=move.service)
            if outcome is submission_policy.Outcome.STORED:
                return result.Success(batch_job.JobState.QUEUED)
            if outcome is submission_policy.Outcome.UNKNOWN:
                outcome_unknown = True
            elif not outcome_unknown and time.monotonic() > refused_until:
                break
            remaining_seconds = give_up_at - time.monotonic()
            time.sleep(
                min(
                    submission_policy.pause_seconds(attempts),
                    max(remaining_seconds, 0.0),
                )
            )
        # Without a response of the store the job must not be reported as
        # rejected: an earlier attempt at another node may have been stored.
        return result.Failure(
            errors.failure(
                errors.ErrorKind.ACCEPTANCE_UNKNOWN,
                f"job {job_id}: the store "
                + (
                    "did not respond" if outcome_unknown else "can't be reached"
                ),
            )
        )

    def _locate(
        self, queue: queues.Queue, job_id: str, give_up_at: float
    ) -> Move | None:
        """Bars a job elsewhere; None if another service may have it."""
        # Knowledge and versions that come meanwhile have not barred the job.
        known_version = self._known_queues.read_version
        configuration = self._known_queues.version_of(queue)
        service = self._moves.locate(queue, job_id, configuration, give_up_at)
        if service is None:
            return None
        return Move(service, configuration, known_version)

    def store(
        self, submission: submission_relay.Submission, deadline: float
    ) -> submission_relay.Outcome:
        """Stores a job's row, unless a row of the same id exists.

        Args:
            submission: The row.
            deadline: Monotonic time until which to wait for the store.

        Returns:
            Whether the row is stored; an existing row counts as stored.
        """
        outcome, _ = self._store_unless_barred(
            submission, deadline, Move(submission.service, 0, 0)
        )
        return outcome

    def _store_unless_barred(
        self,
        submission: submission_relay.Submission,
        deadline: float,
        move: Move,
    ) -> tuple[submission_relay.Outcome, int]:
        """Stores a job's row, unless a row of the same id exists.

        Args:
            submission: The row.
            deadline: Monotonic time until which to wait for the store.
            move: What the job was located by. Older bars give way to it.

        Returns:
            Whether the row is stored, where an existing row counts as stored;
            and the store version of an older bar that was left; 0 for none.
        """
        give_up_at = min(
            deadline,
            time.monotonic()
            + submission_policy.insert_timeout_seconds(self._view_store()),
        )
        outcome, row = self._insert(submission, 0, give_up_at)
        if row is not None and job_spec.decode_refusal(row.value):
            # The caller was turned away before and returns.
            outcome, row = self._insert(submission, row.version, give_up_at)
            if row is not None and job_spec.decode_refusal(row.value):
                return submission_relay.Outcome.REFUSED, 0
        barred_by = job_spec.decode_move(row.value) if row else None
        if row is not None and barred_by is not None:
            if barred_by >= move.configuration:
                return submission_relay.Outcome.UNKNOWN, 0
            if row.version > move.known_version:
                return submission_relay.Outcome.UNKNOWN, row.version
            events.log(
                events.Event.JOB_BAR_REPLACED,
                "A job is accepted in place of an older bar",
                job=submission.job_id,
                service=submission.service,
                barred_by=barred_by,
                configuration=move.configuration,
                bar_version=row.version,
            )
            outcome, row = self._insert(submission, row.version, give_up_at)
            if row is not None and job_spec.decode_move(row.value) is not None:
                return submission_relay.Outcome.UNKNOWN, 0
        if row is not None and row.value == job_spec.CANCELLATION:
            record = job_spec.decode_row(submission.value)
            cancelled = submission._replace(value=_cancelled_value(record))
            outcome, _ = self._insert(cancelled, row.version, give_up_at)
        return outcome, 0

    def _insert(
        self,
        submission: submission_relay.Submission,
        version: int,
        give_up_at: float,
    ) -> tuple[submission_relay.Outcome, cluster.StoredRow | None]:
        """Stores a job's row in place of the row of a version.

        Returns:
            The outcome, and the row that was there instead.
        """
        service, job_id, value = submission
        table = batch_tables.jobs_table(service)
        written = self._store.transact(
            batch_tables.jobs_partition(service, job_id),
            [cluster.RowVersion(table, job_id, version)],
            [cluster.RowWrite(table, job_id, value)],
            max(give_up_at - time.monotonic(), 0.0),
        )
        if isinstance(written, result.Success):
            return submission_relay.Outcome.STORED, None
        fault = written.failure()
        if fault.kind is cluster.StoreFaultKind.CONFLICT:
            return submission_relay.Outcome.STORED, next(iter(fault.rows), None)
        if fault.kind is cluster.StoreFaultKind.OUTCOME_UNKNOWN:
            return submission_relay.Outcome.UNKNOWN, None
        return submission_relay.Outcome.REFUSED, None

    def state_at(self, address: JobAddress) -> Outcome:
        """Reads the state of a job, also if its queue was removed."""
        return self._ask_queues(
            address, lambda queue: self.state(queue, address.job_id)
        )

    def cancel_at(self, address: JobAddress, deadline: float) -> Outcome:
        """Cancels a job, also if its queue was removed."""
        return self._ask_queues(
            address, lambda queue: self.cancel(queue, address.job_id, deadline)
        )

    def _ask_queues(
        self,
        address: JobAddress,
        ask: Callable[[queues.Queue], Outcome],
    ) -> Outcome:
        """Asks the present queue of an address, then its former queues.

        Returns:
            The first outcome that shows a job or leaves that open.
        """
        current = address.queue
        if current is None and not self._known_queues.loaded:
            return result.Failure(_queues_unread(errors.Executed.NO))
        asked: dict[str, Outcome] = {}
        while left := self._queues_to_ask(address, asked):
            for queue in left:
                outcome = asked[queue.service] = ask(queue)
                kind = _kind_of(outcome)
                # A barred job is at one of the others.
                if kind not in (
                    errors.ErrorKind.NO_SUCH_JOB,
                    errors.ErrorKind.NOT_READY,
                ):
                    return outcome
        for outcome in asked.values():
            if _kind_of(outcome) is errors.ErrorKind.NOT_READY:
                return outcome
        if not self._known_queues.loaded or (
            current
            and self._known_queues.version_of(current)
            and not self._known_queues.is_stored(current)
        ):
            # The queue that was asked may have noted a cancellation.
            return result.Failure(_queues_unread(errors.Executed.UNKNOWN))
        return result.Failure(
            _no_such_job(address.job_id)
            if current
            else errors.failure(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f"no queue has the path {address.prefix!r}",
            )
        )

    def _queues_to_ask(
        self, address: JobAddress, asked: Collection[str]
    ) -> list[queues.Queue]:
        """Returns the queues of an address, the present one first.

        The service locates the rows, so one queue of each is returned; none of
        the services asked before. The asking may have added some.
        """
        former = self._known_queues.at(address.host, address.prefix)
        queue_by_service: dict[str, queues.Queue] = {}
        for queue in (address.queue, *former) if address.queue else former:
            if queue.service not in asked:
                queue_by_service.setdefault(queue.service, queue)
        return [*queue_by_service.values()]

    def state(self, queue: queues.Queue, job_id: str) -> Outcome:
        """Reads the state of a job."""
        progress = self._read_row(
            batch_tables.progress_table(queue.service), queue.service, job_id
        )
        if not isinstance(progress, result.Success):
            return result.Failure(progress.failure())
        row = progress.unwrap()
        if row is not None and row.value is not None:
            return result.Success(batch_job.decode_state(row.value))
        return self._read_record(queue.service, job_id).bind(self._queued)

    def _queued(self, row: cluster.StoredRow | None) -> Outcome:
        if row is not None and job_spec.holds_job(row.value):
            return result.Success(batch_job.JobState.QUEUED)
        return result.Failure(self._absence(row))

    def _absence(self, row: cluster.StoredRow | None) -> errors.Failure:
        """Returns why a row holds no job."""
        if row is not None and self._may_be_unknown(row):
            # A service that this node does not know yet may have it.
            return _queues_unread(errors.Executed.UNKNOWN)
        return _no_such_job(row.key if row else "with this id")

    def _may_be_unknown(self, row: cluster.StoredRow) -> bool:
        """Whether a job may be at a service that is not known here.

        A row that bars a job is newer than the queue for which it was barred.
        """
        barred_by = job_spec.decode_move(row.value)
        if barred_by is None:
            return False
        if not self._known_queues.covers(row.version):
            self._known_queues.refresh(CALLER_REFRESH_SECONDS)
        return (
            barred_by > self._known_queues.version
            or not self._known_queues.covers(row.version)
        )

    def _read_record(
        self, service: str, job_id: str
    ) -> result.Result[cluster.StoredRow | None, errors.Failure]:
        """Reads a job's row, also where the release before stored it."""
        table = batch_tables.jobs_table(service)
        partition_key = batch_tables.jobs_partition(service, job_id)
        former_key = batch_tables.former_jobs_partition(service, job_id)
        read = self._read_row(table, partition_key, job_id)
        if former_key == partition_key or read.value_or(None) is not None:
            return read
        return read.bind(lambda _: self._read_row(table, former_key, job_id))

    def cancel(
        self, queue: queues.Queue, job_id: str, deadline: float
    ) -> Outcome:
        """Marks a job as cancelled; a repeated cancellation changes nothing.

        A job that is not stored is marked as well, as the store may still carry
        out its submission.

        Args:
            queue: The queue.
            job_id: The caller's id for the job.
            deadline: Monotonic time until which the caller waits.

        Returns:
            The job's state, or why it is not cancelled or that is not known.
        """
        table = batch_tables.jobs_table(queue.service)
        while True:
            read = self._read_record(queue.service, job_id)
            if not isinstance(read, result.Success):
                return result.Failure(read.failure())
            row = read.unwrap()
            record = None
            if row is not None and job_spec.holds_job(row.value):
                assert row.value is not None
                record = job_spec.decode(cbor2.loads(row.value))
                if record.cancelled:
                    return result.Success(batch_job.JobState.CANCELLED)
            elif row is not None and (
                not job_moves.is_replaceable(row.value)
                or self._may_be_unknown(row)
            ):
                return result.Failure(self._absence(row))
            written = self._store.transact(
                row.partition_key
                if row
                else batch_tables.jobs_partition(queue.service, job_id),
                [cluster.RowVersion(table, job_id, row.version if row else 0)],
                [
                    cluster.RowWrite(
                        table,
                        job_id,
                        _cancelled_value(record)
                        if record
                        else job_spec.CANCELLATION,
                    )
                ],
                CALL_TIMEOUT_SECONDS,
            )
            if isinstance(written, result.Success):
                events.log(
                    events.Event.JOB_CANCELLED,
                    "A caller cancelled a job",
                    job=job_id,
                    queue=queue.name,
                    accepted=record is not None,
                )
                if record is None:
                    return result.Failure(_no_such_job(job_id))
                return result.Success(batch_job.JobState.CANCELLED)
            if time.monotonic() > deadline - CALL_TIMEOUT_SECONDS:
                return result.Failure(
                    errors.failure(
                        errors.ErrorKind.OUTCOME_UNKNOWN,
                        f"the cancellation of job {job_id} may not be stored",
                    )
                )
            time.sleep(RETRY_SECONDS)

    def pending(
        self, queue: queues.Queue
    ) -> result.Result[int, errors.Failure]:
        """Returns the number of a queue's jobs that have not started yet.

        Jobs that were accepted while another service had the address wait in
        the pool of that service.
        """
        address = queue.host, queue.prefix
        names_by_service: dict[str, set[str]] = {queue.service: {queue.name}}
        for former in self._known_queues.at(*address):
            names_by_service.setdefault(former.service, set()).add(former.name)
        waiting = 0
        for service, names in names_by_service.items():
            counts = self._pending_counts(service)
            if not isinstance(counts, result.Success):
                return result.Failure(counts.failure())
            waiting += sum(int(counts.unwrap().get(name, 0)) for name in names)
        return result.Success(waiting)

    def _pending_counts(
        self, service: str
    ) -> result.Result[dict[str, Any], errors.Failure]:
        """Returns how many jobs wait in a pool, by the name of the queue."""
        cached = self._pending_by_service.get(service)
        now = time.monotonic()
        if cached is None or now - cached[0] > PENDING_CACHE_SECONDS:
            read = shard_writer.read_state(self._store, service)
            if not isinstance(read, result.Success):
                return result.Failure(_unavailable(read.failure()))
            cached = now, dict(read.unwrap().status.get("pending", {}))
            self._pending_by_service[service] = cached
        return result.Success(cached[1])

    def _read_row(
        self, table: str, partition_key: str, key: str
    ) -> result.Result[cluster.StoredRow | None, errors.Failure]:
        # Callers who ask for a state must not take the threads of those who
        # submit jobs while the store is away.
        cut_off = self._view_store().cut_off
        timeout_seconds = (
            submission_policy.CUT_OFF_TIMEOUT_SECONDS
            if cut_off
            else CALL_TIMEOUT_SECONDS
        )
        retry_until = time.monotonic() + (0.0 if cut_off else BUSY_SECONDS)
        while True:
            read = self._store.read(
                table, partition_key, key, key + "\0", timeout_seconds
            )
            if isinstance(read, result.Success) or (
                time.monotonic() > retry_until
            ):
                return read.map(
                    lambda page: page.rows[0] if page.rows else None
                ).alt(_unavailable)
            time.sleep(RETRY_SECONDS)


def _cancelled_value(record: job_spec.JobRecord) -> bytes:
    return cbor2.dumps(job_spec.encode(record._replace(cancelled=True)))


def _kind_of(outcome: Outcome) -> errors.ErrorKind | None:
    """Returns the kind of a failure; None for a success."""
    if isinstance(outcome, result.Success):
        return None
    return outcome.failure().kind


def _location_unknown(job_id: str) -> errors.Failure:
    return errors.failure(
        errors.ErrorKind.ACCEPTANCE_UNKNOWN,
        f"job {job_id}: another service may have it",
    )


def _no_such_job(job_id: str) -> errors.Failure:
    return errors.failure(
        errors.ErrorKind.NO_SUCH_JOB, f"job {job_id} does not exist"
    )


def _queues_unread(executed: errors.Executed) -> errors.Failure:
    return errors.failure(
        errors.ErrorKind.NOT_READY,
        "the node does not know all queues of the address yet",
        executed,
    )


def _unavailable(fault: cluster.StoreFault) -> errors.Failure:
    return errors.failure(errors.ErrorKind.STORE_UNAVAILABLE, fault.detail)
