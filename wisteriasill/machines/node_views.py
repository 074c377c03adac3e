"""Views of the site that a node serves to operators, with their age.

`links.operator_views` is the counterpart on entry hosts.
"""

from __future__ import annotations

import itertools
import time
from typing import Any, Protocol

import cbor2

from wisteriasill.contracts import queue as queues
from wisteriasill.links import cluster
from wisteriasill.machines import batch_job
from wisteriasill.machines import batch_pool
from wisteriasill.machines import batch_tables
from wisteriasill.machines import fleet_rows
from wisteriasill.zones import shard_writer

MAX_LISTED_JOBS = 500  # Longest list in a response; the oldest jobs come first.


class KnownSite(Protocol):
    """State of a site as one node knows it."""

    @property
    def name(self) -> str:
        """Name of the node."""

    @property
    def availability_zone(self) -> str:
        """Availability zone of the node."""

    @property
    def configuration(self) -> queues.SiteConfiguration | None:
        """The configuration in force, if one is known."""

    @property
    def wave_by_number(self) -> dict[int, queues.WaveOrder]:
        """The operators' waves."""

    @property
    def store(self) -> cluster.RowStore:
        """The platform's store."""

    @property
    def ready(self) -> bool:
        """Whether the node can accept jobs."""

    def shards(self) -> dict[str, shard_writer.ShardState]:
        """Returns each shard's state as this node last read it."""

    def pools(self) -> dict[str, batch_pool.BatchPool]:
        """Returns the pools that this node holds, by shard."""

    def store_age_seconds(self) -> float:
        """Returns the time since the store last responded to this node."""


class NodeViews:
    """Builds plain data for the operators' commands from one node.

    A node knows the jobs of the pools whose shards it holds. Of other pools it
    knows the holder and the number of waiting jobs.

    Args:
        node: The node.
    """

    def __init__(self, node: KnownSite) -> None:
        self._node = node

    def status(self) -> dict[str, Any]:
        """Lists the shards of the site, their holders and their queues."""
        configuration = self._node.configuration
        pools = self._node.pools()
        return {
            "availability_zone": self._node.availability_zone,
            "generation": configuration.version if configuration else 0,
            "pools": [
                {
                    "pool": shard,
                    "holder": state.holder,
                    "jobs_waiting": sum(_pending(state.status).values()),
                    **(_pool_counts(pools[shard]) if shard in pools else {}),
                }
                for shard, state in self._node.shards().items()
            ],
            "members": [],
            **self._origin(),
        }

    def jobs(self, pool: str = "", state: str = "") -> dict[str, Any]:
        """Lists jobs that have not ended, of the pools that this node holds.

        Args:
            pool: Only jobs of this pool; empty for all.
            state: Only jobs in this state; empty for all.
        """
        pools = self._node.pools()
        rows = (
            _job_row(name, job)
            for name, held_pool in pools.items()
            if pool in ("", name)
            for job in _open_jobs(held_pool)
        )
        matching_rows = (row for row in rows if state in ("", row["state"]))
        return {
            "jobs": [*itertools.islice(matching_rows, MAX_LISTED_JOBS)],
            "elsewhere": {
                shard: shard_state.holder
                for shard, shard_state in self._node.shards().items()
                if shard not in pools and shard != fleet_rows.SHARD
            },
            **self._origin(),
        }

    def waves(self, state: str = "") -> dict[str, Any]:
        """Lists the operators' waves with their progress from the store.

        Args:
            state: Only waves in this state; empty for all.
        """
        page = batch_tables.read_all(
            self._node.store, fleet_rows.TABLE, fleet_rows.SHARD
        )
        started_by_wave = {
            row.key: len(cbor2.loads(row.value))
            for row in (page.rows if page else ())
            if row.value is not None and row.key.isdigit()
        }
        rows = [
            _wave_row(wave, started_by_wave.get(str(wave.number), 0))
            for wave in self._node.wave_by_number.values()
        ]
        return {
            "waves": [row for row in rows if state in ("", row["state"])],
            **self._origin(stored=page is not None),
        }

    def _origin(self, stored: bool = True) -> dict[str, Any]:
        """Returns the name of the node and the age of its data."""
        age = self._node.store_age_seconds()
        return {
            "member_id": self._node.name,
            "age_seconds": {"configuration": age, "shards": age},
            "store": {
                "reachable": stored and self._node.ready,
                "detail": "no response in the last seconds",
            },
        }


def _pending(status: dict[str, object]) -> dict[str, int]:
    pending = status.get("pending")
    return pending if isinstance(pending, dict) else {}


def _pool_counts(pool: batch_pool.BatchPool) -> dict[str, Any]:
    """Counts the workers and runs of a pool that this node holds."""
    now = time.monotonic()
    with pool.lock:
        workers = [*pool.worker_by_id.values()]
    return {
        "hosts": len(workers),
        "hosts_usable": sum(worker.is_responsive(now) for worker in workers),
        "hosts_doubted": sum(
            now < worker.quarantined_until for worker in workers
        ),
        "tasks_running": sum(len(worker.run_by_task) for worker in workers),
    }


def _open_jobs(pool: batch_pool.BatchPool) -> list[batch_job.Job]:
    with pool.lock:
        open_jobs = [job for job in pool.job_by_id.values() if not job.finished]
    return sorted(open_jobs, key=lambda job: job.age_since)


def _job_row(pool: str, job: batch_job.Job) -> dict[str, Any]:
    units = [*job.unit_by_key.values()]
    waiting = len(job.ready)
    return {
        "job_id": job.job_id,
        "pool": pool,
        "queue": job.record.queue,
        "state": job.state.value,
        "tasks": len(units),
        "tasks_done": sum(unit.done for unit in units),
        "tasks_running": sum(bool(unit.runs) for unit in units),
        "tasks_waiting": waiting,
        "age_s": round(time.monotonic() - job.age_since, 1),
        "reason": "waits for free resources on a worker" if waiting else "",
    }


def _wave_row(wave: queues.WaveOrder, started_hosts: int) -> dict[str, Any]:
    total = len(wave.host_ids)
    return {
        "number": wave.number,
        "state": "finished" if started_hosts >= total else "running",
        "hosts_done": started_hosts,
        "hosts_total": total,
        "most_at_once": wave.most_at_once,
    }
