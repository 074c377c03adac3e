"""The platform's list of hosts, and which of them went down."""

from __future__ import annotations

from wisteriasill import events
from wisteriasill.contracts import host_record
from wisteriasill.links import cluster

# Age of the host list that is good enough: a host that goes down shows in it
# seconds before its lease ends. A reading costs a thousandth of a start.
LIST_SECONDS = 0.4


class FleetHosts:
    """Hosts as the platform lists them.

    Args:
        control: The platform's host service.

    Attributes:
        hosts: All hosts as of the last reading.
        listed_at: Steady time of the last reading; 0 before the first.
        down_by_host: Last worker of each host that went down.
    """

    def __init__(self, control: cluster.HostControl) -> None:
        self._control = control
        self.hosts: tuple[host_record.HostRecord, ...] = ()
        self.listed_at = 0.0
        self.down_by_host: dict[str, str] = {}

    def refresh(self, now: float) -> None:
        """Reads the list again if it is due."""
        if now - self.listed_at < LIST_SECONDS:
            return
        hosts = self._control.list_hosts()
        if hosts is not None:
            self._note_down(hosts)
            self.hosts = hosts
            self.listed_at = now

    def _note_down(self, hosts: tuple[host_record.HostRecord, ...]) -> None:
        """Notes workers whose hosts went down, until these are up again."""
        host_by_id = {host.host_id: host for host in hosts}
        self.down_by_host = {
            host_id: worker_id
            for host_id, worker_id in self.down_by_host.items()
            if (host := host_by_id.get(host_id)) is None
            or host.state is host_record.HostState.DOWN
        }
        for former in self.hosts:
            host = host_by_id.get(former.host_id)
            if former.worker_id and (
                host is None or host.state is host_record.HostState.DOWN
            ):
                self.down_by_host[former.host_id] = former.worker_id
                events.log(
                    events.Event.HOST_STATE_CHANGED,
                    "A host is down or was taken away",
                    host=former.host_id,
                    worker=former.worker_id,
                    state=host.state.value if host else "gone",
                )
