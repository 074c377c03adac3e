"""Tasks that keep hosts, departures and configuration current."""

from __future__ import annotations

from concurrent import futures
import threading

from wisteriasill import clock as clocks
from wisteriasill import periodic_task
from wisteriasill import settings as settings_module
from wisteriasill.links import peer_messages
from wisteriasill.links import platform as platforms
from wisteriasill.zones import configuration_poll
from wisteriasill.zones import departures
from wisteriasill.zones import host_poll
from wisteriasill.zones import site as sites


class SitePoll:
    """Keeps the site current from the store and from peers."""

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        platform: platforms.Platform,
        site: sites.Site,
        mesh: peer_messages.PeerMesh,
        clock: clocks.Clock,
        load_configuration: configuration_poll.ConfigurationLoader,
    ) -> None:
        """Builds the polls.

        Args:
            settings: Settings of this entry host.
            platform: The platform.
            site: The site to keep current.
            mesh: Links to peers.
            clock: This process's clock.
            load_configuration: `contracts.configuration_store.load`.
        """
        self._settings = settings
        self._clock = clock
        self._hosts = host_poll.HostPoll(platform, site, clock)
        self._departures = departures.Departures(site, mesh)
        self._configuration = configuration_poll.ConfigurationPoll(
            settings, platform, site, mesh, clock, load_configuration
        )
        self._hosts_wake = threading.Event()
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            3, thread_name_prefix="site-poll"
        )
        self._tasks: list[futures.Future[None]] = []

    def start(self) -> None:
        """Starts the tasks."""
        self._departures.register_handlers()
        self._configuration.register_handlers()
        for name, run_once, wake in (
            ("hosts", self._poll_hosts, self._hosts_wake),
            ("departures", self._departures.run_once, self._departures.changed),
            (
                "configuration",
                self._configuration.run_once,
                self._configuration.changed,
            ),
        ):
            task = self._executor.submit(
                periodic_task.run_periodically,
                name,
                run_once,
                wake,
                self._stopping,
                self._clock,
            )
            self._tasks.append(task)

    def stop(self) -> None:
        """Stops the tasks and joins them."""
        self._stopping.set()
        self._hosts_wake.set()
        self._departures.changed.set()
        self._configuration.changed.set()
        for task in self._tasks:
            task.result()
        self._executor.shutdown()

    def _poll_hosts(self) -> float:
        began_at = self._clock.monotonic()
        self._hosts.poll()
        spent_seconds = self._clock.monotonic() - began_at
        return max(0.0, self._settings.poll_seconds - spent_seconds)
