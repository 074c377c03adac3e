"""Interfaces of the platform that entry hosts use, and their types.

The nodes of a site use the interfaces of `links.cluster` instead.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import enum
from typing import Any, NamedTuple, Protocol

from returns import result

from wisteriasill import errors


class Row(NamedTuple):
    """A row of a table.

    Attributes:
        table: Name of the table.
        key: Key of the row.
        version: Number of writes to this row; 1 for a new row.
        value: JSON-serializable data.
    """

    table: str
    key: str
    version: int
    value: Mapping[str, Any]


class Condition(NamedTuple):
    """A row version that a transaction requires; 0 means no such row."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """A row to write; a value of None deletes it."""

    table: str
    key: str
    value: Mapping[str, Any] | None


class Table(Protocol):
    """The platform's transactional table service."""

    def read(
        self, table: str, key: str
    ) -> result.Result[Row | None, errors.Failure]:
        """Reads one row; None if there is no such row."""

    def scan(
        self, table: str, prefix: str = ""
    ) -> result.Result[tuple[Row, ...], errors.Failure]:
        """Reads all rows whose keys have a prefix, in key order."""

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        """Writes all rows if all conditions hold, else none.

        Returns:
            The new version of each written row (0 for a deleted one), or a
            failure of kind CONFLICT (nothing written), STORE_UNAVAILABLE
            (nothing written) or STORE_OUTCOME_UNKNOWN.
        """


class ObjectStore(Protocol):
    """The platform's store of immutable objects."""

    def put(self, key: str, body: bytes) -> result.Result[None, errors.Failure]:
        """Stores an object; a different body under the same key conflicts.

        Returns:
            Nothing, or a failure of kind CONFLICT if the key is in use for a
            different body.
        """

    def get(self, key: str) -> result.Result[bytes | None, errors.Failure]:
        """Reads an object; None if there is no such object."""


class ListedState(enum.StrEnum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"
    REBOOTING = "rebooting"
    DOWN = "down"


class ListedHost(NamedTuple):
    """A host as the platform's host list, which may lag, shows it.

    Attributes:
        address: `IP:port` of the worker's request interface.
        boot_count: Number of boots so far; grows with each reboot.
    """

    host_id: str
    region: str
    availability_zone: str
    rack: str
    address: str
    cores: float
    memory_gib: float
    accelerators: int
    slots: int
    connections: int
    state: ListedState
    boot_count: int = 1


class HostList(Protocol):
    """The platform's host list, which may lag."""

    def list_hosts(
        self,
    ) -> result.Result[tuple[ListedHost, ...], errors.Failure]:
        """Reads the host list."""


class TaskState(enum.StrEnum):
    """State of a task on a worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskOrder(NamedTuple):
    """A task to start.

    Attributes:
        epoch: Fencing token; a worker rejects orders with a lower one.
        checkpoint: Checkpoint to resume from; empty to start from scratch.
    """

    task_id: str
    job_id: str
    epoch: int
    cores: float
    memory_gib: float
    accelerators: int
    lease_seconds: float
    checkpoint: str = ""


class TaskReport(NamedTuple):
    """Usage report of a worker for a task, `lag_seconds` old."""

    task_id: str
    job_id: str
    epoch: int
    state: TaskState
    cores_used: float
    memory_gib_used: float
    checkpoint: str
    lag_seconds: float
    throttle: float = 1.0


class TaskRunner(Protocol):
    """The task interface of the platform's workers.

    Failures are PLATFORM_REFUSED (nothing happened), CONFLICT (the task
    exists or the epoch is stale), STORE_UNAVAILABLE (nothing happened) and
    STORE_OUTCOME_UNKNOWN.
    """

    def start_task(
        self, host_id: str, order: TaskOrder
    ) -> result.Result[None, errors.Failure]:
        """Starts a task on a host."""

    def renew_task(
        self, task_id: str, epoch: int, lease_seconds: float
    ) -> result.Result[None, errors.Failure]:
        """Extends a task's lease; the worker stops the task on expiry."""

    def checkpoint_task(
        self, task_id: str, epoch: int
    ) -> result.Result[str, errors.Failure]:
        """Creates a checkpoint and returns its name."""

    def throttle_task(
        self, task_id: str, epoch: int, share: float
    ) -> result.Result[None, errors.Failure]:
        """Limits a task to a share (0 to 1) of its cores."""

    def stop_task(
        self, task_id: str, epoch: int
    ) -> result.Result[None, errors.Failure]:
        """Stops a task; stopping a stopped task succeeds."""

    def list_tasks(
        self, host_id: str
    ) -> result.Result[tuple[TaskReport, ...], errors.Failure]:
        """Reads the usage reports of a host."""


class HostControl(Protocol):
    """Drain and reboot of hosts."""

    def drain_host(self, host_id: str) -> result.Result[None, errors.Failure]:
        """Makes the worker refuse new requests and tasks."""

    def reboot_host(self, host_id: str) -> result.Result[None, errors.Failure]:
        """Reboots a host, whose worker then accepts work again."""


class Platform(Protocol):
    """All services of the platform."""

    @property
    def table(self) -> Table:
        """The transactional table service."""

    @property
    def objects(self) -> ObjectStore:
        """The object store."""

    @property
    def host_list(self) -> HostList:
        """The host list, which may lag."""

    @property
    def tasks(self) -> TaskRunner:
        """The workers' task interface."""

    @property
    def host_control(self) -> HostControl:
        """Drain and reboot of hosts."""
