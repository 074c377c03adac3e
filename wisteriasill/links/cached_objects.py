"""The platform with objects that are kept in memory as well."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import threading

from returns import result

from wisteriasill import errors
from wisteriasill.links import platform as platforms


class CachedObjects:
    """An object store that remembers the objects that passed through it."""

    def __init__(self, objects: platforms.ObjectStore) -> None:
        self._objects = objects
        self._lock = threading.Lock()
        self._bodies_by_key: dict[str, bytes] = {}

    def put(self, key: str, body: bytes) -> result.Result[None, errors.Failure]:
        """Stores an object in the store behind."""
        return self._objects.put(key, body)

    def get(self, key: str) -> result.Result[bytes | None, errors.Failure]:
        """Returns a remembered object, or reads it from the store behind."""
        with self._lock:
            body = self._bodies_by_key.get(key)
        if body is not None:
            return result.Success(body)
        return self._objects.get(key).map(
            lambda found: self._remember(key, found)
        )

    def add(self, bodies_by_key: Mapping[str, bytes]) -> None:
        """Remembers objects that came from elsewhere; the reader checks them.

        An object that is remembered already is not replaced.
        """
        with self._lock:
            self._bodies_by_key = {**bodies_by_key, **self._bodies_by_key}

    def remembered(self, keys: Iterable[str]) -> dict[str, bytes]:
        """Returns those of the objects that are remembered."""
        with self._lock:
            return {
                key: self._bodies_by_key[key]
                for key in keys
                if key in self._bodies_by_key
            }

    def keep_only(self, keys: Iterable[str]) -> None:
        """Forgets all other objects."""
        bodies = self.remembered(keys)
        with self._lock:
            self._bodies_by_key = bodies

    def _remember(self, key: str, body: bytes | None) -> bytes | None:
        if body is not None:
            with self._lock:
                self._bodies_by_key[key] = body
        return body


class CachedPlatform:
    """The platform with `CachedObjects` as its object store."""

    def __init__(self, platform: platforms.Platform) -> None:
        self._platform = platform
        self._objects = CachedObjects(platform.objects)

    @property
    def table(self) -> platforms.Table:
        """The transactional table service."""
        return self._platform.table

    @property
    def objects(self) -> CachedObjects:
        """The object store with its memory."""
        return self._objects

    @property
    def host_list(self) -> platforms.HostList:
        """The lagging list of hosts."""
        return self._platform.host_list

    @property
    def tasks(self) -> platforms.TaskRunner:
        """The workers' task interface."""
        return self._platform.tasks

    @property
    def host_control(self) -> platforms.HostControl:
        """Drain and reboot of hosts."""
        return self._platform.host_control
