"""Control of a site without threads: a driver steps the members."""

from __future__ import annotations

from collections.abc import Iterable
import random
import threading
import types

from returns import result

from wisteriasill import clock as clocks
from wisteriasill import errors
from wisteriasill import settings as settings_module
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import service
from wisteriasill.contracts import wave_plan
from wisteriasill.links import peer_messages
from wisteriasill.links import platform
from wisteriasill.machines import controller
from wisteriasill.machines import host as hosts
from wisteriasill.machines import member as members
from wisteriasill.machines import shard_balancer
from wisteriasill.machines import shard_context
from wisteriasill.machines import shard_lease
from wisteriasill.machines import shard_task
from wisteriasill.zones import site as sites


class RecordingMesh:
    """A peer mesh without connections that records sent messages."""

    def __init__(self) -> None:
        self.sent: list[peer_messages.Message] = []
        self.handlers: dict[str, list[peer_messages.Handler]] = {}
        self.peers: frozenset[str] = frozenset()

    def broadcast(self, message: peer_messages.Message) -> None:
        """Records the message."""
        self.sent.append(message)

    def send(self, member_id: str, message: peer_messages.Message) -> bool:
        """Records the message; no peer is connected."""
        self.sent.append(message)
        return False

    def on_message(
        self, message_type: str, handler: peer_messages.Handler
    ) -> None:
        """Records the handler, so that a driver can simulate peers."""
        self.handlers.setdefault(message_type, []).append(handler)

    def on_members_changed(self, handler: object) -> None:
        """Ignores the handler, as peers never change."""

    def connected_peers(self) -> frozenset[str]:
        """Returns the peers that a driver simulates."""
        return self.peers


class EmptyJobController:
    """A job controller for pools without jobs."""

    def step(
        self,
        epoch_row: platform.Row,
        hosts: object,
        services: object,
        quotas: object,
    ) -> result.Result[None, errors.Failure]:
        """Does nothing."""
        return result.Success(None)

    def checkpoint_host(
        self, epoch_row: platform.Row, host_id: str
    ) -> result.Result[bool, errors.Failure]:
        """Reports that no task is left."""
        return result.Success(True)

    def cancel(
        self, epoch_row: platform.Row, job_id: str
    ) -> result.Result[None, errors.Failure]:
        """Fails with NOT_FOUND."""
        return result.Failure(
            errors.failure(errors.ErrorKind.NOT_FOUND, f"no job {job_id}")
        )


class ControlMember:
    """Control of one member, stepped by a driver instead of threads."""

    def __init__(
        self,
        member_id: str,
        platform: platform.Platform,
        site: sites.Site,
        clock: clocks.Clock,
        sources: controller.Sources,
        jobs: shard_context.JobControllerFactory = lambda _: (
            EmptyJobController()
        ),
        planner: wave_plan.Planner = wave_plan.plan,
    ) -> None:
        self.member_id = member_id
        self.mesh = RecordingMesh()
        self._clock = clock
        self._table = platform.table
        settings = settings_module.EntrySettings(member_id, "z", "")
        incarnation = sources.token_source()
        self._controller = controller.Controller(
            settings,
            platform,
            site,
            self.mesh,
            incarnation,
            clock,
            jobs,
            sources,
            planner,
        )
        self._balancer = shard_balancer.ShardBalancer(
            platform.table,
            site,
            shard_lease.LeaseOwner(
                member_id,
                incarnation,
                settings.lease_seconds,
                sources.token_source,
            ),
            clock,
        )
        self.tasks: dict[str, shard_task.ShardTask] = {}
        self.leases: dict[str, shard_lease.HeldLease] = {}

    def balance(self) -> None:
        """Releases, drops and acquires shards once."""
        for shard in self._balancer.shards_to_release(self.leases.keys()):
            self.leases[shard].release()
        for shard in [key for key, lease in self.leases.items() if lease.lost]:
            del self.leases[shard]
            del self.tasks[shard]
        acquired = self._balancer.acquire(self.leases.keys())
        if isinstance(acquired, result.Success):
            for lease in acquired.unwrap():
                self._start_shard_task(lease)

    def _start_shard_task(self, lease: shard_lease.HeldLease) -> None:
        stopping = threading.Event()
        self.leases[lease.shard] = lease
        self.tasks[lease.shard] = shard_task.ShardTask(
            lease,
            self._controller.build_controller(lease, stopping),
            self._clock,
            stopping,
        )

    def step(self) -> None:
        """Balances shards and steps each held shard once."""
        self._controller.observe_demand()
        self.balance()
        for task in self.tasks.values():
            task.step()


def set_known_members(site: sites.Site, member_ids: Iterable[str]) -> None:
    """Sets the live members of a site."""
    site.set_members(
        [
            members.Member(name, name, "r", "z", "127.0.0.1", 0, 0, 0)
            for name in member_ids
        ]
    )


def pool_service(
    name: str, contract: service.PoolContract, deadline_ms: int = 2000
) -> service.Service:
    """Builds a service with one request class."""
    return service.Service(
        name,
        "team",
        contract,
        requests=(service.RequestClass("all", deadline_ms=deadline_ms),),
    )


def configure(
    site: sites.Site,
    services: Iterable[service.Service],
    prefer: service.Preference = service.Preference.ROLL_OUT_TIME,
) -> None:
    """Puts a configuration in force."""
    generation = site.snapshot.configuration.generation + 1
    site.adopt_configuration(
        configurations.Configuration(
            generation,
            service.SiteContract("bench", prefer),
            types.MappingProxyType(
                {service_.name: service_ for service_ in services}
            ),
            configurations.Manifest(generation, {}),
        )
    )


def seeded_sources(
    rng: random.Random, clock: clocks.Clock
) -> controller.Sources:
    """Builds reproducible sources of tokens, time and random numbers."""
    return controller.Sources(
        lambda: f"{rng.getrandbits(64):016x}", clock.monotonic, rng
    )


def poll_hosts(site: sites.Site, table: platform.Table) -> None:
    """Reads host rows into a site, as a member's poll does."""
    scanned = table.scan(hosts.TABLE)
    if isinstance(scanned, result.Success):
        known_hosts = []
        for row in scanned.unwrap():
            value = dict(row.value)
            value["state"] = hosts.HostState(value["state"])
            known_hosts.append(
                sites.KnownHost(hosts.Host(**value), row.version)
            )
        site.update_hosts(known_hosts)
        site.confirm("hosts")
