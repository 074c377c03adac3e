"""Implements `links.platform` over the platform's HTTP/JSON interface."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeVar
from urllib import parse

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import settings as settings_types
from wisteriasill.links import http_client
from wisteriasill.links import platform
from wisteriasill.links import platform_calls

T = TypeVar("T")


class _WireRow(NamedTuple):
    """A stored row as encoded on the wire."""

    key: str
    version: int
    value: dict[str, Any]


class _WireRows(NamedTuple):
    rows: tuple[_WireRow, ...]


class _Versions(NamedTuple):
    versions: tuple[int, ...]


class _Hosts(NamedTuple):
    hosts: tuple[platform.ListedHost, ...]


class _Tasks(NamedTuple):
    tasks: tuple[platform.TaskReport, ...]


class _Checkpoint(NamedTuple):
    checkpoint: str


class _TableLink:
    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls

    def read(
        self, table: str, key: str
    ) -> result.Result[platform.Row | None, errors.Failure]:
        """Reads one row, see `Table.read`."""

        def parse_row(
            response: http_client.HttpAnswer,
        ) -> result.Result[platform.Row | None, errors.Failure]:
            if response.status == 404:
                return result.Success(None)
            return platform_calls.decode(_WireRow, response).map(
                lambda row: platform.Row(table, *row)
            )

        return self._calls.read(
            platform_calls.path_of("table", table, key)
        ).bind(parse_row)

    def scan(
        self, table: str, prefix: str = ""
    ) -> result.Result[tuple[platform.Row, ...], errors.Failure]:
        """Reads rows by prefix, see `Table.scan`."""
        path = (
            platform_calls.path_of("table", table)
            + "?prefix="
            + parse.quote(prefix)
        )
        return self._calls.read(path).bind(
            lambda response: platform_calls.decode(_WireRows, response).map(
                lambda parsed: tuple(
                    platform.Row(table, *row) for row in parsed.rows
                )
            )
        )

    def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> result.Result[tuple[int, ...], errors.Failure]:
        """Writes rows, see `Table.transact`."""
        body = {
            "conditions": documents.encode(conditions),
            "writes": documents.encode(writes),
        }
        return (
            self._calls.write("/table", body)
            .bind(
                lambda response: platform_calls.decode(
                    _Versions, response, written=True
                )
            )
            .map(lambda parsed: parsed.versions)
        )


class _ObjectLink:
    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls

    def put(self, key: str, body: bytes) -> result.Result[None, errors.Failure]:
        """Stores an object, see `ObjectStore.put`."""
        return self._calls.put(
            platform_calls.path_of("objects", key), body
        ).bind(platform_calls.expect_success)

    def get(self, key: str) -> result.Result[bytes | None, errors.Failure]:
        """Reads an object, see `ObjectStore.get`."""

        def parse_object(
            response: http_client.HttpAnswer,
        ) -> result.Result[bytes | None, errors.Failure]:
            if response.status == 404:
                return result.Success(None)
            return platform_calls.expect_success(response).map(
                lambda _: response.body
            )

        return self._calls.read(platform_calls.path_of("objects", key)).bind(
            parse_object
        )


class _HostListLink:
    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls

    def list_hosts(
        self,
    ) -> result.Result[tuple[platform.ListedHost, ...], errors.Failure]:
        """Reads the list, see `HostList.list_hosts`."""
        return self._calls.read("/hosts").bind(
            lambda response: platform_calls.decode(_Hosts, response).map(
                lambda parsed: parsed.hosts
            )
        )


class _TaskLink:
    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls

    def start_task(
        self, host_id: str, order: platform.TaskOrder
    ) -> result.Result[None, errors.Failure]:
        """Starts a task, see `TaskRunner.start_task`."""
        return self._calls.write_without_reply(
            platform_calls.path_of("hosts", host_id, "tasks"),
            documents.encode(order),
        )

    def renew_task(
        self, task_id: str, epoch: int, lease_seconds: float
    ) -> result.Result[None, errors.Failure]:
        """Extends a lease, see `TaskRunner.renew_task`."""
        body = {"epoch": epoch, "lease_seconds": lease_seconds}
        return self._calls.write_without_reply(
            platform_calls.path_of("tasks", task_id, "renew"), body
        )

    def checkpoint_task(
        self, task_id: str, epoch: int
    ) -> result.Result[str, errors.Failure]:
        """Makes a checkpoint, see `TaskRunner.checkpoint_task`."""
        path = platform_calls.path_of("tasks", task_id, "checkpoint")
        return (
            self._calls.write(path, {"epoch": epoch})
            .bind(
                lambda response: platform_calls.decode(
                    _Checkpoint, response, written=True
                )
            )
            .map(lambda parsed: parsed.checkpoint)
        )

    def throttle_task(
        self, task_id: str, epoch: int, share: float
    ) -> result.Result[None, errors.Failure]:
        """Limits a task's cores, see `TaskRunner.throttle_task`."""
        body = {"epoch": epoch, "share": share}
        return self._calls.write_without_reply(
            platform_calls.path_of("tasks", task_id, "throttle"), body
        )

    def stop_task(
        self, task_id: str, epoch: int
    ) -> result.Result[None, errors.Failure]:
        """Stops a task, see `TaskRunner.stop_task`."""
        return self._calls.write_without_reply(
            platform_calls.path_of("tasks", task_id, "stop"), {"epoch": epoch}
        )

    def list_tasks(
        self, host_id: str
    ) -> result.Result[tuple[platform.TaskReport, ...], errors.Failure]:
        """Reads usage reports, see `TaskRunner.list_tasks`."""
        return self._calls.read(
            platform_calls.path_of("hosts", host_id, "tasks")
        ).bind(
            lambda response: platform_calls.decode(_Tasks, response).map(
                lambda parsed: parsed.tasks
            )
        )


