"""In-process platform without HTTP, for tests and benchmarks."""

from __future__ import annotations

from collections.abc import Callable, Sequence
import threading
from typing import TypeVar

from returns import result

from standins import faults
from standins import platform_state
from wisteriasill import errors
from wisteriasill.links import platform

T = TypeVar("T")
TransactionHook = Callable[
    [Sequence[platform.Condition], Sequence[platform.Write]], None
]
Outcome = result.Result[T, errors.Failure]


class _FaultInjector:
    """Applies the fault switches `down` and `lose_answers` to calls."""

    def __init__(self, state: platform_state.PlatformState, seed: int) -> None:
        self._state = state
        self._answer_loss = faults.AnswerLoss(seed)
        self._lock = threading.Lock()
        self.on_call: Callable[[], None] | None = None

    def read(self, read_state: Callable[[], Outcome[T]]) -> Outcome[T]:
        """Runs a read."""
        self._before_call()
        if self._state.faults.down:
            return _down()
        return read_state()

    def write(self, apply: Callable[[], Outcome[T]]) -> Outcome[T]:
        """Runs a write, whose response may get lost."""
        self._before_call()
        if self._state.faults.down:
            return _down()
        outcome = apply()
        with self._lock:
            lost = self._answer_loss.is_lost(self._state.faults.lose_answers)
        if lost:
            return result.Failure(
                errors.failure(
                    errors.ErrorKind.STORE_OUTCOME_UNKNOWN,
                    "the answer was lost",
                )
            )
        return outcome

    def _before_call(self) -> None:
        if self.on_call is not None:
            self.on_call()


def _down() -> result.Result[T, errors.Failure]:
    return result.Failure(
        errors.failure(
            errors.ErrorKind.STORE_UNAVAILABLE, "the platform is down"
        )
    )


class LocalPlatform:
    """Implements `links.platform.Platform` over a platform state.

    Attributes:
        before_transaction: Called with the conditions and writes of each
            transaction before it is applied; None for no call.
    """

    def __init__(
        self, state: platform_state.PlatformState, seed: int = 1
    ) -> None:
        self._state = state
        self._injector = _FaultInjector(state, seed)
        self.before_transaction: TransactionHook | None = None

    def set_on_call(self, on_call: Callable[[], None]) -> None:
        """Sets a function to run before each call, such as a delay."""
        self._injector.on_call = on_call

    @property
    def table(self) -> platform.Table:
        """The transactional table service."""
        return self

    @property
    def objects(self) -> platform.ObjectStore:
        """The object store."""
        return self

    @property
    def host_list(self) -> platform.HostList:
        """The host list, which may lag."""
        return self

    @property
    def tasks(self) -> platform.TaskRunner:
        """The workers' task interface."""
        return self

    @property
    def host_control(self) -> platform.HostControl:
        """Drain and reboot of hosts."""
        return self

    def read(self, table: str, key: str) -> Outcome[platform.Row | None]:
        """Reads one row."""
        return self._injector.read(
            lambda: result.Success(self._state.read(table, key))
        )

    def scan(
        self, table: str, prefix: str = ""
    ) -> Outcome[tuple[platform.Row, ...]]:
        """Reads rows by prefix."""
        return self._injector.read(
            lambda: result.Success(self._state.scan(table, prefix))
        )

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> Outcome[tuple[int, ...]]:
        """Writes rows if all conditions hold."""
        if self.before_transaction is not None:
            self.before_transaction(conditions, writes)
        return self._injector.write(
            lambda: self._state.transact(conditions, writes).alt(
                lambda condition: errors.failure(
                    errors.ErrorKind.CONFLICT,
                    f"{condition.table}/{condition.key} has version "
                    f"{condition.version}",
                )
            )
        )

    def put(self, key: str, body: bytes) -> Outcome[None]:
        """Stores an object."""

        def apply() -> Outcome[None]:
            if self._state.put(key, body):
                return result.Success(None)
            return result.Failure(
                errors.failure(
                    errors.ErrorKind.CONFLICT, f"object {key} differs"
                )
            )

        return self._injector.write(apply)

    def get(self, key: str) -> Outcome[bytes | None]:
        """Reads an object."""
        return self._injector.read(lambda: result.Success(self._state.get(key)))

    def list_hosts(self) -> Outcome[tuple[platform.ListedHost, ...]]:
        """Reads the host list, which may lag."""
        return self._injector.read(
            lambda: result.Success(self._state.list_hosts())
        )

    def start_task(
        self, host_id: str, order: platform.TaskOrder
    ) -> Outcome[None]:
        """Starts a task."""
        return self._injector.write(
            lambda: self._state.start_task(host_id, order)
        )

    def renew_task(
        self, task_id: str, epoch: int, lease_seconds: float
    ) -> Outcome[None]:
        """Extends a task's lease."""
        return self._task_action(task_id, epoch, "renew", lease_seconds)

    def checkpoint_task(self, task_id: str, epoch: int) -> Outcome[str]:
        """Creates a checkpoint."""
        return self._injector.write(
            lambda: self._state.task_call(task_id, epoch, "checkpoint")
        )

    def throttle_task(
        self, task_id: str, epoch: int, share: float
    ) -> Outcome[None]:
        """Limits a task to a share of its cores."""
        return self._task_action(task_id, epoch, "throttle", share)

    def stop_task(self, task_id: str, epoch: int) -> Outcome[None]:
        """Stops a task."""
        return self._task_action(task_id, epoch, "stop", 0.0)

    def list_tasks(
        self, host_id: str
    ) -> Outcome[tuple[platform.TaskReport, ...]]:
        """Reads the usage reports, which may lag."""
        return self._injector.read(lambda: self._state.list_tasks(host_id))

    def drain_host(self, host_id: str) -> Outcome[None]:
        """Drains a worker."""
        return self._injector.write(lambda: self._state.drain_host(host_id))

    def reboot_host(self, host_id: str) -> Outcome[None]:
        """Reboots a host."""
        return self._injector.write(lambda: self._state.reboot_host(host_id))

    def _task_action(
        self, task_id: str, epoch: int, action: str, amount: float
    ) -> Outcome[None]:
        return self._injector.write(
            lambda: self._state.task_call(task_id, epoch, action, amount).map(
                lambda _: None
            )
        )
