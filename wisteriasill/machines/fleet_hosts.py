"""The platform's list of hosts, and the hosts that went down.

`host_listing` is the counterpart on entry hosts.
"""

from __future__ import annotations

from collections.abc import Mapping

from wisteriasill import events
from wisteriasill.contracts import host_record
from wisteriasill.links import cluster
from wisteriasill.machines import fleet_rows

# Interval between reads of the host list. A host that goes down shows in the
# list seconds before the leases on it expire, so the tasks restart sooner. One
# read costs a thousandth of a start.
LIST_INTERVAL_SECONDS = 0.4


class FleetHosts:
    """Hosts as the platform lists them.

    Args:
        control: The platform's host service.

    Attributes:
        hosts: All hosts as of the last read.
        listed_at: Monotonic time of the last read; 0 before the first.
        listed_version: A store version from before the last read.
        present_ids: Hosts that one of the last two lists has; None before two
            lists were read.
        down_by_host: Last worker of each host that is down.
    """

    def __init__(self, control: cluster.HostControl) -> None:
        self._control = control
        self.hosts: tuple[host_record.HostRecord, ...] = ()
        self.listed_at = 0.0
        self.present_ids: set[str] | None = None
        self.listed_version = 0
        self.down_by_host: dict[str, fleet_rows.DownWorker] = {}
        self._unconfirmed_ids: set[str] = set()
        self._missing_hosts: dict[str, host_record.HostRecord] = {}

    @property
    def host_by_id(self) -> dict[str, host_record.HostRecord]:
        """The hosts by their ids."""
        return {host.host_id: host for host in self.hosts}

    def inherit(
        self, down_by_host: Mapping[str, fleet_rows.DownWorker]
    ) -> None:
        """Takes over which hosts are down."""
        self.down_by_host = {**down_by_host}
        self._unconfirmed_ids = {*down_by_host}

    def refresh(self, now: float, store_version: int) -> None:
        """Reads the list again if a read is due.

        Args:
            now: Monotonic time.
            store_version: Newest known version of the store.
        """
        if now - self.listed_at < LIST_INTERVAL_SECONDS:
            return
        hosts = self._control.list_hosts()
        if hosts is not None:
            self.listed_version = store_version
            self._record_down(hosts)
            if self.listed_at:
                self.present_ids = {
                    host.host_id for host in (*self.hosts, *hosts)
                }
            self.hosts = hosts
            self.listed_at = now

    def _record_down(self, hosts: tuple[host_record.HostRecord, ...]) -> None:
        """Records the workers of down hosts, until the hosts are up again."""
        host_by_id = {host.host_id: host for host in hosts}
        # The version that a list was read at may be older than the last
        # registration, so the next list that shows the host as down counts.
        confirmed_ids, self._unconfirmed_ids = self._unconfirmed_ids, set()
        self.down_by_host = {
            host_id: down._replace(version=self.listed_version)
            if host and host_id in confirmed_ids
            else down
            for host_id, down in self.down_by_host.items()
            if (host := host_by_id.get(host_id)) is None
            or host.state is host_record.HostState.DOWN
        }
        # A host that moves while the list is read in pages may be on none of
        # them, so it counts as removed only if two lists lack it.
        gone = [
            former_host
            for former_host in self._missing_hosts.values()
            if former_host.host_id not in host_by_id
        ]
        self._missing_hosts = {
            former_host.host_id: former_host
            for former_host in self.hosts
            if former_host.host_id not in host_by_id
        }
        for former_host in [*self.hosts, *gone]:
            host = host_by_id.get(former_host.host_id)
            is_missing = former_host.host_id in self._missing_hosts
            if (
                former_host.worker_id
                and not is_missing
                and not self._is_known_down(former_host)
                and (host is None or host.state is host_record.HostState.DOWN)
            ):
                self.down_by_host[former_host.host_id] = fleet_rows.DownWorker(
                    former_host.worker_id, self.listed_version
                )
                self._unconfirmed_ids.add(former_host.host_id)
                events.log(
                    events.Event.HOST_STATE_CHANGED,
                    "A host is down or was removed",
                    host=former_host.host_id,
                    worker=former_host.worker_id,
                    state=host.state.value if host else "gone",
                )

    def _is_known_down(self, host: host_record.HostRecord) -> bool:
        down = self.down_by_host.get(host.host_id)
        return down is not None and down.worker_id == host.worker_id
