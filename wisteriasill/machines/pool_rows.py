"""Cache of one pool's host rows, with conditional writes.

The pool's revision row lists the host rows that changed. Each write of a host
row requires the version of the revision row that the decision is based on, so
two writers can't both use the same part of an availability budget.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
import types

from returns import result

from wisteriasill import errors
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import host_rows
from wisteriasill.zones import site as sites


class PoolRows:
    """The host rows of one pool; used by the shard's task only."""

    def __init__(
        self,
        table: platform.Table,
        pool: str,
        token_source: Callable[[], str],
    ) -> None:
        self._table = table
        self._pool = pool
        self._token_source = token_source
        self._hosts_by_id: dict[str, sites.KnownHost] = {}
        self._revision: host_rows.VersionedRevision | None = None
        self._ordered: tuple[hosts.Host, ...] | None = None
        self._changes = 0

    @property
    def hosts_by_id(self) -> Mapping[str, sites.KnownHost]:
        """The pool's hosts as last read or written."""
        return types.MappingProxyType(self._hosts_by_id)

    @property
    def ordered(self) -> tuple[hosts.Host, ...]:
        """The pool's hosts, ordered by id."""
        if self._ordered is None:
            self._ordered = tuple(
                self._hosts_by_id[key].host for key in sorted(self._hosts_by_id)
            )
        return self._ordered

    @property
    def changes(self) -> int:
        """Counter that increases with each change of the cached rows."""
        return self._changes

    @property
    def current(self) -> bool:
        """Whether no write has failed since the last refresh."""
        return self._revision is not None

    def refresh(self) -> result.Result[None, errors.Failure]:
        """Reads the rows that changed since the last refresh."""
        read = host_rows.read_revision(self._table, self._pool)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        current = read.unwrap()
        before = self._revision
        if before is not None and current.version <= before.version:
            return result.Success(None)
        changed = host_rows.changed_since(before, current)
        outcome = (
            self._scan() if changed is None else self._read_changed(changed)
        )
        return outcome.map(lambda _: self._set_revision(current))

    def change(
        self,
        changed: Sequence[hosts.Host],
        extra: host_rows.ExtraRows = host_rows.NO_EXTRA_ROWS,
    ) -> result.Result[tuple[sites.KnownHost, ...], errors.Failure]:
        """Writes host rows of this pool, and other rows with them.

        Args:
            changed: New values of rows of this pool; a host whose pool
                differs is moved to that pool.
            extra: Other conditions and writes of the same transaction.

        Returns:
            The rows as written. After a failure the next refresh reads all
            rows again.
        """
        token = self._token_source()
        new_rows = [host._replace(token=token) for host in changed]
        revisions = self._next_revisions(new_rows)
        if not isinstance(revisions, result.Success):
            return result.Failure(revisions.failure())
        written = self._table.transact(
            [
                *(self._condition(host) for host in new_rows),
                *(
                    versioned.condition
                    for versioned in revisions.unwrap().values()
                ),
                *extra.conditions,
            ],
            [
                *(host_rows.host_write(host) for host in new_rows),
                *(
                    host_rows.revision_write(versioned.revision)
                    for versioned in revisions.unwrap().values()
                ),
                *extra.writes,
            ],
        )
        if not isinstance(written, result.Success):
            resolved = self._resolve_unknown(new_rows, written.failure())
            if not isinstance(resolved, result.Success):
                self._revision = None
                return result.Failure(resolved.failure())
        own = revisions.unwrap()[self._pool]
        self._revision = host_rows.VersionedRevision(
            own.revision, own.version + 1
        )
        return result.Success(tuple(self._apply_written(new_rows)))

    def delete_host(self, host_id: str) -> result.Result[None, errors.Failure]:
        """Deletes the row of a host that no longer exists.

        Args:
            host_id: The host.

        Returns:
            Success once the row is deleted.
        """
        host = self._hosts_by_id[host_id].host
        revisions = self._next_revisions([host])
        if not isinstance(revisions, result.Success):
            return result.Failure(revisions.failure())
        own = revisions.unwrap()[self._pool]
        self._revision = None
        return self._table.transact(
            [self._condition(host), own.condition],
            [
                platform.Write(hosts.TABLE, host_id, None),
                host_rows.revision_write(own.revision),
            ],
        ).map(lambda _: None)

    def serving_conditions(
        self, leaving: Iterable[str]
    ) -> tuple[platform.Condition, ...]:
        """Builds conditions that the remaining hosts are still SERVING.

        Revision and host rows are read separately and either read may be
        stale. A planned departure therefore requires the versions of all rows
        that its availability budget counts.

        Args:
            leaving: Ids of hosts that the same transaction drains.

        Returns:
            A condition for each SERVING host of the pool that remains.
        """
        excluded = frozenset(leaving)
        return tuple(
            platform.Condition(hosts.TABLE, host_id, known.version)
            for host_id, known in self._hosts_by_id.items()
            if known.host.state is hosts.HostState.SERVING
            and host_id not in excluded
        )

    def _condition(self, host: hosts.Host) -> platform.Condition:
        version = self._hosts_by_id[host.host_id].version
        return platform.Condition(hosts.TABLE, host.host_id, version)

    def _next_revisions(
        self, changed: Iterable[hosts.Host]
    ) -> result.Result[dict[str, host_rows.VersionedRevision], errors.Failure]:
        if self._revision is None:
            return result.Failure(
                errors.failure(
                    errors.ErrorKind.CONFLICT,
                    f"host rows of pool {self._pool} have not been read",
                )
            )
        revisions = {self._pool: self._revision}
        for host in changed:
            if host.pool not in revisions:
                read = host_rows.read_revision(self._table, host.pool)
                if not isinstance(read, result.Success):
                    return result.Failure(read.failure())
                revisions[host.pool] = read.unwrap()
            for pool in {self._pool, host.pool}:
                revision, version = revisions[pool]
                revisions[pool] = host_rows.VersionedRevision(
                    revision.with_change(host.host_id), version
                )
        return result.Success(revisions)

    def _resolve_unknown(
        self, new_rows: Sequence[hosts.Host], failure: errors.Failure
    ) -> result.Result[None, errors.Failure]:
        """Compares the stored token after a write of unknown outcome."""
        if failure.kind is not errors.ErrorKind.STORE_OUTCOME_UNKNOWN:
            return result.Failure(failure)
        read = self._table.read(hosts.TABLE, new_rows[0].host_id)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        row = read.unwrap()
        if row is None or row.value.get("token") != new_rows[0].token:
            return result.Failure(failure)
        return result.Success(None)

    def _apply_written(
        self, new_rows: Iterable[hosts.Host]
    ) -> Iterable[sites.KnownHost]:
        for host in new_rows:
            version = self._hosts_by_id[host.host_id].version + 1
            known = sites.KnownHost(host, version)
            self._store_if_newer(known)
            yield known

    def _store_if_newer(self, known: sites.KnownHost) -> None:
        before = self._hosts_by_id.get(known.host.host_id)
        if before is not None and known.version < before.version:
            return  # The read was stale.
        self._count_change()
        if known.host.pool == self._pool:
            self._hosts_by_id[known.host.host_id] = known
        else:
            self._hosts_by_id.pop(known.host.host_id, None)

    def _count_change(self) -> None:
        self._ordered = None
        self._changes += 1

    def _set_revision(self, current: host_rows.VersionedRevision) -> None:
        self._revision = current

    def _scan(self) -> result.Result[None, errors.Failure]:
        rows = self._table.scan(hosts.TABLE)
        if not isinstance(rows, result.Success):
            return result.Failure(rows.failure())
        self._hosts_by_id.clear()
        self._count_change()
        for row in rows.unwrap():
            decoded = host_rows.decode_host(row)
            if not isinstance(decoded, result.Success):
                return result.Failure(decoded.failure())
            self._store_if_newer(decoded.unwrap())
        return result.Success(None)

    def _read_changed(
        self, host_ids: Iterable[str]
    ) -> result.Result[None, errors.Failure]:
        for host_id in host_ids:
            read = self._table.read(hosts.TABLE, host_id)
            if not isinstance(read, result.Success):
                return result.Failure(read.failure())
            row = read.unwrap()
            if row is None:
                self._hosts_by_id.pop(host_id, None)
                self._count_change()
                continue
            decoded = host_rows.decode_host(row)
            if not isinstance(decoded, result.Success):
                return result.Failure(decoded.failure())
            self._store_if_newer(decoded.unwrap())
        return result.Success(None)
