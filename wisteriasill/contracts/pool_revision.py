"""Revisions of pools, which readers poll instead of all host rows."""

from __future__ import annotations

from typing import NamedTuple

TABLE = "pools"
RECENT_CHANGES = 64  # A reader that is further behind scans all host rows.


class HostChange(NamedTuple):
    """A change of one host row.

    Attributes:
        revision: Revision of the pool that the change made.
        host_id: The host.
    """

    revision: int
    host_id: str


class PoolRevision(NamedTuple):
    """A row of the pools table; its key is the pool.

    Each transaction that writes a host row also writes the revision row of the
    host's pool and, when the host moves, that of its previous pool.

    Attributes:
        pool: Name of the pool.
        revision: Grows by one with each change.
        recent: The last changes, oldest first.
    """

    pool: str
    revision: int = 0
    recent: tuple[HostChange, ...] = ()

    def with_change(self, host_id: str) -> PoolRevision:
        """Returns the next revision, with a change of one host row."""
        change = HostChange(self.revision + 1, host_id)
        recent = (*self.recent, change)[-RECENT_CHANGES:]
        return PoolRevision(self.pool, self.revision + 1, recent)
