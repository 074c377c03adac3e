"""Which headers pass through an entry host."""

from __future__ import annotations

from collections.abc import Iterable

from wisteriasill.contracts import exchange

Headers = tuple[tuple[str, str], ...]

# RFC 9110 section 7.6.1, with the older names that still occur.
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
# Set anew on each side: by curl, by cheroot or by the entry host itself.
OWN_HEADERS = frozenset(
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
    """Keeps the headers that concern caller and target only.

    Args:
        headers: Names and values as received.

    Returns:
        The same without hop-by-hop headers, those that `Connection` names,
        and those that the entry host sets itself.
    """
    pairs = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | OWN_HEADERS | named
    return tuple(
        (name, value) for name, value in pairs if name.lower() not in dropped
    )


def first(headers: Iterable[tuple[str, str]], wanted: str) -> str:
    """Returns the first value of a header; empty if there is none."""
    name = wanted.lower()
    return next((value for key, value in headers if key.lower() == name), "")
