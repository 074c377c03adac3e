"""Controller of the `site` shard: new hosts, moves, expiry of records.

It runs on entry hosts; on nodes, `fleet_controller` moves hosts.
"""

from __future__ import annotations

from collections.abc import Sequence

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import events
from wisteriasill.contracts import moves
from wisteriasill.contracts import orders
from wisteriasill.contracts import record_expiry
from wisteriasill.links import platform
from wisteriasill.machines import host as hosts
from wisteriasill.machines import host_rows
from wisteriasill.machines import order_controller
from wisteriasill.machines import shard_context
from wisteriasill.zones import site as sites

AUTHOR = "site"
# The pool's holder executes a move within seconds. A second plan before the
# host's row shows the move would move another host for the same need.
MIN_MOVE_INTERVAL_SECONDS = 30.0


class SiteController:
    """Registers hosts and plans moves while this process holds `site`."""

    def __init__(self, context: shard_context.ShardContext) -> None:
        self._context = context
        self._needs: tuple[moves.PoolNeed, ...] = ()
        self._moved_at = -MIN_MOVE_INTERVAL_SECONDS
        self._expiry = record_expiry.RecordExpiry(
            context.platform, context.clock
        )

    def step(self) -> result.Result[None, errors.Failure]:
        """Runs one round.

        Returns:
            The first failure.
        """
        if self._context.site.age_seconds("hosts") is None:
            # Not read yet: a listed host may have a row.
            return result.Success(None)
        return (
            self._register_hosts()
            .bind(lambda _: self._plan_move())
            .bind(lambda _: self._reject_orders())
            .bind(lambda _: self._expiry.step())
        )

    def _register_hosts(self) -> result.Result[None, errors.Failure]:
        snapshot = self._context.site.snapshot
        listed_by_id = self._context.listing.current().listed_by_id
        chosen = _choose_pools(
            [
                listed_host
                for host_id, listed_host in sorted(listed_by_id.items())
                if host_id not in snapshot.hosts_by_id
                and listed_host.state is platform.ListedState.LIVE
            ],
            snapshot,
        )
        if not chosen:
            return result.Success(None)
        now = self._context.wall_clock()
        rows = [
            hosts.from_listed(
                listed_host, pool, hosts.HostState.JOINING
            )._replace(maintained_at=now, token=self._context.token_source())
            for listed_host, pool in chosen
        ]
        return self._store_hosts(rows)

    def _store_hosts(
        self, rows: Sequence[hosts.Host]
    ) -> result.Result[None, errors.Failure]:
        """Writes new rows and their pools' revisions in one transaction.

        A lost response needs no read-back: the second attempt fails because
        the rows exist, and the poll of the pools reads them.
        """
        revisions: dict[str, host_rows.VersionedRevision] = {}
        for host in rows:
            if host.pool not in revisions:
                read = host_rows.read_revision(
                    self._context.platform.table, host.pool
                )
                if not isinstance(read, result.Success):
                    return result.Failure(read.failure())
                revisions[host.pool] = read.unwrap()
            revision, version = revisions[host.pool]
            revisions[host.pool] = host_rows.VersionedRevision(
                revision.with_change(host.host_id), version
            )
        written = self._context.platform.table.transact(
            [
                *(
                    platform.Condition(hosts.TABLE, host.host_id, 0)
                    for host in rows
                ),
                *(versioned.condition for versioned in revisions.values()),
            ],
            [
                *(host_rows.host_write(host) for host in rows),
                *(
                    host_rows.revision_write(versioned.revision)
                    for versioned in revisions.values()
                ),
            ],
        )
        return written.map(
            lambda versions: self._record_registered(
                [
                    sites.KnownHost(host, version)
                    for host, version in zip(rows, versions, strict=False)
                ]
            )
        )

    def _record_registered(self, rows: Sequence[sites.KnownHost]) -> None:
        self._context.site.update_hosts(rows)
        for host, _ in rows:
            events.log(
                events.Event.HOST_REGISTERED,
                "Host registered",
                host=host.host_id,
                pool=host.pool,
                zone=host.availability_zone,
                rack=host.rack,
            )

    def _plan_move(self) -> result.Result[None, errors.Failure]:
        snapshot = self._context.site.snapshot
        now = self._context.clock.monotonic()
        self._needs = moves.needs(
            snapshot.configuration,
            snapshot.hosts_by_pool,
            self._needs,
            now,
            self._busy_slots_by_pool(),
        )
        if now - self._moved_at < MIN_MOVE_INTERVAL_SECONDS:
            return result.Success(None)
        move = moves.plan_move(
            snapshot.configuration, snapshot.hosts_by_pool, self._needs, now
        )
        if move is None:
            return result.Success(None)
        self._moved_at = now
        return self._order_move(move)

    def _busy_slots_by_pool(self) -> dict[str, float]:
        demand_by_pool = {
            pool: self._context.demand.demand(pool)
            for pool in self._context.site.snapshot.hosts_by_pool
        }
        return {
            pool: demand.busy_slots
            for pool, demand in demand_by_pool.items()
            if demand is not None
        }

    def _order_move(
        self, move: moves.Move
    ) -> result.Result[None, errors.Failure]:
        """Sends the order to move a host to the holder of the host's pool.

        The holder knows the pool's availability budget and may reject it.
        """
        order = orders.Order(
            f"{AUTHOR}-{self._context.token_source()}",
            move.from_pool,
            orders.OrderKind.MOVE,
            move.host_id,
            AUTHOR,
            pool=move.to_pool,
            ordered_at=self._context.wall_clock(),
        )
        return order_controller.write_extra_rows(
            self._context,
            host_rows.ExtraRows(
                (platform.Condition(orders.TABLE, order.key, 0),),
                (
                    platform.Write(
                        orders.TABLE, order.key, documents.encode(order)
                    ),
                ),
            ),
        )

    def _reject_orders(self) -> result.Result[None, errors.Failure]:
        rows = order_controller.read_orders(self._context)
        if not isinstance(rows, result.Success):
            return result.Failure(rows.failure())
        for row, order in rows.unwrap():
            if order.state is orders.OrderState.PENDING:
                rejected = order._replace(
                    state=orders.OrderState.REJECTED,
                    detail="name the pool that the order concerns, not `site`",
                )
                written = order_controller.write_extra_rows(
                    self._context,
                    order_controller.ended_order_rows(row, rejected),
                )
                if not isinstance(written, result.Success):
                    return written
                order_controller.log_order(rejected)
        return order_controller.prune_orders(self._context, rows.unwrap())


def _choose_pools(
    listed: Sequence[platform.ListedHost], snapshot: sites.SiteSnapshot
) -> list[tuple[platform.ListedHost, str]]:
    """Chooses pools for the first batch of hosts without rows."""
    by_pool: dict[str, list[hosts.Host]] = {
        pool: list(members) for pool, members in snapshot.hosts_by_pool.items()
    }
    chosen = []
    for host in listed[: host_rows.BATCH_ROWS]:
        pool = moves.choose_pool(host, snapshot.configuration, by_pool)
        if pool:
            by_pool.setdefault(pool, []).append(
                hosts.from_listed(host, pool, hosts.HostState.JOINING)
            )
            chosen.append((host, pool))
    return chosen
