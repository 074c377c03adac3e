"""Tests of the host and configuration polls and of departures."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest
from returns import result

from tests import waiting
from tests.zones import conftest
from wisteriasill import clock as clocks
from wisteriasill import documents
from wisteriasill import errors
from wisteriasill import settings as settings_module
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import pool_revision
from wisteriasill.links import platform as platforms
from wisteriasill.machines import host as hosts
from wisteriasill.machines import member as members
from wisteriasill.zones import configuration_poll
from wisteriasill.zones import departures
from wisteriasill.zones import host_poll
from wisteriasill.zones import site as sites
from wisteriasill.zones import site_poll


def write_host(
    platform: conftest.FakePlatform,
    host_id: str,
    state: hosts.HostState = hosts.HostState.SERVING,
    pool: str = "quoting",
) -> int:
    """Writes a host row and its pool's revision, as a controller does."""
    row = platform.rows.get((pool_revision.TABLE, pool))
    revision = pool_revision.PoolRevision(pool)
    if row is not None:
        revision = documents.decode(
            pool_revision.PoolRevision, row.value
        ).unwrap()
    platform.put_row(
        pool_revision.TABLE,
        pool,
        documents.encode(revision.with_change(host_id)),
    )
    host = hosts.Host(
        host_id, pool, state, "r1", "z1", "k1", "127.0.0.1:1", 16, 64, 0, 8, 64
    )
    return platform.put_row(hosts.TABLE, host_id, documents.encode(host))


@pytest.fixture
def site(manual_clock: clocks.ManualClock) -> sites.Site:
    return sites.Site(manual_clock)


@pytest.fixture
def poll(
    platform: conftest.FakePlatform,
    site: sites.Site,
    manual_clock: clocks.ManualClock,
) -> host_poll.HostPoll:
    return host_poll.HostPoll(platform.as_platform(), site, manual_clock)


def state_of(site: sites.Site, host_id: str) -> hosts.HostState:
    return site.snapshot.hosts_by_id[host_id].host.state


def test_polls_read_only_changed_hosts(
    platform: conftest.FakePlatform, site: sites.Site, poll: host_poll.HostPoll
) -> None:
    """Guards against reads of all host rows at each poll.

    They exceed the traffic limit of a node.
    """
    for number in range(100):
        write_host(platform, f"h{number}")
    assert poll.poll()
    assert len(site.snapshot.hosts_by_id) == 100
    platform.scans.clear()
    write_host(platform, "h1", hosts.HostState.DRAINING)
    assert poll.poll()
    assert poll.poll()
    assert platform.scans == [pool_revision.TABLE] * 2
    assert platform.reads == ["h1"]
    assert state_of(site, "h1") is hosts.HostState.DRAINING
    assert site.age_seconds("hosts") == 0


def test_missed_changes_are_scanned(
    platform: conftest.FakePlatform, site: sites.Site, poll: host_poll.HostPoll
) -> None:
    """Guards against lost changes when revisions list only the latest ones.

    This happens after an outage.
    """
    write_host(platform, "h0")
    assert poll.poll()
    platform.down = True
    assert not poll.poll()
    for number in range(pool_revision.RECENT_CHANGES + 1):
        write_host(platform, f"h{number}", hosts.HostState.DOWN)
    platform.down = False
    assert poll.poll()
    assert {
        known.host.state for known in site.snapshot.hosts_by_id.values()
    } == {hosts.HostState.DOWN}


def test_stale_read_of_a_host_is_repeated(
    platform: conftest.FakePlatform, site: sites.Site, poll: host_poll.HostPoll
) -> None:
    """Guards against a change that is missed because of a stale row."""
    write_host(platform, "h1")
    assert poll.poll()
    old_row = platform.rows[hosts.TABLE, "h1"]
    write_host(platform, "h1", hosts.HostState.DRAINING)
    new_row = platform.rows[hosts.TABLE, "h1"]
    platform.rows[hosts.TABLE, "h1"] = old_row
    assert poll.poll()
    platform.rows[hosts.TABLE, "h1"] = new_row
    assert poll.poll()
    assert state_of(site, "h1") is hosts.HostState.DRAINING


