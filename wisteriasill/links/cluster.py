"""Interfaces of the platform that the nodes of a site use, and their types.

An adapter implements the interfaces for one platform. This module does not
depend on the encoding of messages. Entry hosts use the interfaces of
`links.platform` instead.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import enum
from typing import NamedTuple, Protocol

from returns import result

from wisteriasill.contracts import host_record
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue

# Longest table name, partition or key of a row.
MAX_KEY_BYTES = 200


class StoreLimits(NamedTuple):
    """Limits of the platform's store.

    Attributes:
        row_bytes: Longest value of a row.
    """

    row_bytes: int


DOCUMENTED_LIMITS = StoreLimits(65_536)


class StoredRow(NamedTuple):
    """A row of the store.

    Attributes:
        table: Name of the table.
        partition_key: Partition of the table that holds the row.
        key: Key of the row in its partition.
        value: Content; None for a deleted row.
        version: Version of the last write to the row, unique in the store.
    """

    table: str
    partition_key: str
    key: str
    value: bytes | None
    version: int


class RowVersion(NamedTuple):
    """A row version that a transaction requires; 0 means no such row."""

    table: str
    key: str
    version: int


class RowWrite(NamedTuple):
    """A row to write; a value of None deletes it."""

    table: str
    key: str
    value: bytes | None


class RowPage(NamedTuple):
    """One page of rows.

    Attributes:
        rows: The rows.
        complete: Whether this is the last page.
        version: Newest version in the store when the page was read.
    """

    rows: tuple[StoredRow, ...]
    complete: bool
    version: int


class StoreFaultKind(enum.StrEnum):
    """Why a call to the store failed.

    INVALID means that the store refuses the call however often it is made.
    """

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    HISTORY_LOST = "history-lost"
    INVALID = "invalid"


class StoreFault(NamedTuple):
    """A failed call to the store.

    Attributes:
        kind: Why the call failed.
        detail: Description for logs.
        rows: For a conflict, the current state of the rows.
    """

    kind: StoreFaultKind
    detail: str
    rows: tuple[StoredRow, ...] = ()


class RowStore(Protocol):
    """The platform's store of versioned rows.

    A transaction reads and writes rows of a single partition.
    """

    def transact(
        self,
        partition_key: str,
        required: Sequence[RowVersion],
        writes: Sequence[RowWrite],
        timeout_seconds: float,
    ) -> result.Result[int, StoreFault]:
        """Writes all rows if all required versions match, else none.

        Args:
            partition_key: Partition of the rows.
            required: Row versions that the transaction requires.
            writes: Rows to write.
            timeout_seconds: Longest wait for the response.

        Returns:
            The version of the written rows, or the fault.
        """

    def read(
        self,
        table: str,
        partition_key: str,
        first: str = "",
        end: str = "",
        timeout_seconds: float = 1.0,
    ) -> result.Result[RowPage, StoreFault]:
        """Reads rows of a partition with keys from `first` to before `end`.

        The rows are in key order. An empty `end` means no upper bound.
        """

    def watch(
        self, table: str, after: int, wait_seconds: float
    ) -> result.Result[RowPage, StoreFault]:
        """Waits for changes of a table after the version `after`."""


class WorkerState(enum.StrEnum):
    """Whether a worker accepts new tasks."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(NamedTuple):
    """A registered worker: one incarnation of the worker of a host.

    Attributes:
        worker_id: Id of the worker, kept over restarts.
        started_ms: Unix time of the start in milliseconds; a different value
            identifies a different incarnation.
        service: Service whose pool holds the host.
        address: `IP:port` of the worker.
        availability_zone: Availability zone of the host.
        state: Whether the worker accepts new tasks.
        room: Capacity of the worker.
        labels: Kind and rack of the host, in this order.
        version: Store version of the entry; 0 if unknown.
    """

    worker_id: str
    started_ms: int
    service: str
    address: str
    availability_zone: str
    state: WorkerState
    room: job_spec.Resources
    labels: tuple[str, ...]
    version: int = 0

    @property
    def rack(self) -> str:
        """The rack; empty if unknown."""
        return self.labels[-1] if self.labels else ""