class _HostControlLink:
    def __init__(self, calls: platform_calls.PlatformCalls) -> None:
        self._calls = calls

    def drain_host(self, host_id: str) -> result.Result[None, errors.Failure]:
        """Drains a worker, see `HostControl.drain_host`."""
        return self._calls.write_without_reply(
            platform_calls.path_of("hosts", host_id, "drain"), {}
        )

    def reboot_host(self, host_id: str) -> result.Result[None, errors.Failure]:
        """Reboots a host, see `HostControl.reboot_host`."""
        return self._calls.write_without_reply(
            platform_calls.path_of("hosts", host_id, "reboot"), {}
        )


class PlatformLink:
    """The platform over HTTP; implements `links.platform.Platform`.

    Thread safe. Each write uses a new connection, because curl may resend a
    request by itself on a reused one. The resent write would fail with a
    conflict, which would hide that the first one was applied.

    Args:
        settings: Settings of this entry host.
        on_traffic: Called with the bytes sent and received by each call.
    """

    def __init__(
        self,
        settings: settings_types.EntrySettings,
        on_traffic: Callable[[int, int], None] = lambda sent, received: None,
    ) -> None:
        calls = platform_calls.PlatformCalls(settings, on_traffic)
        self._calls = calls
        self._table = _TableLink(calls)
        self._objects = _ObjectLink(calls)
        self._host_list = _HostListLink(calls)
        self._tasks = _TaskLink(calls)
        self._host_control = _HostControlLink(calls)

    @property
    def table(self) -> platform.Table:
        """The transactional table service."""
        return self._table

    @property
    def objects(self) -> platform.ObjectStore:
        """The object store."""
        return self._objects

    @property
    def host_list(self) -> platform.HostList:
        """The host list, which may lag."""
        return self._host_list

    @property
    def tasks(self) -> platform.TaskRunner:
        """The workers' task interface."""
        return self._tasks

    @property
    def host_control(self) -> platform.HostControl:
        """Drain and reboot of hosts."""
        return self._host_control