def test_host_is_removed_only_if_it_stays_absent(
    platform: conftest.FakePlatform,
    site: sites.Site,
    poll: host_poll.HostPoll,
    manual_clock: clocks.ManualClock,
) -> None:
    """Guards against one stale scan that removes targets."""
    write_host(platform, "h1")
    write_host(platform, "h2")
    assert poll.poll()
    manual_clock.advance(host_poll._SCAN_SECONDS)
    platform.hidden = frozenset({"h1", "h2"})
    assert poll.poll()
    platform.hidden = frozenset({"h2"})
    seen = []
    for _ in range(4):
        assert poll.poll()
        seen.append(set(site.snapshot.hosts_by_id))
    assert seen[0] == {"h1", "h2"}
    assert seen[-1] == {"h1"}


def departure(host_id: str, version: int, state: str = "draining") -> Any:
    return {
        "type": "departure",
        "host_id": host_id,
        "state": state,
        "version": version,
    }


def test_departures_are_broadcast_and_applied_once(
    platform: conftest.FakePlatform,
    site: sites.Site,
    mesh: conftest.FakeMesh,
    poll: host_poll.HostPoll,
) -> None:
    """Guards against an echo of each departure by every member.

    The messages would grow with the square of the number of members.
    """
    relay = departures.Departures(site, mesh)
    relay.register_handlers()
    for host_id in ("h1", "h2", "h3"):
        write_host(platform, host_id)
    assert poll.poll()
    write_host(platform, "h1", hosts.HostState.DRAINING)
    assert poll.poll()
    assert mesh.broadcasts == [departure("h1", 2)]
    for message in (
        departure("h2", 2, "rebooting"),
        departure("h3", 1),  # Not newer than the known row.
        departure("h3", 9, "no-such-state"),
        departure("unknown", 2),
    ):
        mesh.deliver("b", message)
    assert relay.changed.is_set()
    relay.run_once()
    assert state_of(site, "h2") is hosts.HostState.REBOOTING
    assert state_of(site, "h3") is hosts.HostState.SERVING
    assert len(mesh.broadcasts) == 1
    assert mesh.sent == []


def test_relay_passes_departures_to_other_zones(
    platform: conftest.FakePlatform,
    site: sites.Site,
    mesh: conftest.FakeMesh,
    poll: host_poll.HostPoll,
) -> None:
    """Guards against zones that miss departures if the mesh isn't full.

    A zone then receives departures only by a relay.
    """
    write_host(platform, "h1")
    assert poll.poll()
    zones = {f"m{n}": f"z{n % 2}" for n in range(20)}
    site.set_members(
        members.Member(name, "1", "r1", zone, "127.0.0.1", 1, 2, 3)
        for name, zone in zones.items()
    )
    mesh.connected = frozenset({"m0", "m1", "m2", "m3"})
    relay = departures.Departures(site, mesh)
    relay.register_handlers()
    mesh.deliver("m1", departure("h1", 2))
    relay.run_once()
    assert sorted(peer for peer, _ in mesh.sent) == ["m0", "m2"]


DOCUMENTS = {f"digest-{n}": f"document {n}".encode() for n in range(3)}


def manifest(generation: int, digests: Iterable[str]) -> Any:
    return documents.encode(
        configurations.Manifest(
            generation,
            {
                digest: configurations.ManifestEntry(digest, generation, "x", 0)
                for digest in digests
            },
        )
    )


def load(
    platform: platforms.Platform,
    wanted: configurations.Manifest,
    previous: configurations.Configuration,
) -> result.Result[configurations.Configuration, errors.Failure]:
    """Loads like the store's loader, with names as digests."""
    known = {entry.digest for entry in previous.manifest.entries.values()}
    for entry in wanted.entries.values():
        if entry.digest in known:
            continue
        read = platform.objects.get(entry.digest)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        if read.unwrap() != DOCUMENTS[entry.digest]:
            return result.Failure(
                errors.failure(
                    errors.ErrorKind.INVALID_CONFIGURATION, entry.digest
                )
            )
    return result.Success(
        previous._replace(generation=wanted.generation, manifest=wanted)
    )


@pytest.fixture
def poller(
    settings: settings_module.EntrySettings,
    platform: conftest.FakePlatform,
    site: sites.Site,
    mesh: conftest.FakeMesh,
    manual_clock: clocks.ManualClock,
) -> configuration_poll.ConfigurationPoll:
    configuration_poller = configuration_poll.ConfigurationPoll(
        settings, platform.as_platform(), site, mesh, manual_clock, load
    )
    configuration_poller.register_handlers()
    return configuration_poller