class RegistryPage(NamedTuple):
    """Registered workers.

    Attributes:
        entries: Registered workers.
        removed_ids: Ids of removed entries and of invalid ones.
        whole: Whether `entries` holds every registered worker.
        version: Version after which to continue the watch.
    """

    entries: tuple[WorkerEntry, ...]
    removed_ids: tuple[str, ...]
    whole: bool
    version: int


class WorkerRegistry(Protocol):
    """The platform's list of workers."""

    def read(self) -> result.Result[RegistryPage, StoreFault]:
        """Reads all registered workers."""

    def watch(
        self, after: int, wait_seconds: float
    ) -> result.Result[RegistryPage, StoreFault]:
        """Waits for changes of the registry after the version `after`."""


class RunReport(NamedTuple):
    """State of a running task as its worker reports it.

    Attributes:
        task: The task.
        run: Number of the run.
        checkpoint: Name of the latest checkpoint; empty for none.
        percent: Speed limit of the run in percent of full speed.
        measure: Tail latency in milliseconds for a task with a latency
            target, else CPU use in thousandths of a core.
    """

    task: job_spec.TaskKey
    run: int
    checkpoint: str
    percent: int
    measure: float


class RunEndKind(enum.StrEnum):
    """How a run ended; LAPSED means that its lease expired."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunEnd(NamedTuple):
    """An ended run.

    Attributes:
        number: Sequence number of the end; grows by one with each end within
            an incarnation of the worker.
        task: The task.
        run: Number of the run.
        kind: How the run ended.
        checkpoint: Name of the latest checkpoint; empty for none.
    """

    number: int
    task: job_spec.TaskKey
    run: int
    kind: RunEndKind
    checkpoint: str


class WorkerReport(NamedTuple):
    """Running and ended runs of a worker.

    Attributes:
        clock_ms: Monotonic clock of the worker in milliseconds.
        started_ms: Start of the worker's incarnation.
        runs: Runs in progress.
        ends: Ended runs that have not been acknowledged.
    """

    clock_ms: int
    started_ms: int
    runs: tuple[RunReport, ...]
    ends: tuple[RunEnd, ...]


class StartOrder(NamedTuple):
    """An order to start one run of a task.

    Attributes:
        task: The task.
        run: Number of the run.
        payload: Opaque task specification for the worker.
        lease_until_ms: End of the lease on the worker's clock.
        fencing_epoch: Fencing token of the sender.
        checkpoint: Checkpoint to resume from; empty to start from scratch.
        ticket: Permission ticket for a step that only certain workers may
            run; empty for other steps.
    """

    task: job_spec.TaskKey
    run: int
    payload: str
    lease_until_ms: int
    fencing_epoch: int
    checkpoint: str = ""
    ticket: str = ""


class OrderOutcome(enum.StrEnum):
    """Outcome of an order to a worker.

    UNREACHABLE means that the order was not sent. UNKNOWN means that the
    worker may execute the order, possibly after a delay.
    """

    DONE = "done"
    FENCED = "fenced"
    RUN_TOO_OLD = "run-too-old"
    LEASE_TOO_OLD = "lease-too-old"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_WORKER = "other-worker"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class OrderAnswer(NamedTuple):
    """Outcome of an order; `clock_ms` is 0 if the worker reported no clock."""

    outcome: OrderOutcome
    clock_ms: int = 0


class WorkerLink(Protocol):
    """Connections to one incarnation of a worker.

    Each call carries the id of the intended worker, so that another worker at
    the same address rejects it. A later incarnation may have the same id and
    address, so the link itself keeps starts from it; other calls may reach it.
    An order that gets no answer within its `timeout_seconds` may be carried out
    later.
    """

    def start(self, order: StartOrder, timeout_seconds: float) -> OrderAnswer:
        """Starts a run; idempotent.

        Only the incarnation that the link was opened for may execute a start,
        also one that gets no response. The outcome is `OTHER_WORKER` if
        another one has taken its place.
        """

    def stop(
        self,
        task: job_spec.TaskKey,
        run: int,
        fencing_epoch: int,
        timeout_seconds: float,
    ) -> OrderAnswer:
        """Stops a run; if it has not started, rejects its later start."""

    def pace(
        self,
        task: job_spec.TaskKey,
        run: int,
        percent: int,
        fencing_epoch: int,
        timeout_seconds: float,
    ) -> OrderAnswer:
        """Limits a run to a percentage of full speed."""

    def poll(
        self,
        fencing_epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> WorkerReport | OrderOutcome:
        """Extends the lease and reads running and ended runs.

        Args:
            fencing_epoch: Fencing token of the sender.
            acknowledged: Number of the last stored end; the worker discards it
                and all earlier ones. The link must not pass it on to another
                incarnation than the one that it has reports of.
            lease_until_ms: New end of the lease; None leaves it unchanged.
            wait_seconds: Longest wait for a run to end.
            timeout_seconds: Longest wait for the report.

        Returns:
            The report, or why there is none.
        """

    def close(self) -> None:
        """Closes the connections."""


class OperatorPage(NamedTuple):
    """Configuration and orders of the operators.

    Attributes:
        configuration: The newest configuration; None if unchanged.
        waves: New or changed orders for maintenance waves.
        version: Version after which to continue the watch.
    """

    configuration: queue.SiteConfiguration | None
    waves: tuple[queue.WaveOrder, ...]
    version: int


class OperatorOrders(Protocol):
    """Store of the operators' configurations and orders."""

    def read(self) -> result.Result[OperatorPage, StoreFault]:
        """Reads the configuration and all orders in force."""

    def watch(
        self, after: int, wait_seconds: float
    ) -> result.Result[OperatorPage, StoreFault]:
        """Waits for changes after the version `after`."""

    def report_wave(
        self, number: int, finished: bool
    ) -> result.Result[int, StoreFault]:
        """Stores the status of a maintenance wave for the operators."""


