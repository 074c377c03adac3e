"""Keeps host rows current by polling the pools' revision rows."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import events
from wisteriasill.contracts import pool_revision
from wisteriasill.links import platform as platforms
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

# With more changed rows, one scan costs the store less than single reads.
_MAX_SINGLE_READS = 64
# A read that returns no newer version, or no row, may be stale. The row is read
# again in this many polls.
_REREADS = 3
# A periodic scan of all rows finds changes that stale reads missed. With 4,100
# hosts of about 400 bytes each it takes 2.7 KB/s.
_SCAN_SECONDS = 600.0


class Changes(NamedTuple):
    """Changes found in the pools' revision rows.

    Attributes:
        host_ids: Hosts whose rows changed.
        missed: Whether the rows no longer list all changes.
        revisions: Latest revision of each pool.
    """

    host_ids: frozenset[str]
    missed: bool
    revisions: Mapping[str, int]


def find_changes(
    known: Mapping[str, int],
    revisions: Iterable[pool_revision.PoolRevision],
) -> Changes:
    """Compares the pools' revisions with those already applied.

    Args:
        known: Applied revisions by pool.
        revisions: Rows of the pools table.

    Returns:
        The changes. A revision below the applied one is a stale read and is
        ignored.
    """
    newer = [row for row in revisions if row.revision > known.get(row.pool, 0)]
    changed = {
        change.host_id
        for row in newer
        for change in row.recent
        if change.revision > known.get(row.pool, 0)
    }
    missed = any(
        not row.recent or row.recent[0].revision > known.get(row.pool, 0) + 1
        for row in newer
    )
    return Changes(
        frozenset(changed),
        missed,
        {**known, **{row.pool: row.revision for row in newer}},
    )


class HostPoll:
    """Keeps the site's hosts current; used by one task only."""

    def __init__(
        self,
        platform: platforms.Platform,
        site: sites.Site,
        clock: clocks.Clock,
    ) -> None:
        self._platform = platform
        self._site = site
        self._clock = clock
        self._revisions: Mapping[str, int] = {}
        self._next_scan_at: float | None = None
        self._rereads_left_by_id: dict[str, int] = {}
        self._invalid_hosts: frozenset[str] = frozenset()

    def poll(self) -> bool:
        """Reads the rows that changed.

        Returns:
            Whether the site's hosts are confirmed as current.
        """
        scanned = self._platform.table.scan(pool_revision.TABLE)
        if not isinstance(scanned, result.Success):
            return False
        rows: tuple[platforms.Row, ...] = scanned.unwrap()
        decoded = (
            documents.decode(pool_revision.PoolRevision, row.value)
            for row in rows
        )
        changes = find_changes(
            self._revisions,
            [
                revision.unwrap()
                for revision in decoded
                if isinstance(revision, result.Success)
            ],
        )
        if not self._read_rows(changes):
            return False
        self._revisions = changes.revisions
        self._site.confirm("hosts")
        return True

    def _read_rows(self, changes: Changes) -> bool:
        now = self._clock.monotonic()
        too_many = len(changes.host_ids) > _MAX_SINGLE_READS
        scan_due = self._next_scan_at is None or now >= self._next_scan_at
        if changes.missed or too_many or scan_due:
            if not self._scan():
                return False
            self._next_scan_at = now + _SCAN_SECONDS
            return True
        for host_id in changes.host_ids:
            self._rereads_left_by_id[host_id] = _REREADS
        return self._read_single_rows()

    def _scan(self) -> bool:
        scanned = self._platform.table.scan(hosts.TABLE)
        if not isinstance(scanned, result.Success):
            return False
        rows: tuple[platforms.Row, ...] = scanned.unwrap()
        absent = self._site.snapshot.hosts_by_id.keys() - {
            row.key for row in rows
        }
        self._apply_rows(rows)
        self._rereads_left_by_id = dict.fromkeys(absent, _REREADS)
        return True

    def _read_single_rows(self) -> bool:
        rows: list[platforms.Row] = []
        absent: list[str] = []
        for host_id in tuple(self._rereads_left_by_id):
            read = self._platform.table.read(hosts.TABLE, host_id)
            if not isinstance(read, result.Success):
                self._apply_rows(rows)
                return False
            row: platforms.Row | None = read.unwrap()
            known = self._site.snapshot.hosts_by_id.get(host_id)
            self._rereads_left_by_id[host_id] -= 1
            if row is not None:
                rows.append(row)
                if known is None or row.version > known.version:
                    del self._rereads_left_by_id[host_id]
            elif not self._rereads_left_by_id[host_id]:
                absent.append(host_id)
        self._rereads_left_by_id = {
            host_id: rereads
            for host_id, rereads in self._rereads_left_by_id.items()
            if rereads
        }
        self._apply_rows(rows)
        if absent:
            self._site.remove_hosts(absent)
        return True

    def _apply_rows(self, rows: Iterable[platforms.Row]) -> None:
        decoded = [
            (row, documents.decode(hosts.Host, row.value)) for row in rows
        ]
        self._site.update_hosts(
            sites.KnownHost(host.unwrap(), row.version)
            for row, host in decoded
            if isinstance(host, result.Success)
        )
        invalid = {
            row.key: host.failure().detail
            for row, host in decoded
            if not isinstance(host, result.Success)
        }
        for host_id in invalid.keys() - self._invalid_hosts:
            events.log(
                events.Event.STORE_FAILED,
                "Host row can't be decoded",
                level="ERROR",
                host=host_id,
                detail=invalid[host_id],
            )
        self._invalid_hosts |= invalid.keys()
