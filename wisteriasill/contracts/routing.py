"""Finds the service and the request class of a request."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from returns import result

from wisteriasill import errors
from wisteriasill.contracts import exchange
from wisteriasill.contracts import service as services


class Route(NamedTuple):
    """The service and the class of a request."""

    service: services.Service
    request_class: services.RequestClass

    @property
    def repeatable(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.request_class.repeat is services.Repeat.SAFE


def has_prefix(path: str, prefix: str) -> bool:
    """Returns whether a path has a prefix, compared by whole segments."""
    base = prefix.rstrip("/")
    return path == base or path.startswith(base + "/")


def find_route(
    services_by_name: Mapping[str, services.Service],
    request: exchange.CallerRequest,
) -> result.Result[Route, errors.Failure]:
    """Finds the service and the class with the longest matching paths.

    Args:
        services_by_name: Services of the configuration in force.
        request: The caller's request.

    Returns:
        The route, or UNKNOWN_SERVICE or METHOD_NOT_ALLOWED.
    """
    matching = [
        service
        for service in services_by_name.values()
        if service.path_prefix and has_prefix(request.path, service.path_prefix)
    ]
    if not matching:
        return _unknown(f"no service has the path {request.path}")
    service = max(
        matching, key=lambda match: len(match.path_prefix.rstrip("/"))
    )
    rest = request.path[len(service.path_prefix.rstrip("/")) :] or "/"
    on_path = [
        request_class
        for request_class in service.requests
        if has_prefix(rest, request_class.path)
    ]
    if not on_path:
        return _unknown(
            f"{service.name} has no request class for {request.path}"
        )
    allowed = [
        request_class
        for request_class in on_path
        if _allows(request_class, request.method)
    ]
    if not allowed:
        detail = (
            f"{service.name} does not allow {request.method} at {request.path}"
        )
        return result.Failure(
            errors.failure(errors.ErrorKind.METHOD_NOT_ALLOWED, detail)
        )
    chosen = max(
        allowed, key=lambda allowed_class: len(allowed_class.path.rstrip("/"))
    )
    return result.Success(Route(service, chosen))


def _allows(request_class: services.RequestClass, method: str) -> bool:
    methods = request_class.methods
    return method in methods or (method == "HEAD" and "GET" in methods)


def _unknown(detail: str) -> result.Result[Route, errors.Failure]:
    return result.Failure(
        errors.failure(errors.ErrorKind.UNKNOWN_SERVICE, detail)
    )