class HostOrderOutcome(enum.StrEnum):
    """Outcome of an order that concerns a host."""

    DONE = "done"
    BUSY = "busy"
    NOT_OF_WAVE = "not-of-wave"
    FENCED = "fenced"
    INVALID = "invalid"
    THROTTLED = "throttled"
    UNKNOWN = "unknown"


class HostControl(Protocol):
    """Moves hosts between pools and starts their maintenance."""

    def list_hosts(self) -> tuple[host_record.HostRecord, ...] | None:
        """Reads all hosts; None if the list cannot be read."""

    def move(
        self, host_id: str, service: str, fencing_epoch: int
    ) -> HostOrderOutcome:
        """Moves a host to the pool of a service; ends its runs."""

    def maintain(
        self, host_id: str, wave: int, fencing_epoch: int
    ) -> HostOrderOutcome:
        """Starts the maintenance of a host; ends its runs."""


class Advice(NamedTuple):
    """Workers that may run a step.

    Attributes:
        ticket_by_worker: Permission ticket by worker id.
        valid_seconds: Time for which the tickets are valid; None if the answer
            does not say so, and the queue's own figure holds.
    """

    ticket_by_worker: Mapping[str, str]
    valid_seconds: float | None = None


class AdviceFault(enum.StrEnum):
    """Why a call for advice brought none.

    UNANSWERED means that there was no complete response in time, REFUSED that
    the service takes no more calls now, INVALID that it sent something else.
    """

    UNANSWERED = "unanswered"
    REFUSED = "refused"
    INVALID = "invalid"


class AdviceLink(Protocol):
    """The service that decides which workers may run a step."""

    def advise(
        self,
        step: job_spec.StepKey,
        worker_ids: Sequence[str],
        timeout_seconds: float,
    ) -> result.Result[Advice, AdviceFault]:
        """Returns which of some workers may run a step.

        Calls of one node are made one at a time; `timeout_seconds` counts from
        the turn of this one.
        """
