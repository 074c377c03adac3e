"""A platform whose object store has a cache in memory."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import threading

from returns import result

from wisteriasill import errors
from wisteriasill.links import platform as platforms


class CachedObjects:
    """An object store that caches the objects that it returns."""

    def __init__(self, objects: platforms.ObjectStore) -> None:
        self._objects = objects
        self._lock = threading.Lock()
        self._bodies_by_key: dict[str, bytes] = {}

    def put(self, key: str, body: bytes) -> result.Result[None, errors.Failure]:
        """Stores an object in the underlying store."""
        return self._objects.put(key, body)

    def get(self, key: str) -> result.Result[bytes | None, errors.Failure]:
        """Returns a cached object, or reads it from the underlying store."""
        with self._lock:
            body = self._bodies_by_key.get(key)
        if body is not None:
            return result.Success(body)
        return self._objects.get(key).map(
            lambda stored_body: self._cache(key, stored_body)
        )

    def add(self, bodies_by_key: Mapping[str, bytes]) -> None:
        """Caches objects from other sources; the reader verifies them.

        Objects that are already cached are not replaced.
        """
        with self._lock:
            self._bodies_by_key = {**bodies_by_key, **self._bodies_by_key}

    def cached_bodies(self, keys: Iterable[str]) -> dict[str, bytes]:
        """Returns the cached bodies of the requested objects."""
        with self._lock:
            return {
                key: self._bodies_by_key[key]
                for key in keys
                if key in self._bodies_by_key
            }

    def keep_only(self, keys: Iterable[str]) -> None:
        """Evicts all other objects."""
        bodies = self.cached_bodies(keys)
        with self._lock:
            self._bodies_by_key = bodies

    def _cache(self, key: str, body: bytes | None) -> bytes | None:
        if body is not None:
            with self._lock:
                self._bodies_by_key[key] = body
        return body


class CachedPlatform:
    """A platform with `CachedObjects` as its object store."""

    def __init__(self, platform: platforms.Platform) -> None:
        self._platform = platform
        self._objects = CachedObjects(platform.objects)

    @property
    def table(self) -> platforms.Table:
        """The transactional table service."""
        return self._platform.table

    @property
    def objects(self) -> CachedObjects:
        """The object store with its cache."""
        return self._objects

    @property
    def host_list(self) -> platforms.HostList:
        """The host list, which may lag."""
        return self._platform.host_list

    @property
    def tasks(self) -> platforms.TaskRunner:
        """The workers' task interface."""
        return self._platform.tasks

    @property
    def host_control(self) -> platforms.HostControl:
        """Drain and reboot of hosts."""
        return self._platform.host_control
