"""An operator port on an in-memory platform, for tests."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import pathlib
from typing import NamedTuple

from tests import scripted_platform
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import metrics as metric_types
from wisteriasill import settings as settings_module
from wisteriasill.contracts import configuration_reader
from wisteriasill.contracts import configuration_store
from wisteriasill.contracts import service_file
from wisteriasill.links import operator_link
from wisteriasill.links import peer_messages
from wisteriasill.machines import host as hosts
from wisteriasill.machines import member as members
from wisteriasill.zones import site as sites

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
TOKEN = "correct-horse"


class PeerlessMesh:
    """A peer mesh without peers."""

    def broadcast(self, message: peer_messages.Message) -> None:
        """Drops the message."""

    def send(self, member_id: str, message: peer_messages.Message) -> bool:
        """Reports that the peer is not connected."""
        return False

    def on_message(
        self, message_type: str, handler: peer_messages.Handler
    ) -> None:
        """Ignores the handler, as no event occurs."""

    def on_members_changed(self, handler: object) -> None:
        """Ignores the handler, as no event occurs."""

    def connected_peers(self) -> frozenset[str]:
        """Returns the empty set."""
        return frozenset()


class OperatorSite(NamedTuple):
    """An entry host with an operator port.

    Attributes:
        platform: The in-memory platform.
        site: State of the site as known to the entry host.
        url: Base URL of the operator port.
        port: The operator port.
    """

    platform: scripted_platform.ScriptedPlatform
    site: sites.Site
    url: str
    port: int

    def adopt_configuration(self) -> None:
        """Adopts the configuration in force, as the poll does."""
        manifest, _ = configuration_reader.read_manifest(self.platform).unwrap()
        self.site.adopt_configuration(
            configuration_store.load(
                self.platform, manifest, self.site.snapshot.configuration
            ).unwrap()
        )


def _hosts() -> Iterator[hosts.Host]:
    for pool in ("billing", "cutting", "quoting", "support", "swatches"):
        for number in range(6):
            yield hosts.Host(
                host_id=f"{pool}-{number}",
                pool=pool,
                state=hosts.HostState.SERVING,
                region="recife",
                availability_zone=f"zone-{number % 3}",
                rack=f"rack-{number // 4}",
                address="127.0.0.1:1",
                cores=16,
                memory_gib=64,
                accelerators=0,
                slots=8,
                connections=64,
            )


@contextlib.contextmanager
def running(token: str = TOKEN) -> Iterator[OperatorSite]:
    """Runs an operator port for the example site in generation 1."""
    platform = scripted_platform.ScriptedPlatform()
    directory = service_file.read_directory(EXAMPLES / "mandacaru")
    change = configuration_store.Change(
        {
            "site": documents.encode(directory.site),
            **documents.encode(directory.services_by_name),
        },
        "ana",
        0,
    )
    configuration_store.publish(platform, change).unwrap()
    site = sites.Site(clocks.SystemClock())
    site.update_hosts([sites.KnownHost(host, 1) for host in _hosts()])
    for host in _hosts():
        platform.set_row(hosts.TABLE, host.host_id, documents.encode(host))
    site.set_members(
        [members.Member("entry-1", "i1", "recife", "zone-0", "::1", 1, 2, 3)]
    )
    settings = settings_module.EntrySettings(
        "entry-1",
        "zone-0",
        "http://127.0.0.1:1",
        operator_token=token,
        socket_timeout_seconds=1.0,
    )
    link = operator_link.OperatorLink(
        settings, platform, site, PeerlessMesh(), metric_types.Metrics()
    )
    link.start()
    operator_site = OperatorSite(
        platform, site, f"http://127.0.0.1:{link.port}", link.port
    )
    operator_site.adopt_configuration()
    try:
        yield operator_site
    finally:
        link.stop(1.0)
