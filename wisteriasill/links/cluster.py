"""Interfaces of the cluster that runs jobs, and the types they exchange.

An adapter implements them for one platform; nothing here knows how a message
is encoded.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import enum
from typing import NamedTuple, Protocol

from returns import result

from wisteriasill.contracts import host_record
from wisteriasill.contracts import job_spec
from wisteriasill.contracts import queue


class StoredRow(NamedTuple):
    """A row of the store.

    Attributes:
        value: Content; None when the row was deleted.
        version: Version of the row's last write, unique in the store.
    """

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


class RowVersion(NamedTuple):
    """A version that a transaction requires; 0 means no such row."""

    table: str
    key: str
    version: int


class RowWrite(NamedTuple):
    """A row to write; a value of None deletes it."""

    table: str
    key: str
    value: bytes | None


class RowPage(NamedTuple):
    """Rows of one answer.

    Attributes:
        complete: Whether no further rows follow.
        version: Newest version in the store at that moment.
    """

    rows: tuple[StoredRow, ...]
    complete: bool
    version: int


class StoreFaultKind(enum.StrEnum):
    """Why a call to the store had no success."""

    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    HISTORY_LOST = "history-lost"


class StoreFault(NamedTuple):
    """A failed call to the store.

    Attributes:
        rows: For a conflict, the rows as they are now.
    """

    kind: StoreFaultKind
    detail: str
    rows: tuple[StoredRow, ...] = ()


class RowStore(Protocol):
    """The platform's store of versioned rows.

    A transaction touches the rows of one part only.
    """

    def transact(
        self,
        part: str,
        required: Sequence[RowVersion],
        writes: Sequence[RowWrite],
        timeout_seconds: float,
    ) -> result.Result[int, StoreFault]:
        """Writes all rows if all versions hold, else none.

        Returns:
            The version of the written rows, or the fault.
        """

    def read(
        self,
        table: str,
        part: str,
        first: str = "",
        end: str = "",
        timeout_seconds: float = 1.0,
    ) -> result.Result[RowPage, StoreFault]:
        """Reads rows in order of keys, from `first` to before `end`."""

    def follow(
        self, table: str, after: int, wait_seconds: float
    ) -> result.Result[RowPage, StoreFault]:
        """Waits for changes of a table after a version."""


class WorkerState(enum.StrEnum):
    """Whether a worker takes new tasks."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(NamedTuple):
    """A worker as it registered itself; one life of a host.

    Attributes:
        born_ms: Unix time of its start; another value is another life.
        labels: Its kind and its rack, in this order.
    """

    worker_id: str
    born_ms: int
    service: str
    address: str
    availability_zone: str
    state: WorkerState
    room: job_spec.Room
    labels: tuple[str, ...]

    @property
    def rack(self) -> str:
        """The rack, or an empty text if none is known."""
        return self.labels[-1] if self.labels else ""


class RegistryPage(NamedTuple):
    """Registered workers.

    Attributes:
        gone: Ids that are registered no longer, or unreadably.
        whole: Whether `entries` holds every registered worker.
        version: Where to go on following.
    """

    entries: tuple[WorkerEntry, ...]
    gone: tuple[str, ...]
    whole: bool
    version: int


class WorkerRegistry(Protocol):
    """The platform's list of workers."""

    def read(self) -> result.Result[RegistryPage, StoreFault]:
        """Reads all registered workers."""

    def follow(
        self, after: int, wait_seconds: float
    ) -> result.Result[RegistryPage, StoreFault]:
        """Waits for changes after a version."""


class RunReport(NamedTuple):
    """A task at work on a worker.

    Attributes:
        percent: Share of full speed that the task is allowed.
        measure: Tail of response times in milliseconds for a task with a
            target, else processor use in thousandths of a core.
    """

    task: job_spec.TaskKey
    run: int
    checkpoint: str
    percent: int
    measure: float


class RunEndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunEnd(NamedTuple):
    """An ended run; `number` grows by one with each end of a worker's life."""

    number: int
    task: job_spec.TaskKey
    run: int
    kind: RunEndKind
    checkpoint: str


