"""Header fields that an entry host forwards."""

from __future__ import annotations

from collections.abc import Iterable

from wisteriasill.contracts import exchange

Headers = tuple[tuple[str, str], ...]

# RFC 9110 section 7.6.1, and older names that are still in use.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Set separately on each connection: by curl, cheroot or the entry host.
PER_CONNECTION_HEADERS = frozenset(
    (
        "content-length",
        "expect",
        "host",
        exchange.DEADLINE_HEADER.lower(),
        exchange.REQUEST_ID_HEADER.lower(),
        exchange.EXECUTED_HEADER.lower(),
    )
)


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the end-to-end headers, which an entry host forwards.

    Args:
        headers: Names and values as received.

    Returns:
        The headers without hop-by-hop headers, headers named by `Connection`,
        and headers that are set separately on each connection.
    """
    pairs = tuple(headers)
    connection_options = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | PER_CONNECTION_HEADERS | connection_options
    return tuple(
        (name, value) for name, value in pairs if name.lower() not in dropped
    )


def first(headers: Iterable[tuple[str, str]], header_name: str) -> str:
    """Returns the first value of a header; empty if there is none."""
    name = header_name.lower()
    return next((value for key, value in headers if key.lower() == name), "")