def publish(platform: conftest.FakePlatform, generation: int) -> None:
    digests = tuple(DOCUMENTS)[:generation]
    platform.bodies.update(DOCUMENTS)
    platform.put_row(
        configurations.TABLE,
        configurations.CURRENT_KEY,
        manifest(generation, digests),
    )


def test_configuration_is_adopted_broadcast_and_never_reverts(
    platform: conftest.FakePlatform,
    site: sites.Site,
    mesh: conftest.FakeMesh,
    poller: configuration_poll.ConfigurationPoll,
    manual_clock: clocks.ManualClock,
) -> None:
    """Guards against a stale read that reverts the configuration."""
    seen = []
    for generation in (1, 2, 1, 3):
        publish(platform, generation)
        manual_clock.advance(poller.run_once())
        poller.run_once()
        seen.append(site.snapshot.configuration.generation)
        manual_clock.advance(1.0)
    assert seen == [1, 2, 2, 3]
    assert [
        message["manifest"]["generation"] for message in mesh.broadcasts
    ] == [
        1,
        2,
        3,
    ]
    assert platform.reads.count("digest-0") == 1
    assert site.age_seconds("configuration") == 1.0


@pytest.mark.parametrize("damaged", [False, True])
def test_configuration_comes_from_a_peer_while_the_store_is_down(
    platform: conftest.FakePlatform,
    site: sites.Site,
    mesh: conftest.FakeMesh,
    poller: configuration_poll.ConfigurationPoll,
    damaged: bool,
) -> None:
    """Guards against an entry host that can't start during an outage."""
    platform.down = True
    mesh.connected = frozenset("b")
    poller.run_once()
    mesh.deliver("b", {"type": "heartbeat", "sequence": 1, "generation": 2})
    mesh.deliver("b", {"type": "heartbeat", "sequence": 2, "generation": 2})
    assert [message["manifest"]["generation"] for _, message in mesh.sent] == [
        0
    ]
    announced = {"type": "configuration", "manifest": manifest(2, DOCUMENTS)}
    mesh.deliver("b", announced)
    poller.run_once()
    assert mesh.sent[-1][1]["wanted"] == sorted(DOCUMENTS)
    bodies = dict(DOCUMENTS)
    if damaged:
        mesh.deliver(
            "b", announced | {"documents": bodies | {"digest-1": b"x"}}
        )
        poller.run_once()
        assert site.snapshot.configuration.generation == 0
        assert mesh.sent[-1][1]["wanted"] == sorted(DOCUMENTS)
    mesh.deliver("b", announced | {"documents": bodies})
    poller.run_once()
    assert site.snapshot.configuration.generation == 2
    mesh.deliver(
        "b",
        announced | {"manifest": manifest(0, ()), "wanted": ["digest-2"]},
    )
    assert mesh.sent[-1][1]["documents"] == {"digest-2": DOCUMENTS["digest-2"]}


def test_first_read_older_than_the_peers_generation_is_not_adopted(
    platform: conftest.FakePlatform,
    site: sites.Site,
    mesh: conftest.FakeMesh,
    poller: configuration_poll.ConfigurationPoll,
) -> None:
    """Guards against a restart that adopts a replaced configuration."""
    publish(platform, 1)
    mesh.deliver("b", {"type": "heartbeat", "sequence": 1, "generation": 2})
    poller.run_once()
    assert site.snapshot.configuration.generation == 0
    mesh.deliver(
        "b", {"type": "configuration", "manifest": manifest(2, DOCUMENTS)}
    )
    poller.run_once()
    assert site.snapshot.configuration.generation == 2


def test_threads_start_and_stop(
    settings: settings_module.EntrySettings,
    platform: conftest.FakePlatform,
    mesh: conftest.FakeMesh,
) -> None:
    """Guards against tasks that don't run or don't stop."""
    clock = clocks.SystemClock()
    site = sites.Site(clock)
    write_host(platform, "h1")
    write_host(platform, "h2")
    publish(platform, 1)
    polling = site_poll.SitePoll(
        settings, platform.as_platform(), site, mesh, clock, load
    )
    adopted: list[int] = []
    site.add_listener(
        lambda snapshot: adopted.append(snapshot.configuration.generation)
    )
    polling.start()
    try:
        assert waiting.wait_until(
            lambda: 1 in adopted and len(site.snapshot.hosts_by_id) == 2
        )
        mesh.deliver("b", departure("h2", 2))
        assert waiting.wait_until(
            lambda: state_of(site, "h2") is hosts.HostState.DRAINING
        )
    finally:
        polling.stop()
