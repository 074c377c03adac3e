"""Hosts of one pool: writes rows, keeps observations, announces departures.

`pool_rows` caches the rows and `host_rows` encodes them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from returns import result

from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import host_sequence
from wisteriasill.machines import host as hosts
from wisteriasill.machines import host_listing
from wisteriasill.machines import host_rows
from wisteriasill.machines import pool_rows
from wisteriasill.machines import shard_context
from wisteriasill.zones import site as sites


class PoolHosts:
    """The hosts of one pool; used by its shard's task only."""

    def __init__(self, context: shard_context.ShardContext) -> None:
        self._context = context
        self._rows = pool_rows.PoolRows(
            context.platform.table, context.shard, context.token_source
        )
        self._observations_by_id: dict[str, host_sequence.HostObservation] = {}
        self._seen_revisions = (-1, -1)

    @property
    def rows(self) -> pool_rows.PoolRows:
        """The pool's rows as last read or written."""
        return self._rows

    @property
    def observations_by_id(self) -> Mapping[str, host_sequence.HostObservation]:
        """Observations of each host since this process acquired the shard."""
        return self._observations_by_id

    def refresh(self) -> result.Result[None, errors.Failure]:
        """Reads changed host rows and the platform's host list."""
        outcome = self._rows.refresh()
        if not isinstance(outcome, result.Success):
            return outcome
        host_list = self._context.listing.current()
        revisions = (host_list.number, self._rows.changes)
        if revisions != self._seen_revisions:
            self._seen_revisions = revisions
            self._update_observations(host_list)
        return outcome

    def _update_observations(
        self, host_list: host_listing.HostListSnapshot
    ) -> None:
        now = self._context.clock.monotonic()
        self._observations_by_id = {
            host_id: host_sequence.watch(
                self._observations_by_id.get(host_id),
                known.version,
                host_list.listed_by_id.get(host_id),
                host_list.number,
                now,
            )
            for host_id, known in self._rows.hosts_by_id.items()
        }

    def set_observation(
        self, host_id: str, observation: host_sequence.HostObservation
    ) -> None:
        """Replaces the observation of a host."""
        self._observations_by_id[host_id] = observation

    def change(
        self,
        changed: Sequence[hosts.Host],
        extra: host_rows.ExtraRows = host_rows.NO_EXTRA_ROWS,
    ) -> result.Result[None, errors.Failure]:
        """Writes host rows and announces hosts that stop taking new work.

        Args:
            changed: New values of host rows of this pool.
            extra: Other conditions and writes of the same transaction.

        Returns:
            Success once the rows are written.
        """
        before = {
            host.host_id: self._rows.hosts_by_id[host.host_id].host
            for host in changed
        }
        written = self._rows.change(changed, extra)
        if not isinstance(written, result.Success):
            return result.Failure(written.failure())
        known_hosts = written.unwrap()
        self._context.site.update_hosts(known_hosts)
        for known in known_hosts:
            self._announce(known, before[known.host.host_id])
        return result.Success(None)

    def _announce(self, known: sites.KnownHost, before: hosts.Host) -> None:
        host = known.host
        if (
            before.state is hosts.HostState.SERVING
            and host.state is not hosts.HostState.SERVING
        ):
            self._context.mesh.broadcast(
                {
                    "type": "departure",
                    "host_id": host.host_id,
                    "state": host.state.value,
                    "version": known.version,
                }
            )
        if host.pool != before.pool:
            events.log(
                events.Event.HOST_MOVED,
                "Host moved to another pool",
                host=host.host_id,
                from_pool=before.pool,
                to_pool=host.pool,
            )
        events.log(
            events.Event.HOST_STATE_CHANGED,
            "Host state changed",
            host=host.host_id,
            pool=host.pool,
            state=host.state.value,
            reason=repr(host.reason),
        )
