"""Consistency checks of a single service."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import difflib
import re
from typing import Any, NamedTuple

from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import service as services

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_PATH = re.compile(r"(/[^/\s?#%]+)+")
READING_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Finding(NamedTuple):
    """An error or a warning about a configuration.

    Attributes:
        document: Service name, or `site`.
        path: Tables and keys of the file; list indexes start at 0.
        value: The value found; None where a key is missing.
        message: What is wrong and what would be valid.
        is_error: False for a warning.
    """

    document: str
    path: tuple[str | int, ...]
    value: Any
    message: str
    is_error: bool = True

    @property
    def key(self) -> str:
        """The path as text; list indexes start at 1."""
        text = ""
        for part in self.path:
            if isinstance(part, int):
                text += f"[{part + 1}]"
            else:
                text += f".{part}" if text else part
        return text

    @property
    def text(self) -> str:
        """One line that names the key and the value."""
        shown = "" if self.value is None else f" = {self.value!r}"
        return f"{self.key}{shown}: {self.message}"


def suggest(word: str, known: Iterable[str]) -> str:
    """Returns a suggestion of the closest known word; empty for none."""
    match = difflib.get_close_matches(word, list(known), n=1, cutoff=0.5)
    return f'; did you mean "{match[0]}"?' if match else ""


def check_service(service: services.Service) -> Iterator[Finding]:
    """Yields the findings on a single service."""
    if service.name == configurations.SITE_DOCUMENT:
        yield Finding(
            service.name,
            ("service", "name"),
            service.name,
            "this name is reserved for the site file",
        )
    yield from _check_pool(service)
    yield from _check_path(service)
    yield from _check_names(service)
    for index, request in enumerate(service.requests):
        yield from _check_request(service.name, index, request)
    for index, job in enumerate(service.jobs):
        yield from _check_job(service, index, job)


def _check_pool(service: services.Service) -> Iterator[Finding]:
    pool = service.pool
    key_path = ("pool", "hosts_always_usable")
    usable = pool.hosts_always_usable
    if usable > pool.hosts:
        yield Finding(
            service.name,
            key_path,
            usable,
            "a pool that promises more than it holds; hosts = "
            f"{pool.hosts}, so at most {max(pool.hosts - 1, 0)} would do",
        )
    elif usable == pool.hosts and usable > 0:
        yield Finding(
            service.name,
            key_path,
            usable,
            "no host could ever be maintained; at most "
            f"{pool.hosts - 1} would do, or hosts = {pool.hosts + 1}",
        )
    elif usable == 0 and not pool.spare and pool.hosts > 0:
        yield Finding(
            service.name,
            key_path,
            usable,
            "all hosts may be away at once; 1 or more keeps the service up",
            is_error=False,
        )


def _check_path(service: services.Service) -> Iterator[Finding]:
    prefix = service.path_prefix
    key_path = ("service", "path_prefix")
    if prefix and not _is_path(prefix):
        yield Finding(
            service.name,
            key_path,
            prefix,
            'a path begins with "/", does not end with it and has no '
            'space, "?" or "#"',
        )
    if service.requests and not prefix:
        yield Finding(
            service.name,
            key_path,
            None,
            "a service with [[request]] tables needs a path_prefix",
        )
    if prefix and not service.requests:
        yield Finding(
            service.name,
            key_path,
            prefix,
            "has no effect without a [[request]] table",
        )


def _is_path(path: str) -> bool:
    return _PATH.fullmatch(path) is not None


def _check_names(service: services.Service) -> Iterator[Finding]:
    names_by_table = {
        "request": [request.name for request in service.requests],
        "job": [job.name for job in service.jobs],
    }
    for table, names in names_by_table.items():
        for index, name in enumerate(names):
            if name in names[:index]:
                yield Finding(
                    service.name,
                    (table, index, "name"),
                    name,
                    f"another [[{table}]] has this name",
                )
    yield from _check_class_overlap(service)


def _check_class_overlap(service: services.Service) -> Iterator[Finding]:
    class_by_route: dict[tuple[str, str], str] = {}
    for index, request in enumerate(service.requests):
        for method in request.methods:
            other = class_by_route.setdefault(
                (request.path, method), request.name
            )
            if other != request.name:
                yield Finding(
                    service.name,
                    ("request", index, "path"),
                    request.path,
                    f'class "{other}" takes {method} on this path already',
                )


def _check_request(
    name: str, index: int, request: services.RequestClass
) -> Iterator[Finding]:
    if request.path != "/" and not _is_path(request.path):
        yield Finding(
            name,
            ("request", index, "path"),
            request.path,
            'a class path is "/" or begins with "/" and does not end with it',
        )
    if not request.methods:
        yield Finding(
            name,
            ("request", index, "methods"),
            [],
            "a request class needs at least one method",
        )
    for method in request.methods:
        if method not in METHODS:
            yield Finding(
                name,
                ("request", index, "methods"),
                method,
                "is not an HTTP method in capitals"
                + suggest(method.upper(), METHODS),
            )
    yield from _check_repeat(name, index, request)


def _check_repeat(
    name: str, index: int, request: services.RequestClass
) -> Iterator[Finding]:
    reading_methods = READING_METHODS.intersection(request.methods)
    if request.repeat is services.Repeat.NEVER and reading_methods:
        yield Finding(
            name,
            ("request", index, "methods"),
            list(request.methods),
            f"{min(reading_methods)} only reads and may always be repeated; "
            'give it a class of its own with repeat = "safe"',
        )
    if request.repeat is services.Repeat.SAFE and "POST" in request.methods:
        yield Finding(
            name,
            ("request", index, "repeat"),
            request.repeat.value,
            'POST may run twice; use "never" unless a repeat does no harm',
            is_error=False,
        )


def _check_job(
    service: services.Service, index: int, job: services.JobContract
) -> Iterator[Finding]:
    pool = service.pool
    for key, wanted, held in (
        ("cores", job.cores, pool.cores_per_host),
        ("memory_gib", job.memory_gib, pool.memory_gib_per_host),
        ("accelerators", job.accelerators, pool.accelerators_per_host),
    ):
        if wanted > held:
            yield Finding(
                service.name,
                ("job", index, key),
                wanted,
                f"fits on no host of the pool; {key}_per_host = {held:g}",
            )
