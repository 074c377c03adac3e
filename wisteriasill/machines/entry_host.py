"""Builds an entry host from its settings and runs it.

`site_node` builds the node of a cluster (`links.cluster`) instead.
"""

from __future__ import annotations

import contextlib
import secrets

from wisteriasill import clock as clocks
from wisteriasill import events
from wisteriasill import metrics as metrics_module
from wisteriasill import settings as settings_module
from wisteriasill.contracts import configuration_store
from wisteriasill.contracts import idempotency
from wisteriasill.links import caller_link
from wisteriasill.links import dispatch
from wisteriasill.links import operator_link
from wisteriasill.links import peer_link
from wisteriasill.links import platform_link
from wisteriasill.machines import controller
from wisteriasill.machines import job_controller
from wisteriasill.zones import membership
from wisteriasill.zones import site as sites
from wisteriasill.zones import site_poll


class EntryHost:
    """One entry host: its links, its view of the site and its controller.

    Attributes:
        settings: The settings, with the bound ports once started.
        site: View of the site.
        metrics: Metrics of this entry host.
    """

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._clock = clock or clocks.SystemClock()
        self._incarnation = secrets.token_hex(8)
        self._leaving = False
        self.metrics = metrics_module.Metrics()
        self.site = sites.Site(self._clock)
        self._platform = platform_link.PlatformLink(
            settings, self.metrics.count_control_traffic
        )
        self._peers = peer_link.PeerLinks(
            settings, self.site, self._incarnation, self.metrics, self._clock
        )
        self._idempotency = idempotency.IdempotencyRegistry(
            self._platform, settings, self._clock, self._incarnation
        )
        self._dispatcher = dispatch.Dispatcher(
            settings,
            self.site,
            self._peers,
            self._idempotency,
            self.metrics,
            self._clock,
        )
        self._callers = caller_link.CallerLink(
            settings, self._dispatcher, self, self.metrics
        )
        self._operators = operator_link.OperatorLink(
            settings, self._platform, self.site, self._peers, self.metrics
        )
        self.settings = settings

    def not_ready_reason(self) -> str:
        """Returns why this entry host isn't ready; empty when it is."""
        if self._leaving:
            return "the entry host is shutting down"
        snapshot = self.site.snapshot
        if snapshot.configuration.generation == 0:
            return "no configuration is known yet"
        if not snapshot.hosts_by_id:
            return "no host is known yet"
        return ""

    def start(self) -> None:
        """Binds the ports and starts all tasks.

        Raises:
            OSError: A port is in use, or an address doesn't belong to this
                machine.
        """
        self._bind()
        self.settings = self.settings._replace(
            peer_port=self._peers.port,
            caller_port=self._callers.port,
            operator_port=self._operators.port,
        )
        self._idempotency.start()
        self._start_site_tasks()
        events.log(
            events.Event.STARTED,
            "Entry host started",
            member=self.settings.member_id,
            caller_port=self.settings.caller_port,
            operator_port=self.settings.operator_port,
            peer_port=self.settings.peer_port,
        )

    def _bind(self) -> None:
        """Binds all ports or none.

        After a failure the links that were started are stopped, because their
        threads would block the exit of the process.
        """
        with contextlib.ExitStack() as started:
            self._peers.start()
            started.callback(self._peers.stop)
            self._dispatcher.start()
            started.callback(self._dispatcher.stop)
            self._callers.start()
            started.callback(self._callers.stop, 0.0)
            self._operators.start()
            started.pop_all()

    def _start_site_tasks(self) -> None:
        self._membership = membership.Membership(
            self.settings,
            self._platform,
            self.site,
            self._peers,
            self._incarnation,
            self._clock,
        )
        self._poll = site_poll.SitePoll(
            self.settings,
            self._platform,
            self.site,
            self._peers,
            self._clock,
            configuration_store.load,
        )
        self._controller = controller.Controller(
            self.settings,
            self._platform,
            self.site,
            self._peers,
            self._incarnation,
            self._clock,
            lambda guarded: job_controller.JobController(
                guarded, self._clock, secrets.token_hex
            ),
        )
        self._membership.start()
        self._poll.start()
        if self.settings.control:
            self._controller.start()

    def stop(self) -> None:
        """Shuts down without interrupting requests in flight.

        Readiness fails first: the load balancer gets `drain_notice_seconds`
        to notice before the caller port closes.
        """
        self._leaving = True
        events.log(
            events.Event.STOPPING,
            "Entry host is stopping",
            member=self.settings.member_id,
        )
        self._membership.announce_leaving()
        self._controller.stop()
        self._callers.stop(self.settings.shutdown_seconds)
        self._dispatcher.stop()
        self._operators.stop(1.0)
        self._poll.stop()
        self._membership.stop()
        self._peers.stop()
        self._idempotency.stop()
        events.log(
            events.Event.STOPPED,
            "Entry host stopped",
            member=self.settings.member_id,
        )
