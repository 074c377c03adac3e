"""Cache of read responses, validated by their entity tags (RFC 9110).

Most polls return unchanged data. A platform that supports If-None-Match then
responds with 304 and no body, which saves most of the control traffic.
"""

from __future__ import annotations

import collections
import threading

from wisteriasill.links import http_client

MAX_ENTRIES = 128
MAX_BODY_BYTES = 64 * 1024
NOT_MODIFIED = 304


class ResponseCache:
    """Latest response by path; thread safe, bounded in count and size."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_path: collections.OrderedDict[str, http_client.HttpAnswer] = (
            collections.OrderedDict()
        )

    def validators(self, path: str) -> http_client.Headers:
        """Returns the header fields that validate the cached response."""
        with self._lock:
            cached = self._by_path.get(path)
        tag = cached.header("etag") if cached is not None else None
        return (("If-None-Match", tag),) if tag else ()

    def resolve(
        self, path: str, response: http_client.HttpAnswer
    ) -> http_client.HttpAnswer | None:
        """Caches a new response, or replaces a 304 by the cached one.

        Args:
            path: Path that was read.
            response: Response of the platform.

        Returns:
            A response with a body; None for a 304 whose cached response has
            been evicted.
        """
        with self._lock:
            if response.status == NOT_MODIFIED:
                cached = self._by_path.get(path)
                if cached is not None:
                    self._by_path.move_to_end(path)
                return cached
            if response.header("etag") and len(response.body) <= MAX_BODY_BYTES:
                self._by_path[path] = response
                self._by_path.move_to_end(path)
            else:
                self._by_path.pop(path, None)
            while len(self._by_path) > MAX_ENTRIES:
                self._by_path.popitem(last=False)
        return response