class WorkerReport(NamedTuple):
    """What a worker runs and what ended on it.

    Attributes:
        clock_ms: The worker's steady clock.
        born_ms: Its start; None if it does not say.
    """

    clock_ms: int
    born_ms: int | None
    runs: tuple[RunReport, ...]
    ends: tuple[RunEnd, ...]


class StartOrder(NamedTuple):
    """An order to start one run of a task.

    Attributes:
        lease_until_ms: End of the lease on the worker's clock.
        fence: Fencing number of whoever gives the order.
        ticket: Permit for a step whose workers are restricted; else empty.
    """

    task: job_spec.TaskKey
    run: int
    payload: str
    lease_until_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class OrderOutcome(enum.StrEnum):
    """What became of an order to a worker.

    UNREACHABLE orders were certainly not sent; UNKNOWN ones may be carried
    out, even later.
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
    """Outcome of an order; `clock_ms` is 0 where the worker gave none."""

    outcome: OrderOutcome
    clock_ms: int = 0


class WorkerLink(Protocol):
    """Connections to one worker; each call names the worker it is meant for."""

    def start(self, order: StartOrder) -> OrderAnswer:
        """Starts a run; repeating the order starts nothing twice."""

    def stop(self, task: job_spec.TaskKey, run: int, fence: int) -> OrderAnswer:
        """Stops a run, or bars one that is not there yet."""

    def pace(
        self, task: job_spec.TaskKey, run: int, percent: int, fence: int
    ) -> OrderAnswer:
        """Limits a run to a share of full speed."""

    def look(
        self,
        fence: int,
        noted: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> WorkerReport | OrderOutcome:
        """Extends the lease and reads runs and ends.

        Args:
            fence: Fencing number of whoever looks.
            noted: Number of the last end that is stored; the worker forgets
                it and those before.
            lease_until_ms: New end of the lease; None to leave it.
            wait_seconds: Longest wait for an end.
        """

    def close(self) -> None:
        """Closes the connections."""


class OperatorPage(NamedTuple):
    """What operators ordered.

    Attributes:
        configuration: The newest configuration, or None if unchanged.
        waves: Orders for upkeep that are new or changed.
        version: Where to go on following.
    """

    configuration: queue.SiteConfiguration | None
    waves: tuple[queue.WaveOrder, ...]
    version: int


class OperatorOrders(Protocol):
    """Where operators leave configurations and orders."""

    def read(self) -> result.Result[OperatorPage, StoreFault]:
        """Reads all that is in force."""

    def follow(
        self, after: int, wait_seconds: float
    ) -> result.Result[OperatorPage, StoreFault]:
        """Waits for changes after a version."""

    def report_wave(
        self, number: int, finished: bool
    ) -> result.Result[int, StoreFault]:
        """Tells the operators how a wave stands."""


class HostOrderOutcome(enum.StrEnum):
    """What became of an order to a host."""

    DONE = "done"
    BUSY = "busy"
    NOT_OF_WAVE = "not-of-wave"
    FENCED = "fenced"
    INVALID = "invalid"
    THROTTLED = "throttled"
    UNKNOWN = "unknown"


class HostControl(Protocol):
    """Moves hosts between pools and takes them into upkeep."""

    def list_hosts(self) -> tuple[host_record.HostRecord, ...] | None:
        """Reads all hosts; None if the list can't be read."""

    def move(self, host_id: str, service: str, fence: int) -> HostOrderOutcome:
        """Moves a host to a service's pool; its runs end."""

    def maintain(self, host_id: str, wave: int, fence: int) -> HostOrderOutcome:
        """Starts the upkeep of a host; its runs end."""


class Advice(NamedTuple):
    """Workers that may run a step, each with its ticket."""

    ticket_by_worker: Mapping[str, str]
    valid_seconds: float


class AdviceLink(Protocol):
    """The service that knows which workers may run a step."""

    def advise(
        self, step: job_spec.StepKey, worker_ids: Sequence[str]
    ) -> Advice | None:
        """Asks for the workers of a step; None if there is no answer."""
