"""Encoding and decoding of host rows and of pool revision rows."""

from __future__ import annotations

from typing import NamedTuple

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.contracts import pool_revision
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.zones import site as sites

# Most host rows of one transaction; the rest follows in later ones.
BATCH_ROWS = 16


class ExtraRows(NamedTuple):
    """Other conditions and writes of a transaction of host rows."""

    conditions: tuple[platform.Condition, ...] = ()
    writes: tuple[platform.Write, ...] = ()


NO_EXTRA_ROWS = ExtraRows()


class VersionedRevision(NamedTuple):
    """A pool's revision row with its version; 0 if there is no row."""

    revision: pool_revision.PoolRevision
    version: int

    @property
    def condition(self) -> platform.Condition:
        """The condition that the row hasn't changed."""
        return platform.Condition(
            pool_revision.TABLE, self.revision.pool, self.version
        )


def read_revision(
    table: platform.Table, pool: str
) -> result.Result[VersionedRevision, errors.Failure]:
    """Reads the revision row of a pool.

    Args:
        table: The table service.
        pool: The pool.

    Returns:
        The row with its version; an empty row of version 0 if there is none.
    """

    def decode_row(
        row: platform.Row | None,
    ) -> result.Result[VersionedRevision, errors.Failure]:
        if row is None:
            return result.Success(
                VersionedRevision(pool_revision.PoolRevision(pool), 0)
            )
        return documents.decode(pool_revision.PoolRevision, row.value).map(
            lambda revision: VersionedRevision(revision, row.version)
        )

    return table.read(pool_revision.TABLE, pool).bind(decode_row)


def decode_host(
    row: platform.Row,
) -> result.Result[sites.KnownHost, errors.Failure]:
    """Decodes a host row."""
    return documents.decode(hosts.Host, row.value).map(
        lambda host: sites.KnownHost(host, row.version)
    )


def host_write(host: hosts.Host) -> platform.Write:
    """Builds the write of a host row."""
    return platform.Write(hosts.TABLE, host.host_id, documents.encode(host))


def revision_write(
    revision: pool_revision.PoolRevision,
) -> platform.Write:
    """Builds the write of a pool's revision row."""
    return platform.Write(
        pool_revision.TABLE, revision.pool, documents.encode(revision)
    )


def changed_since(
    before: VersionedRevision | None, current: VersionedRevision
) -> tuple[str, ...] | None:
    """Lists the hosts that changed between two reads of a revision row.

    Args:
        before: The row as read previously; None if it has not been read.
        current: The row as read now.

    Returns:
        Ids of the changed hosts; None if the row doesn't list all changes in
        between.
    """
    if before is None:
        return None
    known_revision = before.revision.revision
    recent = [
        change
        for change in current.revision.recent
        if change.revision > known_revision
    ]
    if len(recent) < current.revision.revision - known_revision:
        return None
    return tuple({change.host_id: None for change in recent})
